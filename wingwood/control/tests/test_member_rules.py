"""Tests of the rules of a member, message by message (docs/DESIGN.md section 7.2)."""

from __future__ import annotations

import unittest
from typing import TypeVar

import msgspec
from returns.result import Result, Success

from ...identifiers import DaemonName, Epoch, Incarnation, Instant, Seconds
from ..errors import CommandFailure
from ..journal_entries import SnapshotEntry, StateRecord
from ..leadership import Leadership
from ..messages import (
    ControlAccept,
    ControlAccepted,
    ControlConfirm,
    ControlConfirmed,
    ControlHeartbeat,
    ControlHeartbeatAnswer,
    ControlPrepare,
    ControlPrepared,
    ControlReplicate,
    ControlReplicated,
    ControlStateChunk,
)
from ..planning import ViewPlan
from ..store import encode_batch
from ..views import View, ViewMember
from .control_world import ControlWorld, Put

Reply = TypeVar("Reply", bound=msgspec.Struct)
X, Y = Incarnation("x"), Incarnation("y")


class MemberCase(unittest.TestCase):
    """``c1`` leads, ``c2`` is the backup, ``c3`` the witness; tests send messages to them in place of a member."""

    def setUp(self) -> None:
        self.control = ControlWorld(1)
        self.addCleanup(self.control.close)
        self.control.operator()
        self.assertTrue(self.control.world.wait_for(self.control.complete, 5.0))
        for _ in range(3):
            self.assertIsNotNone(self.control.send())
        self.view = self.view_of("c1")

    def view_of(self, name: str) -> View:
        view = self.control.stores[name].view
        assert view is not None
        return view

    def incarnation_of(self, name: str) -> Incarnation:
        return self.control.stores[name].incarnation

    def ask(self, name: str, message: msgspec.Struct, reply_type: type[Reply]) -> Reply:
        answers: list[Reply] = []
        client = self.control.clients["operator"]
        address = next(member.address for member in self.view.members if str(member.name) == name)

        async def run() -> None:
            match await client._messenger.call(address, message, reply_type, Seconds(1.0)):
                case Success(reply):
                    answers.append(reply)

        self.control.world.spawn(self.control.world.processes["operator"], run(), "ask")
        self.assertTrue(self.control.world.wait_for(lambda: bool(answers), 1.1, every=0.001), str(message))
        return answers[0]

    def prepare(
        self, name: str, epoch: int, candidate: Incarnation = X, to: Incarnation | None = None
    ) -> ControlPrepared:
        return self.ask(name, ControlPrepare(to or self.incarnation_of(name), candidate, Epoch(epoch)), ControlPrepared)

    def accept(self, name: str, view: View, to: Incarnation | None = None) -> bool:
        return self.ask(name, ControlAccept(to or self.incarnation_of(name), view), ControlAccepted).accepted

    def replicate(self, epoch: int, before: int, to: Incarnation | None = None, name: str = "c2") -> bool:
        entry = encode_batch(before + 1, Epoch(epoch), [StateRecord("register", msgspec.msgpack.encode((None, b"")))])
        message = ControlReplicate(to or self.incarnation_of(name), Epoch(epoch), before, 0, entry)
        return self.ask(name, message, ControlReplicated).synced

    def state(self, epoch: int, sender: Incarnation, to: Incarnation | None = None, name: str = "c2") -> bool:
        data = msgspec.msgpack.encode(SnapshotEntry(70, {}))
        message = ControlStateChunk(to or self.incarnation_of(name), sender, Epoch(epoch), 1, 0, 1, data)
        return self.ask(name, message, ControlReplicated).synced

    def new_view(self, epoch: int, primary: Incarnation) -> View:
        return View(Epoch(epoch), primary, (), self.view.members, self.view.holders)


