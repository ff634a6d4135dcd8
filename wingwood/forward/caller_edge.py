"""The caller edge: an HTTP/1.1 server on tornado's HTTP/1.x connection (docs/DESIGN.md section 12.3).

Tornado parses and frames messages. ``CallerConnection``, which tornado uses as its stream, adds what tornado lacks.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from returns.result import Failure, Result, Success
from tornado.http1connection import HTTP1ConnectionParameters
from tornado.iostream import BaseIOStream

from ..context.protocols import Context, Listener, NetworkFault
from ..identifiers import Address, Seconds
from .caller_connection import READ_BYTES, UNLIMITED, CallerConnection
from .caller_request import serve_calls
from .edge_state import EdgeState, Handle
from .formats import CallerFormat
from .limits import CallerBounds, PathLimits
from .protocols import Refused

_CALLER_CONNECTIONS_FRACTION: Final = 0.4
"""Fraction of the process's connections that callers may use; each call also needs a connection to its worker."""


class CallerEdge(EdgeState):
    """Accepts callers' connections and calls ``handle`` with each complete call."""

    def __init__(
        self,
        context: Context,
        address: Address,
        limits: PathLimits,
        bounds: Callable[[], CallerBounds],
        caller_format: CallerFormat,
        handle: Handle,
    ) -> None:
        super().__init__(context, limits, bounds, caller_format, handle)
        self._address = address
        self._listener: Listener | None = None
        self._max_connections = min(
            limits.max_connections, int(context.network.connection_limit() * _CALLER_CONNECTIONS_FRACTION)
        )
        self._connections: dict[CallerConnection, None] = {}
        self._parameters = HTTP1ConnectionParameters(
            max_header_size=UNLIMITED, max_body_size=UNLIMITED, chunk_size=READ_BYTES
        )

    def start(self) -> Result[None, NetworkFault]:
        """Listens on the address; returns the fault when that fails."""
        match self.context.network.listen(self._address, self._serve_stream):
            case Success(listener):
                self._listener = listener
                return Success(None)
            case Failure(fault):
                return Failure(fault)
        raise AssertionError("a result is a success or a failure")

    def connections(self) -> int:
        """Returns the number of open connections of callers."""
        return len(self._connections)

    def stop_listening(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def close_idle(self) -> None:
        """Closes the connections on which no call is being read or answered."""
        for connection in list(self._connections):
            if connection.idle:
                connection.close()

    def is_reading(self) -> bool:
        """Returns whether any call is being read, or has been read and was not yet passed to ``handle``."""
        return any(connection.reading_call for connection in self._connections)

    def close_all(self) -> None:
        for connection in list(self._connections):
            connection.close()

    async def _serve_stream(self, stream: BaseIOStream, peer: Address) -> None:
        connection = CallerConnection(self, stream, peer)
        if len(self._connections) >= self._max_connections:
            connection.refuse(
                Refused(status=503, code="too-many-connections", reason="too many connections", retry_after=Seconds(1))
            )
            return
        self._connections[connection] = None
        try:
            await serve_calls(connection, self._parameters)
        finally:
            self._connections.pop(connection, None)
