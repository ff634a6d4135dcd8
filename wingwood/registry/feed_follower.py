"""Follows the owners of the known pools: asks them and applies answers and pushes (docs/DESIGN.md section 10.3)."""

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
from .engagement import EngagementReport, EngagementSums, by_instance, by_number
from .feed_limits import (
    DISCOVERY_INTERVAL_ROUNDS,
    FEED_INTERVAL_S,
    FEED_TIMEOUT_S,
    MAX_OFFERED_WORKERS,
    OTHER_ZONE_AFTER_S,
    SESSION_PROOF_MAX_AGE_S,
)
from .messages import CallCounts, Counts, FeedAnswer, FeedPush, FeedQuestion, PoolAnswer, PoolQuestion, WorkerEntry
from .outliers import Outcomes
from .packed_entries import unpack_entries
from .pool_owners import PoolOwners
from .pool_ownership import NEVER, OwnerAge, PoolOwnership
from .protocols import Engagement, WorkerLoad
from .worker_directory import WorkerDirectory

CollectOutcomes = Callable[[Sequence[WorkerInstance]], Mapping[WorkerInstance, Outcomes]]
"""Returns the outcomes of this daemon's calls to these workers since the last time it was called."""


class _Feed(msgspec.Struct):
    """What this daemon has received from an owner that it follows, for one pool."""

    sequence: int = -1
    unapplied_renewals: dict[WorkerInstance, WorkerEntry] = msgspec.field(default_factory=dict)
    """Entries that the owner sent while its renewed flags were not trusted; they are applied once they are."""
    to_offer: tuple[WorkerEntry, ...] = ()
    """Workers that the owner does not know; the next question offers them."""
    load_sequence: int = -1
    loads_at: Instant = NEVER
    """Time of the last question for loads and counts."""
    numbers: dict[int, WorkerInstance] = msgspec.field(default_factory=dict)
    """Workers by the owner's numbers."""
    by_instance: dict[WorkerInstance, int] = msgspec.field(default_factory=dict)

    def learn_numbers(self, entries: Sequence[WorkerEntry]) -> None:
        """Stores the owner's numbers of these workers."""
        for entry in entries:
            self.numbers[entry.number] = entry.worker.instance
            self.by_instance[entry.worker.instance] = entry.number


class _Target(msgspec.Struct):
    """A daemon that is asked in this round, and the pools that it is asked for."""

    identity: Identity
    pools: list[PoolName] = msgspec.field(default_factory=list)


