"""The HTTP client for calls to workers that reuses connections (docs/DESIGN.md section 12.2).

It works on any ``Network``, so it runs on real sockets and in the simulator. A request is written once, on one
connection: neither the pool nor this client ever sends it again, and no connection carries two requests at a time.
A connection is reused only if the response ended cleanly, no bytes followed it, the request was written completely
and neither side asked to close the connection.

A call that gets an idle connection is written within ``start``; otherwise it is written once its new connection is
open.
"""

from __future__ import annotations

from typing import Final, Literal

from returns.result import Failure

from .connection_pool import ConnectionCounts, ConnectionLimits, ConnectionPool
from .http_exchange import Exchange
from .http_framing import fault_of_request
from .pooled_connection import PooledConnection
from .protocols import Clock, HttpExchange, HttpFault, HttpRequest, Network, NetworkFault, Tasks
from .response_parser import ResponseParser, ResponseState

_FRAMING_NAME_LENGTHS: Final = frozenset({len("transfer-encoding"), len("content-length")})
"""Header names of other lengths need not be put in lower case to be compared."""
MAX_BUFFERED_BYTES: Final = 256 * 1024
"""Maximum number of body bytes of one call that wait for its consumer; reading pauses at ``READ_AHEAD_BYTES``."""


class PooledHttpClient:
    """Implements HttpClient. Requests with ``reuse`` share connections; every other request has its own."""

    def __init__(self, network: Network, clock: Clock, tasks: Tasks, limits: ConnectionLimits | None = None) -> None:
        self.pool = ConnectionPool(clock, limits or ConnectionLimits())
        self._network = network
        self._tasks = tasks
        self._exchanges: dict[_PooledExchange, None] = {}

    def start(self, request: HttpRequest) -> HttpExchange:
        """Starts the call on an idle connection or a new one; at a connection limit it fails as ``busy``."""
        exchange = _PooledExchange(request, self)
        problem = fault_of_request(request) or _fault_of_framing(request)
        if problem is not None:
            exchange.end(HttpFault("malformed", False, problem))
            return exchange
        self._exchanges[exchange] = None
        idle = self.pool.acquire(request.address, request.reuse_within) if request.reuse else None
        if idle is not None:
            exchange.start_on_idle(idle)
        elif self.pool.reserve(request.address, request.connection_limit):
            self._tasks.spawn(f"connect {request.address}", exchange.connect(self._network))
        else:
            exchange.end(HttpFault("busy", False, f"connections to {request.address} or in all"))
        return exchange

    def calls(self) -> int:
        """Returns the number of calls in progress."""
        return len(self._exchanges)

    @property
    def counts(self) -> ConnectionCounts:
        """The counters of the connection pool."""
        return self.pool.counts

    def set_limits(self, limits: ConnectionLimits) -> None:
        """Sets the limits for connections that are opened or become idle from now on."""
        self.pool.limits = limits

    def close(self) -> None:
        """Cancels all calls and closes all connections."""
        for exchange in list(self._exchanges):
            exchange.cancel()
        self.pool.close_idle()

    def remove_exchange(self, exchange: _PooledExchange) -> None:
        """Removes a call from those in progress."""
        self._exchanges.pop(exchange, None)


