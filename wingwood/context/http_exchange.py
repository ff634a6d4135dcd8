"""Code shared by the HTTP clients: the state of one call and the framing of answers (docs/DESIGN.md section 12.2)."""

from __future__ import annotations

import asyncio
import re
from collections import deque
from typing import Final, Literal

from returns.result import Failure, Result, Success

from .protocols import HttpFault, HttpHead, HttpRequest

READ_AHEAD_BYTES: Final = 240 * 1024
"""Buffered body bytes at which reading pauses. One more read of 16 KiB may exceed this, which stays below 256 KiB."""
MAX_HEAD_BYTES: Final = 64 * 1024
"""Maximum total size of the status line and headers of an answer."""
_JOINED_CHUNK_BYTES: Final = 128 * 1024
"""Buffered chunks are joined up to about this size when they are passed to the consumer."""

Framing = Literal["length", "chunked", "close", "none"]

_MAX_CHUNK_LINE_BYTES: Final = 4096
_MAX_LENGTH_DIGITS: Final = 18
"""Maximum number of digits of ``Content-Length``. Longer ones are not real, and Python refuses some thousand digits."""
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,15})(?:[ \t]*;[^\r\n]*)?")
_TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_PATH = re.compile(r"/[!-~]*")
_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*")


def framing_of(method: str, status: int, headers: tuple[tuple[str, str], ...]) -> Framing | None:
    """Returns how the end of the body is recognized, or None if the headers are invalid or contradict each other."""
    lengths = {value.strip() for name, value in headers if name.lower() == "content-length"}
    codings = [value.strip().lower() for name, value in headers if name.lower() == "transfer-encoding"]
    if len(lengths) > 1 or (lengths and codings):
        return None
    if any(not (length.isascii() and length.isdigit() and len(length) <= _MAX_LENGTH_DIGITS) for length in lengths):
        return None
    if codings and codings != ["chunked"]:
        return None
    if method == "HEAD" or status in {204, 304}:
        return "none"
    if codings:
        return "chunked"
    return "length" if lengths else "close"


def is_token(name: str) -> bool:
    """Returns whether the name is a valid header name."""
    return _TOKEN.fullmatch(name) is not None


def fault_of_request(request: HttpRequest) -> str | None:
    """Returns the part of the request that can't be written as HTTP, or None if the request is valid."""
    if not _TOKEN.fullmatch(request.method):
        return "method"
    if not _PATH.fullmatch(request.path):
        return "path"
    for name, value in request.headers:
        if not _TOKEN.fullmatch(name):
            return "header name"
        if not _VALUE.fullmatch(value):
            return f"value of header {name}"
    return None


class ChunkDecoder:
    """A strict decoder of the chunked transfer coding; it drops trailers."""

    def __init__(self) -> None:
        self.ended = False
        self.problem: str | None = None
        self.surplus = 0
        """Number of bytes after the end of the body, in the same read."""
        self._pending = b""
        """The start of a line that has not arrived completely."""
        self._remaining = 0
        """Number of bytes still missing from the current chunk."""
        self._trailer_bytes = 0
        self._expects: Literal["size", "line end", "trailer"] = "size"

    def take(self, data: bytes) -> bytes:
        """Decodes ``data`` and returns the body bytes in it; ignores bytes after the end of the body."""
        if self._pending:
            data, self._pending = self._pending + data, b""
        body: list[bytes] = []
        at = 0
        while at < len(data) and not self.ended and self.problem is None:
            if self._remaining:
                body.append(data[at : at + self._remaining])
                at += len(body[-1])
                self._remaining -= len(body[-1])
                if not self._remaining and data.startswith(b"\r\n", at):
                    self._expects = "size"
                    at += 2
                continue
            end = data.find(b"\r\n", at)
            if (len(data) if end < 0 else end) - at > _MAX_CHUNK_LINE_BYTES:
                self.problem = "chunk line too long"
            elif end < 0:
                self._pending = data[at:]
                break
            else:
                self._read_line(data[at:end])
                at = end + 2
        if self.ended:
            self.surplus = len(data) - at
        return body[0] if len(body) == 1 else b"".join(body)

    def _read_line(self, line: bytes) -> None:
        if self._expects == "line end":
            self._expects = "size"
            if line:
                self.problem = "chunk longer than told"
        elif self._expects == "trailer":
            self.ended = not line
            self._trailer_bytes += len(line)
            if self._trailer_bytes > MAX_HEAD_BYTES:
                self.problem = "trailers too long"
        elif (size := _CHUNK_SIZE.fullmatch(line)) is None:
            self.problem = "malformed chunk size"
        else:
            self._remaining = int(size[1], 16)
            self._expects = "line end" if self._remaining else "trailer"


class Exchange:
    """One call in progress. The network fills it, and one consumer at a time waits for its parts."""

    def __init__(self, request: HttpRequest) -> None:
        self.request = request
        self._loop = asyncio.get_running_loop()
        self._head: HttpHead | None = None
        self._buffered_chunks: deque[bytes] = deque()
        self._buffered = 0
        self._end: Result[bytes | None, HttpFault] | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._sent = False

    # Methods for the consumer (protocol HttpExchange).

    async def head(self) -> Result[HttpHead, HttpFault]:
        while self._head is None:
            if self._end is not None:
                return Failure(self._end.failure())
            await self._wait()
        if self._end is not None and _is_cancelled(self._end):
            return Failure(self._end.failure())
        return Success(self._head)

    async def next_chunk(self) -> Result[bytes | None, HttpFault]:
        while not self._buffered_chunks:
            if self._end is not None:
                return self._end
            await self._wait()
        chunk = self._buffered_chunks.popleft()
        if self._buffered_chunks and len(chunk) < _JOINED_CHUNK_BYTES:
            joined = [chunk]
            size = len(chunk)
            while self._buffered_chunks and size < _JOINED_CHUNK_BYTES:
                joined.append(self._buffered_chunks.popleft())
                size += len(joined[-1])
            chunk = b"".join(joined)
        self._buffered -= len(chunk)
        if self._end is None and self._buffered < READ_AHEAD_BYTES:
            self._resume_if_paused()
        return Success(chunk)

    def cancel(self) -> None:
        if self._end is not None and not self._buffered_chunks:
            return
        self._buffered_chunks.clear()
        self._buffered = 0
        running = self._end is None
        self._end = Failure(HttpFault("cancelled", self._sent))
        if running:
            self._close()
        self._wake()

    def request_sent(self) -> bool:
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
        self._buffered += len(chunk)
        self._wake()

    def is_full(self) -> bool:
        """Returns whether reading must pause until the consumer has taken chunks."""
        return self._buffered >= READ_AHEAD_BYTES

    def end(self, fault: HttpFault | None) -> None:
        """Ends the call, cleanly (None) or with a fault; only the first end counts."""
        if self._end is None:
            if fault is None and self._head is None:
                fault = HttpFault("malformed", self._sent, "no head")
            self._end = Success(None) if fault is None else Failure(fault)
            self._wake()

    def ended(self) -> bool:
        return self._end is not None

    def _resume_if_paused(self) -> None:
        """Is called when the consumer has taken chunks: subclasses resume reading if it was paused."""

    def _close(self) -> None:
        """Closes the connection at once; subclasses implement it."""

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
