"""Tests of orders, their outcomes and the history of versions (docs/DESIGN.md section 5.4)."""

from __future__ import annotations

import unittest
from typing import Any
from unittest.mock import patch

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from ...identifiers import BundleVersion, ClassName, OrderId, SliceName
from ..canonical import canonical_json
from ..commands import SubmitOrder
from ..model import Bundle, PriorityClass
from ..parse import apply_delta
from ..signing import sign_manifest
from ..state import BundleState
from .samples import OPERATOR, OPERATOR_KEYS, UNKNOWN_OPERATOR, order_between, sample_slices, slice_of, submit

Slices = dict[SliceName, bytes]


def reweighed(slices: Slices, weight: float) -> Slices:
    """Returns the slices with another weight of the class ``gold``."""
    return {**slices, **dict([slice_of(PriorityClass(name=ClassName("gold"), weight=weight))])}


def with_new_rates(slices: Slices, number: int) -> Slices:
    """Returns the slices with another paid rate of each tenant."""
    tenants = {name: msgspec.json.decode(data) for name, data in slices.items() if name.startswith("tenant/")}
    return {**slices, **{n: canonical_json({**each, "paid_rate": 100.0 + number}) for n, each in tenants.items()}}


def restarted(state: BundleState, **changes: Any) -> BundleState:
    """Returns a new state restored from a snapshot, as after a restart."""
    fresh = BundleState(OPERATOR_KEYS, **changes)
    fresh.restore(state.snapshot())
    return fresh


