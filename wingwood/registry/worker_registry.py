"""Keeps workers' states as a home, follows the homes, tells which workers to use (docs/DESIGN.md section 10)."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

import msgspec
from returns.result import Success

from ..context.protocols import Context
from ..identifiers import Incarnation, Instant, PoolName, Seconds, WorkerInstance, Zone
from ..membership.protocols import Membership
from ..membership.rendezvous import ranked
from ..operator_api.protocols import OperatorReply, OperatorRequest, OperatorRoutes
from ..settings.model import DaemonSettings
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .announcement_taker import AnnouncementTaker
from .announcements import AnnouncementFormat
from .engagement import EngagementSums, Told, by_instance, by_number
from .messages import (
    AskWorker,
    CallCounts,
    Counts,
    FeedAnswer,
    FeedPush,
    FeedQuestion,
    PoolAnswer,
    PoolQuestion,
    Renewal,
    RenewalsTaken,
    StateSeen,
    StateTaken,
    TakeRenewals,
    TakeState,
    WorkerEntry,
    WorkerTold,
)
from .outliers import Outcomes, OutlierDetector
from .pool_table import PoolTable, WorkerRecord
from .protocols import Engagement, Worker, WorkerLoad
from .worker_announcements import LIST_PATH, OwnAnnouncements, list_of
from .worker_checks import HealthChecks, TrialCalls, WorkerCheck

ASK_EVERY = Seconds(0.3)
ASK_TIMEOUT = Seconds(0.4)
SESSION_BOUND = Seconds(1.5)
"""A home whose membership was proven longer ago may have been passed over by announcements."""
ANOTHER_ZONE_AFTER = Seconds(0.8)
"""A follower whose knowledge was proven longer ago asks another zone's home as well; usual is up to 0.6 s."""
DEAF_AFTER = Seconds(2.0)
"""A home that hears no renewal of any worker for so long takes the silence for control's, not the workers'."""
EJECTED_TRUSTED = Seconds(2.0)
ENGAGED_TRUSTED = Seconds(2.0)
LOADS_AT_ONCE = 40
"""A pool of more workers is told of their loads less often, in proportion."""
NEIGHBOUR_EVERY = 10
"""Rounds between the questions to a neighbour for pools not known here."""
OFFERED_MOST = 5_000


class _Feed(msgspec.Struct):
    """What this daemon has from a home that it follows."""

    sequence: int = -1
    load_sequence: int = -1
    loads_at: Instant = Instant(float("-inf"))
    """When loads and counts were last asked for."""
    numbers: dict[int, WorkerInstance] = msgspec.field(default_factory=dict)
    by_instance: dict[WorkerInstance, int] = msgspec.field(default_factory=dict)

    def name(self, entries: Sequence[WorkerEntry]) -> None:
        for entry in entries:
            self.numbers[entry.number] = entry.worker.instance
            self.by_instance[entry.worker.instance] = entry.number


class _Home(msgspec.Struct):
    """This daemon's own duty for one pool."""

    settled: bool = False
    answered: dict[Incarnation, Instant] = msgspec.field(default_factory=dict)
    """The other zones' homes that have answered, and when they were last asked with success."""


