"""Tests of the control core on simulated time: forming, losses, replacement, disk faults, deposed primaries."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable
from functools import partial
from typing import Any

from returns.result import Success

from ...context.protocols import Context
from ...identifiers import Epoch, Incarnation, Seconds
from ...transport.messenger import TcpMessenger
from ..control_options import ControlOptions
from ..core import ReplicatedCore
from ..errors import CommandFailure
from ..messages import ControlPrepare
from ..store import open_store
from .control_world import ControlWorld, MakeCore, Put, make_core
from .mutants import BackupIgnoresPreparedEpoch, with_core

LONGEST_GAP_S = 3.0
SERVICE_BACK_S = 12.0
BACK_AFTER_RESTART_S = 0.55
"""Restarted members accept orders again within this time; a primary is given up only after 1 s of silence."""
LONG_TIMEOUTS = ControlOptions(replicate_timeout=Seconds(6.0), decide_timeout=Seconds(8.0))
"""Timeouts so long that only the rules of the protocol keep a primary from acknowledging after a freeze."""


class ControlCase(unittest.TestCase):
    def fleet(self, seed: int = 1, make: MakeCore = make_core, orders: int = 5) -> ControlWorld:
        """Returns three daemons that have formed a fleet and acknowledged some orders."""
        control = ControlWorld(seed, make)
        self.addCleanup(control.close)
        control.operator()
        self.assertTrue(control.world.wait_for(control.complete, 5.0))
        for _ in range(orders):
            self.assertIsNotNone(control.send())
        return control

    def assert_nothing_lost(self, control: ControlWorld) -> None:
        """Checks that the fleet is complete again and that all acknowledged orders are still there."""
        self.assertTrue(control.world.wait_for(control.complete, SERVICE_BACK_S), control.world.timeline(60))
        self.assertIsNotNone(control.send())
        leader = control.leader()
        assert leader is not None
        stored = control.registers[leader].stored.outcomes
        for order, outcome in control.observer.outcomes.items():
            self.assertEqual(stored.get(order), outcome)
        self.assertEqual(control.observer.faults, [])
        self.assertEqual(control.world.broken_invariants, [])

    def seconds_until_served(self, control: ControlWorld) -> float:
        started = control.world.now
        while control.send() is None:
            self.assertLess(control.world.now - started, 30.0, control.world.timeline(60))
        return control.world.now - started


class FormingTests(ControlCase):
    """A first view is formed only by all three empty seeds; otherwise wiped machines could lose a fleet's state."""

    def test_three_empty_seeds_form_one_fleet_and_the_first_leads(self) -> None:
        control = self.fleet()
        self.assertEqual(control.leader(), "c1")
        self.assertEqual([control.report(name).own_role for name in ("c2", "c3")], ["backup", "witness"])

    def test_the_order_of_the_seeds_in_the_settings_has_no_effect(self) -> None:
        def turned(context: Context, messenger: TcpMessenger, *rest: Any) -> ReplicatedCore:
            store, contents, register, seeds = rest
            turn = int(str(messenger.identity.name)[1]) % 3
            return make_core(context, messenger, store, contents, register, [*seeds[turn:], *seeds[:turn]])

        control = self.fleet(make=turned)
        self.assertEqual((control.leader(), control.epoch()), ("c1", 1))

    def test_two_empty_seeds_form_nothing(self) -> None:
        control = ControlWorld(1, start=("c1", "c2"))
        self.addCleanup(control.close)
        control.world.run(20.0)
        self.assertIsNone(control.leader())
        control.start("c3")
        self.assertTrue(control.world.wait_for(control.complete, 5.0))

    def test_nothing_is_formed_where_anyone_knows_of_history(self) -> None:
        control = ControlWorld(1, start=())
        self.addCleanup(control.close)
        for name in ("c1", "c2", "c3"):
            control.start(name)
        control.world.run(0.03)
        control.cores["c3"].monitor.knows_history = lambda: True
        control.world.run(20.0)
        self.assertIsNone(control.leader())

    def test_two_wiped_machines_beside_an_intact_one_form_no_new_fleet(self) -> None:
        control = self.fleet()
        for name in ("c1", "c2", "c3"):
            control.world.kill(name)
        control.world.wipe("c1")
        control.world.wipe("c2")
        for name in ("c1", "c2", "c3"):
            control.world.restart(name)
        control.world.run(30.0)
        self.assertIsNone(control.leader())


