"""Follows the homes of the pools known here: asks them, and takes answers and pushes (docs/DESIGN.md section 10.3)."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

import msgspec
from returns.result import Success

from ..context.protocols import Context
from ..identifiers import Incarnation, Instant, PoolName, WorkerInstance, Zone
from ..membership.protocols import Membership
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .ejections import Ejections
from .engagement import EngagementSums, Told, by_instance, by_number
from .feed_limits import ANOTHER_ZONE_AFTER, ASK_EVERY, ASK_TIMEOUT, NEIGHBOUR_EVERY, OFFERED_MOST, SESSION_BOUND
from .home_duties import NEVER, HomeAge, HomeDuties
from .messages import CallCounts, Counts, FeedAnswer, FeedPush, FeedQuestion, PoolAnswer, PoolQuestion, WorkerEntry
from .outliers import Outcomes
from .packed_entries import with_entries_unpacked
from .protocols import Engagement, WorkerLoad
from .worker_directory import WorkerDirectory
from .zone_homes import ZoneHomes

TakeOutcomes = Callable[[Sequence[WorkerInstance]], Mapping[WorkerInstance, Outcomes]]
"""The outcomes of this daemon's calls to these workers since it was last called."""


class _Feed(msgspec.Struct):
    """What this daemon has from a home that it follows."""

    sequence: int = -1
    unjudged: dict[WorkerInstance, WorkerEntry] = msgspec.field(default_factory=dict)
    """What the home told while its word on renewals did not count."""
    to_offer: tuple[WorkerEntry, ...] = ()
    """What the home lacks; it is told with the next question."""
    load_sequence: int = -1
    loads_at: Instant = NEVER
    """When loads and counts were last asked for."""
    numbers: dict[int, WorkerInstance] = msgspec.field(default_factory=dict)
    by_instance: dict[WorkerInstance, int] = msgspec.field(default_factory=dict)

    def name(self, entries: Sequence[WorkerEntry]) -> None:
        for entry in entries:
            self.numbers[entry.number] = entry.worker.instance
            self.by_instance[entry.worker.instance] = entry.number


class _Target(msgspec.Struct):
    """A daemon that is asked in this round, and for which pools."""

    identity: Identity
    pools: list[PoolName] = msgspec.field(default_factory=list)


