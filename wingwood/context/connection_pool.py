"""A pool of connections to workers that are reused by several calls (docs/DESIGN.md section 12.2).

The pool knows nothing of HTTP: it counts connections by address, enforces limits, and stores and watches idle
connections. An idle connection that ends, fails or receives any byte is closed and never used again.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Final, Protocol

import msgspec
from tornado.ioloop import IOLoop
from tornado.iostream import BaseIOStream

from ..identifiers import Address, Instant, Seconds
from .protocols import Clock

READ_BUFFER_BYTES: Final = 64 * 1024
_SWEEP_PERIOD_S: Final = Seconds(0.5)
"""Interval at which expired idle connections are closed. They are never used, but may stay open for this long."""


class ConnectionLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on the connections of one process to workers; connecting, used and idle connections all count."""

    per_address: int = 64
    total: int = 1024
    idle_share: float = 0.5
    """Fraction of the worker's ``Keep-Alive: timeout`` for which an idle connection may be reused."""
    longest_idle: Seconds = Seconds(5.0)
    """Upper limit of the idle time, whatever the worker allows."""
    idle_without_keep_alive: Seconds = Seconds(0.3)
    """Longest idle time after an answer without a ``Keep-Alive`` timeout."""

    def max_idle_time(self, keep_alive_s: int | None) -> Seconds:
        """Returns the longest idle time after an answer with this ``Keep-Alive`` timeout, which may be None."""
        if keep_alive_s is None:
            return min(self.idle_without_keep_alive, self.longest_idle)
        return Seconds(min(self.idle_share * keep_alive_s, self.longest_idle))


class ConnectionCounts(msgspec.Struct):
    """Counters since the start of the process."""

    opened: int = 0
    reused: int = 0
    """Calls that used an idle connection."""
    closed_idle: int = 0
    """Idle connections closed by age, by a limit, or because the peer closed them or sent bytes."""
    busy: int = 0
    """Calls refused because a limit was reached."""


class ConnectionUser(Protocol):
    """The call that uses a connection."""

    def read_allowance(self) -> int:
        """Returns how many bytes may be read now; 0 pauses reading until ``resume_reading`` is called."""
        ...

    def on_data(self, data: bytes) -> None:
        """Is called with received bytes."""
        ...

    def on_connection_end(self) -> None:
        """Is called when the peer has closed the connection in order (FIN)."""
        ...

    def on_error(self, problem: OSError) -> None:
        """Is called when the connection was reset or timed out, after everything received before has been read."""
        ...

    def on_first_byte_written(self) -> None:
        """Is called when the kernel has accepted the first byte written for this user."""
        ...


