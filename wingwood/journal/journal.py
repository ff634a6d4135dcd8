"""A journal file: create, open, append, rewrite, compact (docs/DESIGN.md section 7.5)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

from returns.result import Failure, Result, Success

from ..context.protocols import Context
from ..identifiers import Seconds
from .disk_calls import DiskCall, DiskCalls, Value
from .errors import JournalError, JournalMissingError, JournalTimeoutError, JournalUnusableError
from .frames import SALT_BYTES, JournalContents, frame, frames, new_file, scan

DEFAULT_TIMEOUT_S = Seconds(1.0)
COMPACTION_CHUNK_BYTES = 256 * 1024
"""Size of the chunks of a compaction; an append waits for at most one chunk."""
MIN_DISK_RATE_BYTES_PER_S = 20e6
"""Lowest rate at which a healthy disk writes and syncs; the timeout of an append grows accordingly."""


class Journal:
    """One journal file of a data folder. Operations run one at a time, in the order of the calls.

    Each append is one frame. ``timeout`` limits the time in seconds of one disk call, without its wait for earlier
    operations. After a ``JournalTimeoutError`` the outcome is unknown, and operations fail with
    ``JournalUnusableError`` until ``open`` succeeds.
    """

    def __init__(self, context: Context, name: str, timeout: Seconds = DEFAULT_TIMEOUT_S) -> None:
        self._context = context
        self._name = name
        self._new_name = f"{name}.new"
        self._timeout = timeout
        self._lock = asyncio.Lock()
        self._disk_calls = DiskCalls(context.clock)
        self._salt = b""
        self._length = 0
        self._unusable_reason: str | None = "not opened"
        self._generation = 0
        """Number of times that the file was opened or replaced; a compaction of an earlier generation is aborted."""
        self._appended_since_snapshot: list[bytes] | None = None
        """Payloads appended since the running compaction took its content; None if there is no compaction."""

    @property
    def length(self) -> int:
        """Size of the valid file in bytes."""
        return self._length

    @property
    def unusable_reason(self) -> str | None:
        """Reason why the journal accepts no appends at present; None if it accepts them."""
        return self._unusable_reason

    async def create(self, payloads: Sequence[bytes], timeout: Seconds | None = None) -> Result[None, JournalError]:
        """Writes a file with these payloads; replaces an existing one."""
        async with self._lock:
            return await self._write_and_rename(payloads, timeout)

    async def open(self, timeout: Seconds | None = None) -> Result[Sequence[bytes], JournalError]:
        """Reads all payloads and truncates a torn tail; when it succeeds, the journal is usable again."""
        async with self._lock:
            self._unusable_reason = self._unusable_reason or "being opened"
            match await self._on_disk(lambda: self._context.disk.read(self._name), timeout):
                case Failure(error):
                    return Failure(error)
                case Success(data):
                    pass
            match scan(data):
                case Failure(damage):
                    return Failure(damage)
                case Success(contents):
                    pass
            match await self._truncate_torn_tail(contents, timeout):
                case Failure(error):
                    return Failure(error)
            self._salt = contents.salt
            self._length = contents.valid_bytes
            self._generation += 1
            self._unusable_reason = None
            return Success(contents.payloads)

    async def _truncate_torn_tail(
        self, contents: JournalContents, timeout: Seconds | None
    ) -> Result[None, JournalError]:
        if contents.valid_bytes == contents.file_bytes:
            return Success(None)
        self._context.log.event(
            "journal-torn-tail-truncated",
            journal=self._name,
            offset=contents.valid_bytes,
            truncated_bytes=contents.file_bytes - contents.valid_bytes,
        )
        return await self._on_disk(lambda: self._context.disk.truncate(self._name, contents.valid_bytes), timeout)

    async def append(self, payload: bytes) -> Result[None, JournalError]:
        """Returns success once the payload is synced.

        After a failure, either no part of the payload is left in the file or the journal is unusable.
        """
        async with self._lock:
            if self._unusable_reason is not None:
                return Failure(JournalUnusableError(self._unusable_reason))
            data = frame(self._salt, self._length, payload)
            self._unusable_reason = "an append was cancelled before it completed"
            timeout = Seconds(self._timeout + len(data) / MIN_DISK_RATE_BYTES_PER_S)
            match await self._on_disk(lambda: self._context.disk.append(self._name, data, self._length), timeout):
                case Success(_):
                    self._length += len(data)
                    self._unusable_reason = None
                    if self._appended_since_snapshot is not None:
                        self._appended_since_snapshot.append(payload)
                    return Success(None)
                case Failure(error):
                    await self._undo_append(error)
                    return Failure(error)
            raise AssertionError("a result is a success or a failure")

    async def _undo_append(self, error: JournalError) -> None:
        """Truncates what a failed append may have written; when that cannot be done, the journal stays unusable."""
        if isinstance(error, (JournalTimeoutError, JournalMissingError)):
            self._unusable_reason = f"append: {error.kind} {error.detail}"
            return
        match await self._on_disk(lambda: self._context.disk.truncate(self._name, self._length)):
            case Success(_):
                self._unusable_reason = None
            case Failure(truncate_error):
                self._unusable_reason = (
                    f"append: {error.detail}; truncating the partial append failed: {truncate_error.detail}"
                )

    async def check(self) -> Result[None, JournalError]:
        """Checks that the file still exists; this detects a folder emptied while the process is running."""
        async with self._lock:
            if self._unusable_reason is not None:
                return Failure(JournalUnusableError(self._unusable_reason))
            match await self._on_disk(self._context.disk.names):
                case Success(names):
                    if self._name in names:
                        return Success(None)
                    self._unusable_reason = "the file is missing"
                    return Failure(JournalMissingError(self._name))
                case Failure(error):
                    return Failure(error)
            raise AssertionError("a result is a success or a failure")

    async def rewrite(
        self, payloads: Callable[[], Sequence[bytes]], timeout: Seconds | None = None
    ) -> Result[None, JournalError]:
        """Replaces the file; ``payloads`` is called when all earlier appends have completed."""
        async with self._lock:
            if self._unusable_reason is not None:
                return Failure(JournalUnusableError(self._unusable_reason))
            return await self._write_and_rename(payloads(), timeout)

    async def _write_and_rename(
        self, payloads: Sequence[bytes], timeout: Seconds | None = None
    ) -> Result[None, JournalError]:
        salt = self._context.random.randbytes(SALT_BYTES)
        data = new_file(salt, payloads)
        self._generation += 1
        match await self._on_disk(lambda: self._context.disk.write_new(self._new_name, data), timeout):
            case Failure(error):
                # The file with the journal's name is unchanged.
                return Failure(error)
        return await self._rename_new_file(salt, len(data), timeout)

    async def _rename_new_file(
        self, salt: bytes, length: int, timeout: Seconds | None = None
    ) -> Result[None, JournalError]:
        """Gives the completely written new file the journal's name."""
        self._unusable_reason = "a rename was cancelled before it completed"
        match await self._on_disk(lambda: self._context.disk.rename(self._new_name, self._name), timeout):
            case Failure(error):
                self._unusable_reason = f"rename: {error.detail}"
                return Failure(error)
        self._salt = salt
        self._length = length
        self._unusable_reason = None
        return Success(None)

    def compact(self, payloads: Sequence[bytes]) -> Coroutine[Any, Any, Result[None, JournalError]]:
        """Replaces the content with ``payloads``, which must be equivalent to all appends before this call.

        Appends continue meanwhile; each waits for at most one chunk. Await the result at once or in a task
        of its own; only one compaction may run at a time. It fails with ``JournalUnusableError`` if the file is
        replaced or opened again meanwhile.
        """
        self._appended_since_snapshot = []
        return self._compact(payloads, self._generation)

    async def _compact(self, payloads: Sequence[bytes], generation: int) -> Result[None, JournalError]:
        salt = self._context.random.randbytes(SALT_BYTES)
        data = new_file(salt, payloads)
        try:
            for start in range(0, len(data), COMPACTION_CHUNK_BYTES):
                async with self._lock:
                    match await self._write_chunk(generation, start, data[start : start + COMPACTION_CHUNK_BYTES]):
                        case Failure(error):
                            return Failure(error)
            async with self._lock:
                return await self._complete_compaction(generation, salt, len(data))
        finally:
            self._appended_since_snapshot = None

    async def _complete_compaction(self, generation: int, salt: bytes, length: int) -> Result[None, JournalError]:
        """Writes what was appended during the compaction and renames the file; the caller holds the lock."""
        tail = frames(salt, length, self._appended_since_snapshot or ())
        match await self._write_chunk(generation, length, tail):
            case Failure(error):
                return Failure(error)
        renamed = await self._rename_new_file(salt, length + len(tail))
        if isinstance(renamed, Success):
            self._generation += 1
        return renamed

    async def _write_chunk(self, generation: int, start: int, data: bytes) -> Result[None, JournalError]:
        """Appends a chunk to the file that a compaction writes; the caller holds the lock."""
        if self._unusable_reason is not None or self._generation != generation:
            return Failure(
                JournalUnusableError(self._unusable_reason or "the file was replaced or opened again meanwhile")
            )
        disk, name = self._context.disk, self._new_name
        if start == 0:
            return await self._on_disk(lambda: disk.write_new(name, data))
        return await self._on_disk(lambda: disk.append(name, data, start)) if data else Success(None)

    async def _on_disk(self, call: DiskCall[Value], timeout: Seconds | None = None) -> Result[Value, JournalError]:
        return await self._disk_calls.run(call, self._timeout if timeout is None else timeout)
