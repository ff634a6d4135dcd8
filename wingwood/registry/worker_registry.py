"""Stores workers' states as an owner, follows other owners and lists usable workers (docs/DESIGN.md section 10)."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from ..context.protocols import Context
from ..identifiers import Instant, PoolName, Seconds, WorkerInstance, Zone
from ..membership.protocols import Membership
from ..operator_api.protocols import OperatorReply, OperatorRequest, OperatorRoutes
from ..settings.model import DaemonSettings
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .announcement_handler import AnnouncementHandler
from .announcements import AnnouncementFormat
from .ejections import Ejections
from .engagement import EngagementSums
from .feed_answers import FeedAnswers
from .feed_follower import FeedFollower
from .feed_limits import FEED_INTERVAL_S, SESSION_PROOF_MAX_AGE_S
from .messages import (
    FeedPush,
    FeedQuestion,
    ObservedState,
    Renewal,
    RenewalBatch,
    RenewalBatchReceipt,
    WorkerAnswer,
    WorkerEntry,
    WorkerQuestion,
    WorkerStateReceipt,
    WorkerStateReport,
)
from .outliers import Outcomes
from .pool_owners import PoolOwners
from .pool_ownership import PoolOwnership
from .protocols import Engagement, Worker
from .worker_announcements import LIST_PATH, DefaultAnnouncementFormat, worker_list_reply
from .worker_checks import HealthChecks, TrialCalls, WorkerCheck
from .worker_directory import WorkerDirectory


class WorkerRegistry:
    """Implements Registry, CallOutcomes and EngagementExchange. Runs on every daemon; only routers are owners."""

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        membership: Membership,
        settings: DaemonSettings,
        announcement_format: AnnouncementFormat | None = None,
    ) -> None:
        """``announcement_format``: the format in which workers announce themselves; the product's own by default."""
        uses_trial_calls, unrenewed_after = settings.worker_check == "trial", settings.worker_unrenewed_after
        self._context = context
        self._messenger = messenger
        self._membership = membership
        self._is_router = settings.role == "router"
        self._zone = settings.zone
        self._announcement_format = announcement_format or DefaultAnnouncementFormat()
        self._directory = WorkerDirectory(context, lambda pool: self._update_ownership([pool]))
        self._pool_owners = PoolOwners(messenger, membership, self._zone)
        self._ejections = Ejections(context, self._directory)
        self._sums = EngagementSums(messenger.identity.incarnation, self._directory.engagement_max_age_s)
        self._check: WorkerCheck = (
            TrialCalls(context, self, unrenewed_after) if uses_trial_calls else HealthChecks(context, self)
        )
        self._ownership = PoolOwnership(
            context,
            messenger,
            membership,
            self._directory,
            self._pool_owners,
            self._notify_zone,
            uses_trial_calls,
            unrenewed_after,
        )
        self._follower = FeedFollower(
            context,
            messenger,
            membership,
            self._is_router,
            self._zone,
            self._directory,
            self._pool_owners,
            self._ownership,
            self._sums,
            self._ejections,
            self._owner_age,
            self._collect_outcomes,
        )
        self._answers = FeedAnswers(
            context,
            messenger,
            membership,
            self._zone,
            self._directory,
            self._ownership,
            self._sums,
            self._ejections,
            self._owner_age,
        )
        self._announcement_handler = AnnouncementHandler(
            context, messenger, membership, self, self._announcement_format, not self._is_router
        )
        messenger.on_call(WorkerStateReport, self._handle_state_report)
        messenger.on_call(RenewalBatch, self._handle_renewal_batch)
        messenger.on_call(FeedQuestion, self._answers.answer)
        messenger.on_call(WorkerQuestion, self._answer_worker_question)
        messenger.on_post(FeedPush, self._handle_push)
        messenger.on_post(ObservedState, self._handle_observed_state)
        membership.on_change(self._members_changed)

    def start(self) -> None:
        """Starts to follow the owners and to forward renewals."""
        self._context.tasks.spawn("worker feed", self._follow_feeds())
        self._announcement_handler.start()

    def add_routes(self, routes: OperatorRoutes) -> None:
        for route in self._announcement_format.routes:
            routes.add(route.method, route.path, self.handle_announcement)
        routes.add("GET", LIST_PATH, self._list)

    # --- Registry -----------------------------------------------------------------------------

    def ready(self, pool: PoolName) -> Sequence[Worker]:
        return self._check.ready(self._directory.table(pool))

    def find(self, instance: WorkerInstance) -> Worker | None:
        return self._directory.find(instance)

    def all_workers(self) -> Sequence[Worker]:
        """Returns all workers known here, in any state, sorted by pool and instance; for operators."""
        return [record.worker for record in self._directory.records()]

    def pools(self) -> Sequence[PoolName]:
        """Returns all pools known here."""
        return self._directory.pools()

    async def confirm(self, worker: Worker) -> bool:
        return await self._check.confirm(worker)

    def begin(self, instance: WorkerInstance) -> bool:
        return self._check.begin(instance)

    def succeeded(self, instance: WorkerInstance) -> None:
        self._check.succeeded(instance)

    def failed(self, instance: WorkerInstance) -> None:
        self._check.failed(instance)

    def suspect(self, instance: WorkerInstance, reason: str = "") -> None:
        worker = self.find(instance)
        if worker is not None and worker.state != "gone":
            self._check.suspect(worker, reason)

    def misplaced(self, instance: WorkerInstance) -> None:
        worker = self.find(instance)
        if worker is not None and worker.state != "gone":
            self._check.misplaced(worker)

    def abandoned(self, instance: WorkerInstance) -> None:
        self._check.abandoned(instance)

    def cold_left(self, instance: WorkerInstance) -> Seconds:
        return self._directory.cold_left(instance)

    def on_change(self, callback: Callable[[Worker], None]) -> None:
        self._directory.on_change(callback)

    # --- EngagementExchange ----------------------------------------------------------------------

    def register_counter(self, count: Callable[[PoolName], dict[WorkerInstance, Engagement]]) -> None:
        self._sums.count_own = count

    def engagement_of_others(self, instance: WorkerInstance) -> Engagement:
        return self._follower.engagement_of_others(instance)

    def is_suspected(self, instance: WorkerInstance) -> bool:
        """Returns whether calls to the worker, or its health check, failed recently.

        Such a worker may still be listed as ready if too few others are left.
        """
        return self._check.is_suspected(instance)

    # --- for the worker check and the announcement handler -------------------------------------------

    def is_renewed(self, instance: WorkerInstance) -> bool:
        record = self._directory.record(instance)
        return record is not None and record.renewed

    def is_ejected(self, instance: WorkerInstance) -> bool:
        return self._ejections.is_ejected(instance)

    def report_state(self, observed: Worker) -> None:
        self._ownership.report_state(observed)

    def notify_changed(self, worker: Worker) -> None:
        self._directory.notify([worker])

    def pool_owners(self, pool: PoolName) -> Mapping[Zone, Identity]:
        return self._pool_owners.by_zone(pool)

    def accept_first_hand(self, worker: Worker, sequence: int) -> WorkerStateReceipt:
        return self._ownership.accept_first_hand(worker, sequence)

    def renew(self, renewals: Sequence[Renewal]) -> tuple[WorkerInstance, ...]:
        return self._ownership.renew(renewals)

    # --- what is known ------------------------------------------------------------------------

    def watch(self, pool: PoolName) -> None:
        """Starts to follow this pool, even if no turn has requested it yet."""
        self._directory.table(pool)

    def set_default_cache_tokens(self, pool: PoolName, cache_tokens: int) -> None:
        """Sets the KV cache size, in tokens, of the pool's workers that do not announce it themselves."""
        self._directory.table(pool).set_default_cache_tokens(cache_tokens)

    def feed_age(self, pool: PoolName) -> float:
        """Returns the seconds since this daemon's knowledge of the pool was last proven; infinite if it never was."""
        return self._follower.feed_age(pool)

    # --- owners --------------------------------------------------------------------------------

    def _members_changed(self) -> None:
        before = self._pool_owners.refresh()
        self._announcement_handler.owners_changed(before)
        self._update_ownership(self._directory.pools())

    def _update_ownership(self, pools: Sequence[PoolName]) -> None:
        """Starts and ends this daemon's ownership of pools according to the current members."""
        for pool in pools:
            if self._pool_owners.is_own(pool) == self._ownership.owns(pool):
                continue
            self._follower.discard_feeds(pool)  # this daemon marked silent workers itself, so feeds must start over
            if self._ownership.owns(pool):
                self._ownership.end(pool)
            else:
                self._ownership.begin(pool)

    def _owner_age(self, pool: PoolName) -> Seconds:
        """Returns the age of this daemon's knowledge as the pool's owner; infinite if it is no owner or not synced."""
        return self._ownership.age(pool)

    def _notify_zone(self, pool: PoolName, workers: Sequence[Worker], previous: int) -> None:
        """Sends changed workers to the other routers of the zone, if this daemon is a router."""
        if workers and self._is_router:
            self._push(pool, workers, previous)

    def _push(self, pool: PoolName, workers: Sequence[Worker], previous: int) -> None:
        table = self._directory.table(pool)
        own = self._messenger.identity
        entries = table.entries(self._now(), [worker.instance for worker in workers])
        push = FeedPush(own.incarnation, pool, previous, table.sequence, entries)
        for router in self._membership.routers():
            if router.zone == self._zone and router.incarnation != own.incarnation:
                self._messenger.post(router.internal, push)

    # --- messages -----------------------------------------------------------------------------

    async def _handle_state_report(self, peer: Identity, message: WorkerStateReport) -> WorkerStateReceipt:
        return self.accept_first_hand(message.worker, message.sequence)

    async def _handle_renewal_batch(self, peer: Identity, message: RenewalBatch) -> RenewalBatchReceipt:
        return RenewalBatchReceipt(self.renew(message.renewals))

    async def _answer_worker_question(self, peer: Identity, message: WorkerQuestion) -> WorkerAnswer:
        ages = [self.feed_age(pool) for pool in self._directory.pools()]
        return WorkerAnswer(self.find(message.instance), Seconds(max(ages, default=float("inf"))))

    def _handle_push(self, peer: Identity, push: FeedPush) -> None:
        self._follower.apply_push(push)

    def _handle_observed_state(self, peer: Identity, message: ObservedState) -> None:
        self._ownership.merge_reported(WorkerEntry(message.worker, True))

    # --- rounds -------------------------------------------------------------------------------

    async def _follow_feeds(self) -> None:
        last = self._now()
        while True:
            now = self._now()
            session = self._membership.session_confirmed_at()
            if now - last > SESSION_PROOF_MAX_AGE_S or session is None or now - session > SESSION_PROOF_MAX_AGE_S:
                self._ownership.mark_unsynced()
            last = now
            self._follower.ask_round()
            self._mark_unrenewed()
            await self._context.clock.sleep(FEED_INTERVAL_S)

    def _mark_unrenewed(self) -> None:
        for pool in self._ownership.pools():
            self._ownership.update_synced(pool)
            table = self._directory.table(pool)
            self._ejections.judge(table, self._collect_outcomes(sorted(table.records)))
            self._ownership.mark_unrenewed(pool)
        for instance in self._directory.evict_old():
            self._check.forget(instance)

    def _collect_outcomes(self, instances: Sequence[WorkerInstance]) -> Mapping[WorkerInstance, Outcomes]:
        return self._check.collect_outcomes(instances)

    # --- announcements ------------------------------------------------------------------------

    async def handle_announcement(self, request: OperatorRequest) -> OperatorReply:
        return await self._announcement_handler.handle_announcement(request)

    async def accept_announcement(self, worker: Worker, sequence: int = 0) -> OperatorReply:
        return await self._announcement_handler.accept_announcement(worker, sequence)

    async def accept_departure(self, instance: WorkerInstance) -> OperatorReply:
        return await self._announcement_handler.accept_departure(instance)

    async def _list(self, request: OperatorRequest) -> OperatorReply:
        return worker_list_reply(
            [
                (record.worker, record.renewed, self._check.is_suspected(record.worker.instance))
                for record in self._directory.records()
            ]
        )

    def _now(self) -> Instant:
        return self._context.clock.monotonic()
