"""Tests of orders with the operator's own edition numbers while daemons fail (docs/DESIGN.md section 5.8)."""

from __future__ import annotations

import unittest

import msgspec
from returns.result import Failure, Result, Success

from ...bundle.commands import SubmitEdition
from ...bundle.editions import EDITION_SLICE, edition_number_in
from ...bundle.errors import BundleReadError
from ...bundle.model import EditionChange, OrderOutcome
from ...bundle.reading import LocalBundleReader, RemoteBundleReader
from ...bundle.state import BundleState
from ...bundle.state_records import DecidedOrder
from ...bundle.tests.samples import OPERATOR_KEYS, SIGNING_KEY, edition_change, sample_slices
from ...context.protocols import Context
from ...identifiers import BundleVersion, OrderId, Seconds
from ...operator_api.editions import EditionClient, LatestEdition
from ..client import ControlClient
from ..errors import CommandFailure
from .edition_world import Answer, EditionWalk, EditionWorld

RUN_EACH_ALONE = True
DAEMONS = ("c1", "c2", "c3")


def outcome_of(answer: Answer | None) -> str:
    match answer:
        case Success(OrderOutcome() as outcome):
            return outcome.outcome
        case Failure(CommandFailure() as fault):
            return fault.kind
    return "none"


class EditionCase(unittest.TestCase):
    def setUp(self) -> None:
        self.control = EditionWorld(1)
        self.addCleanup(self.control.close)
        self.slices = sample_slices()
        self.assertTrue(self.control.world.wait_for(self.control.complete, 5.0))
        self.sent: list[EditionChange] = []
        for base, number in ((0, 5), (5, 6), (6, 9)):
            self.accept("c1", base, number)

    def accept(self, name: str, base: int, number: int) -> None:
        change = edition_change(base, number, self.slices)
        self.assertEqual(outcome_of(self.control.submit(name, change)), "accepted")
        self.sent.append(change)

    def assert_nothing_lost(self, *names: str) -> None:
        """Checks that each daemon acknowledges all accepted orders again, refuses others, and reads the latest back."""
        self.assertTrue(self.control.world.wait_for(self.control.complete, 15.0), self.control.world.timeline(40))
        newest = self.sent[-1].number
        for name in names or DAEMONS:
            for change in self.sent:
                self.assertEqual(outcome_of(self.control.submit(name, change)), "accepted", (name, change.order))
            late = edition_change(self.sent[0].number, 99, self.slices, "late")
            self.assertEqual(outcome_of(self.control.submit(name, late)), "conflict")
            self.assertEqual(self.control.newest_number(name), newest)
        self.assertEqual(self.control.world.broken_invariants, [])


class ResendingTests(EditionCase):
    """An accepted order that is sent again is acknowledged again, whatever failed in between."""

    def test_to_any_daemon(self) -> None:
        self.assert_nothing_lost()
        self.accept("c3", 9, 12)
        self.assert_nothing_lost()

    def test_after_a_failover(self) -> None:
        self.control.world.kill("c1")
        self.accept("c2", 9, 10)
        self.control.world.restart("c1")
        self.assert_nothing_lost()

    def test_after_all_were_killed_and_came_back_with_their_disks(self) -> None:
        for name in DAEMONS:
            self.control.world.kill(name)
        for name in DAEMONS:
            self.control.world.restart(name)
        self.assert_nothing_lost()

    def test_after_a_loss_of_power_of_all_with_one_disk_gone(self) -> None:
        for name in DAEMONS:
            self.control.world.power_off(name)
        self.control.world.wipe("c1")
        for name in DAEMONS:
            self.control.world.power_on(name)
        self.assert_nothing_lost()

    def test_after_one_by_one_was_replaced_by_an_empty_machine(self) -> None:
        for lost, fresh in (("c1", "s1"), ("c2", "s2")):
            self.control.world.power_off(lost)
            self.control.start(fresh)
            self.assertTrue(self.control.world.wait_for(self.control.complete, 15.0))
        self.assert_nothing_lost("c3", "s1", "s2")


