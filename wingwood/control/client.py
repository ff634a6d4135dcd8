"""Client of the control core for any daemon: finds the primary, sends commands (docs/DESIGN.md section 7.11)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

from ..bundle.commands import SubmitEdition, SubmitOrder
from ..bundle.model import OrderOutcome
from ..context.protocols import Context
from ..identifiers import Address, Instant, Seconds
from ..transport.messenger import Messenger
from .messages import ControlCommand, ControlDecision, ControlLeader, ControlLeaderQuery
from .protocols import NotDecided

Reply = TypeVar("Reply", bound=msgspec.Struct)


class ControlClientLimits(msgspec.Struct, frozen=True):
    """Limits of a client; durations are in seconds."""

    attempt_timeout: Seconds = Seconds(1.2)
    """How long one control daemon may take to answer before the command is sent to another."""
    leader_query_timeout: Seconds = Seconds(0.4)
    """How long to wait for the control daemons' answers to the question who leads."""
    leader_query_linger: Seconds = Seconds(0.05)
    """How long to wait for further answers after the first one."""
    retry_pause: Seconds = Seconds(0.05)
    """Pause before the next attempt."""
    avoid_silent_for: Seconds = Seconds(3.0)
    """For this long, a daemon that left a command unanswered is tried only after all others."""


class ControlClient:
    """Sends commands to the primary, whichever daemon that is, until an answer is certain or the timeout passes.

    A command may reach the appliers more than once, so they must recognise a repeated command: orders by
    their id, the ledger by its tickets. ``addresses`` returns the internal addresses of all control daemons
    known now: the seeds and those learned since.
    """

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        addresses: Callable[[], Sequence[Address]],
        limits: ControlClientLimits | None = None,
    ) -> None:
        self._context = context
        self._messenger = messenger
        self._addresses = addresses
        self._limits = limits or ControlClientLimits()
        self._primary: Address | None = None
        self._learned: tuple[Address, ...] = ()
        self._silent_until: dict[Address, Instant] = {}
        self._find_task: asyncio.Task[list[Address]] | None = None

    async def decide(
        self, kind: str, command: msgspec.Struct, reply_type: type[Reply], timeout: Seconds
    ) -> Result[Reply, NotDecided]:
        """Sends the command until it gets a reply or ``timeout`` passes.

        The failure is ``unknown`` when the command may have been sent and no answer was certain; every other
        kind means that nothing happened.
        """
        now = self._context.clock.monotonic
        encoded = msgspec.msgpack.encode(command)
        deadline = Instant(now() + timeout)
        may_have_run = False
        last = NotDecided("not-leading", detail="no control daemon answers")
        targets: list[Address] = []
        """The addresses to try next: the primary, then daemons that can forward the command."""
        while (left := deadline - now()) > 0.0:
            if self._primary is not None and not targets:
                targets = [self._primary]
            if not targets:
                targets = sorted(await self._find_targets(), key=self._is_silent)
                if not targets:
                    await self._pause(deadline)
                    continue
                left = deadline - now()
                if left <= 0.0:
                    break
            address = targets.pop(0)
            attempt_timeout = Seconds(min(left, self._limits.attempt_timeout))
            message = ControlCommand(kind, encoded, attempt_timeout, hops=1)
            match await self._messenger.call(address, message, ControlDecision, attempt_timeout):
                case Success(found):
                    decision: ControlDecision = found
                case Failure(fault):
                    may_have_run = may_have_run or fault.sent
                    last = NotDecided("unknown" if fault.sent else "not-leading", None, f"{fault.kind} {fault.detail}")
                    self._forget_primary(address)
                    self._silent_until[address] = Instant(now() + self._limits.avoid_silent_for)
                    if not targets:
                        await self._pause(deadline)
                    continue
            if decision.reply is not None:
                self._silent_until.pop(address, None)
                self._primary = decision.primary or address
                if self._is_silent(self._primary):  # Unreachable from here only: use the forwarder.
                    self._primary = address
                return Success(msgspec.msgpack.decode(decision.reply, type=reply_type))
            last = decision.fault or last
            may_have_run = may_have_run or last.kind == "unknown"
            self._forget_primary(address)
            if last.primary in (None, address):
                targets = []
            elif self._is_silent(last.primary):
                # It refers us to a silent primary, so other daemons are tried first.
                self._silent_until[address] = Instant(now() + self._limits.avoid_silent_for)
            else:
                targets = [last.primary]
            await self._pause(deadline)
        if may_have_run and last.kind != "unknown":
            last = NotDecided("unknown", last.primary, last.detail)
        return Failure(last)

    async def submit(self, command: SubmitOrder | SubmitEdition, timeout: Seconds) -> Result[OrderOutcome, NotDecided]:
        """Sends an operator's order; repeating it is always safe."""
        return await self.decide("bundle", command, OrderOutcome, timeout)

    def _is_silent(self, address: Address) -> bool:
        """Whether the daemon left a command unanswered recently."""
        return self._silent_until.get(address, 0.0) > self._context.clock.monotonic()

    async def _pause(self, deadline: Instant) -> None:
        left = deadline - self._context.clock.monotonic()
        await self._context.clock.sleep(Seconds(max(0.0, min(self._limits.retry_pause, left))))

    def _forget_primary(self, address: Address) -> None:
        if self._primary == address:
            self._primary = None

    async def _find_targets(self) -> list[Address]:
        """Returns the presumed primary and the daemons that answered.

        Concurrent callers share one round of questions.
        """
        if self._find_task is None or self._find_task.done():
            self._find_task = asyncio.get_running_loop().create_task(self._query_leaders())
        return list(await asyncio.shield(self._find_task))

    async def _query_leaders(self) -> list[Address]:
        answers: list[tuple[Address, ControlLeader]] = []

        async def ask(address: Address) -> None:
            match await self._messenger.call(
                address, ControlLeaderQuery(), ControlLeader, self._limits.leader_query_timeout
            ):
                case Success(found):
                    answers.append((address, found))

        addresses = dict.fromkeys([*self._addresses(), *self._learned])
        left = {asyncio.get_running_loop().create_task(ask(address)) for address in addresses}
        end = Instant(self._context.clock.monotonic() + self._limits.leader_query_timeout)
        while left and (wait := end - self._context.clock.monotonic()) > 0.0:
            _, left = await asyncio.wait(left, timeout=wait, return_when=asyncio.FIRST_COMPLETED)
            if answers:
                end = min(end, Instant(self._context.clock.monotonic() + self._limits.leader_query_linger))
        if not answers:
            return []
        latest_answer = max((leader for _, leader in answers), key=lambda leader: leader.epoch)
        self._learned = latest_answer.addresses
        targets = [] if latest_answer.primary is None else [latest_answer.primary]
        return list(dict.fromkeys([*targets, *sorted(address for address, _ in answers)]))
