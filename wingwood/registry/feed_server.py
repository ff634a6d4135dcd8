"""Replies of a daemon to the daemons that follow it as an owner (docs/DESIGN.md sections 10.3 and 10.4)."""

from __future__ import annotations

from ..context.protocols import Context
from ..identifiers import Instant, Seconds
from ..membership.protocols import Membership
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .call_outcomes import Outcomes
from .ejections import Ejections
from .messages import FeedReply, FeedRequest, ObservedLoadFigures, PoolReply, PoolRequest
from .observed_loads import ObservedLoadReport, ObservedLoadSums, by_instance, by_number
from .packed_entries import pack_entries
from .pool_ownership import PoolOwnership
from .pool_table import PoolTable
from .worker_directory import WorkerDirectory


class FeedServer:
    """Answers ``FeedRequest`` with the changes since the last request and records the counts in the request."""

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        membership: Membership,
        directory: WorkerDirectory,
        ownership: PoolOwnership,
        sums: ObservedLoadSums,
        ejections: Ejections,
    ) -> None:
        self._context = context
        self._own = messenger.identity
        self._membership = membership
        self._directory = directory
        self._ownership = ownership
        self._sums = sums
        self._ejections = ejections
        messenger.on_call(FeedRequest, self._on_request)

    async def _on_request(self, peer: Identity, message: FeedRequest) -> FeedReply:
        now = self._now()
        confirmed_at = self._membership.session_confirmed_at()
        replies = tuple(self._pool_reply(peer, request, now) for request in message.pools)
        known = () if message.pools else tuple(self._directory.pools())
        session_age = Seconds(float("inf") if confirmed_at is None else now - confirmed_at)
        return FeedReply(self._own.incarnation, session_age, replies, known)

    def _pool_reply(self, peer: Identity, request: PoolRequest, now: Instant) -> PoolReply:
        table = self._directory.table(request.pool)
        for entry in request.offered:
            self._ownership.merge_reported(entry)
        follows = request.owner == self._own.incarnation
        if follows:
            self._record_counts(peer, table, request, now)
        load_sequence = request.load_sequence
        reply = PoolReply(
            request.pool,
            self._ownership.is_synced(request.pool),
            self._ownership.age(request.pool),
            table.sequence,
            table.changed_since(request.sequence if follows else -1, now),
            table.load_sequence,
            table.loads_since(load_sequence) if follows and load_sequence is not None else {},
            self._loads_for(peer, table) if load_sequence is not None else None,
            self._ejections.numbers(table) if peer.zone == self._own.zone else (),
        )
        return pack_entries(reply) if request.accepts_packed else reply

    def _record_counts(self, peer: Identity, table: PoolTable, request: PoolRequest, now: Instant) -> None:
        if request.observed_loads is not None:
            report = ObservedLoadReport(now, by_instance(request.observed_loads, table.numbers))
            if peer.zone == self._own.zone:
                self._sums.record_router(table.pool, peer.incarnation, report)
            elif peer.role == "router":
                self._sums.record_zone(table.pool, peer.zone, report)
        for number, (succeeded, failed) in (request.outcomes or {}).items():
            if number in table.numbers:
                self._ejections.record(table.pool, {table.numbers[number]: Outcomes(succeeded, failed)})

    def _loads_for(self, peer: Identity, table: PoolTable) -> ObservedLoadFigures:
        now = self._now()
        loads = (
            self._sums.by_others(table.pool, peer.incarnation, now)
            if peer.zone == self._own.zone
            else self._sums.in_zone(table.pool, now)
        )
        return by_number(loads, {instance: record.number for instance, record in table.records.items()})

    def _now(self) -> Instant:
        return self._context.clock.monotonic()
