"""Compression of long lists of workers; a new owner sends one to each router of its zone (docs/DESIGN.md 10.3)."""

from __future__ import annotations

import zlib
from collections.abc import Sequence

import msgspec

from .messages import PoolAnswer, WorkerEntry

PACK_ABOVE_ENTRIES = 8
"""Lists of up to this many entries are not packed, because packing hardly makes them smaller."""
ZLIB_LEVEL = 1
"""The fastest level."""
MAX_UNPACKED_BYTES = 16 * 1024 * 1024
"""Limit on the size of an unpacked list."""


def pack_entries(answer: PoolAnswer) -> PoolAnswer:
    """Returns the answer with its entries packed, or unchanged if it has few entries."""
    if len(answer.entries) <= PACK_ABOVE_ENTRIES:
        return answer
    packed = zlib.compress(msgspec.msgpack.encode(answer.entries), ZLIB_LEVEL)
    return msgspec.structs.replace(answer, entries=(), packed=packed)


def unpack_entries(answer: PoolAnswer) -> PoolAnswer | None:
    """Returns the answer with its entries unpacked; None if the packed bytes are not a list of workers."""
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
