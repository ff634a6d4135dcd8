"""Rates of events in which past events count less the older they are."""

from __future__ import annotations

import math

import msgspec

from ..identifiers import Instant, Seconds

LN_2 = math.log(2.0)


class DecayingRate(msgspec.Struct):
    """An amount per second; an amount added one half-life ago counts half."""

    half_life: Seconds
    rate: float = 0.0
    at: Instant = Instant(0.0)

    def add(self, amount: float, now: Instant) -> None:
        """Adds an amount at the instant ``now``."""
        self.rate = self.read(now) + amount * LN_2 / self.half_life
        self.at = now

    def read(self, now: Instant) -> float:
        """Returns the amount per second at the instant ``now``."""
        if self.rate == 0.0:
            return 0.0
        return float(self.rate * 0.5 ** (max(0.0, now - self.at) / self.half_life))
