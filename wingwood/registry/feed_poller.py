"""Polls the owners of the known pools for changes (docs/DESIGN.md section 10.3)."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import msgspec
from returns.result import Success

from ..context.protocols import Context
from ..identifiers import Incarnation, Instant, PoolName, WorkerInstance
from ..membership.protocols import Membership
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .call_outcomes import OutcomeCounts
from .feed_receiver import FeedReceiver
from .feed_timing import DISCOVERY_INTERVAL_POLLS, FEED_INTERVAL_S, FEED_TIMEOUT_S, OTHER_ZONE_AFTER_S
from .feeds import Feeds
from .messages import CallCounts, FeedReply, FeedRequest, PoolRequest
from .observed_loads import ObservedLoadSums, by_number
from .packed_entries import unpack_entries
from .pool_owners import PoolOwners
from .worker_directory import WorkerDirectory


class _PollTarget(msgspec.Struct):
    """A daemon that is polled now, and the pools for which it is polled."""

    identity: Identity
    pools: list[PoolName] = msgspec.field(default_factory=list)


class FeedPoller:
    """A router polls the pool's owner in its zone; an owner polls the owners in the other zones.

    Owns the polls in flight: a daemon that has not replied yet is not polled again.
    """

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        membership: Membership,
        directory: WorkerDirectory,
        pool_owners: PoolOwners,
        sums: ObservedLoadSums,
        outcomes: OutcomeCounts,
        feeds: Feeds,
        receiver: FeedReceiver,
    ) -> None:
        self._context = context
        self._messenger = messenger
        self._membership = membership
        self._directory = directory
        self._pool_owners = pool_owners
        self._sums = sums
        self._outcomes = outcomes
        self._feeds = feeds
        self._receiver = receiver
        self._in_flight: set[Incarnation] = set()
        self._started_at = context.clock.monotonic()
        self._poll_number = 0

    def poll(self) -> None:
        """Sends one request to each followed owner.

        In some polls, another router is asked as well which pools it knows.
        """
        targets: dict[Incarnation, _PollTarget] = {}
        for pool in self._directory.pools():
            for identity in self._owners_to_poll(pool):
                targets.setdefault(identity.incarnation, _PollTarget(identity)).pools.append(pool)
        self._poll_number += 1
        peer = self._discovery_peer()
        if peer is not None:
            targets.setdefault(peer.incarnation, _PollTarget(peer))
        for incarnation, target in sorted(targets.items(), key=lambda item: item[0]):
            if incarnation not in self._in_flight:
                self._in_flight.add(incarnation)
                name = f"poll feed {target.identity.name}"
                self._context.tasks.spawn(name, self._request(target.identity, target.pools))

    def _owners_to_poll(self, pool: PoolName) -> list[Identity]:
        """Returns the daemons to poll for this pool now."""
        if self._pool_owners.is_own(pool):
            self._receiver.refresh_loads_of_owned_pool(pool)
            return self._pool_owners.in_other_zones(pool)
        followed = self._pool_owners.in_zone(pool, self._pool_owners.followed_zone())
        return [*([] if followed is None else [followed]), *self._fallback_owners(pool)]

    def _fallback_owners(self, pool: PoolName) -> list[Identity]:
        """Returns another zone's owner while the followed one confirms nothing; a different one in each poll."""
        zone = self._pool_owners.followed_zone()
        others = [identity for other, identity in self._pool_owners.by_zone(pool).items() if other != zone]
        unconfirmed_for = min(self._receiver.feed_age(pool), self._now() - self._started_at)
        if not others or unconfirmed_for <= OTHER_ZONE_AFTER_S:
            return []
        return [others[self._poll_number % len(others)]]

    def _discovery_peer(self) -> Identity | None:
        """Returns another router to ask for its pools, in every ``DISCOVERY_INTERVAL_POLLS``-th poll.

        As long as no pool is known here, there is one in every poll.
        """
        own = self._messenger.identity.incarnation
        if self._directory.pools() and self._poll_number % DISCOVERY_INTERVAL_POLLS:
            return None
        peers = [router for router in self._membership.routers() if router.incarnation != own]
        if not peers:
            return None
        return peers[self._poll_number // DISCOVERY_INTERVAL_POLLS % len(peers)]

    async def _request(self, identity: Identity, pools: Sequence[PoolName]) -> None:
        asked_at = self._now()
        request = FeedRequest(tuple(self._pool_request(identity, pool) for pool in pools))
        try:
            outcome = await self._messenger.call(identity.internal, request, FeedReply, FEED_TIMEOUT_S)
        finally:
            self._in_flight.discard(identity.incarnation)
        if not isinstance(outcome, Success):
            return
        reply: FeedReply = outcome.unwrap()
        if reply.owner != identity.incarnation:
            return
        for pool in reply.known_pools:
            self._directory.table(pool)
        requests = {pool_request.pool: pool_request for pool_request in request.pools}
        for pool_reply in filter(None, map(unpack_entries, reply.pools)):
            pool_request = requests.get(pool_reply.pool)
            if pool_request is not None and not self._feed_was_discarded(identity, pool_request):
                self._receiver.apply_reply(identity, reply, pool_reply, pool_request, asked_at)

    def _feed_was_discarded(self, identity: Identity, request: PoolRequest) -> bool:
        """Returns whether the feed that the request continued was discarded since.

        The reply then lacks what had been sent before.
        """
        continued = request.owner == identity.incarnation
        return continued and self._feeds.find(request.pool, identity.incarnation) is None

    def _pool_request(self, identity: Identity, pool: PoolName) -> PoolRequest:
        """Returns the request for one pool; loads are included only at their own interval."""
        is_owner = self._pool_owners.is_own(pool)
        feed = self._feeds.find(pool, identity.incarnation)
        if feed is None:
            return PoolRequest(pool, Incarnation(""), -1, -1, None, accepts_packed=True)
        offered, feed.to_offer = feed.to_offer, ()
        now = self._now()
        follows = is_owner or identity.zone == self._pool_owners.followed_zone()
        if not follows or now - feed.loads_requested_at < self._directory.load_interval_s(pool) - FEED_INTERVAL_S / 2:
            return PoolRequest(pool, identity.incarnation, feed.sequence, None, None, offered)
        feed.loads_requested_at = now
        loads = self._sums.in_zone(pool, now) if is_owner else self._sums.own(pool)
        return PoolRequest(
            pool,
            identity.incarnation,
            feed.sequence,
            feed.load_sequence,
            by_number(loads, feed.by_instance),
            offered,
            outcomes=None if is_owner else self._collect_outcomes(pool, feed.by_instance),
        )

    def _collect_outcomes(self, pool: PoolName, numbers: Mapping[WorkerInstance, int]) -> CallCounts | None:
        collected = self._outcomes.collect(sorted(self._directory.table(pool).records))
        counts = {
            numbers[instance]: (outcomes.succeeded, outcomes.failed)
            for instance, outcomes in collected.items()
            if instance in numbers
        }
        return counts or None

    def _now(self) -> Instant:
        return self._context.clock.monotonic()
