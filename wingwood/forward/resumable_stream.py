"""Streams that another worker can continue after an interruption (docs/DESIGN.md section 12.5)."""

from __future__ import annotations

import re
from typing import Final

from ..context.protocols import Framing
from .calls import StreamProgress

LAST_EVENT_ID: Final = "Last-Event-ID"
"""Header by which a caller or router states the last event that it has of an interrupted stream."""
MAX_EVENT_BYTES: Final = 1024 * 1024
"""Longest event that is buffered until it is complete; a stream with a longer one can't be resumed elsewhere."""

_EVENT_ID = re.compile(r"[0-9]{1,18}")
_ID_LINE = re.compile(rb"^id: ?([0-9]{1,18})\r?$", re.MULTILINE)
_DATA_LINE = re.compile(rb"^data(?::|\r?$)", re.MULTILINE)
_EVENT_END = re.compile(rb"\n\r?\n")


def parse_event_id(value: str | None) -> int | None:
    """Returns the id of an event if it is a decimal number of at most 18 digits, else None."""
    value = (value or "").strip()
    return int(value) if _EVENT_ID.fullmatch(value) else None


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
        """Returns the events that are complete with this chunk, without those that were sent before."""
        if self.ended:
            return b""
        data = self._incomplete + chunk if self._incomplete else chunk
        end = _last_event_end(data)
        if end == len(data):
            self._incomplete = b""
            return self._select_events(data)
        self._incomplete = data[end:]
        selected = self._select_events(data[:end]) if end else b""
        if len(self._incomplete) > MAX_EVENT_BYTES:
            self._progress.can_resume = False
            selected, self._incomplete = selected + self._incomplete, b""
        return selected

    def remainder(self) -> bytes:
        """Returns an event whose end was not received; nothing after the end marker."""
        remainder, self._incomplete = self._incomplete, b""
        return b"" if self.ended else remainder

    def is_complete(self, framing: Framing) -> bool:
        """Returns whether the end marker was received or, without one, whether no event is incomplete."""
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
        accepted: list[bytes] = []
        start = 0
        for end in _EVENT_END.finditer(data):
            event, start = data[start : end.end()], end.end()
            if self._accepts(event):
                accepted.append(event)
            if self.ended:
                break
        self._incomplete = data[start:] + self._incomplete  # An extra blank line belongs to the next event.
        return b"".join(accepted)

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
