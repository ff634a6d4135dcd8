"""The rules of the ledger's state, record by record (docs/DESIGN.md section 13).

Resent, late or duplicated claims and outcome reports must not grant a key twice, nor free the claim of another.
"""

from __future__ import annotations

import unittest

from ...identifiers import IdempotencyKey, Incarnation, Instant, Seconds, ServiceName, TenantName, WallTime
from ..commands import ClaimAnswer, ClaimRequest, LedgerAnswers, LedgerBatch, OutcomeReport, call_digest
from ..protocols import CallKey, Outcome
from ..state import MAX_RUNNING_AGE_S, LedgerState

RETENTION = Seconds(1800.0)
NORTH, SOUTH = Incarnation("north"), Incarnation("south")


class ManualClock:
    def __init__(self) -> None:
        self.now = 1000.0

    def monotonic(self) -> Instant:
        return Instant(self.now)

    def wall(self) -> WallTime:
        raise AssertionError("the ledger must not read the wall clock")

    async def sleep(self, seconds: Seconds) -> None:
        raise AssertionError("the ledger's state must not sleep")


def digest(name: str) -> bytes:
    return call_digest(CallKey(TenantName("despensa"), ServiceName("cards"), IdempotencyKey(name)))


class LedgerStateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.members = {NORTH, SOUTH}
        self.state = self.make()
        self.backup = self.make()

    def make(self) -> LedgerState:
        return LedgerState(self.clock, RETENTION, lambda incarnation: incarnation in self.members)

    def run_batch(self, batch: LedgerBatch) -> tuple[bytes | None, tuple[ClaimAnswer, ...]]:
        record, reply = self.state.decide(batch)
        assert isinstance(reply, LedgerAnswers)
        if record is not None:
            self.state.apply(record)
            self.backup.apply(record)
        return record, reply.claims

    def claim(self, router: Incarnation, number: int, key: str = "a", floor: int = 0) -> ClaimAnswer:
        return self.run_batch(LedgerBatch(router, floor, (ClaimRequest(number, digest(key)),)))[1][0]

    def report(self, router: Incarnation, number: int, outcome: Outcome, key: str = "a", floor: int = 0) -> None:
        record, _ = self.run_batch(LedgerBatch(router, floor, (), (OutcomeReport(number, digest(key), outcome),)))
        self.assertIsNotNone(record, "an outcome may be acknowledged only after a record")

    def test_one_claim_is_granted_and_others_get_its_state(self) -> None:
        self.assertEqual(self.claim(NORTH, 1), "claimed")
        self.assertEqual(self.claim(SOUTH, 1), "running")
        self.assertEqual(self.claim(NORTH, 2), "running")
        self.report(NORTH, 1, "ran")
        self.assertEqual(self.claim(SOUTH, 2), "ran")
        self.assertEqual(self.claim(SOUTH, 3, "b"), "claimed")

    def test_one_key_twice_in_one_batch_is_claimed_once(self) -> None:
        claims = (ClaimRequest(1, digest("a")), ClaimRequest(2, digest("a")))
        self.assertEqual(self.run_batch(LedgerBatch(NORTH, 1, claims))[1], ("claimed", "running"))

    def test_a_resent_claim_is_granted_again_only_after_a_record(self) -> None:
        self.claim(NORTH, 1)
        record, answers = self.run_batch(LedgerBatch(NORTH, 1, (ClaimRequest(1, digest("a")),)))
        self.assertEqual(answers, ("claimed",))
        self.assertIsNotNone(record, "without a record the answer could come before the claim is durable")

    def test_not_run_frees_the_key_except_for_the_freed_ticket(self) -> None:
        self.claim(NORTH, 1)
        self.report(NORTH, 1, "not-run")
        self.assertEqual(self.claim(NORTH, 1), "closed")
        self.assertEqual(self.claim(SOUTH, 1), "claimed")
        self.report(NORTH, 1, "not-run")
        self.assertEqual(self.claim(NORTH, 2), "running", "a resent outcome must not free another claim")

    def test_a_claim_that_arrives_after_its_not_run_outcome_is_not_granted(self) -> None:
        self.report(NORTH, 7, "not-run")
        self.assertEqual(self.claim(NORTH, 7), "closed")
        self.report(NORTH, 8, "not-run", floor=9)
        self.assertEqual(self.claim(NORTH, 7), "closed")
        self.assertEqual(self.claim(NORTH, 8, "other key"), "closed")
        self.assertEqual(self.claim(NORTH, 9), "claimed")

    def test_a_duplicate_of_an_answered_claim_is_not_granted(self) -> None:
        self.claim(NORTH, 1)
        self.assertEqual(self.claim(SOUTH, 5), "running")
        self.report(NORTH, 1, "not-run")
        self.assertEqual(self.claim(SOUTH, 5), "closed")
        self.assertEqual(self.claim(SOUTH, 6), "claimed")

    def test_a_claim_and_its_not_run_outcome_in_one_batch(self) -> None:
        batch = LedgerBatch(NORTH, 1, (ClaimRequest(1, digest("a")),), (OutcomeReport(1, digest("a"), "not-run"),))
        self.assertEqual(self.run_batch(batch)[1], ("closed",))
        self.assertEqual(self.claim(SOUTH, 1), "claimed")

    def test_the_outcome_at_a_lost_router_is_unknown_and_may_still_be_reported(self) -> None:
        self.claim(NORTH, 1)
        self.members.remove(NORTH)
        self.assertEqual(self.claim(SOUTH, 1), "unknown")
        self.report(NORTH, 1, "not-run")
        self.assertEqual(self.claim(SOUTH, 2), "claimed")

    def test_ran_is_final(self) -> None:
        self.claim(NORTH, 1)
        self.report(NORTH, 1, "unknown")
        self.assertEqual(self.claim(NORTH, 1), "unknown")
        self.report(NORTH, 1, "ran")
        self.report(NORTH, 1, "not-run")
        self.report(NORTH, 1, "unknown")
        self.assertEqual(self.claim(SOUTH, 1), "ran")

    def test_backup_and_restored_snapshot_give_the_same_answers(self) -> None:
        for number in range(1, 40):
            self.claim(NORTH, number, f"key {number}")
            if number % 3:
                self.report(NORTH, number, ("ran", "unknown", "not-run")[number % 3], f"key {number}", floor=number - 2)
        self.assertEqual(self.state.snapshot(), self.backup.snapshot())
        restored = self.make()
        restored.restore(self.state.snapshot())
        self.assertEqual(restored.snapshot(), self.state.snapshot())
        claims = tuple(ClaimRequest(number, digest(f"key {number}")) for number in range(1, 45))
        expected = self.state.decide(LedgerBatch(NORTH, 0, claims))[1]
        self.assertEqual(restored.decide(LedgerBatch(NORTH, 0, claims))[1], expected)
        restored.restore(None)
        self.assertEqual(restored.entries(), 0)

    def test_outcomes_are_retained_for_the_retention_time_and_then_removed(self) -> None:
        self.claim(NORTH, 1)
        self.report(NORTH, 1, "ran")
        self.claim(NORTH, 2, "b")
        self.report(NORTH, 2, "unknown", "b")
        self.clock.now += RETENTION - 1
        self.claim(SOUTH, 1, "tick")
        self.assertEqual((self.claim(SOUTH, 2), self.claim(SOUTH, 3, "b")), ("ran", "unknown"))
        self.clock.now += RETENTION * 0.5
        self.claim(SOUTH, 4, "tock")
        self.assertEqual((self.claim(SOUTH, 5), self.claim(SOUTH, 6, "b")), ("claimed", "claimed"))
        self.assertEqual(self.claim(SOUTH, 7, "tick"), "running", "a call that may still run must be retained")

    def test_a_claim_without_an_outcome_is_removed_after_a_day(self) -> None:
        self.claim(NORTH, 1)
        self.clock.now += MAX_RUNNING_AGE_S + 1
        self.claim(SOUTH, 1, "tick")
        self.assertEqual(self.claim(SOUTH, 2), "claimed")

    def test_ledger_time_stops_while_no_daemon_runs(self) -> None:
        self.claim(NORTH, 1)
        self.report(NORTH, 1, "ran")
        snapshot = self.state.snapshot()
        self.clock.now += 10 * RETENTION
        self.state = self.make()
        self.state.restore(snapshot)
        self.claim(SOUTH, 1, "tick")
        self.assertEqual(self.claim(SOUTH, 2), "ran")

    def test_entries_are_bounded(self) -> None:
        self.state = LedgerState(self.clock, RETENTION, None, max_entries=2)
        answers = [self.claim(NORTH, number, f"key {number}") for number in (1, 2, 3)]
        self.assertEqual(answers, ["claimed", "claimed", "full"])
