"""What control daemons say to each other, and what they keep (docs/DESIGN.md sections 7.1 to 7.4)."""

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
    """Who leads under an epoch (section 7.1)."""

    epoch: Epoch
    primary: Incarnation
    backups: tuple[Incarnation, ...]
    """All of them sync a record before it is acknowledged; none after a take-over."""
    members: tuple[ViewMember, ...]
    holders: tuple[Incarnation, ...]
    """Whose disks hold everything that was ever acknowledged."""
    former: tuple[ViewMember, ...] = ()
    """Members of the view before, when they were others and this view is not known to be chosen."""

    def member(self, incarnation: Incarnation | None) -> ViewMember | None:
        return next((member for member in self.members if member.incarnation == incarnation), None)

    def incarnations(self) -> tuple[Incarnation, ...]:
        return tuple(member.incarnation for member in self.members)

    def majority(self, who: set[Incarnation]) -> bool:
        return _majority(self.members, who)

    def quorum(self, who: set[Incarnation]) -> bool:
        """Enough to choose this view, or to build on it: a majority of the members and of the former ones."""
        return self.majority(who) and (not self.former or _majority(self.former, who))

    def voters(self) -> tuple[ViewMember, ...]:
        """Members and former members, each once."""
        return tuple({member.incarnation: member for member in (*self.former, *self.members)}.values())

    def as_chosen(self) -> View:
        """The same view, known to be chosen: the former members are no longer asked."""
        return msgspec.structs.replace(self, former=()) if self.former else self

    def supersedes(self, other: View | None) -> bool:
        """Newer, or the same one with more known of it."""
        if other is None or self.epoch != other.epoch:
            return other is None or self.epoch > other.epoch
        return bool(other.former) and not self.former


def _majority(members: tuple[ViewMember, ...], who: set[Incarnation]) -> bool:
    return 2 * sum(member.incarnation in who for member in members) > len(members)


class Promise(msgspec.Struct, frozen=True, array_like=True):
    epoch: Epoch
    candidate: Incarnation
    """Nobody ("") under epoch 0."""


# what the journal keeps


class FoundedEntry(msgspec.Struct, frozen=True, tag="founded", array_like=True):
    """First record of a journal."""

    incarnation: Incarnation


class PromisedEntry(msgspec.Struct, frozen=True, tag="promised", array_like=True):
    promise: Promise
    forming: bool


class AcceptedEntry(msgspec.Struct, frozen=True, tag="accepted", array_like=True):
    view: View


class StateRecord(msgspec.Struct, frozen=True, array_like=True):
    kind: str
    record: bytes


class BatchEntry(msgspec.Struct, frozen=True, tag="batch", array_like=True):
    """Records of one batch; ``sequence`` counts batches from 1."""

    sequence: int
    epoch: Epoch
    records: tuple[StateRecord, ...]


class SnapshotEntry(msgspec.Struct, frozen=True, tag="snapshot", array_like=True):
    """The whole state after batch ``sequence``; takes the place of all before it."""

    sequence: int
    parts: dict[str, bytes]


class ProbeEntry(msgspec.Struct, frozen=True, tag="probe", array_like=True):
    """Nothing; written to see whether the disk takes writes again."""


Entry = FoundedEntry | PromisedEntry | AcceptedEntry | BatchEntry | SnapshotEntry | ProbeEntry


# between control daemons; `to` and `by` are incarnations, so a machine swapped at an address counts for nothing


class ControlStatusQuery(msgspec.Struct, frozen=True):
    """Asks any control daemon for its status; the daemon's state does not change."""

    WIRE_NAME: ClassVar[str] = "ControlCanvass"


class ControlStatus(msgspec.Struct, frozen=True):
    WIRE_NAME: ClassVar[str] = "ControlStanding"

    by: Incarnation
    member: ViewMember = msgspec.field(name="seat")
    promised: Epoch
    view: View | None
    """Newest view it knows of, accepted by itself or not."""
    hears_primary: bool
    empty: bool
    """Never accepted a view, granted a promise outside of forming, or held state."""
    knows_history: bool
    """Knows a daemon that has seen a bundle or an epoch."""