class MemberRules(MemberCase):
    def test_an_epoch_is_promised_once_and_never_lowered(self) -> None:
        self.assertTrue(self.prepare("c3", 40).granted)
        self.assertTrue(self.prepare("c3", 40).granted, "the same candidate may ask again")
        self.assertFalse(self.prepare("c3", 40, Y).granted)
        self.assertFalse(self.prepare("c3", 39).granted)
        self.assertEqual(self.prepare("c3", 41, Y).view, self.view)
        self.assertFalse(self.prepare("c3", 50, to=Y).granted)
        self.assertEqual(self.control.stores["c3"].prepared.epoch, 41)

    def test_a_promise_outlives_a_restart_and_a_rewrite(self) -> None:
        self.prepare("c3", 40)
        self.prepare("c2", 60)
        self.assertTrue(self.state(61, X))
        self.assertEqual(self.control.stores["c2"].prepared.epoch, 61)
        for name in ("c2", "c3"):
            self.control.world.restart(name)
        self.control.world.run(0.05)
        self.assertGreaterEqual(self.control.stores["c3"].prepared.epoch, 40)
        self.assertGreaterEqual(self.control.stores["c2"].prepared.epoch, 61)
        self.assertEqual((self.view_of("c2").epoch, self.control.stores["c2"].sequence), (self.view.epoch, 70))

    def test_a_primary_that_promises_another_epoch_stops_leading_at_once(self) -> None:
        self.assertTrue(self.control.leads("c1"))
        self.assertTrue(self.prepare("c1", 40).granted)
        self.assertFalse(self.control.leads("c1"))

    def test_views_below_the_promise_or_of_another_candidate_are_refused(self) -> None:
        self.prepare("c3", 40)
        self.assertFalse(self.accept("c3", self.new_view(39, X)))
        self.assertFalse(self.accept("c3", self.new_view(40, Y)))
        self.assertFalse(self.accept("c3", self.new_view(41, X), to=Y))
        self.assertEqual(self.view_of("c3"), self.view)
        self.assertTrue(self.accept("c3", self.new_view(40, X)))
        self.assertEqual(self.view_of("c3"), self.new_view(40, X))
        self.assertEqual(self.prepare("c3", 41, Y).view, self.new_view(40, X))

    def test_a_backup_accepts_batches_of_its_view_in_order_only(self) -> None:
        self.control.world.kill("c1")
        epoch, sequence = self.view.epoch, self.control.stores["c2"].sequence
        self.assertEqual(sequence, 3)
        self.assertFalse(self.replicate(epoch, 1))
        self.assertFalse(self.replicate(epoch, 4))
        self.assertFalse(self.replicate(epoch + 1, 3))
        self.assertFalse(self.replicate(epoch, 3, to=Y))
        self.assertFalse(self.replicate(epoch, 0, name="c3"), "a witness accepts none")
        self.assertTrue(self.replicate(epoch, 3))
        self.assertTrue(self.replicate(epoch, 3), "the same batch again")
        self.assertEqual(self.control.stores["c2"].sequence, 4)
        self.prepare("c2", epoch + 1)
        self.assertFalse(self.replicate(epoch, 4))

    def test_a_state_is_accepted_only_under_an_epoch_not_promised_to_another(self) -> None:
        self.prepare("c2", 40)
        self.assertFalse(self.state(39, X))
        self.assertFalse(self.state(40, Y))
        self.assertFalse(self.state(41, X, to=Y))
        self.assertEqual(self.control.stores["c2"].sequence, 3)
        self.assertTrue(self.state(41, X))
        self.assertEqual(self.control.stores["c2"].sequence, 70)
        self.assertFalse(self.prepare("c2", 41, Y).granted)

    def test_a_journaled_batch_is_applied_only_when_it_is_committed(self) -> None:
        self.control.world.kill("c1")
        self.replicate(self.view.epoch, 3)
        core = self.control.cores["c2"]
        self.assertEqual((core.replica.applied, core.replica.committed), (3, 3))

    def test_a_proof_is_confirmed_unless_a_higher_epoch_was_promised(self) -> None:
        def confirm(epoch: int, to: Incarnation | None = None) -> bool:
            message = ControlConfirm(to or self.incarnation_of("c3"), Epoch(epoch))
            return self.ask("c3", message, ControlConfirmed).confirmed

        self.assertTrue(confirm(self.view.epoch))
        self.assertFalse(confirm(self.view.epoch, to=Y))
        self.prepare("c3", 40)
        self.assertFalse(confirm(self.view.epoch))
        self.assertTrue(confirm(40))

    def test_a_heartbeat_is_accepted_under_the_accepted_view_only(self) -> None:
        def beat(epoch: int, to: Incarnation | None = None) -> bool:
            message = ControlHeartbeat(to or self.incarnation_of("c3"), self.incarnation_of("c1"), Epoch(epoch), 0)
            return self.ask("c3", message, ControlHeartbeatAnswer).accepted

        self.assertTrue(beat(self.view.epoch))
        self.assertFalse(beat(self.view.epoch + 1))
        self.assertFalse(beat(self.view.epoch, to=Y))
        self.prepare("c3", 40)
        self.assertFalse(beat(self.view.epoch))

    def test_answers_of_another_incarnation_are_ignored(self) -> None:
        core, member = self.control.cores["c1"], self.view.members[2]
        replaced = type(member)(Y, member.name, member.address)
        answers: list[object] = []

        async def run() -> None:
            answers.extend(
                [
                    await core.peers.ask(asked, ControlConfirm(asked.incarnation, Epoch(9)), ControlConfirmed)
                    for asked in (member, replaced)
                ]
            )

        self.control.world.spawn(self.control.world.processes["c1"], run(), "ask")
        self.control.world.run(0.1)
        self.assertIsInstance(answers[0], ControlConfirmed)
        self.assertIsNone(answers[1])

    def test_a_late_answer_is_unknown(self) -> None:
        """The process is frozen past the deadline while the answer is ready to be delivered."""
        core, given_answers = self.control.cores["c1"], list[Result[msgspec.Struct, CommandFailure]]()

        async def run() -> None:
            given_answers.append(await core.decide("register", Put(500, 3), Seconds(0.5)))

        core.on_commit(lambda: self.control.world.freeze("c1"))
        self.control.world.spawn(self.control.world.processes["c1"], run(), "late")
        self.control.world.run(0.9)
        self.assertEqual(given_answers, [])
        self.control.world.wake("c1")
        self.control.world.run(0.1)
        self.assertEqual([answer.failure().kind for answer in given_answers], ["unknown"])


