"""The routers' ledger client, over a control core with faults (docs/DESIGN.md section 13).

Commands that are lost, delayed or duplicated, routers that freeze or restart, and callers that disconnect must
neither make a call run twice nor leave a key blocked that nobody runs.
"""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable, Coroutine
from typing import Any
from unittest import mock

import msgspec
from returns.result import Failure

from simulation import World

from ...context.protocols import Context
from ...control.errors import CommandFailure
from ...identifiers import Incarnation, Seconds
from ..client import DecideClient, RouterLedger
from ..commands import ClaimRequest, LedgerBatch
from ..ledger_options import LedgerOptions
from ..protocols import AlreadyClaimed, Claimed, ClaimError, ClaimRejectedError, ClaimTimeoutError
from ..state import LedgerState
from ..state_records import OpenClaim
from .ledger_world import RETENTION, FaultyControl, LedgerRouters, MakeLedger, WorldClock, call_key

CALM_SECONDS = 20.0


class ClientTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world = World(seed=7)
        self.world.__enter__()
        self.addCleanup(self.world.close)

    def routers(self, options: LedgerOptions | None = None) -> tuple[LedgerRouters, FaultyControl]:
        control = FaultyControl(self.world, lambda: LedgerState(WorldClock(self.world), RETENTION))
        control.faults_enabled = False
        routers = LedgerRouters(
            self.world,
            2,
            lambda context, name: control,
            lambda context, incarnation, decide: RouterLedger(context, incarnation, decide, options),
        )
        return routers, control

    def on_router(
        self, name: str, work: Callable[[RouterLedger], Coroutine[Any, Any, Any]], within: float = 30.0
    ) -> Any:
        """Runs ``work`` inside that router's process and returns its result."""
        results: list[Any] = []

        async def run() -> None:
            results.append(await work(self.fleet.ledgers[name]))

        self.world.spawn(self.world.processes[name], run(), "test")
        self.assertTrue(self.world.wait_for(lambda: bool(results), within, every=0.005))
        return results[0]

    def test_a_retry_at_another_router_waits_briefly_for_the_outcome(self) -> None:
        self.fleet, _ = self.routers()
        claimed = self.on_router("r0", lambda ledger: ledger.claim(call_key(1), Seconds(1.0)))
        assert isinstance(claimed, Claimed)
        self.world.spawn(self.world.processes["r0"], self._report_later(0.5, claimed.ticket), "report outcome")
        started_at = self.world.now
        answer = self.on_router("r1", lambda ledger: ledger.claim(call_key(1), Seconds(2.0)))
        self.assertEqual(answer, AlreadyClaimed("ran"))
        self.assertLess(self.world.now - started_at, 1.0)

    async def _report_later(self, seconds: float, ticket: str) -> None:
        await asyncio.sleep(seconds)
        self.assertTrue(await self.fleet.ledgers["r0"].report_outcome(call_key(1), ticket, "ran"))

    def test_a_claim_without_an_answer_times_out_and_is_freed(self) -> None:
        self.fleet, control = self.routers()
        with mock.patch.object(FaultyControl, "decide", _never_answer):
            started_at = self.world.now
            answer = self.on_router("r0", lambda ledger: ledger.claim(call_key(1), Seconds(1.0)))
            self.assertIsInstance(answer, ClaimTimeoutError)
            self.assertLess(self.world.now - started_at, 1.02)
            self.assertEqual(self.fleet.ledgers["r0"].unacknowledged_outcomes(), 1)
        self.world.run(3.0)
        self.assertEqual(self.fleet.ledgers["r0"].unacknowledged_outcomes(), 0)
        late = LedgerBatch(self.fleet.incarnations["r0"], 1, (ClaimRequest(1, b"k" * 16),))
        self.assertEqual(control.state.decide(late)[1].claims, ("closed",))  # type: ignore[attr-defined]

    def test_a_cancelled_claim_is_freed(self) -> None:
        self.fleet, control = self.routers()

        async def claim_and_leave(ledger: RouterLedger) -> bool:
            task = asyncio.ensure_future(ledger.claim(call_key(1), Seconds(1.0)))
            await asyncio.sleep(0.006)
            task.cancel()
            return True

        self.on_router("r0", claim_and_leave)
        self.world.run(1.0)
        self.assertEqual(control.state.entries(), 0)
        answer = self.on_router("r1", lambda ledger: ledger.claim(call_key(1), Seconds(1.0)))
        self.assertIsInstance(answer, Claimed)

    def test_an_answer_that_arrived_while_the_router_was_frozen_is_not_accepted(self) -> None:
        self.fleet, control = self.routers()
        answers: list[object] = []

        async def claim() -> None:
            answers.append(await self.fleet.ledgers["r0"].claim(call_key(1), Seconds(1.0)))

        self.world.spawn(self.world.processes["r0"], claim(), "claim")
        self.world.run(0.004)
        self.world.freeze("r0")
        self.world.run(5.0)
        self.world.wake("r0")
        self.world.run(1.0)
        self.assertIsInstance(answers[0], ClaimTimeoutError)
        self.assertEqual(control.state.entries(), 0)

    def test_simultaneous_claims_are_sent_in_few_batches(self) -> None:
        self.fleet, control = self.routers()
        with mock.patch.object(control.state, "decide", wraps=control.state.decide) as decide:

            async def many(ledger: RouterLedger) -> list[object]:
                return list(await asyncio.gather(*(ledger.claim(call_key(key), Seconds(1.0)) for key in range(1, 501))))

            answers = self.on_router("r0", many)
        self.assertEqual(sum(isinstance(answer, Claimed) for answer in answers), 500)
        self.assertLess(decide.call_count, 10)

    def test_pending_claims_and_unacknowledged_outcomes_are_bounded(self) -> None:
        self.fleet, _ = self.routers(LedgerOptions(max_pending_claims=3, max_unacknowledged_outcomes=5))
        with mock.patch.object(FaultyControl, "decide", _never_answer):

            async def many(ledger: RouterLedger) -> list[object]:
                return list(await asyncio.gather(*(ledger.claim(call_key(key), Seconds(0.3)) for key in range(1, 11))))

            for _ in range(4):
                self.assertTrue(all(isinstance(answer, ClaimError) for answer in self.on_router("r0", many)))
            self.assertLessEqual(self.fleet.ledgers["r0"].unacknowledged_outcomes(), 5 + 3)

    def test_draining_waits_for_outcomes_and_rejects_claims(self) -> None:
        self.fleet, _ = self.routers()
        claimed = self.on_router("r0", lambda ledger: ledger.claim(call_key(1), Seconds(1.0)))
        assert isinstance(claimed, Claimed)

        async def stop(ledger: RouterLedger) -> int:
            ledger.report_outcome_soon(call_key(1), claimed.ticket, "ran")
            return await ledger.drain(Seconds(2.0))

        self.assertEqual(self.on_router("r0", stop), 0)
        answer = self.on_router("r0", lambda ledger: ledger.claim(call_key(2), Seconds(1.0)))
        self.assertIsInstance(answer, ClaimRejectedError)
        answer = self.on_router("r1", lambda ledger: ledger.claim(call_key(1), Seconds(1.0)))
        self.assertEqual(answer, AlreadyClaimed("ran"))


