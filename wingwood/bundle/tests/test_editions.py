"""Tests of orders with the operator's own edition numbers (docs/DESIGN.md section 5.8)."""

from __future__ import annotations

import asyncio
import time
import unittest
from typing import Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from ...identifiers import BundleVersion, ClassName, OrderId, SliceName, WallTime
from ..commands import FindEdition, SubmitEdition
from ..editions import EDITION_SLICE
from ..model import Bundle, Edition, EditionChange, EditionStatus, OrderOutcome, PriorityClass
from ..parse import apply_delta
from ..signing import verify_manifest
from ..state import BundleState
from .samples import (
    OPERATOR_KEYS,
    SIGNER,
    SIGNING_KEY,
    edition_change,
    order_between,
    sample_slices,
    slice_of,
    submit,
    submit_edition,
)

Slices = dict[SliceName, bytes]
CHANGED_CLASS = dict([slice_of(PriorityClass(name=ClassName("gold"), weight=8.0))])
"""A change of one slice of the sample slices."""


def new_state(**changes: Any) -> BundleState:
    """Returns an empty bundle state that signs editions."""
    return BundleState(OPERATOR_KEYS, signing_key=SIGNING_KEY, wall_clock=lambda: WallTime(5.0), **changes)


def restarted(state: BundleState, **changes: Any) -> BundleState:
    """Returns a new state restored from a snapshot, as after a restart."""
    fresh = new_state(**changes)
    fresh.restore(state.snapshot())
    return fresh


def latest_slices(state: BundleState) -> Slices:
    """Returns the slices of the latest version."""
    slices = state.slices_at(state.version)
    assert slices is not None
    return slices


def edition_status(state: BundleState, order: str = "") -> EditionStatus:
    """Returns the reply to ``FindEdition``."""
    record, answer = state.decide(FindEdition(OrderId(order)))
    assert record is None and isinstance(answer, EditionStatus)
    return answer


