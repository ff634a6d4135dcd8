"""Tests of the steps of staged roll-outs (docs/DESIGN.md section 19.3)."""

from __future__ import annotations

import unittest

import msgspec
from returns.result import Success

from ...bundle.canonical import canonical_json
from ...bundle.tests.samples import sample_slices
from ...identifiers import SliceName
from ..plan import advance, parse_stages, preserve_rollouts, read_rollouts, remove_record, roll_back
from .rollout_samples import CHAT, after, started, with_pool, without_record


class PlanTest(unittest.TestCase):
    """Guards against steps that skip a stage, overwrite another change or don't restore the bundle.

    They can arise when two operators act on the same roll-out, or when other orders come in between.
    """

    def test_stages_are_parsed_in_the_notation_of_operators(self) -> None:
        self.assertEqual(parse_stages("zone=a, 25%").unwrap(), ("zone=a", "share=25", "all"))
        self.assertEqual(parse_stages("100%").unwrap(), ("all",))
        for wrong in ("zone-a", "0%", "", "share=x"):
            self.assertIn("write zone=NAME", parse_stages(wrong).failure().reason)

    def test_roll_back_restores_the_bundle_from_every_stage(self) -> None:
        first = sample_slices()
        steps = [started(), advance("bigger", 0, 3), advance("bigger", 1, 3), advance("bigger", 2, 3)]
        for taken in range(1, 5):
            reached = after(first, *steps[:taken])
            back = after(reached, roll_back("bigger", "slow"))
            self.assertEqual(without_record(back), first)
            self.assertEqual(read_rollouts(back)["bigger"].reason, "slow")
        self.assertEqual(without_record(reached), with_pool("large")(first).unwrap())
        self.assertEqual(read_rollouts(reached)["bigger"].state, "finished")
        self.assertEqual(after(back, remove_record("bigger")), first)

    def test_steps_from_another_stage_or_state_are_conflicts(self) -> None:
        reached = after(sample_slices(), started(), advance("bigger", 0, 3))
        for step, reason_part in (
            (advance("bigger", 0, 3), "running at stage share=50: another operator took it on"),
            (advance("none", 0, 3), "there is no rollout/none"),
            (remove_record("bigger"), "roll it back or let it finish"),
            (started(), "is running already"),
            (started("other"), "service/chat is in rollout/bigger"),
        ):
            error = step(reached).failure()
            self.assertEqual((error.kind, reason_part in error.reason), ("conflict", True), error.reason)
        self.assertIn(
            "nothing to roll back", roll_back("bigger", "")(after(reached, roll_back("bigger", ""))).failure().reason
        )
        finished = after(reached, advance("bigger", 1, 3), advance("bigger", 2, 3), with_pool("third"))
        self.assertIn("was changed since", roll_back("bigger", "")(finished).failure().reason)

    def test_changes_that_cannot_be_rolled_out_are_refused(self) -> None:
        slices = sample_slices()
        tenant, cards = SliceName("tenant/tenant-1"), SliceName("service/cards")
        richer = canonical_json({**msgspec.json.decode(slices[tenant]), "paid_rate": 99.0})
        variant = {**slices, SliceName("service/chat@zone=b"): slices[CHAT]}
        for current, after_change, reason_part in (
            (slices, {**slices, tenant: richer}, "only services, routes and classes"),
            (slices, {name: data for name, data in slices.items() if name != cards}, "service/cards is taken out"),
            (slices, {**slices, SliceName("class/new"): b"{}"}, "class/new is new"),
            (slices, slices, "nothing differs"),
            (variant, with_pool("large")(variant).unwrap(), "has variants of its own"),
        ):
            outcome = started(change=lambda _, after_change=after_change: Success(after_change))(current)  # type: ignore[misc]
            self.assertIn(reason_part, outcome.failure().reason)

    def test_pushing_a_source_preserves_a_running_rollout(self) -> None:
        current = after(sample_slices(), started())
        source = {**sample_slices(), SliceName("class/more"): b'{"name":"more","weight":1.0}'}
        pushed = preserve_rollouts(current, source)
        self.assertEqual(set(pushed) - set(current), {"class/more"})
        self.assertEqual(set(current) - set(pushed), set())
        self.assertEqual(without_record(after(pushed, roll_back("bigger", ""))), source)
