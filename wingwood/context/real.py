"""The implementations of clock, network, disk and tasks on the operating system (docs/DESIGN.md section 3)."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import fcntl
import os
import resource
import socket
import time
import traceback
from collections.abc import Callable, Coroutine, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, TypeVar

from returns.result import Failure, Result, Success
from tornado.iostream import BaseIOStream, IOStream

from ..identifiers import Address, Instant, Seconds, WallTime
from .protocols import DiskFault, Listener, Log, NetworkFault, StreamHandler, Task

Value = TypeVar("Value")
MAX_DESCRIPTORS = 65_536
"""Maximum number of file descriptors that a process requests from the system."""
RESERVED_DESCRIPTORS = 48
"""Descriptors reserved for files, listeners, the event loop, and outgoing connections while many came in."""
RESERVED_OUTGOING_CONNECTIONS = 24
"""Number of the reserved descriptors that outgoing connections may use."""
TCP_USER_TIMEOUT_S = Seconds(2.5)
"""How long sent bytes may remain unacknowledged before the connection is aborted."""
KEEP_ALIVE_PERIOD_S = Seconds(1.0)
"""Idle time before the first TCP keep-alive probe, and interval between probes."""
ACCEPT_PAUSE_S = Seconds(0.1)
"""Pause of a listener that could not accept a connection for lack of descriptors or memory."""
_KEEP_ALIVE_PROBES = 2
_ACCEPT_BACKLOG = 1024
_MAX_ACCEPTS_PER_EVENT = 128
_STREAM_BUFFER_BYTES = 96 * 1024 * 1024
_CONNECTION_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(1000 * TCP_USER_TIMEOUT_S)),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, int(KEEP_ALIVE_PERIOD_S)),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, int(KEEP_ALIVE_PERIOD_S)),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEP_ALIVE_PROBES),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
)


class RealClock:
    """The clocks of the operating system."""

    def monotonic(self) -> Instant:
        return Instant(time.monotonic())

    def wall(self) -> WallTime:
        return WallTime(time.time())

    async def sleep(self, seconds: Seconds) -> None:
        await asyncio.sleep(seconds)


def set_up_connection(connection: socket.socket) -> None:
    """Sets the options of a connection, at both ends: small writes are not delayed, dead peers are found in seconds.

    A machine that lost power or its network sends nothing. Unacknowledged bytes abort the connection after
    ``TCP_USER_TIMEOUT_S``; keep-alive probes abort a silent connection after about the same time. A live peer
    whose receive window stays closed for that time loses its connection too, because Linux counts that as
    unacknowledged.
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
        super().close_fd()
        if self._on_closed is not None:
            self._on_closed()
            self._on_closed = None


class _AcceptingListener:
    """Accepts connections, and pauses after a failure because the event loop would report it again at once."""

    def __init__(self, listener: socket.socket, network: RealNetwork, handle_stream: StreamHandler) -> None:
        self._listener = listener
        self._network = network
        self._handle = handle_stream
        self._loop = asyncio.get_running_loop()
        self._pause: asyncio.TimerHandle | None = None
        self._closed = False
        self._resume()

    def close(self) -> None:
        if self._closed:
            return
        self._closed = True
        if self._pause is not None:
            self._pause.cancel()
        else:
            self._loop.remove_reader(self._listener)
        self._listener.close()

    def _resume(self) -> None:
        self._pause = None
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
                self._pause = self._loop.call_later(ACCEPT_PAUSE_S, self._resume)
                return
            self._handle_connection(connection, peer)

    def _handle_connection(self, connection: socket.socket, peer: tuple[str, int]) -> None:
        stream = self._network.accepted(connection)
        if stream is None:
            return
        awaitable = self._handle(stream, Address(peer[0], peer[1]))
        if awaitable is not None:
            asyncio.ensure_future(awaitable).add_done_callback(_raise_exception)


def _raise_exception(future: asyncio.Future[Any]) -> None:
    if not future.cancelled():
        future.result()