class RaceTests(EditionCase):
    """Of several changes on one base exactly one is accepted, also during a failover."""

    def test_of_two_on_one_base_exactly_one_wins(self) -> None:
        for turn in range(6):
            base = 9 + turn
            changes = [edition_change(base, base + 1, self.slices, f"{base}-{name}") for name in DAEMONS]
            racing = [self.control.start_submit(*each) for each in zip(DAEMONS, changes, strict=True)]
            self.assertTrue(self.control.world.wait_for(lambda: all(map(bool, racing)), 5.0))  # noqa: B023
            outcomes = [outcome_of(answers[0]) for answers in racing]
            self.assertEqual(sorted(outcomes), ["accepted", "conflict", "conflict"])
            self.sent.append(changes[outcomes.index("accepted")])
        self.assert_nothing_lost()

    def test_a_race_during_a_failover_has_one_winner_too(self) -> None:
        changes = [edition_change(9, 10, self.slices, name) for name in ("one", "two")]
        racing = [self.control.start_submit(*each) for each in zip(("c2", "c3"), changes, strict=True)]
        self.control.world.run(0.003)
        self.control.world.kill("c1")
        self.assertTrue(self.control.world.wait_for(lambda: all(map(bool, racing)), 8.0))
        self.control.world.restart("c1")
        self.assertTrue(self.control.world.wait_for(self.control.complete, 15.0))
        outcomes = [outcome_of(self.control.submit("c1", change)) for change in changes]
        self.assertEqual(sorted(outcomes), ["accepted", "conflict"])
        for before, after in zip(racing, outcomes, strict=True):
            self.assertIn(outcome_of(before[0]), (after, "unknown", "not-leading"))
        self.sent.append(changes[outcomes.index("accepted")])
        self.assert_nothing_lost()


class LostAnswerTests(EditionCase):
    """A change whose answer was lost must be acknowledged, not refused by its own edition, when it is repeated."""

    def test_an_order_whose_answer_was_lost_is_acknowledged_when_it_comes_again(self) -> None:
        partitions = [self.control.world.cut(name, "c3", both_ways=False) for name in ("c1", "c2")]
        change = edition_change(9, 10, self.slices)
        first = outcome_of(self.control.submit("c3", change, timeout=8.0))
        self.assertIn(first, ("unknown", "not-leading", "none"))
        for cut in partitions:
            self.control.world.heal(cut)
        self.assertEqual(outcome_of(self.control.submit("c2", change)), "accepted")
        self.sent.append(change)
        self.assert_nothing_lost()

    def test_a_primary_that_is_lost_before_it_could_answer(self) -> None:
        change = edition_change(9, 10, self.slices)
        answers = self.control.start_submit("c1", change)
        self.control.world.run(0.002)
        self.control.world.kill("c1")
        self.control.world.run(0.5)
        self.assertEqual(answers, [])
        self.control.world.restart("c1")
        self.assertTrue(self.control.world.wait_for(self.control.complete, 15.0))
        self.assertEqual(outcome_of(self.control.submit("c3", change)), "accepted")
        self.sent.append(change)
        self.assert_nothing_lost()


class ReadingTests(EditionCase):
    """A daemon without a confirmation of the primary must answer that it cannot read, never with an older edition."""

    def test_a_daemon_that_is_cut_off_reads_nothing_back(self) -> None:
        for name in DAEMONS:
            cut = self.control.world.cut_off(name)
            self.assertIsNone(self.control.newest_number(name))
            self.control.world.heal(cut)
            self.assertTrue(self.control.world.wait_for(self.control.complete, 15.0))
            self.assertEqual(self.control.newest_number(name), 9)

    def test_without_a_leader_there_is_no_answer_and_no_refusal(self) -> None:
        self.control.world.kill("c1")
        self.control.world.kill("c2")
        self.control.world.run(4.0)
        self.assertIsNone(self.control.newest_number("c3"))
        for change in (self.sent[-1], edition_change(0, 1, self.slices, "stale")):
            self.assertIn(outcome_of(self.control.submit("c3", change)), ("unknown", "not-leading"))

    def test_before_the_first_edition_it_is_confirmed_that_there_is_none(self) -> None:
        control = EditionWorld(2)
        self.addCleanup(control.close)
        self.assertTrue(control.world.wait_for(control.complete, 5.0))
        self.assertEqual([control.newest_number(name) for name in DAEMONS], [0, 0, 0])


