"""Replication by the primary: batches, commits and complete states sent to backups (docs/DESIGN.md section 7.2)."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import msgspec

from ..context.protocols import Context
from ..identifiers import Epoch, Instant, Seconds
from .control_options import ControlOptions
from .errors import InvariantError
from .leadership import Leadership
from .member_state import MemberState
from .messages import ControlCommitted, ControlReplicate, ControlReplicated, ControlStateChunk
from .own_leadership import OwnLeadership
from .peer_client import PeerClient
from .replica import Replica
from .state_transfer import Transfer, split_into_chunks
from .store import ControlStore
from .views import ViewMember

RETRY_BACKOFF_S = Seconds(0.05)
"""Backoff before a batch is sent again to a backup that did not answer."""
RETRY_WINDOW_S = 0.4
"""Time after which an unanswered batch is no longer sent again."""


class Replicator:
    """Sends batches and complete states, and records in ``Leadership`` what each backup is known to have.

    Owns the number of the latest state transfer. It reads the store and the replica; it writes neither.
    """

    def __init__(
        self,
        context: Context,
        options: ControlOptions,
        peers: PeerClient,
        store: ControlStore,
        replica: Replica,
        state: MemberState,
        leadership: OwnLeadership,
    ) -> None:
        self._context = context
        self._options = options
        self._peers = peers
        self._store = store
        self._replica = replica
        self._state = state
        self._leadership = leadership
        self._own_incarnation = state.own.incarnation
        self._transfers = 0

    def _now(self) -> Instant:
        return self._context.clock.monotonic()

    # -- batches

    async def replicate(self, leadership: Leadership, epoch: Epoch, before: int, entry: bytes) -> bool:
        """Sends a batch to all backups of the view; returns whether every one of them has synced it."""
        backups = leadership.backup_members()
        outcomes = await asyncio.gather(
            *(self.replicate_to(leadership, member, epoch, before, entry) for member in backups)
        )
        for member, synced in zip(backups, outcomes, strict=True):
            if synced:
                leadership.synced[member.incarnation] = before + bool(entry)
            else:
                leadership.synced.pop(member.incarnation, None)
                leadership.failing_backups.add(member.incarnation)
        return all(outcomes)

    async def replicate_to(
        self, leadership: Leadership, member: ViewMember, epoch: Epoch, before: int, entry: bytes
    ) -> bool:
        """Sends a batch to one backup, again if it does not answer; returns whether the backup has synced it."""
        message = ControlReplicate(member.incarnation, epoch, before, self._replica.committed, entry)
        started = self._now()
        timeout = self._options.replicate_timeout + 2 * self._options.journal.write_time(len(entry))
        while True:
            remaining = timeout - (self._now() - started)
            if remaining <= 0 or self._leadership.current is not leadership:
                return False
            answer = await self._peers.ask(member, message, ControlReplicated, Seconds(remaining))
            if answer is not None:
                self._record_replicated(leadership, member, answer)
                return answer.synced
            if self._now() - started > RETRY_WINDOW_S:
                leadership.record_failed(member.incarnation, self._now())
                self._context.log.event("backup-unresponsive", backup=member.name)
                return False
            await self._context.clock.sleep(RETRY_BACKOFF_S)

    def _record_replicated(self, leadership: Leadership, member: ViewMember, answer: ControlReplicated) -> None:
        self._state.observe_epoch(answer.prepared_epoch)
        if not answer.synced:
            leadership.record_failed(member.incarnation, self._now())
            self._context.log.event("batch-rejected", backup=member.name, reason=answer.reason)

    def announce_commit(self, leadership: Leadership) -> None:
        """Notifies the backups that all batches committed here are on the disks of all of them."""
        for member in leadership.backup_members():
            if member.incarnation != self._own_incarnation:
                message = ControlCommitted(member.incarnation, leadership.view.epoch, self._replica.committed)
                self._peers.post(member, message)

    # -- the complete state

    async def sync_backups(self, leadership: Leadership, backups: Sequence[ViewMember]) -> bool:
        """Brings the complete state to the disks of all these backups; returns whether that succeeded.

        A backup that already has the state is sent nothing.
        """
        behind = [member for member in backups if leadership.synced.get(member.incarnation) != self._store.sequence]
        outcomes = await asyncio.gather(*(self.send_state(leadership, member) for member in behind))
        for member, synced in zip(behind, outcomes, strict=True):
            if synced:
                leadership.synced[member.incarnation] = self._store.sequence
            else:
                leadership.synced.pop(member.incarnation, None)
                leadership.record_failed(member.incarnation, self._now())
                self._context.log.event("backup-recruitment-failed", backup=member.name)
        return all(outcomes)

    async def send_state(self, leadership: Leadership, member: ViewMember) -> bool:
        """Sends the complete state in chunks; returns whether the member has synced it to its disk."""
        if self._replica.applied != self._store.sequence:
            raise InvariantError(
                f"batch {self._replica.applied} is applied, but batch {self._store.sequence} is journaled"
            )
        data = msgspec.msgpack.encode(self._replica.snapshot())
        self._transfers += 1
        transfer = Transfer(self._own_incarnation, leadership.view.epoch, self._transfers)
        packed = member.incarnation in leadership.unpacks
        for chunk in split_into_chunks(data, member.incarnation, transfer, self._options.chunk_bytes, packed):
            last = chunk.index == chunk.count - 1
            timeout = self._options.journal.rewrite_timeout(len(data)) if last else self._options.call_timeout
            if not await self._send_chunk(leadership, member, chunk, timeout):
                return False
        return True

    async def _send_chunk(
        self, leadership: Leadership, member: ViewMember, chunk: ControlStateChunk, timeout: Seconds
    ) -> bool:
        answer = await self._peers.ask(member, chunk, ControlReplicated, timeout)
        if answer is None:
            return False
        if answer.synced and self._leadership.current is leadership:
            return True
        self._state.observe_epoch(answer.prepared_epoch)
        leadership.epoch_superseded = leadership.epoch_superseded or answer.prepared_epoch > chunk.epoch
        return False
