"""Answers of a daemon to the daemons that follow it as an owner (docs/DESIGN.md sections 10.3 and 10.4)."""

from __future__ import annotations

from ..context.protocols import Context
from ..identifiers import Instant, Seconds, Zone
from ..membership.protocols import Membership
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .ejections import Ejections
from .engagement import EngagementReport, EngagementSums, by_instance, by_number
from .messages import Counts, FeedAnswer, FeedQuestion, PoolAnswer, PoolQuestion
from .outliers import Outcomes
from .packed_entries import pack_entries
from .pool_ownership import OwnerAge, PoolOwnership
from .pool_table import PoolTable
from .worker_directory import WorkerDirectory


class FeedAnswers:
    """Answers with the changes since the asker's last question and records the counts in the question."""

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        membership: Membership,
        zone: Zone,
        directory: WorkerDirectory,
        ownership: PoolOwnership,
        sums: EngagementSums,
        ejections: Ejections,
        owner_age: OwnerAge,
    ) -> None:
        self._context = context
        self._messenger = messenger
        self._membership = membership
        self._zone = zone
        self._directory = directory
        self._ownership = ownership
        self._sums = sums
        self._ejections = ejections
        self._owner_age = owner_age

    async def answer(self, peer: Identity, message: FeedQuestion) -> FeedAnswer:
        now = self._now()
        proven = self._membership.session_confirmed_at()
        answers = tuple(self._answer_pool(peer, question, now) for question in message.pools)
        known = () if message.pools else tuple(self._directory.pools())
        age = Seconds(float("inf") if proven is None else now - proven)
        return FeedAnswer(self._messenger.identity.incarnation, age, answers, known)

    def _answer_pool(self, peer: Identity, question: PoolQuestion, now: Instant) -> PoolAnswer:
        table = self._directory.table(question.pool)
        for entry in question.offered:
            self._ownership.merge_reported(entry)
        follows = question.owner == self._messenger.identity.incarnation
        if follows:
            self._record_counts(peer, table, question, now)
        load_sequence = question.load_sequence
        answer = PoolAnswer(
            question.pool,
            self._ownership.is_synced(question.pool),
            self._owner_age(question.pool),
            table.sequence,
            table.changed_since(question.sequence if follows else -1, now),
            table.load_sequence,
            table.loads_since(load_sequence) if follows and load_sequence is not None else {},
            self._counts_for(peer, table) if load_sequence is not None else None,
            self._ejections.numbers(table) if peer.zone == self._zone else (),
        )
        return pack_entries(answer) if question.accepts_packed else answer

    def _record_counts(self, peer: Identity, table: PoolTable, question: PoolQuestion, now: Instant) -> None:
        if question.engaged is not None:
            report = EngagementReport(now, by_instance(question.engaged, table.numbers))
            if peer.zone == self._zone:
                self._sums.record_router(table.pool, peer.incarnation, report)
            elif peer.role == "router":
                self._sums.record_zone(table.pool, peer.zone, report)
        for number, (succeeded, failed) in (question.outcomes or {}).items():
            if number in table.numbers:
                self._ejections.record(table.pool, {table.numbers[number]: Outcomes(succeeded, failed)})

    def _counts_for(self, peer: Identity, table: PoolTable) -> Counts:
        now = self._now()
        engaged = (
            self._sums.by_others(table.pool, peer.incarnation, now)
            if peer.zone == self._zone
            else self._sums.in_zone(table.pool, now)
        )
        return by_number(engaged, {instance: record.number for instance, record in table.records.items()})

    def _now(self) -> Instant:
        return self._context.clock.monotonic()
