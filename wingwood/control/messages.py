"""Messages between control daemons, and from any daemon to them (docs/DESIGN.md sections 7.1 to 7.4)."""

from __future__ import annotations

from typing import ClassVar

import msgspec

from ..identifiers import Address, Epoch, Incarnation, Seconds
from .errors import CommandFailure
from .views import View, ViewMember

# Messages between control daemons. `to` and `by` are incarnations, so that a message meant for a machine, or
# answered by one, has no effect after another machine has replaced it at the same address.


class ControlStatusQuery(msgspec.Struct, frozen=True):
    """Asks any control daemon for its status; the daemon's state does not change."""

    WIRE_NAME: ClassVar[str] = "ControlCanvass"


class ControlStatus(msgspec.Struct, frozen=True):
    """A control daemon's own view of the cluster."""

    WIRE_NAME: ClassVar[str] = "ControlStanding"

    by: Incarnation
    member: ViewMember = msgspec.field(name="seat")
    prepared_epoch: Epoch = msgspec.field(name="promised")
    view: View | None
    """The latest view that it knows of, whether or not it accepted the view itself."""
    hears_primary: bool
    """Whether it received a message of the primary recently."""
    empty: bool
    """It never accepted a view, prepared no epoch except to form the first view, and never stored state."""
    knows_history: bool
    """It knows a daemon that has seen a bundle or an epoch, so a fleet has existed before."""


class ControlPrepare(msgspec.Struct, frozen=True):
    """A candidate's request to prepare this epoch for it, and to accept nothing under a lower epoch."""

    WIRE_NAME: ClassVar[str] = "ControlPromise"

    to: Incarnation
    candidate: Incarnation
    epoch: Epoch
    forming: bool = False
    """Whether the candidate forms the first view of a fleet."""


class ControlPrepared(msgspec.Struct, frozen=True):
    """Answer to ``ControlPrepare``: whether the epoch was prepared for the candidate, and what the acceptor has."""

    WIRE_NAME: ClassVar[str] = "ControlGrant"

    by: Incarnation
    granted: bool
    prepared_epoch: Epoch = msgspec.field(name="promised")
    view: View | None = None
    """The latest view that it accepted itself."""
    sequence: int = 0
    empty: bool = False


class ControlAccept(msgspec.Struct, frozen=True):
    """A primary's request to accept its view."""

    to: Incarnation
    view: View


class ControlAccepted(msgspec.Struct, frozen=True):
    """Answer to ``ControlAccept``."""

    by: Incarnation
    accepted: bool
    prepared_epoch: Epoch = msgspec.field(name="promised")
    sequence: int = 0
    """The latest batch that it has journaled; a backup counts only if it has as many as the primary."""


class ControlHeartbeat(msgspec.Struct, frozen=True, array_like=True):
    """Sent by the primary of the view of that epoch.

    A member that has not accepted the view answers so, and is then sent the view.
    """

    to: Incarnation
    primary: Incarnation
    epoch: Epoch
    committed: int


class ControlHeartbeatAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answer to ``ControlHeartbeat``."""

    by: Incarnation
    accepted: bool
    """It has accepted the view of that epoch and has prepared no higher epoch."""
    prepared_epoch: Epoch = msgspec.field(name="promised")
    healthy: bool
    """Its journal accepts writes."""
    knows_chosen: bool = msgspec.field(name="settled", default=True)
    """It knows that the view is chosen, so as a candidate it would not ask the former members."""
    unpacks: bool = False
    """Whether it accepts a packed (compressed) state; daemons older than packing leave it out."""


class ControlReplicate(msgspec.Struct, frozen=True):
    """One batch to journal. An empty ``entry`` only asks whether the backup still follows this epoch."""

    to: Incarnation
    epoch: Epoch
    before: int
    """The sequence of the latest batch that the backup must already have."""
    committed: int
    entry: bytes


class ControlReplicated(msgspec.Struct, frozen=True):
    """Answer to a batch or a chunk of state; when ``synced`` is False, ``reason`` says why."""

    by: Incarnation
    synced: bool
    prepared_epoch: Epoch = msgspec.field(name="promised")
    reason: str = ""


class ControlCommitted(msgspec.Struct, frozen=True):
    """Posted to a backup: all batches up to ``committed`` are on the disks of the primary and all backups."""

    to: Incarnation
    epoch: Epoch
    committed: int


class ControlStateChunk(msgspec.Struct, frozen=True):
    """One chunk of an encoded ``SnapshotEntry``, packed or not.

    The last chunk is answered only after the complete state has been synced to disk.
    """

    WIRE_NAME: ClassVar[str] = "ControlStatePiece"

    to: Incarnation
    sender: Incarnation
    epoch: Epoch
    transfer: int
    index: int
    count: int
    data: bytes
    packed: bool = False
    """Whether the chunks, joined, are a zlib stream."""


class ControlConfirm(msgspec.Struct, frozen=True):
    """A primary's question whether the member has prepared nothing above its epoch; confirms leadership for reads."""

    to: Incarnation
    epoch: Epoch


class ControlConfirmed(msgspec.Struct, frozen=True):
    """Answer to ``ControlConfirm``."""

    by: Incarnation
    confirmed: bool = msgspec.field(name="holds")
    """The member has prepared nothing above the epoch asked about."""
    prepared_epoch: Epoch = msgspec.field(name="promised")


class ControlLeadershipReleased(msgspec.Struct, frozen=True):
    """Posted by a primary that no longer leads, for instance after a disk fault, a stop or a restart.

    The members that receive it need not wait for the timeout of the primary before they fail over.
    """

    WIRE_NAME: ClassVar[str] = "ControlGiveWay"

    epoch: Epoch
    primary: Incarnation


class ControlJoin(msgspec.Struct, frozen=True):
    """Sent every half second by a control daemon that is not a member of the latest view it knows."""

    member: ViewMember = msgspec.field(name="seat")


class ControlJoined(msgspec.Struct, frozen=True):
    """Answer to ``ControlJoin``."""

    view: View | None
    """The latest view known to the answering daemon; the joining daemon asks the primary of this view next."""


# Messages from any daemon.


class ControlCommand(msgspec.Struct, frozen=True):
    """A command for an applier, encoded in msgpack. ``hops`` is how many times it may still be forwarded."""

    kind: str
    command: bytes
    budget: Seconds
    hops: int = 0


class ControlDecision(msgspec.Struct, frozen=True):
    """The applier's ``reply`` in msgpack, or a ``fault``; ``primary`` is the address to ask next time."""

    reply: bytes | None = None
    fault: CommandFailure | None = None
    primary: Address | None = None


class ControlLeaderQuery(msgspec.Struct, frozen=True):
    """Sent by any daemon that looks for the primary."""

    WIRE_NAME: ClassVar[str] = "ControlWhoLeads"


class ControlLeader(msgspec.Struct, frozen=True):
    """The presumed primary, all known addresses of control daemons, and the epoch of this knowledge."""

    primary: Address | None
    addresses: tuple[Address, ...]
    epoch: Epoch
