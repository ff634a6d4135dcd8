"""Takes workers' announcements, keeps their states as a home, follows the homes (docs/DESIGN.md section 10)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

import msgspec
from returns.result import Failure, Success

from ..context.protocols import Context
from ..identifiers import Address, Incarnation, Instant, PoolName, Seconds, WorkerInstance, Zone
from ..membership.protocols import Membership
from ..membership.rendezvous import ranked
from ..operator_api.protocols import OperatorReply, OperatorRequest, OperatorRoutes
from ..settings.model import DaemonSettings
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .messages import (
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
)
from .pool_table import ORDER, PoolTable
from .protocols import Engagement, Worker, WorkerLoad
from .worker_announcements import (
    ANNOUNCE_PATH,
    LIST_PATH,
    HealthAnswer,
    ask_health,
    instance_over,
    list_of,
    malformed,
    read_announcement,
    taken,
    tell_another,
)

ASK_EVERY = Seconds(0.3)
ASK_TIMEOUT = Seconds(0.4)
RENEW_EVERY = Seconds(0.25)
TELL_TIMEOUT = Seconds(0.5)
SLOW_HOME = Seconds(0.1)
TELL_AGAIN_FOR = Seconds(10.0)
FEED_BOUND = Seconds(1.0)
"""A feed proven longer ago is not trusted: the worker itself is asked before each turn."""
SESSION_BOUND = Seconds(1.5)
"""A home whose membership was proven longer ago may have been passed over by announcements."""
HEALTH_TIMEOUT = Seconds(0.3)
HEALTH_TRUSTED = Seconds(0.4)
SUSPECT_FIRST = Seconds(0.2)
SUSPECT_LONGEST = Seconds(5.0)
SUSPECT_FORGOTTEN = Seconds(30.0)
ENGAGED_TRUSTED = Seconds(2.0)
SUMMED_EVERY = Seconds(0.25)
LOADS_AT_ONCE = 40
"""A pool of more workers is told of their loads less often, in proportion."""
NEIGHBOUR_EVERY = 10
"""Rounds between the questions to a neighbour for pools not known here."""
ACKNOWLEDGED_MOST = 20_000
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


class _Told(msgspec.Struct, frozen=True):
    at: Instant
    engaged: dict[WorkerInstance, Engagement]


class _Sum(msgspec.Struct, frozen=True):
    at: Instant
    zone: dict[WorkerInstance, Engagement]
    fleet: dict[WorkerInstance, Engagement]
    parts: dict[Incarnation, dict[WorkerInstance, Engagement]]
    """What each router of the zone put into it."""


class _Suspicion(msgspec.Struct):
    times: int
    last: Instant
    out: bool


class WorkerRegistry:
    """Registry and EngagementExchange. Runs on every daemon; only routers are homes."""

    def __init__(
        self, context: Context, messenger: Messenger, membership: Membership, settings: DaemonSettings
    ) -> None:
        self._context = context
        self._messenger = messenger
        self._membership = membership
        self._is_router = settings.role == "router"
        self._zone = settings.zone
        self._tables: dict[PoolName, PoolTable] = {}
        self._pool_of: dict[WorkerInstance, PoolName] = {}
        self._feeds: dict[tuple[PoolName, Incarnation], _Feed] = {}
        self._proven_at: dict[PoolName, Instant] = {}
        self._homes: dict[PoolName, _Home] = {}
        self._zone_routers = self._group_routers()
        self._home_cache: dict[PoolName, dict[Zone, Identity]] = {}
        self._stale_homes: dict[PoolName, dict[Zone, Identity]] = {}
        """Homes in zones that did not change, of pools not asked for since."""
        self._acknowledged: dict[WorkerInstance, Worker] = {}
        self._renewals: dict[WorkerInstance, Renewal] = {}
        self._asking: set[Incarnation] = set()
        self._told: dict[PoolName, dict[Incarnation, _Told]] = {}
        self._zone_told: dict[PoolName, dict[Zone, _Told]] = {}
        self._sums: dict[PoolName, _Sum] = {}
        self._elsewhere: dict[PoolName, _Told] = {}
        self._suspicions: dict[WorkerInstance, _Suspicion] = {}
        self._health: dict[WorkerInstance, tuple[Instant, bool]] = {}
        self._health_asked: dict[WorkerInstance, asyncio.Future[bool]] = {}
        self._listeners: list[Callable[[Worker], None]] = []
        self._count: Callable[[PoolName], dict[WorkerInstance, Engagement]] = lambda pool: {}
        self._round = 0
        messenger.on_call(TakeState, self._take_state)
        messenger.on_call(TakeRenewals, self._take_renewals)
        messenger.on_call(FeedQuestion, self._answer_feed)
        messenger.on_post(FeedPush, self._take_push)
        messenger.on_post(StateSeen, self._take_seen)
        membership.on_change(self._members_changed)

    def start(self) -> None:
        self._context.tasks.spawn("worker feed", self._follow())
        self._context.tasks.spawn("worker renewals", self._pass_renewals())

    def add_routes(self, routes: OperatorRoutes) -> None:
        routes.add("POST", ANNOUNCE_PATH, self.announce)
        routes.add("GET", LIST_PATH, self._list)

    # --- Registry -----------------------------------------------------------------------------

    def ready(self, pool: PoolName) -> Sequence[Worker]:
        workers = self._table(pool).ready()
        if self._suspicions:
            return tuple(worker for worker in workers if not self._suspected(worker.instance))
        return workers

    def find(self, instance: WorkerInstance) -> Worker | None:
        pool = self._pool_of.get(instance)
        record = None if pool is None else self._tables[pool].records.get(instance)
        return None if record is None else record.worker

    def all_workers(self) -> Sequence[Worker]:
        """Every worker known here, of whatever state, by pool and instance; for operators."""
        return [
            record.worker for _, table in sorted(self._tables.items()) for _, record in sorted(table.records.items())
        ]

    async def confirm(self, worker: Worker) -> bool:
        """The smallest exception: a feed older than the bound is backed by the worker's own word (section 10.3)."""
        if not self._may_run(worker.instance):
            return False
        if self.feed_age(worker.pool) <= FEED_BOUND:
            return True
        known = self._health.get(worker.instance)
        if known is not None and self._now() - known[0] <= HEALTH_TRUSTED:
            return known[1] and self._may_run(worker.instance)
        asked = self._health_asked.get(worker.instance)
        if asked is None:
            asked = self._health_asked[worker.instance] = asyncio.get_running_loop().create_future()
            self._context.tasks.spawn(f"health {worker.instance}", self._confirm_by_health(worker, asked))
        return await asyncio.shield(asked) and self._may_run(worker.instance)

    def suspect(self, instance: WorkerInstance) -> None:
        worker = self.find(instance)
        if worker is None or worker.state == "gone":
            return
        now = self._now()
        suspicion = self._suspicions.get(instance)
        if suspicion is None:
            suspicion = self._suspicions[instance] = _Suspicion(0, now, False)
        if suspicion.out:
            return
        suspicion.times = suspicion.times + 1 if now - suspicion.last < SUSPECT_FORGOTTEN else 1
        suspicion.last = now
        suspicion.out = True
        self._context.log.event("worker-suspected", worker=instance, times=suspicion.times)
        self._context.tasks.spawn(f"recheck {instance}", self._recheck(worker, suspicion))
        self._notify([worker])

    def on_change(self, callback: Callable[[Worker], None]) -> None:
        self._listeners.append(callback)

    # --- EngagementExchange ----------------------------------------------------------------------

    def count_with(self, count: Callable[[PoolName], dict[WorkerInstance, Engagement]]) -> None:
        self._count = count

    def elsewhere(self, instance: WorkerInstance) -> Engagement:
        pool = self._pool_of.get(instance)
        if pool is None:
            return Engagement()
        told = self._elsewhere.get(pool)
        if told is None or self._now() - told.at > self._engaged_trusted(pool):
            return Engagement()
        return told.engaged.get(instance, Engagement())

    # --- what is known ------------------------------------------------------------------------

    def watch(self, pool: PoolName) -> None:
        """Follow this pool from now on, also before a turn asks for it."""
        self._table(pool)

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

    def _table(self, pool: PoolName) -> PoolTable:
        table = self._tables.get(pool)
        if table is None:
            table = self._tables[pool] = PoolTable(pool)
            self._assume_homes([pool])
        return table

    def _suspected(self, instance: WorkerInstance) -> bool:
        suspicion = self._suspicions.get(instance)
        return suspicion is not None and suspicion.out

    def _may_run(self, instance: WorkerInstance) -> bool:
        pool = self._pool_of.get(instance)
        record = None if pool is None else self._tables[pool].records.get(instance)
        return (
            record is not None and record.renewed and record.worker.state == "ready" and not self._suspected(instance)
        )

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

    def _zone_homes(self, pool: PoolName) -> dict[Zone, Identity]:
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
        return self._zone_homes(pool).get(zone)

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
        for instance, worker in sorted(self._acknowledged.items()):
            if before.get(worker.pool) != self._zone_homes(worker.pool):
                del self._acknowledged[instance]  # announced in full again with the next renewal
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
        return {identity.incarnation for zone, identity in self._zone_homes(pool).items() if zone != self._zone}

    def _home_age(self, pool: PoolName) -> Seconds:
        """How old this home's knowledge is: a state is told to the homes of all zones, so any of them may have more."""
        home = self._homes.get(pool)
        now = self._now()
        session = self._membership.session_proven_at()
        if home is None or not home.settled or session is None or now - session > SESSION_BOUND:
            return Seconds(float("inf"))
        asked = [home.answered.get(other, Instant(float("-inf"))) for other in self._other_homes(pool)]
        return Seconds(now - min(asked, default=now))

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
            own.incarnation, pool, previous, table.sequence, table.entries(worker.instance for worker in workers)
        )
        for router in self._membership.routers():
            if router.zone == self._zone and router.incarnation != own.incarnation:
                self._messenger.post(router.internal, push)

    async def _take_state(self, peer: Identity, message: TakeState) -> StateTaken:
        return StateTaken(self._take_first_hand(message.worker))

    def _take_first_hand(self, worker: Worker) -> Worker:
        table = self._table(worker.pool)
        previous = table.sequence
        changed = table.announced(worker, self._now())
        self._changed(changed)
        self._push(worker.pool, changed, previous)
        return table.records[worker.instance].worker

    async def _take_renewals(self, peer: Identity, message: TakeRenewals) -> RenewalsTaken:
        return RenewalsTaken(self._renew(message.renewals))

    def _renew(self, renewals: Sequence[Renewal]) -> tuple[WorkerInstance, ...]:
        unknown = []
        for renewal in renewals:
            table = self._table(renewal.pool)
            previous = table.sequence
            load = None if renewal.load is None else WorkerLoad(*renewal.load)
            outcome = table.renewed(renewal.instance, load, self._now())
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
            wanted = question.load_sequence is not None
            if follows and question.engaged is not None:
                told = _Told(now, _by_instance(question.engaged, table.numbers))
                if peer.zone == self._zone:
                    self._told.setdefault(question.pool, {})[peer.incarnation] = told
                elif peer.role == "router":
                    self._zone_told.setdefault(question.pool, {})[peer.zone] = told
            home = self._homes.get(question.pool)
            answers.append(
                PoolAnswer(
                    question.pool,
                    home is not None and home.settled,
                    self._home_age(question.pool),
                    table.sequence,
                    table.changed_since(question.sequence if follows else -1),
                    table.load_sequence,
                    table.loads_since(question.load_sequence) if follows and question.load_sequence is not None else {},
                    self._counts_for(peer, table) if wanted else None,
                )
            )
        known = () if message.pools else tuple(sorted(self._tables))
        age = Seconds(float("inf") if proven is None else now - proven)
        return FeedAnswer(own, age, tuple(answers), known)

    def _counts_for(self, peer: Identity, table: PoolTable) -> Counts:
        engaged = (
            self._engaged_by_others(table.pool, peer.incarnation)
            if peer.zone == self._zone
            else self._engaged_in_zone(table.pool)
        )
        return _by_number(engaged, {instance: record.number for instance, record in table.records.items()})

    def _take_handed_over(self, entry: WorkerEntry) -> None:
        table = self._table(entry.worker.pool)
        previous = table.sequence
        if self._merge(entry, judge_renewal=False):
            self._push(entry.worker.pool, [entry.worker], previous)

    def _engaged_in_zone(self, pool: PoolName) -> dict[WorkerInstance, Engagement]:
        return self._summed(pool).zone

    def _engaged_by_others(self, pool: PoolName, asker: Incarnation) -> dict[WorkerInstance, Engagement]:
        """All but what the asker itself had told when the sum was made."""
        summed = self._summed(pool)
        part = summed.parts.get(asker)
        if not part:
            return summed.fleet
        others = dict(summed.fleet)
        for instance, own in part.items():
            total = others[instance]
            others[instance] = Engagement(total.running - own.running, total.expected - own.expected)
        return others

    def _summed(self, pool: PoolName) -> _Sum:
        """Made once for all who ask within a while: a zone's home is asked by each of its routers."""
        now = self._now()
        summed = self._sums.get(pool)
        if summed is not None and now - summed.at < SUMMED_EVERY:
            return summed
        trusted = self._engaged_trusted(pool)
        parts = {self._messenger.identity.incarnation: self._count(pool)}
        told = self._told.get(pool, {})
        for incarnation in sorted(told):
            if now - told[incarnation].at > trusted:
                del told[incarnation]
            else:
                parts[incarnation] = told[incarnation].engaged
        zone: dict[WorkerInstance, Engagement] = {}
        for part in parts.values():
            _add(zone, part)
        fleet = dict(zone)
        for _, other in sorted(self._zone_told.get(pool, {}).items()):
            if now - other.at <= trusted:
                _add(fleet, other.engaged)
        summed = self._sums[pool] = _Sum(now, zone, fleet, parts)
        return summed

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
            homes = self._zone_homes(pool)
            if self._is_home(pool):
                self._elsewhere[pool] = _Told(self._now(), self._engaged_by_others(pool, own))
                followed = [identity for other, identity in homes.items() if other != self._zone]
            else:
                followed = [homes[zone]] if zone in homes else []
            for identity in followed:
                targets.setdefault(identity.incarnation, (identity, []))[1].append(pool)
        self._round += 1
        neighbours = [router for router in self._membership.routers() if router.incarnation != own]
        if neighbours and (not self._tables or self._round % NEIGHBOUR_EVERY == 0):
            neighbour = neighbours[self._round // NEIGHBOUR_EVERY % len(neighbours)]
            targets.setdefault(neighbour.incarnation, (neighbour, []))
        for incarnation in sorted(targets):
            if incarnation not in self._asking:
                identity, pools = targets[incarnation]
                self._asking.add(incarnation)
                self._context.tasks.spawn(f"ask feed {identity.name}", self._ask(identity, pools))

    def _question(self, identity: Identity, pool: PoolName) -> PoolQuestion:
        is_home = self._is_home(pool)
        feed = self._feeds.get((pool, identity.incarnation))
        if feed is None:
            offered = self._tables[pool].entries()[:OFFERED_MOST] if self._is_router and not is_home else ()
            return PoolQuestion(pool, Incarnation(""), -1, -1, None, offered)
        now = self._now()
        if now - feed.loads_at < self._loads_every(pool) - ASK_EVERY / 2:
            return PoolQuestion(pool, identity.incarnation, feed.sequence, None, None)
        feed.loads_at = now
        engaged = self._engaged_in_zone(pool) if is_home else self._count(pool)
        counts = _by_number(engaged, feed.by_instance)
        return PoolQuestion(pool, identity.incarnation, feed.sequence, feed.load_sequence, counts)

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
        if is_home:
            follows = identity.zone != self._zone
        else:
            current = self._home_of(part.pool, self._followed_zone())
            follows = current is not None and current.incarnation == identity.incarnation
        if not follows:
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
            told = _Told(self._now(), _by_instance(part.engaged, feed.numbers))
            if is_home:
                self._zone_told.setdefault(part.pool, {})[identity.zone] = told
            else:
                self._elsewhere[part.pool] = told
        if is_home:
            self._homes[part.pool].answered[identity.incarnation] = asked_at
            self._settle(part.pool)
        elif part.settled and answer.session_age <= SESSION_BOUND:
            self._proven_at[part.pool] = Instant(asked_at - part.age)

    def _followed_anew(self, pool: PoolName, home: Incarnation) -> _Feed:
        current = {identity.incarnation for identity in self._zone_homes(pool).values()}
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
        for pool, home in sorted(self._homes.items()):
            self._settle(pool)
            if home.settled:
                table = self._tables[pool]
                previous = table.sequence
                expired = table.expire(now)
                self._changed(expired)
                self._push(pool, expired, previous)
        for _, table in sorted(self._tables.items()):
            table.forget_old(now)
        for instance, pool in sorted(self._pool_of.items()):
            if instance not in self._tables[pool].records:
                del self._pool_of[instance]
                self._suspicions.pop(instance, None)
                self._health.pop(instance, None)

    # --- announcements ------------------------------------------------------------------------

    async def announce(self, request: OperatorRequest) -> OperatorReply:
        """Renewals are noted and answered at once; a new instance or state is told to every zone's home first."""
        match read_announcement(request.body):
            case Success(worker):
                return await self._announced(worker)
            case Failure(problem):
                return malformed(problem)
        raise AssertionError("a result is a success or a failure")

    async def _announced(self, worker: Worker) -> OperatorReply:
        without_load = msgspec.structs.replace(worker, load=None)
        if self._acknowledged.get(worker.instance) == without_load:
            load = worker.load
            figures = None if load is None else (load.running, load.waiting, load.cache_tokens_used)
            self._renewals[worker.instance] = Renewal(worker.pool, worker.instance, figures)
            return taken(worker)
        homes = self._zone_homes(worker.pool)
        if not homes:
            return tell_another("this daemon knows no router yet")
        outcomes = await asyncio.gather(*(self._tell_in_zone(zone, home, worker) for zone, home in homes.items()))
        missing = [zone for zone, outcome in zip(homes, outcomes, strict=True) if outcome is None]
        furthest = max(
            (outcome.state for outcome in outcomes if outcome is not None),
            key=ORDER.__getitem__,
            default=worker.state,
        )
        if missing:
            if worker.state != "ready":
                self._context.tasks.spawn(f"tell again {worker.instance}", self._tell_again(worker, missing))
            return tell_another(f"no answer from the home of {', '.join(missing)}")
        if ORDER[furthest] > ORDER[worker.state]:
            return instance_over(msgspec.structs.replace(worker, state=furthest))
        self._acknowledged[worker.instance] = without_load
        while len(self._acknowledged) > ACKNOWLEDGED_MOST:
            del self._acknowledged[next(iter(self._acknowledged))]
        return taken(worker)

    async def _tell(self, home: Identity, worker: Worker) -> Worker | None:
        if home.incarnation == self._messenger.identity.incarnation:
            return self._take_first_hand(worker)
        answered = await self._messenger.call(home.internal, TakeState(worker), StateTaken, TELL_TIMEOUT)
        return answered.unwrap().worker if isinstance(answered, Success) else None

    async def _tell_in_zone(self, zone: Zone, home: Identity, worker: Worker) -> Worker | None:
        """A final state goes past a home that is slow to answer, to the zone's routers themselves."""
        if worker.state == "ready":
            return await self._tell(home, worker)
        telling = asyncio.ensure_future(self._tell(home, worker))
        await asyncio.wait({telling}, timeout=SLOW_HOME)
        if not telling.done() or telling.result() is None:
            self._tell_around(worker, [zone])
        return await telling

    def _tell_around(self, worker: Worker, zones: Sequence[Zone]) -> None:
        """A final state whose home does not answer goes to the routers of that zone directly."""
        for router in self._membership.routers():
            if router.zone in zones:
                self._messenger.post(router.internal, StateSeen(worker))

    async def _tell_again(self, worker: Worker, missing: Sequence[Zone]) -> None:
        until = self._now() + TELL_AGAIN_FOR
        left = list(missing)
        while left and self._now() < until:
            await self._context.clock.sleep(ASK_EVERY)
            homes = self._zone_homes(worker.pool)
            asked = [(zone, homes[zone]) for zone in left if zone in homes]
            outcomes = await asyncio.gather(*(self._tell(home, worker) for _, home in asked))
            left = [zone for (zone, _), outcome in zip(asked, outcomes, strict=True) if outcome is None]

    async def _pass_renewals(self) -> None:
        while True:
            await self._context.clock.sleep(RENEW_EVERY)
            renewals, self._renewals = self._renewals, {}
            batches: dict[Address, tuple[Identity, list[Renewal]]] = {}
            for _, renewal in sorted(renewals.items()):
                for home in self._zone_homes(renewal.pool).values():
                    batches.setdefault(home.internal, (home, []))[1].append(renewal)
            for _, (home, batch) in sorted(batches.items()):
                if home.incarnation == self._messenger.identity.incarnation:
                    self._forget_acknowledged(self._renew(batch))
                else:
                    self._context.tasks.spawn(f"renewals to {home.name}", self._pass_batch(home, batch))

    async def _pass_batch(self, home: Identity, batch: Sequence[Renewal]) -> None:
        answered = await self._messenger.call(home.internal, TakeRenewals(tuple(batch)), RenewalsTaken, TELL_TIMEOUT)
        if isinstance(answered, Success):
            self._forget_acknowledged(answered.unwrap().unknown)

    def _forget_acknowledged(self, instances: Sequence[WorkerInstance]) -> None:
        for instance in instances:
            self._acknowledged.pop(instance, None)

    async def _list(self, request: OperatorRequest) -> OperatorReply:
        return list_of(
            [
                (record.worker, record.renewed, self._suspected(instance))
                for _, table in sorted(self._tables.items())
                for instance, record in sorted(table.records.items())
            ]
        )

    # --- asking the worker itself -------------------------------------------------------------

    async def _confirm_by_health(self, worker: Worker, waiter: asyncio.Future[bool]) -> None:
        asked_at = self._now()
        answer = await ask_health(self._context.http, worker.address, HEALTH_TIMEOUT)
        good = self._take_health(worker, answer)
        self._health[worker.instance] = (asked_at, good)
        del self._health_asked[worker.instance]
        if not waiter.done():
            waiter.set_result(good)
        if answer is None:
            self.suspect(worker.instance)

    def _take_health(self, worker: Worker, answer: HealthAnswer | None) -> bool:
        if answer is None:
            return False
        if answer.instance == worker.instance and answer.state == "ready":
            return True
        state = answer.state if answer.instance == worker.instance else "gone"
        seen = msgspec.structs.replace(worker, state=state, load=None)
        self._take_handed_over(WorkerEntry(seen, True))
        for home in self._zone_homes(worker.pool).values():
            if home.incarnation != self._messenger.identity.incarnation:
                self._messenger.post(home.internal, StateSeen(seen))
        return False

    async def _recheck(self, worker: Worker, suspicion: _Suspicion) -> None:
        pause = min(SUSPECT_LONGEST, SUSPECT_FIRST * 2 ** (suspicion.times - 1))
        while True:
            await self._context.clock.sleep(Seconds(pause))
            current = self.find(worker.instance)
            if current is None or current.state != "ready":
                self._suspicions.pop(worker.instance, None)
                return
            if self._take_health(current, await ask_health(self._context.http, worker.address, HEALTH_TIMEOUT)):
                suspicion.out = False
                suspicion.last = self._now()
                self._context.log.event("worker-trusted-again", worker=worker.instance)
                self._notify([current])
                return
            pause = min(1.0, max(pause, SUSPECT_FIRST) * 1.5)


def _add(totals: dict[WorkerInstance, Engagement], more: dict[WorkerInstance, Engagement]) -> None:
    for instance, part in more.items():
        total = totals.get(instance, Engagement())
        totals[instance] = Engagement(total.running + part.running, total.expected + part.expected)


def _by_number(engaged: dict[WorkerInstance, Engagement], numbers: dict[WorkerInstance, int]) -> Counts:
    return {
        numbers[instance]: (round(part.running), round(part.expected))
        for instance, part in engaged.items()
        if instance in numbers
    }


def _by_instance(counts: Counts, instances: dict[int, WorkerInstance]) -> dict[WorkerInstance, Engagement]:
    return {
        instances[number]: Engagement(float(running), float(expected))
        for number, (running, expected) in counts.items()
        if number in instances
    }
