"""Messages between routers about paid shares (docs/DESIGN.md section 14)."""

from __future__ import annotations

from typing import ClassVar

import msgspec

from ..identifiers import Address, Seconds, TenantName


class LeaseRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request of a router to a tenant's share allocator, or to its standby; the reply is a LeaseGrant.

    Amounts are in the tenant's unit (calls or tokens).
    """

    WIRE_NAME: ClassVar[str] = "LeaseAsk"

    tenant: TenantName
    paid_rate: float
    burst: Seconds
    unit: str
    """Rate, burst and unit according to the requester's bundle; the allocator's own bundle takes precedence."""
    number: int
    """Sequence number of the requester's requests; one that arrives after a later one was delayed and is ignored."""
    costs: tuple[int, ...]
    """Costs of the waiting calls; empty when the request only reports use."""
    used: int = 0
    """Amount used without a grant of this allocator since the last request that it answered."""
    needed_rate: float = msgspec.field(name="need", default=0.0)
    """Rate per second that the router expects to use on its own until its next request."""
    accrued: float = msgspec.field(name="saved", default=0.0)
    """Unused part of the allowance that the router has accumulated so far."""
    transferred: float = msgspec.field(name="poured", default=0.0)
    """Unused allowance from the allocator that the router transfers to the standby's account."""


class AllocatorView(msgspec.Struct, frozen=True, array_like=True):
    """An allocator's knowledge of a tenant's use, for the allocator that replaces it."""

    WIRE_NAME: ClassVar[str] = "KeeperView"

    used: float
    """Amount used by all routers in the last window."""
    total_allowed_rate: float = msgspec.field(name="promised")
    """Rate per second that all routers together may use on their own."""
    covered_span: Seconds = msgspec.field(name="known")
    """How far back this knowledge reaches, in seconds."""
    level: float
    """Level of the allocator's bucket, less what the routers may have used since their last requests."""


class LeaseGrant(msgspec.Struct, frozen=True, array_like=True):
    """Reply to a LeaseRequest."""

    is_allocator: bool = msgspec.field(name="keeper")
    """False when this router is neither the allocator of the tenant's share nor its acting standby."""
    from_standby: bool = msgspec.field(name="stands_in", default=False)
    """True when the grant comes from the standby's account, so that its use must be reported to the allocator."""
    granted: tuple[bool, ...] = ()
    """For each requested call, in the order of ``costs``, whether it was granted."""
    wait: Seconds = Seconds(0.0)
    """When a call was not granted, the seconds until it could be."""
    allowed_rate: float = msgspec.field(name="allowed", default=0.0)
    """Rate per second that the router may use on its own from now on, for ``share_options.AUTONOMY_S``."""
    credit_available: bool = msgspec.field(name="plenty", default=False)
    """True when the bucket has enough for the routers to use credit."""
    view: AllocatorView | None = None
    """None while the allocator is still collecting usage reports after its start."""


class UsageRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request of a new allocator to each router for the tenant's recent use; the reply is a UsageReport."""

    WIRE_NAME: ClassVar[str] = "UseQuestion"

    tenant: TenantName
    window: Seconds
    step: Seconds


class UsageReport(msgspec.Struct, frozen=True, array_like=True):
    """Reply to a UsageRequest: what the tenant used at this router."""

    WIRE_NAME: ClassVar[str] = "UseAnswer"

    used: tuple[int, ...]
    """Amount used in each step of the window, the latest step first."""
    covered_span: Seconds = msgspec.field(name="known")
    """Seconds of the window during which this router has been running."""
    level: float | None
    """Bucket level, if this router was the allocator until now; it then stops granting. None otherwise."""
    number: int
    """Number of the sender's latest lease request; earlier ones are outdated, as this report includes their use."""
    allowed_rate: float = msgspec.field(name="allowed", default=0.0)
    """Rate per second that the router may continue to use on its own; see LeaseGrant."""
    accrued: float = msgspec.field(name="saved", default=0.0)
    """Unused part of the allowance that the router has accumulated; see LeaseRequest."""
    view: AllocatorView | None = None
    """The latest view that an allocator sent to this router."""
    view_age: Seconds = msgspec.field(name="view_ago", default=Seconds(0.0))
    """Seconds since ``view`` was received."""


class ReachabilityRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks a third router whether the router at ``address`` answers it; the reply is a ReachabilityReply."""

    WIRE_NAME: ClassVar[str] = "AliveQuestion"

    address: Address


class ReachabilityReply(msgspec.Struct, frozen=True, array_like=True):
    """Reply to a ReachabilityRequest."""

    WIRE_NAME: ClassVar[str] = "AliveAnswer"

    alive: bool


class MembershipRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks another router whether it still regards the sender as a member; also used to check that it answers."""

    WIRE_NAME: ClassVar[str] = "MemberQuestion"


class MembershipReply(msgspec.Struct, frozen=True, array_like=True):
    """Reply to a MembershipRequest."""

    WIRE_NAME: ClassVar[str] = "MemberAnswer"

    is_member: bool = msgspec.field(name="known")
