"""Calls that reach a router before it can serve any (docs/DESIGN.md section 12.4)."""

from __future__ import annotations

from collections.abc import Callable

from ...context.protocols import Clock
from ...identifiers import Instant, Seconds
from ..calls import IncomingCall
from ..formats import CallerFormat
from ..protocols import Proceed
from ..results import CallResult

STARTUP_SECONDS = Seconds(5.0)
"""Time after the start of the router from which it rejects calls that it can not serve at once."""
SERVING_RESERVE_SECONDS = Seconds(0.4)
"""Part of the caller's timeout that is left for the call itself."""
_POLL_INTERVAL_SECONDS = Seconds(0.02)


class StartingPolicy:
    """Lets calls at a router that has just started wait until it has a confirmed bundle and workers.

    The load balancer sends callers to such a router only while most of the fleet is starting. If they were rejected
    at once, they would try again at another router that is starting.
    """

    name = "starting"

    def __init__(
        self, clock: Clock, can_serve: Callable[[], bool], startup_wait: Seconds, caller_format: CallerFormat
    ) -> None:
        self._clock = clock
        self._can_serve = can_serve
        self._startup_wait = startup_wait
        self._format = caller_format
        self._started_at = clock.monotonic()
        self._was_ready = False

    async def apply(self, call: IncomingCall, proceed: Proceed) -> CallResult:
        """Proceeds once the router can serve, or when the call can wait no longer."""
        wait_end = self._wait_end(call)
        disconnected = call.response.disconnected
        while not self._has_been_ready() and self._clock.monotonic() < wait_end and not disconnected.is_set():
            await self._clock.sleep(_POLL_INTERVAL_SECONDS)
        return await proceed(call)

    def _has_been_ready(self) -> bool:
        """Returns whether the router could serve calls at any time since its start, even if it can not any more."""
        self._was_ready = self._was_ready or self._can_serve()
        return self._was_ready

    def _wait_end(self, call: IncomingCall) -> Instant:
        request = call.request
        wait_ends = [self._started_at + STARTUP_SECONDS, request.received_at + self._startup_wait]
        caller_timeout = self._format.caller_timeout(request)
        if caller_timeout is not None:
            wait_ends.append(request.headers_received_at + caller_timeout - SERVING_RESERVE_SECONDS)
        return Instant(min(wait_ends))
