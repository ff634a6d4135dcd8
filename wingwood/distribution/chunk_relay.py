"""Relays a large delta to other daemons while it is still being received (docs/DESIGN.md section 9.2)."""

from __future__ import annotations

import asyncio

from ..context.protocols import Clock
from ..identifiers import BundleVersion, Instant, Seconds
from .messages import BundleChunk, FetchBundle


class IncomingDelta:
    """The chunks of one fetch as they were received, keyed by their offset in the uncompressed bytes."""

    def __init__(self, since: BundleVersion, to: BundleVersion) -> None:
        self.since = since
        self.to = to
        self.chunks: dict[int, BundleChunk] = {}

    def answers(self, request: FetchBundle) -> bool:
        """Whether the requested chunk belongs to this delta."""
        return request.since == self.since and request.to in (0, self.to)


class ChunkRelay:
    """Lets other daemons fetch the delta that this daemon is fetching itself.

    A chunk is relayed as it was received, before the delta is complete and verified, because every receiver verifies
    the delta anyway. So a delta crosses a tree of daemons in the time of one transfer plus one chunk per level,
    instead of one transfer per level.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._incoming: IncomingDelta | None = None
        self._step = asyncio.Event()
        """Set and replaced at each step of the fetch, so that every waiting request checks again."""

    def start(self, since: BundleVersion, to: BundleVersion) -> IncomingDelta:
        """Starts relaying the delta from ``since`` to ``to``, in place of an earlier one."""
        self._incoming = IncomingDelta(since, to)
        self._notify_step()
        return self._incoming

    def add(self, incoming: IncomingDelta, chunk: BundleChunk) -> None:
        """Adds a received chunk, and answers requests that wait for it."""
        incoming.chunks[chunk.offset] = chunk
        self._notify_step()

    def end(self, incoming: IncomingDelta) -> None:
        """Ends relaying ``incoming``, because its delta is applied on this daemon or the fetch has failed.

        An earlier fetch that was replaced by another one changes nothing.
        """
        if self._incoming is incoming:
            self._incoming = None
            self._notify_step()

    async def wait_for_chunk(self, request: FetchBundle, timeout: Seconds) -> BundleChunk | None:
        """Waits up to ``timeout`` seconds for the requested chunk.

        Returns None when the time is over, or at once when the fetch that could bring the chunk has ended.
        """
        deadline = Instant(self._clock.monotonic() + timeout)
        while (chunk := self._stored_chunk(request)) is None:
            if not await self._wait_for_step(deadline) or self._has_ended(request):
                return None
        return chunk

    def _stored_chunk(self, request: FetchBundle) -> BundleChunk | None:
        incoming = self._incoming
        if incoming is None or not incoming.answers(request):
            return None
        return incoming.chunks.get(request.offset)

    def _has_ended(self, request: FetchBundle) -> bool:
        """Whether the fetch from which the requester already has chunks has ended."""
        return request.to != 0 and (self._incoming is None or not self._incoming.answers(request))

    async def _wait_for_step(self, deadline: Instant) -> bool:
        step_event = self._step
        try:
            async with asyncio.timeout(max(0.0, deadline - self._clock.monotonic())):
                await step_event.wait()
        except TimeoutError:
            return False
        return True

    def _notify_step(self) -> None:
        self._step.set()
        self._step = asyncio.Event()
