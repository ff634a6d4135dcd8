"""What becomes of calls that reach a router before it may serve any (docs/DESIGN.md section 12.4)."""

from __future__ import annotations

from collections.abc import Callable

from ...context.protocols import Clock
from ...identifiers import Instant, Seconds
from ..formats import CallerFormat
from ..limits import PathLimits
from ..protocols import Answer, IncomingCall, Proceed

STARTING = Seconds(5.0)
"""A router that has had nothing to serve for longer since its start refuses calls at once."""
TIME_TO_SERVE = Seconds(0.4)
"""Of the caller's time, kept for the call itself."""
_LOOK_EVERY = Seconds(0.02)


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
        self._began = clock.monotonic()
        self._has_served = False

    async def apply(self, call: IncomingCall, proceed: Proceed) -> Answer:
        until = self._waits_until(call)
        while not self._has_begun() and self._clock.monotonic() < until and not call.caller.gone.is_set():
            await self._clock.sleep(_LOOK_EVERY)
        return await proceed(call)

    def _has_begun(self) -> bool:
        """Once True it stays so: a proof that is lost later is no matter of the start."""
        self._has_served = self._has_served or self._can_serve()
        return self._has_served

    def _waits_until(self, call: IncomingCall) -> Instant:
        ends = [self._began + STARTING, call.arrived + self._limits.starting_wait]
        patience = self._format.patience(call)
        if patience is not None:
            ends.append(call.began + patience - TIME_TO_SERVE)
        return Instant(min(ends))
