"""Token buckets and sliding-window counters of recent use (docs/DESIGN.md section 14)."""

from __future__ import annotations

from collections import deque

import msgspec

from ..identifiers import Instant, Seconds

NO_REFILL_WAIT_S = Seconds(60.0)


class TokenBucket:
    """A bucket that refills at ``rate`` tokens per second up to ``capacity``.

    Its level may go below zero, down to ``-capacity``, when more tokens are charged than it has.
    """

    __slots__ = ("_at", "capacity", "level", "rate")

    def __init__(self, rate: float, capacity: float, level: float, now: Instant) -> None:
        self.rate = rate
        self.capacity = capacity
        self.level = min(level, capacity)
        self._at = now

    def refill(self, now: Instant) -> None:
        """Adds what has accumulated until now."""
        self.level = min(self.capacity, self.level + max(0.0, now - self._at) * self.rate)
        self._at = max(self._at, now)

    def reconfigure(self, rate: float, capacity: float, now: Instant) -> None:
        """Sets a new rate and capacity, after refilling at the old rate up to ``now``."""
        if (rate, capacity) != (self.rate, self.capacity):
            self.refill(now)
            self.rate, self.capacity = rate, capacity
            self.level = min(self.level, capacity)

    def take(self, requested: int, now: Instant) -> int:
        """Removes up to ``requested`` tokens, an integer number of them, and returns how many were removed."""
        self.refill(now)
        granted = max(0, min(requested, int(self.level + 1e-9)))
        self.level -= granted
        return granted

    def adjust(self, tokens: float, now: Instant) -> None:
        """Adds ``tokens`` to the level, or removes them when negative, within ``-capacity`` and ``capacity``."""
        self.refill(now)
        self.level = max(-self.capacity, min(self.capacity, self.level + tokens))

    def seconds_until(self, now: Instant, tokens: float = 1.0) -> Seconds:
        """Returns the seconds until the bucket's level reaches ``tokens``, or ``NO_REFILL_WAIT_S`` without a refill."""
        self.refill(now)
        return Seconds(max(0.0, (tokens - self.level) / self.rate)) if self.rate > 0 else NO_REFILL_WAIT_S


class _Step(msgspec.Struct):
    """The events of one step of a window."""

    started_at: Instant
    count: int


class SlidingWindowCounter:
    """Counts events within a sliding window, grouped into steps of a twentieth of a second."""

    __slots__ = ("_steps", "_total", "_window_s")
    STEP_S = 0.05

    def __init__(self, window_s: Seconds) -> None:
        self._window_s = window_s
        self._steps: deque[_Step] = deque()
        self._total = 0

    def add(self, now: Instant, count: int = 1) -> None:
        """Adds events that occur now."""
        if self._steps and now - self._steps[-1].started_at < self.STEP_S:
            self._steps[-1].count += count
        else:
            self._drop_expired(now)
            self._steps.append(_Step(now, count))
        self._total += count

    def _drop_expired(self, now: Instant) -> None:
        while self._steps and now - self._steps[0].started_at > self._window_s:
            self._total -= self._steps.popleft().count

    def count(self, now: Instant, window_s: Seconds | None = None) -> int:
        """Returns the number of events in the last ``window_s`` (None: the counter's own window)."""
        self._drop_expired(now)
        if window_s is None or window_s >= self._window_s:
            return self._total
        total = 0
        for step in reversed(self._steps):
            if now - step.started_at > window_s:
                break
            total += step.count
        return total

    def counts_by_age(self, now: Instant, step: Seconds) -> tuple[int, ...]:
        """Returns how many events fall into each age step of length ``step``, the most recent step first."""
        self._drop_expired(now)
        counts: list[int] = []
        for counted in reversed(self._steps):
            age = int(max(0.0, now - counted.started_at) / step)
            counts.extend([0] * (age + 1 - len(counts)))
            counts[age] += counted.count
        return tuple(counts)

    def clear(self) -> None:
        """Drops all events."""
        self._steps.clear()
        self._total = 0
