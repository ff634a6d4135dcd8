"""An in-memory data folder whose calls can fail, stall, or be interrupted by a power loss."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence

from returns.result import Failure, Result, Success

from ...context.protocols import DiskFault


class PowerLostError(Exception):
    """Raised inside a running call when the simulated machine loses power."""


class MemoryDisk:
    """``files`` holds the synced content. ``fault`` makes calls fail, and ``stall_event`` makes them wait."""

    def __init__(self, seed: int = 0) -> None:
        self.files: dict[str, bytes] = {}
        self.random = random.Random(seed)
        self.fault: DiskFault | None = None
        self.failing_operations: tuple[str, ...] = ("append", "write_new", "rename", "truncate")
        """Operations that fail while ``fault`` is set."""
        self.stall_event: asyncio.Event | None = None
        self.power_loss_at_call: int | None = None
        """Number of the call during which power is lost."""
        self.calls = 0
        self.active_calls = 0
        self.max_active_calls = 0

    async def _enter(self, operation: str) -> DiskFault | None:
        self.calls += 1
        self.active_calls += 1
        self.max_active_calls = max(self.max_active_calls, self.active_calls)
        try:
            await asyncio.sleep(0)
            if self.stall_event is not None:
                await self.stall_event.wait()
        finally:
            self.active_calls -= 1
        return self.fault if operation in self.failing_operations else None

    def _power_is_lost(self) -> bool:
        return self.power_loss_at_call is not None and self.calls >= self.power_loss_at_call

    async def lock(self) -> Result[None, DiskFault]:
        return Success(None)

    async def names(self) -> Result[Sequence[str], DiskFault]:
        return Success(sorted(self.files))

    async def read(self, name: str) -> Result[bytes, DiskFault]:
        fault = await self._enter("read")
        if fault is not None:
            return Failure(fault)
        if name not in self.files:
            return Failure(DiskFault("missing", name))
        return Success(self.files[name])

    async def append(self, name: str, data: bytes, at: int | None = None) -> Result[None, DiskFault]:
        fault = await self._enter("append")
        before = self.files.get(name, b"")
        if at is not None and len(before) != at:
            return Failure(DiskFault("missing", name))
        if self._power_is_lost():
            self.files[name] = before + self._torn(data)
            raise PowerLostError
        if fault is not None:
            self.files[name] = before + data[: self.random.randrange(len(data) + 1)]
            return Failure(fault)
        self.files[name] = before + data
        return Success(None)

    def _torn(self, data: bytes) -> bytes:
        """Returns data as after a power loss: some pages are replaced by zeros, and the length may be shorter."""
        page = 64
        written = bytearray()
        for start in range(0, len(data), page):
            chunk = data[start : start + page]
            written += chunk if self.random.random() < 0.6 else bytes(len(chunk))
        return bytes(written[: self.random.randrange(len(written) + 1)])

    async def write_new(self, name: str, data: bytes) -> Result[None, DiskFault]:
        fault = await self._enter("write_new")
        if self._power_is_lost():
            self.files[name] = self._torn(data)
            raise PowerLostError
        if fault is not None:
            self.files[name] = data[: self.random.randrange(len(data) + 1)]
            return Failure(fault)
        self.files[name] = data
        return Success(None)

    async def rename(self, name: str, new_name: str) -> Result[None, DiskFault]:
        fault = await self._enter("rename")
        if fault is not None:
            return Failure(fault)
        if not self._power_is_lost() or self.random.random() < 0.5:
            self.files[new_name] = self.files.pop(name)
        if self._power_is_lost():
            raise PowerLostError
        return Success(None)

    async def truncate(self, name: str, length: int) -> Result[None, DiskFault]:
        fault = await self._enter("truncate")
        if fault is not None:
            return Failure(fault)
        if not self._power_is_lost() or self.random.random() < 0.5:
            self.files[name] = self.files[name][:length]
        if self._power_is_lost():
            raise PowerLostError
        return Success(None)

    async def remove(self, name: str) -> Result[None, DiskFault]:
        self.files.pop(name, None)
        return Success(None)
