"""Readers of streams: number and ends of events, wherever chunks split them (docs/DESIGN.md section 12.5).

Guards against an end marker that is missed, or found where there is none, and truncated streams that look complete.
"""

from __future__ import annotations

import unittest

from ..event_streams import StreamWithEndMarker, StreamWithoutEndMarker
from ..worker_format import END_MARKER
from .stream_samples import ENDS, LINES, SIZES, fed


class StreamWithEndMarkerTest(unittest.TestCase):
    def scan(self, stream: bytes, size: int) -> tuple[bytes, int, bool]:
        reader = StreamWithEndMarker(END_MARKER)
        passed = b"".join(reader.feed(stream[at : at + size]) for at in range(0, len(stream), size))
        return passed, reader.events, reader.ended

    def test_result_does_not_depend_on_the_chunk_size(self) -> None:
        long = b"data: " + b"[DONE]" * 50 + b"\n\n"
        odd = b": comment\n\nevent: x\ndata: 1\ndata: [DONE]\n\nid: 7\n\n" + long + b"data:[DONE] not\n\n"
        for stream, events in (
            (b"data: 1\n\ndata: 2\n\ndata: [DONE]\n\n", 2),
            (b"data: 1\r\n\r\ndata: 2\r\n\r\ndata: [DONE]\r\n\r\n", 2),
            (odd + b"event: end\ndata:[DONE]\n\n", 3),
        ):
            for size in (1, 2, 3, 7, 64, 1000):
                with self.subTest(stream=stream, size=size):
                    self.assertEqual(self.scan(stream, size), (stream, events, True))
                    self.assertEqual(self.scan(stream + b"stray\n\n", size), (stream, events, True))
                    self.assertEqual(self.scan(stream[:-1], size)[1:], (events, False))


class StreamWithoutEndMarkerTest(unittest.TestCase):
    def test_blank_lines_are_not_counted_as_events(self) -> None:
        for size in SIZES:
            reader = StreamWithoutEndMarker()
            fed(reader, b"data: a\n\n\n\ndata: b\r\n\r\n", size)
            self.assertEqual(reader.events, 2, size)

    def test_counts_events_and_recognises_their_ends(self) -> None:
        for size in SIZES:
            for length in range(len(LINES) + 1):
                reader = StreamWithoutEndMarker()
                self.assertEqual(fed(reader, LINES[:length], size), LINES[:length])
                self.assertEqual(reader.is_complete("close"), length in ENDS, length)
                self.assertTrue(reader.is_complete("chunked"))
            self.assertEqual(reader.events, 4)
