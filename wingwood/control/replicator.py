"""Replication by the primary: batches, commits and complete states sent to backups (docs/DESIGN.md section 7.2)."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import msgspec

from ..identifiers import Epoch, Seconds
from .leadership import Leadership
from .member import MemberSetup
from .messages import ControlCommitted, ControlReplicate, ControlReplicated, ControlStateChunk
from .state_transfer import Transfer, split_into_chunks
from .store_guard import StoreGuard
from .views import ViewMember

RETRY_BACKOFF_S = Seconds(0.05)
"""Pause before a batch is sent again to a backup that did not answer."""
RETRY_WINDOW_S = 0.4
"""Time after which an unanswered batch is no longer sent again."""


class Replicator(StoreGuard):
    """Sends batches and complete states, and records in ``Leadership`` what each backup is known to have."""

    def __init__(self, setup: MemberSetup) -> None:
        super().__init__(setup)
        self._transfers = 0

    # -- batches

    async def _replicate(self, leadership: Leadership, epoch: Epoch, before: int, entry: bytes) -> bool:
        """Sends a batch to all backups of the view; returns whether every one of them has synced it."""
        backups = leadership.backup_members()
        done = await asyncio.gather(
            *(self._replicate_to(leadership, member, epoch, before, entry) for member in backups)
        )
        for member, synced in zip(backups, done, strict=True):
            if synced:
                leadership.synced[member.incarnation] = before + bool(entry)
            else:
                leadership.synced.pop(member.incarnation, None)
                leadership.failing_backups.add(member.incarnation)
        return all(done)

    async def _replicate_to(
        self, leadership: Leadership, member: ViewMember, epoch: Epoch, before: int, entry: bytes
    ) -> bool:
        message = ControlReplicate(member.incarnation, epoch, before, self._replica.committed, entry)
        started = self._now()
        bound = self._options.replicate_timeout + 2 * len(entry) / self._options.rewrite_bytes_per_second
        while True:
            left = bound - (self._now() - started)
            if left <= 0 or self._leadership is not leadership:
                return False
            answer = await self._ask(member, message, ControlReplicated, Seconds(left))
            if answer is not None:
                self._note_replicated(leadership, member, answer)
                return answer.synced
            if self._now() - started > RETRY_WINDOW_S:
                self._note_failed(leadership, member)
                self._log("backup-silent", backup=member.name)
                return False
            await self._context.clock.sleep(RETRY_BACKOFF_S)

    def _note_replicated(self, leadership: Leadership, member: ViewMember, answer: ControlReplicated) -> None:
        self._note_epoch(answer.prepared_epoch)
        if not answer.synced:
            self._note_failed(leadership, member)
            self._log("backup-refused", backup=member.name, reason=answer.reason)

    def _note_failed(self, leadership: Leadership, member: ViewMember) -> None:
        leadership.failed_at[member.incarnation] = self._now()

    def _announce_commit(self, leadership: Leadership) -> None:
        for member in leadership.backup_members():
            if member.incarnation != self._own_incarnation:
                message = ControlCommitted(member.incarnation, leadership.view.epoch, self._replica.committed)
                self._messenger.post(member.address, message)

    # -- the complete state

    async def _sync_backups(self, leadership: Leadership, backups: Sequence[ViewMember]) -> bool:
        """Brings the complete state to the disks of all these backups; returns whether that succeeded.

        A backup that already has the state is sent nothing.
        """
        behind = [member for member in backups if leadership.synced.get(member.incarnation) != self._store.sequence]
        sent = await asyncio.gather(*(self._send_state(leadership, member) for member in behind))
        for member, synced in zip(behind, sent, strict=True):
            if synced:
                leadership.synced[member.incarnation] = self._store.sequence
            else:
                leadership.synced.pop(member.incarnation, None)
                self._note_failed(leadership, member)
                self._log("recruit-failed", backup=member.name)
        return all(sent)

    async def _send_state(self, leadership: Leadership, member: ViewMember) -> bool:
        if self._replica.applied != self._store.sequence:
            raise AssertionError(
                f"batch {self._replica.applied} is applied, but batch {self._store.sequence} is journaled"
            )
        data = msgspec.msgpack.encode(self._replica.snapshot())
        self._transfers += 1
        transfer = Transfer(self._own_incarnation, leadership.view.epoch, self._transfers)
        packed = member.incarnation in leadership.unpacks
        for chunk in split_into_chunks(data, member.incarnation, transfer, self._options.chunk_bytes, packed):
            last = chunk.index == chunk.count - 1
            timeout = self._options.rewrite_timeout(len(data)) if last else self._options.call_timeout
            if not await self._send_chunk(leadership, member, chunk, timeout):
                return False
        return True

    async def _send_chunk(
        self, leadership: Leadership, member: ViewMember, chunk: ControlStateChunk, timeout: Seconds
    ) -> bool:
        answer = await self._ask(member, chunk, ControlReplicated, timeout)
        if answer is None:
            return False
        if answer.synced and self._leadership is leadership:
            return True
        self._note_epoch(answer.prepared_epoch)
        leadership.epoch_superseded = leadership.epoch_superseded or answer.prepared_epoch > chunk.epoch
        return False
