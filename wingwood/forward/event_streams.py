"""Bodies of answers as they pass: what goes on to the caller, and whether it is whole (docs/DESIGN.md section 12.5).

Events are those of ``text/event-stream`` (WHATWG HTML, server-sent events): lines, ended by an empty one.
"""

from __future__ import annotations

import re
from typing import Final, Protocol

import msgspec

from ..context.http_exchange import Framing
from .protocols import StreamProgress

LAST_EVENT_ID: Final = "Last-Event-ID"
MAX_EVENT_BYTES: Final = 1024 * 1024
"""Longest event that is held until it is whole; a stream with a longer one can't be continued elsewhere."""
_MAX_LINE_PREFIX_BYTES: Final = 64
"""Longest event line of which the content matters: ``data: [DONE]``."""

_EVENT_ID = re.compile(r"[0-9]{1,18}")
_ID_LINE = re.compile(rb"^id: ?([0-9]{1,18})\r?$", re.MULTILINE)
_DATA_LINE = re.compile(rb"^data(?::|\r?$)", re.MULTILINE)
_EVENT_END = re.compile(rb"\n\r?\n")
_FILLED_EVENT_END = re.compile(rb"[^\r\n]\r?\n\r?\n")
_MAX_EVENT_END_BYTES: Final = 5
"""Longest match of that."""


def parse_event_id(value: str | None) -> int | None:
    """The id of an event, where it is a whole number."""
    value = (value or "").strip()
    return int(value) if _EVENT_ID.fullmatch(value) else None


class BodyReader(Protocol):
    """Follows one body of a worker."""

    @property
    def events(self) -> int:
        """Data events that have passed, without an end marker."""
        ...

    @property
    def ended(self) -> bool:
        """The end marker has come; what follows is dropped."""
        ...

    def feed(self, chunk: bytes) -> bytes:
        """What of the body goes to the caller now."""
        ...

    def remainder(self) -> bytes:
        """What is still held, once the framing has ended cleanly."""
        ...

    def is_complete(self, framing: Framing) -> bool:
        """Whether the body is whole now that its framing has ended cleanly."""
        ...


class PlainBody:
    """Protocol BodyReader for answers that are no streams: their framing alone counts."""

    events = 0
    ended = False

    def feed(self, chunk: bytes) -> bytes:
        return chunk

    def remainder(self) -> bytes:
        return b""

    def is_complete(self, framing: Framing) -> bool:
        return True


class MarkedStream:
    """Protocol BodyReader for streams that end with a marker's event."""

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
    """Protocol BodyReader for streams that end with their framing. Pieces pass as they come."""

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
        """The end of a connection may come from a worker that died, so it has to come behind a whole event."""
        return framing != "close" or self._tail.endswith((b"\n\n", b"\n\r\n"))


class ResumableStream:
    """Protocol BodyReader that passes whole events alone, so that another worker can continue after the last one.

    Ids of events are whole numbers that rise; an event whose id is not above the last one given is dropped.
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
        """``data`` is one or more whole events."""
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
        self._incomplete = data[start:] + self._incomplete  # A blank line more: it belongs to what follows.
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
    return data.count(b"\n\n") + data.count(b"\n\r\n")


def _last_event_end(data: bytes) -> int:
    """Behind the last whole event; 0 when there is none."""
    if data.endswith(b"\n\n"):
        return len(data)
    lf_end, crlf_end = data.rfind(b"\n\n"), data.rfind(b"\n\r\n")
    return max(lf_end + 2 if lf_end >= 0 else 0, crlf_end + 3 if crlf_end >= 0 else 0)


def _data_of(event: bytes) -> bytes:
    lines = [line[5:].strip() for line in event.split(b"\n") if line.startswith(b"data:")]
    return b"\n".join(lines)


class ScannedChunk(msgspec.Struct, frozen=True):
    forward: bytes
    """What goes to the caller: the piece, up to the end of the end marker's event."""
    events: int
    """Data events that ended in it, without the end marker."""


class EventScanner:
    """Follows a stream of events as its pieces pass: counts them, finds the end marker and cuts what trails it.

    Lines may end in LF or CRLF and may be split over pieces anywhere; no more than 64 bytes are kept.
    """

    def __init__(self, marker: bytes) -> None:
        self._marker = marker
        self.ended = False
        """The end marker's event is complete."""
        self.events = 0
        self._line = b""
        """Start of the line under way, at most ``_MAX_LINE_PREFIX_BYTES``."""
        self._line_length = 0
        self._has_data = False
        self._is_marker = False

    def feed(self, chunk: bytes) -> ScannedChunk:
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
        """The common case, seen without looking at each line: exactly one event of one short or long data line."""
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
