"""Tests the readiness of control daemons (docs/DESIGN.md section 15).

They guard against a control daemon that reports ready without a primary, or does not report why it is not ready.
"""

from __future__ import annotations

import unittest
from typing import cast

from simulation.fleet import Fleet, network_shape, shape_named
from simulation.world import World

from ...operator_api.reading import HealthReport
from ..control import ControlDaemon


class ControlReadyTest(unittest.TestCase):
    def health(self, name: str) -> HealthReport:
        """Returns the health report, computed inside the process on its own clock."""
        reports: list[HealthReport] = []

        async def read_health() -> None:
            parts = cast(ControlDaemon, self.fleet.daemons[name])._parts
            assert parts is not None
            reports.append(parts.health())

        world = self.fleet.world
        world.spawn(world.processes[name], read_health(), "test")
        self.assertTrue(world.wait_for(lambda: bool(reports), 1.0, every=0.01))
        return reports[0]

    def test_last_of_three_control_daemons_is_not_ready_and_says_why(self) -> None:
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

    def test_empty_control_daemon_on_a_failing_disk_waits_for_the_disk(self) -> None:
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

            def has_started() -> bool:
                return cast(ControlDaemon, self.fleet.daemons[name])._parts is not None

            self.assertTrue(world.wait_for(has_started, 5.0))
            self.assertTrue(world.wait_for(lambda: self.health(name).ready, 8.0))
