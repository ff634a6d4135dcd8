"""Transfer of the complete state to a new backup in chunks (docs/DESIGN.md section 7.2)."""

from __future__ import annotations

import zlib
from collections.abc import Iterator

import msgspec

from ..identifiers import Epoch, Incarnation
from .messages import ControlStateChunk

ZLIB_LEVEL = 1
"""The fastest level of zlib. A state consists mostly of slices, repetitive text that compresses well even so."""


class Transfer(msgspec.Struct, frozen=True):
    """Identifies one transfer of the state; ``number`` counts the transfers of the sender."""

    sender: Incarnation
    epoch: Epoch
    number: int


def split_into_chunks(
    state: bytes, to: Incarnation, transfer: Transfer, chunk_bytes: int, packed: bool = False
) -> Iterator[ControlStateChunk]:
    """Yields the encoded state in chunks of at most ``chunk_bytes``; an empty state gives one empty chunk."""
    data = zlib.compress(state, ZLIB_LEVEL) if packed else state
    count = max(1, -(-len(data) // chunk_bytes))
    for index in range(count):
        chunk = data[index * chunk_bytes : (index + 1) * chunk_bytes]
        yield ControlStateChunk(to, transfer.sender, transfer.epoch, transfer.number, index, count, chunk, packed)


class StateReceiver:
    """Joins the chunks of one transfer. A chunk of another transfer discards the chunks received before."""

    def __init__(self) -> None:
        self._current: Transfer | None = None
        self._chunks: dict[int, bytes] = {}
        self._latest_installed = Transfer(Incarnation(""), Epoch(0), 0)
        """The latest transfer installed; chunks of an older one of the same sender and epoch may still arrive late."""

    def is_outdated(self, transfer: Transfer) -> bool:
        """Whether a later transfer of the same sender and epoch has been installed already."""
        latest_installed = self._latest_installed
        same_origin = (latest_installed.sender, latest_installed.epoch) == (transfer.sender, transfer.epoch)
        return same_origin and transfer.number < latest_installed.number

    def add(self, chunk: ControlStateChunk) -> bytes | None:
        """Adds a chunk; returns the complete encoded state once all its chunks have arrived, else None."""
        transfer = transfer_of(chunk)
        if self._current != transfer:
            self._current, self._chunks = transfer, {}
        self._chunks[chunk.index] = chunk.data
        if len(self._chunks) < chunk.count:
            return None
        chunks = self._chunks
        self._current, self._chunks = None, {}
        data = b"".join(chunks[index] for index in range(chunk.count))
        return zlib.decompress(data) if chunk.packed else data

    def record_installed(self, transfer: Transfer) -> None:
        """Records that the state of this transfer was installed, which outdates earlier transfers."""
        self._latest_installed = transfer


def transfer_of(chunk: ControlStateChunk) -> Transfer:
    """Returns the transfer to which the chunk belongs."""
    return Transfer(chunk.sender, chunk.epoch, chunk.transfer)
