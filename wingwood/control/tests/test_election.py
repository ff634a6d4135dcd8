"""Tests of elections: both phases need a quorum, and the winner needs the state."""

from __future__ import annotations

import asyncio
import unittest

import msgspec

from ...identifiers import DaemonName, Epoch, Incarnation
from ..messages import (
    ControlPrepare,
    ControlPrepared,
)
from ..planning import ViewPlan
from ..views import View, ViewMember
from .control_case import ControlCase
from .election_case import ElectionCase
from .member_case import X, Y


class ElectionTests(ElectionCase):
    def test_a_majority_must_prepare_and_a_majority_must_accept(self) -> None:
        self.assertIsNone(self.run_election())
        self.granting = {self.three.incarnation: self.view}
        self.assertIsNone(self.run_election())
        self.acceptors = {self.three.incarnation}
        view = self.run_election()
        assert view is not None
        self.assertEqual((view.primary, view.backups, view.holders), (self.two.incarnation, (), self.view.holders))

    def test_a_candidate_that_is_no_holder_of_the_latest_view_abandons(self) -> None:
        self.acceptors = {self.three.incarnation}
        newer = View(Epoch(7), self.one.incarnation, (self.three.incarnation,), self.view.members, (X, Y))
        self.granting = {self.three.incarnation: newer}
        self.assertIsNone(self.run_election())
        self.assertNotIn("ControlAccept", [name for name, _ in self.asked])

    def test_members_of_a_newer_view_are_asked_too(self) -> None:
        new, newer = ViewMember(X, DaemonName("x"), self.one.address), ViewMember(Y, DaemonName("y"), self.one.address)
        view = View(Epoch(7), self.two.incarnation, (), (self.two, new, newer), self.view.holders)
        self.granting = {self.three.incarnation: view}
        self.acceptors = {self.three.incarnation, X}
        self.assertIsNone(self.run_election())
        self.assertIn(("ControlPrepare", X), self.asked)
        self.granting[X] = view
        won = self.run_election()
        assert won is not None
        self.assertEqual(won.members, view.members)

    def test_a_planned_view_needs_the_old_and_the_new_majority_and_its_backup(self) -> None:
        new, newer = ViewMember(X, DaemonName("x"), self.one.address), ViewMember(Y, DaemonName("y"), self.one.address)
        for members, backup, acceptors, won in (
            ((self.two, new, self.three), new, {X}, False),
            ((self.two, new, self.three), new, {X, self.three.incarnation}, True),
            ((self.two, new, self.three), new, {self.three.incarnation}, False),
            ((self.two, new, newer), self.three, {self.three.incarnation}, False),
            ((self.two, new, newer), self.three, {self.three.incarnation, X}, True),
        ):
            with self.subTest(members=members, backup=backup, acceptors=acceptors):
                current = self.view_of("c2")
                self.granting = {self.three.incarnation: None}
                self.acceptors = set(acceptors)
                view = self.run_election(ViewPlan((backup,), members, current))
                self.assertEqual(view is not None, won)
                self.setUp()

    def test_a_planned_backup_must_have_as_many_batches_as_the_primary(self) -> None:
        self.granting = {self.three.incarnation: None}
        self.acceptors = {self.three.incarnation}
        self.sequences = {self.three.incarnation: 2}
        self.assertIsNone(self.run_election(ViewPlan((self.three,), self.view.members, self.view)))
        self.sequences = {}
        self.assertIsNotNone(self.run_election(ViewPlan((self.three,), self.view.members, self.view_of("c2"))))

    def test_a_view_with_other_members_that_too_few_accepted_still_needs_the_former_ones(self) -> None:
        """Otherwise the newcomer of the first attempt and its primary could lead beside the two former members."""
        newcomer = ViewMember(X, DaemonName("x"), self.one.address)
        plan = ViewPlan((newcomer,), (self.two, newcomer, self.three), self.view)
        self.granting = {self.three.incarnation: self.view}
        self.acceptors = {X}
        self.assertIsNone(self.run_election(plan))
        self.assertEqual(self.view_of("c2").former, self.view.members)
        self.granting = {X: self.view_of("c2")}
        self.acceptors = {X}
        self.assertIsNone(self.run_election(plan))
        self.assertIsNone(self.run_election())
        self.granting = {X: self.view_of("c2"), self.three.incarnation: self.view}
        self.acceptors = {X, self.three.incarnation}
        won = self.run_election(plan)
        assert won is not None
        self.assertEqual((won.former, self.view_of("c2")), ((), won))

    def test_a_plan_is_dropped_when_another_view_was_accepted_meanwhile(self) -> None:
        other = View(Epoch(7), self.one.incarnation, (), self.view.members, self.view.holders)
        self.granting = {self.three.incarnation: other}
        self.acceptors = {self.three.incarnation}
        view = self.run_election(ViewPlan((self.three,), self.view.members, self.view))
        assert view is not None
        self.assertEqual((view.backups, view.holders), ((), self.view.holders))

    def test_a_candidate_defers_to_another_holder_with_more_batches(self) -> None:
        answer = self.core.peers.ask

        async def longer(member: ViewMember, message: msgspec.Struct, *rest: object) -> msgspec.Struct | None:
            reply = await answer(member, message, *rest)  # type: ignore[arg-type, func-returns-value]
            return msgspec.structs.replace(reply, sequence=99) if isinstance(reply, ControlPrepared) else reply

        self.granting = {self.one.incarnation: self.view, self.three.incarnation: self.view}
        self.acceptors = {self.three.incarnation}
        self.core.peers.ask = longer  # type: ignore[method-assign, assignment]
        self.assertIsNone(self.run_election())


class ConcurrentElectionTests(ControlCase):
    """Elections among requests to prepare for other candidates."""

    def test_an_election_never_lowers_an_epoch_prepared_meanwhile(self) -> None:
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

    def test_a_member_that_prepared_for_a_failed_candidate_follows_again(self) -> None:
        control = self.fleet()
        name = control.name_with_role("witness")
        witness = control.cores[name]
        prepare = ControlPrepare(control.stores[name].incarnation, Incarnation("failed"), Epoch(40))
        self.ask(control, name, lambda: witness.acceptor.prepare(prepare))
        control.world.run(1.5)
        self.assertEqual(control.leader(), "c1")
        self.assertGreater(control.epoch(), 40)
        self.assert_nothing_lost(control)


if __name__ == "__main__":
    unittest.main()
