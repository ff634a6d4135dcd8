"""Joined deltas, chains and chunks, over the real bundle state (docs/DESIGN.md section 9.2)."""

from __future__ import annotations

import unittest
import zlib
from random import Random

import msgspec
from returns.result import Success

from ...bundle.model import Bundle
from ...bundle.parse import apply_delta
from ...bundle.tests.samples import OPERATOR_KEYS, order_between, sample_slices, submit
from ...identifiers import BundleVersion, SliceName
from ..deltas import MAX_ENCODED_DELTAS, ChunkServer, DeltaChain, decode_delta, decompress_chunk, full_delta
from ..messages import BundleChunk, FetchBundle
from .fakes import empty_disk


class DeltaChainTest(unittest.TestCase):
    def test_any_holder_within_the_chain_is_brought_to_the_newest(self) -> None:
        """Slices come, change and go; followers skip versions; every joined delta passes the root check."""
        random = Random(3)
        state = empty_disk()
        slices: dict[SliceName, bytes] = {}
        past: dict[int, Bundle] = {}
        chain, held, bundle = DeltaChain(max_deltas=30), BundleVersion(0), None
        joined, missing = 0, 0
        full = sample_slices(20)
        extra = [SliceName(f"tenant/tenant-{number}") for number in range(20)]
        for version in range(1, 120):
            after = {name: data for name, data in full.items() if name not in extra or random.random() < 0.7}
            submit(state, order_between(version - 1, slices, after))
            slices = after
            if random.random() < 0.5:
                continue
            delta = state.delta_since(BundleVersion(random.choice([held, held, max(0, held - 1)])), state.version)
            assert delta is not None
            outcome = apply_delta(bundle, delta, OPERATOR_KEYS)
            assert isinstance(outcome, Success), outcome
            chain.add(delta, held)
            bundle = past[version] = outcome.unwrap()
            held = bundle.version
            for since, old in past.items():
                if since == held:
                    continue
                told = chain.since(BundleVersion(since))
                if told is None:
                    missing += 1
                    continue
                joined += 1
                result = apply_delta(old, told, OPERATOR_KEYS)
                assert isinstance(result, Success), result
                self.assertEqual(result.unwrap().slices, bundle.slices)
        self.assertGreater(joined, 500)
        self.assertGreater(missing, 100)

    def test_large_delta_travels_in_chunks_of_one_version(self) -> None:
        state, slices = empty_disk(), sample_slices(200)
        submit(state, order_between(0, {}, slices))
        bundle = apply_delta(None, state.delta_since(BundleVersion(0), state.version), OPERATOR_KEYS).unwrap()  # type: ignore[arg-type]
        server = ChunkServer(chunk_bytes=1000)
        first = server.chunk(FetchBundle(BundleVersion(0)), bundle.version, full_delta(bundle))
        pieces = [first.data]
        while sum(map(len, pieces)) < first.total:
            asked = FetchBundle(BundleVersion(0), first.to, sum(map(len, pieces)))
            chunk = server.chunk(asked, BundleVersion(2), None)
            self.assertTrue(chunk.found)
            pieces.append(chunk.data)
        self.assertGreater(len(pieces), 10)
        self.assertEqual(decode_delta(pieces), full_delta(bundle))
        self.assertIsNone(decode_delta(pieces[:-1]))
        self.assertFalse(server.chunk(FetchBundle(BundleVersion(1)), BundleVersion(1), None).found)

    def test_packed_chunks_are_small_and_give_the_same_delta(self) -> None:
        state, slices = empty_disk(), sample_slices(400)
        submit(state, order_between(0, {}, slices))
        bundle = apply_delta(None, state.delta_since(BundleVersion(0), state.version), OPERATOR_KEYS).unwrap()  # type: ignore[arg-type]
        server = ChunkServer(chunk_bytes=20_000, first_chunk_bytes=3000)
        pieces: list[bytes] = []
        travelled = offset = 0
        total = 1
        while offset < total:
            chunk = server.chunk(
                FetchBundle(BundleVersion(0), bundle.version, offset, accepts_compressed=True),
                bundle.version,
                full_delta(bundle),
            )
            piece, total = decompress_chunk(chunk), chunk.total
            assert piece is not None
            self.assertEqual(len(piece), min(total - offset, 20_000 if offset else 3000))
            pieces.append(piece)
            offset += len(piece)
            travelled += len(chunk.data)
        self.assertEqual(decode_delta(pieces), full_delta(bundle))
        self.assertLess(travelled, total / 2)

    def test_pieces_larger_than_told_or_damaged_are_no_pieces(self) -> None:
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

    def test_pieces_of_one_delta_fit_together_whatever_order_its_slices_are_held_in(self) -> None:
        """Also once a server has forgotten the delta's encoding and makes it again."""
        state, slices = empty_disk(), sample_slices(100)
        submit(state, order_between(0, {}, slices))
        bundle = apply_delta(None, state.delta_since(BundleVersion(0), state.version), OPERATOR_KEYS).unwrap()  # type: ignore[arg-type]
        reordered = msgspec.structs.replace(full_delta(bundle), changed=dict(reversed(list(bundle.slices.items()))))
        server, other_server = ChunkServer(chunk_bytes=5000), ChunkServer(chunk_bytes=5000)
        first = server.chunk(FetchBundle(BundleVersion(0), accepts_compressed=True), bundle.version, full_delta(bundle))
        for number in range(MAX_ENCODED_DELTAS):
            other = FetchBundle(BundleVersion(100 + number), accepts_compressed=True)
            server.chunk(other, bundle.version, full_delta(bundle))
        self.assertFalse(server.holds(BundleVersion(0), bundle.version))
        pieces: list[bytes] = []
        offset = 0
        while offset < first.total:
            asked = FetchBundle(BundleVersion(0), bundle.version, offset, accepts_compressed=True)
            answerer, delta = (server, reordered) if len(pieces) % 2 else (other_server, full_delta(bundle))
            piece = decompress_chunk(answerer.chunk(asked, bundle.version, delta))
            assert piece is not None
            pieces.append(piece)
            offset += len(piece)
        self.assertGreater(len(pieces), 4)
        self.assertEqual(pieces[0], decompress_chunk(first))
        self.assertEqual(decode_delta(pieces), full_delta(bundle))