class LossTests(ControlCase):
    """Any one loss leaves the fleet in service within the gap and loses no acknowledged order."""

    def test_each_kind_of_loss_of_the_primary_leads_to_a_take_over_within_the_gap(self) -> None:
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

    def test_members_restarted_together_do_not_wait_for_the_silence_limit_of_the_primary(self) -> None:
        for seed in range(6):
            with self.subTest(seed=seed):
                control = self.fleet(seed)
                control.world.run(0.04 * seed)
                for name in ("c1", "c2", "c3"):
                    control.world.restart(name)
                self.assertLess(self.seconds_until_served(control), BACK_AFTER_RESTART_S)
                self.assert_nothing_lost(control)

    def test_restarted_primary_asks_the_others_to_take_over(self) -> None:
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


class DiskFaultTests(ControlCase):
    """Disk faults of a running daemon: it must stop leading, and may return only with a journal read back."""

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
                # A primary whose write fails at once steps down, so nobody waits for the silence limit.
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


class DeposedPrimaryTests(ControlCase):
    """A former primary that was frozen or cut off must not acknowledge or prove anything after its successor leads."""

    def late_batch(self, make: MakeCore, seed: int) -> tuple[ControlWorld, str, list[object]]:
        """Freezes the primary while its batch is delayed on the way to the backup, which takes over with the witness.

        The old primary continues with the answer of the backup, if there is one, already in its buffers.
        Returns the world, the old primary, and the answers that it then gives.
        """
        control = self.fleet(seed, make)
        old, backup = control.name_with_role("primary"), control.name_with_role("backup")
        control.world.run(0.5)
        cut = control.world.cut(old, backup, both_ways=False)
        given_answers: list[object] = []
        self.spawn(control, old, partial(self.put_at, control, old, Put(999, control.observer.newest), given_answers))
        control.world.run(0.02)
        control.world.freeze(old)
        self.assertTrue(control.world.wait_for(lambda: control.leader() == backup, LONGEST_GAP_S))
        control.world.heal(cut)
        control.world.run(0.9)
        control.world.wake(old)
        control.world.run(0.5)
        return control, old, given_answers

    async def put_at(self, control: ControlWorld, name: str, put: Put, given_answers: list[object]) -> None:
        given_answers.append(await control.cores[name].decide("register", put))

    def test_a_primary_acknowledges_nothing_after_a_freeze(self) -> None:
        for seed in range(8):
            with self.subTest(seed=seed):
                control, old, given_answers = self.late_batch(with_core(ReplicatedCore, LONG_TIMEOUTS), seed)
                self.assertFalse(control.leads(old))
                self.assertEqual([answer.failure().kind for answer in given_answers], ["unknown"])  # type: ignore[attr-defined]
                self.assert_nothing_lost(control)

    def test_a_backup_that_ignores_its_promise_is_caught(self) -> None:
        given_answers = [
            self.late_batch(with_core(BackupIgnoresPreparedEpoch, LONG_TIMEOUTS), seed)[2] for seed in range(8)
        ]
        self.assertTrue(any(isinstance(answer, Success) for answers in given_answers for answer in answers))

    def test_primaries_that_are_cut_off_report_it_and_prove_nothing(self) -> None:
        for inward, outward in ((True, True), (True, False), (False, True)):
            with self.subTest(inward=inward, outward=outward):
                control = self.fleet()
                old = control.name_with_role("primary")
                core = control.cores[old]
                self.assertEqual(self.ask(control, old, core.confirm_leadership), [True])
                cut = control.world.cut_off(old, inward, outward)
                control.world.run(0.02)
                self.assertEqual(self.ask(control, old, core.confirm_leadership), [False])
                control.world.run(2.0)
                self.assertFalse(control.leads(old))
                answers = self.ask(control, old, partial(core.decide, "register", Put(1000, 0)))
                fault = answers[0].failure()  # type: ignore[attr-defined]
                self.assertIsInstance(fault, CommandFailure)
                self.assertEqual(fault.kind, "not-leading")
                self.assertNotIn(control.leader(), (None, old))
                control.world.heal(cut)
                self.assert_nothing_lost(control)

    def test_a_candidacy_never_lowers_a_promise_given_meanwhile(self) -> None:
        control = self.fleet()
        name = control.name_with_role("backup")
        core, store = control.cores[name], control.stores[name]

        async def prepare_then_run() -> None:
            await core.guarded.lock.acquire()
            prepare = ControlPrepare(store.incarnation, Incarnation("another"), Epoch(50))
            waiting = [
                asyncio.ensure_future(core.acceptor.prepare(prepare)),
                asyncio.ensure_future(core.candidate.run_election(None)),
            ]
            await asyncio.sleep(0.001)
            core.guarded.lock.release()
            await asyncio.gather(*waiting)

        self.spawn(control, name, prepare_then_run)
        control.world.run(1.0)
        self.assertGreaterEqual(store.prepared.epoch, 50)
        self.assertEqual(control.world.broken_invariants, [])

    def test_an_order_under_way_when_the_backup_is_lost_is_answered_once_there_is_another(self) -> None:
        control = self.fleet()
        old, backup = control.name_with_role("primary"), control.name_with_role("backup")
        control.world.freeze(backup)
        answers = self.ask(control, old, partial(control.cores[old].decide, "register", Put(999, 5)))
        self.assertIsInstance(answers[0], Success)

    def test_a_member_that_promised_a_failed_candidate_follows_again(self) -> None:
        control = self.fleet()
        name = control.name_with_role("witness")
        witness = control.cores[name]
        prepare = ControlPrepare(control.stores[name].incarnation, Incarnation("failed"), Epoch(40))
        self.ask(control, name, lambda: witness.acceptor.prepare(prepare))
        control.world.run(1.5)
        self.assertEqual(control.leader(), "c1")
        self.assertGreater(control.epoch(), 40)
        self.assert_nothing_lost(control)

    def test_what_was_decided_but_not_journaled_is_discarded_with_the_leadership(self) -> None:
        """A promise to another candidate comes between a decision and its append; then the same daemon leads again."""
        control = self.fleet()
        core = control.cores["c1"]
        prepare = ControlPrepare(control.stores["c1"].incarnation, Incarnation("failed"), Epoch(40))

        async def prepare_before_append() -> None:
            await core.guarded.lock.acquire()
            preparing = asyncio.ensure_future(core.acceptor.prepare(prepare))
            deciding = asyncio.ensure_future(core.decide("register", Put(999, 5)))
            await asyncio.sleep(0.001)
            core.guarded.lock.release()
            await asyncio.gather(preparing, deciding)

        self.spawn(control, "c1", prepare_before_append)
        control.world.run(0.02)
        control.world.kill("c2")
        self.assertTrue(control.world.wait_for(lambda: control.leader() == "c1", 6.0), control.world.timeline(20))
        self.assert_nothing_lost_without(control, "c2")

    def assert_nothing_lost_without(self, control: ControlWorld, name: str) -> None:
        self.assertIsNotNone(control.send())
        control.world.restart(name)
        self.assert_nothing_lost(control)

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

    def ask(self, control: ControlWorld, name: str, question: Callable[[], object]) -> list[object]:
        answers: list[object] = []

        async def run() -> None:
            answers.append(await question())  # type: ignore[misc]

        control.world.spawn(control.world.processes[name], run(), "ask")
        control.world.wait_for(lambda: bool(answers), 5.0, every=0.01)
        return answers

    def test_a_proof_is_never_given_by_a_round_started_before_the_question(self) -> None:
        control = self.fleet()
        leader = control.name_with_role("primary")
        core, rounds = control.cores[leader], [0]
        seen: list[tuple[int, int]] = []
        real = core.confirmation.majority_confirms

        async def counted(leadership: object) -> bool:
            rounds[0] += 1
            return await real(leadership)  # type: ignore[arg-type]

        core.confirmation.majority_confirms = counted  # type: ignore[method-assign]

        async def prove() -> None:
            before = rounds[0]
            if await core.confirm_leadership():
                seen.append((before, rounds[0]))

        for number in range(50):
            control.world.at(control.world.now + number * 0.0002, lambda: self.spawn(control, leader, prove))
        control.world.run(1.0)
        self.assertEqual(len(seen), 50)
        self.assertTrue(all(after > before for before, after in seen))
        self.assertLess(rounds[0], 50)

    def spawn(self, control: ControlWorld, name: str, work: Callable[[], object]) -> None:
        control.world.spawn(control.world.processes[name], work(), "prove")  # type: ignore[arg-type]


if __name__ == "__main__":
    unittest.main()
