"""The caller edge: an HTTP/1.1 server on tornado's HTTP/1.x connection (docs/DESIGN.md section 12.3).

Tornado parses and frames messages. ``CallerConnection``, which tornado uses as its stream, adds what tornado lacks.
"""

from __future__ import annotations

from typing import Final

from returns.result import Failure, Result, Success
from tornado.http1connection import HTTP1ConnectionParameters
from tornado.iostream import BaseIOStream

from ..context.protocols import Listener, NetworkFault
from ..identifiers import Address, Seconds
from .caller_connection import READ_BYTES, UNLIMITED, CallerConnection
from .edge_state import EdgeState
from .request_reader import serve_requests
from .results import Rejection

_CALLER_CONNECTIONS_FRACTION: Final = 0.4
"""Fraction of the process's connections that callers may use; each call also needs a connection to its worker."""
_TOO_MANY_CONNECTIONS = Rejection(
    status=503, code="too-many-connections", reason="too many connections", retry_after=Seconds(1)
)


class CallerEdge:
    """Accepts callers' connections; owns the listener and the open connections, which share ``state``."""

    def __init__(self, state: EdgeState, address: Address) -> None:
        self.state = state
        self._address = address
        self._listener: Listener | None = None
        self._max_connections = min(
            state.options.max_connections,
            int(state.context.network.connection_limit() * _CALLER_CONNECTIONS_FRACTION),
        )
        self._connections: dict[CallerConnection, None] = {}
        self._parameters = HTTP1ConnectionParameters(
            max_header_size=UNLIMITED, max_body_size=UNLIMITED, chunk_size=READ_BYTES
        )

    def start(self) -> Result[None, NetworkFault]:
        """Listens on the address; returns the fault when that fails."""
        match self.state.context.network.listen(self._address, self._serve_stream):
            case Success(listener):
                self._listener = listener
                return Success(None)
            case Failure(fault):
                return Failure(fault)
        raise AssertionError("a result is a success or a failure")

    def connections(self) -> int:
        """Returns the number of open connections of callers."""
        return len(self._connections)

    def close_after_responses(self) -> None:
        """Makes each response that starts from now on close its connection."""
        self.state.close_after_response = True

    def stop_listening(self) -> None:
        """Accepts no more connections; open ones stay open."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def close_idle(self) -> None:
        """Closes the connections on which no request is being read or answered."""
        for connection in list(self._connections):
            if connection.idle:
                connection.close()

    def is_reading(self) -> bool:
        """Returns whether any request is being read, or has been read and was not yet passed on."""
        return any(connection.reading_request for connection in self._connections)

    def close_all(self) -> None:
        """Closes all connections at once."""
        for connection in list(self._connections):
            connection.close()

    async def _serve_stream(self, stream: BaseIOStream, peer: Address) -> None:
        connection = CallerConnection(self.state, stream, peer)
        if len(self._connections) >= self._max_connections:
            connection.reject(_TOO_MANY_CONNECTIONS)
            return
        self._connections[connection] = None
        try:
            with self.state.confined():
                await serve_requests(connection, self._parameters)
        finally:
            self._connections.pop(connection, None)
            if not connection.closing:
                connection.close()
