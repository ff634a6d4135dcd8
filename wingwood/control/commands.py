"""Commands in the primary: pending, decided, answered (docs/DESIGN.md section 7.7)."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import msgspec
from returns.result import Failure, Result, Success

from ..identifiers import Instant
from .errors import CommandFailure

Answer = Result[msgspec.Struct, CommandFailure]
"""The reply of the applier, or why there is none."""

EXPIRED = Instant(float("-inf"))


class PendingCommand:
    """A command that is in the queue, or in a batch that is not durable yet."""

    __slots__ = ("answer", "command", "deadline", "decided", "kind")

    def __init__(self, kind: str, command: msgspec.Struct, deadline: Instant) -> None:
        self.kind = kind
        self.command = command
        self.deadline = deadline
        self.decided = False
        """Whether an applier has decided the command, so that it may become durable."""
        self.answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()

    def resolve(self, answer: Answer) -> None:
        """Answers the command unless it has been answered or its requester has given up."""
        if not self.answer.done():
            self.answer.set_result(answer)

    def undecided(self, detail: str) -> Answer:
        """Returns the answer to a command whose deadline has passed.

        A command that was not decided by then is never run.
        """
        if self.decided:
            return Failure(CommandFailure("unknown", detail=detail))
        self.deadline = EXPIRED
        return Failure(CommandFailure("busy", detail=detail))


class DecidedCommand(msgspec.Struct, frozen=True):
    """A command with the reply of its applier, which may be sent once the batch is durable."""

    command: PendingCommand
    reply: msgspec.Struct

    def deliver(self, now: Instant) -> None:
        """Sends the reply after the batch has become durable, unless the deadline has passed."""
        if now <= self.command.deadline:
            self.command.resolve(Success(self.reply))
        else:
            self.command.resolve(Failure(CommandFailure("unknown", detail="decided too late")))


def deliver_all(decided: Sequence[DecidedCommand], now: Instant) -> None:
    """Sends the replies of a batch that has become durable."""
    for command in decided:
        command.deliver(now)


def fail_all(decided: Sequence[DecidedCommand], detail: str) -> None:
    """Answers all commands with ``unknown``, since their batch may or may not become durable."""
    for command in decided:
        command.command.resolve(Failure(CommandFailure("unknown", detail=detail)))
