"""The disk of a daemon that has no data folder (docs/DESIGN.md section 3)."""

from __future__ import annotations

from collections.abc import Sequence

from returns.result import Failure, Result

from .protocols import DiskFault

_NO_DATA_FOLDER: Result[None, DiskFault] = Failure(DiskFault("missing", "this daemon has no data folder"))


class NoDisk:
    """A disk on which every method fails. Routers use it, because they have no data folder."""

    async def lock(self) -> Result[None, DiskFault]:
        return _NO_DATA_FOLDER

    async def names(self) -> Result[Sequence[str], DiskFault]:
        return Failure(DiskFault("missing", "this daemon has no data folder"))

    async def read(self, name: str) -> Result[bytes, DiskFault]:
        return Failure(DiskFault("missing", "this daemon has no data folder"))

    async def append(self, name: str, data: bytes, at: int | None = None) -> Result[None, DiskFault]:
        return _NO_DATA_FOLDER

    async def write_new(self, name: str, data: bytes) -> Result[None, DiskFault]:
        return _NO_DATA_FOLDER

    async def rename(self, name: str, new_name: str) -> Result[None, DiskFault]:
        return _NO_DATA_FOLDER

    async def truncate(self, name: str, length: int) -> Result[None, DiskFault]:
        return _NO_DATA_FOLDER

    async def remove(self, name: str) -> Result[None, DiskFault]:
        return _NO_DATA_FOLDER
