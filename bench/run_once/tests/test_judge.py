"""The verdict of the soak: what it must find in ledgers and tries, and what is allowed."""

from __future__ import annotations

import unittest

from ..callers import End, Try
from ..judge import MIN_LATE, judge
from ..troubles import Pause

ROUTER = "127.0.0.1"


def tried(attempt: str, end: End = "answer", status: int = 0, seconds: float = 0.1) -> Try:
    return Try(attempt, ROUTER, end, status, 10.0, 10.0 + seconds)


class Verdicts(unittest.TestCase):
    def test_one_try_that_ran_at_two_workers_is_twice(self) -> None:
        """A router that sends a call on again after a lost answer."""
        verdict = judge(["order1-1 i-0-1 1.0", "order1-1 i-1-1 1.1"], [tried("order1-1", status=200)], [])
        self.assertEqual((len(verdict.twice), verdict.passed()), (1, False))

    def test_two_tries_of_a_call_that_both_ran_are_twice(self) -> None:
        """A router that resets the connection of a request that it has passed on."""
        tries = [tried("order1-1", "reset"), tried("order1-2", status=200)]
        verdict = judge(["order1-1 i-0-1 1.0", "order1-2 i-0-1 1.1"], tries, [])
        self.assertEqual((len(verdict.twice), len(verdict.broken_promises)), (1, 1))

    def test_run_after_a_promise_is_found_without_a_second_run(self) -> None:
        """A 503 for a request that reaches its worker later."""
        for status in (408, 421, 429, 503):
            verdict = judge(["order1-1 i-0-1 1.0"], [tried("order1-1", status=status)], [])
            self.assertEqual((verdict.twice, len(verdict.broken_promises)), ((), 1), status)

    def test_runs_whose_callers_had_no_promise_are_allowed(self) -> None:
        tries = [tried("order1-1", status=502), tried("order2-1", "closed"), tried("order3-1", status=200)]
        ledger = [f"order{number}-1 i-0-1 1.0" for number in (1, 2, 3)]
        self.assertTrue(judge(ledger, tries, []).passed())

    def test_program_that_ended_and_a_run_without_calls_do_not_pass(self) -> None:
        self.assertFalse(judge(["order1-1 i-0-1 1.0"], [], ["front-1 router: exit code 4"]).passed())
        self.assertFalse(judge([], [], []).passed())

    def test_repeatable_calls_may_run_twice(self) -> None:
        ledger = ["sheet1-1 i-0-1 1.0", "sheet1-1 i-1-1 1.1"]
        self.assertTrue(judge(ledger, [tried("sheet1-1", status=200)], []).passed())

    def test_caller_left_without_an_answer_is_found(self) -> None:
        """A router that ends a call without a byte to its caller (review/2)."""
        tries = [tried("order1-1", "silent", seconds=3.0)]
        verdict = judge(["order1-1 i-0-1 1.0"], tries, [])
        self.assertEqual((len(verdict.silent), verdict.passed()), (1, False))

    def test_caller_of_a_paused_router_is_not_counted(self) -> None:
        tries = [tried("order1-1", "silent", seconds=3.0)]
        for began_at, router, passed in ((9.0, ROUTER, True), (9.0, "127.0.0.2", False), (13.5, ROUTER, False)):
            verdict = judge(["order1-1 i-0-1 1.0"], tries, [], [Pause(router, began_at, began_at + 2.0)])
            self.assertEqual(verdict.passed(), passed, (began_at, router))

    def test_late_answers_are_found_by_the_users_rule(self) -> None:
        """Eight or more answers come later than 0.5 s after the time limit, over a quarter of those that last."""
        late = [tried(f"order{number}-1", status=504, seconds=1.6) for number in range(MIN_LATE)]
        in_time = [tried(f"sheet{number}-1", status=504, seconds=1.1) for number in range(4 * MIN_LATE)]
        ledger = ["order1-1 i-0-1 1.0"]
        self.assertFalse(judge(ledger, late, []).passed())
        self.assertTrue(judge(ledger, late[1:], []).passed())
        self.assertTrue(judge(ledger, late + in_time, []).passed())
        self.assertFalse(judge(ledger, late + in_time[: 2 * MIN_LATE], []).passed())