def _raise_descriptor_limit() -> int:
    """Raises the soft limit of descriptors as far as the system allows, and returns the resulting limit."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = MAX_DESCRIPTORS if hard == resource.RLIM_INFINITY else min(hard, MAX_DESCRIPTORS)
    if soft != resource.RLIM_INFINITY and soft < wanted:
        with contextlib.suppress(OSError, ValueError):
            resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
            return wanted
        return soft
    return wanted


class RealNetwork:
    """TCP over IPv4. Incoming and outgoing connections count against the limit of descriptors."""

    def __init__(self, descriptor_limit: int | None = None) -> None:
        """``descriptor_limit`` lowers the limit of this process where ``RLIMIT_NOFILE`` does not reflect it."""
        self._system_descriptor_limit = _raise_descriptor_limit()
        self._descriptor_limit = descriptor_limit
        self._open = 0

    def connection_limit(self) -> int:
        known = (
            self._system_descriptor_limit
            if self._descriptor_limit is None
            else min(self._system_descriptor_limit, self._descriptor_limit)
        )
        return max(1, known - RESERVED_DESCRIPTORS)

    def open_connections(self) -> int:
        """Returns the number of incoming and outgoing connections that are open or being opened."""
        return self._open

    async def connect(self, address: Address, timeout: Seconds) -> Result[BaseIOStream, NetworkFault]:
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
        if not self._has_room(connection):
            connection.close()
            return None
        set_up_connection(connection)
        self._open += 1
        return _CountedStream(connection, self._on_stream_closed)

    def _has_room(self, connection: socket.socket) -> bool:
        if self._open >= self.connection_limit():
            return False
        # The system assigns the lowest free number, so the number also reflects descriptors of other kinds.
        return self._descriptor_limit is not None or connection.fileno() < self.connection_limit()

    def _closed(self, connection: socket.socket) -> None:
        connection.close()
        self._open -= 1

    def _on_stream_closed(self) -> None:
        self._open -= 1


class RealDisk:
    """One data folder. All calls run in order on one thread, so a stalled disk blocks no other work."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._thread = ThreadPoolExecutor(max_workers=1, thread_name_prefix="disk")
        self._lock_descriptor: int | None = None

    async def _run(self, work: Callable[[], Value]) -> Result[Value, DiskFault]:
        def guarded() -> Result[Value, DiskFault]:
            try:
                return Success(work())
            except FileNotFoundError as problem:
                return Failure(DiskFault("missing", str(problem.filename)))
            except BlockingIOError:
                return Failure(DiskFault("locked", f"{self._folder} is in use by another process"))
            except OSError as problem:
                return Failure(DiskFault("full" if problem.errno == 28 else "failed", str(problem)))

        return await asyncio.get_running_loop().run_in_executor(self._thread, guarded)

    def _sync_folder(self) -> None:
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    async def lock(self) -> Result[None, DiskFault]:
        def work() -> None:
            self._folder.mkdir(parents=True, exist_ok=True)
            descriptor = os.open(self._folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            try:
                fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                os.close(descriptor)
                raise
            self._lock_descriptor = descriptor

        return await self._run(work)

    async def names(self) -> Result[Sequence[str], DiskFault]:
        return await self._run(lambda: sorted(entry.name for entry in self._folder.iterdir() if entry.name != "lock"))

    async def read(self, name: str) -> Result[bytes, DiskFault]:
        return await self._run((self._folder / name).read_bytes)

    async def append(self, name: str, data: bytes, at: int | None = None) -> Result[None, DiskFault]:
        def work() -> None:
            path = self._folder / name
            made = not path.exists()
            if at is not None and (made or path.stat().st_size != at):
                raise FileNotFoundError(errno.ENOENT, "missing or changed by another", str(path))
            with path.open("ab", buffering=0) as file:
                _write_all(file.fileno(), data)
                os.fsync(file.fileno())
            if made:
                self._sync_folder()

        return await self._run(work)

    async def write_new(self, name: str, data: bytes) -> Result[None, DiskFault]:
        def work() -> None:
            with (self._folder / name).open("wb", buffering=0) as file:
                _write_all(file.fileno(), data)
                os.fsync(file.fileno())
            self._sync_folder()

        return await self._run(work)

    async def rename(self, name: str, new_name: str) -> Result[None, DiskFault]:
        def work() -> None:
            os.rename(self._folder / name, self._folder / new_name)
            self._sync_folder()

        return await self._run(work)

    async def truncate(self, name: str, length: int) -> Result[None, DiskFault]:
        def work() -> None:
            with (self._folder / name).open("r+b", buffering=0) as file:
                file.truncate(length)
                os.fsync(file.fileno())

        return await self._run(work)

    async def remove(self, name: str) -> Result[None, DiskFault]:
        def work() -> None:
            (self._folder / name).unlink()
            self._sync_folder()

        return await self._run(work)


def _write_all(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


class RealTasks:
    """Holds references to running tasks. An exception that escapes a task stops the process."""

    def __init__(self, log: Log, stop: Callable[[str], None]) -> None:
        self._log = log
        self._stop = stop
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, name: str, coroutine: Coroutine[Any, Any, None]) -> Task:
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._done)
        return task

    def _done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (problem := task.exception()) is not None:
            trace = "".join(traceback.format_exception(problem)).replace("\n", " | ")
            self._log.event("invariant-broken", task=task.get_name(), trace=trace)
            self.stop_process(f"{task.get_name()}: {problem!r}")

    def stop_process(self, reason: str) -> None:
        self._stop(reason)

    async def cancel_all(self) -> None:
        """Cancels all running tasks and waits for their ends."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        for task in tasks:
            with contextlib.suppress(asyncio.CancelledError, Exception):
                await task
