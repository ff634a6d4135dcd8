"""Writes a router's recorded calls to a file in its data folder, one batch per second (docs/DESIGN.md section 17)."""

from __future__ import annotations

import msgspec
from returns.result import Failure

from ..context.protocols import Context, DiskFault
from ..identifiers import Seconds

BATCH_INTERVAL_S = Seconds(1.0)
MAX_PENDING_BYTES = 8 * 1024 * 1024
"""The size of the lines waiting in memory above which further lines are dropped."""


class CallRecordFile:
    """Appends lines to the record file in batches.

    Lines wait in memory for up to ``BATCH_INTERVAL_S``. Above ``MAX_PENDING_BYTES`` they are dropped and counted, so
    that a caller never waits for the disk.
    """

    def __init__(self, context: Context, name: str) -> None:
        self._context = context
        self._name = name
        start_line = msgspec.json.encode({"began": round(context.clock.wall(), 3)}) + b"\n"
        self._pending: list[bytes] = [start_line]
        """The first line states the start time for the replay tool, which merges the files of several routers."""
        self._bytes = len(start_line)
        self._open = False
        self.dropped = 0

    def start(self) -> None:
        """Starts the task that appends a batch every ``BATCH_INTERVAL_S`` seconds."""
        self._context.tasks.spawn("day file", self._write_forever())

    def write(self, line: bytes) -> None:
        """Adds ``line`` to the next batch, or drops it when too many bytes are waiting."""
        if self._bytes + len(line) > MAX_PENDING_BYTES:
            self.dropped += 1
            return
        self._pending.append(line)
        self._bytes += len(line)

    async def flush(self) -> None:
        """Appends the waiting lines to the file; a batch that cannot be written is logged and lost."""
        if not self._pending or not await self._ensure_open():
            return
        batch, self._pending, self._bytes = b"".join(self._pending), [], 0
        written = await self._context.disk.append(self._name, batch)
        fault = written.swap().value_or(None)
        if isinstance(fault, DiskFault):
            self._context.log.event("record-file-write-failed", fault=fault.kind, detail=fault.detail, bytes=len(batch))

    async def _ensure_open(self) -> bool:
        """Creates and locks the data folder; returns whether it is open.

        A failure is logged, and the next batch tries again.
        """
        if not self._open:
            locked = await self._context.disk.lock()
            if isinstance(locked, Failure):
                fault = locked.failure()
                self._context.log.event("record-file-not-opened", fault=fault.kind, detail=fault.detail)
                return False
            self._open = True
        return True

    async def _write_forever(self) -> None:
        while True:
            await self._context.clock.sleep(BATCH_INTERVAL_S)
            await self.flush()
