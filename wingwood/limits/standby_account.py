"""The account from which a standby grants while a share's allocator is unresponsive (docs/DESIGN.md section 14.1)."""

from __future__ import annotations

from collections.abc import Sequence

from ..identifiers import Instant, Seconds
from .bucket import TokenBucket
from .tolerance import QuotaPlan

ROUNDING_TOLERANCE = 1e-6


class StandbyAccount:
    """Owns the reserve of the quota plan, plus the unused allowances that requesting routers transfer.

    The allocator has already allowed the routers what they transfer, so that the allocator and the
    standby together never grant more than the allocator's own limit plus the reserve.
    """

    TRANSFER_LIFETIME_S = Seconds(2.0)
    """Transferred allowances are discarded when no lease request arrives for this long."""
    IMMEDIATE_FRACTION = 0.8
    """Fraction of the reserve that may be granted immediately; the rest becomes available over one window."""

    def __init__(self, plan: QuotaPlan, window_s: Seconds, now: Instant) -> None:
        refill = (1.0 - self.IMMEDIATE_FRACTION) * plan.reserve / window_s
        self._reserve = TokenBucket(refill, self.IMMEDIATE_FRACTION * plan.reserve, plan.reserve, now)
        self._transferred = 0.0
        self._last_request_at = now

    def grant(self, costs: Sequence[int], transferred: float, now: Instant) -> tuple[bool, ...]:
        """Adds ``transferred`` to the account and returns, for each cost, whether the call is granted."""
        self._reserve.refill(now)
        if now - self._last_request_at > self.TRANSFER_LIFETIME_S:
            self._transferred = 0.0
        self._last_request_at = now
        self._transferred += max(0.0, transferred)
        granted: list[bool] = []
        for cost in costs:
            fits = self._transferred + self._reserve.level >= cost - ROUNDING_TOLERANCE
            granted.append(fits)
            if fits:
                own = min(self._transferred, cost)
                self._transferred -= own
                self._reserve.level -= cost - own
        return tuple(granted)
