"""Tests of failover and of joining machines: losses of any one daemon, and of its disk."""

from __future__ import annotations

import unittest

from .control_case import BACK_AFTER_RESTART_S, LONGEST_GAP_S, SERVICE_BACK_S, ControlCase


class LossTests(ControlCase):
    """Any one loss leaves the fleet in service within the gap and loses no acknowledged order."""

    def test_each_kind_of_loss_of_the_primary_leads_to_a_failover_within_the_gap(self) -> None:
        for seed, lose in enumerate(("kill", "freeze", "power_off", "cut_off", "wipe") * 2):
            with self.subTest(lose=lose, seed=seed):
                control = self.fleet(seed)
                leader = control.leader()
                assert leader is not None
                getattr(control.world, lose)(leader)
                if lose == "wipe":
                    control.world.kill(leader)
                self.assertLess(self.seconds_until_served(control), LONGEST_GAP_S)

    def test_each_kind_of_loss_of_the_backup_leads_to_a_new_one_within_the_gap(self) -> None:
        for seed, lose in enumerate(("kill", "freeze", "power_off", "cut_off", "stalled", "failing") * 2):
            with self.subTest(lose=lose, seed=seed):
                control = self.fleet(seed)
                backup = control.name_with_role("backup")
                if lose in ("stalled", "failing"):
                    control.world.machines[backup].disk.set_mode(lose)  # type: ignore[arg-type]
                else:
                    getattr(control.world, lose)(backup)
                self.assertLess(self.seconds_until_served(control), LONGEST_GAP_S)

    def test_members_restarted_together_do_not_wait_for_the_timeout_of_the_primary(self) -> None:
        for seed in range(6):
            with self.subTest(seed=seed):
                control = self.fleet(seed)
                control.world.run(0.04 * seed)
                for name in ("c1", "c2", "c3"):
                    control.world.restart(name)
                self.assertLess(self.seconds_until_served(control), BACK_AFTER_RESTART_S)
                self.assert_nothing_lost(control)

    def test_restarted_primary_asks_the_others_to_fail_over(self) -> None:
        for seed in range(6):
            with self.subTest(seed=seed):
                control = self.fleet(seed)
                control.world.run(0.04 * seed)
                control.world.restart("c1")
                self.assertLess(self.seconds_until_served(control), BACK_AFTER_RESTART_S)
                self.assert_nothing_lost(control)

    def test_nothing_is_lost_when_all_are_killed_and_any_one_disk_is_wiped(self) -> None:
        for seed, wiped in enumerate((None, "c1", "c2", "c3")):
            with self.subTest(wiped=wiped):
                control = self.fleet(seed, orders=30)
                for name in ("c1", "c2", "c3"):
                    control.world.kill(name)
                if wiped is not None:
                    control.world.wipe(wiped)
                for name in ("c3", "c1", "c2"):
                    control.world.restart(name)
                self.assertLess(self.seconds_until_served(control), SERVICE_BACK_S)
                self.assert_nothing_lost(control)

    def test_an_empty_machine_at_a_new_address_becomes_a_member_and_the_next_loss_is_survived(self) -> None:
        for seed, role in enumerate(("primary", "backup", "witness")):
            with self.subTest(role=role):
                control = self.fleet(seed)
                lost = control.name_with_role(role)
                control.world.power_off(lost)
                control.world.wipe(lost)
                control.start("s1")
                control.world.run(1.0)
                self.assertFalse(control.complete())
                self.assertTrue(control.world.wait_for(control.complete, SERVICE_BACK_S), control.world.timeline(60))
                second = control.name_with_role("primary")
                control.world.power_off(second)
                control.world.wipe(second)
                self.assertLess(self.seconds_until_served(control), LONGEST_GAP_S)
                control.start("s2")
                self.assert_nothing_lost(control)

    def test_a_wiped_machine_at_its_old_address_becomes_a_member_again(self) -> None:
        for seed, role in enumerate(("primary", "backup", "witness")):
            with self.subTest(role=role):
                control = self.fleet(seed)
                lost = control.name_with_role(role)
                control.world.kill(lost)
                control.world.wipe(lost)
                control.world.restart(lost)
                started = control.world.now
                control.world.run(1.2)
                self.assertTrue(control.world.wait_for(control.complete, LONGEST_GAP_S), control.world.timeline(60))
                self.assertLess(control.world.now - started, LONGEST_GAP_S + 1.2)
                self.assert_nothing_lost(control)

    def test_a_wiped_machine_whose_seeds_were_all_replaced_learns_of_the_fleet_from_its_primary(self) -> None:
        control = self.fleet()
        for lost, fresh in (("c2", "s1"), ("c3", "s2")):
            control.world.power_off(lost)
            control.start(fresh)
            control.world.run(2.0)
            self.assert_nothing_lost(control)
        control.world.kill("c1")
        control.world.wipe("c1")
        control.world.restart("c1")
        control.world.run(2.0)
        self.assert_nothing_lost(control)

    def test_a_first_primary_may_lead_again_when_its_successor_was_lost_before_it_had_a_backup(self) -> None:
        control = self.fleet()
        first, second = control.name_with_role("primary"), control.name_with_role("backup")
        control.world.kill(first)
        self.assertTrue(control.world.wait_for(lambda: control.leads(second), LONGEST_GAP_S, every=0.002))
        self.assertIsNone(control.leader())
        control.world.power_off(second)
        control.world.wipe(second)
        control.world.restart(first)
        self.assertLess(self.seconds_until_served(control), SERVICE_BACK_S)
        control.start("s1")
        self.assert_nothing_lost(control)

    def test_a_damaged_journal_stops_the_daemon_and_peers_refill_it(self) -> None:
        control = self.fleet()
        backup = control.name_with_role("backup")
        control.world.kill(backup)
        disk = control.world.machines[backup].disk
        data = bytearray(disk.visible["control.journal"])
        data[40] ^= 1
        disk.visible["control.journal"] = disk.durable["control.journal"] = bytes(data)
        control.world.restart(backup)
        control.world.run(1.0)
        reported = [event for event in control.world.events if event.name == "store-fault"]
        self.assertIn("damaged at byte", str(reported[-1].fields["detail"]))
        control.begin_empty.add(backup)
        control.world.restart(backup)
        self.assert_nothing_lost(control)
        self.assertTrue(any("damaged-" in name for name in disk.durable))


class UnneededFailoverTests(ControlCase):
    """What looks like a lost primary to one member, or to paused members, must not depose it."""

    def test_a_short_freeze_of_all_changes_no_view(self) -> None:
        for seed in range(5):
            with self.subTest(seed=seed):
                control = self.fleet(seed)
                epoch = control.epoch()
                for name in ("c1", "c2", "c3"):
                    control.world.freeze(name)
                control.world.run(2.0)
                for name in ("c3", "c2", "c1"):
                    control.world.wake(name)
                    control.world.run(0.15)
                self.assertTrue(control.world.wait_for(control.complete, 1.0))
                control.world.run(3.0)
                self.assertEqual(control.epoch(), epoch)
                self.assert_nothing_lost(control)

    def test_one_member_without_heartbeats_does_not_depose_the_primary(self) -> None:
        control = self.fleet()
        leader, backup = control.name_with_role("primary"), control.name_with_role("backup")
        control.world.cut(leader, backup, both_ways=False)
        control.world.run(15.0)
        self.assertEqual(control.leader(), leader)
        self.assertNotEqual(control.name_with_role("witness"), leader)


if __name__ == "__main__":
    unittest.main()
