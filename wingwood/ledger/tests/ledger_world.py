"""Routers that claim and run calls, callers that give up and retry elsewhere, and an observer.

The control core is either ``FaultyControl``, which loses, delays, duplicates and reorders commands and changes
its primary, as the real one may at worst, or the real one (see test_core).
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

from simulation import World
from simulation.virtual_time import VirtualTask

from ...context.protocols import Context
from ...control.errors import CommandFailure
from ...identifiers import IdempotencyKey, Incarnation, Instant, Seconds, ServiceName, TenantName, WallTime
from ..client import DecideClient, RouterLedger
from ..commands import LedgerBatch
from ..protocols import AlreadyClaimed, CallKey, Claimed
from ..state import LedgerState

Reply = TypeVar("Reply", bound=msgspec.Struct)
MakeLedger = Callable[[Context, Incarnation, DecideClient], RouterLedger]
RETENTION = Seconds(1800.0)


def call_key(number: int) -> CallKey:
    return CallKey(TenantName("sabarmati"), ServiceName("gate"), IdempotencyKey(f"pass {number}"))


class Observer:
    """Records the answers to callers and the runs at workers; ``faults`` lists violations of at-most-once."""

    def __init__(self) -> None:
        self.runs: Counter[int] = Counter()
        self.answered_not_run: set[tuple[int, int]] = set()
        self.faults: list[str] = []
        self.claimed = 0
        self.answers: Counter[str] = Counter()

    def run(self, now: float, key: int, attempt: int) -> None:
        self.runs[key] += 1
        if self.runs[key] > 1:
            self.faults.append(f"{now:.3f} call {key} ran twice")
        if (key, attempt) in self.answered_not_run:
            self.faults.append(f"{now:.3f} call {key} attempt {attempt} ran after it was answered not-run")

    def record_answer(self, now: float, key: int, attempt: int, answer: str) -> None:
        self.answers[answer] += 1
        if answer == "not-run":
            self.answered_not_run.add((key, attempt))
        if answer == "ran" and not self.runs[key]:
            self.faults.append(f"{now:.3f} call {key} was answered as ran and has not run")


class WorldClock:
    """The clock of the simulated world, for a state that is called by processes whose own clocks differ."""

    def __init__(self, world: World) -> None:
        self._world = world

    def monotonic(self) -> Instant:
        return Instant(self._world.now)

    def wall(self) -> WallTime:
        raise AssertionError("the ledger must not read the wall clock")

    async def sleep(self, seconds: Seconds) -> None:
        raise AssertionError("the ledger's state must not sleep")


class FaultyControl:
    """Runs commands in one ``LedgerState`` at a time; acknowledged records survive ``fail_over``."""

    def __init__(self, world: World, make_state: Callable[[], LedgerState], acknowledges_early: bool = False) -> None:
        self._world = world
        self._make_state = make_state
        self._acknowledges_early = acknowledges_early
        """Selects a broken variant that answers before a record is durable."""
        self.state = make_state()
        self._log: list[bytes] = []
        self._durable = 0
        self._term = 0
        self.faults_enabled = True

    def fail_over(self) -> None:
        """Replaces the primary by one with all acknowledged records and a random part of the others."""
        self._term += 1
        retained = self._world.random.randint(self._durable, len(self._log))
        self._log = self._log[:retained]
        self._durable = retained
        self.state = self._make_state()
        if retained > 10:
            # Restores as from a rewritten journal: a snapshot, then the records after it.
            for record in self._log[:10]:
                self.state.apply(record)
            snapshot = self.state.snapshot()
            self.state = self._make_state()
            self.state.restore(snapshot)
        for record in self._log[10 if retained > 10 else 0 :]:
            self.state.apply(record)

    async def decide(
        self, kind: str, command: msgspec.Struct, reply_type: type[Reply], timeout: Seconds
    ) -> Result[Reply, CommandFailure]:
        random = self._world.random
        fault_choice = random.random() if self.faults_enabled else 1.0
        lost = Failure(CommandFailure("unknown", detail="no answer"))
        if fault_choice < 0.05:
            await asyncio.sleep(timeout)
            return lost
        if fault_choice < 0.12:
            self._world.at(self._world.now + random.uniform(0.0, 6.0), lambda: self._late(command))
            await asyncio.sleep(timeout)
            return lost
        await asyncio.sleep(random.uniform(0.001, 0.02))
        term = self._term
        encoded = msgspec.msgpack.encode(command)
        record, reply = self.state.decide(msgspec.msgpack.decode(encoded, type=LedgerBatch))
        if record is not None:
            self.state.apply(record)
            self._log.append(record)
        end = len(self._log)
        if not self._acknowledges_early:
            await asyncio.sleep(random.uniform(0.001, 0.02))
        if self._term != term:
            return lost
        self._durable = max(self._durable, 0 if self._acknowledges_early else end)
        if fault_choice < 0.2:
            await asyncio.sleep(timeout)
            return lost
        if fault_choice < 0.25:
            self._world.at(self._world.now + random.uniform(0.0, 6.0), lambda: self._late(command))
        return Success(msgspec.msgpack.decode(msgspec.msgpack.encode(reply), type=reply_type))

    def _late(self, command: msgspec.Struct) -> None:
        """Runs a command that was delayed in a buffer, or its duplicate."""
        record, _ = self.state.decide(command)
        if record is not None:
            self.state.apply(record)
            self._log.append(record)


class LedgerRouters:
    """Routers ``r0``, ``r1``... and callers, each call with its own key; some calls go to two routers at once."""

    def __init__(
        self,
        world: World,
        routers: int,
        control: Callable[[Context, str], DecideClient],
        make_ledger: MakeLedger = RouterLedger,
    ) -> None:
        self.world = world
        self.control = control
        self.make_ledger = make_ledger
        self.observer = Observer()
        self.ledgers: dict[str, RouterLedger] = {}
        self.incarnations: dict[str, Incarnation] = {}
        self.keys = 0
        self.crashed_keys: set[int] = set()
        """Keys whose calls a router was serving when it was killed; their outcome may stay unknown."""
        self._open_attempts: dict[str, set[tuple[int, int]]] = {}
        self.names = [f"r{number}" for number in range(routers)]
        for name in self.names:
            world.start(name, self._main(name), zone="ab"[int(name[1:]) % 2])
        world.run(0.01)

    def _main(self, name: str):  # type: ignore[no-untyped-def]
        async def main(context: Context) -> None:
            incarnation = Incarnation(f"{name}-{context.random.randrange(1 << 30):x}")
            self.incarnations[name] = incarnation
            self._open_attempts[name] = set()
            self.ledgers[name] = self.make_ledger(context, incarnation, self.control(context, name))

        return main

    def is_member(self, incarnation: Incarnation) -> bool:
        return any(
            known == incarnation and self.world.processes[name].alive and not self.world.processes[name].frozen
            for name, known in self.incarnations.items()
        )

    def kill_router(self, name: str) -> None:
        self.crashed_keys |= {key for key, _ in self._open_attempts[name]}
        self.world.restart(name)

    async def _serve(self, name: str, key: int, attempt: int) -> str:
        """Serves a call that must not be repeated, as a router does; returns the outcome that the caller gets."""
        process, ledger = self.world.processes[name], self.ledgers[name]
        context = self.world.context_for(process)
        deadline = context.clock.monotonic() + 3.0
        self._open_attempts[name].add((key, attempt))
        answer = await ledger.claim(call_key(key), Seconds(1.5))
        if isinstance(answer, AlreadyClaimed):
            self._open_attempts[name].discard((key, attempt))
            return answer.state
        if not isinstance(answer, Claimed):
            return "not-run"
        self.observer.claimed += 1
        try:
            if context.random.random() < 0.3:
                await context.clock.sleep(Seconds(context.random.uniform(0.0, 1.0)))
        except asyncio.CancelledError:
            ledger.report_outcome_soon(call_key(key), answer.ticket, "not-run")
            raise
        if context.random.random() < 0.1 or context.clock.monotonic() >= deadline:
            await ledger.report_outcome(call_key(key), answer.ticket, "not-run")
            return "not-run"
        self.observer.run(self.world.now, key, attempt)
        try:
            await context.clock.sleep(Seconds(context.random.uniform(0.0, 0.5)))
        except asyncio.CancelledError:
            ledger.report_outcome_soon(call_key(key), answer.ticket, "unknown")
            raise
        ledger.report_outcome_soon(call_key(key), answer.ticket, "ran")
        return "answered"

    async def call(self, key: int, attempt: int, name: str, timeout: float) -> str:
        """Makes one attempt of a caller; returns its answer, or "gave-up"."""
        answer: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        serving: list[VirtualTask] = []

        async def serve() -> None:
            task = asyncio.current_task()
            assert isinstance(task, VirtualTask)
            serving.append(task)
            outcome = await self._serve(name, key, attempt)
            self.observer.record_answer(self.world.now, key, attempt, outcome)
            if not answer.done():
                answer.set_result(outcome)

        if not self.world.processes[name].alive:
            return "gave-up"
        self.world.spawn(self.world.processes[name], serve(), "serve")
        await asyncio.wait((answer,), timeout=timeout)
        if answer.done():
            return answer.result()
        for task in serving:
            task.cancel()
        return "gave-up"

    async def caller(self) -> None:
        """Makes calls without end, each retried once at another router when it failed or was not answered."""
        random = self.world.random
        while True:
            self.keys += 1
            key = self.keys
            first, second = random.choice(self.names), random.choice(self.names)
            if random.random() < 0.2:
                await asyncio.gather(self.call(key, 1, first, 2.5), self.call(key, 2, second, 2.5))
            elif await self.call(key, 1, first, random.choice((0.3, 2.5))) in ("gave-up", "not-run", "running"):
                await self.call(key, 2, second, 2.5)
            await asyncio.sleep(random.uniform(0.0, 0.1))

    def start_callers(self, number: int) -> None:
        for _ in range(number):
            self.world.loop.create_task(self.caller(), name="caller")

    def blocked_keys(self) -> list[int]:
        """Returns the keys that cannot be claimed although they never ran and no killed router had claimed them.

        It is called after the faults have ended.
        """
        blocked: list[int] = []
        process = self.world.processes[self.names[0]]
        ledger = self.ledgers[self.names[0]]

        async def ask(key: int) -> None:
            answer = await ledger.claim(call_key(key), Seconds(1.5))
            if not isinstance(answer, Claimed):
                blocked.append(key)

        async def ask_all(keys: list[int], done: list[bool]) -> None:
            for start in range(0, len(keys), 50):
                await asyncio.gather(*(ask(key) for key in keys[start : start + 50]))
            done.append(True)

        keys = [key for key in range(1, self.keys + 1) if not self.observer.runs[key] and key not in self.crashed_keys]
        done: list[bool] = []
        self.world.spawn(process, ask_all(keys, done), "ask")
        assert self.world.wait_for(lambda: bool(done), 120.0)
        return sorted(blocked)
