"""A deputy's account while a share's keeper is silent (docs/DESIGN.md section 14.1)."""

from __future__ import annotations

from collections.abc import Sequence

from ..identifiers import Instant, Seconds
from .bucket import TokenBucket
from .tolerance import QuotaPlan


class StandIn:
    """The reserve, and what its askers pour in.

    What is poured in the keeper has already allowed them, so both together never grant more than
    the keeper's own limit and the reserve.
    """

    FORGET = Seconds(2.0)
    """Without an ask for this long, what was poured in is void."""
    AT_ONCE = 0.8
    """Part of the reserve that is granted at once; the rest comes over one window."""

    def __init__(self, plan: QuotaPlan, window: Seconds, now: Instant) -> None:
        refill = (1.0 - self.AT_ONCE) * plan.reserve / window
        self._reserve = TokenBucket(refill, self.AT_ONCE * plan.reserve, plan.reserve, now)
        self._poured = 0.0
        self._asked_at = now

    def grant(self, costs: Sequence[int], poured: float, now: Instant) -> tuple[bool, ...]:
        self._reserve.fill(now)
        if now - self._asked_at > self.FORGET:
            self._poured = 0.0
        self._asked_at = now
        self._poured += max(0.0, poured)
        granted: list[bool] = []
        for cost in costs:
            fits = self._poured + self._reserve.level >= cost - 1e-6
            granted.append(fits)
            if fits:
                own = min(self._poured, cost)
                self._poured -= own
                self._reserve.level -= cost - own
        return tuple(granted)
