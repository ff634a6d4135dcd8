"""Tests of the client: finding the primary, forwarding commands, and the failures when no answer is certain."""

from __future__ import annotations

import unittest

import msgspec
from returns.result import Failure, Result, Success

from ...identifiers import Address, Epoch, Seconds
from ...transport.errors import TransportFailure
from ..errors import CommandFailure
from ..messages import ControlLeader, ControlLeaderQuery
from .control_world import ControlWorld, Put, PutOutcome


class ClientTests(unittest.TestCase):
    """The client must find an answer while any path exists, and report ``unknown`` only if a command may have run."""

    def setUp(self) -> None:
        self.control = ControlWorld(1)
        self.addCleanup(self.control.close)
        self.control.operator()
        self.assertTrue(self.control.world.wait_for(self.control.complete, 5.0))

    def decide(self, order: int, timeout: float = 3.0) -> Result[PutOutcome, CommandFailure]:
        answers: list[Result[PutOutcome, CommandFailure]] = []

        async def run() -> None:
            client = self.control.clients["operator"]
            answers.append(await client.decide("register", Put(order, 0), PutOutcome, Seconds(timeout)))

        self.control.world.spawn(self.control.world.processes["operator"], run(), "decide")
        self.assertTrue(self.control.world.wait_for(lambda: bool(answers), timeout + 0.5, every=0.01))
        return answers[0]

    def test_a_caller_cut_off_from_the_primary_is_answered_through_another_daemon(self) -> None:
        self.control.world.cut("operator", "c1")
        self.assertEqual(self.decide(1), Success(PutOutcome(1, True, 1)))

    def test_short_attempts_find_the_only_daemon_that_can_forward_them(self) -> None:
        """The ledger gives each attempt 0.6 s. All of it was once spent on unreachable daemons while the cut lasted."""
        self.assertIsInstance(self.decide(1, 0.6), Success)
        for name in ("c1", "c2"):
            self.control.world.cut("operator", name, both_ways=False)
        outcomes = []
        for order in range(2, 12):
            outcomes.append(self.decide(order, 0.6))
            self.control.world.run(0.5)
        self.assertLessEqual(sum(isinstance(outcome, Failure) for outcome in outcomes), 2)

    def test_without_any_control_daemon_nothing_happened(self) -> None:
        for name in ("c1", "c2", "c3"):
            self.control.world.kill(name)
        self.assertEqual(self.decide(1).failure().kind, "not-leading")

    def test_without_a_majority_nothing_happened(self) -> None:
        self.control.world.kill("c2")
        self.control.world.kill("c3")
        self.control.world.run(4.0)
        self.assertEqual(self.decide(1).failure().kind, "not-leading")

    def test_a_command_whose_answer_was_lost_is_unknown_and_gets_its_first_outcome_when_repeated(self) -> None:
        self.assertIsInstance(self.decide(1), Success)
        partitions = [self.control.world.cut(name, "operator", both_ways=False) for name in ("c1", "c2", "c3")]
        self.assertEqual(self.decide(2).failure().kind, "unknown")
        for cut in partitions:
            self.control.world.heal(cut)
        self.control.world.run(3.0)
        outcomes = [self.decide(2) for _ in range(2)]
        self.assertEqual(outcomes[0], outcomes[1])
        self.assertNotIsInstance(outcomes[0], Failure)

    def test_a_command_that_may_have_been_sent_stays_unknown_though_later_attempts_were_not_sent(self) -> None:
        client, seed = self.control.clients["operator"], self.control.seeds[0]
        sent = [True]

        async def call(
            address: Address, message: msgspec.Struct, *_: object
        ) -> Result[msgspec.Struct, TransportFailure]:
            if isinstance(message, ControlLeaderQuery):
                return Success(ControlLeader(seed, (), Epoch(1)))
            return Failure(TransportFailure("unreachable", sent.pop() if sent else False))

        client._messenger.call = call  # type: ignore[method-assign, assignment]
        self.assertEqual(self.decide(1).failure().kind, "unknown")
        self.assertEqual(self.decide(2).failure().kind, "not-leading")

    def test_a_frozen_primary_costs_one_attempt(self) -> None:
        self.assertIsInstance(self.decide(1), Success)
        self.control.world.freeze("c1")
        started = self.control.world.now
        self.assertIsInstance(self.decide(2, 5.0), Success)
        self.assertLess(self.control.world.now - started, 2.0)


if __name__ == "__main__":
    unittest.main()
