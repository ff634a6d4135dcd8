"""Writing of the response to one request (docs/DESIGN.md section 12.3)."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import Final, Protocol

from tornado import httputil
from tornado.http1connection import HTTP1Connection
from tornado.iostream import StreamClosedError

from .caller_connection import CallerConnection
from .edge_state import reason_phrase

_STATUSES_WITHOUT_BODY: Final = frozenset({204, 304})


class AnsweredRequest(Protocol):
    """The request that is being answered."""

    last: bool
    """Whether the connection is closed after this request."""


class CallerResponse:
    """Implements ``ResponseStream`` on tornado's HTTP/1.x connection; owns how the response is framed."""

    def __init__(
        self,
        request: AnsweredRequest,
        caller: CallerConnection,
        connection: HTTP1Connection,
        start_line: httputil.RequestStartLine,
    ) -> None:
        self._request = request
        self._caller = caller
        self._connection = connection
        self._without_body = start_line.method == "HEAD"
        self._http_1_0 = start_line.version == "HTTP/1.0"
        self._head: tuple[httputil.ResponseStartLine, httputil.HTTPHeaders] | None = None
        """The head until it is written, which is with the first chunk or in the event loop's next iteration."""
        self._ended_by_close = False
        self._chunked = False
        self._started = False
        self._ended = False

    @property
    def started(self) -> bool:
        """Returns whether ``start`` has been called."""
        return self._started

    @property
    def ended(self) -> bool:
        """Returns whether the response was finished or aborted."""
        return self._ended

    @property
    def disconnected(self) -> asyncio.Event:
        """The event that is set when the caller has closed its connection."""
        return self._caller.disconnected

    def on_disconnect(self, callback: Callable[[], None] | None) -> None:
        """Sets the only callback for the caller's disconnection; None removes it."""
        self._caller.on_disconnect = callback
        if callback is not None and self._caller.disconnected.is_set():
            callback()

    def start(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Prepares status and headers, which are written with the first chunk or in the loop's next iteration."""
        self._started = True
        fields = httputil.HTTPHeaders()
        for name, value in headers:
            fields.add(name, value)
        without_length = "Content-Length" not in fields
        self._ended_by_close = self._http_1_0 and without_length
        self._chunked = not self._http_1_0 and without_length and status not in _STATUSES_WITHOUT_BODY
        if self._caller.edge.close_after_response or self._request.last:
            fields["Connection"] = "close"
            self._request.last = True
        self._head = httputil.ResponseStartLine("HTTP/1.1", status, reason_phrase(status)), fields
        asyncio.get_running_loop().call_soon(self._write_head)

    async def write(self, chunk: bytes) -> None:
        """Writes part of the body; returns when the kernel has taken it, or at once if the connection is closed."""
        if self._ended or self._without_body or not chunk:
            return
        with contextlib.suppress(StreamClosedError):
            if self._head is not None:
                self._write_head(chunk)
            elif self._caller.closed():
                return
            elif self._chunked:
                # The same bytes as tornado writes, at less cost.
                self._caller.write(b"%x\r\n%b\r\n" % (len(chunk), chunk))
            else:
                self._connection.write(chunk)
            # The future that tornado returns is dropped, and never done, when the connection closes first.
            if self._caller.last_write is not None:
                await self._caller.last_write

    async def finish(self) -> None:
        """Writes the end of a complete response, if it has a head."""
        if self._ended or not self._started:
            return
        self._ended = True
        with contextlib.suppress(StreamClosedError):
            self._write_head()
            self._connection.finish()

    def abort(self) -> None:
        """Closes the connection; with a reset where an orderly close would end the body."""
        if self._ended:
            return
        self._ended = True
        self._head = None
        if self._ended_by_close:
            self._caller.reset()
        else:
            self._caller.close()

    def _write_head(self, chunk: bytes | None = None) -> None:
        head, self._head = self._head, None
        if head is not None and not self._caller.closed():
            self._connection.write_headers(*head, chunk)