class PooledConnection:
    """One connection, which the event loop watches from its first use until it is closed.

    It uses the descriptor methods of the tornado stream (``read_from_fd``, ``write_to_fd``) and not the stream's
    buffers: these cost more than the parser does, and they drop received bytes when a write fails.
    """

    __slots__ = (
        "_buffer",
        "_descriptor",
        "_events",
        "_io_loop",
        "_on_idle_event",
        "_stream",
        "_unsent",
        "_write_failed",
        "_write_started",
        "address",
        "closed",
        "expires",
        "idle_since",
        "reused",
        "user",
    )

    def __init__(
        self,
        address: Address,
        stream: BaseIOStream,
        buffer: memoryview,
        on_idle_event: Callable[[PooledConnection], None],
    ) -> None:
        """``buffer`` may be shared by all connections, because received bytes are copied out of it immediately."""
        self.address = address
        self.user: ConnectionUser | None = None
        self.reused = False
        """Whether it has been idle in the pool, that is, an earlier call may have used it."""
        self.closed = False
        self.idle_since = Instant(0.0)
        self.expires = Instant(0.0)
        """The time from which the idle connection may not be reused."""
        self._stream = stream
        self._buffer = buffer
        self._on_idle_event = on_idle_event
        self._unsent: memoryview | None = None
        self._write_started = False
        self._write_failed = False
        self._io_loop = stream.io_loop
        self._descriptor = stream.fileno()
        self._events: int = IOLoop.READ
        self._io_loop.add_handler(self._descriptor, self._on_events, IOLoop.READ)

    def write(self, data: bytes) -> OSError | None:
        """Writes what the kernel accepts now, and the remainder as it accepts more.

        Returns the error if the kernel refused the first byte, else None.
        """
        self._write_started = False
        self._unsent = memoryview(data)
        return self._continue_write()

    def all_written(self) -> bool:
        """Returns whether the kernel has accepted all bytes of the last ``write``."""
        return self._unsent is None and not self._write_failed

    def resume_reading(self) -> None:
        """Reads again after ``read_allowance`` was 0."""
        if not self.closed and not self._events & IOLoop.READ:
            self._watch(self._events | IOLoop.READ)

    def is_open_and_quiet(self) -> bool:
        """Returns whether the connection is open and has nothing to read; received bytes are discarded."""
        try:
            return not self.closed and self._stream.read_from_fd(self._buffer) is None
        except OSError:
            return False

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.user = None
            self._unsent = None
            self._io_loop.remove_handler(self._descriptor)
            self._stream.close()

    def _watch(self, events: int) -> None:
        self._events = events
        self._io_loop.update_handler(self._descriptor, events)

    def _on_events(self, _: object, events: int) -> None:
        if events & IOLoop.WRITE and not self.closed:
            self._write_more()
        if events & (IOLoop.READ | IOLoop.ERROR) and not self.closed:
            self._read()

    def _write_more(self) -> None:
        problem = self._continue_write()
        if problem is not None and self.user is not None:
            self.user.on_error(problem)

    def _continue_write(self) -> OSError | None:
        unsent = self._unsent
        if unsent is None:
            return None
        try:
            count = self._stream.write_to_fd(unsent)
        except BlockingIOError:
            count = 0
        except OSError as problem:
            return self._on_write_error(problem)
        if count and not self._write_started:
            self._write_started = True
            if self.user is not None:
                self.user.on_first_byte_written()
        if count == len(unsent):
            self._unsent = None
            if self._events & IOLoop.WRITE:
                self._watch(self._events & ~IOLoop.WRITE)
            return None
        self._unsent = unsent[count:]
        if not self._events & IOLoop.WRITE:
            self._watch(self._events | IOLoop.WRITE)
        return None

    def _on_write_error(self, problem: OSError) -> OSError | None:
        """Returns the error if no byte was written; otherwise goes on reading.

        The answer may have arrived before the error and still be unread. Reading it, and then the end of the
        connection, decides the outcome.
        """
        self._unsent = None
        self._write_failed = True
        if not self._write_started:
            return problem
        self._watch(IOLoop.READ)
        return None

    def _read(self) -> None:
        user = self.user
        if user is None:
            self._on_idle_event(self)
            return
        read_allowance = user.read_allowance()
        if read_allowance <= 0:
            self._watch(self._events & ~IOLoop.READ)
            return
        buffer = self._buffer if read_allowance >= READ_BUFFER_BYTES else self._buffer[:read_allowance]
        try:
            count = self._stream.read_from_fd(buffer)
        except OSError as problem:
            user.on_error(problem)
            return
        if count:
            user.on_data(bytes(self._buffer[:count]))
        elif count == 0:
            user.on_connection_end()


class _AddressState:
    """The open connections to one address."""

    __slots__ = ("idle", "open")

    def __init__(self) -> None:
        self.open = 0
        """Number of connecting, used and idle connections."""
        self.idle: deque[PooledConnection] = deque()
        """The idle connections; the one with the longest idle time comes first."""