class _PooledExchange(Exchange):
    """One call. It is the ``ConnectionUser`` of its connection from the first written byte to the response's end."""

    def __init__(self, request: HttpRequest, client: PooledHttpClient) -> None:
        super().__init__(request)
        self._client = client
        self._pool = client.pool
        self._connection: PooledConnection | None = None
        self._parser: ResponseParser

    # Acquiring a connection.

    def start_on_idle(self, connection: PooledConnection) -> None:
        """Sends the request on an idle connection, unless the last check of the request cancels it."""
        if not self.passes_last_check():
            self._pool.undo_acquire(connection)
            self.end(HttpFault("cancelled", False))
            return
        self._pool.counts.reused += 1
        self._send_request(connection)

    async def connect(self, network: Network) -> None:
        """Opens the connection that was reserved.

        If the call was cancelled meanwhile and its request allows reuse, the connection is stored for another call.
        """
        address = self.request.address
        opened = await network.connect(address, self.request.connect_timeout)
        if isinstance(opened, Failure):
            self._pool.release(address)
            self.end(_fault_of_connect(opened.failure()))
            return
        connection = self._pool.add(address, opened.unwrap())
        if self.passes_last_check():
            self._send_request(connection)
            return
        if self.request.reuse:
            self._pool.store_idle(connection, None)
        else:
            self._pool.close(connection)
        self.end(HttpFault("cancelled", False))

    def _send_request(self, connection: PooledConnection) -> None:
        request = self.request
        self._connection = connection
        self._parser = ResponseParser(request.method, request.echo, not connection.reused)
        connection.user = self
        problem = connection.write(_message(request))
        if problem is not None:
            self.on_error(problem)

    # Callbacks of the connection (protocol ConnectionUser).

    def on_first_byte_written(self) -> None:
        """Marks the request as sent."""
        self._sent = True

    def read_allowance(self) -> int:
        """Returns how many more bytes may be buffered for the consumer."""
        return 0 if self.is_full() else MAX_BUFFERED_BYTES - self._buffered_bytes

    def on_data(self, data: bytes) -> None:
        """Parses received bytes, and ends the call at the end of the response."""
        parser = self._parser
        before = parser.head
        body = parser.take(data)
        if before is None and parser.head is not None:
            self.set_head(parser.head)
        if body:
            self.add_chunk(body)
        if parser.state is not ResponseState.INCOMPLETE:
            self._response_done()
        elif self._connection is not None:
            self._connection.probe_when_silent(True)

    def on_connection_end(self) -> None:
        """Ends the call; the framing decides whether the response is complete."""
        self._parser.on_connection_end()
        self._response_done()

    def on_error(self, problem: OSError) -> None:
        """Ends the call as ``broken``."""
        self._fail("broken", str(problem))

    def _response_done(self) -> None:
        parser = self._parser
        if parser.state is ResponseState.COMPLETE:
            self._free_connection()
            self.end(None)
        elif parser.state is ResponseState.MALFORMED:
            self._fail("malformed", parser.problem)
        else:
            self._fail("broken", parser.problem)

    def _fail(self, kind: Literal["broken", "malformed"], detail: str) -> None:
        connection = self._connection
        assert connection is not None
        on_reused = kind == "broken" and connection.reused and not self._parser.started
        self._close()
        self.end(HttpFault(kind, self._sent, detail, on_reused))

    def _free_connection(self) -> None:
        """Stores the connection for another call if it can be reused, else closes it."""
        connection, self._connection = self._connection, None
        assert connection is not None
        parser = self._parser
        if not connection.all_written():
            self._pool.reset(connection)
            return
        reusable = parser.persistent and not parser.surplus
        if reusable and self.request.reuse and not _asks_to_close(self.request):
            connection.probe_when_silent(False)
            self._pool.store_idle(connection, parser.keep_alive_seconds)
        else:
            self._pool.close(connection)

    # Overridden methods of Exchange.

    def end(self, fault: HttpFault | None) -> None:
        """Ends the call, cleanly (None) or with a fault, and removes it from those in progress."""
        super().end(fault)
        self._client.remove_exchange(self)

    def _resume_if_paused(self) -> None:
        if self._connection is not None:
            self._connection.resume_reading()

    def _close(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            self._pool.reset(connection)
        self._client.remove_exchange(self)


def _fault_of_connect(fault: NetworkFault) -> HttpFault:
    detail = f"{fault.kind} {fault.detail}"
    return HttpFault("busy" if fault.kind == "exhausted" else "connect", False, detail)


def _fault_of_framing(request: HttpRequest) -> str | None:
    """Returns the problem of a header that contradicts the length of the body, or None.

    On a reused connection, the peer would take bytes of the next request for part of this body, or the reverse.
    """
    for name, value in request.headers:
        if len(name) in _FRAMING_NAME_LENGTHS:
            lowered = name.lower()
            if lowered == "transfer-encoding" or (lowered == "content-length" and value != str(len(request.body))):
                return f"value of header {name}"
    return None


def _asks_to_close(request: HttpRequest) -> bool:
    return any(name.lower() == "connection" and "close" in value.lower() for name, value in request.headers)


def _message(request: HttpRequest) -> bytes:
    """Returns head and body as one message, which is written in one call."""
    lines = [f"{request.method} {request.path} HTTP/1.1\r\n"]
    header_names = set()
    for name, value in request.headers:
        header_names.add(name.lower())
        lines.append(f"{name}: {value}\r\n")
    if "host" not in header_names:
        lines.insert(1, f"Host: {request.address}\r\n")
    if "connection" not in header_names and not request.reuse:
        lines.append("Connection: close\r\n")
    if (request.body or request.method == "POST") and "content-length" not in header_names:
        lines.append(f"Content-Length: {len(request.body)}\r\n")
    lines.append("\r\n")
    return "".join(lines).encode("latin-1") + request.body
