"""What the bundle state writes to the journal, and what it remembers of orders (docs/DESIGN.md section 5.4)."""

from __future__ import annotations

from typing import Literal

import msgspec

from ..identifiers import BundleVersion, OrderId, SliceName, WallTime
from .model import Manifest, OrderOutcome

RecordedOutcome = Literal["accepted", "conflict", "invalid"]
OUTCOMES: tuple[RecordedOutcome, ...] = ("accepted", "conflict", "invalid")
"""In snapshots outcomes stand by their place here."""

SliceVersion = tuple[BundleVersion, bytes | None]
"""The version that brought a slice's bytes; None: it removed the slice."""


class AcceptedRecord(msgspec.Struct, frozen=True, tag="accepted", array_like=True):
    """Journal record: the version and only what really differs from its base."""

    manifest: Manifest
    changed: dict[SliceName, bytes]
    removed: tuple[SliceName, ...]
    fingerprint: bytes


class RefusedRecord(msgspec.Struct, frozen=True, tag="refused", array_like=True):
    """Journal record: an order that its operator really signed, and why it was refused."""

    outcome: OrderOutcome
    fingerprint: bytes
    signer: str
    signed_at: WallTime


record_decoder = msgspec.msgpack.Decoder(AcceptedRecord | RefusedRecord)


class RememberedOrder(msgspec.Struct, array_like=True, gc=False):
    """An order's first outcome; for an accepted one also its line of the history."""

    order: OrderId
    fingerprint: bytes
    outcome: RecordedOutcome
    version: BundleVersion
    reason: str
    signer: str
    signed_at: WallTime
    changed: tuple[SliceName, ...] = ()
    removed: tuple[SliceName, ...] = ()

    def as_outcome(self) -> OrderOutcome:
        return OrderOutcome(order=self.order, outcome=self.outcome, version=self.version, reason=self.reason)


class HistoryEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One version as operators read it."""

    version: BundleVersion
    order: OrderId
    signer: str
    signed_at: WallTime
    changed: tuple[SliceName, ...]
    removed: tuple[SliceName, ...]


class StateSnapshot(msgspec.Struct, array_like=True):
    """The whole state. Signers and slice names stand once, and by their places in remembered orders."""

    version: BundleVersion
    manifests: list[Manifest]
    past: dict[SliceName, list[SliceVersion]]
    forgotten_removal: BundleVersion
    signers: list[str]
    names: list[SliceName]
    remembered: list[tuple[OrderId, bytes, int, BundleVersion, str, int, WallTime, list[int], list[int]]]
