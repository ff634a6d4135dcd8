"""Tests that a router which reaches neither control nor any worker is not ready (docs/DESIGN.md section 15.4).

Otherwise the platform would keep sending it callers that other routers could serve.
"""

from __future__ import annotations

import unittest

from simulation.fleet import Fleet, network_shape, shape_named
from simulation.world import World


class RouterCutOffTest(unittest.TestCase):
    def ready_during_and_after_cut(self, workers: bool) -> tuple[bool, bool]:
        """Returns whether the router is ready for callers in the last second of the cut, and 10 s later."""
        shape = shape_named("sabarmati")
        assert shape.removed_key_bound is None, (
            "with a bound the age of the proof would make the router not ready anyway"
        )
        with World(3, network_shape(shape)) as world:
            fleet = Fleet(world, shape)
            fleet.start()
            fleet.put_in_force()
            fleet.set_traffic(0.5)
            world.run(3.0)
            fleet.cut_off("router-4", 14.0, workers=workers)
            world.run(13.0)
            during = fleet.readiness["router-4"]
            world.run(10.0)
            return during, fleet.readiness["router-4"]

    def test_router_without_control_and_workers_is_not_ready_until_reconnected(self) -> None:
        self.assertEqual(self.ready_during_and_after_cut(workers=True), (False, True))

    def test_router_without_control_but_with_workers_stays_ready(self) -> None:
        self.assertEqual(self.ready_during_and_after_cut(workers=False), (True, True))
