"""Ejection must hit only workers that fail more calls than the others, and never too many (docs/DESIGN.md 10.6)."""

from __future__ import annotations

import random
import unittest

from wingwood.identifiers import Instant, WorkerInstance
from wingwood.registry.call_outcomes import Outcomes
from wingwood.registry.outliers import FIRST_EJECTION_S, MAX_EJECTION_S, OutlierDetector

WORKERS = [WorkerInstance(f"w{number}") for number in range(9)]
STEP_S = 0.3


class OutlierDetectorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.detector = OutlierDetector()
        self.now = Instant(500.0)
        self.random = random.Random(4)

    def step(self, failing: dict[WorkerInstance, float], calls: float = 1.0, otherwise: float = 0.0) -> set[str]:
        """Runs one step with ``calls`` per second to each worker in use; returns who is ejected after it."""
        out = self.detector.evaluate(WORKERS, self.now)
        for worker in WORKERS:
            if worker not in out and self.random.random() < calls * STEP_S:
                failed = int(self.random.random() < failing.get(worker, otherwise))
                self.detector.record(worker, Outcomes(1 - failed, failed), self.now)
        self.now = Instant(self.now + STEP_S)
        return set(self.detector.evaluate(WORKERS, self.now))

    def ejected_share(
        self, failing: dict[WorkerInstance, float], seconds: float, otherwise: float = 0.0
    ) -> dict[str, float]:
        """Returns for each worker the share of the time in which it was ejected."""
        steps = int(seconds / STEP_S)
        out = dict.fromkeys(map(str, WORKERS), 0)
        for _ in range(steps):
            for worker in self.step(failing, otherwise=otherwise):
                out[worker] += 1
        return {worker: count / steps for worker, count in out.items()}

    def test_worker_that_fails_part_of_its_calls_is_ejected_most_of_the_time(self) -> None:
        out = self.ejected_share({WORKERS[2]: 0.4}, 60.0)
        self.assertGreater(out["w2"], 0.5)
        self.assertEqual([worker for worker, share in out.items() if share and worker != "w2"], [])

    def test_worker_whose_calls_all_fail_is_ejected_soon(self) -> None:
        failing_since = self.now
        while not self.step({WORKERS[2]: 1.0}, calls=3.0):
            self.assertLess(self.now - failing_since, 3.0)

    def test_equal_failure_rates_eject_nobody(self) -> None:
        out = self.ejected_share({}, 60.0, otherwise=0.35)
        self.assertLess(max(out.values()), 0.05)

    def test_rare_failures_eject_hardly_anybody(self) -> None:
        out = self.ejected_share({}, 120.0, otherwise=0.03)
        self.assertLess(max(out.values()), 0.05)

    def test_at_most_half_are_excluded(self) -> None:
        failing = dict.fromkeys(WORKERS[:3], 1.0) | dict.fromkeys(WORKERS[3:7], 0.9)
        most = max(len(self.step(failing)) for _ in range(300))
        self.assertLessEqual(most, 4)

    def test_ejections_grow_up_to_a_limit(self) -> None:
        pauses = []
        for _ in range(6):
            self.detector.record(WORKERS[0], Outcomes(0, 6), self.now)
            for worker in WORKERS[1:]:
                self.detector.record(worker, Outcomes(6, 0), self.now)
            self.assertEqual(self.detector.evaluate(WORKERS, self.now), {WORKERS[0]})
            started_at = self.now
            while self.detector.evaluate(WORKERS, self.now):
                self.now = Instant(self.now + 0.05)
            pauses.append(self.now - started_at)
        self.assertAlmostEqual(pauses[0], FIRST_EJECTION_S, delta=0.06)
        self.assertAlmostEqual(pauses[1], 2 * FIRST_EJECTION_S, delta=0.06)
        self.assertAlmostEqual(pauses[-1], MAX_EJECTION_S, delta=0.06)

    def test_only_worker_of_a_pool_is_never_ejected(self) -> None:
        self.detector.record(WORKERS[0], Outcomes(0, 50), self.now)
        self.assertEqual(self.detector.evaluate(WORKERS[:1], self.now), frozenset())


if __name__ == "__main__":
    unittest.main()
