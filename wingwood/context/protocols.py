"""Protocols of everything that a daemon uses from its environment (docs/DESIGN.md section 3).

The same daemon code runs on the real implementations in this folder and on those of the simulator
(top-level folder ``simulation``). Tasks, sleeps and timeouts go through asyncio on the running event
loop, which the simulator replaces by a loop on virtual time; everything else goes through these
protocols. Daemon code reads a clock, a random source, a file or a socket in no other way.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from typing import Any, Literal, Protocol

import msgspec
from returns.result import Result
from tornado.iostream import BaseIOStream

from ..identifiers import Address, Instant, Seconds, WallTime


class Clock(Protocol):
    """The clocks of one process. All durations are in seconds."""

    def monotonic(self) -> Instant:
        """Returns a time that never goes backwards and that advances while the process is paused."""
        ...

    def wall(self) -> WallTime:
        """Returns the time of day. It is used for logs and records only, never to measure durations."""
        ...

    async def sleep(self, seconds: Seconds) -> None:
        """Returns after ``seconds``."""
        ...


class NetworkFault(msgspec.Struct, frozen=True):
    """The reason why connecting or listening failed."""

    kind: Literal["refused", "timeout", "unreachable", "in-use", "exhausted"]
    """``exhausted`` means that this process has no file descriptor left for another connection."""
    detail: str = ""


class Listener(Protocol):
    """A listening socket."""

    def close(self) -> None:
        """Stops accepting connections."""
        ...


StreamHandler = Callable[[BaseIOStream, Address], Awaitable[None] | None]
"""Called with an accepted stream and the address of its peer."""


class Network(Protocol):
    """TCP by IP address. Streams are tornado streams, so tornado's HTTP server runs on real and simulated ones."""

    async def connect(self, address: Address, timeout: Seconds) -> Result[BaseIOStream, NetworkFault]:
        """Opens a connection, or fails with ``timeout`` after ``timeout`` seconds."""
        ...

    def listen(self, address: Address, handle_stream: StreamHandler) -> Result[Listener, NetworkFault]:
        """Binds before it returns, and calls ``handle_stream`` with each accepted stream."""
        ...

    def connection_limit(self) -> int:
        """Returns how many connections of all kinds this process can have open at one time."""
        ...


class DiskFault(msgspec.Struct, frozen=True):
    """The reason why a disk operation failed."""

    kind: Literal["full", "failed", "locked", "missing"]
    detail: str = ""


class Disk(Protocol):
    """The files of one data folder, addressed by name. Data is durable only once it is synced.

    Every method works outside the event loop and may take long when the disk stalls, so callers bound
    their waits. A method that has failed, or that its caller stopped waiting for, may still take effect.
    """

    async def lock(self) -> Result[None, DiskFault]:
        """Locks the folder for this process until the process ends; fails with ``locked`` if another did so."""
        ...

    async def names(self) -> Result[Sequence[str], DiskFault]:
        """Lists the names of the files in the folder."""
        ...

    async def read(self, name: str, /) -> Result[bytes, DiskFault]:
        """Returns the contents of the file; fails with ``missing`` if there is none."""
        ...

    async def append(self, name: str, data: bytes, /, at: int | None = None) -> Result[None, DiskFault]:
        """Appends to the file and syncs it; creates a missing file and then syncs the folder too.

        If ``at`` is given, the file must exist with exactly that many bytes. Otherwise the call fails with
        ``missing``, because another process emptied or changed the folder.
        """
        ...

    async def write_new(self, name: str, data: bytes, /) -> Result[None, DiskFault]:
        """Writes a complete file and syncs it; replaces an unsynced leftover file of that name."""
        ...

    async def rename(self, name: str, new_name: str, /) -> Result[None, DiskFault]:
        """Renames the file, atomically replacing an existing ``new_name``, then syncs the folder."""
        ...

    async def truncate(self, name: str, length: int, /) -> Result[None, DiskFault]:
        """Shortens the file to ``length`` bytes and syncs it."""
        ...

    async def remove(self, name: str, /) -> Result[None, DiskFault]:
        """Removes the file, then syncs the folder."""
        ...


