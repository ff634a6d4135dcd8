"""Limit on the calls in progress, shared between tenants (docs/DESIGN.md section 12.4)."""

from __future__ import annotations

from ...identifiers import Seconds, TenantName
from ..protocols import Answer, IncomingCall, Proceed, Refused

_CROWDED_FRACTION = 0.75
"""Fraction of the limit above which tenants are held to their shares."""
NO_TENANT = TenantName("")
"""The tenant as which all callers without a key are counted."""


class AdmissionPolicy:
    """Limits the calls in progress; near the limit each tenant gets its weighted share, and no call waits.

    Nothing is queued, so that no call waits behind a flood of others. Below three quarters of the limit every call
    is admitted. Above that, only tenants below their weighted share of the limit are, and other calls are refused
    at once. The shares add up to the limit, so that a flooding tenant falls back to its share as its calls end.
    """

    name = "admission"

    def __init__(self, in_flight_limit: int) -> None:
        self._limit = in_flight_limit
        self._in_flight: dict[TenantName, int] = {}
        self._weights: dict[TenantName, float] = {}
        self.total = 0
        """Number of admitted calls in progress."""

    async def apply(self, call: IncomingCall, proceed: Proceed) -> Answer:
        assert call.bundle is not None
        tenant = NO_TENANT if call.tenant is None else call.tenant.name
        priority = None if call.tenant is None else call.bundle.classes.get(call.tenant.priority_class)
        weight = 1.0 if priority is None else max(priority.weight, 0.001)
        running = self._in_flight.get(tenant, 0)
        if not self._may_enter(tenant, weight, running):
            return Refused(
                status=503,
                code="crowded",
                reason="this router has as many calls under way as it takes",
                retry_after=Seconds(1.0),
            )
        self._in_flight[tenant] = running + 1
        self._weights[tenant] = weight
        self.total += 1
        try:
            return await proceed(call)
        finally:
            self.total -= 1
            left = self._in_flight[tenant] - 1
            if left:
                self._in_flight[tenant] = left
            else:
                del self._in_flight[tenant], self._weights[tenant]

    def _may_enter(self, tenant: TenantName, weight: float, running: int) -> bool:
        if self.total < self._limit * _CROWDED_FRACTION:
            return True
        # A tenant that is alone leaves room as well, for another tenant of equal weight.
        others = sum(other for name, other in self._weights.items() if name != tenant) or weight
        share = self._limit * weight / (weight + others)
        return self.total < self._limit and running < share
