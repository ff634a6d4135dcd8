"""Reads the fields of a bench report that describe lost worth (``fleetbench run SITE DAY --report FILE``).

Other fields of the file are ignored. Times are seconds from the start of traffic; worth is a share of the credit that
was owed.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import msgspec
from returns.result import Failure, Result, Success


class ScorePart(NamedTuple):
    """One part of the day's worth with its weight, for example its worst windows. Weights add up to 1."""

    name: str
    weight: float
    worth: float


class Price(NamedTuple):
    """What the day paid for a resource or a fault: the amount in its own unit, and the worth that was deducted."""

    name: str
    amount: float
    worth: float


class Requests(msgspec.Struct, frozen=True):
    """Counts by outcome of the requests of one kind, or of those sent in one window."""

    name: str
    n: int
    in_aim: int
    late: int
    refused: int
    failed: int
    not_owed: int
    worth: float

    @property
    def owed(self) -> int:
        return self.n - self.not_owed


class Event(msgspec.Struct, frozen=True):
    """A disruption or planned work during the day; ``kind`` names it."""

    at_s: float
    to_s: float
    kind: str
    planned: bool = False


class DayReport(msgspec.Struct, frozen=True):
    """The report of one simulated day."""

    worth: float = msgspec.field(name="G")
    parts: tuple[ScorePart, ...]
    prices: tuple[Price, ...]
    classes: tuple[Requests, ...]
    windows: tuple[Requests, ...]
    """Requests by window; the name of a window is the second at which it begins."""
    events: tuple[Event, ...] = ()
    breaks: dict[str, int] = msgspec.field(default_factory=dict)
    """Number of violations by rule."""
    ends: dict[str, int] = msgspec.field(default_factory=dict)
    """Number of attempts by HTTP status, or by what happened to the connection."""


class UnreadableReport(msgspec.Struct, frozen=True):
    """Says why a report file could not be read."""

    file: str
    reason: str

    def __str__(self) -> str:
        return f"{self.file}: {self.reason}"


def read_report(file: Path) -> Result[DayReport, UnreadableReport]:
    """Reads a report file; fields that are not listed in ``DayReport`` are ignored."""
    try:
        return Success(msgspec.json.decode(file.read_bytes(), type=DayReport))
    except (OSError, msgspec.DecodeError) as problem:
        return Failure(UnreadableReport(str(file), str(problem)))
