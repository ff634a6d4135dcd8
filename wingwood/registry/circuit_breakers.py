"""Which workers one router leaves out after its own calls failed: circuit breakers (docs/DESIGN.md section 10.6)."""

from __future__ import annotations

import msgspec

from ..identifiers import Instant, Seconds, WorkerInstance

FIRST_PAUSE_S = Seconds(0.3)
MAX_PAUSE_S = Seconds(4.0)
MAX_TRIAL_S = Seconds(5.0)
"""A trial whose end is not reported by then no longer holds up the next one."""
BREAKER_RETENTION_S = Seconds(30.0)
SUCCESSES_TO_RESET = 5
"""In a row; after them the next pause is a first one again."""


class _Breaker(msgspec.Struct):
    """Open while left out; half open while the next call is a trial; closed after a trial's success."""

    times: int
    """How often it opened in a row; the pause doubles with each."""
    opened_at: Instant
    open_until: Instant
    closed: bool = False
    successes: int = 0
    trial_until: Instant | None = None

    def admits(self, now: Instant) -> bool:
        return self.closed or (now >= self.open_until and not self.on_trial(now))

    def on_trial(self, now: Instant) -> bool:
        return self.trial_until is not None and now < self.trial_until


class CircuitBreakers:
    """One per worker that failed of late. Pauses are bounded and grow; then one call at a time until one succeeds."""

    def __init__(self) -> None:
        self._breakers: dict[WorkerInstance, _Breaker] = {}

    def __bool__(self) -> bool:
        """Whether any worker is remembered; none is left out otherwise."""
        return bool(self._breakers)

    def admits(self, instance: WorkerInstance, now: Instant) -> bool:
        """Whether it may get a call now: as usual, or as a trial."""
        breaker = self._breakers.get(instance)
        return breaker is None or breaker.admits(now)

    def is_closed(self, instance: WorkerInstance) -> bool:
        breaker = self._breakers.get(instance)
        return breaker is None or breaker.closed

    def on_trial(self, instance: WorkerInstance, now: Instant) -> bool:
        breaker = self._breakers.get(instance)
        return breaker is not None and not breaker.closed and breaker.on_trial(now)

    def opened_at(self, instance: WorkerInstance) -> Instant:
        """When it was last left out; long ago for a worker without a breaker."""
        breaker = self._breakers.get(instance)
        return Instant(float("-inf")) if breaker is None else breaker.opened_at

    def begin(self, instance: WorkerInstance, now: Instant) -> None:
        """A call is sent there: a trial unless the breaker is closed."""
        breaker = self._breakers.get(instance)
        if breaker is not None and not breaker.closed:
            breaker.trial_until = Instant(now + MAX_TRIAL_S)

    def open(self, instance: WorkerInstance, now: Instant, longest: bool = False) -> bool:
        """Leaves it out for a pause; False when it is left out already, so this call tells nothing new."""
        breaker = self._breakers.get(instance)
        if breaker is None or now - breaker.opened_at > BREAKER_RETENTION_S:
            breaker = self._breakers[instance] = _Breaker(0, now, now)
        elif not breaker.closed and now < breaker.open_until:
            return False
        breaker.times += 1
        pause = MAX_PAUSE_S if longest else min(MAX_PAUSE_S, FIRST_PAUSE_S * 2 ** (breaker.times - 1))
        breaker.opened_at = now
        breaker.open_until = Instant(now + pause)
        breaker.closed = False
        breaker.successes = 0
        breaker.trial_until = None
        return True

    def close(self, instance: WorkerInstance) -> bool:
        """A call there succeeded; True when the worker was left out or on trial until now."""
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
        """The trial ended and told nothing: the next call is the trial."""
        breaker = self._breakers.get(instance)
        if breaker is not None:
            breaker.trial_until = None

    def forget(self, instance: WorkerInstance) -> None:
        self._breakers.pop(instance, None)
