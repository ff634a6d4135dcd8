"""The parts of a bench report that tell of lost worth (``fleetbench run SITE DAY --report FILE``).

Other fields of the file are passed over. Times are seconds from the start of traffic; worth is a share of what was
owed.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import msgspec
from returns.result import Failure, Result, Success


class ScorePart(NamedTuple):
    """One part of the day's worth, say the whole day or its worst windows, with its weight; weights sum to 1."""

    name: str
    weight: float
    worth: float


class Price(NamedTuple):
    """What the day paid for a resource or for a fault: its amount in its own unit, and the worth taken for it."""

    name: str
    amount: float
    worth: float


class Requests(msgspec.Struct, frozen=True):
    """How the requests of a kind, or those sent in one window, ended."""

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
    """A disruption or planned work, as it was played."""

    at_s: float
    to_s: float
    kind: str
    planned: bool = False


class DayReport(msgspec.Struct, frozen=True):
    worth: float = msgspec.field(name="G")
    parts: tuple[ScorePart, ...]
    prices: tuple[Price, ...]
    classes: tuple[Requests, ...]
    windows: tuple[Requests, ...]
    """Named by the second in which each begins."""
    events: tuple[Event, ...] = ()
    breaks: dict[str, int] = msgspec.field(default_factory=dict)
    ends: dict[str, int] = msgspec.field(default_factory=dict)
    """How tries ended, by status or by what happened to the connection."""


class UnreadableReport(msgspec.Struct, frozen=True):
    file: str
    reason: str

    def __str__(self) -> str:
        return f"{self.file}: {self.reason}"


def read_report(file: Path) -> Result[DayReport, UnreadableReport]:
    try:
        return Success(msgspec.json.decode(file.read_bytes(), type=DayReport))
    except (OSError, msgspec.DecodeError) as problem:
        return Failure(UnreadableReport(str(file), str(problem)))
