"""Tests the check of at-most-once calls in the real-fleet bench (docs/DESIGN.md section 17).

A check that never reports a violation would let every fault case pass.
"""

from __future__ import annotations

import unittest

from ..load.traffic import CallRecord
from ..real_faults import find_violations

REFUSED = (503, "ledger-unreachable", "not-run", False)
LOST = (0, "", "", False)
ANSWERED = (200, "", "", True)
RAN = (409, "call-ran", "ran", False)


def run(key: str, outcome: str = "whole") -> dict[str, object]:
    return {"idempotency_key": key, "outcome": outcome}


class FindViolations(unittest.TestCase):
    def test_permitted_outcomes_are_no_violations(self) -> None:
        records = [
            CallRecord("answered", (ANSWERED,)),
            CallRecord("refused", (REFUSED, REFUSED)),
            CallRecord("second-try", (REFUSED, ANSWERED)),
            CallRecord("lost-then-told", (LOST, RAN)),
        ]
        runs = [run("answered"), run("second-try"), run("lost-then-told", "caller-gone"), run("")]
        self.assertEqual(find_violations(records, runs), [])

    def test_each_kind_of_violation_is_reported(self) -> None:
        cases = {
            "run 2 times": (CallRecord("k", (ANSWERED,)), [run("k"), run("k")]),
            "told not-run, but ran": (CallRecord("k", (LOST, REFUSED)), [run("k")]),
            "told that it ran, but did not": (CallRecord("k", (LOST, RAN)), []),
            "a success that no worker gave": (CallRecord("k", (ANSWERED,)), [run("k", "broken")]),
        }
        for words, (record, runs) in cases.items():
            found = find_violations([record], runs)
            self.assertEqual([text.partition(":")[0] for text in found], [words])
