"""Compression of long lists of workers; a new owner sends one to each router of its zone (docs/DESIGN.md 10.3)."""

from __future__ import annotations

import msgspec

from ..transport.compression import compress, decompress
from .messages import PoolReply, WorkerEntry

PACK_ABOVE_ENTRIES = 8
"""Lists of up to this many entries are not packed, because packing hardly makes them smaller."""
MAX_UNPACKED_BYTES = 16 * 1024 * 1024
"""Limit on the size of an unpacked list."""


def pack_entries(reply: PoolReply) -> PoolReply:
    """Returns the reply with its entries packed, or unchanged if it has few entries."""
    if len(reply.entries) <= PACK_ABOVE_ENTRIES:
        return reply
    packed = compress(msgspec.msgpack.encode(reply.entries))
    return msgspec.structs.replace(reply, entries=(), packed=packed)


def unpack_entries(reply: PoolReply) -> PoolReply | None:
    """Returns the reply with its entries unpacked; None if the packed bytes are not a list of workers."""
    if not reply.packed:
        return reply
    data = decompress(reply.packed, MAX_UNPACKED_BYTES)
    if data is None:
        return None
    try:
        entries = msgspec.msgpack.decode(data, type=list[WorkerEntry])
    except msgspec.MsgspecError:
        return None
    return msgspec.structs.replace(reply, entries=tuple(entries), packed=b"")