class HttpRequest(msgspec.Struct, frozen=True):
    """An outgoing request. The body is sent completely, with its ``Content-Length``."""

    method: str
    address: Address
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    connect_timeout: Seconds = Seconds(1.0)
    last_check: Callable[[], bool] | None = None
    """Called once, on an open connection right before the first byte is written; False cancels the call unsent.

    A client that reuses connections may call it from within ``start``.
    """
    reuse: bool = False
    """Whether the call may use an idle connection, and whether its connection may be retained for later calls."""
    reuse_within: Seconds | None = None
    """Longest time for which a reused connection may have been idle; None means the client's own limit.

    The peer may drop an idle connection silently. The call that finds this out may or may not have run, so a
    call that must not be repeated should only use a connection that has been idle for a very short time.
    """
    echo: tuple[str, str] | None = None
    """Name and value of a header that the response must carry; one with another value belongs to another call.

    If the value is empty, a response without the header is accepted too.
    """
    connection_limit: int | None = None
    """Maximum number of connections from this process to ``address``; None means the client's own limit."""


Framing = Literal["length", "chunked", "close", "none"]
"""How the end of a body is recognized: by its length, by its last chunk, by the end of the connection; or no body."""


class HttpHead(msgspec.Struct, frozen=True):
    """Status and headers of a response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    framing: Framing
    """With ``close`` the body ends with the connection: an orderly close (FIN) ends it cleanly, and a reset is a
    ``broken`` fault. A worker that crashes within a body may still have its connection closed in order, so such
    a body can be truncated without a fault.
    """
    new_connection: bool = False
    """Whether the connection was opened for this call."""

    def header(self, name: str) -> str | None:
        """Returns the first value of the header, or None; names are compared without regard to case."""
        lowered = name.lower()
        return next((value for key, value in self.headers if key.lower() == lowered), None)


class HttpFault(msgspec.Struct, frozen=True):
    """The reason why a call has no response or only part of one.

    ``request_sent`` is False only if no byte of the request has reached or will reach the peer. It is True if
    some bytes may have reached it.
    """

    kind: Literal["connect", "timeout", "broken", "malformed", "cancelled", "busy"]
    """``busy`` means that a connection limit of this process is reached, not one of the peer."""
    request_sent: bool
    detail: str = ""
    on_reused_connection: bool = False
    """Whether a reused connection was ``broken`` before the first byte of a response arrived.

    Most likely the peer had closed the connection while it was idle. If ``request_sent`` is True, the peer may
    have run the call nevertheless.
    """


class HttpExchange(Protocol):
    """One call in progress."""

    async def head(self) -> Result[HttpHead, HttpFault]:
        """Waits for status and headers, skipping 1xx responses.

        The wait has no limit of its own: callers use ``asyncio.timeout`` and then ``cancel``.
        """
        ...

    async def next_chunk(self) -> Result[bytes | None, HttpFault]:
        """Returns the next bytes of the body as they arrived, or None after its clean end.

        Back-pressure: at most 256 KiB are read ahead of the consumer.
        """
        ...

    def cancel(self) -> None:
        """Closes the connection at once; later waits return a ``cancelled`` fault.

        Has no effect once ``head`` or ``next_chunk`` has returned the end of the call.
        """
        ...

    def request_sent(self) -> bool:
        """Returns whether any byte of the request may have been sent."""
        ...

    def ended(self) -> bool:
        """Returns whether the response is complete or has failed, even if ``next_chunk`` has not returned that yet."""
        ...


class HttpClient(Protocol):
    """An HTTP client without redirects, decompression, proxies, resends and pipelining.

    Each call has its own connection, unless the client reuses connections and the request sets ``reuse``.
    """

    def start(self, request: HttpRequest) -> HttpExchange:
        """Starts the call immediately; calls are never queued."""
        ...


class Log(Protocol):
    """The structured log of a daemon."""

    def event(self, name: str, **fields: object) -> None:
        """Writes one line of key=value pairs. Callers never pass secrets or bodies."""
        ...


class Tasks(Protocol):
    """The background tasks of a daemon."""

    def spawn(self, name: str, coroutine: Coroutine[Any, Any, None]) -> Task:
        """Runs the coroutine as a task. ``Any``: what a coroutine is sent and yields does not matter.

        An exception that escapes it is a broken invariant: it is logged and the process stops.
        """
        ...

    def stop_process(self, reason: str) -> None:
        """Stops the daemon process for the given reason."""
        ...


class Task(Protocol):
    """A task that ``Tasks.spawn`` started."""

    def cancel(self) -> object:
        """Cancels the task, if it has not ended."""
        ...

    def done(self) -> bool:
        """Returns whether the task has ended or was cancelled."""
        ...


class Context(msgspec.Struct, frozen=True):
    """The only object through which a daemon uses its environment; it replaces global variables."""

    clock: Clock
    network: Network
    disk: Disk
    http: HttpClient
    random: random.Random
    log: Log
    tasks: Tasks
