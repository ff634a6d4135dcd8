"""Token buckets and sliding-window counters of recent use (docs/DESIGN.md section 14)."""

from __future__ import annotations

from collections import deque

from ..identifiers import Instant, Seconds


class TokenBucket:
    """A bucket that refills at ``rate`` tokens per second up to ``capacity``.

    Its level may go below zero, down to ``-capacity``, when tokens are charged that it did not hold.
    """

    __slots__ = ("_at", "capacity", "level", "rate")

    def __init__(self, rate: float, capacity: float, level: float, now: Instant) -> None:
        self.rate = rate
        self.capacity = capacity
        self.level = min(level, capacity)
        self._at = now

    def refill(self, now: Instant) -> None:
        self.level = min(self.capacity, self.level + max(0.0, now - self._at) * self.rate)
        self._at = max(self._at, now)

    def reconfigure(self, rate: float, capacity: float, now: Instant) -> None:
        """Sets a new rate and capacity, after refilling at the old rate up to ``now``."""
        if (rate, capacity) != (self.rate, self.capacity):
            self.refill(now)
            self.rate, self.capacity = rate, capacity
            self.level = min(self.level, capacity)

    def take(self, wanted: int, now: Instant) -> int:
        """Removes up to ``wanted`` whole tokens and returns how many were removed."""
        self.refill(now)
        granted = max(0, min(wanted, int(self.level + 1e-9)))
        self.level -= granted
        return granted

    def adjust(self, tokens: float, now: Instant) -> None:
        """Adds ``tokens`` to the level, or removes them when negative, within ``-capacity`` and ``capacity``."""
        self.refill(now)
        self.level = max(-self.capacity, min(self.capacity, self.level + tokens))

    def seconds_until(self, now: Instant, wanted: float = 1.0) -> Seconds:
        """Returns the seconds until the bucket holds ``wanted`` tokens, or 60 s when it does not refill."""
        self.refill(now)
        return Seconds(max(0.0, (wanted - self.level) / self.rate)) if self.rate > 0 else Seconds(60.0)


class SlidingWindowCounter:
    """Counts events within a sliding window, grouped into steps of a twentieth of a second."""

    __slots__ = ("_steps", "_total", "_window")
    STEP_S = 0.05

    def __init__(self, window: Seconds) -> None:
        self._window = window
        self._steps: deque[list[float]] = deque()
        self._total = 0

    def add(self, now: Instant, count: int = 1) -> None:
        if self._steps and now - self._steps[-1][0] < self.STEP_S:
            self._steps[-1][1] += count
        else:
            self._drop_expired(now)
            self._steps.append([now, count])
        self._total += count

    def _drop_expired(self, now: Instant) -> None:
        while self._steps and now - self._steps[0][0] > self._window:
            self._total -= int(self._steps.popleft()[1])

    def count(self, now: Instant, window: Seconds | None = None) -> int:
        self._drop_expired(now)
        if window is None or window >= self._window:
            return self._total
        total = 0
        for at, events in reversed(self._steps):
            if now - at > window:
                break
            total += int(events)
        return total

    def counts_by_age(self, now: Instant, step: Seconds) -> tuple[int, ...]:
        """Returns how many events fall into each age step of length ``step``, the most recent step first."""
        self._drop_expired(now)
        counts: list[int] = []
        for at, events in reversed(self._steps):
            age = int(max(0.0, now - at) / step)
            counts.extend([0] * (age + 1 - len(counts)))
            counts[age] += int(events)
        return tuple(counts)

    def clear(self) -> None:
        self._steps.clear()
        self._total = 0

    def rate(self, now: Instant) -> float:
        """Returns the average number of events per second over the window."""
        return self.count(now) / self._window
