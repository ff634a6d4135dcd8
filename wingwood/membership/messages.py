"""Messages between daemons and membership coordinators (docs/DESIGN.md section 8).

Everything that a heartbeat carries is encoded as an array, since a thousand daemons send two heartbeats a second.
"""

from __future__ import annotations

from typing import ClassVar, Literal

import msgspec

from ..identifiers import Address, BundleVersion, DaemonName, Epoch, Incarnation, Seconds, Zone
from ..transport.frames import Identity


class Member(msgspec.Struct, frozen=True, array_like=True):
    """An Identity encoded without field names, since complete member lists are transferred."""

    name: DaemonName
    incarnation: Incarnation
    role: Literal["router", "control", "tool"]
    zone: Zone
    internal: tuple[str, int]
    operator: tuple[str, int] | None = None
    caller: tuple[str, int] | None = None


def member_of(identity: Identity) -> Member:
    """Returns the identity in its form without field names."""
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
    """Returns the identity that ``member_of`` encoded."""
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
    """State of a copied member list: it contains the changes up to ``sequence`` made by one run of a coordinator.

    ``run_id`` identifies the coordinator's process run, because sequence numbers start again after a restart.
    """

    run_id: str = msgspec.field(name="life")
    sequence: int


class ClusterUpdate(msgspec.Struct, frozen=True, array_like=True):
    """State of the fleet that a control daemon adds to each heartbeat answer."""

    WIRE_NAME: ClassVar[str] = "News"

    epoch: Epoch = Epoch(0)
    primary: Address | None = None
    """Internal address of the presumed primary."""
    latest_version: BundleVersion = msgspec.field(name="newest", default=BundleVersion(0))
    """Latest bundle version that was reported to the sender; may be later than ``confirmed_version``."""
    confirmed_version: BundleVersion = msgspec.field(name="proof_version", default=BundleVersion(0))
    confirmation_age: Seconds | None = msgspec.field(name="proof_age", default=None)
    """Time since ``confirmed_version`` was confirmed as the latest acknowledged version; None if it never was."""


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """Call from a daemon to a coordinator that starts or renews the daemon's session. Reply: HeartbeatAnswer."""

    position: Position | None
    """State of the sender's copy of this coordinator's member list; None if it has no such copy."""
    version: BundleVersion
    """Bundle version in force at the sender."""
    epoch: Epoch
    """Latest epoch that is known to the sender."""
    last_answer_age: Seconds | None = msgspec.field(name="unanswered")
    """Time since the sender sent its last heartbeat that any coordinator answered; None if none was answered."""


class HeartbeatAnswer(msgspec.Struct, frozen=True, array_like=True):
    """A coordinator's answer: whether the session is renewed, and the changes of the members since the position."""

    position: Position
    """State of the coordinator's member list after the changes in this answer."""
    size: int
    digest: int
    """Digest of the coordinator's complete member list."""
    update: ClusterUpdate = msgspec.field(name="news")
    was_member: bool
    """False if other daemons may have seen the sender leave."""
    admitted: bool
    """False if the sender has not yet shown that answers reach it; its session starts with its next heartbeat."""
    warming_up: bool = msgspec.field(name="settling")
    """Whether the list may lack live members: the coordinator has just started or resumed, or is isolated."""
    isolated: bool = msgspec.field(name="alone")
    """Whether the coordinator reaches few other coordinators, so that another one may have a better list."""
    incremental: bool = msgspec.field(name="known")
    """Whether ``joined`` and ``left`` continue from the sender's position.

    If False, the position is unknown to the coordinator and no changes are included; the digests must be compared.
    """
    more: bool
    """Whether there are further changes than those in this answer."""
    joined: tuple[Member, ...] = ()
    left: tuple[Incarnation, ...] = ()


class CompareMembers(msgspec.Struct, frozen=True, array_like=True):
    """Call from a daemon to a coordinator with the digests of its list by bucket. Reply: MembersCompared."""

    buckets: tuple[int, ...]


class MembersCompared(msgspec.Struct, frozen=True, array_like=True):
    """The complete content of buckets that differ."""

    position: Position
    warming_up: bool = msgspec.field(name="settling")
    """Whether the list may lack live members, so that ``members`` may only be added."""
    more: bool
    """Whether further buckets differ, so that the daemon must compare again."""
    buckets: tuple[int, ...]
    members: tuple[Member, ...]


class KnownControlsRequest(msgspec.Struct, frozen=True, array_like=True):
    """Call to any daemon by a daemon that looks for control daemons. Reply: KnownControls."""

    WIRE_NAME: ClassVar[str] = "AskKnownControls"


class KnownControls(msgspec.Struct, frozen=True, array_like=True):
    """Control daemons known to the sender: the answer to ``KnownControlsRequest``, or a post to saved addresses."""

    controls: tuple[Address, ...]
    peers: tuple[Address, ...] = msgspec.field(name="fellows")
    """Some other daemons that may know further control daemons."""
    epoch: Epoch
    version: BundleVersion
    """The latest epoch and bundle version known to the answering daemon are ``epoch`` and ``version``."""


class EndSession(msgspec.Struct, frozen=True, array_like=True):
    """Post from a daemon to its coordinator when the daemon stops on purpose."""


class UnreachableCoordinator(msgspec.Struct, frozen=True, array_like=True):
    """A coordinator that the sender cannot reach itself, and the state of the sender's copy of its sessions."""

    WIRE_NAME: ClassVar[str] = "Unheard"

    address: Address
    position: Position | None


class SessionsRequest(msgspec.Struct, frozen=True, array_like=True):
    """Call between coordinators that is answered at the next change or after ``wait``. Reply: SessionsReport."""

    WIRE_NAME: ClassVar[str] = "AskSessions"

    position: Position | None
    wait: Seconds
    coordinators_checksum: int = msgspec.field(name="keepers")
    """Checksum of the addresses of the live coordinators known to the sender."""
    unreachable: tuple[UnreachableCoordinator, ...] = msgspec.field(name="unheard", default=())


class SessionsReport(msgspec.Struct, frozen=True, array_like=True):
    """Sessions with one coordinator, without the sessions that other coordinators reported to it."""

    WIRE_NAME: ClassVar[str] = "SessionsTold"

    coordinator: Identity = msgspec.field(name="keeper")
    position: Position
    digest: int
    complete: bool = msgspec.field(name="whole")
    """Whether ``joined`` is the complete list; otherwise it contains the changes since the requested position."""
    joined: tuple[Member, ...]
    left: tuple[Incarnation, ...]
    warming_up: bool = msgspec.field(name="settling", default=False)
    """Whether the coordinator has just started, so that the sessions of its previous run may still move to it."""
    age: Seconds = Seconds(0.0)
    """Time since the coordinator reported this; 0 when the coordinator itself sends the report."""
    relayed: tuple[SessionsReport, ...] = ()
    coordinators: tuple[Address, ...] = msgspec.field(name="keepers", default=())
    """Addresses of the live coordinators, when the requesting coordinator knows a different set."""
