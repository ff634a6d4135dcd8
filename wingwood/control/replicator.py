"""The primary's side of replication: batches, commits and whole states to backups (docs/DESIGN.md section 7.2)."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import msgspec

from ..identifiers import Epoch, Seconds
from .lead import Lead
from .member import MemberSetup
from .messages import ControlCommitted, ControlReplicate, ControlReplicated, ControlStatePiece, Seat
from .state_transfer import Transfer, split_state
from .store_guard import StoreGuard

RETRY_PAUSE = Seconds(0.05)
"""Before a batch is sent again to a backup that did not answer."""
RETRIES_END = 0.4
"""Seconds after which a batch that was not answered is not sent again."""


class Replicator(StoreGuard):
    """Sends batches and states, and keeps in ``Lead`` what each backup is known to have."""

    def __init__(self, setup: MemberSetup) -> None:
        super().__init__(setup)
        self._transfers = 0

    # -- batches

    async def _replicate(self, lead: Lead, epoch: Epoch, before: int, entry: bytes) -> bool:
        """To all backups of the view; whether each has synced it."""
        seats = lead.backup_seats()
        done = await asyncio.gather(*(self._replicate_to(lead, seat, epoch, before, entry) for seat in seats))
        for seat, synced in zip(seats, done, strict=True):
            if synced:
                lead.synced[seat.incarnation] = before + bool(entry)
            else:
                lead.synced.pop(seat.incarnation, None)
                lead.failing.add(seat.incarnation)
        return all(done)

    async def _replicate_to(self, lead: Lead, seat: Seat, epoch: Epoch, before: int, entry: bytes) -> bool:
        message = ControlReplicate(seat.incarnation, epoch, before, self._replica.committed, entry)
        begun = self._now()
        bound = self._limits.replicate + 2 * len(entry) / self._limits.rewrite_rate
        while True:
            left = bound - (self._now() - begun)
            if left <= 0 or self._lead is not lead:
                return False
            answer = await self._ask(seat, message, ControlReplicated, Seconds(left))
            if answer is not None:
                self._note_replicated(lead, seat, answer)
                return answer.synced
            if self._now() - begun > RETRIES_END:
                self._note_failed(lead, seat)
                self._log("backup-silent", backup=seat.name)
                return False
            await self._context.clock.sleep(RETRY_PAUSE)

    def _note_replicated(self, lead: Lead, seat: Seat, answer: ControlReplicated) -> None:
        self._note_epoch(answer.promised)
        if not answer.synced:
            self._note_failed(lead, seat)
            self._log("backup-refused", backup=seat.name, reason=answer.reason)

    def _note_failed(self, lead: Lead, seat: Seat) -> None:
        lead.failed[seat.incarnation] = self._now()

    def _tell_commit(self, lead: Lead) -> None:
        for seat in lead.backup_seats():
            if seat.incarnation != self._me:
                message = ControlCommitted(seat.incarnation, lead.view.epoch, self._replica.committed)
                self._messenger.post(seat.address, message)

    # -- the whole state

    async def _recruit(self, lead: Lead, seats: Sequence[Seat]) -> bool:
        """All of them have our whole state on their disks; who already has it is sent nothing."""
        behind = [seat for seat in seats if lead.synced.get(seat.incarnation) != self._store.sequence]
        sent = await asyncio.gather(*(self._send_state(lead, seat) for seat in behind))
        for seat, synced in zip(behind, sent, strict=True):
            if synced:
                lead.synced[seat.incarnation] = self._store.sequence
            else:
                lead.synced.pop(seat.incarnation, None)
                self._note_failed(lead, seat)
                self._log("recruit-failed", backup=seat.name)
        return all(sent)

    async def _send_state(self, lead: Lead, seat: Seat) -> bool:
        if self._replica.applied != self._store.sequence:
            raise AssertionError(f"applied {self._replica.applied}, journaled {self._store.sequence}")
        data = msgspec.msgpack.encode(self._replica.snapshot())
        self._transfers += 1
        transfer = Transfer(self._me, lead.view.epoch, self._transfers)
        packed = seat.incarnation in lead.unpacks
        for piece in split_state(data, seat.incarnation, transfer, self._limits.piece_bytes, packed):
            last = piece.index == piece.count - 1
            patience = self._limits.rewriting(len(data)) if last else self._limits.call
            if not await self._send_piece(lead, seat, piece, patience):
                return False
        return True

    async def _send_piece(self, lead: Lead, seat: Seat, piece: ControlStatePiece, patience: Seconds) -> bool:
        answer = await self._ask(seat, piece, ControlReplicated, patience)
        if answer is None:
            return False
        if answer.synced and self._lead is lead:
            return True
        self._note_epoch(answer.promised)
        lead.outbid = lead.outbid or answer.promised > piece.epoch
        return False
