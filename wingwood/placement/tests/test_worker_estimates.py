"""Estimates of the load and speed of workers (docs/DESIGN.md section 11.4)."""

from __future__ import annotations

import unittest
from collections.abc import Callable, Sequence

import msgspec

from wingwood.context.real import RealClock
from wingwood.identifiers import Address, PoolName, Seconds, WorkerInstance, Zone
from wingwood.placement.worker_estimates import Workload
from wingwood.registry.protocols import ObservedLoad, Worker, WorkerLoad

WORKER = Worker(
    instance=WorkerInstance("w"), address=Address("127.0.0.1", 1), pool=PoolName("p"), zone=Zone("a"), slots=4
)


class Elsewhere:
    """Fake registry and exchange with one worker, where the other routers run ``running`` turns."""

    running = 0.0

    def ready(self, pool: PoolName) -> Sequence[Worker]:
        return (WORKER,)

    def find(self, instance: WorkerInstance) -> Worker | None:
        return WORKER

    async def confirm(self, worker: Worker) -> bool:
        return True

    def suspect(self, instance: WorkerInstance) -> None: ...

    def on_change(self, callback: Callable[[Worker], None]) -> None: ...

    def register_counter(self, count: Callable[[PoolName], dict[WorkerInstance, ObservedLoad]]) -> None: ...

    def observed_load_of_others(self, instance: WorkerInstance) -> ObservedLoad:
        return ObservedLoad(self.running, 0.0)


class WorkloadTest(unittest.TestCase):
    def setUp(self) -> None:
        self.elsewhere = Elsewhere()
        self.workload = Workload(self.elsewhere, self.elsewhere, RealClock(), Seconds(20.0))

    def learn(self, times: int, uncached: int, predicted_wait: float, first_token: float, turn: float) -> None:
        for _ in range(times):
            self.workload.learn(WORKER, uncached, predicted_wait, Seconds(first_token), turn)

    def test_prefill_rate_and_base_latency_are_learned_from_turns_that_did_not_wait(self) -> None:
        self.learn(60, 0, 0.0, 0.1, 1.0)
        self.learn(60, 1000, 0.0, 0.6, 1.0)
        self.assertAlmostEqual(self.workload.first_token(WORKER, 2000), 1.1, delta=0.05)

    def test_prefix_that_was_unexpectedly_evicted_hardly_changes_the_estimated_speed(self) -> None:
        """An unbounded sample of one such call made admission refuse all long prompts.

        Refused prompts give no samples that could correct the estimate.
        """
        self.learn(60, 6000, 0.0, 0.95, 1.0)
        self.learn(1, 400, 0.0, 2.2, 3.0)
        self.learn(1, 0, 0.0, 2.2, 3.0)
        self.assertLess(self.workload.first_token(WORKER, 6500), 1.2)

    def test_time_in_the_queue_is_no_part_of_the_turn_duration(self) -> None:
        """Otherwise waits lengthen the turn duration, which predicts longer waits, and so on without bound."""
        self.elsewhere.running = 6.0
        for _ in range(100):
            predicted_wait = self.workload.wait(WORKER)
            self.learn(1, 0, predicted_wait, 0.05 + predicted_wait, 1.0 + predicted_wait)
        self.assertAlmostEqual(self.workload.estimates(WORKER).turn_duration, 1.0, delta=0.1)

    def test_observed_waits_correct_the_forecast(self) -> None:
        self.elsewhere.running = 6.0
        foreseen = self.workload.wait(WORKER)
        for _ in range(200):
            self.learn(1, 0, self.workload.wait(WORKER), 0.05 + 2 * foreseen, 2.0 + 2 * foreseen)
        self.assertAlmostEqual(self.workload.wait(WORKER), 2 * foreseen, delta=0.15 * foreseen)

    def test_reported_load_counts_only_where_it_exceeds_the_load_that_routers_count(self) -> None:
        """Turns that did not come through the routers show only in the worker's own report."""
        busy = msgspec.structs.replace(WORKER, load=WorkerLoad(8, 2))
        self.assertEqual(self.workload.load(busy), 7.0)
        self.elsewhere.running = 9.0
        self.assertEqual(self.workload.load(busy), 9.0)


if __name__ == "__main__":
    unittest.main()