class ConnectionPool:
    """Counts connections by address and stores idle ones; the most recently used one is reused first."""

    def __init__(self, clock: Clock, limits: ConnectionLimits) -> None:
        self.limits = limits
        self.counts = ConnectionCounts()
        self._now = clock.monotonic
        self._buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        self._addresses: dict[Address, _AddressState] = {}
        self._open = 0
        self._idle: dict[PooledConnection, None] = {}
        """All idle connections, in the order in which they became idle."""
        self._sweep: asyncio.TimerHandle | None = None

    def open_connections(self, address: Address | None = None) -> int:
        """Returns the number of connecting, used and idle connections, to one address or in total."""
        if address is None:
            return self._open
        state = self._addresses.get(address)
        return 0 if state is None else state.open

    def idle_connections(self, address: Address | None = None) -> int:
        """Returns the number of idle connections, to one address or in total."""
        if address is None:
            return len(self._idle)
        state = self._addresses.get(address)
        return 0 if state is None else len(state.idle)

    def acquire(self, address: Address, max_idle: Seconds | None) -> PooledConnection | None:
        """Returns an idle connection that is open and has nothing to read, or None.

        The caller owns it until it calls ``store_idle``, ``close`` or ``undo_acquire``.
        """
        state = self._addresses.get(address)
        if state is None or not state.idle:
            return None
        now = self._now()
        while state.idle:
            connection = state.idle[-1]
            usable = connection.expires > now
            if usable and max_idle is not None and now - connection.idle_since > max_idle:
                return None
            self._remove_idle(connection, state)
            if usable and connection.is_open_and_quiet():
                return connection
            self.counts.closed_idle += 1
            self.close(connection)
        return None

    def undo_acquire(self, connection: PooledConnection) -> None:
        """Undoes ``acquire`` if nothing was written; the idle time of the connection continues."""
        self._add_idle(connection)

    def reserve(self, address: Address, connection_limit: int | None) -> bool:
        """Reserves a place for one more connection, closing idle connections if a limit requires it.

        Returns False if a limit is reached and no idle connection can be closed.
        """
        limit = self.limits.per_address if connection_limit is None else connection_limit
        state = self._addresses.get(address)
        if state is not None and state.open >= limit and state.idle:
            self._close_idle(state.idle[0])
            state = self._addresses.get(address)
        if limit <= 0 or (state is not None and state.open >= limit):
            self.counts.busy += 1
            return False
        if self._open >= self.limits.total and self._idle:
            self._close_idle(next(iter(self._idle)))
        if self._open >= self.limits.total:
            self.counts.busy += 1
            return False
        self._addresses.setdefault(address, _AddressState()).open += 1
        self._open += 1
        return True

    def add(self, address: Address, stream: BaseIOStream) -> PooledConnection:
        """Adds an opened connection in a place reserved before."""
        self.counts.opened += 1
        return PooledConnection(address, stream, self._buffer, self._close_idle)

    def release(self, address: Address) -> None:
        """Releases a reserved place."""
        state = self._addresses[address]
        state.open -= 1
        self._open -= 1
        if not state.open:
            del self._addresses[address]

    def close(self, connection: PooledConnection) -> None:
        """Closes a connection that is not idle."""
        if not connection.closed:
            connection.close()
            self.release(connection.address)

    def store_idle(self, connection: PooledConnection, keep_alive_s: int | None) -> None:
        """Stores a connection as idle after an answer with this ``Keep-Alive`` timeout, which may be None.

        A connection that may not be idle at all is closed.
        """
        limit = self.limits.max_idle_time(keep_alive_s)
        if limit <= 0:
            self.close(connection)
            return
        connection.idle_since = self._now()
        connection.expires = Instant(connection.idle_since + limit)
        self._add_idle(connection)
        connection.resume_reading()

    def close_idle(self, address: Address | None = None) -> None:
        """Closes all idle connections, or those to one address."""
        for connection in [each for each in self._idle if address in (None, each.address)]:
            self._close_idle(connection)
        if self._sweep is not None and not self._idle:
            self._sweep.cancel()
            self._sweep = None

    def _add_idle(self, connection: PooledConnection) -> None:
        connection.user = None
        connection.reused = True
        self._addresses[connection.address].idle.append(connection)
        self._idle[connection] = None
        if self._sweep is None:
            self._schedule_sweep()

    def _remove_idle(self, connection: PooledConnection, state: _AddressState) -> None:
        if state.idle[-1] is connection:
            state.idle.pop()
        else:
            state.idle.remove(connection)
        del self._idle[connection]

    def _close_idle(self, connection: PooledConnection) -> None:
        if connection in self._idle:
            self._remove_idle(connection, self._addresses[connection.address])
            self.counts.closed_idle += 1
            self.close(connection)

    def _schedule_sweep(self) -> None:
        self._sweep = asyncio.get_running_loop().call_later(_SWEEP_PERIOD_S, self._close_expired)

    def _close_expired(self) -> None:
        self._sweep = None
        now = self._now()
        for connection in [each for each in self._idle if each.expires <= now]:
            self._close_idle(connection)
        if self._idle:
            self._schedule_sweep()
