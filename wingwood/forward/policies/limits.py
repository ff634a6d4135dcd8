"""Paid shares of tenants, and the income of the retry budget (docs/DESIGN.md section 14)."""

from __future__ import annotations

from ...limits.protocols import RetryBudget, Shares
from ..protocols import Answer, IncomingCall, Proceed, Refused


class PaidSharePolicy:
    """Adds to the retry budget for each call, and refuses calls beyond their tenant's paid share.

    Calls of routes that need no key have no tenant, and so no share to exceed.
    """

    name = "paid-share"

    def __init__(self, shares: Shares, retry_budget: RetryBudget) -> None:
        self._shares = shares
        self._retry_budget = retry_budget

    async def apply(self, call: IncomingCall, proceed: Proceed) -> Answer:
        assert call.service is not None
        self._retry_budget.record_call(call.service)
        refusal = None if call.tenant is None else await self._shares.take(call.tenant, call.quota_cost)
        if refusal is None:
            return await proceed(call)
        return Refused(
            status=429,
            code="share-exceeded",
            reason="the tenant's paid share is used up",
            retry_after=refusal.retry_after,
        )
