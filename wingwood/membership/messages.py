"""What daemons and session keepers say to each other (docs/DESIGN.md section 8).

Everything a heartbeat carries is written as an array, since a thousand daemons send two a second.
"""

from __future__ import annotations

from typing import ClassVar, Literal

import msgspec

from ..identifiers import Address, BundleVersion, DaemonName, Epoch, Incarnation, Seconds, Zone
from ..transport.frames import Identity


class Member(msgspec.Struct, frozen=True, array_like=True):
    """An Identity without field names, since whole lists of them travel."""

    name: DaemonName
    incarnation: Incarnation
    role: Literal["router", "control", "tool"]
    zone: Zone
    internal: tuple[str, int]
    operator: tuple[str, int] | None = None
    caller: tuple[str, int] | None = None


def member_of(identity: Identity) -> Member:
    return Member(
        identity.name,
        identity.incarnation,
        identity.role,
        identity.zone,
        (identity.internal.host, identity.internal.port),
        None if identity.operator is None else (identity.operator.host, identity.operator.port),
        None if identity.caller is None else (identity.caller.host, identity.caller.port),
    )


def identity_of(member: Member) -> Identity:
    return Identity(
        member.name,
        member.incarnation,
        member.role,
        member.zone,
        Address(*member.internal),
        None if member.operator is None else Address(*member.operator),
        None if member.caller is None else Address(*member.caller),
    )


class Position(msgspec.Struct, frozen=True, array_like=True):
    """How far a list is known: changes up to ``sequence`` of the keeper whose process is ``run_id``."""

    run_id: str = msgspec.field(name="life")
    sequence: int


class ClusterUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What a control daemon tells with each heartbeat answer besides members."""

    WIRE_NAME: ClassVar[str] = "News"

    epoch: Epoch = Epoch(0)
    primary: Address | None = None
    """Internal address of the presumed primary."""
    latest_version: BundleVersion = msgspec.field(name="newest", default=BundleVersion(0))
    """Newest version heard of; may be ahead of the proof."""
    proof_version: BundleVersion = BundleVersion(0)
    proof_age: Seconds | None = None
    """``proof_version`` was the newest acknowledged one this long before the answer; None: never proven."""


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """Call, daemon to session keeper: renews (or begins) its session. Reply: HeartbeatAnswer."""

    position: Position | None
    """How far the asker knows this keeper's list of members."""
    version: BundleVersion
    """In force at the asker."""
    epoch: Epoch
    """Newest of which the asker knows."""
    last_answer_age: Seconds | None = msgspec.field(name="unanswered")
    """Since the asker sent its last heartbeat that was answered (by whomever); None: none ever was."""


class HeartbeatAnswer(msgspec.Struct, frozen=True, array_like=True):
    position: Position
    """Of the keeper's list, after the changes told here."""
    size: int
    digest: int
    """Of the keeper's whole list."""
    update: ClusterUpdate = msgspec.field(name="news")
    was_member: bool
    """False: others may have seen the asker leave."""
    admitted: bool
    """False: the asker has not shown yet that answers reach it; its session begins with its next heartbeat."""
    settling: bool
    """The keeper is young, has just woken, or hears few others: its list may lack live members."""
    isolated: bool = msgspec.field(name="alone")
    """The keeper hears few other keepers: another one may know better."""
    incremental: bool = msgspec.field(name="known")
    """False: the asker's position means nothing here, no changes are told; compare digests."""
    more: bool
    """There are further changes than those told here."""
    joined: tuple[Member, ...] = ()
    left: tuple[Incarnation, ...] = ()


class CompareMembers(msgspec.Struct, frozen=True, array_like=True):
    """Call, daemon to session keeper: digests of the asker's list by bucket. Reply: MembersCompared."""

    buckets: tuple[int, ...]


class MembersCompared(msgspec.Struct, frozen=True, array_like=True):
    """The whole content of buckets that differ."""

    position: Position
    settling: bool
    more: bool
    """Further buckets differ; ask again."""
    buckets: tuple[int, ...]
    members: tuple[Member, ...]


class KnownControlsRequest(msgspec.Struct, frozen=True, array_like=True):
    """Call to any daemon, by one that looks for control daemons. Reply: KnownControls."""

    WIRE_NAME: ClassVar[str] = "AskKnownControls"


class KnownControls(msgspec.Struct, frozen=True, array_like=True):
    controls: tuple[Address, ...]
    peers: tuple[Address, ...] = msgspec.field(name="fellows")
    """Some other daemons that may know more."""
    epoch: Epoch
    version: BundleVersion
    """Newest epoch and bundle version of which the answering daemon knows."""


class EndSession(msgspec.Struct, frozen=True, array_like=True):
    """Post, daemon to session keeper: it stops on purpose."""


class UnreachableCoordinator(msgspec.Struct, frozen=True, array_like=True):
    """A keeper that the asker can't reach itself, and how far it knows its sessions."""

    WIRE_NAME: ClassVar[str] = "Unheard"

    address: Address
    position: Position | None


class SessionsRequest(msgspec.Struct, frozen=True, array_like=True):
    """Call between session keepers; answered at the next change or after ``wait``. Reply: SessionsReport."""

    WIRE_NAME: ClassVar[str] = "AskSessions"

    position: Position | None
    wait: Seconds
    coordinators_checksum: int = msgspec.field(name="keepers")
    """Checksum of the live keepers' addresses known to the asker."""
    unreachable: tuple[UnreachableCoordinator, ...] = msgspec.field(name="unheard", default=())


class SessionsReport(msgspec.Struct, frozen=True, array_like=True):
    """Sessions held by one keeper (not the ones it has heard of)."""

    WIRE_NAME: ClassVar[str] = "SessionsTold"

    coordinator: Identity = msgspec.field(name="keeper")
    position: Position
    digest: int
    complete: bool = msgspec.field(name="whole")
    """``joined`` is everything; else it is what changed since the position asked from."""
    joined: tuple[Member, ...]
    left: tuple[Incarnation, ...]
    settling: bool = False
    """The keeper has just started: daemons whose session its former life held may not have found it again."""
    age: Seconds = Seconds(0.0)
    """How long before this answer the keeper told this (0 when it speaks itself)."""
    relayed: tuple[SessionsReport, ...] = ()
    coordinators: tuple[Address, ...] = msgspec.field(name="keepers", default=())
    """Live keepers' addresses, when the asker knows others."""
