"""What becomes of calls that reach a router before it may serve any (docs/DESIGN.md section 12.4)."""

from __future__ import annotations

from collections.abc import Callable

from ...context.protocols import Clock
from ...identifiers import Instant, Seconds
from ..formats import CallerFormat
from ..limits import PathLimits
from ..protocols import Answer, IncomingCall, Proceed

STARTUP_SECONDS = Seconds(5.0)
"""A router that has had nothing to serve for longer since its start refuses calls at once."""
SERVING_RESERVE_SECONDS = Seconds(0.4)
"""Of the caller's time, kept for the call itself."""
_POLL_INTERVAL_SECONDS = Seconds(0.02)


class StartingPolicy:
    """Calls at a router that has just started wait a little until it has its bundle, the proof of that, and workers.

    The platform sends callers to such a router only while most of the fleet starts. Refused at once they would come
    back to another router that starts.
    """

    name = "starting"

    def __init__(
        self, clock: Clock, can_serve: Callable[[], bool], limits: PathLimits, caller_format: CallerFormat
    ) -> None:
        self._clock = clock
        self._can_serve = can_serve
        self._limits = limits
        self._format = caller_format
        self._started_at = clock.monotonic()
        self._has_served = False

    async def apply(self, call: IncomingCall, proceed: Proceed) -> Answer:
        wait_end = self._wait_end(call)
        while not self._may_serve() and self._clock.monotonic() < wait_end and not call.caller.disconnected.is_set():
            await self._clock.sleep(_POLL_INTERVAL_SECONDS)
        return await proceed(call)

    def _may_serve(self) -> bool:
        """Once True it stays so: a proof that is lost later is no matter of the start."""
        self._has_served = self._has_served or self._can_serve()
        return self._has_served

    def _wait_end(self, call: IncomingCall) -> Instant:
        wait_ends = [self._started_at + STARTUP_SECONDS, call.received_at + self._limits.startup_wait]
        caller_timeout = self._format.caller_timeout(call)
        if caller_timeout is not None:
            wait_ends.append(call.head_received_at + caller_timeout - SERVING_RESERVE_SECONDS)
        return Instant(min(wait_ends))
