"""Long lists of workers travel packed: a new home gives one to each router of its zone (docs/DESIGN.md 10.3)."""

from __future__ import annotations

import zlib
from collections.abc import Sequence

import msgspec

from .messages import PoolAnswer, WorkerEntry

PACK_ABOVE_ENTRIES = 8
"""Entries; fewer are hardly smaller for it."""
ZLIB_LEVEL = 1
"""The fastest."""
MAX_UNPACKED_BYTES = 16 * 1024 * 1024
"""Most that a list may unpack to."""


def pack_entries(answer: PoolAnswer) -> PoolAnswer:
    """As it is where it holds few entries."""
    if len(answer.entries) <= PACK_ABOVE_ENTRIES:
        return answer
    packed = zlib.compress(msgspec.msgpack.encode(answer.entries), ZLIB_LEVEL)
    return msgspec.structs.replace(answer, entries=(), packed=packed)


def unpack_entries(answer: PoolAnswer) -> PoolAnswer | None:
    """None when what was packed is no list of workers."""
    if not answer.packed:
        return answer
    entries = _unpacked(answer.packed)
    return None if entries is None else msgspec.structs.replace(answer, entries=tuple(entries), packed=b"")


def _unpacked(packed: bytes) -> Sequence[WorkerEntry] | None:
    unpacker = zlib.decompressobj()
    try:
        data = unpacker.decompress(packed, MAX_UNPACKED_BYTES)
        return msgspec.msgpack.decode(data, type=list[WorkerEntry]) if unpacker.eof else None
    except (zlib.error, msgspec.MsgspecError):
        return None
