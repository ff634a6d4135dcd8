"""Estimates of prefill queues from first tokens and flows (docs/DESIGN.md section 11.4)."""

from __future__ import annotations

import itertools
import unittest
from typing import Any, cast

from wingwood.identifiers import Address, PoolName, RequestId, Seconds, WorkerInstance, Zone
from wingwood.placement.cost_model import Forecast
from wingwood.placement.prefill_estimates import PrefillQueues
from wingwood.registry.protocols import ObservedLoad, Worker

from .one_router import ManualClock

PER_TOKEN, BASE = 1 / 300_000, 0.03


def worker_of(name: str) -> Worker:
    return Worker(
        instance=WorkerInstance(name),
        address=Address("127.0.0.1", 1),
        pool=PoolName("p"),
        zone=Zone("a"),
        slots=32,
        cache_tokens=232_000,
    )


WORKER, OTHER = worker_of("w"), worker_of("o")


class PrefillQueuesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.reported = ObservedLoad()
        self.queues = PrefillQueues(cast(Any, self.clock), cast(Any, self))
        self.sent = 0

    def observed_load_of_others(self, instance: WorkerInstance) -> ObservedLoad:
        return self.reported

    def send(self, uncached: int, worker: Worker = WORKER) -> RequestId:
        self.sent += 1
        request = RequestId(f"q{self.sent}")
        forecast = Forecast(uncached, Seconds(self.queues.first_token(worker, uncached)))
        self.queues.sent(request, worker, forecast, uncached // 2, uncached + 100)
        return request

    def turns(self, times: int, uncached: int, after: float, worker: Worker = WORKER) -> None:
        for _ in range(times):
            request = self.send(uncached, worker)
            self.clock.now += after
            self.queues.first_token_received(request, worker, Seconds(after))
            self.clock.now += 2.0

    def learn(self) -> None:
        for _ in range(20):
            self.turns(1, 200, BASE)
            self.turns(1, 6000, BASE + 6000 * PER_TOKEN)

    def test_speed_is_learned_from_first_tokens_despite_a_few_that_waited(self) -> None:
        """A wait in the first token must not count as slow prefill."""
        self.learn()
        for waited in (0.2, 0.4):
            self.turns(2, 6000, BASE + 6000 * PER_TOKEN + waited)
        self.clock.now += 60.0
        self.assertAlmostEqual(self.queues.first_token(WORKER, 9000), BASE + 9000 * PER_TOKEN, delta=0.004)

    def test_own_prompts_count_until_their_first_token(self) -> None:
        self.learn()
        before = self.queues.wait(WORKER)
        requests = [self.send(9000) for _ in range(3)]
        self.assertAlmostEqual(self.queues.wait(WORKER) - before, 27_000 * PER_TOKEN, delta=0.01)
        self.assertEqual(self.queues.wait(OTHER), before)
        self.queues.first_token_received(requests[0], WORKER, Seconds(0.05))
        self.queues.ended(requests[1], WORKER, None)
        self.assertAlmostEqual(self.queues.wait(WORKER) - before, 9000 * PER_TOKEN, delta=0.01)
        self.queues.ended(requests[0], WORKER, Seconds(0.05))
        self.queues.ended(requests[2], WORKER, None)
        self.assertEqual(self.queues.wait(WORKER), before)

    def test_wait_grows_steeply_with_the_flow_of_other_routers(self) -> None:
        self.learn()
        waits = []
        for use in (0.0, 0.3, 0.6, 0.9, 1.5):
            self.reported = ObservedLoad(0.0, 0.0, use / PER_TOKEN)
            waits.append(self.queues.wait(WORKER))
        self.assertEqual(waits[0], 0.0)
        for before, after in itertools.pairwise(waits[1:]):
            self.assertGreater(after, 2.5 * before)

    def test_own_flow_is_announced_and_decays(self) -> None:
        for _ in range(40):
            self.send(5000)
            self.clock.now += 0.25
        self.assertAlmostEqual(self.queues.flow(WORKER.instance), 20_000, delta=2500)
        self.clock.now += 60.0
        self.assertEqual(self.queues.flow(WORKER.instance), 0.0)

    def test_wait_grows_at_a_worker_with_an_overdue_prompt_before_it_is_suspected(self) -> None:
        """A worker that stops answering would otherwise receive turns until its failure is detected."""
        self.learn()
        self.send(6000)
        prompt = self.queues.wait(WORKER)
        self.clock.now += 0.05
        self.assertEqual(self.queues.wait(WORKER), prompt)
        self.clock.now += 0.4
        self.assertGreater(self.queues.wait(WORKER), 0.3)

    def test_slow_worker_is_detected_and_its_slowness_decays(self) -> None:
        """Without the decay no router would send the worker another turn that could show its recovery."""
        self.learn()
        self.turns(12, 6000, BASE + 6000 * PER_TOKEN * 6, OTHER)
        self.assertGreater(self.queues.prefill(OTHER, 6000), 1.8 * self.queues.prefill(WORKER, 6000))
        self.clock.now += 40.0
        self.assertLess(self.queues.prefill(OTHER, 6000), 1.1 * self.queues.prefill(WORKER, 6000))

    def test_parts_stay_cached_until_the_inflow_has_filled_the_cache(self) -> None:
        """The retention halves where the inflow doubles, and running turns reduce the space for cached parts."""
        self.learn()
        self.reported = ObservedLoad(4.0, 0.0, 100_000.0)
        self.clock.now += 60.0
        slow = self.queues.cache_retention(WORKER)
        self.reported = ObservedLoad(4.0, 0.0, 200_000.0)
        self.clock.now += 1.0
        self.assertAlmostEqual(self.queues.cache_retention(WORKER), slow / 2, delta=0.1 * slow)
        self.reported = ObservedLoad(30.0, 0.0, 200_000.0)
        self.clock.now += 1.0
        self.assertLess(self.queues.cache_retention(WORKER), 0.4 * slow, "running turns hold memory too")


if __name__ == "__main__":
    unittest.main()
