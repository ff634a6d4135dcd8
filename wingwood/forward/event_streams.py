"""Readers of answers' bodies: what is sent to the caller, and whether a body is complete (docs/DESIGN.md section 12.5).

Events are those of ``text/event-stream`` (WHATWG HTML, server-sent events): lines up to an empty one.
"""

from __future__ import annotations

import re
from typing import Final, Protocol

import msgspec

from ..context.http_exchange import Framing
from .protocols import StreamProgress

LAST_EVENT_ID: Final = "Last-Event-ID"
MAX_EVENT_BYTES: Final = 1024 * 1024
"""Longest event that is held until it is complete; a stream with a longer one can't be resumed on another worker."""
_MAX_LINE_PREFIX_BYTES: Final = 64
"""How much of a line is stored: more than the longest line whose content matters, ``data: [DONE]``."""

_EVENT_ID = re.compile(r"[0-9]{1,18}")
_ID_LINE = re.compile(rb"^id: ?([0-9]{1,18})\r?$", re.MULTILINE)
_DATA_LINE = re.compile(rb"^data(?::|\r?$)", re.MULTILINE)
_EVENT_END = re.compile(rb"\n\r?\n")
_FILLED_EVENT_END = re.compile(rb"[^\r\n]\r?\n\r?\n")
_MAX_EVENT_END_BYTES: Final = 5
"""Length of the longest match of ``_FILLED_EVENT_END``."""


def parse_event_id(value: str | None) -> int | None:
    """Returns the id of an event if it is a decimal number of at most 18 digits, else None."""
    value = (value or "").strip()
    return int(value) if _EVENT_ID.fullmatch(value) else None


class BodyReader(Protocol):
    """Reads the body of one worker's answer chunk by chunk."""

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
        """Returns the data that is still held; called once the framing has ended cleanly."""
        ...

    def is_complete(self, framing: Framing) -> bool:
        """Returns whether the body is complete, given that its framing has ended cleanly."""
        ...


class PlainBody:
    """Implements ``BodyReader`` for answers that are no streams: they are complete when their framing is."""

    events = 0
    ended = False

    def feed(self, chunk: bytes) -> bytes:
        return chunk

    def remainder(self) -> bytes:
        return b""

    def is_complete(self, framing: Framing) -> bool:
        return True


class MarkedStream:
    """Implements ``BodyReader`` for streams that end with an event that holds the end marker."""

    def __init__(self, marker: bytes) -> None:
        self._scanner = EventScanner(marker)

    @property
    def events(self) -> int:
        return self._scanner.events

    @property
    def ended(self) -> bool:
        return self._scanner.ended

    def feed(self, chunk: bytes) -> bytes:
        return self._scanner.feed(chunk).forward

    def remainder(self) -> bytes:
        return b""

    def is_complete(self, framing: Framing) -> bool:
        return self._scanner.ended


class UnmarkedStream:
    """Implements ``BodyReader`` for streams without end marker; chunks are passed on as they arrive."""

    ended = False

    def __init__(self) -> None:
        self.events = 0
        self._tail = b"\n\n"

    def feed(self, chunk: bytes) -> bytes:
        if chunk:
            window = self._tail + chunk
            self.events += len(_FILLED_EVENT_END.findall(window)) - len(_FILLED_EVENT_END.findall(self._tail))
            self._tail = window[-_MAX_EVENT_END_BYTES:]
        return chunk

    def remainder(self) -> bytes:
        return b""

    def is_complete(self, framing: Framing) -> bool:
        """Returns whether the stream is complete.

        A connection also ends when the worker dies, so an end by closing counts only after a complete event.
        """
        return framing != "close" or self._tail.endswith((b"\n\n", b"\n\r\n"))


