"""Grants whose calls gave up before they arrived (docs/DESIGN.md section 14.1)."""

from __future__ import annotations

import msgspec

from ..identifiers import Instant, Seconds

UNCLAIMED_GRANT_LIFETIME_S = Seconds(1.0)
"""A grant whose call no longer waits may be used by another call for this long."""


class UnclaimedGrant(msgspec.Struct):
    """A grant whose call no longer waits for it."""

    expires_at: Instant
    remaining: int
    """What may still be used of it, in the tenant's unit."""
    from_standby: bool
    """True when a standby granted it, so that its use must be reported to the allocator."""


class UnclaimedGrants:
    """Owns the grants of one tenant that other calls may use."""

    def __init__(self) -> None:
        self._grants: list[UnclaimedGrant] = []

    def add(self, cost: int, from_standby: bool, now: Instant) -> None:
        """Stores a grant whose call no longer waits."""
        self._grants.append(UnclaimedGrant(Instant(now + UNCLAIMED_GRANT_LIFETIME_S), cost, from_standby))

    def take(self, cost: int, now: Instant) -> UnclaimedGrant | None:
        """Charges the call to a grant that covers its full cost; returns that grant, or None if none does."""
        self._grants = [grant for grant in self._grants if grant.expires_at > now and grant.remaining > 0]
        fitting = next((grant for grant in self._grants if grant.remaining >= cost), None)
        if fitting is not None:
            fitting.remaining -= cost
        return fitting
