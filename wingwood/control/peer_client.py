"""Calls from one control daemon to the others (docs/DESIGN.md section 7.2.1)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, TypeVar

import msgspec
from returns.result import Success

from ..context.protocols import Clock
from ..identifiers import Address, Seconds
from ..transport.messenger import Messenger
from .views import ViewMember

Reply = TypeVar("Reply", bound=msgspec.Struct)
Call = Coroutine[Any, Any, Reply | None]
"""A call in progress; ``Any`` as in the type that asyncio gives to coroutines."""


class PeerClient:
    """Sends messages to peers and collects their answers. It owns no state."""

    def __init__(self, messenger: Messenger, clock: Clock, call_timeout: Seconds) -> None:
        self._messenger = messenger
        self._clock = clock
        self._call_timeout = call_timeout

    async def ask(
        self, member: ViewMember, message: msgspec.Struct, reply_type: type[Reply], timeout: Seconds | None = None
    ) -> Reply | None:
        """Returns the answer of exactly that incarnation; None after a fault or the answer of another incarnation."""
        reply = await self._call(member.address, message, reply_type, timeout or self._call_timeout)
        return reply if getattr(reply, "by", None) == member.incarnation else None

    async def ask_address(self, address: Address, message: msgspec.Struct, reply_type: type[Reply]) -> Reply | None:
        """Returns the answer of whichever daemon is at that address, or None after a fault."""
        return await self._call(address, message, reply_type, self._call_timeout)

    async def _call(
        self, address: Address, message: msgspec.Struct, reply_type: type[Reply], timeout: Seconds
    ) -> Reply | None:
        match await self._messenger.call(address, message, reply_type, timeout):
            case Success(answer):
                reply: Reply = answer
                return reply
        return None

    def post(self, member: ViewMember, message: msgspec.Struct) -> None:
        """Sends a message without an answer; it may be lost."""
        self._messenger.post(member.address, message)

    async def gather(
        self,
        calls: Sequence[Call[Reply]],
        enough: Callable[[list[Reply]], bool],
        linger: Seconds = Seconds(0.0),  # noqa: B008
    ) -> list[Reply]:
        """Collects answers in the order of their arrival.

        Ends when all calls have ended, after the call timeout, or ``linger`` seconds after the answers were
        ``enough``. Calls without an answer by then go on, and their answers are ignored.
        """
        answers: list[Reply] = []
        loop = asyncio.get_running_loop()
        unanswered = [loop.create_task(call) for call in calls]
        end = self._clock.monotonic() + self._call_timeout
        satisfied = False
        while unanswered and (remaining := end - self._clock.monotonic()) > 0:
            done, _ = await asyncio.wait(unanswered, timeout=remaining, return_when=asyncio.FIRST_COMPLETED)
            answers += [answer for task in unanswered if task in done and (answer := task.result()) is not None]
            unanswered = [task for task in unanswered if task not in done]
            if not satisfied and enough(answers):
                satisfied = True
                end = min(end, self._clock.monotonic() + linger)
        return answers


async def all_answers(peers: PeerClient, calls: Sequence[Call[Reply]]) -> list[Reply]:
    """Returns the answers of all calls that are answered within the call timeout."""
    return await peers.gather(calls, lambda _: False)
