"""Tests of the observed status of a fleet (docs/DESIGN.md section 19.4)."""

from __future__ import annotations

import unittest

from ..fleet_status import read_counts, summarize_calls
from .rollout_samples import A, fleet_status


class FleetStatusTest(unittest.TestCase):
    """Guards against call counts that are taken from the wrong time or service."""

    def test_counters_of_a_restarted_router_count_from_zero(self) -> None:
        before = fleet_status({"a": {"answered": 1000.0}})
        now = fleet_status({"a": {"answered": 20.0}}, incarnations={A[0]: "2"})
        self.assertEqual(summarize_calls(A[:1], before, now, frozenset(["chat"])).calls, 20.0)
        self.assertEqual(summarize_calls(A[:1], before, now, None).failures, 1000.0)

    def test_counts_are_read_from_metrics(self) -> None:
        text = '# TYPE wingwood_calls counter\nwingwood_calls_total{outcome="answered",service="chat"} 3.0\n'
        self.assertEqual(read_counts(text + 'other{a="b"} 1\n'), {("chat", "answered"): 3.0})
