"""Reads recorded days (docs/DESIGN.md section 17)."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Iterator, Sequence

import msgspec

from ..forward.recording import RecordedCall

MAX_LINE_BYTES = 64 * 1024
"""Longest line that is read as a call; longer ones count as bad lines."""


class DayCall(msgspec.Struct, frozen=True):
    """One recorded call, with its time on the clock that all files share."""

    at: float
    """Seconds from the start of the day, which all files share."""
    source: int
    """Index of the file, which stands for the router that took the call."""
    call: RecordedCall


class DayStart(msgspec.Struct, frozen=True):
    """An optional line that places a file on the common clock; files without one begin at the start of the day."""

    began: float
    """Start of the recording, in seconds since 1970."""


class DayReader:
    """Iterates over the calls of several routers' files, merged by time and read lazily.

    A line that is not a call is counted in ``bad_lines`` and skipped. If times go back by more than 60 s within a
    file, its router was restarted, and the calls that follow are placed after the earlier ones.
    """

    def __init__(self, files: Sequence[Iterable[bytes]]) -> None:
        self._files = files
        self.bad_lines = 0
        self._call = msgspec.json.Decoder(RecordedCall)
        self._start = msgspec.json.Decoder(DayStart)

    def __iter__(self) -> Iterator[DayCall]:
        streams = [self._read(number, lines) for number, lines in enumerate(self._files)]
        first = [next(stream, None) for stream in streams]
        begins = [began for call, began in (pair for pair in first if pair is not None) if began is not None]
        earliest = min(begins, default=0.0)

        def shifted(
            stream: Iterator[tuple[DayCall, float | None]], head: tuple[DayCall, float | None] | None
        ) -> Iterator[DayCall]:
            if head is None:
                return
            yield _on_common_clock(head, earliest)
            for pair in stream:
                yield _on_common_clock(pair, earliest)

        merged = heapq.merge(
            *(shifted(stream, head) for stream, head in zip(streams, first, strict=True)),
            key=lambda call: (call.at, call.source),
        )
        yield from merged

    def _read(self, number: int, lines: Iterable[bytes]) -> Iterator[tuple[DayCall, float | None]]:
        began: float | None = None
        shift = last = 0.0
        for line in lines:
            if not line.strip():
                continue
            try:
                if len(line) > MAX_LINE_BYTES:
                    raise msgspec.ValidationError("too long")
                call = self._call.decode(line)
            except msgspec.MsgspecError:
                try:
                    began = self._start.decode(line).began
                    shift = last = 0.0
                except msgspec.MsgspecError:
                    self.bad_lines += 1
                continue
            if call.at + shift < last - 60.0:
                shift = last
            # A call is written when it ends, so that lines are slightly out of order.
            last = max(last, call.at + shift)
            yield DayCall(call.at + shift, number, call), began


def _on_common_clock(pair: tuple[DayCall, float | None], earliest: float) -> DayCall:
    call, began = pair
    return call if began is None else msgspec.structs.replace(call, at=call.at + began - earliest)


def sort_by_time(calls: Iterable[DayCall], max_waiting: int = 50_000) -> Iterator[DayCall]:
    """Sorts calls by time with a buffer of ``max_waiting`` calls.

    Calls are recorded when they end, so that the input is not in the order of their start.
    """
    waiting: list[tuple[float, int, DayCall]] = []
    for number, call in enumerate(calls):
        heapq.heappush(waiting, (call.at, number, call))
        if len(waiting) > max_waiting:
            yield heapq.heappop(waiting)[2]
    while waiting:
        yield heapq.heappop(waiting)[2]
