"""The verdict of the soak: what it must find in ledgers and tries, and what is allowed."""

from __future__ import annotations

import unittest

from ..callers import End, Try
from ..judge import judge


def tried(attempt: str, end: End = "answer", status: int = 0) -> Try:
    return Try(attempt, "127.0.0.1", end, status, 0.0)


class Verdicts(unittest.TestCase):
    def test_one_try_that_ran_at_two_workers_is_twice(self) -> None:
        """A router that sends a call on again after a lost answer."""
        verdict = judge(["call1-1 i-0-1 1.0", "call1-1 i-1-1 1.1"], [tried("call1-1", status=200)], [])
        self.assertEqual((len(verdict.twice), verdict.passed()), (1, False))

    def test_two_tries_of_a_call_that_both_ran_are_twice(self) -> None:
        """A router that resets the connection of a request that it has passed on."""
        tries = [tried("call1-1", "reset"), tried("call1-2", status=200)]
        verdict = judge(["call1-1 i-0-1 1.0", "call1-2 i-0-1 1.1"], tries, [])
        self.assertEqual((len(verdict.twice), len(verdict.broken_promises)), (1, 1))

    def test_run_after_a_promise_is_found_without_a_second_run(self) -> None:
        """A 503 for a request that reaches its worker later."""
        for status in (408, 421, 429, 503):
            verdict = judge(["call1-1 i-0-1 1.0"], [tried("call1-1", status=status)], [])
            self.assertEqual((verdict.twice, len(verdict.broken_promises)), ((), 1), status)

    def test_runs_whose_callers_had_no_promise_are_allowed(self) -> None:
        tries = [tried("call1-1", status=502), tried("call2-1", "closed"), tried("call3-1", status=200)]
        ledger = [f"call{number}-1 i-0-1 1.0" for number in (1, 2, 3)]
        self.assertTrue(judge(ledger, tries, []).passed())

    def test_program_that_ended_and_a_run_without_calls_do_not_pass(self) -> None:
        self.assertFalse(judge(["call1-1 i-0-1 1.0"], [], ["front-1 router: exit code 4"]).passed())
        self.assertFalse(judge([], [], []).passed())
