"""Calls that may not be repeated while the ledger is unreachable (docs/DESIGN.md section 12.4).

If each of them waited for the ledger, callers would wait in vain and have no time left for a retry.
"""

from __future__ import annotations

import unittest
from typing import Any, cast

import msgspec

from simulation import World
from wingwood.context.protocols import Context

from ...identifiers import Address, Instant, RequestId, Seconds
from ...ledger.protocols import AlreadyClaimed, CallKey, Claimed, ClaimError, ClaimTimeoutError, Outcome
from ..caller_format import DefaultCallerFormat
from ..calls import CallAttributes, CallerRequest, IncomingCall
from ..forward_options import LedgerOptions
from ..policies.at_most_once import AtMostOncePolicy
from ..results import CallResult, Forwarded, Rejection
from .fakes import CARDS, bundle_of

SHORT_WAIT = msgspec.structs.replace(CARDS, first_byte_timeout=Seconds(2.0))


class UnreachableLedger:
    """Answers no claim within its timeout until ``reachable`` is set."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.reachable = False
        self.claims = 0

    async def claim(self, key: CallKey, timeout: Seconds) -> Claimed | AlreadyClaimed | ClaimError:
        self.claims += 1
        if self.reachable:
            return Claimed("ticket")
        await self.context.clock.sleep(timeout)
        return ClaimTimeoutError()

    async def report_outcome(self, key: CallKey, ticket: str, outcome: Outcome) -> bool:
        return True


class UnreachableLedgerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world = self.enterContext(World(1))
        self.answers: list[tuple[float, CallResult]] = []

        async def main(context: Context) -> None:
            self.context = context
            self.ledger = UnreachableLedger(context)
            self.policy = AtMostOncePolicy(context, cast(Any, self.ledger), LedgerOptions(), DefaultCallerFormat())

        self.world.start("r1", main)
        self.world.run(0.01)
        self.number = 0

    def call(self) -> None:
        """Starts one call; its duration and its answer are appended to ``answers``."""
        self.number += 1
        key = f"key-{self.number}"

        async def run() -> None:
            now = self.context.clock.monotonic()
            call = IncomingCall(
                request_id=RequestId(key),
                request=CallerRequest(
                    method="POST",
                    path="/cards",
                    headers=(("Idempotency-Key", key),),
                    body=b"{}",
                    peer=Address("10.0.0.9", 1),
                    received_at=Instant(now),
                ),
                response=cast(Any, None),
                attributes=CallAttributes(service=SHORT_WAIT, tenant=next(iter(bundle_of().tenants.values()))),
            )

            async def proceed(_: IncomingCall) -> CallResult:
                return Forwarded(200)

            answer = await self.policy.apply(call, proceed)
            self.answers.append((self.context.clock.monotonic() - now, answer))

        self.world.spawn(self.world.processes["r1"], run(), "call")

    def test_the_first_call_is_rejected_within_its_first_byte_timeout_and_later_ones_at_once(self) -> None:
        self.call()
        self.world.run(2.1)
        waited, answer = self.answers.pop()
        assert isinstance(answer, Rejection)
        self.assertEqual(answer.code, "ledger-unreachable")
        self.assertLess(waited, 1.6)
        for _ in range(40):
            self.call()
            self.world.run(0.1)
        self.world.run(2.0)
        self.assertEqual(len(self.answers), 40)
        at_once = [waited for waited, _ in self.answers if waited < 0.01]
        self.assertGreater(len(at_once), 30, "only probes wait for the ledger")
        self.assertTrue(all(isinstance(each, Rejection) and each.retry_after for _, each in self.answers))

    def test_calls_are_served_soon_after_the_ledger_is_reachable_again(self) -> None:
        self.call()
        self.world.run(3.0)
        self.ledger.reachable = True
        self.answers.clear()
        for _ in range(20):
            self.call()
            self.world.run(0.1)
        served = [isinstance(answer, Forwarded) for _, answer in self.answers]
        self.assertGreater(sum(served), 12, served)
        self.assertTrue(all(served[-10:]))
