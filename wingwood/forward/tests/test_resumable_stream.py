"""Streams that another worker can continue: complete events, ids and ends, wherever chunks split them (section 12.5).

Guards against events that are passed on in part, twice or not at all, and truncated streams that look complete.
"""

from __future__ import annotations

import unittest

from ..calls import StreamProgress
from ..resumable_stream import MAX_EVENT_BYTES, ResumableStream, parse_event_id
from .stream_samples import ENDS, EVENTS, LINES, SIZES, fed


class ResumableStreamTest(unittest.TestCase):
    def test_complete_events_pass_wherever_the_stream_is_split(self) -> None:
        for size in SIZES:
            progress = StreamProgress()
            reader = ResumableStream(progress, None)
            self.assertEqual(fed(reader, LINES, size), LINES)
            self.assertEqual((reader.events, progress.last_event, progress.can_resume), (3, 7, True))
            self.assertTrue(reader.is_complete("close"))

    def test_no_part_of_an_incomplete_event_passes(self) -> None:
        for length in range(len(LINES) + 1):
            reader = ResumableStream(StreamProgress(), None)
            passed = reader.feed(LINES[:length])
            self.assertEqual(len(passed), max(end for end in ENDS if end <= length), length)
            self.assertEqual(reader.is_complete("close"), length in ENDS)
            self.assertEqual(passed + reader.remainder(), LINES[:length])

    def test_events_that_were_sent_before_are_dropped(self) -> None:
        for size in SIZES:
            for last, rest in ((0, LINES), (1, LINES[ENDS[1] :]), (2, LINES[ENDS[2] :]), (7, EVENTS[2])):
                progress = StreamProgress(last)
                self.assertEqual(fed(ResumableStream(progress, None), LINES, size), rest, (size, last))

    def test_blank_lines_between_events_pass_and_are_no_incomplete_event(self) -> None:
        stream = b"data: a\n\n\nid: 2\ndata: b\n\n\n"
        for size in SIZES:
            reader = ResumableStream(StreamProgress(), None)
            self.assertEqual(fed(reader, stream, size) + reader.remainder(), stream, size)
            self.assertTrue(reader.is_complete("close"), size)

    def test_stream_with_an_event_without_id_can_not_be_resumed(self) -> None:
        for event in (b"data: x\n\n", b"id: x\ndata: x\n\n", b"data\n\n"):
            progress = StreamProgress()
            reader = ResumableStream(progress, None)
            self.assertEqual(reader.feed(b"id: 1\ndata: a\n\n" + event), b"id: 1\ndata: a\n\n" + event)
            self.assertFalse(progress.can_resume)

    def test_events_beyond_the_size_limit_are_not_buffered(self) -> None:
        progress = StreamProgress()
        reader = ResumableStream(progress, None)
        passed = sum(len(reader.feed(b"x" * 100_000)) for _ in range(12))
        self.assertGreater(passed, MAX_EVENT_BYTES)
        self.assertFalse(progress.can_resume)

    def test_end_marker(self) -> None:
        stream = LINES + b"data: [DONE]\n\n"
        for size in SIZES:
            reader = ResumableStream(StreamProgress(), b"[DONE]")
            self.assertEqual(fed(reader, stream + b"stray\n\n", size), stream)
            self.assertTrue(reader.is_complete("chunked") and reader.ended)
            self.assertEqual(reader.events, 3)
            reader = ResumableStream(StreamProgress(), b"[DONE]")
            fed(reader, stream[:-1], size)
            self.assertFalse(reader.is_complete("chunked"))


class EventIds(unittest.TestCase):
    def test_ids_are_non_negative_integers(self) -> None:
        ids = {"12": 12, " 7 ": 7, "": None, "-1": None, "1.5": None, "x": None, "1" * 30: None}
        self.assertEqual({value: parse_event_id(value) for value in ids}, ids)
        self.assertIsNone(parse_event_id(None))
