"""Capacity reserved for the most urgent turns of a pool (docs/DESIGN.md section 11.9)."""

from __future__ import annotations

import msgspec

from ..identifiers import Instant, PoolName, Seconds

URGENCY_RETENTION_S = Seconds(20.0)
"""Time after which a less urgent turn may replace the most urgent recent turn of a pool."""


class _MostUrgent(msgspec.Struct):
    """The most urgent recent turn of a pool."""

    urgency: int
    at: Instant


class UrgentCapacity:
    """Opens less capacity to turns that are less urgent than the most urgent recent ones, so they are refused first."""

    def __init__(self, less_urgent_share: float) -> None:
        self._less_urgent_share = less_urgent_share
        self._most_urgent: dict[PoolName, _MostUrgent] = {}

    def observe(self, pool: PoolName, urgency: int, now: Instant) -> None:
        """Records the urgency of a turn that arrived for the pool."""
        most = self._most_urgent.get(pool)
        if most is None or urgency <= most.urgency or now - most.at > URGENCY_RETENTION_S:
            self._most_urgent[pool] = _MostUrgent(urgency, now)

    def share(self, pool: PoolName, urgency: int) -> float:
        """Returns the share of the pool's capacity that is open to a turn of this urgency."""
        most = self._most_urgent.get(pool)
        return 1.0 if most is None or urgency <= most.urgency else self._less_urgent_share
