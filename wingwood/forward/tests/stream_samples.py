"""A stream of events, and the sizes of chunks into which tests split it."""

from __future__ import annotations

from ..event_streams import BodyReader

SIZES = (1, 2, 3, 7, 64, 1000)
EVENTS = (
    b"id: 1\ndata: a\n\n",
    b"weight: 2\nid:2\ndata: b\ndata: c\n\n",
    b": comment\n\n",
    b"id: 7\r\ndata: id: 3\r\n\r\n",
)
LINES = b"".join(EVENTS)
ENDS = [len(b"".join(EVENTS[:count])) for count in range(5)]


def fed(reader: BodyReader, stream: bytes, size: int) -> bytes:
    """Returns what the reader passes on of a stream in chunks of ``size`` bytes."""
    return b"".join(reader.feed(stream[at : at + size]) for at in range(0, len(stream), size))
