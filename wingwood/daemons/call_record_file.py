"""Writes a router's recorded day to its data folder, a batch a second (docs/DESIGN.md section 17)."""

from __future__ import annotations

import msgspec
from returns.result import Failure

from ..context.protocols import Context, DiskFault
from ..identifiers import Seconds

BATCH_INTERVAL_S = Seconds(1.0)
MAX_WAITING_BYTES = 8 * 1024 * 1024


class CallRecordFile:
    """Lines wait in memory for at most a second; above the bound they are dropped and counted, never waited for."""

    def __init__(self, context: Context, name: str) -> None:
        self._context = context
        self._name = name
        began = msgspec.json.encode({"began": round(context.clock.wall(), 3)}) + b"\n"
        self._waiting: list[bytes] = [began]
        """The first line is for the replay tool, which merges the days of several routers."""
        self._bytes = len(began)
        self._open = False
        self.dropped = 0

    def start(self) -> None:
        self._context.tasks.spawn("day file", self._write_forever())

    def write(self, line: bytes) -> None:
        if self._bytes + len(line) > MAX_WAITING_BYTES:
            self.dropped += 1
            return
        self._waiting.append(line)
        self._bytes += len(line)

    async def flush(self) -> None:
        if not self._waiting or not await self._opened():
            return
        batch, self._waiting, self._bytes = b"".join(self._waiting), [], 0
        written = await self._context.disk.append(self._name, batch)
        fault = written.swap().value_or(None)
        if isinstance(fault, DiskFault):
            self._context.log.event("day-file-not-written", fault=fault.kind, detail=fault.detail, bytes=len(batch))

    async def _opened(self) -> bool:
        """Makes the folder and holds it; tried again with the next batch when it fails."""
        if not self._open:
            locked = await self._context.disk.lock()
            if isinstance(locked, Failure):
                fault = locked.failure()
                self._context.log.event("day-file-not-opened", fault=fault.kind, detail=fault.detail)
                return False
            self._open = True
        return True

    async def _write_forever(self) -> None:
        while True:
            await self._context.clock.sleep(BATCH_INTERVAL_S)
            await self.flush()
