"""Paid shares over the whole fleet: one token bucket and window per tenant (docs/DESIGN.md section 14.1)."""

from __future__ import annotations

from ..bundle.model import Tenant
from ..context.protocols import Context
from ..identifiers import Seconds, TenantName
from ..membership.protocols import Membership
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .allocator_selector import AllocatorSelector
from .allocator_status import AllocatorStatus
from .messages import LeaseGrant, LeaseRequest, MembershipRequest, UsageReport, UsageRequest
from .protocols import ShareRefused
from .router_probes import RouterProbes
from .share_allocator import ShareAllocator, TenantInForce
from .share_client import MAX_RETRY_AFTER_S, ShareClient
from .share_limits import ShareLimits
from .tolerance import QuotaTolerance

SWEEP_INTERVAL_S = Seconds(0.5)


class FleetShares:
    """A ``Shares`` over all routers, each of which is also the allocator of some tenants' shares.

    ``tenant_in_force`` returns a tenant according to the allocator's own bundle (None: the bundle lacks it).
    """

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        membership: Membership,
        tenant_in_force: TenantInForce | None = None,
        limits: ShareLimits | None = None,
        tolerance: QuotaTolerance | None = None,
    ) -> None:
        limits, tolerance = limits or ShareLimits(), tolerance or QuotaTolerance()
        self._context = context
        self._selector = AllocatorSelector(membership, context.clock)
        self._status = AllocatorStatus(context, messenger, membership, self._selector, limits)
        self._client = ShareClient(context, messenger, self._selector, self._answer_lease_request, limits, tolerance)
        self._allocator = ShareAllocator(
            context,
            messenger,
            self._selector,
            self._status,
            RouterProbes(context, messenger, self._selector, limits),
            tenant_in_force or (lambda _: None),
            self._report_usage,
            limits,
            tolerance,
        )
        self._started = False
        messenger.on_call(LeaseRequest, self._answer_lease_request)
        messenger.on_call(UsageRequest, self._answer_usage_request)
        messenger.on_call(MembershipRequest, self._status.answer_membership_request)

    def start(self) -> None:
        """Starts the periodic task that reports use and removes old state; ``take`` starts it too."""
        if not self._started:
            self._started = True
            self._status.start()
            self._context.tasks.spawn("shares sweep", self._sweep())

    async def take(self, tenant: Tenant, cost: int = 1) -> ShareRefused | None:
        """See ``Shares``; waits only for what exceeds the allowance, see ``ShareClient.take``."""
        self.start()
        if not tenant.limited or cost <= 0:
            return None
        if tenant.paid_rate <= 0:
            return ShareRefused(MAX_RETRY_AFTER_S)
        return await self._client.take(tenant, cost)

    def return_allowances(self) -> None:
        """Reports unreported use and returns the allowances, when the router stops."""
        self._client.return_allowances()

    def allocator_of(self, tenant: TenantName) -> Identity | None:
        """Returns the allocator of the tenant's share according to this router's membership view."""
        return self._selector.allocator(tenant)

    def deputy_of(self, tenant: TenantName) -> Identity | None:
        """Returns the deputy of that allocator according to this router's membership view."""
        return self._selector.deputy(tenant)

    async def _sweep(self) -> None:
        while True:
            await self._context.clock.sleep(SWEEP_INTERVAL_S)
            now = self._context.clock.monotonic()
            self._allocator.reset_after_gap(now)
            self._allocator.sweep(now)
            self._client.sweep(now)
            await self._status.confirm_if_needed(now)

    # Messages

    async def _answer_lease_request(self, requester: Identity, request: LeaseRequest) -> LeaseGrant:
        self.start()
        return await self._allocator.answer(requester, request)

    async def _answer_usage_request(self, peer: Identity, request: UsageRequest) -> UsageReport:
        return self._allocator.hand_over(request.tenant, self._report_usage(request))

    def _report_usage(self, request: UsageRequest) -> UsageReport:
        return self._client.report_usage(request)
