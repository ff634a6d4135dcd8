"""Tests that five members with three copies survive two losses at once (docs/DESIGN.md sections 7.1 and 7.2.5)."""

from __future__ import annotations

import unittest
from collections.abc import Sequence
from itertools import combinations

from .control_case import ControlCase
from .control_world import SIX, ControlWorld, MakeCore, make_core_for_two_losses

LONGEST_GAP_S = 3.0
"""Longest wait for an acknowledgement after a fault."""
SERVICE_BACK_S = 5.0
"""Longest time until the fleet is complete again."""
CATCH_UP_S = 6.0
"""Time given to replaced machines to receive the state."""


class TwoLossesCase(ControlCase):
    service_back_s = SERVICE_BACK_S

    def fleet(self, seed: int = 1, make: MakeCore = make_core_for_two_losses, orders: int = 5) -> ControlWorld:
        """Returns six daemons, of which five are members, that have acknowledged some orders."""
        control = ControlWorld(seed, make, SIX)
        self.addCleanup(control.close)
        control.operator()
        self.assertTrue(control.world.wait_for(control.complete, 5.0), control.world.timeline(60))
        for _ in range(orders):
            self.assertIsNotNone(control.send())
        return control

    def members(self, control: ControlWorld) -> list[str]:
        """Returns the members in the order primary, backups, witnesses."""
        leader = control.leader()
        assert leader is not None
        view = control.stores[leader].view
        assert view is not None
        rank = {view.primary: 0} | dict.fromkeys(view.backups, 1)
        return [str(member.name) for member in sorted(view.members, key=lambda member: rank.get(member.incarnation, 2))]


class FormingTests(TwoLossesCase):
    def test_six_empty_machines_form_in_any_order(self) -> None:
        for seed in range(20):
            with self.subTest(seed=seed):
                control = ControlWorld(seed, make_core_for_two_losses, ())
                self.addCleanup(control.close)
                control.operator()
                for name in control.world.random.sample(SIX, 6):
                    control.start(name)
                    control.world.run(control.world.random.uniform(0.0, 0.05))
                self.assertTrue(control.world.wait_for(control.complete, 2.0), control.world.timeline(60))
                self.assertEqual(len(self.members(control)), 5)
                self.assertIsNotNone(control.send())

    def test_nothing_is_acknowledged_before_five_members_and_three_copies(self) -> None:
        control = ControlWorld(1, make_core_for_two_losses, ("c1", "c2", "c3", "c4"))
        self.addCleanup(control.close)
        control.operator()
        control.world.run(5.0)
        self.assertIsNone(control.leader())
        self.assertTrue(control.leads("c1"), "it leads all the same, and can confirm that there is no state")
        self.assertIsNone(control.send())
        self.assertIn("1 more members with a disk are wanted", control.report("c1").detail)
        control.start("c5")
        self.assertTrue(control.world.wait_for(control.complete, 2.0))
        self.assertIsNotNone(control.send())
        self.assertEqual(len(control.report("c1").backups), 2)


class LossTests(TwoLossesCase):
    """Any two losses at once leave the fleet in service within the gap and lose no acknowledged order."""

    def test_service_survives_any_two_losses_at_once_within_the_gap(self) -> None:
        fault_kinds = ("kill", "freeze", "power_off", "cut_off", "wipe", "stalled", "full")
        for number, (one, other) in enumerate(combinations(range(5), 2)):
            for turn in range(2):
                fault = fault_kinds[(number * 2 + turn) % len(fault_kinds)]
                with self.subTest(fault=fault, lost=(one, other)):
                    control = self.fleet(number)
                    members = self.members(control)
                    for name in (members[one], members[other]):
                        self.lose(control, name, fault)
                    self.assertLess(self.seconds_until_served(control), LONGEST_GAP_S)
                    self.assertEqual(control.observer.faults, [])

    def lose(self, control: ControlWorld, name: str, fault: str) -> None:
        if fault in ("stalled", "full"):
            control.world.machines[name].disk.set_mode(fault)  # type: ignore[arg-type]
            return
        getattr(control.world, fault)(name)
        if fault == "wipe":
            control.world.kill(name)

    def test_two_wiped_machines_and_two_others_wiped_once_the_first_are_back(self) -> None:
        for seed, (one, other) in enumerate(combinations(range(5), 2)):
            for elsewhere in (False, True):
                with self.subTest(lost=(one, other), elsewhere=elsewhere):
                    control = self.fleet(seed)
                    members = self.members(control)
                    lost = [members[one], members[other]]
                    self.replace(control, lost, ("s1", "s2") if elsewhere else lost, away=2.0)
                    control.world.run(CATCH_UP_S)
                    self.assertTrue(control.complete(), control.world.timeline(60))
                    again = self.members(control)[:2]
                    self.replace(control, again, ("s3", "s4") if elsewhere else again, away=0.0)
                    self.assertLess(self.seconds_until_served(control), LONGEST_GAP_S)
                    self.assert_nothing_lost(control)

    def replace(self, control: ControlWorld, lost: Sequence[str], fresh: Sequence[str], away: float) -> None:
        left = [name for name in self.members(control) if name not in lost]
        for name in lost:
            control.world.power_off(name)
            control.world.wipe(name)
        control.world.run(away)
        for name in fresh:
            if name in control.world.processes:
                control.world.power_on(name)
            else:
                control.start(name, left)

    def test_power_loss_of_all_with_two_lost_disks_right_after_an_acknowledgement(self) -> None:
        for seed, (one, other) in enumerate(combinations(range(5), 2)):
            with self.subTest(wiped=(one, other)):
                control = self.fleet(seed, orders=20)
                members = self.members(control)
                for name in SIX:
                    control.world.power_off(name)
                for name in (members[one], members[other]):
                    control.world.wipe(name)
                for name in control.world.random.sample(SIX, 6):
                    control.world.power_on(name)
                self.assertLess(self.seconds_until_served(control), LONGEST_GAP_S)
                self.assert_nothing_lost(control)

    def test_all_processes_killed_at_once(self) -> None:
        for seed in range(5):
            with self.subTest(seed=seed):
                control = self.fleet(seed, orders=20)
                for name in SIX:
                    control.world.kill(name)
                for name in control.world.random.sample(SIX, 6):
                    control.world.restart(name)
                self.assertLess(self.seconds_until_served(control), LONGEST_GAP_S)
                self.assert_nothing_lost(control)

    def test_a_spare_replaces_an_unresponsive_member_and_then_two_others_may_be_lost(self) -> None:
        control = self.fleet()
        members = self.members(control)
        control.world.power_off(members[1])
        control.world.run(4.0)
        self.assertTrue(control.complete(), control.world.timeline(60))
        for name in self.members(control)[:2]:
            control.world.power_off(name)
        self.assertLess(self.seconds_until_served(control), LONGEST_GAP_S)

    def test_a_primary_cut_off_with_one_other_member_reports_that_it_does_not_lead(self) -> None:
        control = self.fleet()
        members = self.members(control)
        group, others = members[:2], [*members[2:], *set(SIX) - set(members), "operator"]
        control.world.network.cut([(a, b) for a in group for b in others] + [(b, a) for a in group for b in others])
        control.world.run(2.0)
        self.assertFalse(control.leads(members[0]))
        self.assertLess(self.seconds_until_served(control), LONGEST_GAP_S)


if __name__ == "__main__":
    unittest.main()
