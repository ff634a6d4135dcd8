"""Paid shares over the entire fleet: one token bucket and window per tenant (docs/DESIGN.md section 14.1)."""

from __future__ import annotations

from ..bundle.model import Tenant
from ..context.protocols import Context
from ..identifiers import Seconds, TenantName
from ..membership.protocols import Membership
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .allocator_selector import AllocatorSelector
from .allocator_status import AllocatorStatus
from .lease_requester import MAX_RETRY_AFTER_S, LeaseRequester
from .messages import LeaseGrant, LeaseRequest, UsageReport, UsageRequest
from .protocols import CallRejection
from .router_probes import RouterProbes
from .router_shares import RouterShares
from .share_allocator import ShareAllocator, TenantInForce
from .share_client import ShareClient
from .share_options import ShareOptions
from .tolerance import QuotaTolerance

SWEEP_INTERVAL_S = Seconds(0.5)


class FleetShares:
    """A ``Shares`` over all routers, each of which is also the allocator of some tenants' shares.

    ``tenant_in_force`` returns a tenant according to the allocator's own bundle (None: the bundle lacks it).
    Builds the parts and owns the periodic task; ``RouterShares`` and ``ShareAllocator`` own the state.
    """

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        membership: Membership,
        tenant_in_force: TenantInForce | None = None,
        options: ShareOptions | None = None,
        tolerance: QuotaTolerance | None = None,
    ) -> None:
        options, tolerance = options or ShareOptions(), tolerance or QuotaTolerance()
        self._context = context
        clock = context.clock
        self._selector = AllocatorSelector(membership, clock)
        self._status = AllocatorStatus(context, messenger, membership, self._selector, options)
        self._router_shares = RouterShares(clock, self._selector, options, tolerance)
        self._allocator = ShareAllocator(
            context,
            messenger,
            self._selector,
            self._status,
            RouterProbes(context, messenger, self._selector, options),
            tenant_in_force or (lambda _: None),
            self._router_shares.report_usage,
            options,
            tolerance,
        )
        requester = LeaseRequester(
            context, messenger, self._selector, self._router_shares, self.answer_lease_request, options
        )
        self._client = ShareClient(clock, self._router_shares, requester, options)
        self._started = False
        messenger.on_call(LeaseRequest, self.answer_lease_request)
        messenger.on_call(UsageRequest, self._on_usage_request)

    def start(self) -> None:
        """Starts the periodic task that reports use and removes old state; ``take`` starts it too."""
        if not self._started:
            self._started = True
            self._status.start()
            self._context.tasks.spawn("shares sweep", self._sweep())

    async def take(self, tenant: Tenant, cost: int = 1) -> CallRejection | None:
        """See ``Shares``; waits only for what exceeds the lease, see ``ShareClient.take``."""
        self.start()
        if not tenant.limited or cost <= 0:
            return None
        if tenant.paid_rate <= 0:
            return CallRejection(MAX_RETRY_AFTER_S)
        return await self._client.take(tenant, cost)

    def return_allowances(self) -> None:
        """Reports unreported use and returns the allowances, when the router stops."""
        self._client.return_allowances()

    def allocator_of(self, tenant: TenantName) -> Identity | None:
        """Returns the allocator of the tenant's share according to this router's membership view."""
        return self._selector.allocator(tenant)

    def standby_of(self, tenant: TenantName) -> Identity | None:
        """Returns the standby of that allocator according to this router's membership view."""
        return self._selector.standby(tenant)

    async def _sweep(self) -> None:
        while True:
            await self._context.clock.sleep(SWEEP_INTERVAL_S)
            now = self._context.clock.monotonic()
            self._allocator.reset_after_gap(now)
            self._allocator.sweep(now)
            self._client.sweep(now)
            await self._status.confirm_if_needed(now)

    # Messages

    async def answer_lease_request(self, requester: Identity, request: LeaseRequest) -> LeaseGrant:
        """Answers a router's lease request as the allocator of the share, or as its standby."""
        self.start()
        return await self._allocator.answer(requester, request)

    async def _on_usage_request(self, _peer: Identity, request: UsageRequest) -> UsageReport:
        return self._allocator.hand_over(request.tenant, self._router_shares.report_usage(request))
