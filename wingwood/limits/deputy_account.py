"""A deputy's account while a share's keeper is silent (docs/DESIGN.md section 14.1)."""

from __future__ import annotations

from collections.abc import Sequence

from ..identifiers import Instant, Seconds
from .bucket import TokenBucket
from .tolerance import QuotaPlan


class DeputyAccount:
    """The reserve, and what its askers pour in.

    What is poured in the keeper has already allowed them, so both together never grant more than
    the keeper's own limit and the reserve.
    """

    TRANSFER_LIFETIME_S = Seconds(2.0)
    """Without an ask for this long, what was poured in is void."""
    IMMEDIATE_FRACTION = 0.8
    """Part of the reserve that is granted at once; the rest comes over one window."""

    def __init__(self, plan: QuotaPlan, window: Seconds, now: Instant) -> None:
        refill = (1.0 - self.IMMEDIATE_FRACTION) * plan.reserve / window
        self._reserve = TokenBucket(refill, self.IMMEDIATE_FRACTION * plan.reserve, plan.reserve, now)
        self._transferred = 0.0
        self._last_request_at = now

    def grant(self, costs: Sequence[int], transferred: float, now: Instant) -> tuple[bool, ...]:
        self._reserve.refill(now)
        if now - self._last_request_at > self.TRANSFER_LIFETIME_S:
            self._transferred = 0.0
        self._last_request_at = now
        self._transferred += max(0.0, transferred)
        granted: list[bool] = []
        for cost in costs:
            fits = self._transferred + self._reserve.level >= cost - 1e-6
            granted.append(fits)
            if fits:
                own = min(self._transferred, cost)
                self._transferred -= own
                self._reserve.level -= cost - own
        return tuple(granted)
