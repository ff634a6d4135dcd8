"""Tests of the evaluation of a stage (docs/DESIGN.md section 19.4)."""

from __future__ import annotations

import unittest

from ...bundle.model import Rollout
from ...bundle.tests.samples import sample_slices
from ...identifiers import BundleVersion, Seconds
from ..evaluation import StageObservation, Verdict, evaluate_stage
from ..fleet_status import FleetStatus
from ..plan import read_rollouts
from .rollout_samples import ROUTERS, A, B, C, after, fleet_status, started


class EvaluationTest(unittest.TestCase):
    """Guards against a bad change that advances, and against a rollback for a fault that the change did not cause."""

    def setUp(self) -> None:
        self.rollout: Rollout = read_rollouts(after(sample_slices(), started()))["bigger"]

    def evaluate(
        self, now: FleetStatus, watched: float = 11.0, unavailable_for: float = 0.0, before: FleetStatus | None = None
    ) -> Verdict:
        observation = StageObservation(
            version=BundleVersion(7),
            routers={each.name: each for each in ROUTERS},
            before=before or fleet_status(),
            now=now,
            watched=Seconds(watched),
            unavailable_for=Seconds(unavailable_for),
        )
        return evaluate_stage(self.rollout, observation, 10)

    def test_healthy_stage_advances_after_its_watch_time(self) -> None:
        good = {zone: {"answered": 100.0, "worker-broke": 1.0} for zone in "abc"}
        self.assertEqual(self.evaluate(fleet_status(good)).action, "advance")
        self.assertEqual(self.evaluate(fleet_status(good), watched=9.0).action, "wait")
        few = self.evaluate(fleet_status({"a": {"answered": 3.0}}))
        self.assertEqual((few.action, "waiting for 10 calls" in few.reason), ("wait", True))
        behind = self.evaluate(fleet_status(good, versions={A[0]: 6}))
        self.assertEqual((behind.action, "a-0" in behind.reason), ("restart-watch", True))
        self.assertEqual(self.evaluate(fleet_status(good, versions={B[0]: 6})).action, "advance")

    def test_too_many_bad_calls_roll_back_unless_the_entire_fleet_is_affected(self) -> None:
        for outcome, what in (
            ("worker-broke", "failed"),
            ("cut-worker-broke", "failed"),
            ("workers-all-full", "refused"),
        ):
            bad = {"answered": 90.0, outcome: 10.0}
            verdict = self.evaluate(fleet_status({"a": bad, "b": {"answered": 100.0}}), watched=1.0)
            self.assertEqual((verdict.action, what in verdict.reason), ("roll-back", True), verdict.reason)
            self.assertEqual(self.evaluate(fleet_status({zone: bad for zone in "abc"})).action, "restart-watch")
        callers_own = {"answered": 90.0, "key-unknown": 50.0, "share-exceeded": 50.0, "cut-caller-gone": 50.0}
        self.assertEqual(self.evaluate(fleet_status({"a": callers_own})).action, "advance")
        self.assertEqual(self.evaluate(fleet_status({"a": {"answered": 3.0, "worker-broke": 1.0}})).action, "advance")

    def test_unavailable_routers_roll_back_after_ten_seconds_unless_the_others_are_too(self) -> None:
        good = {zone: {"answered": 100.0} for zone in "abc"}
        self.assertEqual(self.evaluate(fleet_status(good, unavailable=A[:1])).action, "advance")
        for seconds, action in ((5.0, "restart-watch"), (11.0, "roll-back")):
            verdict = self.evaluate(fleet_status(good, unavailable=A[:2]), unavailable_for=seconds)
            self.assertEqual((verdict.action, "a-0, a-1" in verdict.reason), (action, True))
        everywhere = self.evaluate(fleet_status(good, unavailable=(*A[:2], *B, *C)), unavailable_for=11.0)
        self.assertEqual((everywhere.action, "so are 6 of the 6 others" in everywhere.reason), ("restart-watch", True))
