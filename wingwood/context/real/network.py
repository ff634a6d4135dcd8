"""TCP connections of the operating system, whose number is limited (docs/DESIGN.md section 12.2)."""

from __future__ import annotations

import asyncio
import contextlib
import resource
import socket
from collections.abc import Callable

from returns.result import Failure, Result, Success
from tornado.iostream import BaseIOStream, IOStream

from ...identifiers import Address, Seconds
from ..protocols import Listener, NetworkFault, StreamHandler

MAX_DESCRIPTORS = 65_536
"""Maximum number of file descriptors that a process requests from the system."""
RESERVED_DESCRIPTORS = 48
"""Descriptors reserved for files, listeners, the event loop, and outgoing connections while many came in."""
RESERVED_OUTGOING_CONNECTIONS = 24
"""Number of the reserved descriptors that outgoing connections may use."""
TCP_USER_TIMEOUT_SECONDS = Seconds(2.5)
"""How long sent bytes may remain unacknowledged before the connection is aborted."""
KEEP_ALIVE_INTERVAL_SECONDS = Seconds(1.0)
"""Idle time before the first TCP keep-alive probe, and interval between probes."""
ACCEPT_BACKOFF_SECONDS = Seconds(0.1)
"""Backoff of a listener that could not accept a connection for lack of descriptors or memory."""
_KEEP_ALIVE_PROBES = 2
_ACCEPT_BACKLOG = 1024
_MAX_ACCEPTS_PER_EVENT = 128
_STREAM_BUFFER_BYTES = 96 * 1024 * 1024
_CONNECTION_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(1000 * TCP_USER_TIMEOUT_SECONDS)),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, int(KEEP_ALIVE_INTERVAL_SECONDS)),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, int(KEEP_ALIVE_INTERVAL_SECONDS)),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEP_ALIVE_PROBES),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
)


def set_up_connection(connection: socket.socket) -> None:
    """Sets the options of a connection, at both ends: small writes are not delayed, dead peers are found in seconds.

    A machine that lost power or its network sends nothing. Unacknowledged bytes abort the connection after
    ``TCP_USER_TIMEOUT_SECONDS``; keep-alive probes abort a connection whose peer is unresponsive after about the
    same time. A live peer whose receive window stays closed for that time loses its connection too, because Linux
    counts that as unacknowledged.
    """
    for level, option, value in _CONNECTION_OPTIONS:
        with contextlib.suppress(OSError):  # The connection is closed already, or the system lacks the option.
            connection.setsockopt(level, option, value)


class _CountedStream(IOStream):
    """A stream that calls ``on_closed`` when its descriptor is released."""

    def __init__(self, connection: socket.socket, on_closed: Callable[[], None]) -> None:
        self._on_closed: Callable[[], None] | None = on_closed
        super().__init__(connection, max_buffer_size=_STREAM_BUFFER_BYTES)

    def close_fd(self) -> None:
        """Called by tornado to release the descriptor."""
        super().close_fd()
        if self._on_closed is not None:
            self._on_closed()
            self._on_closed = None


class _AcceptingListener:
    """Accepts connections, and backs off after a failure because the event loop would report it again at once."""

    def __init__(self, listener: socket.socket, network: RealNetwork, handle_stream: StreamHandler) -> None:
        self._listener = listener
        self._network = network
        self._handle = handle_stream
        self._loop = asyncio.get_running_loop()
        self._retry: asyncio.TimerHandle | None = None
        self._closed = False
        self._resume()

    def close(self) -> None:
        """Stops accepting connections."""
        if self._closed:
            return
        self._closed = True
        if self._retry is not None:
            self._retry.cancel()
        else:
            self._loop.remove_reader(self._listener)
        self._listener.close()

    def _resume(self) -> None:
        self._retry = None
        self._loop.add_reader(self._listener, self._accept)

    def _accept(self) -> None:
        for _ in range(_MAX_ACCEPTS_PER_EVENT):
            if self._closed:
                return
            try:
                connection, peer = self._listener.accept()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionError:
                continue  # The peer closed the connection before it was accepted.
            except OSError:
                self._loop.remove_reader(self._listener)
                self._retry = self._loop.call_later(ACCEPT_BACKOFF_SECONDS, self._resume)
                return
            self._handle_connection(connection, peer)

    def _handle_connection(self, connection: socket.socket, peer: tuple[str, int]) -> None:
        stream = self._network.accepted(connection)
        if stream is None:
            return
        awaitable = self._handle(stream, Address(peer[0], peer[1]))
        if awaitable is not None:
            asyncio.ensure_future(awaitable).add_done_callback(_raise_exception)


