"""A router that reaches neither control nor any worker takes itself out (docs/DESIGN.md section 15.4)."""

from __future__ import annotations

import unittest

from simulation.fleet import Fleet, network_shape, shape_named
from simulation.world import World


class RouterCutOffTest(unittest.TestCase):
    def doors_while_cut_off(self, workers: bool) -> tuple[bool, bool]:
        """Whether the platform sends callers to the router in the cut's last second, and again after it."""
        shape = shape_named("sabarmati")
        assert shape.removed_key_bound is None, "else the proof's age takes it out anyway"
        with World(3, network_shape(shape)) as world:
            fleet = Fleet(world, shape)
            fleet.start()
            fleet.put_in_force()
            fleet.set_traffic(0.5)
            world.run(3.0)
            fleet.cut_off("router-4", 14.0, workers=workers)
            world.run(13.0)
            during = fleet.ready_doors["router-4"]
            world.run(10.0)
            return during, fleet.ready_doors["router-4"]

    def test_without_workers_it_is_not_ready_until_it_is_back(self) -> None:
        self.assertEqual(self.doors_while_cut_off(workers=True), (False, True))

    def test_with_workers_it_serves_on(self) -> None:
        self.assertEqual(self.doors_while_cut_off(workers=False), (True, True))
