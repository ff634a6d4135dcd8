"""A pool of connections to workers that are reused by several calls (docs/DESIGN.md section 12.2).

The pool knows nothing of HTTP: it counts connections by address, enforces limits, and stores and watches idle
connections. An idle connection that ends, fails or receives any byte is closed and never used again.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Final

import msgspec
from tornado.iostream import BaseIOStream

from ..identifiers import Address, Instant, Seconds
from .pooled_connection import READ_BUFFER_BYTES, PooledConnection
from .protocols import Clock

_SWEEP_INTERVAL_SECONDS: Final = Seconds(0.5)
"""Interval at which expired idle connections are closed. They are never used, but may stay open for this long."""


class ConnectionLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on the connections of one process to workers; connecting, used and idle connections all count."""

    per_address: int = 64
    """Maximum number of connections to one address."""
    total: int = 1024
    """Maximum number of connections in total."""
    keep_alive_fraction: float = 0.5
    """Fraction of the worker's ``Keep-Alive: timeout`` for which an idle connection may be reused."""
    max_idle: Seconds = Seconds(5.0)
    """Upper limit of the idle time, whatever the worker allows."""
    max_idle_without_keep_alive: Seconds = Seconds(0.3)
    """Longest idle time after a response without a ``Keep-Alive`` timeout."""

    def max_idle_time(self, keep_alive_seconds: int | None) -> Seconds:
        """Returns the longest idle time after a response with this ``Keep-Alive`` timeout, which may be None."""
        if keep_alive_seconds is None:
            return min(self.max_idle_without_keep_alive, self.max_idle)
        return Seconds(min(self.keep_alive_fraction * keep_alive_seconds, self.max_idle))


class ConnectionCounts(msgspec.Struct):
    """Counters of connections and calls since the start of the process."""

    opened: int = 0
    """Connections that were opened."""
    reused: int = 0
    """Calls that used an idle connection."""
    closed_idle: int = 0
    """Idle connections closed by age, by a limit, or because the peer closed them or sent bytes."""
    busy: int = 0
    """Calls rejected because a limit was reached."""


class _AddressState:
    """The open connections to one address."""

    __slots__ = ("idle", "open")

    def __init__(self) -> None:
        self.open = 0
        """Number of connecting, used and idle connections."""
        self.idle: deque[PooledConnection] = deque()
        """The idle connections; the one with the longest idle time comes first."""


class ConnectionPool:
    """Counts connections by address and owns the idle ones; the most recently used one is reused first."""

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
            usable = connection.expires_at > now
            if usable and max_idle is not None and now - connection.idle_since > max_idle:
                return None
            self._remove_idle(connection, state)
            if usable and connection.is_reusable():
                return connection
            self.counts.closed_idle += 1
            self.close(connection)
        return None

    def undo_acquire(self, connection: PooledConnection) -> None:
        """Undoes ``acquire`` if nothing was written; the idle time of the connection continues."""
        self._add_idle(connection)

    def reserve(self, address: Address, connection_limit: int | None) -> bool:
        """Reserves one more connection, closing idle connections if a limit requires it.

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
        """Adds an opened connection that was reserved before."""
        self.counts.opened += 1
        return PooledConnection(address, stream, self._buffer, self._close_idle)

    def release(self, address: Address) -> None:
        """Releases a reserved connection."""
        state = self._addresses[address]
        state.open -= 1
        self._open -= 1
        if not state.open:
            del self._addresses[address]

    def close(self, connection: PooledConnection) -> None:
        """Closes a connection that is not idle, and whose last call is complete."""
        if not connection.closed:
            connection.close()
            self.release(connection.address)

    def reset(self, connection: PooledConnection) -> None:
        """Closes a connection in the middle of a call; its unacknowledged request is withdrawn."""
        if not connection.closed:
            connection.reset()
            self.release(connection.address)

    def store_idle(self, connection: PooledConnection, keep_alive_seconds: int | None) -> None:
        """Stores a connection as idle after a response with this ``Keep-Alive`` timeout, which may be None.

        A connection that may not be idle at all is closed.
        """
        limit = self.limits.max_idle_time(keep_alive_seconds)
        if limit <= 0:
            self.close(connection)
            return
        connection.idle_since = self._now()
        connection.expires_at = Instant(connection.idle_since + limit)
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
        self._sweep = asyncio.get_running_loop().call_later(_SWEEP_INTERVAL_SECONDS, self._close_expired)

    def _close_expired(self) -> None:
        self._sweep = None
        now = self._now()
        for connection in [each for each in self._idle if each.expires_at <= now]:
            self._close_idle(connection)
        if self._idle:
            self._schedule_sweep()
