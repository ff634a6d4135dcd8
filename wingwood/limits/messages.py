"""What routers say to each other about paid shares (docs/DESIGN.md section 14)."""

from __future__ import annotations

import msgspec

from ..identifiers import Seconds, TenantName

RECENT = Seconds(4.0)
"""Over how long keeper and routers count recent use, so that a router's part of it can be told."""


class LeaseAsk(msgspec.Struct, frozen=True, array_like=True):
    """A router asks a tenant's share keeper for tokens; answered by LeaseGrant."""

    tenant: TenantName
    paid_rate: float
    burst: Seconds
    """Rate and burst as the asker's bundle has them; the keeper's own bundle goes first."""
    wanted: int
    returned: int
    """Leased tokens whose time ran out unused."""
    unleased: int
    """Calls taken from the fallback share since the last ask that was answered."""
    number: int
    """Counts the asker's asks; one that comes after a later one lay in buffers and is void."""


class LeaseGrant(msgspec.Struct, frozen=True, array_like=True):
    keeper: bool
    """False: this router does not keep the tenant's share (any more, or yet)."""
    granted: int
    wait: Seconds
    """When ``granted`` is less than ``wanted``: how long until the next token."""
    level: float = 0.0
    """What is left in the bucket."""
    rate: float = 0.0
    """Tokens granted per second of late, to all routers (RECENT seconds)."""


class LeaseReturn(msgspec.Struct, frozen=True, array_like=True):
    """Post: leased tokens that went unused."""

    tenant: TenantName
    tokens: int


class UseQuestion(msgspec.Struct, frozen=True, array_like=True):
    """A new keeper asks each router what the tenant used lately; answered by UseAnswer."""

    tenant: TenantName
    window: Seconds


class UseAnswer(msgspec.Struct, frozen=True, array_like=True):
    used: int
    """Calls accepted within the window, and tokens still held."""
    known: Seconds
    """How much of the window this router has been up."""
    level: float | None
    """From the keeper until now: what its bucket held; it grants no more."""
    number: int
    """The answerer's newest ask; what it asked until then is void, since its use is in this report."""
    keeper_answered: Seconds = Seconds(1e9)
    """How long ago the keeper itself (no deputy) last granted it something."""


class MemberQuestion(msgspec.Struct, frozen=True, array_like=True):
    """A keeper whose session is not proven asks another router whether it is still a member there."""


class MemberAnswer(msgspec.Struct, frozen=True, array_like=True):
    known: bool
