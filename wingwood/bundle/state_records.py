"""Journal records and snapshots of the bundle state, and its decided orders (docs/DESIGN.md section 5.4)."""

from __future__ import annotations

from typing import Literal

import msgspec

from ..identifiers import BundleVersion, OrderId, SliceName, WallTime
from .model import Manifest, OrderOutcome

RecordedOutcome = Literal["accepted", "conflict", "invalid"]
OUTCOMES: tuple[RecordedOutcome, ...] = ("accepted", "conflict", "invalid")
"""Snapshots store an outcome as its index in this tuple, so its order must not change."""

SliceVersion = tuple[BundleVersion, bytes | None]
"""A version that changed a slice, and the content it gave the slice; None when it removed the slice."""


class AcceptedRecord(msgspec.Struct, frozen=True, tag="accepted", array_like=True):
    """Journal record of an accepted order: the manifest and the slices that actually differ from the base."""

    manifest: Manifest
    changed: dict[SliceName, bytes]
    removed: tuple[SliceName, ...]
    fingerprint: bytes


class RefusedRecord(msgspec.Struct, frozen=True, tag="refused", array_like=True):
    """Journal record of a refused order with a valid signature, and the reason for the refusal."""

    outcome: OrderOutcome
    fingerprint: bytes
    signer: str
    signed_at: WallTime


record_decoder: msgspec.msgpack.Decoder[AcceptedRecord | RefusedRecord] = msgspec.msgpack.Decoder(
    AcceptedRecord | RefusedRecord
)


class DecidedOrder(msgspec.Struct, array_like=True, gc=False):
    """First outcome of an order; for an accepted order also its entry in the history."""

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
        """Returns the outcome in the form in which it is sent to the operator."""
        return OrderOutcome(order=self.order, outcome=self.outcome, version=self.version, reason=self.reason)


PackedOrder = tuple[OrderId, bytes, int, BundleVersion, str, int, WallTime, list[int], list[int]]
"""A ``DecidedOrder`` in a snapshot: its fields in order, with the index in ``OUTCOMES``, ``signers`` and ``names``."""


class HistoryEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Entry of the history that operators read: one version and the slices that it changed."""

    version: BundleVersion
    order: OrderId
    signer: str
    signed_at: WallTime
    changed: tuple[SliceName, ...]
    removed: tuple[SliceName, ...]


class StateSnapshot(msgspec.Struct, array_like=True):
    """The complete bundle state. Decided orders refer to ``signers`` and slice ``names`` by index."""

    version: BundleVersion
    manifests: list[Manifest]
    past: dict[SliceName, list[SliceVersion]]
    dropped_removal: BundleVersion = msgspec.field(name="forgotten_removal")
    """See ``SliceHistory.dropped_removal``."""
    signers: list[str]
    names: list[SliceName]
    decided: list[PackedOrder] = msgspec.field(name="remembered")
