"""The state of one call that all HTTP clients share: its head, buffered chunks and end (section 12.2)."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Final

from returns.result import Failure, Result, Success

from .protocols import HttpFault, HttpHead, HttpRequest

READ_AHEAD_BYTES: Final = 240 * 1024
"""Buffered body bytes at which reading pauses. One more read of 16 KiB may exceed this, which stays below 256 KiB."""
_JOINED_CHUNK_BYTES: Final = 128 * 1024
"""Buffered chunks are joined up to about this size when they are passed to the consumer."""


class Exchange:
    """Implements ``HttpExchange``. An HTTP client fills it, and one consumer at a time waits for head and chunks.

    Owns the buffered chunks, the end of the call, and whether the request was sent. Clients derive their exchanges from
    it and override ``_resume_if_paused`` and ``_close``.
    """

    def __init__(self, request: HttpRequest) -> None:
        self.request = request
        self._loop = asyncio.get_running_loop()
        self._head: HttpHead | None = None
        self._buffered_chunks: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._end: Result[bytes | None, HttpFault] | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._sent = False
        self._end_delivered = False
        """Whether the consumer was given the end of the call, after which ``cancel`` has no effect."""

    # Methods for the consumer (protocol HttpExchange).

    async def head(self) -> Result[HttpHead, HttpFault]:
        """Waits for status and headers."""
        while self._head is None:
            if self._end is not None:
                return Failure(self._deliver_end(self._end).failure())
            await self._wait()
        if self._end is not None and _is_cancelled(self._end):
            return Failure(self._deliver_end(self._end).failure())
        return Success(self._head)

    async def next_chunk(self) -> Result[bytes | None, HttpFault]:
        """Waits for body bytes and returns those that have arrived, joined; None after the clean end of the body."""
        while not self._buffered_chunks:
            if self._end is not None:
                return self._deliver_end(self._end)
            await self._wait()
        chunk = self._buffered_chunks.popleft()
        if self._buffered_chunks and len(chunk) < _JOINED_CHUNK_BYTES:
            joined = [chunk]
            size = len(chunk)
            while self._buffered_chunks and size < _JOINED_CHUNK_BYTES:
                joined.append(self._buffered_chunks.popleft())
                size += len(joined[-1])
            chunk = b"".join(joined)
        self._buffered_bytes -= len(chunk)
        if self._end is None and self._buffered_bytes < READ_AHEAD_BYTES:
            self._resume_if_paused()
        return Success(chunk)

    def cancel(self) -> None:
        """Drops what is buffered and closes the connection, unless the consumer was given the end.

        So whoever cancels a call and its consumer agree on one outcome, also if the response is already complete.
        """
        if self._end_delivered:
            return
        self._buffered_chunks.clear()
        self._buffered_bytes = 0
        running = self._end is None
        self._end = Failure(HttpFault("cancelled", self._sent))
        if running:
            self._close()
        self._wake()

    def request_sent(self) -> bool:
        """Returns whether any byte of the request may have been sent."""
        return self._sent

    # Methods for the client implementations.

    def may_write(self) -> bool:
        """Is called immediately before the first byte of the request is written; True marks the request as sent."""
        self._sent = self.passes_last_check()
        return self._sent

    def passes_last_check(self) -> bool:
        """Returns whether the request may be written.

        Clients that mark the request as sent only once the kernel has accepted its first byte call this instead of
        ``may_write``. The call can end within ``last_check``, so it is checked before and after.
        """
        if self.ended() or (self.request.last_check is not None and not self.request.last_check()):
            return False
        return not self.ended()

    def set_head(self, head: HttpHead) -> None:
        """Passes the head to the consumer."""
        self._head = head
        self._wake()

    def add_chunk(self, chunk: bytes) -> None:
        """Buffers body bytes for the consumer."""
        self._buffered_chunks.append(chunk)
        self._buffered_bytes += len(chunk)
        self._wake()

    def is_full(self) -> bool:
        """Returns whether reading must pause until the consumer has taken chunks."""
        return self._buffered_bytes >= READ_AHEAD_BYTES

    def end(self, fault: HttpFault | None) -> None:
        """Ends the call, cleanly (None) or with a fault; only the first end counts."""
        if self._end is None:
            if fault is None and self._head is None:
                fault = HttpFault("malformed", self._sent, "no head")
            self._end = Success(None) if fault is None else Failure(fault)
            self._wake()

    def ended(self) -> bool:
        """Returns whether the call has ended; chunks may still be buffered."""
        return self._end is not None

    def _resume_if_paused(self) -> None:
        """Is called when the consumer has taken chunks: subclasses resume reading if it was paused."""

    def _close(self) -> None:
        """Closes the connection at once; subclasses implement it."""

    def _deliver_end(self, end: Result[bytes | None, HttpFault]) -> Result[bytes | None, HttpFault]:
        self._end_delivered = True
        return end

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _wait(self) -> None:
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None


def _is_cancelled(end: Result[bytes | None, HttpFault]) -> bool:
    return isinstance(end, Failure) and end.failure().kind == "cancelled"
