"""Calls that reach a router before it can serve any (docs/DESIGN.md section 12.4)."""

from __future__ import annotations

from collections.abc import Callable

from ...context.protocols import Clock
from ...identifiers import Instant, Seconds
from ..calls import CallerRequest, IncomingCall
from ..protocols import Proceed
from ..results import CallResult

STARTUP_SECONDS = Seconds(5.0)
"""Time after the start of the router from which it rejects calls that it can not serve at once."""
SERVING_RESERVE_SECONDS = Seconds(0.4)
"""Part of the time until the call's deadline that is left for the call itself."""
_POLL_INTERVAL_SECONDS = Seconds(0.02)


class StartingPolicy:
    """Lets calls at a router that has just started wait until it has a confirmed bundle and workers.

    The load balancer sends callers to such a router only while most of the fleet is starting. If they were rejected
    at once, they would try again at another router that is starting.
    """

    name = "starting"

    def __init__(
        self,
        clock: Clock,
        can_serve: Callable[[], bool],
        startup_wait: Seconds,
        deadline_of: Callable[[CallerRequest], Instant | None],
    ) -> None:
        """``deadline_of`` returns when a call ends at the latest, as far as that is known before its authentication."""
        self._clock = clock
        self._can_serve = can_serve
        self._startup_wait = startup_wait
        self._deadline_of = deadline_of
        self._started_at = clock.monotonic()
        self._was_ready = False

    async def apply(self, call: IncomingCall, proceed: Proceed) -> CallResult:
        """Proceeds once the router can serve, or when the call can wait no longer."""
        disconnected = call.response.disconnected
        while not self._has_been_ready() and self._may_wait(call.request) and not disconnected.is_set():
            await self._clock.sleep(_POLL_INTERVAL_SECONDS)
        return await proceed(call)

    def _has_been_ready(self) -> bool:
        """Returns whether the router could serve calls at any time since its start, even if it can not any more."""
        self._was_ready = self._was_ready or self._can_serve()
        return self._was_ready

    def _may_wait(self, request: CallerRequest) -> bool:
        """Returns whether the call still has time; a bundle that arrives meanwhile may shorten it."""
        wait_ends = [self._started_at + STARTUP_SECONDS, request.received_at + self._startup_wait]
        deadline = self._deadline_of(request)
        if deadline is not None:
            wait_ends.append(deadline - SERVING_RESERVE_SECONDS)
        return self._clock.monotonic() < min(wait_ends)
