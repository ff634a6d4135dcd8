"""The allocator's side of paid shares: grants of leases and takeover of a share (docs/DESIGN.md section 14.1)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

import msgspec
from returns.result import Success

from ..bundle.model import Tenant
from ..context.protocols import Context
from ..identifiers import Instant, Seconds, TenantName
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .allocator_selector import AllocatorSelector
from .allocator_status import AllocatorStatus
from .deputy_account import DeputyAccount
from .messages import LeaseGrant, LeaseRequest, UsageReport, UsageRequest
from .router_probes import RouterProbes
from .share_account import ShareAccount
from .share_limits import ShareLimits
from .takeover import REPORT_STEP_S
from .tolerance import QuotaPlan, QuotaTolerance, make_plan, make_tenant_plan

USAGE_TIMEOUT_S = Seconds(0.3)
CLOSED_AFTER_HANDOVER_S = Seconds(1.0)
"""An allocator that has handed its bucket over to the next one grants nothing for this long."""

TenantInForce = Callable[[TenantName], Tenant | None]
"""Returns the tenant according to the bundle in force, or None when the bundle does not have it."""
OwnUsage = Callable[[UsageRequest], UsageReport]
"""Returns this router's own usage report."""


class ShareAllocator:
    """Grants leases on the shares that this router allocates, and on those for which it is the acting deputy."""

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        selector: AllocatorSelector,
        status: AllocatorStatus,
        probes: RouterProbes,
        tenant_in_force: TenantInForce,
        report_usage: OwnUsage,
        limits: ShareLimits,
        tolerance: QuotaTolerance,
    ) -> None:
        self._context = context
        self._messenger = messenger
        self._selector = selector
        self._status = status
        self._probes = probes
        self._tenant_in_force = tenant_in_force
        self._report_usage = report_usage
        self._limits = limits
        self._tolerance = tolerance
        self._accounts: dict[TenantName, ShareAccount] = {}
        self._deputy_accounts: dict[TenantName, DeputyAccount] = {}
        self._closed_until: dict[TenantName, Instant] = {}
        self._resting_until = Instant(0.0)

    # Lease requests

    async def answer(self, requester: Identity, request: LeaseRequest) -> LeaseGrant:
        """Answers a lease request as allocator, as acting deputy, or by declining it."""
        if not self._is_allocator_of(request.tenant, self._now()):
            is_deputy = await self._probes.should_deputize(request.tenant)
            if not self._is_allocator_of(request.tenant, self._now()):  # Otherwise the allocator has ended.
                return self._grant_as_deputy(request) if is_deputy else LeaseGrant(False)
        now = self._now()
        plan = self._plan(request)
        account = self._accounts.get(request.tenant)
        if account is None:
            account = self._open_account(request.tenant, plan, now)
        if account.is_outdated(requester, request):
            return LeaseGrant(False)
        account.change_plan(plan, now)
        if account.gathering is None and not self._probes.missing():
            account.clear_missing()
        proven = self._status.is_session_proven(now)
        allowed_rate = account.settle(requester, request, now, may_rise=proven)
        granted, wait = await self._grant_after_reports(account, request.costs, unproven=not proven)
        now = self._now()
        available = account.available(now, unproven=not proven)
        credit_available = min(available) >= max(2.0 * plan.credit, 0.25 * plan.bucket)
        return LeaseGrant(True, False, granted, wait, allowed_rate, credit_available, account.view(available[0], now))

    async def _grant_after_reports(
        self, account: ShareAccount, costs: Sequence[int], unproven: bool
    ) -> tuple[tuple[bool, ...], Seconds]:
        """Grants as ``ShareAccount.grant``, with a second attempt for refused calls.

        The second attempt is made when a new allocator has collected the usage reports, or after 0.8 of
        the hedge delay.
        """
        granted, wait = account.grant(costs, self._now(), unproven)
        if account.gathering is None or all(granted):
            return granted, wait
        await asyncio.wait((account.gathering,), timeout=0.8 * self._limits.hedge_delay)
        refused = [cost for cost, fits in zip(costs, granted, strict=True) if not fits]
        more, wait = account.grant(refused, self._now(), unproven)
        later = iter(more)
        return tuple(fits or next(later) for fits in granted), wait

    def _plan(self, request: LeaseRequest) -> QuotaPlan:
        in_force = self._tenant_in_force(request.tenant)
        if in_force is not None and in_force.paid_rate > 0:
            return make_tenant_plan(in_force, self._tolerance)
        return make_plan(request.paid_rate, request.burst, request.unit, self._tolerance)

    def _grant_as_deputy(self, request: LeaseRequest) -> LeaseGrant:
        now = self._now()
        account = self._deputy_accounts.get(request.tenant)
        if account is None:
            account = self._deputy_accounts[request.tenant] = DeputyAccount(
                self._plan(request), self._tolerance.window, now
            )
        return LeaseGrant(True, True, account.grant(request.costs, request.transferred, now))

    # Selection

    def _is_allocator_of(self, tenant: TenantName, now: Instant) -> bool:
        allocator = self._selector.allocator(tenant)
        self.reset_after_gap(now)
        if allocator is not None and self._probes.has_ended(allocator):
            allocator = self._selector.deputy(tenant)
        if allocator is None or allocator.incarnation != self._messenger.identity.incarnation:
            self._accounts.pop(tenant, None)
            return False
        return now >= max(self._resting_until, self._closed_until.get(tenant, 0.0))

    def reset_after_gap(self, now: Instant) -> None:
        """Discards all accounts after a gap, during which another allocator may have granted.

        A gap is a freeze, a partition or a lost session. The accounts start again from the routers' usage
        reports. Until ``rest_after_gap`` has passed, requests are declined: those that waited in buffers
        come from routers that have long continued without them.
        """
        if self._status.detect_gap(now):
            self._accounts.clear()
            self._resting_until = Instant(now + self._limits.rest_after_gap)

    def sweep(self, now: Instant) -> None:
        """Drops accounts, routers and probe results that are no longer needed, and pings missing routers."""
        for tenant, account in list(self._accounts.items()):
            self._is_allocator_of(tenant, now)
            account.drop_silent_routers(now)
        self._probes.drop_expired(now)
        if self._accounts:
            self._probes.ping_missing()
        for tenant in [tenant for tenant, until in self._closed_until.items() if until <= now]:
            del self._closed_until[tenant]

    # Takeover

    def _open_account(self, tenant: TenantName, plan: QuotaPlan, now: Instant) -> ShareAccount:
        account = self._accounts[tenant] = ShareAccount(plan, self._tolerance.window, plan.reserve, now)
        if self._selector.count() <= self._limits.max_gathering_routers:
            account.reports_requested = True
            account.gathering = asyncio.get_running_loop().create_future()
            self._context.tasks.spawn("share gather", self._gather_reports(tenant, account, account.gathering))
        return account

    async def _gather_reports(self, tenant: TenantName, account: ShareAccount, done: asyncio.Future[None]) -> None:
        """Collects the routers' usage reports and takes the share over on their basis."""
        try:
            routers = [router for router in self._selector.routers() if not self._probes.has_ended(router)]
            request = UsageRequest(tenant, account.window, REPORT_STEP_S)
            answers = await asyncio.gather(*(self._request_usage(router, request) for router in routers))
            if self._accounts.get(tenant) is account:
                self._take_over(tenant, account, list(zip(routers, answers, strict=True)))
        finally:
            account.gathering = None
            done.set_result(None)

    def _take_over(
        self, tenant: TenantName, account: ShareAccount, reports: list[tuple[Identity, UsageReport | None]]
    ) -> None:
        silent = [router for router, answer in reports if answer is None and not self._probes.has_ended(router)]
        missing = self._probes.missing() + silent
        allocator_missing = self._selector.may_have_been_allocator(tenant, missing)
        account.take_over(reports, len(missing), allocator_missing, self._now())
        self._context.log.event("share-keeper-began", tenant=tenant, level=account.bucket.level)

    async def _request_usage(self, router: Identity, request: UsageRequest) -> UsageReport | None:
        if router.incarnation == self._messenger.identity.incarnation:
            return self._report_usage(request)
        outcome = await self._messenger.call(router.internal, request, UsageReport, USAGE_TIMEOUT_S)
        self._probes.check_ended(router, outcome)
        return outcome.unwrap() if isinstance(outcome, Success) else None

    def hand_over(self, tenant: TenantName, own_use: UsageReport) -> UsageReport:
        """Hands the share over to a new allocator: returns this router's usage report with its bucket level added."""
        now = self._now()
        account = self._accounts.pop(tenant, None)
        if account is None:
            return own_use
        self._closed_until[tenant] = Instant(now + CLOSED_AFTER_HANDOVER_S)
        if account.gathering is not None:
            return own_use
        account.bucket.refill(now)
        return msgspec.structs.replace(own_use, level=account.bucket.level)

    def _now(self) -> Instant:
        return self._context.clock.monotonic()
