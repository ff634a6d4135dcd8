"""Batches of commands in the primary: decided, journaled and replicated together (docs/DESIGN.md section 7.7)."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from ..context.protocols import Clock
from ..identifiers import Epoch
from .commands import DecidedCommand, PendingCommand, deliver_all, fail_all
from .errors import InvariantError
from .guarded_store import GuardedStore
from .journal_entries import StateRecord
from .journal_rewriting import JournalRewriter
from .leadership import Leadership
from .own_leadership import OwnLeadership
from .planning import ClusterSize
from .replica import Replica
from .replicator import Replicator
from .store import encode_batch

REWRITE_FACTOR = 1.0
"""A primary rewrites its journal as soon as it is long; see ``backup.REWRITE_FACTOR``."""


class BatchRunner:
    """Decides a batch and answers it once it is durable. It owns no state beyond the batch that it runs.

    A batch runs under ``Leadership.batch_lock``, so that the view, and with it the backups that must have the
    batch, cannot change while it runs.
    """

    def __init__(
        self,
        clock: Clock,
        size: ClusterSize,
        guarded: GuardedStore,
        replica: Replica,
        leadership: OwnLeadership,
        replicator: Replicator,
        rewriter: JournalRewriter,
    ) -> None:
        self._clock = clock
        self._size = size
        self._guarded = guarded
        self._store = guarded.store
        self._replica = replica
        self._leadership = leadership
        self._replicator = replicator
        self._rewriter = rewriter

    async def try_batch(self, leadership: Leadership, batch: Sequence[PendingCommand]) -> bool:
        """Runs the batch unless this primary accepts no orders now; returns whether it ran."""
        if not leadership.accepts_orders(self._size.members) or not self._leadership.leads():
            return False
        async with leadership.batch_lock:
            if not leadership.accepts_orders(self._size.members) or self._leadership.current is not leadership:
                return False
            await self._run_batch(leadership, batch)
            return True

    async def _run_batch(self, leadership: Leadership, batch: Sequence[PendingCommand]) -> None:
        epoch, before = leadership.view.epoch, self._store.sequence
        decided, records = self._decide_batch(batch)
        if not decided:
            return
        entry = encode_batch(before + 1, epoch, records) if records else b""
        if records:
            self._replica.applied = before + 1
        replicating = asyncio.get_running_loop().create_task(
            self._replicator.replicate(leadership, epoch, before, entry)
        )
        written = not entry or await self._write_batch(leadership, entry, before + 1)
        replicated = await replicating
        if self._leadership.current is not leadership or not written:
            fail_all(decided, "stopped leading meanwhile")
        elif not replicated:
            leadership.in_sync = False
            leadership.pending = decided
        else:
            self._acknowledge(leadership, epoch, decided, wrote=bool(entry))

    def _decide_batch(self, batch: Sequence[PendingCommand]) -> tuple[list[DecidedCommand], list[StateRecord]]:
        """Decides and applies the commands one after another.

        Returns the commands with their replies, and the records to journal.
        """
        now = self._clock.monotonic()
        decided: list[DecidedCommand] = []
        records: list[StateRecord] = []
        for command in batch:
            if command.answer.done() or now > command.deadline:
                command.resolve(command.undecided("its time was over before its turn"))
                continue
            applier = self._replica.appliers[command.kind]
            command.decided = True
            record, reply = applier.decide(command.command)
            if record is not None:
                applier.apply(record)
                records.append(StateRecord(command.kind, record))
            decided.append(DecidedCommand(command, reply))
        return decided, records

    async def _write_batch(self, leadership: Leadership, entry: bytes, sequence: int) -> bool:
        async with self._guarded.lock:
            if self._leadership.current is not leadership:
                return False
            return self._guarded.write_succeeded(await self._store.append_batch(entry, sequence))

    def _acknowledge(
        self, leadership: Leadership, epoch: Epoch, decided: Sequence[DecidedCommand], wrote: bool
    ) -> None:
        """Commits and answers a batch that is on the disks of the primary and of all backups of the view."""
        if self._store.prepared.epoch != epoch:
            raise InvariantError("a primary prepared a higher epoch without stepping down")
        self._replica.commit(self._store.sequence)
        deliver_all(decided, self._clock.monotonic())
        if wrote:
            self._replicator.announce_commit(leadership)
            self._rewriter.rewrite_if_long(REWRITE_FACTOR)
