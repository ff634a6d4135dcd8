"""Tests of disk faults of a running daemon."""

from __future__ import annotations

import unittest

from ...context.protocols import Context
from ..store import open_store
from .control_case import LONGEST_GAP_S, ControlCase


class DiskFaultTests(ControlCase):
    """It must stop leading, and may return only with a journal read back."""

    def test_a_second_process_on_the_same_folder_is_refused(self) -> None:
        control = self.fleet()
        refused: list[str] = []

        async def main(context: Context) -> None:
            refused.append((await open_store(context)).failure().kind)

        control.world.start("intruder", main, machine="c1")
        control.world.run(0.1)
        self.assertEqual(refused, ["locked"])
        self.assert_nothing_lost(control)

    def test_a_primary_with_a_disk_fault_steps_down_and_is_a_member_again_after_recovery(self) -> None:
        for seed, mode in enumerate(("stalled", "full", "failing", "slow")):
            with self.subTest(mode=mode):
                control = self.fleet(seed)
                faulty = control.name_with_role("primary")
                disk = control.world.machines[faulty].disk
                disk.slow_factor = 2000.0
                disk.set_mode(mode)  # type: ignore[arg-type]
                # A primary whose write fails at once steps down, so nobody waits for the timeout of the primary.
                self.assertLess(
                    self.seconds_until_served(control), 1.0 if mode in ("full", "failing") else LONGEST_GAP_S
                )
                self.assertNotEqual(control.leader(), faulty)
                disk.set_mode("well")
                self.assert_nothing_lost(control)

    def test_a_folder_wiped_under_the_running_primary_is_noticed_without_any_order(self) -> None:
        control = self.fleet()
        wiped = control.name_with_role("primary")
        control.world.wipe(wiped)
        self.assertTrue(control.world.wait_for(lambda: control.leader() not in (None, wiped), 4.0))
        control.world.restart(wiped)
        self.assert_nothing_lost(control)


if __name__ == "__main__":
    unittest.main()
