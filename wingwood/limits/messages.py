"""What routers say to each other about paid shares (docs/DESIGN.md section 14)."""

from __future__ import annotations

from typing import ClassVar

import msgspec

from ..identifiers import Address, Seconds, TenantName

RECENT_WINDOW_S = Seconds(4.0)
"""Over how long a router counts its own use to tell its need."""


class LeaseRequest(msgspec.Struct, frozen=True, array_like=True):
    """A router asks a tenant's share keeper, or its deputy; answered by LeaseGrant.

    Amounts are in the tenant's unit.
    """

    WIRE_NAME: ClassVar[str] = "LeaseAsk"

    tenant: TenantName
    paid_rate: float
    burst: Seconds
    unit: str
    """Rate, burst and unit as the asker's bundle has them; the keeper's own bundle goes first."""
    number: int
    """Counts the asker's asks; one that comes after a later one lay in buffers and is void."""
    costs: tuple[int, ...]
    """Of the calls that wait; none when the ask only tells of use."""
    used: int = 0
    """Used without a grant of this keeper since the last ask that it answered."""
    needed_rate: float = msgspec.field(name="need", default=0.0)
    """Per second: what the router would use by itself until it asks again."""
    saved: float = 0.0
    """What it keeps of that from before."""
    transferred: float = msgspec.field(name="poured", default=0.0)
    """For a deputy's account: unused part of what the keeper let the router use by itself."""


class AllocatorView(msgspec.Struct, frozen=True, array_like=True):
    """What a keeper knows of a tenant, for the next one."""

    WIRE_NAME: ClassVar[str] = "KeeperView"

    used: float
    """By all routers in the last window."""
    promised_rate: float = msgspec.field(name="promised")
    """Per second: what all routers together may use by themselves."""
    covered_span: Seconds = msgspec.field(name="known")
    """How far back this reaches."""
    level: float
    """Of its bucket, less what the routers may have used since it heard of them."""


class LeaseGrant(msgspec.Struct, frozen=True, array_like=True):
    is_allocator: bool = msgspec.field(name="keeper")
    """False: this router neither keeps the tenant's share nor stands in for who does."""
    from_deputy: bool = msgspec.field(name="stands_in", default=False)
    """The grant comes from the deputy's account, and the keeper has to be told of it."""
    granted: tuple[bool, ...] = ()
    """For each of the asked calls."""
    wait: Seconds = Seconds(0.0)
    """When one was not granted: how long until it would be."""
    allowed_rate: float = msgspec.field(name="allowed", default=0.0)
    """Per second: what the router may use by itself from now on, for ``RouterShare.AUTONOMY_S``."""
    credit_available: bool = msgspec.field(name="plenty", default=False)
    """The bucket holds enough for credit."""
    view: AllocatorView | None = None
    """None: the keeper has just begun."""


class UsageRequest(msgspec.Struct, frozen=True, array_like=True):
    """A new keeper asks each router what the tenant used lately; answered by UseAnswer."""

    WIRE_NAME: ClassVar[str] = "UseQuestion"

    tenant: TenantName
    window: Seconds
    step: Seconds


class UsageReport(msgspec.Struct, frozen=True, array_like=True):
    WIRE_NAME: ClassVar[str] = "UseAnswer"

    used: tuple[int, ...]
    """In each step of the window, the newest first."""
    covered_span: Seconds = msgspec.field(name="known")
    """How much of the window this router has been up."""
    level: float | None
    """From the keeper until now: what its bucket held; it grants no more."""
    number: int
    """The answerer's newest ask; what it asked until then is void, since its use is in this report."""
    allowed_rate: float = msgspec.field(name="allowed", default=0.0)
    saved: float = 0.0
    """What it may go on using by itself; see LeaseGrant and LeaseAsk."""
    view: AllocatorView | None = None
    """The last that a keeper told, and how long ago."""
    view_age: Seconds = msgspec.field(name="view_ago", default=Seconds(0.0))


class ReachabilityRequest(msgspec.Struct, frozen=True, array_like=True):
    """Call to a third router: does the one at that address answer you? Reply: AliveAnswer."""

    WIRE_NAME: ClassVar[str] = "AliveQuestion"

    address: Address


class ReachabilityReply(msgspec.Struct, frozen=True, array_like=True):
    WIRE_NAME: ClassVar[str] = "AliveAnswer"

    alive: bool


class MembershipRequest(msgspec.Struct, frozen=True, array_like=True):
    """A keeper whose session is not proven asks another router whether it is still a member there."""

    WIRE_NAME: ClassVar[str] = "MemberQuestion"


class MembershipReply(msgspec.Struct, frozen=True, array_like=True):
    WIRE_NAME: ClassVar[str] = "MemberAnswer"

    is_member: bool = msgspec.field(name="known")
