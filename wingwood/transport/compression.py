"""Compression of data that daemons send to each other, with a bound on what a receiver decompresses."""

from __future__ import annotations

import zlib

ZLIB_LEVEL = 1
"""The fastest level. Slices are repetitive text: it compresses 290 KB to 23 KB in 0.6 ms, while the best level reaches
21 KB in 1.5 ms."""


def compress(data: bytes) -> bytes:
    """Returns ``data`` as a zlib stream."""
    return zlib.compress(data, ZLIB_LEVEL)


def decompress(stream: bytes, max_bytes: int) -> bytes | None:
    """Returns the data of a zlib stream.

    Returns None when the stream is damaged, truncated or longer than ``max_bytes`` bytes (at least 1) uncompressed;
    no more than that is decompressed, so a small stream from an untrusted peer cannot exhaust the memory.
    """
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(stream, max_bytes)
    except zlib.error:
        return None
    return data if decompressor.eof else None
