"""Circuit breakers: a router excludes workers after its own calls to them failed (docs/DESIGN.md section 10.6)."""

from __future__ import annotations

import msgspec

from ..identifiers import Instant, Seconds, WorkerInstance

FIRST_BACKOFF_S = Seconds(0.3)
"""For how long a worker is excluded the first time; each further time in a row doubles it."""
MAX_BACKOFF_S = Seconds(4.0)
MAX_TRIAL_S = Seconds(5.0)
"""A trial call that was not reported as ended by then no longer blocks the next one."""
BREAKER_RETENTION_S = Seconds(30.0)
"""A breaker that last opened longer ago starts over with the first backoff."""
SUCCESSES_TO_RESET = 5
"""Number of successes in a row after which the next backoff is a first one again."""


class _Breaker(msgspec.Struct):
    """Open while the worker is excluded, half open while the next call is a trial, closed after a trial succeeded."""

    times: int
    """How often the breaker opened in a row; the backoff doubles each time."""
    opened_at: Instant
    open_until: Instant
    closed: bool = False
    successes: int = 0
    trial_until: Instant | None = None

    def admits(self, now: Instant) -> bool:
        """Whether the worker may get a call now."""
        return self.closed or (now >= self.open_until and not self.on_trial(now))

    def on_trial(self, now: Instant) -> bool:
        """Whether a trial call is in flight."""
        return self.trial_until is not None and now < self.trial_until


class CircuitBreakers:
    """One breaker for each worker that failed recently.

    The worker gets no calls during a backoff, which grows up to a limit; then one call at a time until one succeeds.
    """

    def __init__(self) -> None:
        self._breakers: dict[WorkerInstance, _Breaker] = {}

    def __bool__(self) -> bool:
        """Returns whether any worker has a breaker; without one, no worker is excluded."""
        return bool(self._breakers)

    def admits(self, instance: WorkerInstance, now: Instant) -> bool:
        """Returns whether the worker may get a call now, either normally or as a trial."""
        breaker = self._breakers.get(instance)
        return breaker is None or breaker.admits(now)

    def is_closed(self, instance: WorkerInstance) -> bool:
        """Returns whether the worker gets calls normally, neither excluded nor on trial."""
        breaker = self._breakers.get(instance)
        return breaker is None or breaker.closed

    def on_trial(self, instance: WorkerInstance, now: Instant) -> bool:
        """Returns whether a trial call of the worker is in flight."""
        breaker = self._breakers.get(instance)
        return breaker is not None and not breaker.closed and breaker.on_trial(now)

    def opened_at(self, instance: WorkerInstance) -> Instant:
        """Returns when the worker was last excluded; minus infinity for a worker without a breaker."""
        breaker = self._breakers.get(instance)
        return Instant(float("-inf")) if breaker is None else breaker.opened_at

    def begin(self, instance: WorkerInstance, now: Instant) -> None:
        """Records that a call is sent to the worker; it is a trial unless the breaker is closed."""
        breaker = self._breakers.get(instance)
        if breaker is not None and not breaker.closed:
            breaker.trial_until = Instant(now + MAX_TRIAL_S)

    def open(self, instance: WorkerInstance, now: Instant, longest: bool = False) -> bool:
        """Excludes the worker for a backoff. Returns False if it is excluded already, so the failure changes nothing.

        ``longest``: start with the longest backoff.
        """
        breaker = self._breakers.get(instance)
        if breaker is None or now - breaker.opened_at > BREAKER_RETENTION_S:
            breaker = self._breakers[instance] = _Breaker(0, now, now)
        elif not breaker.closed and now < breaker.open_until:
            return False
        breaker.times += 1
        backoff = MAX_BACKOFF_S if longest else min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** (breaker.times - 1))
        breaker.opened_at = now
        breaker.open_until = Instant(now + backoff)
        breaker.closed = False
        breaker.successes = 0
        breaker.trial_until = None
        return True

    def close(self, instance: WorkerInstance) -> bool:
        """Records that a call succeeded. Returns True if the worker was excluded or on trial until now."""
        breaker = self._breakers.get(instance)
        if breaker is None:
            return False
        was_closed, breaker.closed = breaker.closed, True
        breaker.trial_until = None
        breaker.successes += 1
        if breaker.successes >= SUCCESSES_TO_RESET:
            del self._breakers[instance]
        return not was_closed

    def release(self, instance: WorkerInstance) -> None:
        """Records that a trial ended without a result: the next call is the trial."""
        breaker = self._breakers.get(instance)
        if breaker is not None:
            breaker.trial_until = None

    def evict(self, instance: WorkerInstance) -> None:
        """Removes the worker's breaker."""
        self._breakers.pop(instance, None)
