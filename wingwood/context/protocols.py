"""What a daemon may ask of the world, as protocols (docs/DESIGN.md section 3).

The same daemon code runs on the real implementations of this folder and on those of the
simulator (top-level folder ``simulation``). Tasks, sleeps and timeouts go through asyncio on the
running loop, which the simulator replaces by one on virtual time; everything else goes through
these protocols. No daemon code reads a clock, a random source, a file or a socket in any other way.
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
    """Time of one process. Durations are seconds."""

    def monotonic(self) -> Instant:
        """Never goes back; goes on while the process is frozen."""
        ...

    def wall(self) -> WallTime:
        """For logs and records only."""
        ...

    async def sleep(self, seconds: Seconds) -> None: ...


class NetworkFault(msgspec.Struct, frozen=True):
    kind: Literal["refused", "timeout", "unreachable", "in-use", "exhausted"]
    """``exhausted``: this process has no descriptor left for one more connection."""
    detail: str = ""


class Listener(Protocol):
    def close(self) -> None: ...


StreamHandler = Callable[[BaseIOStream, Address], Awaitable[None] | None]


class Network(Protocol):
    """TCP by IP number. Streams are tornado streams, so tornado's HTTP server runs on either kind."""

    async def connect(self, address: Address, timeout: Seconds) -> Result[BaseIOStream, NetworkFault]: ...

    def listen(self, address: Address, handle_stream: StreamHandler) -> Result[Listener, NetworkFault]:
        """Calls ``handle_stream`` with each accepted stream; binds at once."""
        ...

    def connection_limit(self) -> int:
        """How many connections of all kinds this process can hold at one time."""
        ...


class DiskFault(msgspec.Struct, frozen=True):
    kind: Literal["full", "failed", "locked", "missing"]
    detail: str = ""


class Disk(Protocol):
    """Files of one data folder, by plain names. Nothing lasts until it is synced.

    Every method works off the event loop and may take long when the disk stalls; callers bound
    their waits. A method that has failed or been left may still have had its effect.
    """

    async def lock(self) -> Result[None, DiskFault]:
        """Holds the folder for this process until it ends; ``locked`` when another has it."""
        ...

    async def names(self) -> Result[Sequence[str], DiskFault]: ...

    async def read(self, name: str) -> Result[bytes, DiskFault]: ...

    async def append(self, name: str, data: bytes, at: int | None = None) -> Result[None, DiskFault]:
        """Writes at the end (makes the file when missing) and syncs file (and folder when made).

        With ``at``: only when the file is there and has that many bytes, else ``missing``: the
        folder was emptied or changed under this process.
        """
        ...

    async def write_new(self, name: str, data: bytes) -> Result[None, DiskFault]:
        """Writes a whole file under ``name`` and syncs it; replaces unsynced leftovers of that name."""
        ...

    async def rename(self, name: str, new_name: str) -> Result[None, DiskFault]:
        """Replaces atomically, then syncs the folder."""
        ...

    async def truncate(self, name: str, length: int) -> Result[None, DiskFault]: ...

    async def remove(self, name: str) -> Result[None, DiskFault]: ...


class HttpRequest(msgspec.Struct, frozen=True):
    """An outgoing call. The body is sent whole, with its length."""

    method: str
    address: Address
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    connect_timeout: Seconds = Seconds(1.0)
    last_check: Callable[[], bool] | None = None
    """Asked once, when connected and right before the first byte is written; False cancels the call unsent.

    A client that keeps connections may ask it within ``start``.
    """
    reuse: bool = False
    """The call may go over a kept connection, and its own connection may be kept for later calls."""
    reuse_within: Seconds | None = None
    """Only a connection that rested at most so long is taken; None leaves it at the client's idle bound.

    The other side may drop an idle connection silently. A call that may not be repeated is in doubt
    when that shows, so it should only take a connection that rested very shortly.
    """
    echo: tuple[str, str] | None = None
    """Name and value of a header that the answer has to carry back; another answer is not this call's.

    With an empty value an answer without the header is taken too.
    """
    connection_limit: int | None = None
    """Bound on this process's connections to ``address``; None is the client's own bound."""


class HttpHead(msgspec.Struct, frozen=True):
    status: int
    headers: tuple[tuple[str, str], ...]
    framing: Literal["length", "chunked", "close", "none"]
    """How the body's end is known.

    ``close``: the end of the connection. In order (FIN) it is the body's clean end, a reset is a ``broken``
    fault. A worker that dies in the middle may still end its connection in order.
    """
    new_connection: bool = False
    """The connection was opened for this call."""

    def header(self, name: str) -> str | None:
        lowered = name.lower()
        return next((value for key, value in self.headers if key.lower() == lowered), None)


class HttpFault(msgspec.Struct, frozen=True):
    """Why a call has no (whole) answer.

    ``request_sent`` False means that not a byte of the request can have reached the other side
    and none will; True means that it may have.
    """

    kind: Literal["connect", "timeout", "broken", "malformed", "cancelled", "busy"]
    """``busy``: a bound on connections is reached, here and not at the other side."""
    request_sent: bool
    detail: str = ""
    on_reused_connection: bool = False
    """``broken`` before a single byte of an answer, on a connection that had been kept from an earlier call.

    Most likely the other side had closed it while it rested. With ``request_sent`` it may have run the call all the
    same.
    """


class HttpExchange(Protocol):
    """One call under way."""

    async def head(self) -> Result[HttpHead, HttpFault]:
        """Waits for status and headers (1xx skipped). Bound the wait with ``asyncio.timeout``, then cancel."""
        ...

    async def next_chunk(self) -> Result[bytes | None, HttpFault]:
        """The next bytes of the body as they came, None after its clean end.

        Back-pressure: not more than 256 KiB are read ahead of this call.
        """
        ...

    def cancel(self) -> None:
        """Closes the connection now; later waits give a ``cancelled`` fault. Harmless when done."""
        ...

    def request_sent(self) -> bool:
        """Whether any byte of the request may have left."""
        ...


class HttpClient(Protocol):
    """No redirects, no decompression, no proxies, no resends, no pipelining.

    One connection per call, unless the client keeps connections and the request says ``reuse``.
    """

    def start(self, request: HttpRequest) -> HttpExchange:
        """Starts at once; nothing is queued."""
        ...


class Log(Protocol):
    def event(self, name: str, **fields: object) -> None:
        """One line of key=value pairs; never secrets or bodies."""
        ...


class Tasks(Protocol):
    def spawn(self, name: str, coroutine: Coroutine[Any, Any, None]) -> Task:
        """Runs it to its end. An exception that escapes is a broken invariant: logged, then the process stops."""
        ...

    def stop_process(self, reason: str) -> None: ...


class Task(Protocol):
    def cancel(self) -> object: ...

    def done(self) -> bool: ...


class Context(msgspec.Struct, frozen=True):
    """The one object through which a daemon reaches the world (in place of globals)."""

    clock: Clock
    network: Network
    disk: Disk
    http: HttpClient
    random: random.Random
    log: Log
    tasks: Tasks
