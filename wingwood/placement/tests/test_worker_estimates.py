from __future__ import annotations

import unittest
from collections.abc import Callable, Sequence

import msgspec

from wingwood.context.real import RealClock
from wingwood.identifiers import Address, PoolName, Seconds, WorkerInstance, Zone
from wingwood.placement.worker_estimates import Workload
from wingwood.registry.protocols import Engagement, Worker, WorkerLoad

WORKER = Worker(
    instance=WorkerInstance("w"), address=Address("127.0.0.1", 1), pool=PoolName("p"), zone=Zone("a"), slots=4
)


class Elsewhere:
    """Registry and exchange of one worker; the rest of the fleet runs ``running`` turns there."""

    running = 0.0

    def ready(self, pool: PoolName) -> Sequence[Worker]:
        return (WORKER,)

    def find(self, instance: WorkerInstance) -> Worker | None:
        return WORKER

    async def confirm(self, worker: Worker) -> bool:
        return True

    def suspect(self, instance: WorkerInstance) -> None: ...

    def on_change(self, callback: Callable[[Worker], None]) -> None: ...

    def register_counter(self, count: Callable[[PoolName], dict[WorkerInstance, Engagement]]) -> None: ...

    def engagement_of_others(self, instance: WorkerInstance) -> Engagement:
        return Engagement(self.running, 0.0)


class WorkloadTest(unittest.TestCase):
    def setUp(self) -> None:
        self.elsewhere = Elsewhere()
        self.workload = Workload(self.elsewhere, self.elsewhere, RealClock(), Seconds(20.0))

    def learn(self, times: int, uncached: int, waited: float, first_token: float, turn: float) -> None:
        for _ in range(times):
            self.workload.learn(WORKER, uncached, waited, Seconds(first_token), turn)

    def test_prefill_rate_and_base_are_learnt_from_turns_that_did_not_wait(self) -> None:
        self.learn(60, 0, 0.0, 0.1, 1.0)
        self.learn(60, 1000, 0.0, 0.6, 1.0)
        self.assertAlmostEqual(self.workload.first_token(WORKER, 2000), 1.1, delta=0.05)

    def test_a_prefix_that_was_not_kept_after_all_says_little_of_the_workers_speed(self) -> None:
        """Else one call had admission refuse all long prompts, which then could never show better."""
        self.learn(60, 6000, 0.0, 0.95, 1.0)
        self.learn(1, 400, 0.0, 2.2, 3.0)
        self.learn(1, 0, 0.0, 2.2, 3.0)
        self.assertLess(self.workload.first_token(WORKER, 6500), 1.2)

    def test_time_in_the_queue_does_not_count_as_length_of_a_turn(self) -> None:
        """Else waits would make turns look long, and long turns foretell longer waits, without end."""
        self.elsewhere.running = 6.0
        for _ in range(100):
            waited = self.workload.wait(WORKER)
            self.learn(1, 0, waited, 0.05 + waited, 1.0 + waited)
        self.assertAlmostEqual(self.workload.figures(WORKER).turn, 1.0, delta=0.1)

    def test_waits_that_differ_from_the_forecast_correct_it(self) -> None:
        self.elsewhere.running = 6.0
        foreseen = self.workload.wait(WORKER)
        for _ in range(200):
            self.learn(1, 0, self.workload.wait(WORKER), 0.05 + 2 * foreseen, 2.0 + 2 * foreseen)
        self.assertAlmostEqual(self.workload.wait(WORKER), 2 * foreseen, delta=0.15 * foreseen)

    def test_told_load_counts_only_where_it_is_more_than_what_the_routers_count(self) -> None:
        busy = msgspec.structs.replace(WORKER, load=WorkerLoad(8, 2))
        self.assertEqual(self.workload.load(busy), 7.0)
        self.elsewhere.running = 9.0
        self.assertEqual(self.workload.load(busy), 9.0)


if __name__ == "__main__":
    unittest.main()
