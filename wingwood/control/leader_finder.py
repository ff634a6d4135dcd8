"""Finds the primary by asking all known control daemons who leads (docs/DESIGN.md section 7.11)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from returns.result import Success

from ..context.protocols import Clock
from ..identifiers import Address, Instant, Seconds
from ..transport.messenger import Messenger
from .messages import ControlLeader, ControlLeaderQuery


class LeaderFinder:
    """Queries the control daemons. Owns the addresses learned from their answers and the query in progress.

    ``timeout`` bounds one query; it ends ``linger`` seconds after the first answer.
    """

    def __init__(
        self,
        clock: Clock,
        messenger: Messenger,
        addresses: Callable[[], Sequence[Address]],
        timeout: Seconds,
        linger: Seconds,
    ) -> None:
        self._clock = clock
        self._messenger = messenger
        self._addresses = addresses
        self._timeout = timeout
        self._linger = linger
        self._learned: tuple[Address, ...] = ()
        self._query: asyncio.Task[list[Address]] | None = None

    async def find(self) -> list[Address]:
        """Returns the presumed primary and the daemons that answered.

        Concurrent callers share one query.
        """
        if self._query is None or self._query.done():
            self._query = asyncio.get_running_loop().create_task(self._query_leaders())
        return list(await asyncio.shield(self._query))

    async def _query_leaders(self) -> list[Address]:
        leaders = await self._answers()
        if not leaders:
            return []
        latest = max(leaders.values(), key=lambda leader: leader.epoch)
        self._learned = latest.addresses
        primary = [] if latest.primary is None else [latest.primary]
        return list(dict.fromkeys([*primary, *sorted(leaders)]))

    async def _answers(self) -> dict[Address, ControlLeader]:
        """Returns the answers that arrive in time by address, in the order of their arrival."""
        answers: dict[Address, ControlLeader] = {}

        async def ask(address: Address) -> None:
            match await self._messenger.call(address, ControlLeaderQuery(), ControlLeader, self._timeout):
                case Success(leader):
                    answers[address] = leader

        addresses = dict.fromkeys([*self._addresses(), *self._learned])
        unanswered = {asyncio.get_running_loop().create_task(ask(address)) for address in addresses}
        end = Instant(self._clock.monotonic() + self._timeout)
        while unanswered and (remaining := end - self._clock.monotonic()) > 0.0:
            _, unanswered = await asyncio.wait(unanswered, timeout=remaining, return_when=asyncio.FIRST_COMPLETED)
            if answers:
                end = min(end, Instant(self._clock.monotonic() + self._linger))
        return answers
