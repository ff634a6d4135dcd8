"""Entries of the control journal, as stored on disk (docs/DESIGN.md sections 7.1 and 7.5)."""

from __future__ import annotations

import msgspec

from ..identifiers import Epoch, Incarnation
from .views import PreparedEpoch, View


class InitializedEntry(msgspec.Struct, frozen=True, tag="founded", array_like=True):
    """The first entry of every journal."""

    incarnation: Incarnation


class PreparedEntry(msgspec.Struct, frozen=True, tag="promised", array_like=True):
    """An epoch that this daemon prepared; ``forming`` when the candidate forms the first view."""

    prepared: PreparedEpoch = msgspec.field(name="promise")
    forming: bool


class AcceptedEntry(msgspec.Struct, frozen=True, tag="accepted", array_like=True):
    """A view that this daemon accepted."""

    view: View


class StateRecord(msgspec.Struct, frozen=True, array_like=True):
    """A record for the applier of this kind."""

    kind: str
    record: bytes


class BatchEntry(msgspec.Struct, frozen=True, tag="batch", array_like=True):
    """The records of one batch; ``sequence`` counts batches from 1."""

    sequence: int
    epoch: Epoch
    records: tuple[StateRecord, ...]


class SnapshotEntry(msgspec.Struct, frozen=True, tag="snapshot", array_like=True):
    """The complete state after batch ``sequence``; it replaces all earlier entries."""

    sequence: int
    parts: dict[str, bytes]


class ProbeEntry(msgspec.Struct, frozen=True, tag="probe", array_like=True):
    """An entry without content, written to find out whether the disk accepts writes again."""


Entry = InitializedEntry | PreparedEntry | AcceptedEntry | BatchEntry | SnapshotEntry | ProbeEntry
"""Any entry of the control journal."""
