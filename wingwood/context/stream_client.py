"""The HTTP client on Context.network that uses tornado's HTTP/1.x connection (docs/DESIGN.md section 12.2).

The simulator uses it, because libcurl only works on real sockets. It fulfils the same contract as the
curl client, and the same tests run on both.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from typing import Final, cast

from returns.result import Failure, Success
from tornado import httputil
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.iostream import BaseIOStream, IOStream, StreamClosedError, UnsatisfiableReadError

from .http_exchange import Exchange
from .http_framing import MAX_HEAD_BYTES, fault_of_request, framing_of
from .protocols import HttpExchange, HttpFault, HttpHead, HttpRequest, Network, Tasks
from .socket_options import close_with_reset

_UNLIMITED_BYTES: Final = 1 << 62
_READ_BYTES: Final = 16 * 1024


class StreamHttpClient:
    """Implements HttpClient on any Network."""

    def __init__(self, network: Network, tasks: Tasks) -> None:
        self._network = network
        self._tasks = tasks

    def start(self, request: HttpRequest) -> HttpExchange:
        """Starts the call on a connection of its own."""
        exchange = _StreamExchange(request)
        problem = fault_of_request(request)
        if problem is not None:
            exchange.end(HttpFault("malformed", False, problem))
        else:
            self._tasks.spawn(f"call {request.address}", exchange.run(self._network))
        return exchange


class _StreamExchange(Exchange):
    """One call on one stream, from connecting to the end of the response."""

    def __init__(self, request: HttpRequest) -> None:
        super().__init__(request)
        self._stream: BaseIOStream | None = None
        self._read_waiters: list[asyncio.Future[None]] = []
        """Waits of tornado until the consumer has taken chunks."""
        self.problem: str | None = None
        """Why the head of the response is malformed."""

    async def run(self, network: Network) -> None:
        """Connects, sends the request and receives the response."""
        opened = await network.connect(self.request.address, self.request.connect_timeout)
        match opened:
            case Success(stream):
                self._stream = stream
            case Failure(fault):
                self.end(HttpFault("connect", False, f"{fault.kind} {fault.detail}"))
                return
        try:
            if not self.may_write():
                self.end(HttpFault("cancelled", False))
                return
            await self._send_and_receive(cast(IOStream, stream))
        finally:
            stream.close()

    async def _send_and_receive(self, stream: IOStream) -> None:
        request = self.request
        parameters = HTTP1ConnectionParameters(
            no_keep_alive=True, max_header_size=MAX_HEAD_BYTES, max_body_size=_UNLIMITED_BYTES, chunk_size=_READ_BYTES
        )
        connection = HTTP1Connection(stream, True, parameters, str(request.address))
        header_names = {name.lower() for name, _ in request.headers}
        headers = httputil.HTTPHeaders()
        if "host" not in header_names:
            headers.add("Host", str(request.address))
        for name, value in request.headers:
            headers.add(name, value)
        if "connection" not in header_names:
            headers.add("Connection", "close")
        if request.body or request.method == "POST":
            headers.add("Content-Length", str(len(request.body)))
        start_line = httputil.RequestStartLine(request.method, request.path, "HTTP/1.1")
        written = connection.write_headers(start_line, headers, request.body or None)
        written.add_done_callback(lambda future: future.cancelled() or future.exception())
        connection.finish()
        delegate = _ResponseDelegate(self)
        try:
            await connection.read_response(delegate)
        except StreamClosedError as closed:
            too_long = isinstance(closed.real_error, UnsatisfiableReadError)
            self.end(HttpFault("malformed" if too_long else "broken", True, f"closed: {closed.real_error}"))
        self.end(HttpFault("malformed", True, self.problem or "not HTTP"))

    async def wait_until_not_full(self) -> None:
        """Returns when the consumer has taken enough chunks, or the call has ended."""
        while self.is_full() and not self.ended():
            future = self._loop.create_future()
            self._read_waiters.append(future)
            await future

    def has_head(self) -> bool:
        """Returns whether the head of the response has arrived."""
        return self._head is not None

    def response_ended(self) -> None:
        """Ends the call when tornado reports the end of the response.

        For a body without a length, tornado treats every end of the connection as the end of the body, even a
        reset; here a reset is a ``broken`` fault.
        """
        error = None if self._stream is None else self._stream.error
        framing = None if self._head is None else self._head.framing
        if framing == "close" and error is not None:
            self.end(HttpFault("broken", True, f"closed: {error}"))
        else:
            self.end(None)

    def _resume_if_paused(self) -> None:
        waiters, self._read_waiters = self._read_waiters, []
        for future in waiters:
            future.set_result(None)

    def _close(self) -> None:
        self._resume_if_paused()
        if self._stream is not None:
            close_with_reset(self._stream)


class _ResponseDelegate(httputil.HTTPMessageDelegate):
    """Called by tornado with the head and the body of the response."""

    def __init__(self, exchange: _StreamExchange) -> None:
        self._exchange = exchange

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Passes the final head to the consumer; raises HTTPInputError for one that is malformed."""
        assert isinstance(start_line, httputil.ResponseStartLine)
        if start_line.code == 101 or not 100 <= start_line.code < 600:
            self._exchange.problem = f"status {start_line.code}"
            raise httputil.HTTPInputError(self._exchange.problem)
        if start_line.code < 200:
            return None
        pairs = tuple(headers.get_all())
        framing = framing_of(self._exchange.request.method, start_line.code, pairs)
        if framing is None:
            self._exchange.problem = "contradicting lengths"
            raise httputil.HTTPInputError("contradicting lengths")
        self._exchange.set_head(HttpHead(start_line.code, pairs, framing, new_connection=True))
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Buffers a chunk of the body; tornado reads on when the returned wait ends."""
        self._exchange.add_chunk(chunk)
        return self._exchange.wait_until_not_full() if self._exchange.is_full() else None

    def finish(self) -> None:
        """Ends the call after the end of the body."""
        self._exchange.response_ended()

    def on_connection_close(self) -> None:
        """Ends the call with a fault, as the connection was closed before the end of the response."""
        if self._exchange.problem is None and not self._exchange.has_head():
            self._exchange.problem = "not HTTP"
        if self._exchange.problem is not None:
            self._exchange.end(HttpFault("malformed", True, self._exchange.problem))
        else:
            self._exchange.end(HttpFault("broken", True, "cut or malformed body"))