class HomeFollower:
    """A router follows the home of its zone; a home follows those of the other zones."""

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        membership: Membership,
        is_router: bool,
        zone: Zone,
        directory: WorkerDirectory,
        zone_homes: ZoneHomes,
        duties: HomeDuties,
        sums: EngagementSums,
        ejections: Ejections,
        home_age: HomeAge,
        take_outcomes: TakeOutcomes,
    ) -> None:
        self._context = context
        self._messenger = messenger
        self._membership = membership
        self._is_router = is_router
        self._zone = zone
        self._directory = directory
        self._zone_homes = zone_homes
        self._duties = duties
        self._sums = sums
        self._ejections = ejections
        self._home_age = home_age
        self._take_outcomes = take_outcomes
        self._feeds: dict[tuple[PoolName, Incarnation], _Feed] = {}
        self._proven_at: dict[PoolName, Instant] = {}
        self._elsewhere: dict[PoolName, Told] = {}
        self._asking: set[Incarnation] = set()
        self._started_at = context.clock.monotonic()
        self._round = 0

    # --- what is known ------------------------------------------------------------------------

    def feed_age(self, pool: PoolName) -> float:
        """Seconds since this daemon's knowledge of the pool was last proven; infinite when never."""
        now = self._now()
        own = self._home_age(pool)
        if own != float("inf"):
            return own
        proven = self._proven_at.get(pool)
        return float("inf") if proven is None else now - proven

    def elsewhere(self, instance: WorkerInstance) -> Engagement:
        """What the other routers told of this worker; nothing when that is too old."""
        pool = self._directory.pool_of(instance)
        if pool is None:
            return Engagement()
        told = self._elsewhere.get(pool)
        if told is None or self._now() - told.at > self._directory.engaged_trusted(pool):
            return Engagement()
        return told.engaged.get(instance, Engagement())

    def drop_feeds(self, pool: PoolName) -> None:
        """All is asked for anew."""
        self._keep_feeds(pool, frozenset())

    def _keep_feeds(self, pool: PoolName, homes: frozenset[Incarnation]) -> None:
        for key in [key for key in self._feeds if key[0] == pool and key[1] not in homes]:
            del self._feeds[key]

    # --- questions ----------------------------------------------------------------------------

    def ask_round(self) -> None:
        """One question to each home this daemon follows, and one to a neighbour for pools not known here."""
        targets: dict[Incarnation, _Target] = {}
        for pool in self._directory.pools():
            for identity in self._followed(pool):
                targets.setdefault(identity.incarnation, _Target(identity)).pools.append(pool)
        self._round += 1
        neighbour = self._neighbour()
        if neighbour is not None:
            targets.setdefault(neighbour.incarnation, _Target(neighbour))
        for incarnation, target in sorted(targets.items(), key=lambda item: item[0]):
            if incarnation not in self._asking:
                self._asking.add(incarnation)
                name = f"ask feed {target.identity.name}"
                self._context.tasks.spawn(name, self._ask(target.identity, target.pools))

    def _followed(self, pool: PoolName) -> list[Identity]:
        """Whom to ask for this pool in this round."""
        if self._zone_homes.is_own(pool):
            own, now = self._messenger.identity.incarnation, self._now()
            self._elsewhere[pool] = Told(now, self._sums.by_others(pool, own, now))
            return self._zone_homes.elsewhere(pool)
        followed = self._zone_homes.in_zone(pool, self._zone_homes.followed_zone())
        return [*([] if followed is None else [followed]), *self._stand_ins(pool)]

    def _stand_ins(self, pool: PoolName) -> list[Identity]:
        """Another zone's home while the followed one proves nothing; a different one in each round."""
        zone = self._zone_homes.followed_zone()
        others = [identity for other, identity in self._zone_homes.of(pool).items() if other != zone]
        unproven_for = min(self.feed_age(pool), self._now() - self._started_at)
        if not others or unproven_for <= ANOTHER_ZONE_AFTER:
            return []
        return [others[self._round % len(others)]]

    def _neighbour(self) -> Identity | None:
        """Any other router, in some rounds."""
        own = self._messenger.identity.incarnation
        if self._directory.pools() and self._round % NEIGHBOUR_EVERY:
            return None
        neighbours = [router for router in self._membership.routers() if router.incarnation != own]
        if not neighbours:
            return None
        return neighbours[self._round // NEIGHBOUR_EVERY % len(neighbours)]

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
            self._directory.table(pool)
        asked = {asked.pool: asked for asked in question.pools}
        for part in filter(None, map(with_entries_unpacked, answer.pools)):
            if part.pool in asked and not self._was_dropped(identity, asked[part.pool]):
                self._take_answer(identity, answer, part, asked[part.pool], asked_at)

    def _was_dropped(self, identity: Identity, asked: PoolQuestion) -> bool:
        """The feed on which this question builds was dropped since, so the answer lacks what that one had told."""
        return asked.home == identity.incarnation and (asked.pool, identity.incarnation) not in self._feeds

    def _question(self, identity: Identity, pool: PoolName) -> PoolQuestion:
        is_home = self._zone_homes.is_own(pool)
        feed = self._feeds.get((pool, identity.incarnation))
        if feed is None:
            return PoolQuestion(pool, Incarnation(""), -1, -1, None, unpacks=True)
        offered, feed.to_offer = feed.to_offer, ()
        now = self._now()
        follows = is_home or identity.zone == self._zone_homes.followed_zone()
        if not follows or now - feed.loads_at < self._directory.loads_every(pool) - ASK_EVERY / 2:
            return PoolQuestion(pool, identity.incarnation, feed.sequence, None, None, offered)
        feed.loads_at = now
        engaged = self._sums.in_zone(pool, now) if is_home else self._sums.count(pool)
        return PoolQuestion(
            pool,
            identity.incarnation,
            feed.sequence,
            feed.load_sequence,
            by_number(engaged, feed.by_instance),
            offered,
            outcomes=None if is_home else self._outcomes(pool, feed.by_instance),
        )

    def _outcomes(self, pool: PoolName, numbers: Mapping[WorkerInstance, int]) -> CallCounts | None:
        counted = self._take_outcomes(sorted(self._directory.table(pool).records))
        told = {
            numbers[instance]: (outcomes.succeeded, outcomes.failed)
            for instance, outcomes in counted.items()
            if instance in numbers
        }
        return told or None

    # --- answers ------------------------------------------------------------------------------

    def _take_answer(
        self, identity: Identity, answer: FeedAnswer, part: PoolAnswer, asked: PoolQuestion, asked_at: Instant
    ) -> None:
        """From a home that is still followed."""
        self._directory.table(part.pool)
        followed = self._zone_homes.in_zone(part.pool, identity.zone)
        if followed is None or followed.incarnation != identity.incarnation:
            return
        if not self._zone_homes.is_own(part.pool):
            if identity.zone == self._zone_homes.followed_zone():
                self._take_followed(part, answer, asked, asked_at)
            else:
                self._take_stand_in(part, answer, asked_at)
        elif identity.zone != self._zone:
            self._take_other_home(identity, part, answer, asked_at)

    def _take_other_home(self, identity: Identity, part: PoolAnswer, answer: FeedAnswer, asked_at: Instant) -> None:
        """As a home, from that of another zone."""
        for entry in part.entries:
            self._duties.take_handed_over(entry)
        feed = self._named_feed(part, answer.home)
        feed.sequence = max(feed.sequence, part.sequence)
        self._take_loads(part, feed)
        if part.engaged is not None:
            self._sums.zone_told(part.pool, identity.zone, self._told(part, part.engaged, feed))
        self._duties.note_answered(part.pool, identity.incarnation, asked_at)

    def _take_followed(self, part: PoolAnswer, answer: FeedAnswer, asked: PoolQuestion, asked_at: Instant) -> None:
        """From the home of the followed zone."""
        feed = self._named_feed(part, answer.home)
        self._merge(feed, part, judged=part.settled)
        if asked.sequence < 0:
            feed.to_offer = self._lacking(part)
        self._take_loads(part, feed)
        if part.engaged is not None:
            self._elsewhere[part.pool] = self._told(part, part.engaged, feed)
        ejected = frozenset(feed.numbers[number] for number in part.ejected if number in feed.numbers)
        self._ejections.told(part.pool, ejected)
        self._prove(part, answer, asked_at)

    def _merge(self, feed: _Feed, part: PoolAnswer, judged: bool) -> None:
        """With the home's word on renewals, or without; then it counts once the home's word does."""
        if judged:
            for entry in feed.unjudged.values():
                self._directory.merge(entry, judge_renewal=True)
            feed.unjudged.clear()
        else:
            feed.unjudged.update((entry.worker.instance, entry) for entry in part.entries)
        for entry in part.entries:
            self._directory.merge(entry, judge_renewal=judged)
        feed.sequence = max(feed.sequence, part.sequence)

    def _lacking(self, part: PoolAnswer) -> tuple[WorkerEntry, ...]:
        """What this router knows and the home, which has told all that it knows, may have begun too late to hear."""
        if not self._is_router or self._zone_homes.is_own(part.pool):
            return ()
        told = {entry.worker.instance: entry.worker.state for entry in part.entries}
        own = self._directory.table(part.pool).entries(self._now())
        lacking = [entry for entry in own if told.get(entry.worker.instance) != entry.worker.state]
        return tuple(lacking[:OFFERED_MOST])

    def _take_stand_in(self, part: PoolAnswer, answer: FeedAnswer, asked_at: Instant) -> None:
        """Another zone's home: its word on renewals counts while the followed one gives none."""
        judge = part.settled and self.feed_age(part.pool) > ANOTHER_ZONE_AFTER
        if judge:  # renewals were judged by another meanwhile, so the others are asked for all anew
            self._keep_feeds(part.pool, frozenset({answer.home}))
        feed = self._named_feed(part, answer.home)
        self._merge(feed, part, judged=judge)
        self._prove(part, answer, asked_at)

    def _named_feed(self, part: PoolAnswer, home: Incarnation) -> _Feed:
        """What is known of this home, with the short names of the workers told now."""
        feed = self._feeds.get((part.pool, home))
        if feed is None:
            current = frozenset(identity.incarnation for identity in self._zone_homes.of(part.pool).values())
            self._keep_feeds(part.pool, current)
            feed = self._feeds[(part.pool, home)] = _Feed()
        feed.name(part.entries)
        return feed

    def _take_loads(self, part: PoolAnswer, feed: _Feed) -> None:
        table = self._directory.table(part.pool)
        for number, load in part.loads.items():
            instance = feed.numbers.get(number)
            if instance is not None and table.set_load(instance, WorkerLoad(*load)):
                self._directory.notify([table.records[instance].worker])

    def _told(self, part: PoolAnswer, engaged: Counts, feed: _Feed) -> Told:
        feed.load_sequence = max(feed.load_sequence, part.load_sequence)
        return Told(self._now(), by_instance(engaged, feed.numbers))

    def _prove(self, part: PoolAnswer, answer: FeedAnswer, asked_at: Instant) -> None:
        if part.settled and answer.session_age <= SESSION_BOUND:
            proven = Instant(asked_at - part.age)
            self._proven_at[part.pool] = max(proven, self._proven_at.get(part.pool, proven))

    # --- pushes -------------------------------------------------------------------------------

    def take_push(self, push: FeedPush) -> None:
        """Final states count whenever they come; renewals only if the push follows on what is known.

        One that lay in the buffers of a cut connection would take workers out that were renewed since.
        """
        feed = self._feeds.get((push.pool, push.home))
        follows_on = feed is not None and feed.sequence == push.previous
        current = self._zone_homes.in_zone(push.pool, self._zone_homes.followed_zone())
        judge = follows_on and current is not None and current.incarnation == push.home
        for entry in push.entries:
            if self._zone_homes.is_own(push.pool):
                self._duties.take_handed_over(entry)
            else:
                self._directory.merge(entry, judge_renewal=judge)
        if feed is not None:
            feed.name(push.entries)
            if follows_on:
                feed.sequence = push.sequence

    def _now(self) -> Instant:
        return self._context.clock.monotonic()