class EmptyMemberRules(unittest.TestCase):
    def test_a_machine_that_made_an_ordinary_promise_forms_no_fleet(self) -> None:
        control = ControlWorld(1, start=("c1",))
        self.addCleanup(control.close)
        control.world.run(0.05)
        core, granted = control.cores["c1"], list[bool]()

        async def run() -> None:
            for epoch, forming in ((5, True), (6, False), (7, True)):
                prepare = ControlPrepare(control.stores["c1"].incarnation, X, Epoch(epoch), forming)
                granted.append((await core.acceptor.prepare(prepare)).granted)

        control.world.spawn(control.world.processes["c1"], run(), "promise")
        control.world.run(0.1)
        self.assertEqual(granted, [True, True, False])


class CandidateRules(MemberCase):
    """``c2``, the backup of the view, is a candidate; the test supplies the answers of the others."""

    def setUp(self) -> None:
        super().setUp()
        for name in ("c1", "c3"):
            self.control.world.kill(name)
        self.core = self.control.cores["c2"]
        self.one, self.two, self.three = self.view.members
        self.grants: dict[Incarnation, View | None] = {}
        """The members that grant a promise, and the view that each reports."""
        self.acceptors: set[Incarnation] = set()
        self.sequences: dict[Incarnation, int] = {}
        """How many batches an acceptor has, if not 3 as the candidate has."""
        self.asked: list[tuple[str, Incarnation]] = []
        self.core.peers.ask = self.answer  # type: ignore[method-assign, assignment]

    async def answer(
        self, member: ViewMember, message: msgspec.Struct, _: object, __: object = None
    ) -> msgspec.Struct | None:
        self.asked.append((type(message).__name__, member.incarnation))
        match message:
            case ControlPrepare(epoch=epoch) if member.incarnation in self.grants:
                return ControlPrepared(member.incarnation, True, epoch, self.grants[member.incarnation])
            case ControlAccept(view=view) if member.incarnation in self.acceptors:
                return ControlAccepted(member.incarnation, True, view.epoch, self.sequences.get(member.incarnation, 3))
            case ControlStateChunk(epoch=epoch):
                return ControlReplicated(member.incarnation, True, epoch)
        return None

    def run_election(self, plan: ViewPlan | None = None) -> View | None:
        views: list[View | None] = []

        async def run() -> None:
            views.append(await self.core.candidate.run_election(plan))

        self.control.world.spawn(self.control.world.processes["c2"], run(), "stand")
        self.assertTrue(self.control.world.wait_for(lambda: bool(views), 3.0, every=0.01))
        return views[0]

    def test_a_majority_must_grant_and_a_majority_must_accept(self) -> None:
        self.assertIsNone(self.run_election())
        self.grants = {self.three.incarnation: self.view}
        self.assertIsNone(self.run_election())
        self.acceptors = {self.three.incarnation}
        view = self.run_election()
        assert view is not None
        self.assertEqual((view.primary, view.backups, view.holders), (self.two.incarnation, (), self.view.holders))

    def test_a_candidate_that_is_no_holder_of_the_latest_granted_view_gives_up(self) -> None:
        self.acceptors = {self.three.incarnation}
        newer = View(Epoch(7), self.one.incarnation, (self.three.incarnation,), self.view.members, (X, Y))
        self.grants = {self.three.incarnation: newer}
        self.assertIsNone(self.run_election())
        self.assertNotIn("ControlAccept", [name for name, _ in self.asked])

    def test_members_of_a_newer_view_are_asked_too(self) -> None:
        new, newer = ViewMember(X, DaemonName("x"), self.one.address), ViewMember(Y, DaemonName("y"), self.one.address)
        view = View(Epoch(7), self.two.incarnation, (), (self.two, new, newer), self.view.holders)
        self.grants = {self.three.incarnation: view}
        self.acceptors = {self.three.incarnation, X}
        self.assertIsNone(self.run_election())
        self.assertIn(("ControlPrepare", X), self.asked)
        self.grants[X] = view
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
                self.grants = {self.three.incarnation: None}
                self.acceptors = set(acceptors)
                view = self.run_election(ViewPlan((backup,), members, current))
                self.assertEqual(view is not None, won)
                self.setUp()

    def test_a_planned_backup_must_have_as_many_batches_as_the_primary(self) -> None:
        self.grants = {self.three.incarnation: None}
        self.acceptors = {self.three.incarnation}
        self.sequences = {self.three.incarnation: 2}
        self.assertIsNone(self.run_election(ViewPlan((self.three,), self.view.members, self.view)))
        self.sequences = {}
        self.assertIsNotNone(self.run_election(ViewPlan((self.three,), self.view.members, self.view_of("c2"))))

    def test_a_view_with_other_members_that_too_few_accepted_still_needs_the_former_ones(self) -> None:
        """Otherwise the newcomer of the first attempt and its primary could lead beside the two former members."""
        newcomer = ViewMember(X, DaemonName("x"), self.one.address)
        plan = ViewPlan((newcomer,), (self.two, newcomer, self.three), self.view)
        self.grants = {self.three.incarnation: self.view}
        self.acceptors = {X}
        self.assertIsNone(self.run_election(plan))
        self.assertEqual(self.view_of("c2").former, self.view.members)
        self.grants = {X: self.view_of("c2")}
        self.acceptors = {X}
        self.assertIsNone(self.run_election(plan))
        self.assertIsNone(self.run_election())
        self.grants = {X: self.view_of("c2"), self.three.incarnation: self.view}
        self.acceptors = {X, self.three.incarnation}
        won = self.run_election(plan)
        assert won is not None
        self.assertEqual((won.former, self.view_of("c2")), ((), won))

    def test_a_plan_is_dropped_when_another_view_was_accepted_meanwhile(self) -> None:
        other = View(Epoch(7), self.one.incarnation, (), self.view.members, self.view.holders)
        self.grants = {self.three.incarnation: other}
        self.acceptors = {self.three.incarnation}
        view = self.run_election(ViewPlan((self.three,), self.view.members, self.view))
        assert view is not None
        self.assertEqual((view.backups, view.holders), ((), self.view.holders))

    def test_a_candidate_defers_to_another_holder_with_more_batches(self) -> None:
        answer = self.core.peers.ask

        async def longer(member: ViewMember, message: msgspec.Struct, *rest: object) -> msgspec.Struct | None:
            reply = await answer(member, message, *rest)  # type: ignore[arg-type, func-returns-value]
            return msgspec.structs.replace(reply, sequence=99) if isinstance(reply, ControlPrepared) else reply

        self.grants = {self.one.incarnation: self.view, self.three.incarnation: self.view}
        self.acceptors = {self.three.incarnation}
        self.core.peers.ask = longer  # type: ignore[method-assign, assignment]
        self.assertIsNone(self.run_election())

    def test_a_new_primary_proves_nothing_before_it_has_a_backup(self) -> None:
        """Its predecessor may have acknowledged batches that it does not know to be committed."""
        self.grants = {self.three.incarnation: self.view}
        self.acceptors = {self.three.incarnation}
        view = self.run_election()
        assert view is not None
        confirmations: list[bool] = []

        async def confirm(member: ViewMember, message: msgspec.Struct, *_: object) -> msgspec.Struct | None:
            return ControlConfirmed(member.incarnation, True, view.epoch)

        self.core.peers.ask = confirm  # type: ignore[method-assign, assignment]

        async def run() -> None:
            leadership = Leadership(view, Instant(self.control.world.now))
            self.core.leadership.begin(leadership)
            confirmations.append(await self.core.confirmation.majority_confirms(leadership))
            leadership.commit_known = True
            confirmations.append(await self.core.confirmation.majority_confirms(leadership))

        self.control.world.spawn(self.control.world.processes["c2"], run(), "prove")
        self.control.world.run(0.05)
        self.assertEqual(confirmations, [False, True])


class Majorities(unittest.TestCase):
    def test_only_members_count(self) -> None:
        control = ControlWorld(1)
        self.addCleanup(control.close)
        self.assertTrue(control.world.wait_for(control.complete, 5.0))
        view = control.stores["c1"].view
        assert view is not None
        one, two, three = view.incarnations()
        self.assertTrue(view.majority({one, two}))
        self.assertTrue(view.majority({one, two, three}))
        self.assertFalse(view.majority({one, X, Y}))
        self.assertFalse(view.majority(set()))


if __name__ == "__main__":
    unittest.main()