class EditionTest(unittest.TestCase):
    """Guards against lost or doubly accepted edition orders.

    Such faults arise when an operator resends an order after a lost reply, when two writers use the same base, or when
    a primary that restarted or took over decides differently from the one before it.
    """

    def setUp(self) -> None:
        self.state = new_state()
        self.slices = sample_slices()
        self.first = edition_change(0, 7, self.slices)
        self.accepted = submit_edition(self.state, self.first)

    def test_bundle_is_signed_and_contains_the_edition(self) -> None:
        self.assertEqual((self.accepted.outcome, self.accepted.version, self.accepted.edition), ("accepted", 1, 7))
        manifest = self.state.manifest_at(BundleVersion(1))
        assert manifest is not None
        self.assertIsNone(verify_manifest(manifest, (SIGNER,)))
        self.assertEqual((manifest.order, manifest.signed_at, manifest.base), (self.first.order, 5.0, 0))
        edition = msgspec.json.decode(latest_slices(self.state)[EDITION_SLICE], type=Edition)
        self.assertEqual(edition, Edition(number=7))
        self.assertEqual(
            {name: data for name, data in latest_slices(self.state).items() if name != EDITION_SLICE}, self.slices
        )
        delta = self.state.delta_since(BundleVersion(0), BundleVersion(1))
        assert delta is not None
        before: Bundle = apply_delta(None, delta, (SIGNER,)).unwrap()
        assert before.edition is not None
        self.assertEqual(before.edition.number, 7)

    def test_base_and_number_decide_the_outcome(self) -> None:
        for base, number, outcome in (
            (0, 9, "conflict"),
            (5, 9, "conflict"),
            (8, 9, "conflict"),
            (7, 7, "invalid"),
            (7, 3, "invalid"),
            (0, 3, "conflict"),
            (7, 9, "accepted"),
            (7, 10, "conflict"),
            (9, 12, "accepted"),
        ):
            change = edition_change(base, number, CHANGED_CLASS, replaces_all=False)
            self.assertEqual(submit_edition(self.state, change).outcome, outcome, (base, number))
        self.assertEqual((edition_status(self.state).number, edition_status(self.state).version), (12, 3))

    def test_resent_accepted_order_gets_its_first_outcome(self) -> None:
        second = edition_change(7, 9, CHANGED_CLASS, replaces_all=False)
        submit_edition(self.state, second)
        backup = new_state()
        primary = new_state()
        for change in (self.first, second):
            record, _ = primary.decide(SubmitEdition(change))
            assert record is not None
            primary.apply(record)
            backup.apply(record)
        for state in (self.state, restarted(self.state), backup, restarted(backup)):
            self.assertEqual(state.decide(SubmitEdition(self.first)), (None, self.accepted))
            again = msgspec.structs.replace(self.first, changed={**self.slices, **CHANGED_CLASS})
            self.assertEqual(state.decide(SubmitEdition(again)), (None, self.accepted))
            outcome = edition_status(state, self.first.order).outcome
            assert outcome is not None
            self.assertEqual((outcome.outcome, outcome.version), ("accepted", 1))
            self.assertIsNone(edition_status(state, "other").outcome)
        self.assertEqual(primary.snapshot(), backup.snapshot())

    def test_refused_edition_orders_are_not_remembered(self) -> None:
        early = edition_change(9, 12, CHANGED_CLASS, "early", replaces_all=False)
        self.assertEqual(submit_edition(self.state, early).outcome, "conflict")
        submit_edition(self.state, edition_change(7, 9, CHANGED_CLASS, replaces_all=False))
        self.assertEqual(submit_edition(self.state, early).outcome, "accepted")
        before = self.state.snapshot()
        submit_edition(self.state, edition_change(12, 13, {SliceName("class/gold"): b"{}"}, "bad", replaces_all=False))
        self.assertEqual(self.state.snapshot(), before)

    def test_order_id_of_another_order_is_invalid(self) -> None:
        for base, number in ((7, 9), (0, 9)):
            outcome = submit_edition(
                self.state, edition_change(base, number, CHANGED_CLASS, self.first.order, replaces_all=False)
            )
            self.assertEqual(outcome.outcome, "invalid")
            self.assertIn("used before", outcome.reason)
        signed = order_between(1, latest_slices(self.state), {**latest_slices(self.state), **CHANGED_CLASS}, "mine")
        self.assertEqual(submit(self.state, signed).outcome, "accepted")
        self.assertEqual(
            submit_edition(self.state, edition_change(7, 9, {}, "mine", replaces_all=False)).outcome, "invalid"
        )

    def test_invalid_edition_is_refused_with_the_reason(self) -> None:
        for changed, reason in (
            ({SliceName("class/gold"): b"{}"}, "class/gold"),
            ({SliceName("odd/x"): b"{}"}, "are called"),
            ({EDITION_SLICE: b'{"annotations":{},"name":"operator","number":8}'}, "must be 9"),
        ):
            outcome = submit_edition(self.state, edition_change(7, 9, changed, replaces_all=False))
            self.assertEqual(outcome.outcome, "invalid")
            self.assertIn(reason, outcome.reason)
        self.assertIn("without spaces", submit_edition(self.state, edition_change(7, 9, {}, "a b")).reason)
        unsigned = BundleState(OPERATOR_KEYS)
        self.assertIn("signing_key", submit_edition(unsigned, self.first).reason)
        small = new_state(bundle_bytes=500)
        self.assertIn("bundle_bytes", submit_edition(small, self.first).reason)
        self.assertEqual((self.state.version, unsigned.version, small.version), (1, 0, 0))

    def test_change_removes_named_slices_or_replaces_all(self) -> None:
        gone = SliceName("tenant/tenant-4")
        change = msgspec.structs.replace(
            edition_change(7, 9, CHANGED_CLASS, replaces_all=False), removed=(gone, SliceName("tenant/none"))
        )
        self.assertEqual(submit_edition(self.state, change).outcome, "accepted")
        after = {name: data for name, data in {**self.slices, **CHANGED_CLASS}.items() if name != gone}
        self.assertEqual({n: d for n, d in latest_slices(self.state).items() if n != EDITION_SLICE}, after)
        submit_edition(self.state, edition_change(9, 10, CHANGED_CLASS))
        self.assertEqual(sorted(latest_slices(self.state)), ["class/gold", EDITION_SLICE])

    def test_annotations_are_retained_until_changed(self) -> None:
        def notes() -> object:
            return msgspec.json.decode(latest_slices(self.state)[EDITION_SLICE], type=Edition).annotations

        name, data = slice_of(Edition(number=8, annotations={"a": [1, None]}))
        submit_edition(self.state, edition_change(7, 8, {name: data}, replaces_all=False))
        self.assertEqual(notes(), {"a": [1, None]})
        submit_edition(self.state, edition_change(8, 9, CHANGED_CLASS, replaces_all=False))
        self.assertEqual(notes(), {"a": [1, None]})
        submit_edition(self.state, edition_change(9, 10, CHANGED_CLASS))
        self.assertEqual(notes(), {})

    def test_signed_orders_must_not_decrease_the_edition_number(self) -> None:
        before = latest_slices(self.state)
        for number, after in enumerate((self.slices, {**before, **dict([slice_of(Edition(number=6))])})):
            outcome = submit(self.state, order_between(1, before, after, f"back-{number}"))
            self.assertEqual(outcome.outcome, "invalid")
            self.assertIn("never goes back", outcome.reason)
        self.assertEqual(
            submit(self.state, order_between(1, before, {**before, **CHANGED_CLASS}, "on")).outcome, "accepted"
        )
        self.assertEqual(edition_status(self.state).number, 7)

    def test_outcomes_are_retained_for_the_configured_number_of_orders(self) -> None:
        state = new_state(outcome_retention=2)
        changes = [edition_change(number, number + 1, CHANGED_CLASS) for number in range(3)]
        for change in changes:
            submit_edition(state, change)
        self.assertEqual([submit_edition(state, change).outcome for change in changes[1:]], ["accepted"] * 2)
        self.assertEqual(submit_edition(state, changes[0]).outcome, "conflict")

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(st.lists(st.tuples(st.integers(0, 6), st.integers(1, 8), st.integers(0, 2)), max_size=30), st.data())
    def test_one_order_wins_each_base_and_is_never_refused_again(
        self, tries: list[tuple[int, int, int]], data: st.DataObject
    ) -> None:
        state = new_state()
        won: dict[int, EditionChange] = {}
        for base, number, writer in tries:
            weight = dict([slice_of(PriorityClass(name=ClassName("gold"), weight=1.0 + writer))])
            change = edition_change(base, number, weight, f"{base}-{number}-{writer}", replaces_all=False)
            outcome = submit_edition(state, change)
            if outcome.outcome == "accepted":
                self.assertEqual(won.setdefault(base, change), change)
            else:
                self.assertNotIn(change, won.values())
            if data.draw(st.integers(0, 4)) == 0:
                state = restarted(state)
        for change in won.values():
            self.assertEqual(submit_edition(state, change).outcome, "accepted")
        numbers = [change.number for _, change in sorted(won.items())]
        self.assertEqual(numbers, sorted(set(numbers)))
        self.assertEqual(edition_status(state).number, max(numbers, default=0))


