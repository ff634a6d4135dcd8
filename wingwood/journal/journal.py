"""Append-only file of checksummed, length-framed records (docs/DESIGN.md section 7.5)."""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, Literal, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from ..context.protocols import Context, DiskFault
from ..identifiers import Seconds

MAGIC = b"WWJOURN2"
SALT_BYTES = 16
MARKER_BYTES = 4
CHECKSUM_BYTES = 8
HEADER_BYTES = len(MAGIC) + SALT_BYTES + 8 + CHECKSUM_BYTES
FRAME_OVERHEAD_BYTES = MARKER_BYTES + 4 + CHECKSUM_BYTES
"""Bytes that a frame adds to its payload."""

DEFAULT_TIMEOUT_S = Seconds(1.0)
COMPACTION_CHUNK_BYTES = 256 * 1024
"""Size of the chunks of a compaction; an append waits for at most one chunk."""
MIN_DISK_RATE_BYTES_PER_S = 20e6
"""Lowest rate at which a healthy disk writes and syncs; the timeout of an append grows accordingly."""

Value = TypeVar("Value")


class JournalFault(msgspec.Struct, frozen=True):
    """Reason why a journal operation failed.

    ``missing``: there is no journal. ``damaged``: the bytes at ``offset`` are wrong. ``sick``: the journal must be
    opened again before further use. ``full`` and ``failed``: the disk reported the fault. ``slow``: the disk did not
    answer in time, so the outcome is unknown and the journal is unusable (``sick``) until it is opened again.
    """

    kind: Literal["missing", "damaged", "sick", "full", "failed", "locked", "slow"]
    detail: str = ""
    offset: int = 0


class Scan(msgspec.Struct, frozen=True):
    """Content of a journal file. ``valid_bytes`` is less than ``file_bytes`` when a torn tail follows."""

    payloads: Sequence[bytes]
    valid_bytes: int
    file_bytes: int


def header(salt: bytes, base: int) -> bytes:
    """Returns the file header.

    ``base`` is the number of bytes that were synced before the file got its name, so that they cannot be torn.
    """
    start = MAGIC + salt + base.to_bytes(8, "big")
    return start + hashlib.blake2b(start, digest_size=CHECKSUM_BYTES).digest()


def _marker(salt: bytes) -> bytes:
    return hashlib.blake2b(salt, digest_size=MARKER_BYTES).digest()


def _checksum(salt: bytes, offset: int, payload: bytes) -> bytes:
    digest = hashlib.blake2b(
        offset.to_bytes(8, "big") + len(payload).to_bytes(4, "big"), key=salt, digest_size=CHECKSUM_BYTES
    )
    digest.update(payload)
    return digest.digest()


def frame(salt: bytes, offset: int, payload: bytes) -> bytes:
    """Returns the frame of a payload that is written at ``offset`` of its file."""
    return b"".join(
        (_marker(salt), len(payload).to_bytes(4, "big"), _checksum(salt, offset, payload), payload),
    )


def _frames(salt: bytes, start: int, payloads: Sequence[bytes]) -> bytes:
    frames: list[bytes] = []
    for payload in payloads:
        frames.append(frame(salt, start, payload))
        start += len(frames[-1])
    return b"".join(frames)


def _frame_at(salt: bytes, marker: bytes, data: bytes, offset: int) -> bytes | None:
    if data[offset : offset + MARKER_BYTES] != marker:
        return None
    start = offset + FRAME_OVERHEAD_BYTES
    length = int.from_bytes(data[offset + MARKER_BYTES : offset + MARKER_BYTES + 4], "big")
    if start + length > len(data):
        return None
    payload = data[start : start + length]
    if data[start - CHECKSUM_BYTES : start] != _checksum(salt, offset, payload):
        return None
    return payload


def scan(data: bytes) -> Result[Scan, JournalFault]:
    """Parses a complete journal file.

    A bad frame counts as a torn tail only if it is after the first ``base`` bytes and no valid frame follows it.
    """
    if len(data) < HEADER_BYTES or not data.startswith(MAGIC):
        return Failure(JournalFault("damaged", "no journal header", 0))
    salt = data[len(MAGIC) : len(MAGIC) + SALT_BYTES]
    base = int.from_bytes(data[len(MAGIC) + SALT_BYTES : HEADER_BYTES - CHECKSUM_BYTES], "big")
    if data[:HEADER_BYTES] != header(salt, base):
        return Failure(JournalFault("damaged", "bad header", 0))
    marker = _marker(salt)
    payloads: list[bytes] = []
    offset = HEADER_BYTES
    while offset < len(data):
        payload = _frame_at(salt, marker, data, offset)
        if payload is None:
            break
        payloads.append(payload)
        offset += FRAME_OVERHEAD_BYTES + len(payload)
    if offset < base:
        return Failure(JournalFault("damaged", f"bad frame within the {base} bytes synced at creation", offset))
    next_marker = data.find(marker, offset + 1)
    while next_marker != -1:
        if _frame_at(salt, marker, data, next_marker) is not None:
            return Failure(
                JournalFault("damaged", f"bad frame followed by a valid one at offset {next_marker}", offset)
            )
        next_marker = data.find(marker, next_marker + 1)
    return Success(Scan(payloads, offset, len(data)))


