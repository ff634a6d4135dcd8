"""Every order of what a router handles in one iteration of its event loop (docs/DESIGN.md section 12.5).

Guards against callers that are left waiting when a worker's answer, a time limit, the caller's disconnection, a drain
or a retry meet: each call has one complete answer or a closed connection within 0.5 s of its deadline (CONFIG), and
leaves nothing behind. ``python -m wingwood.forward.tests.all_orders`` plays more: all moments, and each division of
the events into two iterations.
"""

from __future__ import annotations

import unittest
from collections.abc import Iterable

from .one_iteration import Case, IterationWorld, Script
from .one_iteration_cases import (
    DEADLINE_S,
    EVENTS_BESIDE,
    HEAD,
    HEAD_DUE_S,
    MOMENTS,
    PLAIN,
    SERVICE_BOUNDS,
    cases_at,
    failures_of,
    late_arrivals,
    waits_before_attempt,
)

RUN_EACH_ALONE = True
"""The module plays thousands of runs of some 30 ms."""


class EveryOrder(unittest.TestCase):
    def assert_no_failures(self, cases: Iterable[Case], two_iterations: bool = False) -> None:
        failures, runs = failures_of(cases, two_iterations)
        self.assertGreater(runs, 0)
        self.assertEqual(failures, [], f"{len(failures)} of {runs} runs")

    def test_worker_alone(self) -> None:
        """The worker's answer, or its end, and the deadline."""
        self.assert_no_failures(cases_at(DEADLINE_S), two_iterations=True)

    def test_retry_is_answered(self) -> None:
        self.assert_no_failures(cases_at(DEADLINE_S, **EVENTS_BESIDE["retry is answered"]))

    def test_retry_is_silent(self) -> None:
        self.assert_no_failures(cases_at(DEADLINE_S, **EVENTS_BESIDE["retry is silent"]))

    def test_retry_waits_for_placement(self) -> None:
        """A retry that began in the iteration of the deadline waited for placement, and nothing ended the call."""
        self.assert_no_failures(cases_at(DEADLINE_S, **EVENTS_BESIDE["retry waits for placement"]), two_iterations=True)

    def test_stalled_loop(self) -> None:
        self.assert_no_failures(cases_at(DEADLINE_S, **EVENTS_BESIDE["stalled loop"]))

    def test_slow_caller(self) -> None:
        self.assert_no_failures(cases_at(DEADLINE_S, **EVENTS_BESIDE["slow caller"]))

    def test_caller_leaves(self) -> None:
        self.assert_no_failures(cases_at(DEADLINE_S, **EVENTS_BESIDE["caller leaves"]))

    def test_caller_resets(self) -> None:
        self.assert_no_failures(cases_at(DEADLINE_S, **EVENTS_BESIDE["caller resets"]))

    def test_router_stops(self) -> None:
        self.assert_no_failures(cases_at(DEADLINE_S, **EVENTS_BESIDE["router stops"]))

    def test_router_drains(self) -> None:
        self.assert_no_failures(cases_at(DEADLINE_S, **EVENTS_BESIDE["router drains"]))

    def test_other_time_limits(self) -> None:
        """The head's time, a move to another worker, the time between chunks and the first-byte deadline."""
        for name, moment in MOMENTS.items():
            with self.subTest(name):
                self.assert_no_failures(cases_at(moment, **EVENTS_BESIDE["retry is answered"]))

    def test_late_arrivals(self) -> None:
        """A call on a kept connection arrives as its idle, head or body time is over, or as the router stops."""
        self.assert_no_failures(late_arrivals())

    def test_waits_before_an_attempt(self) -> None:
        """Quota, ledger, placement or the worker's confirmation reply at a time limit, or long after it."""
        self.assert_no_failures(waits_before_attempt())


class HeadsThatAreDue(unittest.TestCase):
    def test_head_of_a_failed_attempt_is_not_sent(self) -> None:
        """The head of a worker that had reset its connection was sent, so that the retry's answer could not follow."""
        case = Case(
            name="head and reset",
            service=PLAIN,
            options=SERVICE_BOUNDS,
            moment=HEAD_DUE_S,
            script=Script(before=HEAD, end="reset"),
            retry="answers",
        )
        callbacks = IterationWorld(case, None).play().callbacks
        self.assertEqual(sorted(callbacks), ["AttemptTimers._check", "VirtualTimeLoop._read"])
        reset, head_due = callbacks.index("VirtualTimeLoop._read"), callbacks.index("AttemptTimers._check")
        outcome = IterationWorld(case, ((reset, head_due),)).play()
        assert outcome.reply is not None
        self.assertEqual((outcome.reply.status, outcome.reply.complete, outcome.reply.raw), (200, True, b"second"))