class _Ejected(msgspec.Struct, frozen=True):
    at: Instant
    instances: frozenset[WorkerInstance]


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
        self._context = context
        self._messenger = messenger
        self._membership = membership
        self._is_router = settings.role == "router"
        self._zone = settings.zone
        self._unrenewed_after = settings.worker_unrenewed_after
        self._by_trial = settings.worker_check == "trial"
        self._form = form or OwnAnnouncements()
        self._tables: dict[PoolName, PoolTable] = {}
        self._pool_of: dict[WorkerInstance, PoolName] = {}
        self._feeds: dict[tuple[PoolName, Incarnation], _Feed] = {}
        self._proven_at: dict[PoolName, Instant] = {}
        self._homes: dict[PoolName, _Home] = {}
        self._started_at = self._renewals_heard_at = context.clock.monotonic()
        self._zone_routers = self._group_routers()
        self._home_cache: dict[PoolName, dict[Zone, Identity]] = {}
        self._stale_homes: dict[PoolName, dict[Zone, Identity]] = {}
        """Homes in zones that did not change, of pools not asked for since."""
        self._asking: set[Incarnation] = set()
        self._sums = EngagementSums(messenger.identity.incarnation, self._engaged_trusted)
        self._elsewhere: dict[PoolName, Told] = {}
        self._outliers: dict[PoolName, OutlierDetector] = {}
        self._ejected: dict[PoolName, _Ejected] = {}
        self._check: WorkerCheck = (
            TrialCalls(context, self, self._unrenewed_after) if self._by_trial else HealthChecks(context, self)
        )
        self._taker = AnnouncementTaker(context, messenger, membership, self, self._form, not self._is_router)
        self._listeners: list[Callable[[Worker], None]] = []
        self._round = 0
        messenger.on_call(TakeState, self._take_state)
        messenger.on_call(TakeRenewals, self._take_renewals)
        messenger.on_call(FeedQuestion, self._answer_feed)
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
        return self._check.ready(self._table(pool))

    def find(self, instance: WorkerInstance) -> Worker | None:
        record = self._record(instance)
        return None if record is None else record.worker

    def all_workers(self) -> Sequence[Worker]:
        """Every worker known here, of whatever state, by pool and instance; for operators."""
        return [
            record.worker for _, table in sorted(self._tables.items()) for _, record in sorted(table.records.items())
        ]

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
        pool = self._pool_of.get(instance)
        return Seconds(0.0) if pool is None else self._tables[pool].cold_left(instance, self._now())

    def on_change(self, callback: Callable[[Worker], None]) -> None:
        self._listeners.append(callback)

    # --- EngagementExchange ----------------------------------------------------------------------

    def count_with(self, count: Callable[[PoolName], dict[WorkerInstance, Engagement]]) -> None:
        self._sums.count = count

    def elsewhere(self, instance: WorkerInstance) -> Engagement:
        pool = self._pool_of.get(instance)
        if pool is None:
            return Engagement()
        told = self._elsewhere.get(pool)
        if told is None or self._now() - told.at > self._engaged_trusted(pool):
            return Engagement()
        return told.engaged.get(instance, Engagement())

    def is_suspected(self, instance: WorkerInstance) -> bool:
        """Whether calls there, or its health check, failed of late; as a last resort it may be ready all the same."""
        return self._check.is_suspected(instance)

    # --- for the worker check ---------------------------------------------------------------------

    def is_renewed(self, instance: WorkerInstance) -> bool:
        record = self._record(instance)
        return record is not None and record.renewed

    def is_ejected(self, instance: WorkerInstance) -> bool:
        pool = self._pool_of.get(instance)
        ejected = None if pool is None else self._ejected.get(pool)
        return ejected is not None and instance in ejected.instances and self._now() - ejected.at <= EJECTED_TRUSTED

    def learnt(self, seen: Worker) -> None:
        self._take_handed_over(WorkerEntry(seen, True))
        for home in self.zone_homes(seen.pool).values():
            if home.incarnation != self._messenger.identity.incarnation:
                self._messenger.post(home.internal, StateSeen(seen))

    def changed(self, worker: Worker) -> None:
        self._notify([worker])

    # --- what is known ------------------------------------------------------------------------

    def watch(self, pool: PoolName) -> None:
        """Follow this pool from now on, also before a turn asks for it."""
        self._table(pool)

    def describe(self, pool: PoolName, cache_tokens: int) -> None:
        """The KV cache of each of the pool's workers, for those that don't announce it."""
        self._table(pool).describe(cache_tokens)

    def feed_age(self, pool: PoolName) -> float:
        """Seconds since this daemon's knowledge of the pool was last proven; infinite when never."""
        now = self._now()
        own = self._home_age(pool)
        if own != float("inf"):
            return own
        proven = self._proven_at.get(pool)
        return float("inf") if proven is None else now - proven

    def _now(self) -> Instant:
        return self._context.clock.monotonic()

    def _record(self, instance: WorkerInstance) -> WorkerRecord | None:
        pool = self._pool_of.get(instance)
        return None if pool is None else self._tables[pool].records.get(instance)

    def _table(self, pool: PoolName) -> PoolTable:
        table = self._tables.get(pool)
        if table is None:
            table = self._tables[pool] = PoolTable(pool)
            self._assume_homes([pool])
        return table

    def _notify(self, workers: Sequence[Worker]) -> None:
        for worker in workers:
            for listener in self._listeners:
                listener(worker)

    def _merge(self, entry: WorkerEntry, judge_renewal: bool) -> bool:
        worker = entry.worker
        table = self._table(worker.pool)
        if not table.merge(entry, self._now(), judge_renewal):
            return False
        self._changed([table.records[worker.instance].worker])
        return True

    def _loads_every(self, pool: PoolName) -> float:
        return ASK_EVERY * max(1.0, len(self._tables[pool].records) / LOADS_AT_ONCE)

    def _engaged_trusted(self, pool: PoolName) -> float:
        return ENGAGED_TRUSTED + 2 * self._loads_every(pool)

    def _changed(self, workers: Sequence[Worker]) -> None:
        """To the log and to the listeners."""
        for worker in workers:
            record = self._tables[worker.pool].records[worker.instance]
            if record.renewed or worker.instance not in self._pool_of:
                self._pool_of[worker.instance] = worker.pool
            self._context.log.event(
                "worker-state",
                worker=worker.instance,
                address=worker.address,
                pool=worker.pool,
                state=worker.state if record.renewed else f"{worker.state}-unrenewed",
            )
        self._notify(workers)

    # --- homes --------------------------------------------------------------------------------

    def _followed_zone(self) -> Zone:
        """The own zone, or the first with a router for a control daemon that stands alone in its zone."""
        zones = self._zone_routers
        return self._zone if self._zone in zones or not zones else next(iter(zones))

    def zone_homes(self, pool: PoolName) -> dict[Zone, Identity]:
        homes = self._home_cache.get(pool)
        if homes is None:
            stale = self._stale_homes.pop(pool, {})
            homes = self._home_cache[pool] = {
                zone: stale.get(zone) or ranked(f"workers/{pool}", routers, lambda router: router.name)[0]
                for zone, routers in self._zone_routers.items()
            }
        return homes

    def _group_routers(self) -> dict[Zone, tuple[Identity, ...]]:
        zones: dict[Zone, list[Identity]] = {}
        for router in self._membership.routers():
            zones.setdefault(router.zone, []).append(router)
        return {zone: tuple(routers) for zone, routers in sorted(zones.items())}

    def _home_of(self, pool: PoolName, zone: Zone) -> Identity | None:
        return self.zone_homes(pool).get(zone)

    def _is_home(self, pool: PoolName) -> bool:
        home = self._home_of(pool, self._zone)
        return home is not None and home.incarnation == self._messenger.identity.incarnation

    def _members_changed(self) -> None:
        """Homes are ranked anew only in zones whose routers changed: ranking costs a hash for each router and pool."""
        zones_before, self._zone_routers = self._zone_routers, self._group_routers()
        unchanged = {zone for zone, routers in self._zone_routers.items() if zones_before.get(zone) == routers}
        before, self._home_cache = self._home_cache, {}
        self._stale_homes = {
            pool: {zone: home for zone, home in homes.items() if zone in unchanged}
            for pool, homes in {**self._stale_homes, **before}.items()
        }
        self._taker.homes_changed(before)
        self._assume_homes(sorted(self._tables))

    def _assume_homes(self, pools: Sequence[PoolName]) -> None:
        now = self._now()
        for pool in pools:
            if self._is_home(pool) == (pool in self._homes):
                continue
            for followed in [key for key in self._feeds if key[0] == pool]:
                del self._feeds[followed]  # renewals were judged here meanwhile, so all is asked for anew
            if pool in self._homes:
                del self._homes[pool]
            else:
                self._homes[pool] = _Home()
                self._tables[pool].all_renewed(now)
                self._settle(pool)

    def _other_homes(self, pool: PoolName) -> set[Incarnation]:
        return {identity.incarnation for zone, identity in self.zone_homes(pool).items() if zone != self._zone}

    def _home_age(self, pool: PoolName) -> Seconds:
        """How old this home's knowledge is: that of the freshest majority of the zones' homes, its own among them.

        An acknowledged state is with a majority of them, so one of these has it.
        """
        home = self._homes.get(pool)
        now = self._now()
        session = self._membership.session_proven_at()
        if home is None or not home.settled or session is None or now - session > SESSION_BOUND:
            return Seconds(float("inf"))
        others = self._other_homes(pool)
        answered = sorted((home.answered.get(other, Instant(float("-inf"))) for other in others), reverse=True)
        needed = (len(others) + 1) // 2
        return Seconds(0.0 if needed == 0 else now - answered[needed - 1])

    def _settle(self, pool: PoolName) -> None:
        """A new home counts as settled when every other zone's home has answered. Until then it vouches for nothing."""
        home = self._homes.get(pool)
        if home is None or home.settled:
            return
        home.settled = self._other_homes(pool) <= home.answered.keys()

    def _push(self, pool: PoolName, workers: Sequence[Worker], previous: int) -> None:
        if not workers or not self._is_router:
            return
        table = self._tables[pool]
        own = self._messenger.identity
        push = FeedPush(
            own.incarnation,
            pool,
            previous,
            table.sequence,
            table.entries(self._now(), [worker.instance for worker in workers]),
        )
        for router in self._membership.routers():
            if router.zone == self._zone and router.incarnation != own.incarnation:
                self._messenger.post(router.internal, push)

    async def _take_state(self, peer: Identity, message: TakeState) -> StateTaken:
        return self.take_first_hand(message.worker, message.announced)

    def take_first_hand(self, worker: Worker, sequence: int) -> StateTaken:
        table = self._table(worker.pool)
        previous, is_new = table.sequence, worker.instance not in table.records
        changed = table.announced(worker, self._now(), sequence)
        self._changed(changed)
        self._push(worker.pool, changed, previous)
        self._hear_renewals()
        if is_new and worker.state == "ready":
            self._end_in_other_pools(worker)
        return StateTaken(table.records[worker.instance].worker, self._is_home(worker.pool), len(self._zone_routers))

    def _end_in_other_pools(self, worker: Worker) -> None:
        """Its address was another's, of another pool: that one is gone."""
        for pool, table in sorted(self._tables.items()):
            if pool != worker.pool:
                for other in table.at_address(worker.address):
                    if other.instance == worker.instance:
                        continue
                    self.learnt(msgspec.structs.replace(other, state="gone", load=None))

    async def _tell_worker(self, peer: Identity, message: AskWorker) -> WorkerTold:
        ages = [self.feed_age(pool) for pool in sorted(self._tables)]
        return WorkerTold(self.find(message.instance), Seconds(max(ages, default=float("inf"))))

    def _hear_renewals(self) -> None:
        """After a time in which nobody was heard, each worker's own silence counts from now."""
        now = self._now()
        if self._by_trial and now - self._renewals_heard_at > DEAF_AFTER:
            for pool in self._homes:
                self._tables[pool].all_renewed(now)
        self._renewals_heard_at = now

    async def _take_renewals(self, peer: Identity, message: TakeRenewals) -> RenewalsTaken:
        return RenewalsTaken(self.renew(message.renewals))

    def renew(self, renewals: Sequence[Renewal]) -> tuple[WorkerInstance, ...]:
        unknown = []
        self._hear_renewals()
        for renewal in renewals:
            table = self._table(renewal.pool)
            previous = table.sequence
            load = None if renewal.load is None else WorkerLoad(*renewal.load)
            outcome = table.renewed(renewal.instance, load, self._now(), renewal.sequence)
            if outcome is None:
                unknown.append(renewal.instance)
                continue
            worker = table.records[renewal.instance].worker
            if outcome:
                self._changed([worker])
                self._push(renewal.pool, [worker], previous)
            elif load is not None:
                self._notify([worker])
        return tuple(unknown)

    async def _answer_feed(self, peer: Identity, message: FeedQuestion) -> FeedAnswer:
        now = self._now()
        proven = self._membership.session_proven_at()
        own = self._messenger.identity.incarnation
        answers = []
        for question in message.pools:
            table = self._table(question.pool)
            for entry in question.offered:
                self._take_handed_over(entry)
            follows = question.home == own
            if follows:
                self._take_counts(peer, table, question, now)
            home = self._homes.get(question.pool)
            load_sequence = question.load_sequence
            answers.append(
                PoolAnswer(
                    question.pool,
                    home is not None and home.settled,
                    self._home_age(question.pool),
                    table.sequence,
                    table.changed_since(question.sequence if follows else -1, now),
                    table.load_sequence,
                    table.loads_since(load_sequence) if follows and load_sequence is not None else {},
                    self._counts_for(peer, table) if load_sequence is not None else None,
                    self._ejected_numbers(table) if peer.zone == self._zone else (),
                )
            )
        known = () if message.pools else tuple(sorted(self._tables))
        age = Seconds(float("inf") if proven is None else now - proven)
        return FeedAnswer(own, age, tuple(answers), known)

    def _take_counts(self, peer: Identity, table: PoolTable, question: PoolQuestion, now: Instant) -> None:
        if question.engaged is not None:
            told = Told(now, by_instance(question.engaged, table.numbers))
            if peer.zone == self._zone:
                self._sums.router_told(table.pool, peer.incarnation, told)
            elif peer.role == "router":
                self._sums.zone_told(table.pool, peer.zone, told)
        for number, (succeeded, failed) in (question.outcomes or {}).items():
            if number in table.numbers:
                self._record_outcomes(table.pool, {table.numbers[number]: Outcomes(succeeded, failed)})

    def _counts_for(self, peer: Identity, table: PoolTable) -> Counts:
        now = self._now()
        engaged = (
            self._sums.by_others(table.pool, peer.incarnation, now)
            if peer.zone == self._zone
            else self._sums.in_zone(table.pool, now)
        )
        return by_number(engaged, {instance: record.number for instance, record in table.records.items()})

    def _record_outcomes(self, pool: PoolName, outcomes: Mapping[WorkerInstance, Outcomes]) -> None:
        detector = self._outliers.setdefault(pool, OutlierDetector())
        for instance, counted in outcomes.items():
            detector.record(instance, counted, self._now())

    def _ejected_numbers(self, table: PoolTable) -> tuple[int, ...]:
        ejected = self._ejected.get(table.pool)
        if ejected is None:
            return ()
        return tuple(table.records[each].number for each in sorted(ejected.instances) if each in table.records)

    def _take_handed_over(self, entry: WorkerEntry) -> None:
        table = self._table(entry.worker.pool)
        previous = table.sequence
        if self._merge(entry, judge_renewal=False):
            self._push(entry.worker.pool, [entry.worker], previous)

    # --- following the homes ------------------------------------------------------------------

    async def _follow(self) -> None:
        last = self._now()
        while True:
            now = self._now()
            session = self._membership.session_proven_at()
            if now - last > SESSION_BOUND or session is None or now - session > SESSION_BOUND:
                self._unsettle(now)
            last = now
            self._ask_round()
            self._expire()
            await self._context.clock.sleep(ASK_EVERY)

    def _unsettle(self, now: Instant) -> None:
        """This daemon was frozen or cut off: it must pull again what others keep, and may have missed renewals."""
        for pool, home in self._homes.items():
            home.settled = False
            home.answered.clear()
            self._tables[pool].all_renewed(now)

    def _ask_round(self) -> None:
        """One question to each home this daemon follows, and one to a neighbour for pools not known here."""
        own = self._messenger.identity.incarnation
        zone = self._followed_zone()
        targets: dict[Incarnation, tuple[Identity, list[PoolName]]] = {}
        for pool in sorted(self._tables):
            homes = self.zone_homes(pool)
            if self._is_home(pool):
                self._elsewhere[pool] = Told(self._now(), self._sums.by_others(pool, own, self._now()))
                followed = [identity for other, identity in homes.items() if other != self._zone]
            else:
                followed = [homes[zone]] if zone in homes else []
                followed += self._stand_ins(pool, homes, zone)
            for identity in followed:
                targets.setdefault(identity.incarnation, (identity, []))[1].append(pool)
        self._round += 1
        if not self._tables or self._round % NEIGHBOUR_EVERY == 0:
            neighbours = [router for router in self._membership.routers() if router.incarnation != own]
            if neighbours:
                neighbour = neighbours[self._round // NEIGHBOUR_EVERY % len(neighbours)]
                targets.setdefault(neighbour.incarnation, (neighbour, []))
        for incarnation in sorted(targets):
            if incarnation not in self._asking:
                identity, pools = targets[incarnation]
                self._asking.add(incarnation)
                self._context.tasks.spawn(f"ask feed {identity.name}", self._ask(identity, pools))

    def _stand_ins(self, pool: PoolName, homes: Mapping[Zone, Identity], zone: Zone) -> list[Identity]:
        """Another zone's home while the followed one proves nothing; a different one in each round."""
        others = [identity for other, identity in homes.items() if other != zone]
        unproven_for = min(self.feed_age(pool), self._now() - self._started_at)
        if not others or unproven_for <= ANOTHER_ZONE_AFTER:
            return []
        return [others[self._round % len(others)]]

    def _question(self, identity: Identity, pool: PoolName) -> PoolQuestion:
        is_home = self._is_home(pool)
        feed = self._feeds.get((pool, identity.incarnation))
        if feed is None:
            offered = self._tables[pool].entries(self._now())[:OFFERED_MOST] if self._is_router and not is_home else ()
            return PoolQuestion(pool, Incarnation(""), -1, -1, None, offered)
        now = self._now()
        follows = is_home or identity.zone == self._followed_zone()
        if not follows or now - feed.loads_at < self._loads_every(pool) - ASK_EVERY / 2:
            return PoolQuestion(pool, identity.incarnation, feed.sequence, None, None)
        feed.loads_at = now
        engaged = self._sums.in_zone(pool, now) if is_home else self._sums.count(pool)
        return PoolQuestion(
            pool,
            identity.incarnation,
            feed.sequence,
            feed.load_sequence,
            by_number(engaged, feed.by_instance),
            outcomes=None if is_home else self._outcomes(pool, feed.by_instance),
        )

    def _outcomes(self, pool: PoolName, numbers: Mapping[WorkerInstance, int]) -> CallCounts | None:
        counted = self._check.take_outcomes(sorted(self._tables[pool].records))
        told = {
            numbers[instance]: (outcomes.succeeded, outcomes.failed)
            for instance, outcomes in counted.items()
            if instance in numbers
        }
        return told or None

    async def _ask(self, identity: Identity, pools: Sequence[PoolName]) -> None:
        asked_at = self._now()
        question = FeedQuestion(tuple(self._question(identity, pool) for pool in pools))
        try:
            answered = await self._messenger.call(identity.internal, question, FeedAnswer, ASK_TIMEOUT)
        finally:
            self._asking.discard(identity.incarnation)
        if not isinstance(answered, Success):
            return
        answer: FeedAnswer = answered.unwrap()
        if answer.home != identity.incarnation:
            return
        for pool in answer.known_pools:
            self._table(pool)
        for part in answer.pools:
            self._take_answer(identity, answer, part, asked_at)

    def _take_answer(self, identity: Identity, answer: FeedAnswer, part: PoolAnswer, asked_at: Instant) -> None:
        table = self._table(part.pool)
        is_home = self._is_home(part.pool)
        followed = self._home_of(part.pool, identity.zone)
        if followed is None or followed.incarnation != identity.incarnation:
            return
        if is_home and identity.zone == self._zone:
            return
        stands_in = not is_home and identity.zone != self._followed_zone()
        if stands_in:
            self._take_stand_in(part, answer, asked_at)
            return
        for entry in part.entries:
            if is_home:
                self._take_handed_over(entry)
            else:
                self._merge(entry, judge_renewal=part.settled)
        feed = self._feeds.get((part.pool, answer.home))
        if feed is None:
            feed = self._followed_anew(part.pool, answer.home)
        feed.name(part.entries)
        if is_home or part.settled:  # what an unsettled home says of renewals is asked again
            feed.sequence = max(feed.sequence, part.sequence)
        for number, load in part.loads.items():
            instance = feed.numbers.get(number)
            if instance is not None and table.set_load(instance, WorkerLoad(*load)):
                self._notify([table.records[instance].worker])
        if part.engaged is not None:
            feed.load_sequence = max(feed.load_sequence, part.load_sequence)
            told = Told(self._now(), by_instance(part.engaged, feed.numbers))
            if is_home:
                self._sums.zone_told(part.pool, identity.zone, told)
            else:
                self._elsewhere[part.pool] = told
        if is_home:
            self._homes[part.pool].answered[identity.incarnation] = asked_at
            self._settle(part.pool)
            return
        ejected = frozenset(feed.numbers[number] for number in part.ejected if number in feed.numbers)
        self._set_ejected(part.pool, ejected)
        self._prove(part, answer, asked_at)

    def _take_stand_in(self, part: PoolAnswer, answer: FeedAnswer, asked_at: Instant) -> None:
        """Another zone's home: its word on renewals counts while the followed one gives none."""
        judge = part.settled and self.feed_age(part.pool) > ANOTHER_ZONE_AFTER
        for entry in part.entries:
            self._merge(entry, judge_renewal=judge)
        if judge:
            for key in [key for key in self._feeds if key[0] == part.pool and key[1] != answer.home]:
                del self._feeds[key]  # renewals were judged by another meanwhile, so all is asked for anew
        feed = self._feeds.get((part.pool, answer.home)) or self._followed_anew(part.pool, answer.home)
        feed.name(part.entries)
        if part.settled:
            feed.sequence = max(feed.sequence, part.sequence)
        self._prove(part, answer, asked_at)

    def _prove(self, part: PoolAnswer, answer: FeedAnswer, asked_at: Instant) -> None:
        if part.settled and answer.session_age <= SESSION_BOUND:
            proven = Instant(asked_at - part.age)
            self._proven_at[part.pool] = max(proven, self._proven_at.get(part.pool, proven))

    def _set_ejected(self, pool: PoolName, instances: frozenset[WorkerInstance]) -> None:
        before = self._ejected.get(pool)
        self._ejected[pool] = _Ejected(self._now(), instances)
        for instance in sorted(instances ^ (before.instances if before is not None else frozenset())):
            worker = self.find(instance)
            if worker is not None:
                self._context.log.event("worker-ejected", worker=instance, out=instance in instances)
                self._notify([worker])

    def _followed_anew(self, pool: PoolName, home: Incarnation) -> _Feed:
        current = {identity.incarnation for identity in self.zone_homes(pool).values()}
        for key in [key for key in self._feeds if key[0] == pool and key[1] not in current]:
            del self._feeds[key]
        feed = self._feeds[(pool, home)] = _Feed()
        return feed

    def _take_push(self, peer: Identity, push: FeedPush) -> None:
        """Final states count whenever they come; renewals only if the push follows on what is known.

        One that lay in the buffers of a cut connection would take workers out that were renewed since.
        """
        feed = self._feeds.get((push.pool, push.home))
        follows_on = feed is not None and feed.sequence == push.previous
        current = self._home_of(push.pool, self._followed_zone())
        judge = follows_on and current is not None and current.incarnation == push.home
        for entry in push.entries:
            if self._is_home(push.pool):
                self._take_handed_over(entry)
            else:
                self._merge(entry, judge_renewal=judge)
        if feed is not None:
            feed.name(push.entries)
            if follows_on:
                feed.sequence = push.sequence

    def _take_seen(self, peer: Identity, message: StateSeen) -> None:
        self._take_handed_over(WorkerEntry(message.worker, True))

    def _expire(self) -> None:
        now = self._now()
        deaf = self._by_trial and now - self._renewals_heard_at > DEAF_AFTER
        for pool, home in sorted(self._homes.items()):
            self._settle(pool)
            self._judge(pool)
            if home.settled and not deaf:
                table = self._tables[pool]
                previous = table.sequence
                expired = table.expire(now, self._unrenewed_after)
                self._changed(expired)
                self._push(pool, expired, previous)
        for _, table in sorted(self._tables.items()):
            table.forget_old(now)
        for instance, pool in sorted(self._pool_of.items()):
            if instance not in self._tables[pool].records:
                del self._pool_of[instance]
                self._check.forget(instance)

    def _judge(self, pool: PoolName) -> None:
        """As the zone's home: who is left out for the outcomes of the zone's calls."""
        table = self._tables[pool]
        self._record_outcomes(pool, self._check.take_outcomes(sorted(table.records)))
        ready = [worker.instance for worker in table.ready()]
        self._set_ejected(pool, self._outliers[pool].judge(ready, self._now()))

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
                (record.worker, record.renewed, self._check.is_suspected(instance))
                for _, table in sorted(self._tables.items())
                for instance, record in sorted(table.records.items())
            ]
        )
