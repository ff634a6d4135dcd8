"""One connection that several calls use in turn: non-blocking reads and writes (docs/DESIGN.md section 12.2)."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, Protocol

from tornado.ioloop import IOLoop
from tornado.iostream import BaseIOStream

from ..identifiers import Address, Instant
from .socket_options import probe_when_silent, reset_on_close

READ_BUFFER_BYTES: Final = 64 * 1024
"""Size of the buffer that connections share, and so of one read."""


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
        "_probes",
        "_stream",
        "_unsent",
        "_write_failed",
        "_write_started",
        "address",
        "closed",
        "expires_at",
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
        self.expires_at = Instant(0.0)
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
        self._probes = False
        reset_on_close(stream, True)
        probe_when_silent(stream, False)
        self._io_loop.add_handler(self._descriptor, self._on_events, IOLoop.READ)

    def write(self, data: bytes) -> OSError | None:
        """Writes what the kernel accepts now, and the remainder as it accepts more.

        Returns the error if the kernel rejected the first byte, else None.
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

    def probe_when_silent(self, enabled: bool) -> None:
        """Sets whether keep-alive probes abort the connection; only for the time after the response has started.

        Until then ``TCP_USER_TIMEOUT`` covers the request. Where probes abort a connection that has unacknowledged
        bytes, nobody can withdraw these any more.
        """
        if enabled != self._probes and not self.closed:
            self._probes = enabled
            probe_when_silent(self._stream, enabled)

    def is_reusable(self) -> bool:
        """Returns whether the connection is open and has nothing to read; received bytes are discarded."""
        try:
            return not self.closed and self._stream.read_from_fd(self._buffer) is None
        except OSError:
            return False

    def close(self) -> None:
        """Closes a connection without unfinished call in order."""
        if not self.closed:
            reset_on_close(self._stream, False)
            self._close_stream()

    def reset(self) -> None:
        """Closes the connection at once and withdraws what the peer has not acknowledged; its user is not called
        any more.

        That is also what happens when the process ends. Otherwise a request that was written into a partition would
        reach the worker after it, long after the call was given up.
        """
        if not self.closed:
            self._close_stream()

    def _close_stream(self) -> None:
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

        The response may have arrived before the error and still be unread. Reading it, and then the end of the
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
