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
EVENT_BYTES: Final = 1024 * 1024
"""Longest event that is held until it is whole; a stream with a longer one can't be continued elsewhere."""
_FIELD_BYTES: Final = 64
"""Longest event line of which the content matters: ``data: [DONE]``."""

_NUMBER = re.compile(r"[0-9]{1,18}")
_ID_LINE = re.compile(rb"^id: ?([0-9]{1,18})\r?$", re.MULTILINE)
_DATA_LINE = re.compile(rb"^data(?::|\r?$)", re.MULTILINE)
_EVENT_END = re.compile(rb"\n\r?\n")
_FILLED_EVENT_END = re.compile(rb"[^\r\n]\r?\n\r?\n")
_END_BYTES: Final = 5
"""Longest match of that."""


def event_number(value: str | None) -> int | None:
    """The id of an event, where it is a whole number."""
    value = (value or "").strip()
    return int(value) if _NUMBER.fullmatch(value) else None


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

    def take(self, piece: bytes) -> bytes:
        """What of the body goes to the caller now."""
        ...

    def rest(self) -> bytes:
        """What is still held, once the framing has ended cleanly."""
        ...

    def is_whole(self, framing: Framing) -> bool:
        """Whether the body is whole now that its framing has ended cleanly."""
        ...


class PlainBody:
    """Protocol BodyReader for answers that are no streams: their framing alone counts."""

    events = 0
    ended = False

    def take(self, piece: bytes) -> bytes:
        return piece

    def rest(self) -> bytes:
        return b""

    def is_whole(self, framing: Framing) -> bool:
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

    def take(self, piece: bytes) -> bytes:
        return self._scanner.take(piece).forward

    def rest(self) -> bytes:
        return b""

    def is_whole(self, framing: Framing) -> bool:
        return self._scanner.ended


class UnmarkedStream:
    """Protocol BodyReader for streams that end with their framing. Pieces pass as they come."""

    ended = False

    def __init__(self) -> None:
        self.events = 0
        self._tail = b"\n\n"

    def take(self, piece: bytes) -> bytes:
        if piece:
            seen = self._tail + piece
            self.events += len(_FILLED_EVENT_END.findall(seen)) - len(_FILLED_EVENT_END.findall(self._tail))
            self._tail = seen[-_END_BYTES:]
        return piece

    def rest(self) -> bytes:
        return b""

    def is_whole(self, framing: Framing) -> bool:
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
        self._held = b""

    def take(self, piece: bytes) -> bytes:
        if self.ended:
            return b""
        data = self._held + piece if self._held else piece
        end = _last_event_end(data)
        if end == len(data):
            self._held = b""
            return self._pass(data)
        self._held = data[end:]
        passed = self._pass(data[:end]) if end else b""
        if len(self._held) > EVENT_BYTES:
            self._progress.known = False
            passed, self._held = passed + self._held, b""
        return passed

    def rest(self) -> bytes:
        held, self._held = self._held, b""
        return b"" if self.ended else held

    def is_whole(self, framing: Framing) -> bool:
        if self._marker is not None:
            return self.ended
        return framing != "close" or not self._held.strip(b"\r\n")

    def _pass(self, data: bytes) -> bytes:
        """``data`` is one or more whole events."""
        if self._marker is None or self._marker not in data:
            numbers = [int(number) for number in _ID_LINE.findall(data)]
            if len(numbers) == _event_ends(data) and self._rises(numbers):
                self._progress.last_event = numbers[-1]
                self.events += len(numbers)
                return data
        passed: list[bytes] = []
        start = 0
        for end in _EVENT_END.finditer(data):
            event, start = data[start : end.end()], end.end()
            if self._takes(event):
                passed.append(event)
            if self.ended:
                break
        self._held = data[start:] + self._held  # A blank line more: it belongs to what follows.
        return b"".join(passed)

    def _rises(self, numbers: list[int]) -> bool:
        last = self._progress.last_event
        for number in numbers:
            if last is not None and number <= last:
                return False
            last = number
        return bool(numbers)

    def _takes(self, event: bytes) -> bool:
        if self._marker is not None and _data_of(event) == self._marker:
            self.ended = True
            return True
        numbers = [int(number) for number in _ID_LINE.findall(event)]
        has_data = _DATA_LINE.search(event) is not None
        if numbers:
            if not self._rises(numbers[-1:]):
                return False
            self._progress.last_event = numbers[-1]
        elif has_data:
            self._progress.known = False
        self.events += has_data
        return True


def _event_ends(data: bytes) -> int:
    return data.count(b"\n\n") + data.count(b"\n\r\n")


def _last_event_end(data: bytes) -> int:
    """Behind the last whole event; 0 when there is none."""
    if data.endswith(b"\n\n"):
        return len(data)
    plain, windows = data.rfind(b"\n\n"), data.rfind(b"\n\r\n")
    return max(plain + 2 if plain >= 0 else 0, windows + 3 if windows >= 0 else 0)


def _data_of(event: bytes) -> bytes:
    lines = [line[5:].strip() for line in event.split(b"\n") if line.startswith(b"data:")]
    return b"\n".join(lines)


class Piece(msgspec.Struct, frozen=True):
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
        """Start of the line under way, at most ``_FIELD_BYTES``."""
        self._line_length = 0
        self._has_data = False
        self._is_marker = False

    def take(self, piece: bytes) -> Piece:
        if self._is_one_event(piece):
            self.events += 1
            return Piece(piece, 1)
        before = self.events
        start = 0
        while not self.ended:
            end = piece.find(b"\n", start)
            if end < 0:
                self._keep(piece[start : start + _FIELD_BYTES], len(piece) - start)
                return Piece(piece, self.events - before)
            self._keep(piece[start : min(end, start + _FIELD_BYTES)], end - start)
            self._end_line()
            start = end + 1
        return Piece(piece[:start], self.events - before)

    def _is_one_event(self, piece: bytes) -> bool:
        """The common case, seen without looking at each line: exactly one event of one short or long data line."""
        return (
            not (self._line_length or self._has_data or self.ended)
            and piece.startswith(b"data:")
            and piece.endswith(b"\n\n")
            and piece.count(b"\n") == 2
            and self._marker not in piece
        )

    def _keep(self, part: bytes, length: int) -> None:
        if len(self._line) < _FIELD_BYTES:
            self._line = (self._line + part)[:_FIELD_BYTES]
        self._line_length += length

    def _end_line(self) -> None:
        line = self._line if self._line_length <= _FIELD_BYTES else b"data:long" if self._is_data() else b"other"
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
