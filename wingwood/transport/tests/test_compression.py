"""Tests that compressed data arrives unchanged, and that damaged or oversized streams are rejected."""

from __future__ import annotations

import unittest
import zlib

from ..compression import compress, decompress


class CompressionTest(unittest.TestCase):
    def test_data_arrives_unchanged_up_to_the_limit(self) -> None:
        for data in (b"", b"x", b"wing" * 10_000):
            self.assertEqual(decompress(compress(data), max(1, len(data))), data)

    def test_stream_has_the_bytes_of_the_fastest_zlib_level(self) -> None:
        self.assertEqual(compress(b"wing" * 100), zlib.compress(b"wing" * 100, 1))

    def test_damaged_truncated_or_oversized_streams_are_rejected(self) -> None:
        stream = compress(b"wing" * 100)
        for damaged in (b"", b"no stream", stream[:-3]):
            self.assertIsNone(decompress(damaged, 400))
        self.assertIsNone(decompress(compress(b"x" * 1_000_000), 1000))