class RandomWalkTests(unittest.TestCase):
    def walk(self, seed: int) -> None:
        walk = EditionWalk(seed)
        self.assertEqual(walk.run(40.0), [])
        self.assertGreater(len(walk.observer.accepted), 10)
        self.assertGreater(walk.reads, 10)

    def test_seed_1(self) -> None:
        self.walk(1)

    def test_seed_2(self) -> None:
        self.walk(2)

    def test_seed_3(self) -> None:
        self.walk(3)

    def test_seed_4(self) -> None:
        self.walk(4)


class ForgetsEditions(BundleState):
    """Stores no accepted order, so that a repeated order conflicts with its own edition."""

    def _add_decided(self, entry: DecidedOrder) -> None:
        super()._add_decided(entry)
        self._decided.pop(entry.order, None)


class KeepsRefusals(BundleState):
    """Repeats an earlier refusal, even when the edition would be accepted now."""

    def __init__(self) -> None:
        super().__init__(OPERATOR_KEYS, signing_key=SIGNING_KEY)
        self.refused: dict[OrderId, OrderOutcome] = {}

    def decide(self, command: msgspec.Struct) -> tuple[bytes | None, msgspec.Struct]:
        if not isinstance(command, SubmitEdition):
            return super().decide(command)
        order = command.change.order
        if order in self.refused:
            return None, self.refused[order]
        record, outcome = super().decide(command)
        assert isinstance(outcome, OrderOutcome)
        if outcome.outcome != "accepted":
            self.refused[order] = outcome
        return record, outcome


class AnyBaseWins(BundleState):
    """Accepts a change on any base and checks its number alone."""

    _asked: int | None = None

    def edition_number(self) -> int:
        return super().edition_number() if self._asked is None else self._asked

    def decide(self, command: msgspec.Struct) -> tuple[bytes | None, msgspec.Struct]:
        if not isinstance(command, SubmitEdition):
            return super().decide(command)
        self._asked = command.change.base
        decided = super().decide(command)
        self._asked = None
        return decided


class ReadsWithoutConfirmation(EditionClient):
    """Returns what this daemon knows to be durable, without a confirmation from the primary."""

    def __init__(self, control: ControlClient, local: LocalBundleReader, context: Context) -> None:
        super().__init__(control, (local,), context.clock, Seconds(3.0))
        self._local = local

    async def latest(self) -> Result[LatestEdition | None, BundleReadError]:
        answer = self._local.read_bundle(BundleVersion(0))
        if answer.view is None:
            return Failure(BundleReadError("none"))
        return Success(LatestEdition(edition_number_in(answer.view.slices[EDITION_SLICE]), answer.view))


class BrokenVariantTests(unittest.TestCase):
    """Each broken variant must be caught; the walks are the same as in ``RandomWalkTests``."""

    def assert_caught(self, walk: EditionWalk, fault: str) -> None:
        faults = walk.run(40.0)
        self.assertTrue(any(fault in each for each in faults), faults)

    def test_a_state_that_forgets_accepted_orders(self) -> None:
        walk = EditionWalk(1, lambda: ForgetsEditions(OPERATOR_KEYS, signing_key=SIGNING_KEY))
        self.assert_caught(walk, "was accepted, then conflict")

    def test_a_state_that_accepts_any_base(self) -> None:
        walk = EditionWalk(1, lambda: AnyBaseWins(OPERATOR_KEYS, signing_key=SIGNING_KEY))
        self.assert_caught(walk, "were both accepted")

    def test_a_state_that_repeats_earlier_refusals(self) -> None:
        """An order that came before its base must be accepted once its base is there."""
        early, taken = edition_change(1, 2, sample_slices(), "early"), edition_change(0, 1, sample_slices())
        for make, last in ((KeepsRefusals, "conflict"), (signing, "accepted")):
            control = EditionWorld(1, make)
            self.addCleanup(control.close)
            self.assertTrue(control.world.wait_for(control.complete, 5.0))
            answers = [outcome_of(control.submit("c2", change)) for change in (early, taken, early)]
            self.assertEqual(answers, ["conflict", "accepted", last])

    def test_a_reader_without_confirmation(self) -> None:
        def unconfirmed(
            control: ControlClient, local: LocalBundleReader, _: RemoteBundleReader, context: Context
        ) -> EditionClient:
            return ReadsWithoutConfirmation(control, local, context)

        self.assert_caught(EditionWalk(1, make_client=unconfirmed), "was acknowledged before")


def signing() -> BundleState:
    return BundleState(OPERATOR_KEYS, signing_key=SIGNING_KEY)


if __name__ == "__main__":
    unittest.main()
