"""ObservedLoadFigures of turns must reach every router again after owners changed (docs/DESIGN.md section 10.4).

If an owner leaves and returns while a question to it is in flight, the answer continues a feed that was discarded. A
follower that applied it would lack workers' numbers and drop their counts.
"""

from __future__ import annotations

import unittest

from simulation import NetworkShape, World
from wingwood.identifiers import PoolName, WorkerInstance
from wingwood.registry.protocols import ObservedLoad

from .fleet import Fleet

SLOW = NetworkShape(same_zone=0.03, between_zones=0.06)
"""With this latency questions are in flight much of the time, so many changes coincide with one."""
OWNER_CHANGES = 12


class CountsWhenOwnersChangeTest(unittest.TestCase):
    def count_one_turn_everywhere(self, fleet: Fleet, instance: WorkerInstance) -> None:
        def counted(pool: PoolName) -> dict[WorkerInstance, ObservedLoad]:
            return {instance: ObservedLoad(streams=1.0)}

        for router in fleet.routers.values():
            router.registry.register_counter(counted)

    def assert_all_counted(self, fleet: Fleet, instance: WorkerInstance) -> None:
        expected = float(len(fleet.routers) - 1)
        counted_elsewhere = {
            name: router.registry.observed_load_of_others(instance).streams
            for name, router in sorted(fleet.routers.items())
        }
        self.assertEqual(counted_elsewhere, dict.fromkeys(counted_elsewhere, expected))

    def test_owner_that_leaves_and_returns_while_a_question_is_in_flight(self) -> None:
        with World(9, SLOW) as world:
            fleet = Fleet(world, count=9)
            worker = fleet.start_worker("w0")
            fleet.announce(worker)
            instance = WorkerInstance(worker.instance)
            self.count_one_turn_everywhere(fleet, instance)
            world.run(2.0)
            self.assert_all_counted(fleet, instance)
            for change in range(OWNER_CHANGES):
                owner = fleet.owner("abc"[change % 3])
                identity = fleet.roster.identities[owner]
                fleet.roster.remove(owner)
                world.run(0.013 * (change + 1))
                fleet.roster.put(identity)
                for _ in range(4):
                    fleet.announce(worker)
                    world.run(1.0)
                with self.subTest(change=change):
                    self.assert_all_counted(fleet, instance)
            self.assertEqual(fleet.ready_at("r0"), [worker.instance])
            self.assertEqual(world.broken_invariants, [])
