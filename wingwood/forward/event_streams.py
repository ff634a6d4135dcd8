"""Readers of response bodies: what is sent to the caller, and whether a body is complete (docs/DESIGN.md section 12.5).

Events are those of ``text/event-stream`` (WHATWG HTML, server-sent events): lines up to an empty one.
"""

from __future__ import annotations

import re
from typing import Final, Protocol

from ..context.protocols import Framing

_MAX_LINE_PREFIX_BYTES: Final = 64
"""How much of a line is stored: more than the longest line whose content matters, ``data: [DONE]``."""
_FILLED_EVENT_END = re.compile(rb"[^\r\n]\r?\n\r?\n")
_MAX_EVENT_END_BYTES: Final = 5
"""Length of the longest match of ``_FILLED_EVENT_END``."""


class BodyReader(Protocol):
    """Reads the body of one worker's response chunk by chunk."""

    @property
    def events(self) -> int:
        """Returns how many data events have passed, not counting the end marker."""
        ...

    @property
    def ended(self) -> bool:
        """Returns whether the end marker was received; data after it is dropped."""
        ...

    def feed(self, chunk: bytes) -> bytes:
        """Takes the next chunk and returns the data that is to be sent to the caller now."""
        ...

    def remainder(self) -> bytes:
        """Returns the data that is still buffered; called once the framing has ended cleanly."""
        ...

    def is_complete(self, framing: Framing, /) -> bool:
        """Returns whether the body is complete, given that its framing has ended cleanly."""
        ...


class PlainBody:
    """Implements ``BodyReader`` for responses that are no streams: they are complete when their framing is."""

    events = 0
    ended = False

    def feed(self, chunk: bytes) -> bytes:
        """Returns the chunk unchanged."""
        return chunk

    def remainder(self) -> bytes:
        """Returns nothing."""
        return b""

    def is_complete(self, _framing: Framing) -> bool:
        """Returns True: the framing alone shows the end."""
        return True


class StreamWithEndMarker:
    """Implements ``BodyReader`` for streams that end with an event that holds the end marker.

    Chunks are passed on as they arrive. Lines may end in LF or CRLF, and chunks may split them anywhere; at most 64
    bytes of a line are stored.
    """

    def __init__(self, marker: bytes) -> None:
        self._marker = marker
        self.ended = False
        """Whether the end marker's event is complete."""
        self.events = 0
        """Number of data events that have ended, not counting the end marker."""
        self._line = b""
        """The first ``_MAX_LINE_PREFIX_BYTES`` of the current line."""
        self._line_length = 0
        self._has_data = False
        self._is_marker = False

    def feed(self, chunk: bytes) -> bytes:
        """Counts the events that end in the chunk, and returns it up to the end of the end marker's event."""
        if self._is_single_event(chunk):
            self.events += 1
            return chunk
        start = 0
        while not self.ended:
            end = chunk.find(b"\n", start)
            if end < 0:
                self._extend_line(chunk[start : start + _MAX_LINE_PREFIX_BYTES], len(chunk) - start)
                return chunk
            self._extend_line(chunk[start : min(end, start + _MAX_LINE_PREFIX_BYTES)], end - start)
            self._end_line()
            start = end + 1
        return chunk[:start]

    def remainder(self) -> bytes:
        """Returns nothing."""
        return b""

    def is_complete(self, _framing: Framing) -> bool:
        """Returns whether the end marker was received."""
        return self.ended

    def _is_single_event(self, chunk: bytes) -> bool:
        """Returns whether the chunk is one event with one data line, the common case, without looking at each line."""
        return (
            not (self._line_length or self._has_data or self.ended)
            and chunk.startswith(b"data:")
            and chunk.endswith(b"\n\n")
            and chunk.count(b"\n") == 2
            and self._marker not in chunk
        )

    def _extend_line(self, part: bytes, length: int) -> None:
        if len(self._line) < _MAX_LINE_PREFIX_BYTES:
            self._line = (self._line + part)[:_MAX_LINE_PREFIX_BYTES]
        self._line_length += length

    def _end_line(self) -> None:
        line = self._line.removesuffix(b"\r") if self._line_length <= _MAX_LINE_PREFIX_BYTES else self._long_line()
        self._line, self._line_length = b"", 0
        if not line:
            if self._has_data:
                if self._is_marker:
                    self.ended = True
                else:
                    self.events += 1
            self._has_data = self._is_marker = False
        elif line.startswith(b"data:"):
            self._is_marker = not self._has_data and line[5:].strip() == self._marker
            self._has_data = True

    def _long_line(self) -> bytes:
        """Returns a stand-in for a line of which only the start was stored: it is no end marker."""
        return b"data:long" if self._line.startswith(b"data:") else b"other"


class StreamWithoutEndMarker:
    """Implements ``BodyReader`` for streams without end marker; chunks are passed on as they arrive."""

    ended = False

    def __init__(self) -> None:
        self.events = 0
        self._tail = b"\n\n"

    def feed(self, chunk: bytes) -> bytes:
        """Counts the events that end in the chunk, and returns it unchanged."""
        if chunk:
            window = self._tail + chunk
            self.events += len(_FILLED_EVENT_END.findall(window)) - len(_FILLED_EVENT_END.findall(self._tail))
            self._tail = window[-_MAX_EVENT_END_BYTES:]
        return chunk

    def remainder(self) -> bytes:
        """Returns nothing."""
        return b""

    def is_complete(self, framing: Framing) -> bool:
        """Returns whether the stream is complete.

        A connection also ends when the worker dies, so an end by closing counts only after a complete event.
        """
        return framing != "close" or self._tail.endswith((b"\n\n", b"\n\r\n"))
