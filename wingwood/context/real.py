"""The real clock, network, disk and tasks (docs/DESIGN.md section 3)."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import fcntl
import os
import resource
import time
import traceback
from collections.abc import Callable, Coroutine, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, TypeVar

from returns.result import Failure, Result, Success
from tornado.iostream import BaseIOStream, IOStream, StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer

from ..identifiers import Address, Instant, Seconds, WallTime
from .protocols import DiskFault, Listener, Log, NetworkFault, StreamHandler, Task

Value = TypeVar("Value")
MOST_DESCRIPTORS = 65_536
OTHER_DESCRIPTORS = 48
"""Descriptors left for files, listeners, the event loop, and connections going out when many came in."""


class RealClock:
    def monotonic(self) -> Instant:
        return Instant(time.monotonic())

    def wall(self) -> WallTime:
        return WallTime(time.time())

    async def sleep(self, seconds: Seconds) -> None:
        await asyncio.sleep(seconds)


class _Server(TCPServer):
    def __init__(self, handle_stream: StreamHandler, most_connections: int) -> None:
        super().__init__(max_buffer_size=96 * 1024 * 1024)
        self._handle = handle_stream
        self._most_connections = most_connections

    def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> Any:
        if stream.socket.fileno() >= self._most_connections:
            # Numbers are given lowest first. Without any left, accepting fails and is tried again at once, for ever.
            stream.close()
            return None
        stream.set_nodelay(True)
        return self._handle(stream, Address(address[0], address[1]))


class _Listening:
    def __init__(self, server: _Server) -> None:
        self._server = server

    def close(self) -> None:
        self._server.stop()


def _raise_descriptor_bound() -> int:
    """Takes as many descriptors as the system lets this process have, and tells how many."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = MOST_DESCRIPTORS if hard == resource.RLIM_INFINITY else min(hard, MOST_DESCRIPTORS)
    if soft != resource.RLIM_INFINITY and soft < wanted:
        with contextlib.suppress(OSError, ValueError):
            resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
            return wanted
        return soft
    return wanted


class RealNetwork:
    def __init__(self) -> None:
        self._client: TCPClient | None = None
        self._descriptors = _raise_descriptor_bound()

    def most_connections(self) -> int:
        return max(1, self._descriptors - OTHER_DESCRIPTORS)

    async def connect(self, address: Address, timeout: Seconds) -> Result[BaseIOStream, NetworkFault]:
        if self._client is None:
            self._client = TCPClient()
        try:
            stream = await self._client.connect(
                address.host, address.port, timeout=timeout, max_buffer_size=96 * 1024 * 1024
            )
        except TimeoutError:
            return Failure(NetworkFault("timeout", str(address)))
        except (StreamClosedError, ConnectionError) as problem:
            return Failure(NetworkFault("refused", f"{address}: {problem}"))
        except OSError as problem:
            return Failure(NetworkFault("unreachable", f"{address}: {problem}"))
        stream.set_nodelay(True)
        return Success(stream)

    def listen(self, address: Address, handle_stream: StreamHandler) -> Result[Listener, NetworkFault]:
        server = _Server(handle_stream, self.most_connections())
        try:
            server.add_sockets(bind_sockets(address.port, address.host, backlog=1024))
        except OSError as problem:
            return Failure(NetworkFault("in-use", f"{address}: {problem}"))
        return Success(_Listening(server))


class RealDisk:
    """One data folder. All calls run on one thread, so they keep their order and a stall blocks only them."""

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
    """Keeps tasks alive; an escaped exception is a broken invariant and stops the process."""

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
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        for task in tasks:
            with contextlib.suppress(asyncio.CancelledError, Exception):
                await task
