"""Interfaces of the replicated control state for the slices that store data in it (docs/DESIGN.md section 7)."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Literal, Protocol, runtime_checkable

import msgspec
from returns.result import Result

from ..bundle.model import BundleDelta, Manifest
from ..identifiers import Address, BundleVersion, Epoch, Incarnation
from ..transport.frames import Identity
from .errors import CommandFailure


class Applier(Protocol):
    """A state machine stored in the control journal: bundles with order outcomes, the at-most-once ledger, roll-outs.

    ``decide`` runs on the primary only, in one task, against the state with all earlier records
    applied. The record that it returns is applied at once; its reply is sent to the requester only after
    the record has been synced here and on the backups. ``apply`` must be deterministic, because the
    backups and a restarted process replay the same records.
    """

    kind: str
    command_type: Any
    """The class of its commands, or a union of classes; ``Any`` because msgspec decodes to whatever this names."""

    def decide(self, command: msgspec.Struct) -> tuple[bytes | None, msgspec.Struct]:
        """Returns the record to write (None: nothing to write) and the reply to send once the record is durable."""
        ...

    def apply(self, record: bytes) -> None:
        """Applies a record that ``decide`` returned here or on the primary."""
        ...

    def snapshot(self) -> bytes:
        """Returns the complete state, encoded."""
        ...

    def restore(self, snapshot: bytes | None) -> None:
        """Replaces the complete state; None empties it."""
        ...


@runtime_checkable
class PreparingApplier(Protocol):
    """An applier that prepares large commands before they are decided, in steps between which other tasks run."""

    async def prepare(self, command: msgspec.Struct) -> None:
        """Changes nothing that is replicated. ``decide`` gives the same result without it, but blocks for longer."""
        ...


class ViewReport(msgspec.Struct, frozen=True, kw_only=True):
    """For the health report: who is primary and backup, and whether the configured failures are tolerated now."""

    epoch: Epoch
    own_role: Literal["primary", "backup", "witness", "spare", "candidate", "relay"]
    primary: Incarnation | None
    backups: tuple[Incarnation, ...]
    members: tuple[Incarnation, ...]
    accepts_orders: bool
    complete: bool
    """There are as many members as configured, all of them live, and as many backups as configured, in sync.

    Then as many simultaneous failures as configured (``failures_tolerated``) can be survived.
    """
    detail: str = ""


class ControlCore(Protocol):
    """The part of one control daemon in the control core."""

    def leads(self) -> bool:
        """Whether this daemon is primary and a majority of the members confirmed it recently."""
        ...

    def epoch(self) -> Epoch:
        """Returns the highest epoch that this daemon knows of; singleton roles are performed under it."""
        ...

    def primary_address(self) -> Address | None:
        """Returns the internal address of the presumed primary."""
        ...

    async def decide(self, kind: str, command: msgspec.Struct) -> Result[msgspec.Struct, CommandFailure]:
        """Runs the command in the applier of that kind.

        Returns Success only when the result is durable on the disks of the primary and all backups of the view.
        """
        ...

    async def confirm_leadership(self) -> bool:
        """Whether a majority confirmed, in an exchange started after this call, that no other daemon leads."""
        ...

    def report(self) -> ViewReport:
        """Returns what the health report says about the view and the role of this daemon."""
        ...

    def on_change(self, callback: Callable[[], None]) -> None:
        """Calls back after each change of the known view, of the own role or of the state of the disk."""
        ...


class BundleSource(Protocol):
    """The acknowledged bundles on the primary and on the backups, as distribution reads them."""

    def latest(self) -> Manifest | None:
        """Returns the manifest of the latest version that is durable on the primary and the backups."""
        ...

    def delta_since(self, version: BundleVersion) -> BundleDelta | None:
        """Returns None when ``version`` is already the latest one, or when there is no bundle."""
        ...

    def on_committed(self, callback: Callable[[Manifest], None]) -> None:
        """Calls back with the manifest of each version that becomes durable."""
        ...


__all__ = [
    "Applier",
    "BundleSource",
    "ControlCore",
    "Identity",
    "PreparingApplier",
    "ViewReport",
]