class Journal:
    """One journal file of a data folder. Operations run one at a time, in the order of the calls.

    Each append is one frame. ``timeout`` limits the time of one operation, without its wait for earlier ones. After a
    timeout the outcome is unknown (``slow``), and operations fail as ``sick`` until ``open`` succeeds.
    """

    def __init__(self, context: Context, name: str, timeout: Seconds = DEFAULT_TIMEOUT_S) -> None:
        self._context = context
        self._name = name
        self._new_name = f"{name}.new"
        self._timeout = timeout
        self._lock = asyncio.Lock()
        self._pending_call: asyncio.Task[Any] | None = None
        """A disk call that exceeded its time limit; the next disk call waits for it."""
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

    async def create(self, payloads: Sequence[bytes], timeout: Seconds | None = None) -> Result[None, JournalFault]:
        """Writes a file with these payloads; replaces an existing one."""
        async with self._lock:
            return await self._write_and_rename(payloads, timeout)

    async def open(self, timeout: Seconds | None = None) -> Result[Sequence[bytes], JournalFault]:
        """Reads all payloads and truncates a torn tail; when it succeeds, the journal is usable again."""
        async with self._lock:
            self._unusable_reason = self._unusable_reason or "being opened"
            match await self._disk(lambda: self._context.disk.read(self._name), timeout):
                case Failure(fault):
                    return Failure(fault)
                case Success(data):
                    pass
            match scan(data):
                case Failure(fault):
                    return Failure(fault)
                case Success(found):
                    pass
            if found.valid_bytes < found.file_bytes:
                self._context.log.event(
                    "journal-torn-tail-cut",
                    journal=self._name,
                    offset=found.valid_bytes,
                    cut_bytes=found.file_bytes - found.valid_bytes,
                )
                match await self._disk(lambda: self._context.disk.truncate(self._name, found.valid_bytes), timeout):
                    case Failure(fault):
                        return Failure(fault)
            self._salt = data[len(MAGIC) : len(MAGIC) + SALT_BYTES]
            self._length = found.valid_bytes
            self._generation += 1
            self._unusable_reason = None
            return Success(found.payloads)

    async def append(self, payload: bytes) -> Result[None, JournalFault]:
        """Returns success once the payload is synced.

        After a failure, either no part of the payload is left in the file or the journal is unusable (``sick``).
        """
        async with self._lock:
            if self._unusable_reason is not None:
                return Failure(JournalFault("sick", self._unusable_reason))
            data = frame(self._salt, self._length, payload)
            self._unusable_reason = "an append was cancelled before it completed"
            timeout = Seconds(self._timeout + len(data) / MIN_DISK_RATE_BYTES_PER_S)
            match await self._disk(lambda: self._context.disk.append(self._name, data, self._length), timeout):
                case Success(_):
                    self._length += len(data)
                    self._unusable_reason = None
                    if self._appended_since_snapshot is not None:
                        self._appended_since_snapshot.append(payload)
                    return Success(None)
                case Failure(fault):
                    pass
            if fault.kind in ("slow", "missing"):
                self._unusable_reason = f"append: {fault.kind} {fault.detail}"
                return Failure(fault)
            match await self._disk(lambda: self._context.disk.truncate(self._name, self._length)):
                case Success(_):
                    self._unusable_reason = None
                case Failure(truncate_fault):
                    self._unusable_reason = (
                        f"append: {fault.detail}; truncating the partial append failed: {truncate_fault.detail}"
                    )
            return Failure(fault)

    async def check(self) -> Result[None, JournalFault]:
        """Checks that the file still exists; this detects a folder emptied while the process is running."""
        async with self._lock:
            if self._unusable_reason is not None:
                return Failure(JournalFault("sick", self._unusable_reason))
            match await self._disk(self._context.disk.names):
                case Success(names):
                    if self._name in names:
                        return Success(None)
                    self._unusable_reason = "the file is missing"
                    return Failure(JournalFault("missing", self._name))
                case Failure(fault):
                    return Failure(fault)
            raise AssertionError("a result is a success or a failure")

    async def rewrite(
        self, payloads: Callable[[], Sequence[bytes]], timeout: Seconds | None = None
    ) -> Result[None, JournalFault]:
        """Replaces the file; ``payloads`` is called when all earlier appends have completed."""
        async with self._lock:
            if self._unusable_reason is not None:
                return Failure(JournalFault("sick", self._unusable_reason))
            return await self._write_and_rename(payloads(), timeout)

    async def _write_and_rename(
        self, payloads: Sequence[bytes], timeout: Seconds | None = None
    ) -> Result[None, JournalFault]:
        salt = self._context.random.randbytes(SALT_BYTES)
        frames = _frames(salt, HEADER_BYTES, payloads)
        data = header(salt, HEADER_BYTES + len(frames)) + frames
        self._generation += 1
        match await self._disk(lambda: self._context.disk.write_new(self._new_name, data), timeout):
            case Failure(fault):
                # The file with the journal's name is unchanged.
                return Failure(fault)
        self._unusable_reason = "a rename was cancelled before it completed"
        match await self._disk(lambda: self._context.disk.rename(self._new_name, self._name), timeout):
            case Failure(fault):
                self._unusable_reason = f"rename: {fault.detail}"
                return Failure(fault)
        self._salt = salt
        self._length = len(data)
        self._unusable_reason = None
        return Success(None)

    def compact(self, payloads: Sequence[bytes]) -> Coroutine[Any, Any, Result[None, JournalFault]]:
        """Replaces the content with ``payloads``, which must be equivalent to all appends before this call.

        Appends continue meanwhile; each waits for at most one chunk. Await the result at once or in a task
        of its own; only one compaction may run at a time. It fails as ``sick`` if the file is replaced or opened again
        meanwhile.
        """
        self._appended_since_snapshot = []
        return self._compact(payloads, self._generation)

    async def _compact(self, payloads: Sequence[bytes], generation: int) -> Result[None, JournalFault]:
        salt = self._context.random.randbytes(SALT_BYTES)
        frames = _frames(salt, HEADER_BYTES, payloads)
        data = header(salt, HEADER_BYTES + len(frames)) + frames
        disk, name = self._context.disk, self._new_name
        try:
            for start in range(0, len(data), COMPACTION_CHUNK_BYTES):
                async with self._lock:
                    match await self._write_chunk(
                        generation, name, start, data[start : start + COMPACTION_CHUNK_BYTES]
                    ):
                        case Failure(fault):
                            return Failure(fault)
            async with self._lock:
                tail = _frames(salt, len(data), self._appended_since_snapshot or ())
                match await self._write_chunk(generation, name, len(data), tail):
                    case Failure(fault):
                        return Failure(fault)
                self._unusable_reason = "a rename was cancelled before it completed"
                match await self._disk(lambda: disk.rename(name, self._name)):
                    case Failure(fault):
                        self._unusable_reason = f"rename: {fault.detail}"
                        return Failure(fault)
                self._salt, self._length = salt, len(data) + len(tail)
                self._generation += 1
                self._unusable_reason = None
                return Success(None)
        finally:
            self._appended_since_snapshot = None

    async def _write_chunk(self, generation: int, name: str, start: int, data: bytes) -> Result[None, JournalFault]:
        """Appends a chunk to the file that a compaction writes; the caller holds the lock."""
        if self._unusable_reason is not None or self._generation != generation:
            return Failure(
                JournalFault("sick", self._unusable_reason or "the file was replaced or opened again meanwhile")
            )
        disk = self._context.disk
        if start == 0:
            return await self._disk(lambda: disk.write_new(name, data))
        return await self._disk(lambda: disk.append(name, data, start)) if data else Success(None)

    async def _disk(
        self, call: Callable[[], Coroutine[Any, Any, Result[Value, DiskFault]]], timeout: Seconds | None = None
    ) -> Result[Value, JournalFault]:
        """Runs one disk call. There is never more than one: a call that exceeds its limit is awaited by the next."""
        limit = self._timeout if timeout is None else timeout
        started_at = self._context.clock.monotonic()
        if self._pending_call is not None:
            await asyncio.wait((self._pending_call,), timeout=limit)
            if not self._pending_call.done():
                return Failure(JournalFault("slow", f"an earlier disk call did not return within {limit} s"))
            self._pending_call = None
        task = asyncio.get_running_loop().create_task(call())
        self._pending_call = task
        remaining = limit - (self._context.clock.monotonic() - started_at)
        await asyncio.wait((task,), timeout=max(remaining, 0.0))
        if not task.done():
            return Failure(JournalFault("slow", f"the disk call did not return within {limit} s"))
        self._pending_call = None
        match task.result():
            case Success(value):
                return Success(value)
            case Failure(fault):
                return Failure(JournalFault(fault.kind, fault.detail))
        raise AssertionError("a result is a success or a failure")