class FeedFollower:
    """A router follows the pool's owner in its zone; an owner follows the owners in the other zones."""

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        membership: Membership,
        is_router: bool,
        zone: Zone,
        directory: WorkerDirectory,
        pool_owners: PoolOwners,
        ownership: PoolOwnership,
        sums: EngagementSums,
        ejections: Ejections,
        owner_age: OwnerAge,
        collect_outcomes: CollectOutcomes,
    ) -> None:
        self._context = context
        self._messenger = messenger
        self._membership = membership
        self._is_router = is_router
        self._zone = zone
        self._directory = directory
        self._pool_owners = pool_owners
        self._ownership = ownership
        self._sums = sums
        self._ejections = ejections
        self._owner_age = owner_age
        self._collect_outcomes = collect_outcomes
        self._feeds: dict[tuple[PoolName, Incarnation], _Feed] = {}
        self._proven_at: dict[PoolName, Instant] = {}
        self._engagement_of_others: dict[PoolName, EngagementReport] = {}
        self._asking: set[Incarnation] = set()
        self._started_at = context.clock.monotonic()
        self._round = 0

    # --- what is known ------------------------------------------------------------------------

    def feed_age(self, pool: PoolName) -> float:
        """Returns the seconds since this daemon's knowledge of the pool was last proven; infinite if it never was."""
        now = self._now()
        own = self._owner_age(pool)
        if own != float("inf"):
            return own
        proven = self._proven_at.get(pool)
        return float("inf") if proven is None else now - proven

    def engagement_of_others(self, instance: WorkerInstance) -> Engagement:
        """Returns the other routers' counts for this worker; zeros if they are too old."""
        pool = self._directory.pool_of(instance)
        if pool is None:
            return Engagement()
        report = self._engagement_of_others.get(pool)
        if report is None or self._now() - report.at > self._directory.engagement_max_age_s(pool):
            return Engagement()
        return report.engaged.get(instance, Engagement())

    def discard_feeds(self, pool: PoolName) -> None:
        """Discards the pool's feeds, so that the next questions ask for all workers again."""
        self._retain_feeds(pool, frozenset())

    def _retain_feeds(self, pool: PoolName, owners: frozenset[Incarnation]) -> None:
        for key in [key for key in self._feeds if key[0] == pool and key[1] not in owners]:
            del self._feeds[key]

    # --- questions ----------------------------------------------------------------------------

    def ask_round(self) -> None:
        """Sends one question to each followed owner.

        In some rounds, another router is asked as well which pools it knows.
        """
        targets: dict[Incarnation, _Target] = {}
        for pool in self._directory.pools():
            for identity in self._owners_to_ask(pool):
                targets.setdefault(identity.incarnation, _Target(identity)).pools.append(pool)
        self._round += 1
        peer = self._discovery_peer()
        if peer is not None:
            targets.setdefault(peer.incarnation, _Target(peer))
        for incarnation, target in sorted(targets.items(), key=lambda item: item[0]):
            if incarnation not in self._asking:
                self._asking.add(incarnation)
                name = f"ask feed {target.identity.name}"
                self._context.tasks.spawn(name, self._ask(target.identity, target.pools))

    def _owners_to_ask(self, pool: PoolName) -> list[Identity]:
        """Returns the daemons to ask for this pool in this round."""
        if self._pool_owners.is_own(pool):
            own, now = self._messenger.identity.incarnation, self._now()
            self._engagement_of_others[pool] = EngagementReport(now, self._sums.by_others(pool, own, now))
            return self._pool_owners.in_other_zones(pool)
        followed = self._pool_owners.in_zone(pool, self._pool_owners.followed_zone())
        return [*([] if followed is None else [followed]), *self._fallback_owners(pool)]

    def _fallback_owners(self, pool: PoolName) -> list[Identity]:
        """Returns another zone's owner while the followed one proves nothing; a different one in each round."""
        zone = self._pool_owners.followed_zone()
        others = [identity for other, identity in self._pool_owners.by_zone(pool).items() if other != zone]
        unproven_for = min(self.feed_age(pool), self._now() - self._started_at)
        if not others or unproven_for <= OTHER_ZONE_AFTER_S:
            return []
        return [others[self._round % len(others)]]

    def _discovery_peer(self) -> Identity | None:
        """Returns another router to ask for its pools, in every ``DISCOVERY_INTERVAL_ROUNDS``-th round.

        As long as no pool is known here, there is one in every round.
        """
        own = self._messenger.identity.incarnation
        if self._directory.pools() and self._round % DISCOVERY_INTERVAL_ROUNDS:
            return None
        peers = [router for router in self._membership.routers() if router.incarnation != own]
        if not peers:
            return None
        return peers[self._round // DISCOVERY_INTERVAL_ROUNDS % len(peers)]

    async def _ask(self, identity: Identity, pools: Sequence[PoolName]) -> None:
        asked_at = self._now()
        question = FeedQuestion(tuple(self._question(identity, pool) for pool in pools))
        try:
            answered = await self._messenger.call(identity.internal, question, FeedAnswer, FEED_TIMEOUT_S)
        finally:
            self._asking.discard(identity.incarnation)
        if not isinstance(answered, Success):
            return
        answer: FeedAnswer = answered.unwrap()
        if answer.owner != identity.incarnation:
            return
        for pool in answer.known_pools:
            self._directory.table(pool)
        asked = {asked.pool: asked for asked in question.pools}
        for part in filter(None, map(unpack_entries, answer.pools)):
            if part.pool in asked and not self._feed_was_discarded(identity, asked[part.pool]):
                self._apply_answer(identity, answer, part, asked[part.pool], asked_at)

    def _feed_was_discarded(self, identity: Identity, asked: PoolQuestion) -> bool:
        """Returns whether the feed that the question continued was discarded since.

        The answer then lacks what had been sent before.
        """
        return asked.owner == identity.incarnation and (asked.pool, identity.incarnation) not in self._feeds

    def _question(self, identity: Identity, pool: PoolName) -> PoolQuestion:
        """Returns the question for one pool; loads and counts are included only at their own interval."""
        is_owner = self._pool_owners.is_own(pool)
        feed = self._feeds.get((pool, identity.incarnation))
        if feed is None:
            return PoolQuestion(pool, Incarnation(""), -1, -1, None, accepts_packed=True)
        offered, feed.to_offer = feed.to_offer, ()
        now = self._now()
        follows = is_owner or identity.zone == self._pool_owners.followed_zone()
        if not follows or now - feed.loads_at < self._directory.load_interval_s(pool) - FEED_INTERVAL_S / 2:
            return PoolQuestion(pool, identity.incarnation, feed.sequence, None, None, offered)
        feed.loads_at = now
        engaged = self._sums.in_zone(pool, now) if is_owner else self._sums.count_own(pool)
        return PoolQuestion(
            pool,
            identity.incarnation,
            feed.sequence,
            feed.load_sequence,
            by_number(engaged, feed.by_instance),
            offered,
            outcomes=None if is_owner else self._outcomes(pool, feed.by_instance),
        )

    def _outcomes(self, pool: PoolName, numbers: Mapping[WorkerInstance, int]) -> CallCounts | None:
        counted = self._collect_outcomes(sorted(self._directory.table(pool).records))
        outcome_counts = {
            numbers[instance]: (outcomes.succeeded, outcomes.failed)
            for instance, outcomes in counted.items()
            if instance in numbers
        }
        return outcome_counts or None

    # --- answers ------------------------------------------------------------------------------

    def _apply_answer(
        self, identity: Identity, answer: FeedAnswer, part: PoolAnswer, asked: PoolQuestion, asked_at: Instant
    ) -> None:
        """Applies an answer if its sender is still an owner of the pool."""
        self._directory.table(part.pool)
        followed = self._pool_owners.in_zone(part.pool, identity.zone)
        if followed is None or followed.incarnation != identity.incarnation:
            return
        if not self._pool_owners.is_own(part.pool):
            if identity.zone == self._pool_owners.followed_zone():
                self._apply_followed_owner(part, answer, asked, asked_at)
            else:
                self._apply_fallback_owner(part, answer, asked_at)
        elif identity.zone != self._zone:
            self._apply_other_zone_owner(identity, part, answer, asked_at)

    def _apply_other_zone_owner(
        self, identity: Identity, part: PoolAnswer, answer: FeedAnswer, asked_at: Instant
    ) -> None:
        """Applies, as an owner, the answer of another zone's owner."""
        for entry in part.entries:
            self._ownership.merge_reported(entry)
        feed = self._feed_of(part, answer.owner)
        feed.sequence = max(feed.sequence, part.sequence)
        self._apply_loads(part, feed)
        if part.engaged is not None:
            self._sums.record_zone(part.pool, identity.zone, self._engagement_report(part, part.engaged, feed))
        self._ownership.record_answer(part.pool, identity.incarnation, asked_at)

    def _apply_followed_owner(
        self, part: PoolAnswer, answer: FeedAnswer, asked: PoolQuestion, asked_at: Instant
    ) -> None:
        """Applies the answer of the owner in the followed zone."""
        feed = self._feed_of(part, answer.owner)
        self._merge(feed, part, trusted=part.synced)
        if asked.sequence < 0:
            feed.to_offer = self._entries_missing_at_owner(part)
        self._apply_loads(part, feed)
        if part.engaged is not None:
            self._engagement_of_others[part.pool] = self._engagement_report(part, part.engaged, feed)
        ejected = frozenset(feed.numbers[number] for number in part.ejected if number in feed.numbers)
        self._ejections.set_ejected(part.pool, ejected)
        self._record_proof(part, answer, asked_at)

    def _merge(self, feed: _Feed, part: PoolAnswer, trusted: bool) -> None:
        """Merges the entries of an answer.

        ``trusted``: whether the owner's renewed flags are applied. If not, they are stored and applied once they are
        trusted.
        """
        if trusted:
            for entry in feed.unapplied_renewals.values():
                self._directory.merge(entry, trust_renewal=True)
            feed.unapplied_renewals.clear()
        else:
            feed.unapplied_renewals.update((entry.worker.instance, entry) for entry in part.entries)
        for entry in part.entries:
            self._directory.merge(entry, trust_renewal=trusted)
        feed.sequence = max(feed.sequence, part.sequence)

    def _entries_missing_at_owner(self, part: PoolAnswer) -> tuple[WorkerEntry, ...]:
        """Returns workers that this router knows and that are missing from the owner's complete answer.

        The owner may have started too late to receive their announcements.
        """
        if not self._is_router or self._pool_owners.is_own(part.pool):
            return ()
        states_at_owner = {entry.worker.instance: entry.worker.state for entry in part.entries}
        own = self._directory.table(part.pool).entries(self._now())
        missing = [entry for entry in own if states_at_owner.get(entry.worker.instance) != entry.worker.state]
        return tuple(missing[:MAX_OFFERED_WORKERS])

    def _apply_fallback_owner(self, part: PoolAnswer, answer: FeedAnswer, asked_at: Instant) -> None:
        """Applies another zone's owner's answer; its renewed flags count while the followed owner proves nothing."""
        trusted = part.synced and self.feed_age(part.pool) > OTHER_ZONE_AFTER_S
        if trusted:  # the renewed flags now come from this owner, so the other feeds must start over
            self._retain_feeds(part.pool, frozenset({answer.owner}))
        feed = self._feed_of(part, answer.owner)
        self._merge(feed, part, trusted=trusted)
        self._record_proof(part, answer, asked_at)

    def _feed_of(self, part: PoolAnswer, owner: Incarnation) -> _Feed:
        """Returns the feed of this owner, after adding the numbers of the workers in the answer."""
        feed = self._feeds.get((part.pool, owner))
        if feed is None:
            current = frozenset(identity.incarnation for identity in self._pool_owners.by_zone(part.pool).values())
            self._retain_feeds(part.pool, current)
            feed = self._feeds[(part.pool, owner)] = _Feed()
        feed.learn_numbers(part.entries)
        return feed

    def _apply_loads(self, part: PoolAnswer, feed: _Feed) -> None:
        table = self._directory.table(part.pool)
        for number, load in part.loads.items():
            instance = feed.numbers.get(number)
            if instance is not None and table.set_load(instance, WorkerLoad(*load)):
                self._directory.notify([table.records[instance].worker])

    def _engagement_report(self, part: PoolAnswer, engaged: Counts, feed: _Feed) -> EngagementReport:
        feed.load_sequence = max(feed.load_sequence, part.load_sequence)
        return EngagementReport(self._now(), by_instance(engaged, feed.numbers))

    def _record_proof(self, part: PoolAnswer, answer: FeedAnswer, asked_at: Instant) -> None:
        """Advances the time of the last proof, if the sender's ownership and membership are proven."""
        if part.synced and answer.session_age <= SESSION_PROOF_MAX_AGE_S:
            proven = Instant(asked_at - part.age)
            self._proven_at[part.pool] = max(proven, self._proven_at.get(part.pool, proven))

    # --- pushes -------------------------------------------------------------------------------

    def apply_push(self, push: FeedPush) -> None:
        """Applies a push: final states always, renewed flags only if the push directly follows the known sequence.

        A push delayed in the buffers of a cut connection would otherwise exclude workers that were renewed since.
        """
        feed = self._feeds.get((push.pool, push.owner))
        follows_on = feed is not None and feed.sequence == push.previous
        current = self._pool_owners.in_zone(push.pool, self._pool_owners.followed_zone())
        trusted = follows_on and current is not None and current.incarnation == push.owner
        for entry in push.entries:
            if self._pool_owners.is_own(push.pool):
                self._ownership.merge_reported(entry)
            else:
                self._directory.merge(entry, trust_renewal=trusted)
        if feed is not None:
            feed.learn_numbers(push.entries)
            if follows_on:
                feed.sequence = push.sequence

    def _now(self) -> Instant:
        return self._context.clock.monotonic()
