"""Joins consecutive deltas, and serves encoded deltas in chunks (docs/DESIGN.md section 9.2)."""

from __future__ import annotations

import zlib
from collections import OrderedDict, deque
from collections.abc import Iterable, Sequence
from functools import reduce

import msgspec

from ..bundle.model import Bundle, BundleDelta
from ..identifiers import Address, BundleVersion
from .messages import BundleChunk, FetchBundle

MAX_ENCODED_DELTAS = 8
"""The number of encoded deltas that a ``ChunkServer`` caches."""
MAX_COMPRESSED_CHUNKS = 64
"""The number of compressed chunks that a ``ChunkServer`` caches, since many daemons fetch the same ones."""
COMPRESSION_LEVEL = 1
"""The zlib level. Slices are repetitive text: the fastest level compresses 290 KB to 23 KB in 0.6 ms, while the
best level reaches 21 KB in 1.5 ms."""
MAX_CACHE_BYTES = 4 * 1024 * 1024
"""The memory limit of a ``DeltaChain``, and separately of the encoded deltas of a ``ChunkServer``."""
_ENCODER = msgspec.msgpack.Encoder(order="deterministic")
"""Encodes slices in the order of their names, so that chunks of one delta fit together even when they come from
different daemons."""


def join_deltas(first: BundleDelta, second: BundleDelta) -> BundleDelta:
    """Returns one delta that has the effect of ``first`` followed by ``second``.

    Raises ValueError unless ``second`` starts at the version that ``first`` leads to.
    """
    if second.since != first.manifest.version:
        raise ValueError(
            f"cannot join a delta from version {second.since} to a delta that ends at {first.manifest.version}"
        )
    removed = dict.fromkeys((*(name for name in first.removed if name not in second.changed), *second.removed))
    changed = {name: content for name, content in first.changed.items() if name not in removed} | second.changed
    return BundleDelta(since=first.since, manifest=second.manifest, changed=changed, removed=tuple(removed))


def full_delta(bundle: Bundle) -> BundleDelta:
    """Returns the delta from no bundle at all to ``bundle``."""
    return BundleDelta(since=BundleVersion(0), manifest=bundle.manifest, changed=dict(bundle.slices), removed=())


def slice_bytes(delta: BundleDelta) -> int:
    """Returns the total number of bytes of the changed slices."""
    return sum(map(len, delta.changed.values()))


class DeltaChain:
    """The last deltas put in force on this daemon, so that daemons a few versions behind need not fetch everything."""

    def __init__(self, max_deltas: int) -> None:
        self._deltas: deque[BundleDelta] = deque()
        self._max_deltas = max_deltas
        self._bytes = 0

    def add(self, delta: BundleDelta, held: BundleVersion) -> None:
        """Appends ``delta``, which took this daemon from version ``held`` to the version of the delta's manifest.

        A full delta clears the chain and is not stored. A delta that does not continue the chain starts a new one.
        """
        if delta.since == 0 and held > 0:
            self._clear()
            return
        if delta.since < held:
            delta = msgspec.structs.replace(delta, since=held)
        if self._deltas and self._deltas[-1].manifest.version != delta.since:
            self._clear()
        self._deltas.append(delta)
        self._bytes += slice_bytes(delta)
        while self._deltas and (len(self._deltas) > self._max_deltas or self._bytes > MAX_CACHE_BYTES):
            self._bytes -= slice_bytes(self._deltas.popleft())

    def _clear(self) -> None:
        self._deltas.clear()
        self._bytes = 0

    def since(self, version: BundleVersion) -> BundleDelta | None:
        """Returns the delta from ``version`` to the latest version; None when the chain starts after ``version``."""
        found: list[BundleDelta] = []
        for delta in reversed(self._deltas):
            found.append(delta)
            if delta.since <= version:
                return _join_all(reversed(found))
        return None


def _join_all(deltas: Iterable[BundleDelta]) -> BundleDelta:
    return reduce(join_deltas, deltas)


class ChunkServer:
    """Answers ``FetchBundle`` requests.

    It caches the last few encoded deltas, so that all chunks of one fetch come from the same encoding.
    """

    def __init__(self, chunk_bytes: int, first_chunk_bytes: int | None = None) -> None:
        """``first_chunk_bytes`` may be smaller, so that a waiting requester soon sees that its source answers."""
        self._chunk_bytes = chunk_bytes
        self._first_chunk_bytes = first_chunk_bytes or chunk_bytes
        self._encoded: OrderedDict[tuple[BundleVersion, BundleVersion], bytes] = OrderedDict()
        self._compressed: OrderedDict[tuple[BundleVersion, BundleVersion, int], bytes] = OrderedDict()

    def holds(self, since: BundleVersion, to: BundleVersion) -> bool:
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
            data = self._encoded[key] = _ENCODER.encode(delta)
            self._drop_compressed(key)
            while len(self._encoded) > MAX_ENCODED_DELTAS or (
                len(self._encoded) > 1 and sum(map(len, self._encoded.values())) > MAX_CACHE_BYTES
            ):
                evicted, _ = self._encoded.popitem(last=False)
                self._drop_compressed(evicted)
        length = self._chunk_bytes if request.offset else self._first_chunk_bytes
        chunk_data = data[request.offset : request.offset + length]
        if request.accepts_compressed:
            chunk_data = self._compress(key, request.offset, chunk_data)
        return BundleChunk(True, key[1], len(data), request.offset, chunk_data, compressed=request.accepts_compressed)

    def _compress(self, key: tuple[BundleVersion, BundleVersion], offset: int, chunk_data: bytes) -> bytes:
        """Compresses one chunk only, so that a large bundle does not block the event loop."""
        compressed = self._compressed.get((*key, offset))
        if compressed is None:
            compressed = self._compressed[(*key, offset)] = zlib.compress(chunk_data, COMPRESSION_LEVEL)
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
    if not chunk.compressed:
        return chunk.data if len(chunk.data) <= remaining_bytes else None
    decompressor = zlib.decompressobj()
    try:
        chunk_data = decompressor.decompress(chunk.data, max(1, remaining_bytes))
    except zlib.error:
        return None
    return chunk_data if decompressor.eof and len(chunk_data) <= remaining_bytes else None


def decode_delta(chunks_data: Sequence[bytes]) -> BundleDelta | None:
    """Decodes the joined chunks; returns None when the bytes are not a valid delta."""
    try:
        return msgspec.msgpack.decode(b"".join(chunks_data), type=BundleDelta)
    except msgspec.MsgspecError:
        return None
