"""The scanner of event streams (docs/DESIGN.md section 12.1).

Guards against an end marker that is missed, or found where there is none, depending on where chunks split the stream.
"""

from __future__ import annotations

import unittest

from ..event_streams import EventScanner
from ..worker_format import END_MARKER


class EventScannerTest(unittest.TestCase):
    def scan(self, stream: bytes, size: int) -> tuple[bytes, int, bool]:
        scanner = EventScanner(END_MARKER)
        taken = b"".join(scanner.feed(stream[at : at + size]).forward for at in range(0, len(stream), size))
        return taken, scanner.events, scanner.ended

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
