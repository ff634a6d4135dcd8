"""Subscribes a router at the router above it in the distribution tree (docs/DESIGN.md section 9.1)."""

from __future__ import annotations

from returns.result import Success

from ..context.protocols import Context
from ..identifiers import Address
from ..transport.messenger import Messenger
from .applied_bundle import AppliedBundle
from .distribution_options import DistributionOptions
from .distribution_tree import TreePosition
from .messages import Subscribe, Subscribed
from .version_target import VersionTarget


class UpstreamSubscription:
    """Keeps this router subscribed at its upstream router, from which it learns of later versions."""

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        tree: TreePosition,
        applied: AppliedBundle,
        target: VersionTarget,
        options: DistributionOptions,
    ) -> None:
        self._context = context
        self._messenger = messenger
        self._tree = tree
        self._applied = applied
        self._target = target
        self._options = options

    async def run(self) -> None:
        """Renews the subscription until it is cancelled; at once when the upstream router is another incarnation."""
        clock = self._context.clock
        while True:
            upstream = self._tree.upstream()
            if upstream is not None:
                await self._subscribe(upstream.internal)
            renewal = self._options.renewal_interval * (0.8 + 0.4 * self._context.random.random())
            until = clock.monotonic() + renewal
            while clock.monotonic() < until and self._tree.upstream() == upstream:
                await clock.sleep(self._options.upstream_check_interval)

    async def _subscribe(self, upstream: Address) -> None:
        outcome = await self._messenger.call(
            upstream, Subscribe(self._applied.version()), Subscribed, self._options.first_chunk_timeout
        )
        if isinstance(outcome, Success):
            reply: Subscribed = outcome.unwrap()
            self._target.announce(reply.version, upstream)