class OrderTest(unittest.TestCase):
    """Guards against orders that are lost, accepted twice or answered differently when they are resent.

    Resending is common: a client that got no reply sends the same order again, also after a restart or to a primary
    that took over.
    """

    def setUp(self) -> None:
        self.state = BundleState(OPERATOR_KEYS)
        self.slices = sample_slices()
        self.first = order_between(0, {}, self.slices)
        self.assertEqual(submit(self.state, self.first).outcome, "accepted")

    def test_losing_order_on_one_base_names_the_winner(self) -> None:
        after = reweighed(self.slices, 8.0)
        self.assertEqual(submit(self.state, order_between(1, self.slices, after, "mine")).version, 2)
        lost = submit(self.state, order_between(1, self.slices, self.slices, "yours"))
        self.assertEqual((lost.outcome, lost.version), ("conflict", 2))
        self.assertIn("order mine", lost.reason)

    def test_resent_orders_get_their_first_outcome_after_restart(self) -> None:
        bad = reweighed(self.slices, -1.0)
        orders = [
            self.first,
            order_between(1, self.slices, bad, "bad"),
            order_between(1, self.slices, reweighed(self.slices, 8.0), "good"),
            order_between(1, self.slices, self.slices, "late"),
        ]
        outcomes = [submit(self.state, order) for order in orders]
        self.assertEqual([each.outcome for each in outcomes], ["accepted", "invalid", "accepted", "conflict"])
        submit(self.state, order_between(2, reweighed(self.slices, 8.0), self.slices))
        for state in (self.state, restarted(self.state)):
            for order, outcome in zip(orders, outcomes, strict=True):
                record, again = state.decide(SubmitOrder(order))
                self.assertEqual((record, again), (None, outcome))

    def test_reused_order_id_is_invalid_and_keeps_its_first_outcome(self) -> None:
        other = order_between(1, self.slices, reweighed(self.slices, 8.0), "order-1")
        outcome = submit(self.state, other)
        self.assertEqual(outcome.outcome, "invalid")
        self.assertIn("used before", outcome.reason)
        self.assertEqual(submit(self.state, self.first).outcome, "accepted")

    def test_orders_without_a_valid_signature_are_not_recorded(self) -> None:
        """Otherwise anyone could occupy an order id, or displace the outcomes of real orders from memory."""
        after = reweighed(self.slices, 8.0)
        true_order = order_between(1, self.slices, after, "mine")
        tampered = msgspec.structs.replace(true_order, changed=dict([slice_of(PriorityClass(name=ClassName("gold")))]))
        unsigned = msgspec.structs.replace(
            true_order, manifest=msgspec.structs.replace(true_order.manifest, signature=b"\0" * 64)
        )
        for order in (tampered, unsigned, order_between(1, self.slices, after, "mine", UNKNOWN_OPERATOR)):
            record, outcome = self.state.decide(SubmitOrder(order))
            self.assertIsNone(record)
            self.assertEqual(getattr(outcome, "outcome", ""), "invalid")
        self.assertEqual(submit(self.state, true_order).outcome, "accepted")

    def test_too_large_and_wrongly_numbered_orders_are_refused(self) -> None:
        small = BundleState(OPERATOR_KEYS, bundle_bytes=500)
        self.assertIn("bundle_bytes", submit(small, self.first).reason)
        for changes in ({"base": 5}, {"order": "with space"}):
            manifest = sign_manifest(msgspec.structs.replace(self.first.manifest, **changes), OPERATOR)
            outcome = submit(self.state, msgspec.structs.replace(self.first, manifest=manifest))
            self.assertEqual(outcome.outcome, "invalid")
        self.assertEqual((small.version, self.state.version), (0, 1))
        size = sum(map(len, self.slices.values()))
        grown = BundleState(OPERATOR_KEYS, bundle_bytes=size + 20)
        submit(grown, self.first)
        more = {**self.slices, **dict([slice_of(PriorityClass(name=ClassName("more"), weight=1.0))])}
        self.assertIn("the bundle has", submit(grown, order_between(1, self.slices, more)).reason)

    def test_order_that_replaces_all_removes_other_slices(self) -> None:
        fewer = {name: data for name, data in self.slices.items() if name != "tenant/tenant-4"}
        order = msgspec.structs.replace(order_between(1, {}, fewer, "less"), replaces_all=True)
        self.assertEqual(submit(self.state, order).outcome, "accepted")
        self.assertEqual(self.state.slices_at(BundleVersion(2)), fewer)
        entry = self.state.history(BundleVersion(2))[0]
        self.assertEqual((entry.changed, entry.removed), ((), ("tenant/tenant-4",)))

    def test_oldest_outcomes_are_dropped_first(self) -> None:
        state = BundleState(OPERATOR_KEYS, outcome_retention=2)
        for number in range(4):
            submit(state, order_between(number, self.slices if number else {}, self.slices))
        stored = [state.outcome(OrderId(f"order-{number}")) is not None for number in range(1, 5)]
        self.assertEqual(stored, [False, False, True, True])
        self.assertEqual(submit(state, self.first).outcome, "conflict")

    def test_backup_that_only_applied_records_decides_the_same(self) -> None:
        backup = BundleState(OPERATOR_KEYS)
        after = reweighed(self.slices, 8.0)
        primary = BundleState(OPERATOR_KEYS)
        for order in (self.first, order_between(1, self.slices, after)):
            record, _ = primary.decide(SubmitOrder(order))
            assert record is not None
            primary.apply(record)
            backup.apply(record)
        third = SubmitOrder(order_between(2, after, self.slices))
        self.assertEqual(primary.decide(third), backup.decide(third))
        self.assertEqual(primary.snapshot(), backup.snapshot())


