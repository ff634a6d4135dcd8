"""Without health checks, call outcomes alone must exclude bad workers and admit them again.

This covers suspected workers, workers that fail part of their calls, and announcements that arrive out of order
(docs/DESIGN.md section 10.6).
"""

from __future__ import annotations

import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

import msgspec

from simulation.world import World
from wingwood.identifiers import Address, PoolName, Seconds, WorkerInstance, Zone
from wingwood.registry.circuit_breakers import MAX_BACKOFF_S, CircuitBreakers
from wingwood.registry.protocols import Worker
from wingwood.registry.worker_registry import WorkerRegistry

from .fleet import POOL, Fleet

OTHER_POOL = PoolName("cards")


def worker_of(number: int, pool: PoolName = POOL) -> Worker:
    return Worker(
        instance=WorkerInstance(f"{pool}-{number}"),
        address=Address(f"10.9.0.{number + 1}", 8000),
        pool=pool,
        zone=Zone("a"),
        slots=8,
    )


class TrialCallsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world = self.enterContext(World(7))
        self.fleet = Fleet(self.world, worker_check="trial")
        self.workers = [worker_of(number) for number in range(4)]
        self.renew_workers(self.workers)
        self.addCleanup(lambda: self.assertEqual(self.world.broken_invariants, []))

    def announce(self, worker: Worker, sequence: int = 0, at: str = "r0") -> int:
        registry = self.fleet.routers[at].registry
        return int(self.fleet.inside(at, lambda: registry.announcements.accept_announcement(worker, sequence)).status)

    def renew_workers(self, workers: list[Worker], seconds: float = 1.2) -> None:
        for worker in workers:
            self.assertEqual(self.announce(worker), 200)
        self.world.run(seconds)

    def at(self, router: str, work: Callable[[WorkerRegistry], Any]) -> Any:
        """Calls ``work(registry)`` in the router's process and returns its result."""
        registry = self.fleet.routers[router].registry

        async def run() -> Any:
            return work(registry)

        return self.fleet.inside(router, run)

    def ready(self, router: str = "r1", pool: PoolName = POOL) -> list[int]:
        found = self.at(router, lambda registry: [worker.instance for worker in registry.ready(pool)])
        return [int(instance.rpartition("-")[2]) for instance in found]

    def suspect(self, *numbers: int, router: str = "r1") -> None:
        def suspect(registry: WorkerRegistry) -> None:
            for number in numbers:
                registry.suspect(self.workers[number].instance)

        self.at(router, suspect)

    def begin(self, number: int, router: str = "r1") -> bool:
        return bool(self.at(router, lambda registry: registry.begin(self.workers[number].instance)))

    def test_suspected_worker_gets_one_call_at_a_time_after_a_backoff_until_one_succeeds(self) -> None:
        self.suspect(2)
        self.assertEqual(self.ready(), [0, 1, 3])
        self.assertEqual(self.ready("r2"), [0, 1, 2, 3])
        self.world.run(0.35)
        self.assertEqual(self.ready(), [0, 1, 2, 3])
        self.assertTrue(self.begin(2))
        self.assertEqual(self.ready(), [0, 1, 3])
        self.assertFalse(self.begin(2))
        self.at("r1", lambda registry: registry.succeeded(self.workers[2].instance))
        self.assertEqual(self.ready(), [0, 1, 2, 3])
        self.assertTrue(self.begin(2) and self.begin(2))

    def test_no_health_check_is_sent(self) -> None:
        """This also holds while the feed is too old: a cut-off router continues to use the workers it knows."""
        with mock.patch("wingwood.registry.health_checks.ask_health") as asked:
            self.suspect(1)
            for name in self.fleet.routers:
                if name != "r1":
                    self.world.cut("r1", name)
            self.world.run(3.0)
            self.assertGreater(self.fleet.feed_age("r1"), 1.0)
            worker = self.workers[0]
            registry = self.fleet.routers["r1"].registry
            self.assertTrue(self.fleet.inside("r1", lambda: registry.confirm(worker)))
        asked.assert_not_called()

    def test_at_most_half_are_excluded(self) -> None:
        self.suspect(0, 1, 2)
        ready = self.ready()
        self.assertGreaterEqual(len(ready), 2)
        self.assertIn(3, ready)
        self.suspect(3)
        self.assertGreaterEqual(len(self.ready()), 2)

    def test_when_all_workers_are_on_trial_all_get_turns(self) -> None:
        self.suspect(0, 1, 2, 3)
        self.world.run(0.4)
        for number in range(4):
            self.assertTrue(self.begin(number))
        self.assertEqual(self.ready(), [0, 1, 2, 3])
        self.assertTrue(self.begin(0))

    def test_draining_worker_gets_no_trial(self) -> None:
        self.suspect(0, 1, 2, 3)
        self.announce(msgspec.structs.replace(self.workers[0], state="draining"))
        self.world.run(0.4)
        self.assertEqual(self.ready(), [1, 2, 3])
        self.assertFalse(self.begin(0))

    def test_unrenewed_worker_that_answers_calls_of_a_router_stays_ready_there(self) -> None:
        for _ in range(5):
            self.renew_workers(self.workers[:3])
            self.at("r1", lambda registry: registry.succeeded(self.workers[3].instance))
        self.assertEqual(self.ready("r2"), [0, 1, 2])
        self.assertEqual(self.ready("r1"), [0, 1, 2, 3])

    def test_outdated_announcement_renews_nothing(self) -> None:
        worker = worker_of(7)
        for sequence in (1, 2, 9):
            self.assertEqual(self.announce(worker, sequence), 200)
            self.world.run(0.5)
        for sequence in (3, 4, 5, 6, 7, 8):
            self.renew_workers(self.workers, 0.8)
            self.assertEqual(self.announce(worker, sequence, at="r3"), 200)
        self.assertEqual(self.ready(), [0, 1, 2, 3])
        self.assertEqual(self.announce(worker, 10), 200)
        self.world.run(0.6)
        self.assertEqual(self.ready(), [0, 1, 2, 3, 7])

    def test_outdated_ready_announcement_does_not_revive_a_draining_worker(self) -> None:
        worker = worker_of(7)
        self.announce(worker, 1)
        self.announce(msgspec.structs.replace(worker, state="draining"), 3)
        self.assertEqual(self.announce(worker, 2, at="r4"), 409)
        self.world.run(1.0)
        self.assertNotIn(7, self.ready())

    def test_attributes_of_the_latest_announcement_are_valid(self) -> None:
        worker = worker_of(7)
        self.announce(msgspec.structs.replace(worker, weights=1), 1)
        self.announce(msgspec.structs.replace(worker, weights=2), 5)
        self.announce(msgspec.structs.replace(worker, weights=1), 4, at="r3")
        self.world.run(1.0)
        for name in self.fleet.routers:
            found = self.fleet.routers[name].registry.find(worker.instance)
            self.assertEqual(found and found.weights, 2, name)

    def test_slow_start_counts_down_for_routers_that_learn_later_of_the_worker(self) -> None:
        worker = msgspec.structs.replace(worker_of(7), slow_start_remaining=Seconds(10.0))
        self.announce(worker, 1)
        self.world.run(4.0)
        self.world.restart("r5")
        self.at("r5", lambda registry: registry.watch(POOL))
        self.world.run(2.0)
        for name in ("r1", "r5"):
            left = self.at(name, lambda registry: registry.slow_start_remaining(worker.instance))
            self.assertAlmostEqual(left, 4.0, delta=0.7, msg=name)

    def test_new_instance_ends_another_pools_worker_at_its_address(self) -> None:
        self.renew_workers([worker_of(8, OTHER_POOL)])
        self.renew_workers([msgspec.structs.replace(worker_of(8, OTHER_POOL), address=self.workers[1].address)])
        self.world.run(0.5)
        self.assertIn(1, self.ready(), "a worker that was known before sets no other worker to gone")
        taker = msgspec.structs.replace(worker_of(9, OTHER_POOL), address=self.workers[1].address)
        self.renew_workers([taker], 0.5)
        for name in self.fleet.routers:
            found = self.fleet.routers[name].registry.find(self.workers[1].instance)
            self.assertEqual(found and found.state, "gone", name)
            self.assertIn(9, self.ready(name, OTHER_POOL))

    def test_misplaced_worker_is_excluded_long_but_not_permanently(self) -> None:
        self.at("r1", lambda registry: registry.misplaced(self.workers[1].instance))
        for _ in range(3):
            self.assertEqual(self.ready(), [0, 2, 3])
            self.renew_workers(self.workers)
        self.world.run(MAX_BACKOFF_S)
        self.renew_workers(self.workers)
        self.assertEqual(self.ready(), [0, 1, 2, 3])

    def call_ready_workers(self, registry: WorkerRegistry) -> bool:
        """Sends one call to each ready worker, of which only the third fails; returns whether the third was ready."""
        ready = registry.ready(POOL)
        for worker in ready:
            if worker.instance == self.workers[2].instance:
                registry.failed(worker.instance)
            else:
                registry.succeeded(worker.instance)
        return any(worker.instance == self.workers[2].instance for worker in ready)

    def test_worker_that_fails_a_few_calls_of_each_router_is_ejected_in_the_whole_zone(self) -> None:
        zone = [name for name, router in self.fleet.routers.items() if router.identity.zone == "b"]
        other = next(name for name in self.fleet.routers if name not in zone)
        used = dict.fromkeys(zone, 0)
        for _ in range(30):
            self.renew_workers(self.workers, 0.4)
            for name in zone:
                used[name] += self.at(name, self.call_ready_workers)
            self.assertEqual(self.ready(other), [0, 1, 2, 3], "the worker may fail calls of one zone only")
            self.assertLessEqual({0, 1, 3}, set(self.ready(zone[0])))
        for name in zone:
            self.assertLess(used[name], 12, name)
        for _ in range(20):
            self.renew_workers(self.workers, 1.0)
        for name in zone:
            self.assertEqual(self.ready(name), [0, 1, 2, 3], name)

    def test_broken_variant_that_admits_every_call_after_the_backoff_is_detected(self) -> None:
        with (
            mock.patch.object(CircuitBreakers, "begin", lambda *_: None),
            self.assertRaises(AssertionError),
        ):
            self.test_suspected_worker_gets_one_call_at_a_time_after_a_backoff_until_one_succeeds()


if __name__ == "__main__":
    unittest.main()
