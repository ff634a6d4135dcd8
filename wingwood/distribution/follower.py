"""Keeps the latest bundle in force on a router and forwards it to the routers below (docs/DESIGN.md section 9)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Sequence

import msgspec
from returns.result import Success

from ..bundle.model import Bundle, BundleDelta
from ..bundle.parse import apply_delta_gradually
from ..bundle.variants import VariantTarget
from ..context.protocols import Context, Task
from ..identifiers import Address, BundleVersion, Epoch, Instant, Seconds
from ..membership.client import MembershipClient
from ..membership.messages import ClusterUpdate
from ..membership.singleton_roles import EpochGate
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .deltas import DeltaChain, join_deltas, slice_bytes
from .distribution_tree import BUNDLE_SERVICE, TREE_ROOTS, ranked_routers, upstream_in
from .fetching import DeltaFetcher, NotAvailable
from .limits import DistributionLimits
from .messages import BundleAnnounced, BundleChunk, BundlePosted, FetchBundle, Subscribe, Subscribed

PEERS_ASKED = 2
"""The number of randomly chosen peers that are among the sources of a fetch."""
DISCOVERY_DELAY_S = Seconds(1.0)
"""The time after its start at which a router to which no version has been announced asks other daemons for one."""
MAX_PENDING_PROOFS = 64
"""The number of proofs stored for versions that are not in force on this router yet."""
MAX_PENDING_POSTS = 64
"""The number of posted deltas stored until they are put in force."""


class _Subscriber:
    """A router that gets changes from this one: the version it has and the end of its subscription."""

    def __init__(self, identity: Identity, held: BundleVersion, until: Instant) -> None:
        self.identity = identity
        self.held = held
        self.until = until


class BundleFollower:
    """Implements ``BundleInForce`` on a router.

    The target is the latest version announced to this router; a loop puts it in force. Changes are forwarded to the
    subscribers of this router.
    """

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        membership: MembershipClient,
        operator_keys: Collection[str],
        removed_key_bound: Seconds | None,
        limits: DistributionLimits | None = None,
    ) -> None:
        self._context = context
        self._messenger = messenger
        self._membership = membership
        self._operator_keys = frozenset(operator_keys)
        self._place = VariantTarget(messenger.identity.zone, messenger.identity.name)
        self._removed_key_bound = removed_key_bound
        self._limits = limits or DistributionLimits()
        self._bundle: Bundle | None = None
        self._chain = DeltaChain(self._limits.max_deltas)
        self._fetcher = DeltaFetcher(context.clock, messenger, self._limits, self._announce_incoming)
        self._callbacks: list[Callable[[Bundle], None]] = []
        self._target_version = BundleVersion(0)
        self._behind_since: Instant | None = None
        """The instant since which the target has been later than the version in force; None while it is not."""
        self._announced_by: Address | None = None
        """A daemon that certainly has a newer version; it is asked first, without waiting for a post from upstream."""
        self._posted: list[BundleDelta] = []
        """Posted deltas that are not in force yet."""
        self._proven: Instant | None = None
        """The latest instant at which the version in force was proven to be the latest one."""
        self._proofs: list[tuple[BundleVersion, Instant]] = []
        """Proofs for versions that are not in force on this router yet."""
        self._gate = EpochGate()
        self._ranked: tuple[Sequence[Identity], Sequence[Identity], Identity | None] | None = None
        """All routers, those of the own zone in rank, and the upstream router of this one."""
        self._subscribers: dict[Address, _Subscriber] = {}
        self._wake = asyncio.Event()
        self._tasks: list[Task] = []
        self._started = Instant(0.0)
        self._last_discovery = Instant(float("-inf"))
        messenger.on_post(BundlePosted, self._on_posted)
        messenger.on_post(BundleAnnounced, self._on_announced)
        messenger.on_call(Subscribe, self._on_subscribe)
        messenger.on_call(FetchBundle, self._on_fetch)
        membership.on_update(self._on_membership_update)
        membership.set_version_source(self.version)

    def start(self) -> None:
        self._started = self._context.clock.monotonic()
        spawn = self._context.tasks.spawn
        self._tasks = [
            spawn("bundle in force", self._follow_forever()),
            spawn("bundle subscription", self._subscribe_forever()),
        ]

    def stop(self) -> None:
        for task in self._tasks:
            task.cancel()

    # -- BundleInForce

    def current(self) -> Bundle | None:
        return self._bundle

    def version(self) -> BundleVersion:
        return BundleVersion(0) if self._bundle is None else self._bundle.version

    def proven_latest_at(self) -> Instant | None:
        return self._proven

    def may_serve(self) -> bool:
        if self._bundle is None:
            return False
        if self._removed_key_bound is None:
            return True
        if self._proven is None:
            return False
        return self._context.clock.monotonic() - self._proven <= self._removed_key_bound - self._limits.proof_age_margin

    def on_change(self, callback: Callable[[Bundle], None]) -> None:
        self._callbacks.append(callback)

    # -- announcements and proofs

    def _on_membership_update(self, update: ClusterUpdate, asked: Instant) -> None:
        if update.confirmation_age is not None:
            self._record_proof(update.confirmed_version, Instant(asked - update.confirmation_age))
        self._gate.admit(update.epoch)
        self._raise_target(max(update.latest_version, update.confirmed_version))

    def _record_proof(self, version: BundleVersion, proven: Instant) -> None:
        """Records that ``version`` was the latest at ``proven``.

        The proof counts once this version or a later one is in force.
        """
        if self.version() >= version:
            if self._proven is None or proven > self._proven:
                self._proven = proven
            return
        self._proofs = [proof for proof in self._proofs if not (proof[0] >= version and proof[1] <= proven)]
        self._proofs.append((version, proven))
        del self._proofs[:-MAX_PENDING_PROOFS]

    def _raise_target(self, version: BundleVersion) -> None:
        self._target_version = max(self._target_version, version)
        if self._target_version > self.version() and self._behind_since is None:
            self._behind_since = self._context.clock.monotonic()
            self._wake.set()

    def _is_from_deposed_primary(self, peer: Identity, epoch: Epoch) -> bool:
        """Returns whether the sender is a control daemon that posts under an epoch that has ended.

        Such a daemon learns of the new epoch without a message from this router.
        """
        deposed = peer.role == "control" and not self._gate.admit(epoch)
        if deposed:
            self._context.log.event("deposed-primary-refused", peer=peer.name, epoch=epoch, newest=self._gate.highest)
        return deposed

    def _on_posted(self, peer: Identity, message: BundlePosted) -> None:
        version = message.delta.manifest.version
        if version <= self.version() or self._is_from_deposed_primary(peer, message.epoch):
            return
        self._posted = [*self._posted[-MAX_PENDING_POSTS:], message.delta]
        self._raise_target(version)
        if message.delta.since > self.version() and len(self._posted) == 1:
            self._announced_by = peer.internal
        self._wake.set()

    def _on_announced(self, peer: Identity, message: BundleAnnounced) -> None:
        if message.version > self.version() and not self._is_from_deposed_primary(peer, message.epoch):
            self._raise_target(message.version)
            self._announced_by = peer.internal
            self._wake.set()

    # -- putting the latest version in force

    async def _follow_forever(self) -> None:
        """Puts at most one version in force every ``min_publish_interval``; versions in between are skipped."""
        clock = self._context.clock
        while True:
            self._wake.clear()
            started_at = clock.monotonic()
            advanced = await self._put_posted_in_force()
            if not advanced and self._should_fetch(started_at):
                advanced = await self._fetch()
            if advanced:
                await clock.sleep(Seconds(max(0.0, started_at + self._limits.min_publish_interval - clock.monotonic())))
            else:
                await self._wait(Seconds(0.05) if self._behind_since is not None else Seconds(0.5))

    async def _wait(self, seconds: Seconds) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._wake.wait()
        except TimeoutError:
            pass

    async def _put_posted_in_force(self) -> bool:
        """Applies all posted deltas that continue the version in force, in one step.

        Deltas that leave a gap stay stored until a fetch closes it. Returns whether a version was put in force.
        """
        posted, self._posted = self._posted, []
        combined: BundleDelta | None = None
        reached = self.version()
        for delta in sorted(posted, key=lambda delta: (delta.since, delta.manifest.version)):
            if delta.since <= reached < delta.manifest.version:
                combined = (
                    delta if combined is None else join_deltas(combined, msgspec.structs.replace(delta, since=reached))
                )
                reached = delta.manifest.version
        if combined is None:
            self._posted = [delta for delta in posted if delta.manifest.version > reached]
            return False
        if not await self._put_in_force(combined):
            return False
        self._posted = [delta for delta in posted if delta.manifest.version > reached] + self._posted
        return True

    async def _put_in_force(self, delta: BundleDelta) -> bool:
        held = self.version()
        outcome = await apply_delta_gradually(self._bundle, delta, self._operator_keys, self._place)
        if not isinstance(outcome, Success):
            problem = outcome.failure()
            if problem.code != "stale":
                self._context.log.event(
                    "bundle-refused", version=delta.manifest.version, since=delta.since, held=held, reason=str(problem)
                )
            return False
        bundle: Bundle = outcome.unwrap()
        if self.version() != held:
            return False  # Another version was put in force while this delta was being applied.
        self._bundle = bundle
        self._chain.add(delta, held)
        now = self._context.clock.monotonic()
        self._behind_since = now if self._target_version > bundle.version else None
        for version, proven in self._proofs:
            if version <= bundle.version and (self._proven is None or proven > self._proven):
                self._proven = proven
        self._proofs = [proof for proof in self._proofs if proof[0] > bundle.version]
        self._context.log.event("bundle-in-force", version=bundle.version, since=held)
        for callback in self._callbacks:
            callback(bundle)
        self._notify_subscribers()
        return True

    def _should_fetch(self, now: Instant) -> bool:
        if self._bundle is None and self._target_version == 0:
            if now - self._started <= DISCOVERY_DELAY_S or now - self._last_discovery < self._limits.discovery_interval:
                return False
            self._last_discovery = now
            return True
        if self._announced_by is not None or self._bundle is None:
            return self._target_version > self.version()
        return self._behind_since is not None and now - self._behind_since >= self._limits.push_wait

    async def _fetch(self) -> bool:
        """Fetches from the first source that has a later version; returns whether one was put in force."""
        announced_by, self._announced_by = self._announced_by, None
        upstream = self._upstream()
        sources = list(self._sources(announced_by))
        for source in sources:  # Grows while sources name alternative sources.
            for since in dict.fromkeys((self.version(), BundleVersion(0))):
                retries = self._bundle is None and upstream is not None and source == upstream.internal
                fetch = self._fetcher.fetch_pending if retries else self._fetcher.fetch
                fetched = await fetch(source, since, self._target_version)
                if (
                    isinstance(fetched, NotAvailable)
                    and fetched.alternative_source is not None
                    and fetched.alternative_source not in sources
                ):
                    sources.append(fetched.alternative_source)
                if not isinstance(fetched, BundleDelta) or fetched.manifest.version <= self.version():
                    break
                advanced = await self._put_in_force(fetched)
                self._fetcher.discard_incoming()
                if advanced:
                    return True
        self._fetcher.discard_incoming()
        return False

    def _sources(self, announced_by: Address | None) -> Sequence[Address]:
        """Returns the daemons to fetch from, in order.

        A router without a bundle asks its upstream router first, which spares the control daemons, unless it is a
        tree root. Otherwise the daemon that announced the version is first, then the primary.
        """
        own = self._messenger.identity
        upstream = self._upstream()
        upstream_routers = [] if upstream is None else [upstream]
        first = [daemon.internal for daemon in upstream_routers]
        tree_roots = [tree_root.internal for tree_root in self._ranking()[:TREE_ROOTS]]
        primary = self._membership.primary_address()
        controls = [control for control in (primary, *self._membership.known_controls()[:8]) if control is not None]
        peers = self._membership.peer_addresses()
        random_peers = self._context.random.sample(peers, min(PEERS_ASKED, len(peers)))
        if self._bundle is not None or self._is_tree_root():
            first = [] if announced_by is None else [announced_by]
        order = [*first, *controls, *tree_roots, *random_peers]
        return [address for address in dict.fromkeys(order) if address != own.internal]

    def _ranking(self) -> Sequence[Identity]:
        """Returns the routers of the own zone in rank, the first tree root first."""
        return self._tree_position()[1]

    def _upstream(self) -> Identity | None:
        """Returns the router that forwards changes to this one.

        None while this is the first tree root of its zone, or knows no router.
        """
        return self._tree_position()[2]

    def _is_tree_root(self) -> bool:
        return any(
            tree_root.incarnation == self._messenger.identity.incarnation for tree_root in self._ranking()[:TREE_ROOTS]
        )

    def _tree_position(self) -> tuple[Sequence[Identity], Sequence[Identity], Identity | None]:
        """Returns ``_ranked``, which is recomputed only when the members have changed."""
        routers = self._membership.routers()
        if self._ranked is None or self._ranked[0] is not routers:
            own = self._messenger.identity
            ranking = ranked_routers(BUNDLE_SERVICE, own.zone, routers)
            self._ranked = routers, ranking, upstream_in(ranking, own.incarnation)
        return self._ranked

    # -- subscriptions and forwarding

    async def _subscribe_forever(self) -> None:
        """Renews the subscription at the upstream router; at once when that is another router or a new incarnation."""
        clock = self._context.clock
        while True:
            upstream = self._upstream()
            if upstream is not None:
                await self._subscribe(upstream.internal)
            renewal = self._limits.renewal_interval * (0.8 + 0.4 * self._context.random.random())
            until = clock.monotonic() + renewal
            while clock.monotonic() < until and self._upstream() == upstream:
                await clock.sleep(self._limits.upstream_check_interval)

    async def _subscribe(self, upstream: Address) -> None:
        outcome = await self._messenger.call(
            upstream, Subscribe(self.version()), Subscribed, self._limits.first_chunk_timeout
        )
        if isinstance(outcome, Success):
            answer: Subscribed = outcome.unwrap()
            if answer.held > self.version():
                self._raise_target(answer.held)
                self._announced_by = upstream
                self._wake.set()

    async def _on_subscribe(self, peer: Identity, message: Subscribe) -> Subscribed:
        until = Instant(self._context.clock.monotonic() + self._limits.subscription_lifetime)
        self._subscribers[peer.internal] = _Subscriber(peer, message.held, until)
        if message.held > self.version():
            self._raise_target(message.held)
            self._announced_by = peer.internal
            self._wake.set()
        return Subscribed(self.version())

    def _notify_subscribers(self) -> None:
        now = self._context.clock.monotonic()
        version = self.version()
        posts: dict[BundleVersion, BundlePosted | BundleAnnounced] = {}
        for address, subscriber in list(self._subscribers.items()):
            if subscriber.until < now:
                del self._subscribers[address]
            elif subscriber.held < version:
                if subscriber.held not in posts:
                    delta = self._chain.since(subscriber.held)
                    small = delta is not None and slice_bytes(delta) <= self._limits.max_posted_bytes
                    posts[subscriber.held] = (
                        BundlePosted(delta, self._membership.epoch())
                        if delta is not None and small
                        else BundleAnnounced(version, self._membership.epoch())
                    )
                self._messenger.post(address, posts[subscriber.held])
                subscriber.held = version

    def _announce_incoming(self, version: BundleVersion) -> None:
        """Announces a large change that is being received, so that subscribers can fetch it at the same time."""
        announced = BundleAnnounced(version, self._membership.epoch())
        for address, subscriber in self._subscribers.items():
            if subscriber.held < version:
                self._messenger.post(address, announced)

    async def _on_fetch(self, peer: Identity, message: FetchBundle) -> BundleChunk:
        self._raise_target(message.latest_known)
        return await self._fetcher.answer(message, self._bundle, self._chain, self._membership.primary_address())
