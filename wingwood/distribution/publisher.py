"""From the primary's journal to each zone's home (docs/DESIGN.md section 9.1)."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from ..bundle.model import Manifest
from ..context.protocols import Context, Task
from ..control.protocols import BundleSource, ControlCore
from ..identifiers import Address, BundleVersion, Epoch, Instant, Seconds
from ..membership.messages import News
from ..membership.protocols import Membership
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .deltas import ChunkServer, slice_bytes
from .distribution_tree import BUNDLE_SERVICE, tree_roots_of, zones_of
from .freshness import FreshnessProver
from .limits import DistributionLimits
from .messages import BundleAnnounced, BundleChunk, BundlePosted, FetchBundle


class BundlePublisher:
    """On each control daemon: hands out acknowledged bundles; on the primary: posts them to the homes.

    Wanted: each home was posted the newest version under this epoch. The loop works out to whom it wasn't.
    """

    prover_class = FreshnessProver

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        core: ControlCore,
        source: BundleSource,
        membership: Membership,
        limits: DistributionLimits | None = None,
    ) -> None:
        self._context = context
        self._messenger = messenger
        self._core = core
        self._source = source
        self._membership = membership
        self._limits = limits or DistributionLimits()
        self._prover = self.prover_class(context, messenger, core, source, membership, self._limits)
        self._chunks = ChunkServer(self._limits.chunk_bytes, self._limits.first_chunk_bytes)
        self._posted: dict[Address, tuple[Epoch, BundleVersion]] = {}
        self._published = Instant(float("-inf"))
        self._ranked: tuple[Sequence[Identity], Sequence[Identity]] | None = None
        self._wake = asyncio.Event()
        self._task: Task | None = None
        messenger.on_call(FetchBundle, self._on_fetch)
        source.on_committed(self._on_committed)
        core.on_change(self._wake.set)
        membership.on_change(self._wake.set)

    def start(self) -> None:
        self._prover.start()
        self._task = self._context.tasks.spawn("bundle publisher", self._publish_forever())

    def stop(self) -> None:
        self._prover.stop()
        if self._task is not None:
            self._task.cancel()

    def membership_update(self) -> News:
        """What heartbeat answers tell; see ``SessionKeeper.tell``."""
        return self._prover.membership_update()

    def _on_committed(self, manifest: Manifest) -> None:
        """Posts in this very turn, before the acknowledgement leaves, unless a post went out just now."""
        if self._context.clock.monotonic() - self._published >= self._limits.min_publish_interval:
            self._publish()
        else:
            self._wake.set()

    async def _on_fetch(self, peer: Identity, message: FetchBundle) -> BundleChunk:
        newest = self._source.newest()
        if newest is None:
            primary = self._core.primary_address()
            return BundleChunk(False, BundleVersion(0), alternative_source=None if self._core.leads() else primary)
        delta = self._source.delta_since(message.since) if message.offset == 0 else None
        return self._chunks.chunk(message, newest.version, delta)

    async def _publish_forever(self) -> None:
        clock = self._context.clock
        while True:
            await self._wake.wait()
            self._wake.clear()
            await clock.sleep(
                Seconds(max(0.0, self._published + self._limits.min_publish_interval - clock.monotonic()))
            )
            self._publish()

    def _tree_roots(self) -> Sequence[Identity]:
        """Of all zones; worked out anew only when the members have changed."""
        routers = self._membership.routers()
        if self._ranked is None or self._ranked[0] is not routers:
            homes = [home for zone in zones_of(routers) for home in tree_roots_of(BUNDLE_SERVICE, zone, routers)]
            self._ranked = routers, homes
        return self._ranked[1]

    def _publish(self) -> None:
        newest = self._source.newest()
        if newest is None or not self._core.leads():
            return
        self._published = self._context.clock.monotonic()
        version, epoch = newest.version, self._core.epoch()
        homes = self._tree_roots()
        controls = [control.internal for control in self._membership.controls()]
        posted: dict[Address, tuple[Epoch, BundleVersion]] = {}
        fresh = 0
        posts: dict[BundleVersion, BundlePosted | BundleAnnounced] = {}
        announced = BundleAnnounced(version, epoch)
        for home in homes:
            had_epoch, had = self._posted.get(home.internal, (None, BundleVersion(0)))
            fresh += (had_epoch, had) != (epoch, version)
            if had_epoch != epoch:
                self._messenger.post(home.internal, announced)
            elif had < version:
                if had not in posts:
                    delta = self._source.delta_since(had)
                    small = delta is not None and slice_bytes(delta) <= self._limits.max_posted_bytes
                    posts[had] = BundlePosted(delta, epoch) if delta is not None and small else announced
                self._messenger.post(home.internal, posts[had])
            posted[home.internal] = (epoch, version)
        for control in controls:
            if control != self._messenger.identity.internal:
                if self._posted.get(control) != (epoch, version):
                    self._messenger.post(control, announced)
                posted[control] = (epoch, version)
        self._posted = posted
        if fresh:
            self._context.log.event("bundle-published", version=version, epoch=epoch, homes=fresh)
