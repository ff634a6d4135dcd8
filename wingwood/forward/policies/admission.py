"""Limit on the calls in progress, shared between tenants (docs/DESIGN.md section 12.4)."""

from __future__ import annotations

from typing import Final

from ...identifiers import Seconds, TenantName
from ..calls import IncomingCall
from ..protocols import Proceed
from ..results import CallResult, Rejection

_CROWDED_FRACTION: Final = 0.75
"""Fraction of the limit above which tenants are limited to their weighted shares."""
_MIN_WEIGHT: Final = 0.001
_CROWDED = Rejection(
    status=503,
    code="crowded",
    reason="this router has as many calls under way as it takes",
    retry_after=Seconds(1.0),
)


class AdmissionPolicy:
    """Limits the calls in progress; near the limit each tenant gets its weighted share, and no call waits.

    Nothing is queued, so that no call waits behind a flood of others. Below three quarters of the limit every call
    is admitted. Above that, only tenants below their weighted share of the limit are, and other calls are rejected
    at once. The shares add up to the limit, so that a flooding tenant falls back to its share as its calls end.
    All callers without a key are counted as one tenant.
    """

    name = "admission"

    def __init__(self, max_in_flight: int) -> None:
        self._max_in_flight = max_in_flight
        self._in_flight: dict[TenantName, int] = {}
        self._weights: dict[TenantName, float] = {}
        self._total = 0
        """Number of admitted calls in progress."""

    async def apply(self, call: IncomingCall, proceed: Proceed) -> CallResult:
        """Counts the call while it is in progress; a call beyond the limit ends with 503."""
        tenant = TenantName(call.tenant_name)
        weight = _weight(call)
        in_flight = self._in_flight.get(tenant, 0)
        if not self._may_enter(tenant, weight, in_flight):
            return _CROWDED
        self._in_flight[tenant] = in_flight + 1
        self._weights[tenant] = weight
        self._total += 1
        try:
            return await proceed(call)
        finally:
            self._total -= 1
            remaining = self._in_flight[tenant] - 1
            if remaining:
                self._in_flight[tenant] = remaining
            else:
                del self._in_flight[tenant], self._weights[tenant]

    def _may_enter(self, tenant: TenantName, weight: float, in_flight: int) -> bool:
        if self._total < self._max_in_flight * _CROWDED_FRACTION:
            return True
        # A tenant that is alone leaves capacity as well, for another tenant of equal weight.
        other_weights = sum(other for name, other in self._weights.items() if name != tenant) or weight
        share = self._max_in_flight * weight / (weight + other_weights)
        return self._total < self._max_in_flight and in_flight < share


def _weight(call: IncomingCall) -> float:
    tenant = call.attributes.tenant
    priority = None if tenant is None else call.bundle.classes.get(tenant.priority_class)
    return 1.0 if priority is None else max(priority.weight, _MIN_WEIGHT)
