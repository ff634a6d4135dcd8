"""Applies owners' replies and pushes to the known workers (docs/DESIGN.md section 10.3)."""

from __future__ import annotations

from ..context.protocols import Context
from ..identifiers import Instant, PoolName, WorkerInstance
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .ejections import Ejections
from .feed_timing import MAX_OFFERED_WORKERS, OTHER_ZONE_AFTER_S, SESSION_CONFIRMATION_MAX_AGE_S
from .feeds import Feed, Feeds
from .messages import FeedPush, FeedReply, ObservedLoadFigures, PoolReply, PoolRequest, WorkerEntry
from .observed_loads import ObservedLoadReport, ObservedLoadSums, by_instance
from .pool_owners import PoolOwners
from .pool_ownership import PoolOwnership
from .protocols import ObservedLoad, WorkerLoad
from .worker_directory import WorkerDirectory


class FeedReceiver:
    """Owns what the feeds say of pools: when a pool was last confirmed, and the loads that other routers observed."""

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        directory: WorkerDirectory,
        pool_owners: PoolOwners,
        ownership: PoolOwnership,
        sums: ObservedLoadSums,
        ejections: Ejections,
        feeds: Feeds,
    ) -> None:
        self._context = context
        self._own = messenger.identity
        self._directory = directory
        self._pool_owners = pool_owners
        self._ownership = ownership
        self._sums = sums
        self._ejections = ejections
        self._feeds = feeds
        self._confirmed_at: dict[PoolName, Instant] = {}
        self._loads_of_others: dict[PoolName, ObservedLoadReport] = {}
        messenger.on_post(FeedPush, self._on_push)

    # --- what is known ------------------------------------------------------------------------

    def feed_age(self, pool: PoolName) -> float:
        """Returns the seconds since this daemon's knowledge of the pool was last confirmed; infinite if never."""
        now = self._now()
        owner_age = self._ownership.age(pool)
        if owner_age != float("inf"):
            return owner_age
        confirmed_at = self._confirmed_at.get(pool)
        return float("inf") if confirmed_at is None else now - confirmed_at

    def observed_load_of_others(self, instance: WorkerInstance) -> ObservedLoad:
        """Returns the other routers' counts for this worker; zeros if they are too old."""
        pool = self._directory.pool_of(instance)
        if pool is None:
            return ObservedLoad()
        report = self._loads_of_others.get(pool)
        if report is None or self._now() - report.received_at > self._directory.observed_load_max_age_s(pool):
            return ObservedLoad()
        return report.loads.get(instance, ObservedLoad())

    def refresh_loads_of_owned_pool(self, pool: PoolName) -> None:
        """Takes the other routers' counts from this owner's own sums, since no feed brings them."""
        now = self._now()
        self._loads_of_others[pool] = ObservedLoadReport(now, self._sums.by_others(pool, self._own.incarnation, now))

    # --- replies ------------------------------------------------------------------------------

    def apply_reply(
        self, sender: Identity, reply: FeedReply, pool_reply: PoolReply, request: PoolRequest, asked_at: Instant
    ) -> None:
        """Applies a reply for one pool if its sender is still an owner of the pool.

        ``asked_at`` is the local time before the request was sent.
        """
        self._directory.table(pool_reply.pool)
        owner = self._pool_owners.in_zone(pool_reply.pool, sender.zone)
        if owner is None or owner.incarnation != sender.incarnation:
            return
        if not self._pool_owners.is_own(pool_reply.pool):
            if sender.zone == self._pool_owners.followed_zone():
                self._apply_followed_owner(pool_reply, reply, request, asked_at)
            else:
                self._apply_fallback_owner(pool_reply, reply, asked_at)
        elif sender.zone != self._own.zone:
            self._apply_other_zone_owner(sender, pool_reply, reply, asked_at)

    def _apply_other_zone_owner(
        self, sender: Identity, pool_reply: PoolReply, reply: FeedReply, asked_at: Instant
    ) -> None:
        """Applies, as an owner, the reply of another zone's owner."""
        for entry in pool_reply.entries:
            self._ownership.merge_reported(entry)
        feed = self._feed_of(pool_reply, reply)
        feed.sequence = max(feed.sequence, pool_reply.sequence)
        self._apply_loads(pool_reply, feed)
        if pool_reply.observed_loads is not None:
            report = self._load_report(pool_reply, pool_reply.observed_loads, feed)
            self._sums.record_zone(pool_reply.pool, sender.zone, report)
        self._ownership.record_reply(pool_reply.pool, sender.incarnation, asked_at)

    def _apply_followed_owner(
        self, pool_reply: PoolReply, reply: FeedReply, request: PoolRequest, asked_at: Instant
    ) -> None:
        """Applies the reply of the owner in the followed zone."""
        feed = self._feed_of(pool_reply, reply)
        self._merge(feed, pool_reply, trusted=pool_reply.synced)
        if request.sequence < 0:
            feed.to_offer = self._entries_missing_at_owner(pool_reply)
        self._apply_loads(pool_reply, feed)
        if pool_reply.observed_loads is not None:
            self._loads_of_others[pool_reply.pool] = self._load_report(pool_reply, pool_reply.observed_loads, feed)
        ejected = frozenset(feed.numbers[number] for number in pool_reply.ejected if number in feed.numbers)
        self._ejections.set_ejected(pool_reply.pool, ejected)
        self._record_confirmation(pool_reply, reply, asked_at)

    def _apply_fallback_owner(self, pool_reply: PoolReply, reply: FeedReply, asked_at: Instant) -> None:
        """Applies another zone's owner's reply; its renewed flags count while the followed owner confirms nothing."""
        trusted = pool_reply.synced and self.feed_age(pool_reply.pool) > OTHER_ZONE_AFTER_S
        if trusted:  # the renewed flags now come from this owner, so the other feeds must start over
            self._feeds.retain(pool_reply.pool, (reply.owner,))
        feed = self._feed_of(pool_reply, reply)
        self._merge(feed, pool_reply, trusted=trusted)
        self._record_confirmation(pool_reply, reply, asked_at)

    def _merge(self, feed: Feed, pool_reply: PoolReply, trusted: bool) -> None:
        """Merges the entries of a reply.

        ``trusted``: whether the owner's renewed flags are applied. If not, they are stored and applied once they are
        trusted.
        """
        if trusted:
            for entry in feed.unapplied_renewals.values():
                self._directory.merge(entry, trust_renewal=True)
            feed.unapplied_renewals.clear()
        else:
            feed.unapplied_renewals.update((entry.worker.instance, entry) for entry in pool_reply.entries)
        for entry in pool_reply.entries:
            self._directory.merge(entry, trust_renewal=trusted)
        feed.sequence = max(feed.sequence, pool_reply.sequence)

    def _entries_missing_at_owner(self, pool_reply: PoolReply) -> tuple[WorkerEntry, ...]:
        """Returns workers that this router knows and that are missing from the owner's complete reply.

        The owner may have started too late to receive their announcements.
        """
        if self._own.role != "router" or self._pool_owners.is_own(pool_reply.pool):
            return ()
        states_at_owner = {entry.worker.instance: entry.worker.state for entry in pool_reply.entries}
        own = self._directory.table(pool_reply.pool).entries(self._now())
        missing = [entry for entry in own if states_at_owner.get(entry.worker.instance) != entry.worker.state]
        return tuple(missing[:MAX_OFFERED_WORKERS])

    def _feed_of(self, pool_reply: PoolReply, reply: FeedReply) -> Feed:
        """Returns the feed of the replying owner, after adding the numbers of the workers in the reply."""
        feed = self._feeds.find(pool_reply.pool, reply.owner)
        if feed is None:
            owners = self._pool_owners.by_zone(pool_reply.pool).values()
            self._feeds.retain(pool_reply.pool, frozenset(owner.incarnation for owner in owners))
            feed = self._feeds.open(pool_reply.pool, reply.owner)
        feed.learn_numbers(pool_reply.entries)
        return feed

    def _apply_loads(self, pool_reply: PoolReply, feed: Feed) -> None:
        table = self._directory.table(pool_reply.pool)
        for number, load in pool_reply.loads.items():
            instance = feed.numbers.get(number)
            if instance is not None and table.set_load(instance, WorkerLoad(*load)):
                self._directory.notify([table.records[instance].worker])

    def _load_report(self, pool_reply: PoolReply, figures: ObservedLoadFigures, feed: Feed) -> ObservedLoadReport:
        feed.load_sequence = max(feed.load_sequence, pool_reply.load_sequence)
        return ObservedLoadReport(self._now(), by_instance(figures, feed.numbers))

    def _record_confirmation(self, pool_reply: PoolReply, reply: FeedReply, asked_at: Instant) -> None:
        """Advances the time of the last confirmation, if the sender's ownership and membership are confirmed."""
        if pool_reply.synced and reply.session_age <= SESSION_CONFIRMATION_MAX_AGE_S:
            confirmed_at = Instant(asked_at - pool_reply.age)
            previous = self._confirmed_at.get(pool_reply.pool, confirmed_at)
            self._confirmed_at[pool_reply.pool] = max(confirmed_at, previous)

    # --- pushes -------------------------------------------------------------------------------

    def _on_push(self, _peer: Identity, push: FeedPush) -> None:
        """Applies a push: final states always, renewed flags only if the push directly follows the known sequence.

        A push delayed in the buffers of a broken connection would otherwise exclude workers that were renewed since.
        """
        feed = self._feeds.find(push.pool, push.owner)
        follows_on = feed is not None and feed.sequence == push.previous
        followed = self._pool_owners.in_zone(push.pool, self._pool_owners.followed_zone())
        trusted = follows_on and followed is not None and followed.incarnation == push.owner
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
