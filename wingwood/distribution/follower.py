"""Brings a router to the latest bundle and forwards it to the routers below (docs/DESIGN.md section 9)."""

from __future__ import annotations

from ..bundle.model import BundleDelta
from ..context.protocols import Context, Task
from ..identifiers import Epoch, Instant, Seconds
from ..membership.client import MembershipClient
from ..membership.messages import ClusterUpdate
from ..membership.singleton_roles import EpochGate
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .applied_bundle import AppliedBundle
from .bundle_server import BundleServer
from .catch_up import CatchUpFetcher
from .chunk_relay import ChunkRelay
from .delta_fetcher import DeltaFetcher
from .deltas import join_consecutive
from .distribution_options import DistributionOptions
from .distribution_tree import TreePosition
from .forwarding import BundleForwarder
from .messages import BundleAnnounced, BundlePosted
from .subscription import UpstreamSubscription
from .version_target import VersionTarget

MAX_PENDING_POSTS = 64
"""The number of earlier posted deltas that are stored until they are applied."""
BEHIND_CHECK_INTERVAL_S = Seconds(0.05)
"""The interval at which a router behind its target checks whether to fetch."""
IDLE_CHECK_INTERVAL_S = Seconds(0.5)
"""The same for a router that has reached its target."""


class BundleFollower:
    """Receives posted and announced versions on a router, and runs the loop that applies the latest one.

    Owns the posted deltas that are not applied yet. Its parts fetch what posts did not bring (``CatchUpFetcher``),
    forward what was applied (``BundleForwarder``) and serve other daemons (``BundleServer``).
    """

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        membership: MembershipClient,
        applied: AppliedBundle,
        options: DistributionOptions | None = None,
    ) -> None:
        """``applied`` is the bundle that this follower advances."""
        self._context = context
        self._applied = applied
        self._options = options = options or DistributionOptions()
        self._posted: list[BundleDelta] = []
        """Posted deltas that are not applied yet."""
        self._gate = EpochGate()
        self._tasks: list[Task] = []
        tree = TreePosition(messenger.identity, membership)
        chunk_relay = ChunkRelay(context.clock)
        self._target = target = VersionTarget(context.clock, applied)
        self._forwarder = BundleForwarder(context.clock, messenger, membership, applied, target, options)
        # Registers itself at the messenger.
        BundleServer(messenger, membership, applied, target, chunk_relay, options)
        self._subscription = UpstreamSubscription(context, messenger, tree, applied, target, options)
        delta_fetcher = DeltaFetcher(context.clock, messenger, options, chunk_relay, self._forwarder.announce_incoming)
        self._fetcher = CatchUpFetcher(
            context, messenger, membership, tree, applied, target, delta_fetcher, self._apply, options
        )
        messenger.on_post(BundlePosted, self._on_posted)
        messenger.on_post(BundleAnnounced, self._on_announced)
        membership.on_update(self._on_membership_update)
        membership.set_version_source(applied.version)

    def start(self) -> None:
        """Starts the loops; ``stop`` ends them."""
        self._fetcher.start()
        spawn = self._context.tasks.spawn
        self._tasks = [
            spawn("bundle follower", self._follow_forever()),
            spawn("bundle subscription", self._subscription.run()),
        ]

    def stop(self) -> None:
        """Ends the loops; the applied bundle stays."""
        for task in self._tasks:
            task.cancel()

    def _on_membership_update(self, update: ClusterUpdate, asked_at: Instant) -> None:
        """Records what a heartbeat answer states; ``asked_at`` is the own time just before the heartbeat was sent."""
        if update.confirmation_age is not None:
            self._applied.record_confirmation(update.confirmed_version, Instant(asked_at - update.confirmation_age))
        self._gate.admit(update.epoch)
        self._target.raise_to(max(update.latest_version, update.confirmed_version))

    def _on_posted(self, peer: Identity, message: BundlePosted) -> None:
        version = message.delta.manifest.version
        if version <= self._applied.version() or self._is_from_deposed_primary(peer, message.epoch):
            return
        self._posted = [*self._posted[-MAX_PENDING_POSTS:], message.delta]
        self._target.raise_to(version)
        if message.delta.since > self._applied.version() and len(self._posted) == 1:
            self._target.prefer_source(peer.internal)
        self._target.wake()

    def _on_announced(self, peer: Identity, message: BundleAnnounced) -> None:
        if message.version > self._applied.version() and not self._is_from_deposed_primary(peer, message.epoch):
            self._target.announce(message.version, peer.internal)

    def _is_from_deposed_primary(self, peer: Identity, epoch: Epoch) -> bool:
        """Returns whether the sender is a control daemon that posts under an epoch that has ended.

        Such a daemon learns of the new epoch without a message from this router.
        """
        deposed = peer.role == "control" and not self._gate.admit(epoch)
        if deposed:
            self._context.log.event(
                "deposed-primary-rejected", peer=peer.name, epoch=epoch, latest_epoch=self._gate.highest
            )
        return deposed

    async def _follow_forever(self) -> None:
        """Applies at most one version every ``min_publish_interval``; versions in between are skipped."""
        clock = self._context.clock
        while True:
            self._target.clear_change()
            started_at = clock.monotonic()
            advanced = await self._apply_posted()
            if not advanced and self._fetcher.is_due(started_at):
                advanced = await self._fetcher.fetch()
            if advanced:
                await clock.sleep(
                    Seconds(max(0.0, started_at + self._options.min_publish_interval - clock.monotonic()))
                )
            else:
                is_behind = self._target.behind_for(clock.monotonic()) is not None
                await self._target.wait_for_change(BEHIND_CHECK_INTERVAL_S if is_behind else IDLE_CHECK_INTERVAL_S)

    async def _apply_posted(self) -> bool:
        """Applies all posted deltas that continue the applied version, in one step.

        Deltas that leave a gap stay stored until a fetch closes it. Returns whether a version was applied.
        """
        posted, self._posted = self._posted, []
        joined = join_consecutive(posted, self._applied.version())
        if joined is None:
            self._posted = [delta for delta in posted if delta.manifest.version > self._applied.version()]
            return False
        if not await self._apply(joined):
            return False
        self._posted = [delta for delta in posted if delta.manifest.version > joined.manifest.version] + self._posted
        return True

    async def _apply(self, delta: BundleDelta) -> bool:
        if not await self._applied.apply(delta):
            return False
        self._target.record_applied()
        self._forwarder.forward_applied()
        return True
