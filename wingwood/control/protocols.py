"""The replicated control state, as the slices that keep something in it see it (docs/DESIGN.md section 7)."""

from __future__ import annotations

from collections.abc import Callable
from typing import Literal, Protocol, runtime_checkable

import msgspec
from returns.result import Result

from ..bundle.model import BundleDelta, EditionChange, Manifest, Order, OrderOutcome
from ..identifiers import Address, BundleVersion, Epoch, Incarnation, OrderId
from ..transport.frames import Identity


class Applier(Protocol):
    """State kept in the control journal: bundles with order outcomes; the at-most-once ledger; roll-outs.

    ``decide`` runs on the primary only, in one task, against the state with all earlier records
    applied; the record it returns is applied at once, and its reply is given to the asker only after
    the record is synced here and on the backup. ``apply`` must be deterministic: the backup and a
    restart replay the same records.
    """

    kind: str

    def decide(self, command: msgspec.Struct) -> tuple[bytes | None, msgspec.Struct]:
        """Record to write (None: nothing to write) and the reply for when it is durable."""
        ...

    def apply(self, record: bytes) -> None: ...

    def snapshot(self) -> bytes: ...

    def restore(self, snapshot: bytes | None) -> None:
        """Takes the place of all state; None: empty."""
        ...


@runtime_checkable
class PreparingApplier(Protocol):
    """An applier whose large commands are worked on before their turn, in steps that let others run."""

    async def prepare(self, command: msgspec.Struct) -> None:
        """Changes nothing that is replicated; ``decide`` comes to the same without it, but holds up more."""
        ...


class NotDecided(msgspec.Struct, frozen=True):
    """``not-leading``: nothing happened here, ask ``primary``. ``unknown``: it may or may not become durable."""

    kind: Literal["not-leading", "unknown", "busy"]
    primary: Address | None = None
    detail: str = ""


class ViewReport(msgspec.Struct, frozen=True, kw_only=True):
    """For health: who leads, who backs up, whether the wanted losses could be borne now."""

    epoch: Epoch
    own_role: Literal["primary", "backup", "witness", "spare", "candidate", "relay"]
    primary: Incarnation | None
    backups: tuple[Incarnation, ...]
    members: tuple[Incarnation, ...]
    accepts_orders: bool
    complete: bool
    """All members live, as many as wanted, with the wanted backups in sync: the wanted losses may be borne."""
    detail: str = ""


class ControlCore(Protocol):
    """One control daemon's part in the control core."""

    def leads(self) -> bool: ...

    def epoch(self) -> Epoch:
        """Newest epoch of which this daemon knows; singleton duties are done under it."""
        ...

    def primary_address(self) -> Address | None:
        """Internal address of the presumed primary."""
        ...

    async def decide(self, kind: str, command: msgspec.Struct) -> Result[msgspec.Struct, NotDecided]:
        """Runs the command in the applier of that kind; Success only when durable on two disks under this view."""
        ...

    async def prove_leadership(self) -> bool:
        """Question and answer with one other member, begun after this call: nobody else leads as of now."""
        ...

    def report(self) -> ViewReport: ...

    def on_change(self, callback: Callable[[], None]) -> None: ...


class BundleSource(Protocol):
    """The acknowledged bundles on the primary and the backup, for distribution."""

    def latest(self) -> Manifest | None:
        """Newest version that is durable on two disks."""
        ...

    def delta_since(self, version: BundleVersion) -> BundleDelta | None:
        """None when ``version`` is the newest already, or there is none."""
        ...

    def on_committed(self, callback: Callable[[Manifest], None]) -> None: ...


class SubmitOrder(msgspec.Struct, frozen=True, tag=True):
    """Command: an operator's order, from any daemon. Reply: OrderOutcome."""

    order: Order


class SubmitEdition(msgspec.Struct, frozen=True, tag=True):
    """Command: an order on the operator's own numbers, from any daemon. Reply: OrderOutcome."""

    change: EditionChange


class FindEdition(msgspec.Struct, frozen=True, tag=True):
    """Command: the newest edition, and whether this order (empty: none) was accepted. Reply: EditionStanding.

    As any command it is answered by a primary that its backup confirms, so nothing acknowledged before it is missing.
    """

    order: OrderId = OrderId("")


BundleCommand = SubmitOrder | SubmitEdition | FindEdition
"""What the applier of kind ``bundle`` takes."""


__all__ = [
    "Applier",
    "BundleCommand",
    "BundleSource",
    "ControlCore",
    "FindEdition",
    "Identity",
    "NotDecided",
    "OrderOutcome",
    "PreparingApplier",
    "SubmitEdition",
    "SubmitOrder",
    "ViewReport",
]
