"""Keeps workers' states as a home, follows the homes, tells which workers to use (docs/DESIGN.md section 10)."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from ..context.protocols import Context
from ..identifiers import Instant, PoolName, Seconds, WorkerInstance, Zone
from ..membership.protocols import Membership
from ..operator_api.protocols import OperatorReply, OperatorRequest, OperatorRoutes
from ..settings.model import DaemonSettings
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .announcement_taker import AnnouncementTaker
from .announcements import AnnouncementFormat
from .ejections import Ejections
from .engagement import EngagementSums
from .feed_answers import FeedAnswers
from .feed_limits import ASK_EVERY, SESSION_BOUND
from .home_duties import HomeDuties
from .home_follower import HomeFollower
from .messages import (
    AskWorker,
    FeedPush,
    FeedQuestion,
    Renewal,
    RenewalsTaken,
    StateSeen,
    StateTaken,
    TakeRenewals,
    TakeState,
    WorkerEntry,
    WorkerTold,
)
from .outliers import Outcomes
from .protocols import Engagement, Worker
from .worker_announcements import LIST_PATH, OwnAnnouncements, list_of
from .worker_checks import HealthChecks, TrialCalls, WorkerCheck
from .worker_directory import WorkerDirectory
from .zone_homes import ZoneHomes


class WorkerRegistry:
    """Registry, CallOutcomes and EngagementExchange. Runs on every daemon; only routers are homes."""

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        membership: Membership,
        settings: DaemonSettings,
        form: AnnouncementFormat | None = None,
    ) -> None:
        """``form``: how workers announce themselves to this daemon; the product's own if not given."""
        by_trial, unrenewed_after = settings.worker_check == "trial", settings.worker_unrenewed_after
        self._context = context
        self._messenger = messenger
        self._membership = membership
        self._is_router = settings.role == "router"
        self._zone = settings.zone
        self._form = form or OwnAnnouncements()
        self._directory = WorkerDirectory(context, lambda pool: self._assume_homes([pool]))
        self._zone_homes = ZoneHomes(messenger, membership, self._zone)
        self._ejections = Ejections(context, self._directory)
        self._sums = EngagementSums(messenger.identity.incarnation, self._directory.engaged_trusted)
        self._check: WorkerCheck = (
            TrialCalls(context, self, unrenewed_after) if by_trial else HealthChecks(context, self)
        )
        self._duties = HomeDuties(
            context,
            messenger,
            membership,
            self._directory,
            self._zone_homes,
            self._tell_zone,
            by_trial,
            unrenewed_after,
        )
        self._follower = HomeFollower(
            context,
            messenger,
            membership,
            self._is_router,
            self._zone,
            self._directory,
            self._zone_homes,
            self._duties,
            self._sums,
            self._ejections,
            self._home_age,
            self._take_outcomes,
        )
        self._answers = FeedAnswers(
            context,
            messenger,
            membership,
            self._zone,
            self._directory,
            self._duties,
            self._sums,
            self._ejections,
            self._home_age,
        )
        self._taker = AnnouncementTaker(context, messenger, membership, self, self._form, not self._is_router)
        messenger.on_call(TakeState, self._take_state)
        messenger.on_call(TakeRenewals, self._take_renewals)
        messenger.on_call(FeedQuestion, self._answers.answer)
        messenger.on_call(AskWorker, self._tell_worker)
        messenger.on_post(FeedPush, self._take_push)
        messenger.on_post(StateSeen, self._take_seen)
        membership.on_change(self._members_changed)

    def start(self) -> None:
        self._context.tasks.spawn("worker feed", self._follow())
        self._taker.start()

    def add_routes(self, routes: OperatorRoutes) -> None:
        for route in self._form.routes:
            routes.add(route.method, route.path, self.announce)
        routes.add("GET", LIST_PATH, self._list)

    # --- Registry -----------------------------------------------------------------------------

    def ready(self, pool: PoolName) -> Sequence[Worker]:
        return self._check.ready(self._directory.table(pool))

    def find(self, instance: WorkerInstance) -> Worker | None:
        return self._directory.find(instance)

    def all_workers(self) -> Sequence[Worker]:
        """Every worker known here, of whatever state, by pool and instance; for operators."""
        return [record.worker for record in self._directory.records()]

    def pools(self) -> Sequence[PoolName]:
        """Every pool known here."""
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

    def count_with(self, count: Callable[[PoolName], dict[WorkerInstance, Engagement]]) -> None:
        self._sums.count = count

    def elsewhere(self, instance: WorkerInstance) -> Engagement:
        return self._follower.elsewhere(instance)

    def is_suspected(self, instance: WorkerInstance) -> bool:
        """Whether calls there, or its health check, failed of late; as a last resort it may be ready all the same."""
        return self._check.is_suspected(instance)

    # --- for the worker check and the announcement taker ---------------------------------------------

    def is_renewed(self, instance: WorkerInstance) -> bool:
        record = self._directory.record(instance)
        return record is not None and record.renewed

    def is_ejected(self, instance: WorkerInstance) -> bool:
        return self._ejections.is_ejected(instance)

    def learnt(self, seen: Worker) -> None:
        self._duties.learnt(seen)

    def changed(self, worker: Worker) -> None:
        self._directory.notify([worker])

    def zone_homes(self, pool: PoolName) -> Mapping[Zone, Identity]:
        return self._zone_homes.of(pool)

    def take_first_hand(self, worker: Worker, sequence: int) -> StateTaken:
        return self._duties.take_first_hand(worker, sequence)

    def renew(self, renewals: Sequence[Renewal]) -> tuple[WorkerInstance, ...]:
        return self._duties.renew(renewals)

    # --- what is known ------------------------------------------------------------------------

    def watch(self, pool: PoolName) -> None:
        """Follow this pool from now on, also before a turn asks for it."""
        self._directory.table(pool)

    def describe(self, pool: PoolName, cache_tokens: int) -> None:
        """The KV cache of each of the pool's workers, for those that don't announce it."""
        self._directory.table(pool).describe(cache_tokens)

    def feed_age(self, pool: PoolName) -> float:
        """Seconds since this daemon's knowledge of the pool was last proven; infinite when never."""
        return self._follower.feed_age(pool)

    # --- homes --------------------------------------------------------------------------------

    def _members_changed(self) -> None:
        before = self._zone_homes.regroup()
        self._taker.homes_changed(before)
        self._assume_homes(self._directory.pools())

    def _assume_homes(self, pools: Sequence[PoolName]) -> None:
        """Begins and ends this daemon's own duties as the present members have it."""
        for pool in pools:
            if self._zone_homes.is_own(pool) == self._duties.has(pool):
                continue
            self._follower.drop_feeds(pool)  # renewals were judged here meanwhile, so all is asked for anew
            if self._duties.has(pool):
                self._duties.end(pool)
            else:
                self._duties.begin(pool)

    def _home_age(self, pool: PoolName) -> Seconds:
        """How old this daemon's knowledge as the pool's home is; infinite when it is no home, or knows too little."""
        return self._duties.age(pool)

    def _tell_zone(self, pool: PoolName, workers: Sequence[Worker], previous: int) -> None:
        """Routers tell the others of their zone of workers that changed."""
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

    async def _take_state(self, peer: Identity, message: TakeState) -> StateTaken:
        return self.take_first_hand(message.worker, message.announced)

    async def _take_renewals(self, peer: Identity, message: TakeRenewals) -> RenewalsTaken:
        return RenewalsTaken(self.renew(message.renewals))

    async def _tell_worker(self, peer: Identity, message: AskWorker) -> WorkerTold:
        ages = [self.feed_age(pool) for pool in self._directory.pools()]
        return WorkerTold(self.find(message.instance), Seconds(max(ages, default=float("inf"))))

    def _take_push(self, peer: Identity, push: FeedPush) -> None:
        self._follower.take_push(push)

    def _take_seen(self, peer: Identity, message: StateSeen) -> None:
        self._duties.take_handed_over(WorkerEntry(message.worker, True))

    # --- rounds -------------------------------------------------------------------------------

    async def _follow(self) -> None:
        last = self._now()
        while True:
            now = self._now()
            session = self._membership.session_proven_at()
            if now - last > SESSION_BOUND or session is None or now - session > SESSION_BOUND:
                self._duties.unsettle()
            last = now
            self._follower.ask_round()
            self._expire()
            await self._context.clock.sleep(ASK_EVERY)

    def _expire(self) -> None:
        for pool in self._duties.pools():
            self._duties.settle(pool)
            table = self._directory.table(pool)
            self._ejections.judge(table, self._take_outcomes(sorted(table.records)))
            self._duties.expire(pool)
        for instance in self._directory.forget_old():
            self._check.forget(instance)

    def _take_outcomes(self, instances: Sequence[WorkerInstance]) -> Mapping[WorkerInstance, Outcomes]:
        return self._check.take_outcomes(instances)

    # --- announcements ------------------------------------------------------------------------

    async def announce(self, request: OperatorRequest) -> OperatorReply:
        return await self._taker.announce(request)

    async def announced(self, worker: Worker, sequence: int = 0) -> OperatorReply:
        return await self._taker.announced(worker, sequence)

    async def departed(self, instance: WorkerInstance) -> OperatorReply:
        return await self._taker.departed(instance)

    async def _list(self, request: OperatorRequest) -> OperatorReply:
        return list_of(
            [
                (record.worker, record.renewed, self._check.is_suspected(record.worker.instance))
                for record in self._directory.records()
            ]
        )

    def _now(self) -> Instant:
        return self._context.clock.monotonic()