async def _never_answer(
    control: FaultyControl, kind: str, command: object, reply_type: type, timeout: Seconds
) -> object:
    await asyncio.sleep(timeout)
    return Failure(CommandFailure("unknown"))


def run_random_faults(
    seed: int,
    seconds: float = 30.0,
    state_type: type[LedgerState] = LedgerState,
    acknowledges_early: bool = False,
    make_ledger: MakeLedger = RouterLedger,
) -> tuple[LedgerRouters, list[int]]:
    """Injects random faults, then lets the fleet recover; returns the routers and the keys that stay blocked."""
    with World(seed) as world:

        def make_state() -> LedgerState:
            return state_type(WorldClock(world), RETENTION, lambda router: routers.is_member(router))  # noqa: PLW0108

        control = FaultyControl(world, make_state, acknowledges_early)
        routers = LedgerRouters(world, 4, lambda context, name: control, make_ledger)
        routers.start_callers(12)
        while world.now < seconds:
            world.run(world.random.uniform(0.1, 1.0))
            inject_fault(world, control, routers)
        control.faults_enabled = False
        for name in routers.names:
            world.wake(name)
        for task in world.loop_tasks():
            if task.get_name() == "caller":
                task.cancel()
        world.run(CALM_SECONDS)
        blocked = routers.blocked_keys()
        if world.broken_invariants:
            raise AssertionError(world.broken_invariants[0])
        return routers, blocked


