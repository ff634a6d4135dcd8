"""Passing a large delta on while it is still coming in (docs/DESIGN.md section 9.2)."""

from __future__ import annotations

import asyncio

from ..context.protocols import Clock
from ..identifiers import BundleVersion, Instant, Seconds
from .messages import BundleChunk, FetchBundle


class IncomingDelta:
    """The pieces of one fetch, as they were received, by their offset in the unpacked bytes."""

    def __init__(self, since: BundleVersion, to: BundleVersion) -> None:
        self.since = since
        self.to = to
        self.chunks: dict[int, BundleChunk] = {}

    def answers(self, asked: FetchBundle) -> bool:
        return asked.since == self.since and asked.to in (0, self.to)


class ChunkRelay:
    """Lets other daemons fetch what this daemon is fetching itself.

    A piece is given away as it came, before the delta is whole and checked: whoever fetches it checks it anyway. So a
    delta crosses a tree of daemons in the time of one transfer and a piece for each level, not of a transfer for each.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._incoming: IncomingDelta | None = None
        self._step = asyncio.Event()
        """Replaced at each step, so that all who wait look again."""

    def start(self, since: BundleVersion, to: BundleVersion) -> IncomingDelta:
        self._incoming = IncomingDelta(since, to)
        self._notify_step()
        return self._incoming

    def add(self, incoming: IncomingDelta, chunk: BundleChunk) -> None:
        incoming.chunks[chunk.offset] = chunk
        self._notify_step()

    def end(self, incoming: IncomingDelta) -> None:
        """It is in force here, or the fetch has failed."""
        if self._incoming is incoming:
            self._incoming = None
            self._notify_step()

    async def piece(self, asked: FetchBundle, within: Seconds) -> BundleChunk | None:
        """The piece asked for, waited for as long as a fetch may still bring it; None when it doesn't come."""
        until = Instant(self._clock.monotonic() + within)
        while (chunk := self._stored(asked)) is None:
            if not await self._wait_for_step(until) or self._is_over(asked):
                return None
        return chunk

    def _stored(self, asked: FetchBundle) -> BundleChunk | None:
        incoming = self._incoming
        if incoming is None or not incoming.answers(asked):
            return None
        return incoming.chunks.get(asked.offset)

    def _is_over(self, asked: FetchBundle) -> bool:
        """The fetch of which the asker has some pieces has ended."""
        return asked.to != 0 and (self._incoming is None or not self._incoming.answers(asked))

    async def _wait_for_step(self, until: Instant) -> bool:
        step_event = self._step
        try:
            async with asyncio.timeout(max(0.0, until - self._clock.monotonic())):
                await step_event.wait()
        except TimeoutError:
            return False
        return True

    def _notify_step(self) -> None:
        self._step.set()
        self._step = asyncio.Event()