class PreparationTest(unittest.TestCase):
    """Guards against decisions that block the primary, and against using a preparation for an outdated version.

    Checking a large edition takes long, so it is done in advance in steps; another order may be applied meanwhile.
    """

    def test_prepared_edition_gets_the_same_decision(self) -> None:
        prepared, plain = new_state(), new_state()
        change = edition_change(0, 1, sample_slices())
        asyncio.run(prepared.prepare(SubmitEdition(change)))
        self.assertEqual(prepared.decide(SubmitEdition(change)), plain.decide(SubmitEdition(change)))
        bad = edition_change(0, 1, {SliceName("class/gold"): b"{}"}, "bad")
        asyncio.run(prepared.prepare(SubmitEdition(bad)))
        self.assertEqual(prepared.decide(SubmitEdition(bad)), plain.decide(SubmitEdition(bad)))

    def test_preparation_for_an_older_version_is_not_used(self) -> None:
        state = new_state()
        submit_edition(state, edition_change(0, 1, sample_slices()))
        rest = edition_change(1, 2, CHANGED_CLASS, "rest", replaces_all=False)

        async def overtaken() -> None:
            preparing = asyncio.create_task(state.prepare(SubmitEdition(rest)))
            await asyncio.sleep(0)
            before = latest_slices(state)
            fewer = {name: data for name, data in before.items() if name != "tenant/tenant-4"}
            self.assertEqual(submit(state, order_between(1, before, fewer, "between")).outcome, "accepted")
            await preparing

        asyncio.run(overtaken())
        self.assertEqual(submit_edition(state, rest).version, 3)
        self.assertNotIn("tenant/tenant-4", latest_slices(state))

    def test_large_edition_is_prepared_in_steps_and_decided_quickly(self) -> None:
        state, change = new_state(), edition_change(0, 1, sample_slices(3_000))
        turns: list[float] = []

        async def run() -> None:
            async def count() -> None:
                while True:
                    turns.append(time.perf_counter())
                    await asyncio.sleep(0)

            counting = asyncio.create_task(count())
            await state.prepare(SubmitEdition(change))
            counting.cancel()

        asyncio.run(run())
        self.assertGreater(len(turns), 20)
        self.assertEqual(len(state._editions._prepared), 1)
        started = time.perf_counter()
        _, outcome = state.decide(SubmitEdition(change))
        took = time.perf_counter() - started
        assert isinstance(outcome, OrderOutcome)
        self.assertEqual(outcome.outcome, "accepted")
        self.assertLess(took, (turns[-1] - turns[0]) / 2)


if __name__ == "__main__":
    unittest.main()