def _raise_exception(future: asyncio.Future[None]) -> None:
    """Passes an exception of the task to the event loop, which reports it."""
    if not future.cancelled():
        future.result()


def _raise_descriptor_limit() -> int:
    """Raises the soft limit of descriptors as far as the system allows, and returns the resulting limit."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    target = MAX_DESCRIPTORS if hard == resource.RLIM_INFINITY else min(hard, MAX_DESCRIPTORS)
    if soft != resource.RLIM_INFINITY and soft < target:
        with contextlib.suppress(OSError, ValueError):
            resource.setrlimit(resource.RLIMIT_NOFILE, (target, hard))
            return target
        return soft
    return target


class RealNetwork:
    """TCP over IPv4. Incoming and outgoing connections count against the limit of descriptors."""

    def __init__(self, descriptor_limit: int | None = None) -> None:
        """``descriptor_limit`` lowers the limit of this process where ``RLIMIT_NOFILE`` does not reflect it."""
        self._system_descriptor_limit = _raise_descriptor_limit()
        self._descriptor_limit = descriptor_limit
        self._open = 0

    def connection_limit(self) -> int:
        """Returns how many connections this process can have open, apart from the reserved descriptors."""
        limit = self._system_descriptor_limit
        if self._descriptor_limit is not None:
            limit = min(limit, self._descriptor_limit)
        return max(1, limit - RESERVED_DESCRIPTORS)

    def open_connections(self) -> int:
        """Returns the number of incoming and outgoing connections that are open or being opened."""
        return self._open

    async def connect(self, address: Address, timeout: Seconds) -> Result[BaseIOStream, NetworkFault]:
        """Opens a connection, or fails after ``timeout`` seconds."""
        if self._open >= self.connection_limit() + RESERVED_OUTGOING_CONNECTIONS:
            return Failure(NetworkFault("exhausted", f"{self._open} connections are open"))
        try:
            connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as problem:
            return Failure(NetworkFault("exhausted", str(problem)))
        self._open += 1
        fault: NetworkFault | None = None
        try:
            connection.setblocking(False)
            set_up_connection(connection)
            async with asyncio.timeout(timeout):
                await asyncio.get_running_loop().sock_connect(connection, (address.host, address.port))
        except TimeoutError:
            fault = NetworkFault("timeout", str(address))
        except ConnectionError as problem:
            fault = NetworkFault("refused", f"{address}: {problem}")
        except OSError as problem:
            fault = NetworkFault("unreachable", f"{address}: {problem}")
        except BaseException:
            self._closed(connection)
            raise
        if fault is not None:
            self._closed(connection)
            return Failure(fault)
        return Success(_CountedStream(connection, self._on_stream_closed))

    def listen(self, address: Address, handle_stream: StreamHandler) -> Result[Listener, NetworkFault]:
        """Binds at once, and calls ``handle_stream`` with each accepted stream."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            listener.setblocking(False)
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind((address.host, address.port))
            listener.listen(_ACCEPT_BACKLOG)
        except OSError as problem:
            listener.close()
            return Failure(NetworkFault("in-use", f"{address}: {problem}"))
        return Success(_AcceptingListener(listener, self, handle_stream))

    def accepted(self, connection: socket.socket) -> BaseIOStream | None:
        """Returns the stream of an accepted connection, or closes it and returns None if there are too many."""
        if not self._has_capacity(connection):
            connection.close()
            return None
        set_up_connection(connection)
        self._open += 1
        return _CountedStream(connection, self._on_stream_closed)

    def _has_capacity(self, connection: socket.socket) -> bool:
        if self._open >= self.connection_limit():
            return False
        # The system assigns the lowest free number, so the number also reflects descriptors of other kinds.
        return self._descriptor_limit is not None or connection.fileno() < self.connection_limit()

    def _closed(self, connection: socket.socket) -> None:
        connection.close()
        self._open -= 1

    def _on_stream_closed(self) -> None:
        self._open -= 1
