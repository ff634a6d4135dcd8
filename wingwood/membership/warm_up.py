"""The warm-up of a coordinator, during which its list may lack live members (docs/DESIGN.md section 8.3)."""

from __future__ import annotations

from ..context.protocols import Clock
from ..identifiers import Instant, Seconds


class WarmUp:
    """Period after a start, a process pause or isolation in which the coordinator's list must not remove members.

    Daemons and peers need this long to report again. Owns the end of the period.
    """

    def __init__(self, clock: Clock, duration_s: Seconds) -> None:
        self._clock = clock
        self._duration_s = duration_s
        self._ends_at = Instant(clock.monotonic() + duration_s)

    def restart(self) -> None:
        """Starts the period again from now."""
        self._ends_at = Instant(self._clock.monotonic() + self._duration_s)

    def is_active(self) -> bool:
        """Returns whether the list may still lack live members."""
        return self._clock.monotonic() < self._ends_at
