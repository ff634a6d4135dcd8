"""The allocator's side of paid shares: grants of leases, and its replacement (docs/DESIGN.md section 14.1)."""

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
from .messages import LeaseGrant, LeaseRequest, UsageReport, UsageRequest
from .router_probes import RouterProbes
from .share_account import Available, GrantResult, ShareAccount
from .share_options import REPORT_STEP_S, ShareOptions
from .standby_account import StandbyAccount
from .tolerance import QuotaPlan, QuotaTolerance, make_plan, make_tenant_plan

USAGE_TIMEOUT_S = Seconds(0.3)
CLOSED_AFTER_HANDOVER_S = Seconds(1.0)
"""An allocator that has handed its bucket over to the next one grants nothing for this long."""

REPORTS_WAIT_FRACTION = 0.8
"""Fraction of the hedge delay for which calls wait for usage reports, so that the answer precedes a hedged request."""

TenantInForce = Callable[[TenantName], Tenant | None]
"""Returns the tenant according to the bundle in force, or None when the bundle does not have it."""
OwnUsage = Callable[[UsageRequest], UsageReport]
"""Returns this router's own usage report."""


class ShareAllocator:
    """Grants leases on the shares that this router allocates, and on those for which it is the acting standby.

    Owns the accounts by tenant, and until when requests are declined.
    """

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        selector: AllocatorSelector,
        status: AllocatorStatus,
        probes: RouterProbes,
        tenant_in_force: TenantInForce,
        report_usage: OwnUsage,
        options: ShareOptions,
        tolerance: QuotaTolerance,
    ) -> None:
        self._context = context
        self._messenger = messenger
        self._selector = selector
        self._status = status
        self._probes = probes
        self._tenant_in_force = tenant_in_force
        self._report_usage = report_usage
        self._options = options
        self._tolerance = tolerance
        self._accounts: dict[TenantName, ShareAccount] = {}
        self._standby_accounts: dict[TenantName, StandbyAccount] = {}
        self._closed_until: dict[TenantName, Instant] = {}
        self._declining_until = Instant(0.0)

    # Lease requests

    async def answer(self, requester: Identity, request: LeaseRequest) -> LeaseGrant:
        """Answers a lease request as allocator, as acting standby, or by declining it."""
        if not self._is_allocator_of(request.tenant, self._now()):
            is_standby = await self._probes.must_act_as_standby(request.tenant)
            if not self._is_allocator_of(request.tenant, self._now()):  # Otherwise the allocator has ended.
                return self._grant_as_standby(request) if is_standby else LeaseGrant(False)
        now = self._now()
        plan = self._plan(request)
        account = self._accounts.get(request.tenant)
        if account is None:
            account = self._open_account(request.tenant, plan, now)
        if account.is_outdated(requester, request):
            return LeaseGrant(False)
        account.change_plan(plan, now)
        if account.reports_pending is None and not self._probes.missing():
            account.clear_missing()
        confirmed = self._status.is_session_confirmed(now)
        allowed_rate = account.renew_lease(requester, request, now, may_rise=confirmed)
        result = await self._grant_after_reports(account, request.costs, unconfirmed=not confirmed)
        now = self._now()
        available = account.available(now, unconfirmed=not confirmed)
        return LeaseGrant(
            is_allocator=True,
            from_standby=False,
            granted=result.granted,
            wait=result.wait,
            allowed_rate=allowed_rate,
            credit_available=_covers_credit(available, plan),
            view=account.view(available.in_bucket, now),
        )

    async def _grant_after_reports(self, account: ShareAccount, costs: Sequence[int], unconfirmed: bool) -> GrantResult:
        """Grants as ``ShareAccount.grant``, with a second attempt for calls that were not granted.

        The second attempt is made when a new allocator has collected the usage reports, or after
        ``REPORTS_WAIT_FRACTION`` of the hedge delay.
        """
        first = account.grant(costs, self._now(), unconfirmed)
        if account.reports_pending is None or all(first.granted):
            return first
        wait_s = REPORTS_WAIT_FRACTION * self._options.hedge_delay_s
        await asyncio.wait((account.reports_pending,), timeout=wait_s)
        not_granted = [cost for cost, fits in zip(costs, first.granted, strict=True) if not fits]
        second = account.grant(not_granted, self._now(), unconfirmed)
        later = iter(second.granted)
        return GrantResult(tuple(fits or next(later) for fits in first.granted), second.wait)

    def _plan(self, request: LeaseRequest) -> QuotaPlan:
        in_force = self._tenant_in_force(request.tenant)
        if in_force is not None and in_force.paid_rate > 0:
            return make_tenant_plan(in_force, self._tolerance)
        return make_plan(request.paid_rate, request.burst, request.unit, self._tolerance)

    def _grant_as_standby(self, request: LeaseRequest) -> LeaseGrant:
        now = self._now()
        account = self._standby_accounts.get(request.tenant)
        if account is None:
            account = self._standby_accounts[request.tenant] = StandbyAccount(
                self._plan(request), self._tolerance.window, now
            )
        return LeaseGrant(True, True, account.grant(request.costs, request.transferred, now))

    # Selection

    def _is_allocator_of(self, tenant: TenantName, now: Instant) -> bool:
        allocator = self._selector.allocator(tenant)
        self.reset_after_gap(now)
        if allocator is not None and self._probes.has_ended(allocator):
            allocator = self._selector.standby(tenant)
        if allocator is None or allocator.incarnation != self._messenger.identity.incarnation:
            self._accounts.pop(tenant, None)
            return False
        return now >= max(self._declining_until, self._closed_until.get(tenant, 0.0))

    def reset_after_gap(self, now: Instant) -> None:
        """Discards all accounts after a gap, during which another allocator may have granted.

        A gap is a process pause, a partition or a lost session. The accounts start again from the routers' usage
        reports. Until ``grant_delay_after_gap_s`` has passed, requests are declined: those that waited in buffers
        come from routers that have long continued without them.
        """
        if self._status.detect_gap(now):
            self._accounts.clear()
            self._declining_until = Instant(now + self._options.grant_delay_after_gap_s)

    def sweep(self, now: Instant) -> None:
        """Drops accounts, routers and probe results that are no longer needed, and pings missing routers."""
        for tenant, account in list(self._accounts.items()):
            self._is_allocator_of(tenant, now)
            account.routers.drop_unresponsive(now)
        self._probes.drop_expired(now)
        if self._accounts:
            self._probes.ping_missing()
        for tenant in [tenant for tenant, until in self._closed_until.items() if until <= now]:
            del self._closed_until[tenant]

    # Replacement of another allocator

    def _open_account(self, tenant: TenantName, plan: QuotaPlan, now: Instant) -> ShareAccount:
        account = self._accounts[tenant] = ShareAccount(plan, self._tolerance.window, plan.reserve, now)
        if self._selector.count() <= self._options.max_reporting_routers:
            account.reports_requested = True
            pending = account.reports_pending = asyncio.get_running_loop().create_future()
            self._context.tasks.spawn("share usage reports", self._collect_reports(tenant, account, pending))
        return account

    async def _collect_reports(self, tenant: TenantName, account: ShareAccount, done: asyncio.Future[None]) -> None:
        """Collects the routers' usage reports and starts the account on their basis."""
        try:
            routers = [router for router in self._selector.routers() if not self._probes.has_ended(router)]
            request = UsageRequest(tenant, account.window_s, REPORT_STEP_S)
            answers = await asyncio.gather(*(self._request_usage(router, request) for router in routers))
            if self._accounts.get(tenant) is account:
                self._inherit(tenant, account, list(zip(routers, answers, strict=True)))
        finally:
            account.reports_pending = None
            done.set_result(None)

    def _inherit(
        self, tenant: TenantName, account: ShareAccount, reports: list[tuple[Identity, UsageReport | None]]
    ) -> None:
        """Starts the account from the reports; None is the report of a router that did not answer."""
        unresponsive = [router for router, answer in reports if answer is None and not self._probes.has_ended(router)]
        missing = self._probes.missing() + unresponsive
        allocator_missing = self._selector.may_have_been_allocator(tenant, missing)
        account.inherit(reports, len(missing), allocator_missing, self._now())
        self._context.log.event("allocator-started", tenant=tenant, level=account.bucket.level)

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
        if account.reports_pending is not None:
            return own_use
        account.bucket.refill(now)
        return msgspec.structs.replace(own_use, level=account.bucket.level)

    def _now(self) -> Instant:
        return self._context.clock.monotonic()


def _covers_credit(available: Available, plan: QuotaPlan) -> bool:
    """Returns whether enough is available for the routers to use credit."""
    return min(available.in_bucket, available.in_window) >= max(2.0 * plan.credit, 0.25 * plan.bucket)