class DistributionViewTest(unittest.TestCase):
    """Guards against distributing versions that may still be lost, and against deltas that leave out a removal.

    A holder that is far behind may have missed a removal that is no longer recorded; it must get all slices.
    """

    def test_versions_that_are_not_durable_are_not_shown(self) -> None:
        state, slices = BundleState(OPERATOR_KEYS), sample_slices()
        submit(state, order_between(0, {}, slices))
        submit(state, order_between(1, slices, reweighed(slices, 8.0)))
        durable = BundleVersion(1)
        delta = state.delta_since(BundleVersion(0), durable)
        assert delta is not None
        self.assertEqual((delta.manifest.version, delta.changed), (1, dict(sorted(slices.items()))))
        self.assertIsNone(state.delta_since(durable, durable))
        self.assertIsNone(state.manifest_at(BundleVersion(3)))
        self.assertEqual([entry.version for entry in state.history(durable)], [1])

    def test_history_of_large_changes_is_shorter(self) -> None:
        state, slices = BundleState(OPERATOR_KEYS), sample_slices(tenants=40)
        size = sum(map(len, slices.values()))
        self.assertEqual(submit(state, order_between(0, {}, slices)).outcome, "accepted")
        with patch("wingwood.bundle.stored_bundles.MAX_HISTORY_BYTES", 5 * size):
            for version in range(1, 60):
                after = with_new_rates(slices, version)
                outcome = submit(state, order_between(version, slices, after, f"large-{version}"))
                self.assertEqual(outcome.outcome, "accepted", outcome.reason)
                slices = after
            for each in (state, restarted(state)):
                self.assertLess(len(each.snapshot()), 20 * size)
                self.assertIsNone(each.slices_at(BundleVersion(20)))
                self.assertEqual(each.slices_at(BundleVersion(55)), with_new_rates(slices, 54))
                self.assertEqual(each.slices_at(each.version), slices)
                delta = each.delta_since(BundleVersion(3), each.version)
                assert delta is not None
                self.assertEqual(delta.changed, {n: d for n, d in slices.items() if n.startswith("tenant/")})

    def test_holder_older_than_a_dropped_removal_gets_all_slices(self) -> None:
        state, slices = BundleState(OPERATOR_KEYS, history_versions=2), sample_slices()
        fewer = {name: data for name, data in slices.items() if name != "tenant/tenant-4"}
        for base, (before, after) in enumerate([({}, slices), (slices, fewer), *[(fewer, fewer)] * 4]):
            self.assertEqual(submit(state, order_between(base, before, after)).outcome, "accepted")
        for each in (state, restarted(state, history_versions=2)):
            delta = each.delta_since(BundleVersion(1), BundleVersion(6))
            assert delta is not None
            self.assertEqual((delta.since, delta.changed), (0, dict(sorted(fewer.items()))))
            later = each.delta_since(BundleVersion(2), BundleVersion(6))
            assert later is not None
            self.assertEqual((later.since, later.changed, later.removed), (2, {}, ()))

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.lists(st.tuples(st.integers(0, 5), st.sampled_from([0.0, 1.0, 2.0])), min_size=1, max_size=25), st.data())
    def test_any_holder_reaches_any_kept_version(self, steps: list[tuple[int, float]], data: st.DataObject) -> None:
        state = BundleState(OPERATOR_KEYS, history_versions=6)
        slices_by_version: list[Slices] = [{}]
        bundle_by_version: list[Bundle | None] = [None]
        for number, (letter, weight) in enumerate(steps):
            after = dict(slices_by_version[-1])
            name, content = slice_of(PriorityClass(name=ClassName(f"c{letter}"), weight=weight))
            if weight:
                after[name] = content
            else:
                after.pop(name, None)
            self.assertEqual(submit(state, order_between(number, slices_by_version[-1], after)).outcome, "accepted")
            slices_by_version.append(after)
            if data.draw(st.integers(0, 3)) == 0:
                state = restarted(state, history_versions=6)
            delta = state.delta_since(BundleVersion(number), BundleVersion(number + 1))
            assert delta is not None
            bundle_by_version.append(apply_delta(bundle_by_version[-1], delta, OPERATOR_KEYS).unwrap())
        for upto in range(max(1, len(steps) - 6), len(steps) + 1):
            self.assertEqual(state.slices_at(BundleVersion(upto)), slices_by_version[upto])
            for since in range(upto):
                delta = state.delta_since(BundleVersion(since), BundleVersion(upto))
                assert delta is not None
                bundle = apply_delta(bundle_by_version[since], delta, OPERATOR_KEYS).unwrap()
                self.assertEqual(bundle.slices, slices_by_version[upto])

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.lists(st.tuples(st.integers(0, 6), st.integers(0, 3)), min_size=1, max_size=30))
    def test_exactly_one_order_wins_each_version(self, tries: list[tuple[int, int]]) -> None:
        state = BundleState(OPERATOR_KEYS)
        winners: dict[int, str] = {}
        for base, writer in tries:
            at = state.slices_at(BundleVersion(base)) if base <= state.version else {}
            assert at is not None
            after = reweighed(at, 1.0 + writer)
            outcome = submit(state, order_between(base, at, after, f"{base}-{writer}"))
            if outcome.outcome == "accepted":
                winner = winners.setdefault(outcome.version, outcome.order)
                self.assertEqual(winner, outcome.order)
        self.assertEqual(sorted(winners), list(range(1, state.version + 1)))
