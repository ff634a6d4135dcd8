"""A data folder in memory whose calls can fail, stall, or be cut short by a loss of power."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence

from returns.result import Failure, Result, Success

from ...context.protocols import DiskFault


class PowerLost(Exception):
    """Raised inside a call under way when the machine loses power."""


class MemoryDisk:
    """``files`` is what is synced. Set ``fault`` to make calls fail, ``stall`` to make them wait."""

    def __init__(self, seed: int = 0) -> None:
        self.files: dict[str, bytes] = {}
        self.random = random.Random(seed)
        self.fault: DiskFault | None = None
        self.faulty: tuple[str, ...] = ("append", "write_new", "rename", "truncate")
        """Which calls fail while ``fault`` is set."""
        self.stall: asyncio.Event | None = None
        self.power_at: int | None = None
        """Power goes during the call with this number."""
        self.calls = 0
        self.under_way = 0
        self.most_under_way = 0

    async def _enter(self, operation: str) -> DiskFault | None:
        self.calls += 1
        self.under_way += 1
        self.most_under_way = max(self.most_under_way, self.under_way)
        try:
            await asyncio.sleep(0)
            if self.stall is not None:
                await self.stall.wait()
        finally:
            self.under_way -= 1
        return self.fault if operation in self.faulty else None

    def _power(self) -> bool:
        return self.power_at is not None and self.calls >= self.power_at

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
        if self._power():
            self.files[name] = before + self._torn(data)
            raise PowerLost
        if fault is not None:
            self.files[name] = before + data[: self.random.randrange(len(data) + 1)]
            return Failure(fault)
        self.files[name] = before + data
        return Success(None)

    def _torn(self, data: bytes) -> bytes:
        """Some of its pages reached the disk; those that didn't are zeros; the length may be short."""
        page = 64
        kept = bytearray()
        for begin in range(0, len(data), page):
            piece = data[begin : begin + page]
            kept += piece if self.random.random() < 0.6 else bytes(len(piece))
        return bytes(kept[: self.random.randrange(len(kept) + 1)])

    async def write_new(self, name: str, data: bytes) -> Result[None, DiskFault]:
        fault = await self._enter("write_new")
        if self._power():
            self.files[name] = self._torn(data)
            raise PowerLost
        if fault is not None:
            self.files[name] = data[: self.random.randrange(len(data) + 1)]
            return Failure(fault)
        self.files[name] = data
        return Success(None)

    async def rename(self, name: str, new_name: str) -> Result[None, DiskFault]:
        fault = await self._enter("rename")
        if fault is not None:
            return Failure(fault)
        if not self._power() or self.random.random() < 0.5:
            self.files[new_name] = self.files.pop(name)
        if self._power():
            raise PowerLost
        return Success(None)

    async def truncate(self, name: str, length: int) -> Result[None, DiskFault]:
        fault = await self._enter("truncate")
        if fault is not None:
            return Failure(fault)
        if not self._power() or self.random.random() < 0.5:
            self.files[name] = self.files[name][:length]
        if self._power():
            raise PowerLost
        return Success(None)

    async def remove(self, name: str) -> Result[None, DiskFault]:
        self.files.pop(name, None)
        return Success(None)
