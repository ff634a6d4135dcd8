"""What routers say to each other about paid shares (docs/DESIGN.md section 14)."""

from __future__ import annotations

import msgspec

from ..identifiers import Address, Seconds, TenantName

RECENT = Seconds(4.0)
"""Over how long a router counts its own use to tell its need."""


class LeaseAsk(msgspec.Struct, frozen=True, array_like=True):
    """A router asks a tenant's share keeper, or its deputy; answered by LeaseGrant.

    Amounts are in the tenant's unit.
    """

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
    need: float = 0.0
    """Per second: what the router would use by itself until it asks again."""
    saved: float = 0.0
    """What it keeps of that from before."""
    poured: float = 0.0
    """For a deputy's account: unused part of what the keeper let the router use by itself."""


class KeeperView(msgspec.Struct, frozen=True, array_like=True):
    """What a keeper knows of a tenant, for the next one."""

    used: float
    """By all routers in the last window."""
    promised: float
    """Per second: what all routers together may use by themselves."""
    known: Seconds
    """How far back this reaches."""
    level: float
    """Of its bucket, less what the routers may have used since it heard of them."""


class LeaseGrant(msgspec.Struct, frozen=True, array_like=True):
    keeper: bool
    """False: this router neither keeps the tenant's share nor stands in for who does."""
    stands_in: bool = False
    """The grant comes from the deputy's account, and the keeper has to be told of it."""
    granted: tuple[bool, ...] = ()
    """For each of the asked calls."""
    wait: Seconds = Seconds(0.0)
    """When one was not granted: how long until it would be."""
    allowed: float = 0.0
    """Per second: what the router may use by itself from now on, for ``RouterShare.AUTONOMY``."""
    plenty: bool = False
    """The bucket holds enough for credit."""
    view: KeeperView | None = None
    """None: the keeper has just begun."""


class UseQuestion(msgspec.Struct, frozen=True, array_like=True):
    """A new keeper asks each router what the tenant used lately; answered by UseAnswer."""

    tenant: TenantName
    window: Seconds
    step: Seconds


class UseAnswer(msgspec.Struct, frozen=True, array_like=True):
    used: tuple[int, ...]
    """In each step of the window, the newest first."""
    known: Seconds
    """How much of the window this router has been up."""
    level: float | None
    """From the keeper until now: what its bucket held; it grants no more."""
    number: int
    """The answerer's newest ask; what it asked until then is void, since its use is in this report."""
    allowed: float = 0.0
    saved: float = 0.0
    """What it may go on using by itself; see LeaseGrant and LeaseAsk."""
    view: KeeperView | None = None
    """The last that a keeper told, and how long ago."""
    view_ago: Seconds = Seconds(0.0)


class AliveQuestion(msgspec.Struct, frozen=True, array_like=True):
    """Call to a third router: does the one at that address answer you? Reply: AliveAnswer."""

    address: Address


class AliveAnswer(msgspec.Struct, frozen=True, array_like=True):
    alive: bool


class MemberQuestion(msgspec.Struct, frozen=True, array_like=True):
    """A keeper whose session is not proven asks another router whether it is still a member there."""


class MemberAnswer(msgspec.Struct, frozen=True, array_like=True):
    known: bool
