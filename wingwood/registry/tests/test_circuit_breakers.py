"""Circuit breakers must exclude a failing worker for growing pauses, but never for good (docs/DESIGN.md 10.6).

Without limits, trial calls that never end or failures of earlier calls would exclude a worker permanently.
"""

from __future__ import annotations

import itertools
import unittest

from wingwood.identifiers import Instant, WorkerInstance
from wingwood.registry.circuit_breakers import (
    BREAKER_RETENTION_S,
    FIRST_BACKOFF_S,
    MAX_BACKOFF_S,
    MAX_TRIAL_S,
    SUCCESSES_TO_RESET,
    CircuitBreakers,
)

W0 = WorkerInstance("w0")


class CircuitBreakersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.breakers = CircuitBreakers()
        self.now = Instant(1000.0)

    def after(self, seconds: float) -> Instant:
        self.now = Instant(self.now + seconds)
        return self.now

    def pause(self) -> float:
        """Opens the breaker and returns for how long it admits no call, to a precision of 10 ms."""
        self.assertTrue(self.breakers.open(W0, self.now))
        started_at = self.now
        while not self.breakers.admits(W0, self.now):
            self.after(0.01)
        return self.now - started_at

    def test_backoffs_grow_up_to_a_limit(self) -> None:
        pauses = [self.pause() for _ in range(6)]
        self.assertAlmostEqual(pauses[0], FIRST_BACKOFF_S, delta=0.02)
        for shorter, longer in itertools.pairwise(pauses):
            self.assertAlmostEqual(longer, min(MAX_BACKOFF_S, 2 * shorter), delta=0.05)
        self.assertAlmostEqual(pauses[-1], MAX_BACKOFF_S, delta=0.02)

    def test_after_the_backoff_one_call_at_a_time_is_admitted(self) -> None:
        self.pause()
        self.breakers.begin(W0, self.now)
        self.assertFalse(self.breakers.admits(W0, self.now))
        self.assertFalse(self.breakers.admits(W0, self.after(1.0)))
        self.assertTrue(self.breakers.close(W0))
        self.breakers.begin(W0, self.now)
        self.assertTrue(self.breakers.admits(W0, self.now))
        self.assertFalse(self.breakers.close(W0), "the breaker was closed already")

    def test_trial_without_result_allows_the_next_one(self) -> None:
        self.pause()
        self.breakers.begin(W0, self.now)
        self.breakers.release(W0)
        self.assertTrue(self.breakers.admits(W0, self.now))
        self.assertFalse(self.breakers.is_closed(W0))

    def test_trial_that_never_ends_does_not_exclude_the_worker_forever(self) -> None:
        self.pause()
        self.breakers.begin(W0, self.now)
        self.assertTrue(self.breakers.admits(W0, self.after(MAX_TRIAL_S)))

    def test_failures_of_calls_started_before_do_not_lengthen_the_backoff(self) -> None:
        self.assertTrue(self.breakers.open(W0, self.now))
        self.assertFalse(self.breakers.open(W0, self.after(0.1)))
        self.assertTrue(self.breakers.admits(W0, self.after(FIRST_BACKOFF_S)))

    def test_successes_in_a_row_or_elapsed_time_reset_the_backoff(self) -> None:
        for _ in range(3):
            self.pause()
        for _ in range(SUCCESSES_TO_RESET):
            self.breakers.close(W0)
        self.assertFalse(self.breakers)
        self.assertAlmostEqual(self.pause(), FIRST_BACKOFF_S, delta=0.02)
        self.pause()
        self.after(BREAKER_RETENTION_S + 1.0)
        self.assertAlmostEqual(self.pause(), FIRST_BACKOFF_S, delta=0.02)

    def test_one_success_between_failures_does_not_shorten_the_backoff(self) -> None:
        self.pause()
        self.breakers.close(W0)
        self.assertAlmostEqual(self.pause(), 2 * FIRST_BACKOFF_S, delta=0.02)


if __name__ == "__main__":
    unittest.main()