def inject_fault(world: World, control: FaultyControl, routers: LedgerRouters) -> None:
    """Injects one random fault or none: a failover, a killed router, or a router that is frozen for seconds."""
    random = world.random
    choice = random.random()
    name = random.choice(routers.names)
    if choice < 0.4:
        control.fail_over()
    elif choice < 0.6:
        routers.kill_router(name)
    elif choice < 0.8 and not world.processes[name].frozen:
        world.freeze(name)
        incarnation_number = world.processes[name].incarnation_number

        def wake() -> None:
            if world.processes[name].incarnation_number == incarnation_number:
                world.wake(name)

        world.at(world.now + random.uniform(0.5, 5.0), wake)


class RandomFaultsTest(unittest.TestCase):
    def test_nothing_runs_twice_and_nothing_stays_blocked(self) -> None:
        for seed in range(4):
            with self.subTest(seed=seed):
                routers, blocked = run_random_faults(seed)
                self.assertEqual(routers.observer.faults, [])
                self.assertEqual(blocked, [])
                self.assertGreater(routers.observer.claimed, 200)

    def test_a_ledger_that_answers_before_a_claim_is_durable_is_detected(self) -> None:
        self.assertTrue(any(run_random_faults(seed, acknowledges_early=True)[0].observer.faults for seed in range(3)))

    def test_a_ledger_that_grants_a_claim_to_another_ticket_is_detected(self) -> None:
        self.assertTrue(
            any(run_random_faults(seed, state_type=GrantsToAnyTicket)[0].observer.faults for seed in range(3))
        )

    def test_a_ledger_that_grants_freed_tickets_again_is_detected(self) -> None:
        self.assertTrue(any(run_random_faults(seed, state_type=GrantsFreedTickets)[1] for seed in range(3)))

    def test_a_router_that_does_not_free_its_late_claims_is_detected(self) -> None:
        self.assertTrue(any(run_random_faults(seed, make_ledger=NeverFreesLateClaims)[1] for seed in range(3)))


class GrantsToAnyTicket(LedgerState):
    def _find(self, key: bytes) -> OpenClaim | Any:
        claim = super()._find(key)
        if isinstance(claim, OpenClaim) and self._command is not None and claim.router == self._command.router:
            number = next((claim.number for claim in self._command.claims if claim.key == key), claim.number)
            return msgspec.structs.replace(claim, number=number)
        return claim

    _command: LedgerBatch | None = None

    def decide(self, command: msgspec.Struct) -> tuple[bytes | None, msgspec.Struct]:
        assert isinstance(command, LedgerBatch)
        self._command = command
        return super().decide(command)


class GrantsFreedTickets(LedgerState):
    def decide(self, command: msgspec.Struct) -> tuple[bytes | None, msgspec.Struct]:
        assert isinstance(command, LedgerBatch)
        self._closed_numbers.clear()
        return super().decide(msgspec.structs.replace(command, floor=0))


class NeverFreesLateClaims(RouterLedger):
    def __init__(self, context: Context, incarnation: Incarnation, control: DecideClient) -> None:
        super().__init__(context, incarnation, control)
        self._queue_outcome = self._queue
        self._queue = lambda report: None if report.outcome == "not-run" else self._queue_outcome(report)  # type: ignore[method-assign]
