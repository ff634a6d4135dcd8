"""Which calls a draining router still accepts (docs/DESIGN.md section 12.7)."""

from __future__ import annotations

from ...identifiers import Instant, Seconds
from ..calls import IncomingCall
from ..protocols import Proceed
from ..results import CallResult, Rejection

ROUTER_DRAINING = Rejection(
    status=503, code="router-draining", reason="this router is going down", retry_after=Seconds(0.1)
)


class DrainingPolicy:
    """Accepts all calls; late in a drain, only those whose deadline is before the router stops."""

    name = "draining"

    def __init__(self) -> None:
        self._stops_at: Instant | None = None

    def accept_only_until(self, stops_at: Instant) -> None:
        """Rejects calls with a later deadline than ``stops_at`` from now on."""
        self._stops_at = stops_at

    async def apply(self, call: IncomingCall, proceed: Proceed) -> CallResult:
        """Ends a call with 503 that may still be in progress when the router stops."""
        if self._stops_at is not None and call.attributes.deadline > self._stops_at:
            return ROUTER_DRAINING
        return await proceed(call)
