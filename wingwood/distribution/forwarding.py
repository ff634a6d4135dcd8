"""Forwards changes from a router to the routers below it (docs/DESIGN.md section 9.1)."""

from __future__ import annotations

from ..context.protocols import Clock
from ..identifiers import Address, BundleVersion, Instant
from ..membership.client import MembershipClient
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .applied_bundle import AppliedBundle
from .bundle_posts import BundlePosts
from .distribution_options import DistributionOptions
from .messages import BundleAnnounced, Subscribe, Subscribed
from .version_target import VersionTarget


class _Subscriber:
    """A router that gets changes from this one: the version it has and the end of its subscription."""

    def __init__(self, version: BundleVersion, until: Instant) -> None:
        self.version = version
        self.until = until


class BundleForwarder:
    """Owns the subscriptions at this router, answers ``Subscribe`` and posts each applied version to subscribers."""

    def __init__(
        self,
        clock: Clock,
        messenger: Messenger,
        membership: MembershipClient,
        applied: AppliedBundle,
        target: VersionTarget,
        options: DistributionOptions,
    ) -> None:
        self._clock = clock
        self._messenger = messenger
        self._membership = membership
        self._applied = applied
        self._target = target
        self._options = options
        self._subscribers: dict[Address, _Subscriber] = {}
        messenger.on_call(Subscribe, self._on_subscribe)

    async def _on_subscribe(self, peer: Identity, message: Subscribe) -> Subscribed:
        until = Instant(self._clock.monotonic() + self._options.subscription_lifetime)
        self._subscribers[peer.internal] = _Subscriber(message.version, until)
        self._target.announce(message.version, peer.internal)
        return Subscribed(self._applied.version())

    def forward_applied(self) -> None:
        """Posts the applied version to the subscribers that have an earlier one, and ends expired subscriptions."""
        now = self._clock.monotonic()
        version = self._applied.version()
        announcement = BundleAnnounced(version, self._membership.epoch())
        posts = BundlePosts(announcement, self._applied.delta_since, self._options.max_posted_bytes)
        for address, subscriber in list(self._subscribers.items()):
            if subscriber.until < now:
                del self._subscribers[address]
            elif subscriber.version < version:
                self._messenger.post(address, posts.since(subscriber.version))
                subscriber.version = version

    def announce_incoming(self, version: BundleVersion) -> None:
        """Announces a large change that is being received, so that subscribers can fetch it at the same time."""
        announcement = BundleAnnounced(version, self._membership.epoch())
        for address, subscriber in self._subscribers.items():
            if subscriber.version < version:
                self._messenger.post(address, announcement)
