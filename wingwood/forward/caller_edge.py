"""The side of the callers: HTTP/1.1 on tornado's HTTP/1.x connection (docs/DESIGN.md section 12.3).

Tornado parses and frames. What it can't do stands in ``_CallerConnection``, which it takes for its
stream: refusals that say why, bounds on the time of each phase, and input that is read all the time, so
that a caller's leaving is seen at once even when it sent bytes beyond its request.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
import socket
import struct
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Final, cast

from returns.result import Failure, Result, Success
from tornado import httputil
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.ioloop import IOLoop
from tornado.iostream import BaseIOStream, IOStream, StreamClosedError

from ..context.protocols import Context, Listener, NetworkFault
from ..identifiers import Address, Instant, RequestId, Seconds
from .formats import CallerFormat
from .limits import CallerBounds, PathLimits
from .protocols import IncomingCall, Refused

Handle = Callable[[IncomingCall], Awaitable[None]]

_TORNADO_BAD_REQUEST: Final = b"HTTP/1.1 400 Bad Request\r\n\r\n"
_MALFORMED: Final = Refused(status=400, code="malformed-request", reason="this is not a well-formed HTTP/1.1 request")
_READ_BYTES: Final = 64 * 1024
_CALLERS_SHARE: Final = 0.4
"""Of the connections that the process can hold; each call needs one to its worker as well."""
_WITHOUT_BODY: Final = frozenset({204, 304})
_NO_BOUND: Final = 1 << 62
_FIRST_LINE_BYTES: Final = 8 * 1024 + 64
_IDLE_GRACE: Final = 0.05
"""What came in just when the idle time ended is still looked for so long."""
"""The edge bounds bodies itself, so that it can say so."""
_HEAD_END = re.compile(rb"\r?\n\r?\n")


class CallerEdge:
    """Takes callers' connections and gives each whole call to ``handle``."""

    def __init__(
        self,
        context: Context,
        address: Address,
        limits: PathLimits,
        bounds: Callable[[], CallerBounds],
        caller_format: CallerFormat,
        handle: Handle,
    ) -> None:
        self.context = context
        self.limits = limits
        self.bounds = bounds
        """What callers may send now; the bundle in force may change it at any time."""
        self.format = caller_format
        self.handle = handle
        self.closing = False
        """Answers from now on end their connections."""
        self.bodies_held = 0
        self._address = address
        self._listener: Listener | None = None
        self._most_connections = min(limits.connections, int(context.network.most_connections() * _CALLERS_SHARE))
        self._connections: dict[_CallerConnection, None] = {}
        self._parameters = HTTP1ConnectionParameters(
            max_header_size=_NO_BOUND, max_body_size=_NO_BOUND, chunk_size=_READ_BYTES
        )

    def start(self) -> Result[None, NetworkFault]:
        match self.context.network.listen(self._address, self._take_stream):
            case Success(listener):
                self._listener = listener
                return Success(None)
            case Failure(fault):
                return Failure(fault)
        raise AssertionError("a result is a success or a failure")

    def connections(self) -> int:
        return len(self._connections)

    def stop_listening(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def close_idle(self) -> None:
        for connection in list(self._connections):
            if connection.idle:
                connection.close()

    def is_reading(self) -> bool:
        """Whether a call is coming in, or came in and was not yet handed over."""
        return any(connection.reading_call for connection in self._connections)

    def close_all(self) -> None:
        for connection in list(self._connections):
            connection.close()

    async def _take_stream(self, stream: BaseIOStream, peer: Address) -> None:
        connection = _CallerConnection(self, stream, peer)
        if len(self._connections) >= self._most_connections:
            connection.refuse(
                Refused(status=503, code="too-many-connections", reason="too many connections", retry_after=Seconds(1))
            )
            return
        self._connections[connection] = None
        try:
            await connection.serve(self._parameters)
        finally:
            self._connections.pop(connection, None)


class _CallerConnection:
    """One caller's connection, and what HTTP1Connection takes for its stream."""

    def __init__(self, edge: CallerEdge, stream: BaseIOStream, peer: Address) -> None:
        self.io_loop = IOLoop.current()
        self.max_buffer_size = _NO_BOUND
        self.edge = edge
        self.peer = peer
        self.idle = True
        self.reading_call = False
        self.gone = asyncio.Event()
        self.on_gone: Callable[[], None] | None = None
        self.written: asyncio.Future[None] | None = None
        """Of the last write: done when the kernel has taken it."""
        self._stream = stream
        self._loop = asyncio.get_running_loop()
        self._input = bytearray()
        self._reading = False
        self._more: asyncio.Future[None] | None = None
        self._shut = False
        """Nothing more is taken from it or, beyond a refusal, written to it."""
        self._close_callback: Callable[[], None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._phase_end: float | None = None
        self._resting_since = 0.0
        self._waiting_for: str | None = None
        stream.set_close_callback(self._closed)
        self._read_on()

    async def serve(self, parameters: HTTP1ConnectionParameters) -> None:
        """Reads and answers one call after the other."""
        with contextlib.suppress(StreamClosedError):
            while not self._shut:
                self.idle = not self._input
                self.reading_call = not self.idle
                if self.idle:
                    self.bound_time(self.edge.bounds().idle, None)
                else:
                    self.bound_time(self.edge.bounds().head_time, "headers")
                connection = HTTP1Connection(cast(IOStream, self), False, parameters, self.peer)
                request = _Request(self, connection)
                if not await connection.read_response(request) or request.last:
                    break
        if not self._shut:
            self.close()

    # What HTTP1Connection wants of a stream.

    async def read_until_regex(self, regex: bytes, max_bytes: int) -> bytes:
        """The head of a call. Its first line does not count among the headers' bytes."""
        bound = self.edge.bounds().head_bytes
        searched = 0
        while (found := _HEAD_END.search(self._input, max(0, searched - 3))) is None:
            searched = len(self._input)
            if searched > bound + self._first_line():
                break
            await self._input_more()
            if self.idle:
                self.idle, self.reading_call = False, True
                self.bound_time(self.edge.bounds().head_time, "headers")
        if found is None or found.end() > bound + self._first_line():
            self.refuse(Refused(status=431, code="headers-too-large", reason=f"headers above {bound} bytes"))
            raise StreamClosedError
        return self._take(found.end())

    def _first_line(self) -> int:
        return min(_FIRST_LINE_BYTES, self._input.find(b"\n") + 1)

    async def read_until(self, delimiter: bytes, max_bytes: int) -> bytes:
        while (found := self._input.find(delimiter, 0, max_bytes)) < 0:
            if len(self._input) >= max_bytes:
                self.refuse(_MALFORMED)
                raise StreamClosedError
            await self._input_more()
        return self._take(found + len(delimiter))

    async def read_bytes(self, count: int, partial: bool = False) -> bytes:
        while len(self._input) < (1 if partial else count):
            await self._input_more()
        return self._take(min(count, len(self._input)))

    def write(self, data: bytes) -> asyncio.Future[None]:
        if self._shut:
            raise StreamClosedError
        if data == _TORNADO_BAD_REQUEST:
            self.refuse(_MALFORMED)
            raise StreamClosedError
        self.written = self._stream.write(data)
        return self.written

    def close(self) -> None:
        self._shut = True
        self._end_time_bound()
        self._stream.close()

    def closed(self) -> bool:
        return self._shut or self._stream.closed()

    def set_close_callback(self, callback: Callable[[], None] | None) -> None:
        self._close_callback = callback

    def set_nodelay(self, value: bool) -> None:
        """Pieces leave at once, on later calls of the connection too: tornado would turn Nagle's algorithm on."""

    # Input.

    def _read_on(self) -> None:
        if self._reading or self.gone.is_set() or len(self._input) >= _READ_BYTES:
            return
        self._reading = True
        try:
            future = self._stream.read_bytes(_READ_BYTES, partial=True)
        except StreamClosedError:
            self._loop.call_soon(self._closed)
            return
        cast("asyncio.Future[bytes]", future).add_done_callback(self._input_came)

    def _input_came(self, future: asyncio.Future[bytes]) -> None:
        self._reading = False
        if future.cancelled() or future.exception() is not None:
            self._closed()
            return
        if not self._shut:  # Else a refused sender goes on for a moment.
            self._input += future.result()
            self._wake()
        self._read_on()

    def _closed(self) -> None:
        if self.gone.is_set():
            return
        self._shut = True
        self.gone.set()
        self._end_time_bound()
        self._wake()
        if self.on_gone is not None:
            self.on_gone()
        callback, self._close_callback = self._close_callback, None
        if callback is not None:
            callback()

    def _wake(self) -> None:
        if self._more is not None and not self._more.done():
            self._more.set_result(None)

    async def _input_more(self) -> None:
        if self._shut:
            raise StreamClosedError
        self._more = self._loop.create_future()
        await self._more
        if self._shut:
            raise StreamClosedError

    def _take(self, count: int) -> bytes:
        taken = bytes(memoryview(self._input)[:count])
        del self._input[:count]
        self._read_on()
        return taken

    # Bounds and refusals.

    def bound_time(self, seconds: float | None, waiting_for: str | None) -> None:
        """Ends the connection when the phase takes longer; quietly when ``waiting_for`` is None.

        A timer that stands for an earlier phase is left to come and go: most calls then need none.
        """
        self._waiting_for = waiting_for
        if seconds is None or self._shut:
            self._phase_end = None
            return
        self._resting_since = self._loop.time()
        self._phase_end = self._resting_since + seconds
        if self._timer is None or self._timer.when() > self._phase_end:
            self._end_time_bound()
            self._timer = self._loop.call_at(self._phase_end, self._time_is_up)

    def _end_time_bound(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _time_is_up(self) -> None:
        self._timer = None
        if self._phase_end is None:
            return
        if self._loop.time() < self._phase_end:
            self._timer = self._loop.call_at(self._phase_end, self._time_is_up)
        elif self._waiting_for is not None:
            reason = f"the request's {self._waiting_for} took too long"
            self.refuse(Refused(status=408, code="too-slow", reason=reason))
        elif (more := self._idle_end() - self._loop.time()) > 0:
            self._timer = self._loop.call_later(more, self._time_is_up)
        else:
            self._timer = self._loop.call_later(_IDLE_GRACE, self._close_if_idle, self._phase_end)

    def _idle_end(self) -> float:
        """By the bounds of now: a bundle that came meanwhile may let connections rest longer."""
        return self._resting_since + self.edge.bounds().idle

    def _close_if_idle(self, phase_end: float) -> None:
        self._timer = None
        if self.idle and self._phase_end == phase_end:
            self.close()
        elif self._phase_end is not None:
            self._time_is_up()

    def refuse(self, refused: Refused, request: RequestId | None = None) -> None:
        """Answers in place of tornado, takes no more input and closes once the sender could read the answer."""
        if self._shut:
            return
        self._shut = True
        self.reading_call = False
        self._input.clear()
        self._end_time_bound()
        made = self.edge.format.router_answer(refused, request or RequestId(""), False)
        lines = [f"HTTP/1.1 {made.status} {_reason(made.status)}", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in made.headers]
        self.edge.context.log.event("request-refused", peer=self.peer, status=made.status, code=refused.code)
        try:
            written = self._stream.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + made.body)
            written.add_done_callback(lambda future: future.cancelled() or future.exception())
        except StreamClosedError:
            return
        self._timer = self._loop.call_later(self.edge.limits.linger, self._stream.close)
        self._wake()
        self._read_on()

    def reset(self) -> None:
        """Closes so that the reader gets an error in place of the end of the bytes."""
        raw = getattr(self._stream, "socket", None)
        if isinstance(raw, socket.socket):
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.close()


class _Request(httputil.HTTPMessageDelegate):
    """One call being read."""

    def __init__(self, caller: _CallerConnection, connection: HTTP1Connection) -> None:
        self._caller = caller
        self._connection = connection
        self._edge = caller.edge
        self._began = Instant(0.0)
        self._start_line: httputil.RequestStartLine | None = None
        self._headers: tuple[tuple[str, str], ...] = ()
        self._body = bytearray()
        self._held = 0
        self.last = False
        """The connection ends with this call."""

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        assert isinstance(start_line, httputil.RequestStartLine)
        limits, bound = self._edge.limits, self._edge.bounds().body_bytes
        self._began = self._edge.context.clock.monotonic()
        self._start_line = start_line
        self._headers = tuple(headers.get_all())
        if start_line.version == "HTTP/1.0":
            # Without chunks a body without length ends by closing; tornado would promise to keep the connection.
            self.last = True
            headers.pop("Connection", None)
        length = headers.get("Content-Length", "")
        expected = int(length) if length.isascii() and length.isdigit() and len(length) < 16 else 0
        if expected > bound or len(length) >= 16:
            self._refuse(Refused(status=413, code="body-too-large", reason=f"bodies above {bound} bytes"))
        elif self._hold(expected):
            self._caller.bound_time(limits.body_time + expected / limits.body_pace, "body")
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        self._body += chunk
        bound = self._edge.bounds().body_bytes
        if len(self._body) > bound:
            self._refuse(Refused(status=413, code="body-too-large", reason=f"bodies above {bound} bytes"))
        elif len(self._body) > self._held:
            self._hold(len(self._body))
        return None

    def finish(self) -> None:
        self._caller.bound_time(None, None)
        start_line = self._start_line
        assert start_line is not None
        caller = _CallerAnswer(self, self._caller, self._connection, start_line)
        call = IncomingCall(
            request=RequestId(""),
            method=start_line.method,
            path=start_line.path,
            headers=self._headers,
            body=bytes(self._body),
            peer=self._caller.peer,
            arrived=self._edge.context.clock.monotonic(),
            began=self._began,
            caller=caller,
            loop_seen=self._edge.context.clock.monotonic(),
        )
        self._body.clear()
        call.request = self._edge.format.request_id(call) or RequestId(self._edge.context.random.randbytes(8).hex())
        self._edge.context.tasks.spawn("call", self._handle(call))

    def on_connection_close(self) -> None:
        self._release()

    async def _handle(self, call: IncomingCall) -> None:
        self._caller.reading_call = False
        try:
            await self._edge.handle(call)
        finally:
            self._release()

    def _refuse(self, refused: Refused) -> None:
        self._body.clear()
        self._release()
        self._caller.refuse(refused)

    def _hold(self, size: int) -> bool:
        more = size - self._held
        if self._edge.bodies_held + more > self._edge.limits.bodies_held:
            self._refuse(
                Refused(status=503, code="overloaded", reason="too many bodies under way", retry_after=Seconds(1))
            )
            return False
        self._held += more
        self._edge.bodies_held += more
        return True

    def _release(self) -> None:
        self._edge.bodies_held -= self._held
        self._held = 0


class _CallerAnswer:
    """Protocol CallerStream."""

    def __init__(
        self,
        request: _Request,
        caller: _CallerConnection,
        connection: HTTP1Connection,
        start_line: httputil.RequestStartLine,
    ) -> None:
        self._request = request
        self._caller = caller
        self._connection = connection
        self._without_body = start_line.method == "HEAD"
        self._old = start_line.version == "HTTP/1.0"
        self._head: tuple[httputil.ResponseStartLine, httputil.HTTPHeaders] | None = None
        """Given but not yet written: it leaves with the first piece, or in the loop's next round."""
        self._ended_by_close = False
        self._chunked = False
        self._begun = False
        self._ended = False

    @property
    def begun(self) -> bool:
        return self._begun

    @property
    def gone(self) -> asyncio.Event:
        return self._caller.gone

    def on_gone(self, callback: Callable[[], None] | None) -> None:
        self._caller.on_gone = callback
        if callback is not None and self._caller.gone.is_set():
            callback()

    async def start(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        self._begun = True
        fields = httputil.HTTPHeaders()
        for name, value in headers:
            fields.add(name, value)
        without_length = "Content-Length" not in fields
        self._ended_by_close = self._old and without_length
        self._chunked = not self._old and without_length and status not in _WITHOUT_BODY
        if self._caller.edge.closing or self._request.last:
            fields["Connection"] = "close"
            self._request.last = True
        self._head = httputil.ResponseStartLine("HTTP/1.1", status, _reason(status)), fields
        asyncio.get_running_loop().call_soon(self._write_head)

    async def write(self, piece: bytes) -> None:
        if self._ended or self._without_body or not piece:
            return
        with contextlib.suppress(StreamClosedError):
            if self._head is not None:
                self._write_head(piece)
            elif self._caller.closed():
                return
            elif self._chunked:
                self._caller.write(b"%x\r\n%b\r\n" % (len(piece), piece))  # As tornado does, with fewer steps.
            else:
                self._connection.write(piece)
            # Not tornado's own future: it is forgotten, and never done, when the connection closes first.
            if self._caller.written is not None:
                await self._caller.written

    async def finish(self) -> None:
        if self._ended:
            return
        self._ended = True
        with contextlib.suppress(StreamClosedError):
            self._write_head()
            self._connection.finish()

    def abort(self) -> None:
        if self._ended:
            return
        self._ended = True
        self._head = None
        if self._ended_by_close:
            self._caller.reset()
        else:
            self._caller.close()

    def _write_head(self, piece: bytes | None = None) -> None:
        head, self._head = self._head, None
        if head is not None and not self._caller.closed():
            self._connection.write_headers(*head, piece)


def _reason(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
