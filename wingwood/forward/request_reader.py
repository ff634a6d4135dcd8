"""Reading of requests, one after another on a caller's connection (docs/DESIGN.md section 12.3)."""

from __future__ import annotations

import contextlib
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Final, cast

from tornado import httputil
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.iostream import IOStream, StreamClosedError

from ..identifiers import Instant, RequestId, Seconds
from .caller_connection import CallerConnection
from .caller_response import CallerResponse
from .calls import CallerRequest, IncomingCall
from .results import Rejection

_MAX_LENGTH_DIGITS: Final = 15
"""Digits of a ``Content-Length`` beyond which it is too large without being parsed."""
_REQUEST_ID_BYTES: Final = 8
"""Length of the random ids of requests whose callers state none."""
_TOO_MANY_BODIES = Rejection(status=503, code="overloaded", reason="too many bodies under way", retry_after=Seconds(1))


async def serve_requests(caller: CallerConnection, parameters: HTTP1ConnectionParameters) -> None:
    """Reads and answers one request after another, then closes the connection."""
    with contextlib.suppress(StreamClosedError):
        while not caller.closing:
            caller.expect_request()
            connection = HTTP1Connection(cast(IOStream, caller), False, parameters, caller.peer)
            reader = RequestReader(caller, connection)
            if not await connection.read_response(ConfinedReader(reader, caller)) or reader.last:
                break
    if not caller.closing:
        caller.close()


class ConfinedReader(httputil.HTTPMessageDelegate):
    """Passes tornado's calls to a reader; an unexpected error of the reader closes the connection and is logged.

    After an error it passes on only that the connection was closed.
    """

    def __init__(self, reader: RequestReader, caller: CallerConnection) -> None:
        self._reader = reader
        self._caller = caller
        self._failed = False

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Called by tornado with the head of the request."""
        self._run(partial(self._reader.headers_received, start_line, headers))
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Called by tornado with a chunk of the body."""
        self._run(partial(self._reader.data_received, chunk))
        return None

    def finish(self) -> None:
        """Called by tornado at the end of the body."""
        self._run(self._reader.finish)

    def on_connection_close(self) -> None:
        """Called by tornado when the connection is closed within the request."""
        self._failed = False
        self._run(self._reader.on_connection_close)

    def _run(self, step: Callable[[], object]) -> None:
        if self._failed:
            return
        with self._caller.edge.confined() as confinement:
            step()
        if confinement.failed:
            self._failed = True
            self._caller.close()


class RequestReader(httputil.HTTPMessageDelegate):
    """Reads one request; tornado calls it with the headers and the chunks of the body.

    Owns the bytes that are reserved for the body until the response has ended.
    """

    def __init__(self, caller: CallerConnection, connection: HTTP1Connection) -> None:
        self._caller = caller
        self._connection = connection
        self._edge = caller.edge
        self._headers_received_at = Instant(0.0)
        self._start_line: httputil.RequestStartLine | None = None
        self._headers: tuple[tuple[str, str], ...] = ()
        self._body = bytearray()
        self._reserved_bytes = 0
        self.last = False
        """Whether the connection is closed after this request."""

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Called by tornado: starts the time limit of the body, or rejects a body that would be too large."""
        assert isinstance(start_line, httputil.RequestStartLine)
        max_bytes = self._edge.request_limits().body_bytes
        self._headers_received_at = self._edge.context.clock.monotonic()
        self._start_line = start_line
        self._headers = tuple(headers.get_all())
        if start_line.version == "HTTP/1.0":
            # HTTP/1.0 has no chunked encoding, so closing marks the end of a response without length. Tornado would
            # otherwise promise to keep the connection open.
            self.last = True
            headers.pop("Connection", None)
        length = headers.get("Content-Length", "")
        too_many_digits = len(length) > _MAX_LENGTH_DIGITS
        expected = int(length) if length.isascii() and length.isdigit() and not too_many_digits else 0
        if expected > max_bytes or too_many_digits:
            self._reject_body(max_bytes)
        elif self._reserve(expected):
            options = self._edge.options
            self._caller.start_phase_timeout(options.body_timeout + expected / options.body_bytes_per_second, "body")
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Called by tornado: buffers a chunk of the body, or rejects a body that is too large."""
        self._body += chunk
        max_bytes = self._edge.request_limits().body_bytes
        if len(self._body) > max_bytes:
            self._reject_body(max_bytes)
        elif len(self._body) > self._reserved_bytes:
            self._reserve(len(self._body))
        return None

    def finish(self) -> None:
        """Called by tornado at the end of the body: starts the task that handles the call."""
        self._caller.start_phase_timeout(None, None)
        start_line = self._start_line
        assert start_line is not None
        context = self._edge.context
        request = CallerRequest(
            method=start_line.method,
            path=start_line.path,
            headers=self._headers,
            body=bytes(self._body),
            peer=self._caller.peer,
            received_at=context.clock.monotonic(),
            headers_received_at=self._headers_received_at,
        )
        self._body.clear()
        call = IncomingCall(
            request_id=self._edge.format.request_id(request)
            or RequestId(context.random.randbytes(_REQUEST_ID_BYTES).hex()),
            request=request,
            response=CallerResponse(self, self._caller, self._connection, start_line),
            loop_last_ran=context.clock.monotonic(),
        )
        context.tasks.spawn("call", self._handle(call))

    def on_connection_close(self) -> None:
        """Called by tornado when the connection is closed within the request."""
        self._release()

    async def _handle(self, call: IncomingCall) -> None:
        self._caller.reading_request = False
        try:
            await self._edge.handle_call(call)
        finally:
            self._release()

    def _reject(self, rejection: Rejection) -> None:
        self._body.clear()
        self._release()
        self._caller.reject(rejection)

    def _reject_body(self, max_bytes: int) -> None:
        self._reject(Rejection(status=413, code="body-too-large", reason=f"bodies above {max_bytes} bytes"))

    def _reserve(self, size: int) -> bool:
        """Reserves ``size`` bytes for this body; rejects the request and returns False if all bodies are too large."""
        if not self._edge.reserve_body_bytes(size - self._reserved_bytes):
            self._reject(_TOO_MANY_BODIES)
            return False
        self._reserved_bytes = size
        return True

    def _release(self) -> None:
        self._edge.release_body_bytes(self._reserved_bytes)
        self._reserved_bytes = 0
