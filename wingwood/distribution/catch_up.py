"""Fetches the target version from other daemons when posts have not brought it (docs/DESIGN.md section 9.2)."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence

from ..bundle.model import BundleDelta
from ..context.protocols import Context
from ..identifiers import Address, BundleVersion, Instant, Seconds
from ..membership.client import MembershipClient
from ..transport.messenger import Messenger
from .applied_bundle import AppliedBundle
from .delta_fetcher import DeltaFetcher, NotAvailable
from .distribution_options import DistributionOptions
from .distribution_tree import TreePosition
from .version_target import VersionTarget

PEERS_ASKED = 2
"""The number of randomly chosen peers that are among the sources of a fetch."""
CONTROLS_ASKED = 8
"""The number of control daemons, besides the primary, that are among the sources of a fetch."""
DISCOVERY_DELAY_S = Seconds(1.0)
"""The time after its start at which a router to which no version has been announced asks other daemons for one."""


class CatchUpFetcher:
    """Decides when this router fetches the target version itself, and from which daemons in turn."""

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        membership: MembershipClient,
        tree: TreePosition,
        applied: AppliedBundle,
        target: VersionTarget,
        delta_fetcher: DeltaFetcher,
        apply: Callable[[BundleDelta], Awaitable[bool]],
        options: DistributionOptions,
    ) -> None:
        """``apply`` applies a fetched delta; it returns False when that was not possible."""
        self._context = context
        self._own_address = messenger.identity.internal
        self._membership = membership
        self._tree = tree
        self._applied = applied
        self._target = target
        self._delta_fetcher = delta_fetcher
        self._apply = apply
        self._options = options
        self._started_at = Instant(0.0)
        self._last_discovery_at = Instant(float("-inf"))

    def start(self) -> None:
        """Starts the delay after which a router without any announced version asks other daemons."""
        self._started_at = self._context.clock.monotonic()

    def is_due(self, now: Instant) -> bool:
        """Whether to fetch now.

        A router with a bundle first waits for a post from its upstream router, unless a daemon is known that
        has a later version.
        """
        if self._applied.current() is None and self._target.version == 0:
            return self._is_discovery_due(now)
        if self._target.is_announced or self._applied.current() is None:
            return self._target.version > self._applied.version()
        behind_for = self._target.behind_for(now)
        return behind_for is not None and behind_for >= self._options.push_wait

    def _is_discovery_due(self, now: Instant) -> bool:
        if (
            now - self._started_at <= DISCOVERY_DELAY_S
            or now - self._last_discovery_at < self._options.discovery_interval
        ):
            return False
        self._last_discovery_at = now
        return True

    async def fetch(self) -> bool:
        """Fetches from the first source that has a later version; returns whether one was applied."""
        announced_by = self._target.take_source()
        upstream = self._tree.upstream()
        upstream_address = None if upstream is None else upstream.internal
        sources = list(self._sources(announced_by))
        for source in sources:  # Grows while sources name alternative sources.
            for since in dict.fromkeys((self._applied.version(), BundleVersion(0))):
                retries = self._applied.current() is None and source == upstream_address
                fetch = self._delta_fetcher.fetch_pending if retries else self._delta_fetcher.fetch
                fetched = await fetch(source, since, self._target.version)
                alternative = fetched.alternative_source if isinstance(fetched, NotAvailable) else None
                if alternative is not None and alternative not in sources:
                    sources.append(alternative)
                if not isinstance(fetched, BundleDelta) or fetched.manifest.version <= self._applied.version():
                    break
                advanced = await self._apply(fetched)
                self._delta_fetcher.discard_incoming()
                if advanced:
                    return True
        self._delta_fetcher.discard_incoming()
        return False

    def _sources(self, announced_by: Address | None) -> Sequence[Address]:
        """Returns the daemons to fetch from, in order.

        A router without a bundle asks its upstream router first, which spares the control daemons, unless it is a
        tree root. Otherwise the daemon that announced the version is first, then the primary.
        """
        upstream = self._tree.upstream()
        tree_roots = [tree_root.internal for tree_root in self._tree.tree_roots()]
        primary = self._membership.primary_address()
        controls = [primary, *self._membership.known_controls()[:CONTROLS_ASKED]]
        peers = self._membership.peer_addresses()
        random_peers = self._context.random.sample(peers, min(PEERS_ASKED, len(peers)))
        if self._applied.current() is not None or self._tree.is_tree_root():
            first = announced_by
        else:
            first = None if upstream is None else upstream.internal
        order = dict.fromkeys((first, *controls, *tree_roots, *random_peers))
        return [address for address in order if address is not None and address != self._own_address]
