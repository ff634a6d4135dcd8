"""Random streams: the result of a reader does not depend on the chunks (docs/DESIGN.md section 12.5)."""

from __future__ import annotations

import itertools
import unittest
from collections.abc import Callable

from hypothesis import given, settings
from hypothesis import strategies as st

from ..calls import StreamProgress
from ..event_streams import BodyReader, StreamWithEndMarker, StreamWithoutEndMarker
from ..resumable_stream import ResumableStream

MARKER = b"[DONE]"
parts_of_streams = st.one_of(
    st.sampled_from(
        [
            b"data: x\n\n",
            b"data: x\r\n\r\n",
            b"id: 1\ndata: a\n\n",
            b"id: 2\ndata: b\n\n",
            b"id:3\r\ndata: c\r\n\r\n",
            b"data: [DONE]\n\n",
            b"data:[DONE]\r\n\r\n",
            b"data: [DONE]",
            b": comment\n\n",
            b"data: " + b"y" * 70 + b"\n\n",
            b"data\n\n",
            b"id: 99999999999999999999\ndata: z\n\n",
            b"event: e\n",
            b"\n",
            b"\r\n",
            b"\r",
            b"\n\n\n",
            b"da",
            b"ta: q\n",
        ]
    ),
    st.binary(max_size=6),
)
streams = st.lists(parts_of_streams, max_size=8).map(b"".join)
split_offsets = st.lists(st.integers(0, 400), max_size=8)
"""Offsets at which the data is split; taken modulo its length."""


def split_at(data: bytes, at: list[int]) -> list[bytes]:
    bounds = [0, *sorted(offset % (len(data) + 1) for offset in at), len(data)]
    return [data[start:end] for start, end in itertools.pairwise(bounds)]


def read(reader: BodyReader, chunks: list[bytes]) -> tuple[object, ...]:
    """Returns what a caller gets of a body whose framing ends cleanly, and what the reader found in it."""
    passed = b"".join(reader.feed(chunk) for chunk in chunks if chunk)
    complete = [reader.is_complete("close"), reader.is_complete("chunked")]
    return passed + reader.remainder(), reader.events, reader.ended, complete


class FuzzedStreams(unittest.TestCase):
    def same(self, make: Callable[[], BodyReader], data: bytes, at: list[int]) -> tuple[object, ...]:
        """Checks that split data, unsplit data and single bytes give the same result, and returns that."""
        found = read(make(), split_at(data, at))
        self.assertEqual(found, read(make(), [data] if data else []))
        self.assertEqual(found, read(make(), [data[offset : offset + 1] for offset in range(len(data))]))
        return found

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(streams, split_offsets)
    def test_streams_with_a_marker(self, data: bytes, at: list[int]) -> None:
        passed, _, ended, _ = self.same(lambda: StreamWithEndMarker(MARKER), data, at)
        assert isinstance(passed, bytes)
        self.assertTrue(data.startswith(passed))
        self.assertTrue(ended or passed == data)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(streams, split_offsets)
    def test_streams_without_a_marker(self, data: bytes, at: list[int]) -> None:
        self.assertEqual(self.same(StreamWithoutEndMarker, data, at)[0], data)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(streams, split_offsets, st.sampled_from([None, MARKER]), st.sampled_from([None, 1, 2]))
    def test_streams_that_can_be_continued(
        self, data: bytes, at: list[int], marker: bytes | None, last: int | None
    ) -> None:
        self.same(lambda: ResumableStream(StreamProgress(last), marker), data, at)


if __name__ == "__main__":
    unittest.main()
