"""The data folder of a daemon (docs/DESIGN.md section 3)."""

from __future__ import annotations

import asyncio
import errno
import fcntl
import os
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Final, TypeVar

from returns.result import Failure, Result, Success

from ..protocols import DiskFault

Value = TypeVar("Value")
_LOCK_FILE: Final = "lock"


class RealDisk:
    """One data folder. All calls run in order on one thread, so a stalled disk blocks no other work.

    Owns the thread, and the descriptor that locks the folder until the process ends.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._thread = ThreadPoolExecutor(max_workers=1, thread_name_prefix="disk")
        self._lock_descriptor: int | None = None

    async def _run(self, work: Callable[[], Value]) -> Result[Value, DiskFault]:
        """Runs ``work`` on the thread and returns its result, or the fault that its exception stands for."""

        def guarded() -> Result[Value, DiskFault]:
            try:
                return Success(work())
            except FileNotFoundError as problem:
                return Failure(DiskFault("missing", str(problem.filename)))
            except BlockingIOError:
                return Failure(DiskFault("locked", f"{self._folder} is in use by another process"))
            except OSError as problem:
                return Failure(DiskFault("full" if problem.errno == errno.ENOSPC else "failed", str(problem)))

        return await asyncio.get_running_loop().run_in_executor(self._thread, guarded)

    def _sync_folder(self) -> None:
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    async def lock(self) -> Result[None, DiskFault]:
        """Creates and locks the folder; fails with ``locked`` if another process has locked it."""

        def work() -> None:
            self._folder.mkdir(parents=True, exist_ok=True)
            descriptor = os.open(self._folder / _LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            try:
                fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                os.close(descriptor)
                raise
            self._lock_descriptor = descriptor

        return await self._run(work)

    async def names(self) -> Result[Sequence[str], DiskFault]:
        """Lists the files, without the lock file."""
        return await self._run(
            lambda: sorted(entry.name for entry in self._folder.iterdir() if entry.name != _LOCK_FILE)
        )

    async def read(self, name: str) -> Result[bytes, DiskFault]:
        """Returns the contents of the file."""
        return await self._run((self._folder / name).read_bytes)

    async def append(self, name: str, data: bytes, at: int | None = None) -> Result[None, DiskFault]:
        """Appends to the file and syncs it, and the folder if the file is new."""

        def work() -> None:
            path = self._folder / name
            is_new = not path.exists()
            if at is not None and (is_new or path.stat().st_size != at):
                raise FileNotFoundError(errno.ENOENT, "missing or changed by another", str(path))
            with path.open("ab", buffering=0) as file:
                _write_all(file.fileno(), data)
                os.fsync(file.fileno())
            if is_new:
                self._sync_folder()

        return await self._run(work)

    async def write_new(self, name: str, data: bytes) -> Result[None, DiskFault]:
        """Writes and syncs the complete file, then syncs the folder."""

        def work() -> None:
            with (self._folder / name).open("wb", buffering=0) as file:
                _write_all(file.fileno(), data)
                os.fsync(file.fileno())
            self._sync_folder()

        return await self._run(work)

    async def rename(self, name: str, new_name: str) -> Result[None, DiskFault]:
        """Renames the file, then syncs the folder."""

        def work() -> None:
            os.rename(self._folder / name, self._folder / new_name)
            self._sync_folder()

        return await self._run(work)

    async def truncate(self, name: str, length: int) -> Result[None, DiskFault]:
        """Shortens the file to ``length`` bytes and syncs it."""

        def work() -> None:
            with (self._folder / name).open("r+b", buffering=0) as file:
                file.truncate(length)
                os.fsync(file.fileno())

        return await self._run(work)

    async def remove(self, name: str) -> Result[None, DiskFault]:
        """Removes the file, then syncs the folder."""

        def work() -> None:
            (self._folder / name).unlink()
            self._sync_folder()

        return await self._run(work)


def _write_all(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]
