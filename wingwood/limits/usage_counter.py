"""What a tenant used at one router (docs/DESIGN.md section 14.1)."""

from __future__ import annotations

from ..identifiers import Instant, Seconds
from .bucket import SlidingWindowCounter
from .share_options import AUTONOMY_S, RECENT_WINDOW_S, REPORT_STEP_S

MIN_RECENT_CALLS = 2
"""A router with fewer calls of the tenant within ``RECENT_WINDOW_S`` requests no allowance."""
IDLE_S = Seconds(1.5)
"""A router without a call for this long returns its allowance."""


class UsageCounter:
    """Owns the tenant's admitted use at this router, and the time of its last call, admitted or not."""

    def __init__(self, window_s: Seconds, now: Instant) -> None:
        self._admitted = SlidingWindowCounter(Seconds(max(RECENT_WINDOW_S, window_s) + REPORT_STEP_S))
        self._calls = SlidingWindowCounter(RECENT_WINDOW_S)
        self._last_call_at = now

    def record_call(self, now: Instant) -> None:
        """Records that a call arrived."""
        self._last_call_at = now

    def record_admitted(self, cost: int, now: Instant) -> None:
        """Adds an admitted call to the use."""
        self._admitted.add(now, cost)
        self._calls.add(now)

    def end_activity(self) -> None:
        """Lets the allowance be returned as if the router had been without calls for long, because it stops."""
        self._last_call_at = Instant(float("-inf"))

    def is_idle(self, now: Instant) -> bool:
        """Returns whether no call arrived for so long that the router returns its allowance."""
        return now - self._last_call_at > IDLE_S

    def is_expired(self, now: Instant) -> bool:
        """Returns whether no use counts any more and no call arrived for so long that the state may be dropped."""
        return not self._admitted.count(now) and now - self._last_call_at > AUTONOMY_S

    def needed_rate(self, now: Instant) -> float:
        """Returns the rate per second that this router needs, or 0 when it had few or no recent calls."""
        if self.is_idle(now) or self._calls.count(now) < MIN_RECENT_CALLS:
            return 0.0
        return self._admitted.count(now, RECENT_WINDOW_S) / RECENT_WINDOW_S

    def by_step(self, window: Seconds, step: Seconds, now: Instant) -> tuple[int, ...]:
        """Returns the use in each step of the window, the latest step first."""
        return self._admitted.counts_by_age(now, step)[: int(window / step) + 1]
