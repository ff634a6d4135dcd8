"""A tenant with rare calls, after its allocator was briefly unreachable (docs/DESIGN.md section 14).

The router had marked the allocator as unreachable. With calls seconds apart, it must still ask the
allocator again, and the credit must refill in between, or every later call would be refused.
"""

from __future__ import annotations

import unittest

from simulation import World

from ...identifiers import Seconds
from .share_fleet import ShareFleet, tenant


class SparseCallsTest(unittest.TestCase):
    def accepted_at(self, fleet: ShareFleet, name: str) -> bool:
        before = len(fleet.calls)

        async def call() -> None:
            await fleet._call(int(name[1:]), fleet.shares[name])

        fleet.world.spawn(fleet.world.processes[name], call(), "call")
        self.assertTrue(fleet.world.wait_for(lambda: len(fleet.calls) > before, 1.0, every=0.01))
        return fleet.calls[-1][2]

    def test_calls_after_a_partition_reach_the_allocator_again(self) -> None:
        with World(seed=4) as world:
            fleet = ShareFleet(world, 11, tenant(25.0), lambda router, now: 0.0, 1.0)
            world.run(3.0)
            allocator, standby = fleet.allocator(), fleet.standby()
            caller = next(name for name in sorted(fleet.shares) if name not in (allocator, standby))
            # Only this router loses both, as after a partition that left dead connections.
            cuts = [world.cut(caller, other) for other in (allocator, standby)]
            self.accepted_at(fleet, caller)
            for cut in cuts:
                world.heal(cut)
            for _ in range(3):
                world.run(Seconds(10.0))
                self.assertTrue(self.accepted_at(fleet, caller), f"refused at {world.now}")

    def test_credit_refills_between_rare_calls(self) -> None:
        with World(seed=4) as world:
            fleet = ShareFleet(world, 11, tenant(25.0), lambda router, now: 0.0, 1.0)
            world.run(3.0)
            allocator, standby = fleet.allocator(), fleet.standby()
            caller = next(name for name in sorted(fleet.shares) if name not in (allocator, standby))
            for other in (allocator, standby):
                world.cut(caller, other)
            self.accepted_at(fleet, caller)
            for _ in range(3):
                world.run(Seconds(5.0))
                self.assertTrue(self.accepted_at(fleet, caller), f"refused at {world.now}")
