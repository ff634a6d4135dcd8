"""Client of the control core for any daemon: sends commands to the primary (docs/DESIGN.md section 7.11)."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Literal, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from ..bundle.commands import SubmitEdition, SubmitOrder
from ..bundle.model import OrderOutcome
from ..context.protocols import Context
from ..identifiers import Address, Instant, Seconds
from ..transport.errors import TransportFailure
from ..transport.messenger import Messenger
from .errors import CommandFailure
from .leader_finder import LeaderFinder
from .messages import ControlCommand, ControlDecision

Reply = TypeVar("Reply", bound=msgspec.Struct)


class ControlClientOptions(msgspec.Struct, frozen=True):
    """Timeouts of a client; durations are in seconds."""

    attempt_timeout: Seconds = Seconds(1.2)
    """How long one control daemon may take to answer before the command is sent to another."""
    leader_query_timeout: Seconds = Seconds(0.4)
    """How long to wait for the control daemons' answers to the question who leads."""
    leader_query_linger: Seconds = Seconds(0.05)
    """How long to wait for further answers after the first one."""
    retry_backoff: Seconds = Seconds(0.05)
    """Backoff before the next attempt."""
    avoid_unresponsive_for: Seconds = Seconds(3.0)
    """For this long, a daemon that left a command unanswered is asked only after all others."""


class _Submission:
    """One command on its way to the primary: the addresses to try, and what is known about its outcome."""

    def __init__(self, kind: str, command: bytes, deadline: Instant) -> None:
        self.kind = kind
        self.command = command
        self.deadline = deadline
        self.targets: list[Address] = []
        """The addresses to try next: the primary, then daemons that can forward the command."""
        self._latest = CommandFailure("not-leading", detail="no control daemon answers")
        self._may_have_run = False

    def record_fault(self, fault: TransportFailure) -> None:
        """Records an attempt without an answer."""
        kind: Literal["unknown", "not-leading"] = "unknown" if fault.sent else "not-leading"
        self.record_failure(CommandFailure(kind, None, f"{fault.kind} {fault.detail}"))

    def record_failure(self, failure: CommandFailure | None) -> CommandFailure:
        """Records the failure of an attempt, if the answer gives one; returns the latest failure."""
        self._latest = failure or self._latest
        self._may_have_run = self._may_have_run or self._latest.kind == "unknown"
        return self._latest

    def failure(self) -> CommandFailure:
        """Returns the latest failure, as ``unknown`` if any attempt may have run the command."""
        latest = self._latest
        return CommandFailure("unknown", latest.primary, latest.detail) if self._may_have_run else latest


class ControlClient:
    """Sends commands to the primary, whichever daemon that is, until an answer is certain or the timeout passes.

    A command may reach the appliers more than once, so they must recognise a repeated command: orders by
    their id, the ledger by its tickets. ``addresses`` returns the internal addresses of all control daemons
    known now: the seeds and those learned since. Owns the address of the presumed primary and the list of
    daemons that were unresponsive recently.
    """

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        addresses: Callable[[], Sequence[Address]],
        options: ControlClientOptions | None = None,
    ) -> None:
        options = options or ControlClientOptions()
        self._context = context
        self._messenger = messenger
        self._options = options
        self._finder = LeaderFinder(
            context.clock, messenger, addresses, options.leader_query_timeout, options.leader_query_linger
        )
        self._primary: Address | None = None
        self._unresponsive_until: dict[Address, Instant] = {}

    async def decide(
        self, kind: str, command: msgspec.Struct, reply_type: type[Reply], timeout: Seconds
    ) -> Result[Reply, CommandFailure]:
        """Sends the command until it gets a reply or ``timeout`` passes.

        The failure is ``unknown`` when the command may have been sent and no answer was certain; every other
        kind means that nothing happened.
        """
        deadline = Instant(self._context.clock.monotonic() + timeout)
        submission = _Submission(kind, msgspec.msgpack.encode(command), deadline)
        while self._remaining(submission) > 0.0:
            address = await self._next_target(submission)
            decision = None if address is None else await self._attempt(submission, address)
            if address is None or decision is None:
                continue
            if decision.reply is not None:
                self._record_reply(address, decision)
                return Success(msgspec.msgpack.decode(decision.reply, type=reply_type))
            self._record_rejection(submission, address, decision)
            await self._back_off(submission)
        return Failure(submission.failure())

    async def submit(
        self, command: SubmitOrder | SubmitEdition, timeout: Seconds
    ) -> Result[OrderOutcome, CommandFailure]:
        """Sends an operator's order; repeating it is always safe."""
        return await self.decide("bundle", command, OrderOutcome, timeout)

    # -- one attempt

    async def _next_target(self, submission: _Submission) -> Address | None:
        """Returns the address for the next attempt, or None when no daemon answers or no time is left."""
        if self._primary is not None and not submission.targets:
            submission.targets = [self._primary]
        if not submission.targets:
            submission.targets = sorted(await self._finder.find(), key=self._is_unresponsive)
            if not submission.targets:
                await self._back_off(submission)
                return None
            if self._remaining(submission) <= 0.0:
                return None
        return submission.targets.pop(0)

    async def _attempt(self, submission: _Submission, address: Address) -> ControlDecision | None:
        """Sends the command to one daemon; returns None when the daemon did not answer."""
        timeout = Seconds(min(self._remaining(submission), self._options.attempt_timeout))
        message = ControlCommand(submission.kind, submission.command, timeout, hops=1)
        match await self._messenger.call(address, message, ControlDecision, timeout):
            case Success(answer):
                decision: ControlDecision = answer
                return decision
            case Failure(fault):
                submission.record_fault(fault)
                self._clear_primary(address)
                self._record_unresponsive(address)
                if not submission.targets:
                    await self._back_off(submission)
        return None

    def _record_reply(self, address: Address, decision: ControlDecision) -> None:
        """Records which daemon to ask next time: the primary, or the forwarder if only that is reachable from here."""
        self._unresponsive_until.pop(address, None)
        self._primary = decision.primary or address
        if self._is_unresponsive(self._primary):
            self._primary = address

    def _record_rejection(self, submission: _Submission, address: Address, decision: ControlDecision) -> None:
        failure = submission.record_failure(decision.fault)
        self._clear_primary(address)
        if failure.primary is None or failure.primary == address:
            submission.targets = []
        elif self._is_unresponsive(failure.primary):
            # It refers us to a primary that does not answer us, so other daemons are asked first.
            self._record_unresponsive(address)
        else:
            submission.targets = [failure.primary]

    # -- the state of the client

    def _remaining(self, submission: _Submission) -> float:
        return submission.deadline - self._context.clock.monotonic()

    async def _back_off(self, submission: _Submission) -> None:
        seconds = max(0.0, min(self._options.retry_backoff, self._remaining(submission)))
        await self._context.clock.sleep(Seconds(seconds))

    def _record_unresponsive(self, address: Address) -> None:
        now = self._context.clock.monotonic()
        self._unresponsive_until[address] = Instant(now + self._options.avoid_unresponsive_for)

    def _is_unresponsive(self, address: Address) -> bool:
        """Whether the daemon left a command unanswered recently."""
        return self._unresponsive_until.get(address, 0.0) > self._context.clock.monotonic()

    def _clear_primary(self, address: Address) -> None:
        if self._primary == address:
            self._primary = None
