"""Messages between control daemons, and entries of the control journal (docs/DESIGN.md sections 7.1 to 7.4)."""

from __future__ import annotations

from typing import ClassVar

import msgspec

from ..identifiers import Address, DaemonName, Epoch, Incarnation, Seconds
from .protocols import NotDecided


class ViewMember(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A member of a view: the identity and address of a control daemon."""

    WIRE_NAME: ClassVar[str] = "Seat"

    incarnation: Incarnation
    name: DaemonName
    address: Address


class View(msgspec.Struct, frozen=True, array_like=True):
    """Which daemons are members, primary and backups under an epoch (section 7.1)."""

    epoch: Epoch
    primary: Incarnation
    backups: tuple[Incarnation, ...]
    """Every backup syncs a record to disk before the record is acknowledged; empty right after a take-over."""
    members: tuple[ViewMember, ...]
    holders: tuple[Incarnation, ...]
    """Members whose disks hold every record that was ever acknowledged."""
    former: tuple[ViewMember, ...] = ()
    """Members of the previous view, if they differ and this view is not yet known to be chosen."""

    def member(self, incarnation: Incarnation | None) -> ViewMember | None:
        return next((member for member in self.members if member.incarnation == incarnation), None)

    def incarnations(self) -> tuple[Incarnation, ...]:
        return tuple(member.incarnation for member in self.members)

    def majority(self, who: set[Incarnation]) -> bool:
        return _majority(self.members, who)

    def quorum(self, who: set[Incarnation]) -> bool:
        """Whether ``who`` suffices to choose this view or to build on it.

        It needs a majority of the members and, while there are former members, a majority of those too.
        """
        return self.majority(who) and (not self.former or _majority(self.former, who))

    def voters(self) -> tuple[ViewMember, ...]:
        """All members and former members, without duplicates."""
        return tuple({member.incarnation: member for member in (*self.former, *self.members)}.values())

    def as_chosen(self) -> View:
        """Returns the same view, known to be chosen: its former members are no longer asked."""
        return msgspec.structs.replace(self, former=()) if self.former else self

    def supersedes(self, other: View | None) -> bool:
        """Whether this view has a higher epoch than ``other``, or is the same view and now known to be chosen."""
        if other is None or self.epoch != other.epoch:
            return other is None or self.epoch > other.epoch
        return bool(other.former) and not self.former


def _majority(members: tuple[ViewMember, ...], who: set[Incarnation]) -> bool:
    return 2 * sum(member.incarnation in who for member in members) > len(members)


class Promise(msgspec.Struct, frozen=True, array_like=True):
    """A member's promise to accept nothing under a lower epoch, given to one candidate per epoch."""

    epoch: Epoch
    candidate: Incarnation
    """Empty ("") under epoch 0, when nothing has been promised yet."""


# entries of the control journal


class FoundedEntry(msgspec.Struct, frozen=True, tag="founded", array_like=True):
    """The first entry of every journal."""

    incarnation: Incarnation


class PromisedEntry(msgspec.Struct, frozen=True, tag="promised", array_like=True):
    """A promise given; ``forming`` when it was asked for to form the first view."""

    promise: Promise
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


Entry = FoundedEntry | PromisedEntry | AcceptedEntry | BatchEntry | SnapshotEntry | ProbeEntry


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
    promised: Epoch
    view: View | None
    """The latest view that it knows of, whether or not it accepted the view itself."""
    hears_primary: bool
    """Whether it received a message of the primary recently."""
    empty: bool
    """It never accepted a view, never granted a promise except to form the first view, and never held state."""
    knows_history: bool
    """It knows a daemon that has seen a bundle or an epoch, so a fleet has existed before."""


class ControlPromise(msgspec.Struct, frozen=True):
    """A candidate's request: promise this epoch to it, and accept nothing under a lower epoch."""

    to: Incarnation
    candidate: Incarnation
    epoch: Epoch
    forming: bool = False
    """Whether the promise is asked for to form the first view of a fleet."""


class ControlGrant(msgspec.Struct, frozen=True):
    """Answer to ``ControlPromise``: whether the epoch was promised, and what the voter has."""

    by: Incarnation
    granted: bool
    promised: Epoch
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
    promised: Epoch
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
    """It has accepted the view of that epoch and has promised no higher epoch."""
    promised: Epoch
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
    promised: Epoch
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
    """A primary's question whether the member has promised nothing above its epoch; proves leadership for reads."""

    to: Incarnation
    epoch: Epoch


class ControlConfirmed(msgspec.Struct, frozen=True):
    """Answer to ``ControlConfirm``."""

    by: Incarnation
    holds: bool
    """The member has promised nothing above the epoch asked about."""
    promised: Epoch


class ControlLeadershipReleased(msgspec.Struct, frozen=True):
    """Posted by a primary that no longer leads, for instance after a disk fault, a stop or a restart.

    The members that receive it need not wait for the silence limit before they take over.
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
    """The latest view known to the answering daemon; the newcomer asks the primary of this view next."""


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
    fault: NotDecided | None = None
    primary: Address | None = None


class ControlLeaderQuery(msgspec.Struct, frozen=True):
    """Sent by any daemon that looks for the primary."""

    WIRE_NAME: ClassVar[str] = "ControlWhoLeads"


class ControlLeader(msgspec.Struct, frozen=True):
    """The presumed primary, all known addresses of control daemons, and the epoch of this knowledge."""

    primary: Address | None
    addresses: tuple[Address, ...]
    epoch: Epoch
