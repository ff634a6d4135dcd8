"""A control daemon that says it is ready is led, and says why when it is not (docs/DESIGN.md section 15)."""

from __future__ import annotations

import unittest
from typing import cast

from simulation.fleet import Fleet, network_shape, shape_named
from simulation.world import World

from ...operator_api.reading import HealthReport
from ..control import ControlDaemon


class ControlReadyTest(unittest.TestCase):
    def health(self, name: str) -> HealthReport:
        """Asked inside the process, on its own clock."""
        found: list[HealthReport] = []

        async def look() -> None:
            parts = cast(ControlDaemon, self.fleet.daemons[name])._parts
            assert parts is not None
            found.append(parts.health())

        world = self.fleet.world
        world.spawn(world.processes[name], look(), "test")
        self.assertTrue(world.wait_for(lambda: bool(found), 1.0, every=0.01))
        return found[0]

    def test_the_last_of_three_is_not_ready_and_says_why(self) -> None:
        shape = shape_named("demo")
        with World(1, network_shape(shape)) as world:
            self.fleet = Fleet(world, shape, supervised=False)
            self.fleet.start()
            self.fleet.put_in_force()
            controls = self.fleet.names("control")
            self.assertTrue(all(self.health(name).ready for name in controls))
            last = next(name for name in controls if self.health(name).control.own_role == "witness")  # type: ignore[union-attr]
            for name in controls:
                if name != last:
                    world.kill(name)
            world.run(4.0)
            report = self.health(last)
            self.assertFalse(report.ready, report)
            self.assertIn("no primary", " ".join(report.reasons))
            for name in controls:
                if name != last:
                    world.restart(name)
            self.assertTrue(world.wait_for(lambda: self.health(last).ready, 12.0))
            self.assertEqual(self.health(last).reasons, ())

    def test_an_empty_one_that_is_started_on_a_failing_disk_waits_until_it_heals(self) -> None:
        shape = shape_named("demo")
        with World(1, network_shape(shape)) as world:
            self.fleet = Fleet(world, shape, supervised=False)
            self.fleet.start()
            self.fleet.put_in_force()
            name = self.fleet.names("control")[-1]
            process = world.processes[name]
            world.kill(name)
            world.wipe(process.machine.name)
            process.machine.disk.set_mode("failing")
            world.run(1.0)
            world.restart(name)
            world.run(3.0)
            self.assertIsNone(process.stopped_because)
            process.machine.disk.set_mode("well")

            def up() -> bool:
                return cast(ControlDaemon, self.fleet.daemons[name])._parts is not None

            self.assertTrue(world.wait_for(up, 5.0))
            self.assertTrue(world.wait_for(lambda: self.health(name).ready, 8.0))