class ControlPromise(msgspec.Struct, frozen=True):
    to: Incarnation
    candidate: Incarnation
    epoch: Epoch
    forming: bool = False


class ControlGrant(msgspec.Struct, frozen=True):
    by: Incarnation
    granted: bool
    promised: Epoch
    view: View | None = None
    """Newest view that it accepted itself."""
    sequence: int = 0
    empty: bool = False


class ControlAccept(msgspec.Struct, frozen=True):
    to: Incarnation
    view: View


class ControlAccepted(msgspec.Struct, frozen=True):
    by: Incarnation
    accepted: bool
    promised: Epoch
    sequence: int = 0
    """Newest batch that it has journaled; a backup counts only with as many as the primary."""


class ControlHeartbeat(msgspec.Struct, frozen=True, array_like=True):
    """From the primary of that epoch's view; who hasn't accepted the view says so and is sent it."""

    to: Incarnation
    primary: Incarnation
    epoch: Epoch
    committed: int


class ControlHeartbeatAnswer(msgspec.Struct, frozen=True, array_like=True):
    by: Incarnation
    accepted: bool
    """It has accepted the view of that epoch and promised nothing higher."""
    promised: Epoch
    healthy: bool
    """Its journal takes writes."""
    knows_chosen: bool = msgspec.field(name="settled", default=True)
    """It knows that the view is chosen, and would no longer ask former members."""
    unpacks: bool = False
    """Whether it takes a packed state; daemons from before packing don't say so."""


class ControlReplicate(msgspec.Struct, frozen=True):
    """One batch to journal, or none (``entry`` empty: only whether the backup still follows)."""

    to: Incarnation
    epoch: Epoch
    before: int
    """Sequence that the backup must have now."""
    committed: int
    entry: bytes


class ControlReplicated(msgspec.Struct, frozen=True):
    by: Incarnation
    synced: bool
    promised: Epoch
    reason: str = ""


class ControlCommitted(msgspec.Struct, frozen=True):
    """Post to the backup: these batches are on both disks."""

    to: Incarnation
    epoch: Epoch
    committed: int


class ControlStateChunk(msgspec.Struct, frozen=True):
    """A part of an encoded ``SnapshotEntry``, packed or not; the answer to the last one comes after the sync."""

    WIRE_NAME: ClassVar[str] = "ControlStatePiece"

    to: Incarnation
    sender: Incarnation
    epoch: Epoch
    transfer: int
    index: int
    count: int
    data: bytes
    packed: bool = False
    """Whether the pieces make a zlib stream."""


class ControlConfirm(msgspec.Struct, frozen=True):
    to: Incarnation
    epoch: Epoch


class ControlConfirmed(msgspec.Struct, frozen=True):
    by: Incarnation
    holds: bool
    """It has promised nothing above the epoch."""
    promised: Epoch


class ControlLeadershipReleased(msgspec.Struct, frozen=True):
    """Post from a primary that stops leading by its own will (sick disk, stopping)."""

    WIRE_NAME: ClassVar[str] = "ControlGiveWay"

    epoch: Epoch
    primary: Incarnation


class ControlJoin(msgspec.Struct, frozen=True):
    """From a machine without a seat, every half second; anyone who sees itself without one."""

    member: ViewMember = msgspec.field(name="seat")


class ControlJoined(msgspec.Struct, frozen=True):
    view: View | None
    """Newest known; its primary is whom to call next."""


# from any daemon


class ControlCommand(msgspec.Struct, frozen=True):
    """A command for an applier, encoded in msgpack. ``hops``: how often it may still be passed on."""

    kind: str
    command: bytes
    budget: Seconds
    hops: int = 0


class ControlDecision(msgspec.Struct, frozen=True):
    """``reply`` in msgpack, or why there is none. ``primary``: whom to ask next time."""

    reply: bytes | None = None
    fault: NotDecided | None = None
    primary: Address | None = None


class ControlLeaderQuery(msgspec.Struct, frozen=True):
    """From any daemon that looks for the primary."""

    WIRE_NAME: ClassVar[str] = "ControlWhoLeads"


class ControlLeader(msgspec.Struct, frozen=True):
    primary: Address | None
    addresses: tuple[Address, ...]
    epoch: Epoch
