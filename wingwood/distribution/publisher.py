"""Publishes acknowledged bundles from the primary to the tree roots of each zone (docs/DESIGN.md section 9.1)."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from ..bundle.model import Manifest
from ..context.protocols import Context, Task
from ..control.protocols import BundleSource, ControlCore
from ..identifiers import Address, BundleVersion, Epoch, Instant, Seconds
from ..membership.messages import ClusterUpdate
from ..membership.protocols import Membership
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .deltas import ChunkServer, slice_bytes
from .distribution_tree import BUNDLE_SERVICE, tree_roots_of, zones_of
from .freshness import FreshnessProver
from .limits import DistributionLimits
from .messages import BundleAnnounced, BundleChunk, BundlePosted, FetchBundle


class BundlePublisher:
    """Serves acknowledged bundles on each control daemon, and posts them to the tree roots on the primary.

    The target state is that the latest version has been posted to each tree root under the current epoch. The loop
    determines the tree roots for which this is not so yet.
    """

    prover_class = FreshnessProver
    """Tests replace it by a faulty variant."""

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
        """The epoch and version last posted to each tree root and control daemon."""
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

    def membership_update(self) -> ClusterUpdate:
        """Returns what heartbeat answers state about the latest version; the owner passes it to membership."""
        return self._prover.membership_update()

    def _on_committed(self, manifest: Manifest) -> None:
        """Posts a committed version at once, before its acknowledgement is sent.

        The loop posts it instead when less than ``min_publish_interval`` has passed since the last post.
        """
        if self._context.clock.monotonic() - self._published >= self._limits.min_publish_interval:
            self._publish()
        else:
            self._wake.set()

    async def _on_fetch(self, peer: Identity, message: FetchBundle) -> BundleChunk:
        latest = self._source.latest()
        if latest is None:
            primary = self._core.primary_address()
            return BundleChunk(False, BundleVersion(0), alternative_source=None if self._core.leads() else primary)
        delta = self._source.delta_since(message.since) if message.offset == 0 else None
        return self._chunks.chunk(message, latest.version, delta)

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
        """Returns the tree roots of all zones; recomputed only when the members have changed."""
        routers = self._membership.routers()
        if self._ranked is None or self._ranked[0] is not routers:
            tree_roots = [
                tree_root for zone in zones_of(routers) for tree_root in tree_roots_of(BUNDLE_SERVICE, zone, routers)
            ]
            self._ranked = routers, tree_roots
        return self._ranked[1]

    def _publish(self) -> None:
        latest = self._source.latest()
        if latest is None or not self._core.leads():
            return
        self._published = self._context.clock.monotonic()
        version, epoch = latest.version, self._core.epoch()
        tree_roots = self._tree_roots()
        controls = [control.internal for control in self._membership.controls()]
        posted: dict[Address, tuple[Epoch, BundleVersion]] = {}
        new_posts = 0
        posts: dict[BundleVersion, BundlePosted | BundleAnnounced] = {}
        announced = BundleAnnounced(version, epoch)
        for tree_root in tree_roots:
            posted_epoch, posted_version = self._posted.get(tree_root.internal, (None, BundleVersion(0)))
            new_posts += (posted_epoch, posted_version) != (epoch, version)
            if posted_epoch != epoch:
                self._messenger.post(tree_root.internal, announced)
            elif posted_version < version:
                if posted_version not in posts:
                    delta = self._source.delta_since(posted_version)
                    small = delta is not None and slice_bytes(delta) <= self._limits.max_posted_bytes
                    posts[posted_version] = BundlePosted(delta, epoch) if delta is not None and small else announced
                self._messenger.post(tree_root.internal, posts[posted_version])
            posted[tree_root.internal] = (epoch, version)
        for control in controls:
            if control != self._messenger.identity.internal:
                if self._posted.get(control) != (epoch, version):
                    self._messenger.post(control, announced)
                posted[control] = (epoch, version)
        self._posted = posted
        if new_posts:
            self._context.log.event("bundle-published", version=version, epoch=epoch, homes=new_posts)
