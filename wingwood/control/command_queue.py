"""Commands to the primary: their arrival, queue and answers (docs/DESIGN.md sections 7.2.5 and 7.7)."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import msgspec
from returns.result import Failure, Success
from tornado.queues import Queue

from ..context.protocols import Clock
from ..identifiers import Instant, Seconds
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .batch_runner import BatchRunner
from .changes import ChangeSignal
from .commands import Answer, PendingCommand
from .control_options import ControlOptions
from .errors import CommandFailure
from .forwarding import forward_command
from .member_state import MemberState
from .messages import ControlCommand, ControlDecision
from .own_leadership import OwnLeadership
from .protocols import Applier, PreparingApplier


class CommandQueue:
    """Accepts commands and has them decided in batches, by one task. Owns the queue of commands.

    Commands that arrive while a batch runs gather for the next one, so that they share its writes.
    """

    def __init__(
        self,
        clock: Clock,
        options: ControlOptions,
        messenger: Messenger,
        state: MemberState,
        leadership: OwnLeadership,
        changes: ChangeSignal,
        runner: BatchRunner,
        appliers: Sequence[Applier],
    ) -> None:
        self._clock = clock
        self._options = options
        self._messenger = messenger
        self._state = state
        self._leadership = leadership
        self._changes = changes
        self._runner = runner
        self._appliers = {applier.kind: applier for applier in appliers}
        self._commands: Queue[PendingCommand] = Queue(options.queued_commands)

    def register(self, messenger: Messenger) -> None:
        """Registers the handler of the messages that this part answers."""
        messenger.on_call(ControlCommand, self._on_command)

    def _not_leading(self) -> CommandFailure:
        return CommandFailure("not-leading", self._state.other_primary_address())

    # -- arrival and answers

    async def decide(self, kind: str, command: msgspec.Struct, timeout: Seconds | None = None) -> Answer:
        """As in ``ControlCore``; ``timeout`` may shorten the limit on the time to decide."""
        if not self._leadership.leads():
            return Failure(self._not_leading())
        limit = self._options.decide_timeout if timeout is None else min(timeout, self._options.decide_timeout)
        pending = PendingCommand(kind, command, Instant(self._clock.monotonic() + limit))
        if self._commands.full():
            return Failure(CommandFailure("busy", detail="too many commands wait"))
        self._commands.put_nowait(pending)
        try:
            async with asyncio.timeout(limit):
                answer = await pending.answer
        except TimeoutError:
            answer = pending.undecided("no answer in time")
        if isinstance(answer, Success) and self._clock.monotonic() > pending.deadline:
            return Failure(CommandFailure("unknown", detail="decided too late"))
        return answer

    async def _on_command(self, _: Identity, message: ControlCommand) -> ControlDecision:
        primary = self._state.other_primary_address()
        if self._leadership.current is None and message.hops > 0 and primary is not None:
            return await forward_command(self._messenger, primary, message)
        applier = self._appliers.get(message.kind)
        if applier is None:
            detail = f"no state of kind {message.kind!r} here"
            return ControlDecision(fault=CommandFailure("not-leading", detail=detail))
        try:
            command = msgspec.msgpack.decode(message.command, type=applier.command_type)
        except msgspec.MsgspecError as malformed:
            return ControlDecision(fault=CommandFailure("not-leading", detail=f"malformed command: {malformed}"))
        return await self._decide_decoded(applier, message, command)

    async def _decide_decoded(
        self, applier: Applier, message: ControlCommand, command: msgspec.Struct
    ) -> ControlDecision:
        if isinstance(applier, PreparingApplier) and self._leadership.leads():
            await applier.prepare(command)
        match await self.decide(message.kind, command, message.budget):
            case Success(reply):
                return ControlDecision(reply=msgspec.msgpack.encode(reply), primary=self._state.own.address)
            case Failure(failure):
                return ControlDecision(fault=failure)
        raise AssertionError("a result is a success or a failure")

    # -- the task that runs commands

    async def run(self) -> None:
        """Decides the commands in the queue as batches; no other task decides commands."""
        while True:
            await self._decide_batch([await self._commands.get()])

    async def _decide_batch(self, batch: list[PendingCommand]) -> None:
        """Runs until all commands of the batch, and those added meanwhile, are decided or past their deadline."""
        while batch:
            while len(batch) < self._options.batch_commands and self._commands.qsize():
                batch.append(self._commands.get_nowait())
            leadership = self._leadership.current
            if leadership is None:
                for command in batch:
                    command.resolve(Failure(self._not_leading()))
                return
            if await self._runner.try_batch(leadership, batch):
                return
            now = self._clock.monotonic()
            batch = _without_expired(batch, now)
            if batch:
                # A primary that gets no answers decides nothing, even right after its process was paused.
                await self._changes.wait(min(command.deadline for command in batch) - now)


def _without_expired(batch: Sequence[PendingCommand], now: Instant) -> list[PendingCommand]:
    for command in batch:
        if now > command.deadline:
            command.resolve(command.undecided("too few backups in time"))
    return [command for command in batch if not command.answer.done()]
