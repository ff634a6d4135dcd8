"""Paid shares of tenants, and the income of the retry budget (docs/DESIGN.md section 14)."""

from __future__ import annotations

from ...limits.protocols import RetryBudget, Shares
from ..call_failures import LIMITS
from ..calls import IncomingCall
from ..protocols import Proceed
from ..results import CallResult, Rejection


class PaidSharePolicy:
    """Adds to the retry budget for each call, and rejects calls beyond their tenant's paid share.

    Calls of routes that need no key have no tenant, and so no share to exceed.
    """

    name = "paid-share"

    def __init__(self, shares: Shares, retry_budget: RetryBudget) -> None:
        self._shares = shares
        self._retry_budget = retry_budget

    async def apply(self, call: IncomingCall, proceed: Proceed) -> CallResult:
        """Charges the call to its tenant's paid share; a call beyond it ends with 429."""
        tenant = call.attributes.tenant
        with LIMITS:
            self._retry_budget.record_call(call.service)
            refusal = None if tenant is None else await self._shares.take(tenant, call.attributes.quota_cost)
        if refusal is None:
            return await proceed(call)
        return Rejection(
            status=429,
            code="share-exceeded",
            reason="the tenant's paid share is used up",
            retry_after=refusal.retry_after,
        )
