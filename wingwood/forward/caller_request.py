"""Reading of one caller's call, and of the calls of one connection in turn (docs/DESIGN.md section 12.3)."""

from __future__ import annotations

import contextlib
from collections.abc import Awaitable
from typing import cast

from tornado import httputil
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.iostream import IOStream, StreamClosedError

from ..identifiers import Instant, RequestId, Seconds
from .caller_answer import CallerAnswer
from .caller_connection import CallerConnection
from .protocols import IncomingCall, Refused


async def serve_calls(caller: CallerConnection, parameters: HTTP1ConnectionParameters) -> None:
    """Reads and answers one call after another, then closes the connection."""
    with contextlib.suppress(StreamClosedError):
        while not caller.shut:
            caller.expect_call()
            connection = HTTP1Connection(cast(IOStream, caller), False, parameters, caller.peer)
            request = CallerRequest(caller, connection)
            if not await connection.read_response(request) or request.last:
                break
    if not caller.shut:
        caller.close()


class CallerRequest(httputil.HTTPMessageDelegate):
    """One call that is being read; tornado calls it with the head and the parts of the body."""

    def __init__(self, caller: CallerConnection, connection: HTTP1Connection) -> None:
        self._caller = caller
        self._connection = connection
        self._edge = caller.edge
        self._head_received_at = Instant(0.0)
        self._start_line: httputil.RequestStartLine | None = None
        self._headers: tuple[tuple[str, str], ...] = ()
        self._body = bytearray()
        self._held = 0
        self.last = False
        """Whether the connection is closed after this call."""

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        assert isinstance(start_line, httputil.RequestStartLine)
        limits, max_bytes = self._edge.limits, self._edge.bounds().body_bytes
        self._head_received_at = self._edge.context.clock.monotonic()
        self._start_line = start_line
        self._headers = tuple(headers.get_all())
        if start_line.version == "HTTP/1.0":
            # HTTP/1.0 has no chunked encoding, so closing marks the end of an answer without length. Tornado would
            # otherwise promise to keep the connection open.
            self.last = True
            headers.pop("Connection", None)
        length = headers.get("Content-Length", "")
        expected = int(length) if length.isascii() and length.isdigit() and len(length) < 16 else 0
        if expected > max_bytes or len(length) >= 16:
            self._refuse(Refused(status=413, code="body-too-large", reason=f"bodies above {max_bytes} bytes"))
        elif self._hold(expected):
            self._caller.start_phase_timeout(limits.body_timeout + expected / limits.body_bytes_per_second, "body")
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        self._body += chunk
        max_bytes = self._edge.bounds().body_bytes
        if len(self._body) > max_bytes:
            self._refuse(Refused(status=413, code="body-too-large", reason=f"bodies above {max_bytes} bytes"))
        elif len(self._body) > self._held:
            self._hold(len(self._body))
        return None

    def finish(self) -> None:
        """Called by tornado at the end of the body: starts the task that handles the call."""
        self._caller.start_phase_timeout(None, None)
        start_line = self._start_line
        assert start_line is not None
        caller = CallerAnswer(self, self._caller, self._connection, start_line)
        call = IncomingCall(
            request=RequestId(""),
            method=start_line.method,
            path=start_line.path,
            headers=self._headers,
            body=bytes(self._body),
            peer=self._caller.peer,
            received_at=self._edge.context.clock.monotonic(),
            head_received_at=self._head_received_at,
            caller=caller,
            loop_last_ran=self._edge.context.clock.monotonic(),
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
        """Counts ``size`` bytes of this body as held.

        Refuses the call and returns False when all held bodies together would be too large.
        """
        if not self._edge.hold_body_bytes(size - self._held):
            self._refuse(
                Refused(status=503, code="overloaded", reason="too many bodies under way", retry_after=Seconds(1))
            )
            return False
        self._held = size
        return True

    def _release(self) -> None:
        self._edge.release_body_bytes(self._held)
        self._held = 0
