"""Publishes acknowledged bundles from the primary to the tree roots of each zone (docs/DESIGN.md section 9.1)."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from ..bundle.model import Manifest
from ..context.protocols import Context, Task
from ..control.protocols import BundleSource, ControlCore
from ..identifiers import Address, BundleVersion, Epoch, Instant, Seconds
from ..membership.protocols import Membership
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .bundle_posts import BundlePosts
from .chunk_server import ChunkServer
from .distribution_options import DistributionOptions
from .distribution_tree import BUNDLE_SERVICE, tree_roots_of, zones_of
from .messages import BundleAnnounced, BundleChunk, FetchBundle


class BundlePublisher:
    """Serves acknowledged bundles on each control daemon, and posts them to the tree roots on the primary.

    The target state is that the latest version has been posted to each tree root under the current epoch. The loop
    determines the tree roots for which this is not so yet.
    """

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        core: ControlCore,
        source: BundleSource,
        membership: Membership,
        options: DistributionOptions | None = None,
    ) -> None:
        self._context = context
        self._messenger = messenger
        self._core = core
        self._source = source
        self._membership = membership
        self._options = options or DistributionOptions()
        self._chunks = ChunkServer(self._options.chunk_bytes, self._options.first_chunk_bytes)
        self._posted: dict[Address, tuple[Epoch, BundleVersion]] = {}
        """The epoch and version last posted to each tree root and control daemon."""
        self._published_at = Instant(float("-inf"))
        self._routers: Sequence[Identity] | None = None
        """The routers from which ``_tree_roots`` was computed."""
        self._tree_roots: Sequence[Identity] = ()
        self._changed = asyncio.Event()
        self._task: Task | None = None
        messenger.on_call(FetchBundle, self._on_fetch)
        source.on_committed(self._on_committed)
        core.on_change(self._changed.set)
        membership.on_change(self._changed.set)

    def start(self) -> None:
        """Starts the loop that publishes; ``stop`` ends it."""
        self._task = self._context.tasks.spawn("bundle publisher", self._publish_forever())

    def stop(self) -> None:
        """Ends the loop; ``FetchBundle`` is still answered."""
        if self._task is not None:
            self._task.cancel()

    def _on_committed(self, _manifest: Manifest) -> None:
        """Posts a committed version at once, before its acknowledgement is sent.

        The loop posts it instead when less than ``min_publish_interval`` has passed since the last post.
        """
        if self._context.clock.monotonic() - self._published_at >= self._options.min_publish_interval:
            self._publish()
        else:
            self._changed.set()

    async def _on_fetch(self, _peer: Identity, message: FetchBundle) -> BundleChunk:
        latest = self._source.latest()
        if latest is None:
            primary = self._core.primary_address()
            return BundleChunk(False, BundleVersion(0), alternative_source=None if self._core.leads() else primary)
        delta = self._source.delta_since(message.since) if message.offset == 0 else None
        return self._chunks.chunk(message, latest.version, delta)

    async def _publish_forever(self) -> None:
        clock = self._context.clock
        while True:
            await self._changed.wait()
            self._changed.clear()
            await clock.sleep(
                Seconds(max(0.0, self._published_at + self._options.min_publish_interval - clock.monotonic()))
            )
            self._publish()

    def _publish(self) -> None:
        latest = self._source.latest()
        if latest is None or not self._core.leads():
            return
        self._published_at = self._context.clock.monotonic()
        announcement = BundleAnnounced(latest.version, self._core.epoch())
        tree_roots = [tree_root.internal for tree_root in self._current_tree_roots()]
        controls = [control.internal for control in self._membership.controls()]
        posted_now = (announcement.epoch, announcement.version)
        new_posts = sum(self._posted.get(tree_root) != posted_now for tree_root in tree_roots)
        self._post_to_tree_roots(tree_roots, announcement)
        other_controls = [control for control in controls if control != self._messenger.identity.internal]
        for control in other_controls:
            if self._posted.get(control) != posted_now:
                self._messenger.post(control, announcement)
        self._posted = dict.fromkeys((*tree_roots, *other_controls), posted_now)
        if new_posts:
            self._context.log.event(
                "bundle-published", version=announcement.version, epoch=announcement.epoch, tree_roots=new_posts
            )

    def _post_to_tree_roots(self, tree_roots: Sequence[Address], announcement: BundleAnnounced) -> None:
        """Posts what changed since the last post under this epoch.

        Only announces the version to a tree root that was posted nothing under this epoch yet.
        """
        posts = BundlePosts(announcement, self._source.delta_since, self._options.max_posted_bytes)
        for tree_root in tree_roots:
            posted_epoch, posted_version = self._posted.get(tree_root, (None, BundleVersion(0)))
            if posted_epoch != announcement.epoch:
                self._messenger.post(tree_root, announcement)
            elif posted_version < announcement.version:
                self._messenger.post(tree_root, posts.since(posted_version))

    def _current_tree_roots(self) -> Sequence[Identity]:
        """Returns the tree roots of all zones; recomputed only when the members have changed."""
        routers = self._membership.routers()
        if self._routers is not routers:
            self._routers = routers
            self._tree_roots = [
                tree_root for zone in zones_of(routers) for tree_root in tree_roots_of(BUNDLE_SERVICE, zone, routers)
            ]
        return self._tree_roots