class ResumableStream:
    """Implements ``BodyReader`` for resumable streams: only complete events pass, so another worker can continue.

    Ids of events are increasing integers; an event whose id is not above the id of the last one sent is dropped.
    """

    def __init__(self, progress: StreamProgress, marker: bytes | None) -> None:
        self.events = 0
        self.ended = False
        self._progress = progress
        self._marker = marker
        self._incomplete = b""

    def feed(self, chunk: bytes) -> bytes:
        if self.ended:
            return b""
        data = self._incomplete + chunk if self._incomplete else chunk
        end = _last_event_end(data)
        if end == len(data):
            self._incomplete = b""
            return self._select_events(data)
        self._incomplete = data[end:]
        passed = self._select_events(data[:end]) if end else b""
        if len(self._incomplete) > MAX_EVENT_BYTES:
            self._progress.can_resume = False
            passed, self._incomplete = passed + self._incomplete, b""
        return passed

    def remainder(self) -> bytes:
        held, self._incomplete = self._incomplete, b""
        return b"" if self.ended else held

    def is_complete(self, framing: Framing) -> bool:
        if self._marker is not None:
            return self.ended
        return framing != "close" or not self._incomplete.strip(b"\r\n")

    def _select_events(self, data: bytes) -> bytes:
        """Returns the events of ``data`` that go to the caller; ``data`` consists of complete events."""
        if self._marker is None or self._marker not in data:
            event_ids = [int(event_id) for event_id in _ID_LINE.findall(data)]
            if len(event_ids) == _event_ends(data) and self._ids_increase(event_ids):
                self._progress.last_event = event_ids[-1]
                self.events += len(event_ids)
                return data
        passed: list[bytes] = []
        start = 0
        for end in _EVENT_END.finditer(data):
            event, start = data[start : end.end()], end.end()
            if self._accepts(event):
                passed.append(event)
            if self.ended:
                break
        self._incomplete = data[start:] + self._incomplete  # An extra blank line belongs to the next event.
        return b"".join(passed)

    def _ids_increase(self, event_ids: list[int]) -> bool:
        last = self._progress.last_event
        for event_id in event_ids:
            if last is not None and event_id <= last:
                return False
            last = event_id
        return bool(event_ids)

    def _accepts(self, event: bytes) -> bool:
        if self._marker is not None and _data_of(event) == self._marker:
            self.ended = True
            return True
        event_ids = [int(event_id) for event_id in _ID_LINE.findall(event)]
        has_data = _DATA_LINE.search(event) is not None
        if event_ids:
            if not self._ids_increase(event_ids[-1:]):
                return False
            self._progress.last_event = event_ids[-1]
        elif has_data:
            self._progress.can_resume = False
        self.events += has_data
        return True


def _event_ends(data: bytes) -> int:
    """Returns the number of events that end in ``data``."""
    return data.count(b"\n\n") + data.count(b"\n\r\n")


def _last_event_end(data: bytes) -> int:
    """Returns the offset of the end of the last complete event; 0 when there is none."""
    if data.endswith(b"\n\n"):
        return len(data)
    lf_end, crlf_end = data.rfind(b"\n\n"), data.rfind(b"\n\r\n")
    return max(lf_end + 2 if lf_end >= 0 else 0, crlf_end + 3 if crlf_end >= 0 else 0)


def _data_of(event: bytes) -> bytes:
    """Returns the contents of the event's data lines, joined by line feeds."""
    lines = [line[5:].strip() for line in event.split(b"\n") if line.startswith(b"data:")]
    return b"\n".join(lines)


class ScannedChunk(msgspec.Struct, frozen=True):
    """What the scanner found in one chunk."""

    forward: bytes
    """The part of the chunk that goes to the caller: all up to the end of the end marker's event."""
    events: int
    """Number of data events that ended in the chunk, not counting the end marker."""


class EventScanner:
    """Scans a stream of events chunk by chunk: counts events, finds the end marker and drops the data after it.

    Lines may end in LF or CRLF, and chunks may split them anywhere; at most 64 bytes of a line are stored.
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

    def feed(self, chunk: bytes) -> ScannedChunk:
        """Scans the next chunk."""
        if self._is_single_event(chunk):
            self.events += 1
            return ScannedChunk(chunk, 1)
        before = self.events
        start = 0
        while not self.ended:
            end = chunk.find(b"\n", start)
            if end < 0:
                self._extend_line(chunk[start : start + _MAX_LINE_PREFIX_BYTES], len(chunk) - start)
                return ScannedChunk(chunk, self.events - before)
            self._extend_line(chunk[start : min(end, start + _MAX_LINE_PREFIX_BYTES)], end - start)
            self._end_line()
            start = end + 1
        return ScannedChunk(chunk[:start], self.events - before)

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
        line = (
            self._line if self._line_length <= _MAX_LINE_PREFIX_BYTES else b"data:long" if self._is_data() else b"other"
        )
        self._line, self._line_length = b"", 0
        line = line.removesuffix(b"\r")
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

    def _is_data(self) -> bool:
        return self._line.startswith(b"data:")
