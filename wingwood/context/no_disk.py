"""The disk of a daemon that has no data folder (docs/DESIGN.md section 3)."""

from __future__ import annotations

from collections.abc import Sequence

from returns.result import Failure, Result

from .protocols import DiskFault

_NO_DATA_FOLDER = DiskFault("missing", "this daemon has no data folder")


class NoDisk:
    """A disk on which every operation fails as ``missing``. Routers use it, because they have no data folder."""

    async def lock(self) -> Result[None, DiskFault]:
        """Fails."""
        return Failure(_NO_DATA_FOLDER)

    async def names(self) -> Result[Sequence[str], DiskFault]:
        """Fails."""
        return Failure(_NO_DATA_FOLDER)

    async def read(self, _name: str, /) -> Result[bytes, DiskFault]:
        """Fails."""
        return Failure(_NO_DATA_FOLDER)

    async def append(self, _name: str, _data: bytes, /, at: int | None = None) -> Result[None, DiskFault]:  # noqa: ARG002
        """Fails."""
        return Failure(_NO_DATA_FOLDER)

    async def write_new(self, _name: str, _data: bytes, /) -> Result[None, DiskFault]:
        """Fails."""
        return Failure(_NO_DATA_FOLDER)

    async def rename(self, _name: str, _new_name: str, /) -> Result[None, DiskFault]:
        """Fails."""
        return Failure(_NO_DATA_FOLDER)

    async def truncate(self, _name: str, _length: int, /) -> Result[None, DiskFault]:
        """Fails."""
        return Failure(_NO_DATA_FOLDER)

    async def remove(self, _name: str, /) -> Result[None, DiskFault]:
        """Fails."""
        return Failure(_NO_DATA_FOLDER)
