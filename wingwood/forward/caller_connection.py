"""One caller's connection, with the methods that tornado calls on a stream (docs/DESIGN.md section 12.3).

It adds what tornado lacks: rejections that state a reason, a timeout for each phase, and input that is read all the
time, so that a caller's disconnection is noticed at once even when it sent bytes beyond its request.
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable
from typing import Final, cast

from tornado.ioloop import IOLoop
from tornado.iostream import BaseIOStream, StreamClosedError

from ..context.socket_options import reset_on_close
from ..identifiers import Address, RequestId
from .edge_state import EdgeState, reason_phrase
from .results import Rejection
from .timed_connection import TimedConnection

READ_BYTES: Final = 64 * 1024
"""Size of one read, and of the input above which reading pauses."""
UNLIMITED: Final = 1 << 62
"""Size limit passed to tornado: the edge limits heads and bodies itself, so that a rejection can state the limit."""

_TORNADO_BAD_REQUEST: Final = b"HTTP/1.1 400 Bad Request\r\n\r\n"
_MALFORMED: Final = Rejection(status=400, code="malformed-request", reason="this is not a well-formed HTTP/1.1 request")
_MAX_FIRST_LINE_BYTES: Final = 8 * 1024 + 64
"""Size up to which a request line is not counted as part of the headers: a path of 8 KiB, method and version."""
_HEAD_END = re.compile(rb"\r?\n\r?\n")


class CallerConnection(TimedConnection):
    """One caller's connection, used by tornado's HTTP1Connection in place of an ``IOStream``."""

    def __init__(self, edge: EdgeState, stream: BaseIOStream, peer: Address) -> None:
        super().__init__()
        self.io_loop = IOLoop.current()
        self.max_buffer_size = UNLIMITED
        self.edge = edge
        """What all connections share."""
        self.peer = peer
        self.reading_request = False
        """Whether a request is being read, or has been read and was not yet passed on."""
        self.disconnected = asyncio.Event()
        """Set when the caller has closed the connection."""
        self.on_disconnect: Callable[[], None] | None = None
        """Called when ``disconnected`` is set."""
        self.last_write: asyncio.Future[None] | None = None
        """Future of the latest write; it is done when the kernel has taken the data."""
        self._stream = stream
        self._input = bytearray()
        self._reading = False
        self._input_waiter: asyncio.Future[None] | None = None
        self._close_callback: Callable[[], None] | None = None
        stream.set_close_callback(self._connection_closed)
        self._continue_reading()

    def expect_request(self) -> None:
        """Starts the idle timeout until the next request, or the timeout of its head if part of it was received."""
        self.idle = not self._input
        self.reading_request = not self.idle
        if self.idle:
            self.start_phase_timeout(self.edge.request_limits().idle_timeout, None)
        else:
            self.start_phase_timeout(self.edge.request_limits().head_timeout, "headers")

    # The methods that HTTP1Connection calls on a stream.

    async def read_until_regex(self, regex: bytes, max_bytes: int) -> bytes:  # noqa: ARG002
        """Reads the head of a request. Its request line does not count towards the size limit of the headers.

        Raises StreamClosedError when the head is too large, which is then rejected, or when the connection is closed.
        """
        max_head_bytes = self.edge.request_limits().head_bytes
        searched = 0
        while (head_end := _HEAD_END.search(self._input, max(0, searched - 3))) is None:
            searched = len(self._input)
            if searched > max_head_bytes + self._first_line_bytes():
                break
            await self._wait_for_input()
            if self.idle:
                self.idle, self.reading_request = False, True
                self.start_phase_timeout(self.edge.request_limits().head_timeout, "headers")
        if head_end is None or head_end.end() > max_head_bytes + self._first_line_bytes():
            self.reject(Rejection(status=431, code="headers-too-large", reason=f"headers above {max_head_bytes} bytes"))
            raise StreamClosedError
        return self._take_input(head_end.end())

    def _first_line_bytes(self) -> int:
        """Returns the length of the request line, as far as it is not counted among the headers."""
        return min(_MAX_FIRST_LINE_BYTES, self._input.find(b"\n") + 1)

    async def read_until(self, delimiter: bytes, max_bytes: int) -> bytes:
        """Reads up to and including the delimiter; rejects the request if it is not within ``max_bytes``."""
        while (offset := self._input.find(delimiter, 0, max_bytes)) < 0:
            if len(self._input) >= max_bytes:
                self.reject(_MALFORMED)
                raise StreamClosedError
            await self._wait_for_input()
        return self._take_input(offset + len(delimiter))

    async def read_bytes(self, count: int, partial: bool = False) -> bytes:
        """Reads ``count`` bytes; with ``partial`` what was received, but at least one byte."""
        while len(self._input) < (1 if partial else count):
            await self._wait_for_input()
        return self._take_input(min(count, len(self._input)))

    def write(self, data: bytes) -> asyncio.Future[None]:
        """Sends the data; the future is done when the kernel has taken it. Raises StreamClosedError when closing."""
        if self.closing:
            raise StreamClosedError
        if data == _TORNADO_BAD_REQUEST:
            self.reject(_MALFORMED)
            raise StreamClosedError
        self.last_write = self._stream.write(data)
        return self.last_write

    def close(self) -> None:
        """Closes the connection at once."""
        self.closing = True
        self.cancel_timeout()
        self._stream.close()

    def closed(self) -> bool:
        """Returns whether nothing more can be written."""
        return self.closing or self._stream.closed()

    def set_close_callback(self, callback: Callable[[], None] | None) -> None:
        """Sets tornado's callback, run once when the connection is closed."""
        self._close_callback = callback

    def set_nodelay(self, value: bool) -> None:
        """Does nothing, so that data is always sent at once.

        Tornado would turn Nagle's algorithm on again after the first request of a connection.
        """

    # Reading of input.

    def _continue_reading(self) -> None:
        if self._reading or self.disconnected.is_set() or len(self._input) >= READ_BYTES:
            return
        self._reading = True
        try:
            future = self._stream.read_bytes(READ_BYTES, partial=True)
        except StreamClosedError:
            self._loop.call_soon(self._connection_closed)
            return
        cast("asyncio.Future[bytes]", future).add_done_callback(self._input_received)

    def _input_received(self, future: asyncio.Future[bytes]) -> None:
        self._reading = False
        if future.cancelled() or future.exception() is not None:
            self._connection_closed()
            return
        if not self.closing:  # Otherwise the input comes from a rejected caller, and is discarded.
            self._input += future.result()
            self._wake_reader()
        self._continue_reading()

    def _connection_closed(self) -> None:
        if self.disconnected.is_set():
            return
        self.closing = True
        self.disconnected.set()
        self.cancel_timeout()
        self._wake_reader()
        if self.on_disconnect is not None:
            self.on_disconnect()
        callback, self._close_callback = self._close_callback, None
        if callback is not None:
            callback()

    def _wake_reader(self) -> None:
        if self._input_waiter is not None and not self._input_waiter.done():
            self._input_waiter.set_result(None)

    async def _wait_for_input(self) -> None:
        """Returns when more input was received; raises StreamClosedError when the connection is closed."""
        if self.closing:
            raise StreamClosedError
        self._input_waiter = self._loop.create_future()
        await self._input_waiter
        if self.closing:
            raise StreamClosedError

    def _take_input(self, count: int) -> bytes:
        """Removes and returns the first ``count`` bytes of the received input."""
        taken = bytes(memoryview(self._input)[:count])
        del self._input[:count]
        self._continue_reading()
        return taken

    # Timeouts and rejections.

    def idle_timeout(self) -> float:
        """Returns the idle timeout that the bundle in force sets, in seconds."""
        return self.edge.request_limits().idle_timeout

    def phase_timed_out(self, waiting_for: str) -> None:
        """Rejects the request with 408."""
        self.reject(Rejection(status=408, code="too-slow", reason=f"the request's {waiting_for} took too long"))

    def reject(self, rejection: Rejection) -> None:
        """Sends the rejection without tornado, discards further input and closes after ``rejection_linger``."""
        if self.closing:
            return
        self.closing = True
        self.reading_request = False
        self._input.clear()
        self.cancel_timeout()
        rendered = self.edge.format.router_response(rejection, RequestId(""), False)
        lines = [f"HTTP/1.1 {rendered.status} {reason_phrase(rendered.status)}", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in rendered.headers]
        self.edge.context.log.event("request-rejected", peer=self.peer, status=rendered.status, code=rejection.code)
        try:
            written = self._stream.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + rendered.body)
            written.add_done_callback(lambda future: future.cancelled() or future.exception())
        except StreamClosedError:
            return
        self.run_later(self.edge.options.rejection_linger, self._stream.close)
        self._wake_reader()
        self._continue_reading()

    def reset(self) -> None:
        """Closes with a TCP reset, so that the caller gets an error instead of a regular end of the data."""
        reset_on_close(self._stream, True)
        self.close()
