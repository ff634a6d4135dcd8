"""Serves encoded deltas in chunks, and decodes chunks that were received (docs/DESIGN.md section 9.2)."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

import msgspec

from ..bundle.model import BundleDelta
from ..identifiers import Address, BundleVersion
from ..transport.compression import compress, decompress
from .deltas import MAX_CACHE_BYTES
from .messages import BundleChunk, FetchBundle

MAX_ENCODED_DELTAS = 8
"""The number of encoded deltas that a ``ChunkServer`` caches."""
MAX_COMPRESSED_CHUNKS = 64
"""The number of compressed chunks that a ``ChunkServer`` caches, since many daemons fetch the same ones."""
_ENCODER = msgspec.msgpack.Encoder(order="deterministic")
"""Encodes slices in the order of their names, so that chunks of one delta fit together even when they come from
different daemons."""


class ChunkServer:
    """Produces the replies to ``FetchBundle`` requests.

    It caches the last few encoded deltas, so that all chunks of one fetch come from the same encoding.
    """

    def __init__(self, chunk_bytes: int, first_chunk_bytes: int | None = None) -> None:
        """``first_chunk_bytes`` may be smaller, so that a waiting requester soon sees that its source answers."""
        self._chunk_bytes = chunk_bytes
        self._first_chunk_bytes = first_chunk_bytes or chunk_bytes
        self._encoded: OrderedDict[tuple[BundleVersion, BundleVersion], bytes] = OrderedDict()
        self._compressed: OrderedDict[tuple[BundleVersion, BundleVersion, int], bytes] = OrderedDict()

    def has_encoded(self, since: BundleVersion, to: BundleVersion) -> bool:
        """Whether the delta from ``since`` to ``to`` is cached in encoded form."""
        return (since, to) in self._encoded

    def chunk(
        self,
        request: FetchBundle,
        latest: BundleVersion,
        delta: BundleDelta | None,
        alternative_source: Address | None = None,
    ) -> BundleChunk:
        """Returns the requested chunk, or a reply with ``found`` False when the delta is not available.

        ``delta`` leads from ``request.since`` to ``latest``; it may be None when the encoded form is cached.
        """
        key = (request.since, request.to or latest)
        data = self._encoded.get(key)
        if data is None:
            if delta is None or delta.manifest.version != key[1]:
                return BundleChunk(False, latest, alternative_source=alternative_source)
            data = self._encode(key, delta)
        length = self._chunk_bytes if request.offset else self._first_chunk_bytes
        chunk_data = data[request.offset : request.offset + length]
        if request.accepts_compressed:
            chunk_data = self._compress(key, request.offset, chunk_data)
        return BundleChunk(True, key[1], len(data), request.offset, chunk_data, compressed=request.accepts_compressed)

    def _encode(self, key: tuple[BundleVersion, BundleVersion], delta: BundleDelta) -> bytes:
        """Encodes ``delta`` into the cache and evicts the oldest encoded deltas beyond the limits."""
        data = self._encoded[key] = _ENCODER.encode(delta)
        self._drop_compressed(key)
        while len(self._encoded) > MAX_ENCODED_DELTAS or (
            len(self._encoded) > 1 and sum(map(len, self._encoded.values())) > MAX_CACHE_BYTES
        ):
            evicted, _ = self._encoded.popitem(last=False)
            self._drop_compressed(evicted)
        return data

    def _compress(self, key: tuple[BundleVersion, BundleVersion], offset: int, chunk_data: bytes) -> bytes:
        """Compresses one chunk only, so that a large bundle does not block the event loop."""
        compressed = self._compressed.get((*key, offset))
        if compressed is None:
            compressed = self._compressed[(*key, offset)] = compress(chunk_data)
            if len(self._compressed) > MAX_COMPRESSED_CHUNKS:
                self._compressed.popitem(last=False)
        return compressed

    def _drop_compressed(self, key: tuple[BundleVersion, BundleVersion]) -> None:
        """Drops the compressed chunks of a delta, because a new encoding of it may order its slices differently."""
        for cached_key in [cached_key for cached_key in self._compressed if cached_key[:2] == key]:
            del self._compressed[cached_key]


def decompress_chunk(chunk: BundleChunk) -> bytes | None:
    """Returns the uncompressed bytes of ``chunk``.

    Returns None when they are damaged, or reach beyond the ``total`` bytes of the delta.
    """
    remaining_bytes = chunk.total - chunk.offset
    chunk_data = decompress(chunk.data, max(1, remaining_bytes)) if chunk.compressed else chunk.data
    return chunk_data if chunk_data is not None and len(chunk_data) <= remaining_bytes else None


def decode_delta(chunks_data: Sequence[bytes]) -> BundleDelta | None:
    """Decodes the joined chunks; returns None when the bytes are not a valid delta."""
    try:
        return msgspec.msgpack.decode(b"".join(chunks_data), type=BundleDelta)
    except msgspec.MsgspecError:
        return None
