"""The bundle in force on a router, and its zone's home when its turn comes (docs/DESIGN.md section 9)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Sequence

import msgspec
from returns.result import Success

from ..bundle.model import Bundle, BundleDelta
from ..bundle.parse import apply_delta_gradually
from ..bundle.variants import Place
from ..context.protocols import Context, Task
from ..identifiers import Address, BundleVersion, Epoch, Instant, Seconds
from ..membership.client import MembershipClient
from ..membership.duties import EpochGate
from ..membership.messages import News
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .deltas import DeltaChain, join_deltas, slice_bytes
from .distribution_tree import BUNDLE_SERVICE, TREE_ROOTS, ranked_routers, upstream_in
from .fetching import DeltaFetcher, NotAvailable
from .limits import DistributionLimits
from .messages import BundleAnnounced, BundleChunk, BundlePosted, FetchBundle, Subscribe, Subscribed

PEERS_ASKED = 2
DISCOVERY_DELAY_S = Seconds(1.0)
"""A daemon that has heard of no bundle for so long asks around for one."""
MAX_PENDING_PROOFS = 64
MAX_PENDING_POSTS = 64


class _Subscriber:
    def __init__(self, identity: Identity, held: BundleVersion, until: Instant) -> None:
        self.identity = identity
        self.held = held
        self.until = until


class BundleFollower:
    """Implements ``BundleInForce``. Wanted: the newest version heard of; the loop brings it in force."""

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
        self._place = Place(messenger.identity.zone, messenger.identity.name)
        self._removed_key_bound = removed_key_bound
        self._limits = limits or DistributionLimits()
        self._bundle: Bundle | None = None
        self._chain = DeltaChain(self._limits.max_deltas)
        self._fetcher = DeltaFetcher(context.clock, messenger, self._limits, self._announce_incoming)
        self._callbacks: list[Callable[[Bundle], None]] = []
        self._target_version = BundleVersion(0)
        self._behind_since: Instant | None = None
        self._announced_by: Address | None = None
        """Who has a newer version for sure; asked first, without waiting for the home."""
        self._posted: list[BundleDelta] = []
        self._proven: Instant | None = None
        self._proofs: list[tuple[BundleVersion, Instant]] = []
        """Proofs of versions not yet in force here."""
        self._gate = EpochGate()
        self._ranked: tuple[Sequence[Identity], Sequence[Identity], Identity | None] | None = None
        """The routers, those of the own zone in rank, and who stands above this daemon among them."""
        self._subscribers: dict[Address, _Subscriber] = {}
        self._wake = asyncio.Event()
        self._tasks: list[Task] = []
        self._started = Instant(0.0)
        self._last_discovery = Instant(float("-inf"))
        messenger.on_post(BundlePosted, self._on_posted)
        messenger.on_post(BundleAnnounced, self._on_announced)
        messenger.on_call(Subscribe, self._on_subscribe)
        messenger.on_call(FetchBundle, self._on_fetch)
        membership.on_news(self._on_membership_update)
        membership.tell(self.version)

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

    # -- what is heard

    def _on_membership_update(self, update: News, asked: Instant) -> None:
        if update.proof_age is not None:
            self._record_proof(update.proof_version, Instant(asked - update.proof_age))
        self._gate.admit(update.epoch)
        self._raise_target(max(update.newest, update.proof_version))

    def _record_proof(self, version: BundleVersion, proven: Instant) -> None:
        """``version`` was the newest at ``proven``; counts once that version (or a newer one) is in force."""
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
        """Whether a control daemon posts under an epoch that is over; it hears of the new one by itself."""
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

    # -- bringing the newest version in force

    async def _follow_forever(self) -> None:
        """At most one version in force every ``pause``; what came meanwhile is skipped over."""
        clock = self._context.clock
        while True:
            self._wake.clear()
            started_at = clock.monotonic()
            advanced = await self._put_posted_in_force()
            if not advanced and self._may_fetch(started_at):
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
        """All posts that follow on what is held, in one step; what leaves a gap waits for a fetch."""
        posted, self._posted = self._posted, []
        step: BundleDelta | None = None
        reached = self.version()
        for delta in sorted(posted, key=lambda delta: (delta.since, delta.manifest.version)):
            if delta.since <= reached < delta.manifest.version:
                step = delta if step is None else join_deltas(step, msgspec.structs.replace(delta, since=reached))
                reached = delta.manifest.version
        if step is None:
            self._posted = [delta for delta in posted if delta.manifest.version > reached]
            return False
        if not await self._put_in_force(step):
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
            return False  # Another one came in force while this one was read.
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

    def _may_fetch(self, now: Instant) -> bool:
        if self._bundle is None and self._target_version == 0:
            if now - self._started <= DISCOVERY_DELAY_S or now - self._last_discovery < self._limits.discovery_interval:
                return False
            self._last_discovery = now
            return True
        if self._announced_by is not None or self._bundle is None:
            return self._target_version > self.version()
        return self._behind_since is not None and now - self._behind_since >= self._limits.push_wait

    async def _fetch(self) -> bool:
        """From the first source that brings this daemon forward; True when it did."""
        announced_by, self._announced_by = self._announced_by, None
        upstream = self._upstream()
        sources = list(self._sources(announced_by))
        for source in sources:  # Grows by those who are named by others.
            for since in dict.fromkeys((self.version(), BundleVersion(0))):
                waits = self._bundle is None and upstream is not None and source == upstream.internal
                fetch = self._fetcher.fetch_pending if waits else self._fetcher.fetch
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
        """A newcomer spares the control daemons, unless it is a home, and asks the daemon above it first; else the
        primary is asked first."""
        own = self._messenger.identity
        upstream = self._upstream()
        above = [] if upstream is None else [upstream]
        first = [daemon.internal for daemon in above]
        homes = [home.internal for home in self._ranking()[:TREE_ROOTS]]
        primary = self._membership.primary_address()
        controls = [control for control in (primary, *self._membership.known_controls()[:8]) if control is not None]
        peers = self._membership.fellows()
        some = self._context.random.sample(peers, min(PEERS_ASKED, len(peers)))
        if self._bundle is not None or self._is_tree_root():
            first = [] if announced_by is None else [announced_by]
        order = [*first, *controls, *homes, *some]
        return [address for address in dict.fromkeys(order) if address != own.internal]

    def _ranking(self) -> Sequence[Identity]:
        """The own zone's routers, the home first."""
        return self._tree_position()[1]

    def _upstream(self) -> Identity | None:
        """Who passes changes on to this daemon; None while this is its zone's home, or knows no router."""
        return self._tree_position()[2]

    def _is_tree_root(self) -> bool:
        return any(home.incarnation == self._messenger.identity.incarnation for home in self._ranking()[:TREE_ROOTS])

    def _tree_position(self) -> tuple[Sequence[Identity], Sequence[Identity], Identity | None]:
        """Worked out anew only when the members have changed."""
        routers = self._membership.routers()
        if self._ranked is None or self._ranked[0] is not routers:
            own = self._messenger.identity
            ranking = ranked_routers(BUNDLE_SERVICE, own.zone, routers)
            self._ranked = routers, ranking, upstream_in(ranking, own.incarnation)
        return self._ranked

    # -- as home: passing on

    async def _subscribe_forever(self) -> None:
        """Renews the subscription at the daemon above; at once when that is another daemon (or life)."""
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
        """A large change is on its way here: those below may fetch it while it comes in."""
        announced = BundleAnnounced(version, self._membership.epoch())
        for address, subscriber in self._subscribers.items():
            if subscriber.held < version:
                self._messenger.post(address, announced)

    async def _on_fetch(self, peer: Identity, message: FetchBundle) -> BundleChunk:
        self._raise_target(message.latest_known)
        return await self._fetcher.answer(message, self._bundle, self._chain, self._membership.primary_address())
