"""Tests of chunks over the real bundle state (docs/DESIGN.md section 9.2).

They guard against a fetch that mixes chunks of different encodings or accepts damaged ones.
"""

from __future__ import annotations

import unittest
import zlib

import msgspec

from ...bundle.parse import apply_delta
from ...bundle.tests.samples import OPERATOR_KEYS, order_between, sample_slices, submit
from ...identifiers import BundleVersion
from ..chunk_server import MAX_ENCODED_DELTAS, ChunkServer, decode_delta, decompress_chunk
from ..deltas import full_delta
from ..messages import BundleChunk, FetchBundle
from .fakes import empty_disk


class ChunkServerTest(unittest.TestCase):
    def test_large_delta_is_served_in_chunks_of_one_version(self) -> None:
        state, slices = empty_disk(), sample_slices(200)
        submit(state, order_between(0, {}, slices))
        bundle = apply_delta(None, state.delta_since(BundleVersion(0), state.version), OPERATOR_KEYS).unwrap()  # type: ignore[arg-type]
        server = ChunkServer(chunk_bytes=1000)
        first = server.chunk(FetchBundle(BundleVersion(0)), bundle.version, full_delta(bundle))
        chunks_data = [first.data]
        while sum(map(len, chunks_data)) < first.total:
            request = FetchBundle(BundleVersion(0), first.to, sum(map(len, chunks_data)))
            chunk = server.chunk(request, BundleVersion(2), None)
            self.assertTrue(chunk.found)
            chunks_data.append(chunk.data)
        self.assertGreater(len(chunks_data), 10)
        self.assertEqual(decode_delta(chunks_data), full_delta(bundle))
        self.assertIsNone(decode_delta(chunks_data[:-1]))
        self.assertFalse(server.chunk(FetchBundle(BundleVersion(1)), BundleVersion(1), None).found)

    def test_compressed_chunks_are_small_and_give_the_same_delta(self) -> None:
        state, slices = empty_disk(), sample_slices(400)
        submit(state, order_between(0, {}, slices))
        bundle = apply_delta(None, state.delta_since(BundleVersion(0), state.version), OPERATOR_KEYS).unwrap()  # type: ignore[arg-type]
        server = ChunkServer(chunk_bytes=20_000, first_chunk_bytes=3000)
        chunks_data: list[bytes] = []
        travelled = offset = 0
        total = 1
        while offset < total:
            chunk = server.chunk(
                FetchBundle(BundleVersion(0), bundle.version, offset, accepts_compressed=True),
                bundle.version,
                full_delta(bundle),
            )
            chunk_data, total = decompress_chunk(chunk), chunk.total
            assert chunk_data is not None
            self.assertEqual(len(chunk_data), min(total - offset, 20_000 if offset else 3000))
            chunks_data.append(chunk_data)
            offset += len(chunk_data)
            travelled += len(chunk.data)
        self.assertEqual(decode_delta(chunks_data), full_delta(bundle))
        self.assertLess(travelled, total / 2)

    def test_oversized_or_damaged_chunks_are_rejected(self) -> None:
        version = BundleVersion(1)
        bomb = zlib.compress(b"x" * 1_000_000)
        self.assertIsNone(decompress_chunk(BundleChunk(True, version, 1000, 0, bomb, compressed=True)))
        self.assertIsNone(decompress_chunk(BundleChunk(True, version, 1000, 0, b"no stream", compressed=True)))
        self.assertIsNone(
            decompress_chunk(BundleChunk(True, version, 1000, 0, zlib.compress(b"x" * 100)[:-3], compressed=True))
        )
        self.assertIsNone(decompress_chunk(BundleChunk(True, version, 1000, 900, b"x" * 101)))
        self.assertEqual(
            decompress_chunk(BundleChunk(True, version, 1000, 900, zlib.compress(b"x" * 100), compressed=True)),
            b"x" * 100,
        )

    def test_chunks_of_one_delta_fit_together_in_any_slice_order(self) -> None:
        """This holds also after a server has evicted the encoded delta and encoded it again."""
        state, slices = empty_disk(), sample_slices(100)
        submit(state, order_between(0, {}, slices))
        bundle = apply_delta(None, state.delta_since(BundleVersion(0), state.version), OPERATOR_KEYS).unwrap()  # type: ignore[arg-type]
        reordered = msgspec.structs.replace(full_delta(bundle), changed=dict(reversed(list(bundle.slices.items()))))
        server, other_server = ChunkServer(chunk_bytes=5000), ChunkServer(chunk_bytes=5000)
        first = server.chunk(FetchBundle(BundleVersion(0), accepts_compressed=True), bundle.version, full_delta(bundle))
        for number in range(MAX_ENCODED_DELTAS):
            other = FetchBundle(BundleVersion(100 + number), accepts_compressed=True)
            server.chunk(other, bundle.version, full_delta(bundle))
        self.assertFalse(server.has_encoded(BundleVersion(0), bundle.version))
        chunks_data: list[bytes] = []
        offset = 0
        while offset < first.total:
            request = FetchBundle(BundleVersion(0), bundle.version, offset, accepts_compressed=True)
            answerer, delta = (server, reordered) if len(chunks_data) % 2 else (other_server, full_delta(bundle))
            chunk_data = decompress_chunk(answerer.chunk(request, bundle.version, delta))
            assert chunk_data is not None
            chunks_data.append(chunk_data)
            offset += len(chunk_data)
        self.assertGreater(len(chunks_data), 4)
        self.assertEqual(chunks_data[0], decompress_chunk(first))
        self.assertEqual(decode_delta(chunks_data), full_delta(bundle))
