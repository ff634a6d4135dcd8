"""All tenants' shares at one router (docs/DESIGN.md section 14.1)."""

from __future__ import annotations

from ..bundle.model import Tenant
from ..context.protocols import Clock
from ..identifiers import Seconds, TenantName
from .allocator_selector import AllocatorSelector
from .messages import UsageReport, UsageRequest
from .router_share import RouterShare
from .share_options import ShareOptions
from .tolerance import QuotaTolerance


class RouterShares:
    """Owns the shares by tenant, the time of this router's start, and the numbers of its lease requests."""

    def __init__(
        self, clock: Clock, selector: AllocatorSelector, options: ShareOptions, tolerance: QuotaTolerance
    ) -> None:
        self._clock = clock
        self._selector = selector
        self._startup_period_s = options.startup_period_s
        self._tolerance = tolerance
        self._shares: dict[TenantName, RouterShare] = {}
        self._started_at = clock.monotonic()
        self._request_count = 0

    def share_of(self, tenant: Tenant) -> RouterShare:
        """Returns the tenant's share, updated to the tenant's present plan and the number of routers."""
        now, routers = self._clock.monotonic(), self._selector.count()
        share = self._shares.get(tenant.name)
        if share is None:
            share = RouterShare(tenant, self._tolerance, routers, self._started_at, now)
            self._shares[tenant.name] = share
        share.update(tenant, routers, now)
        return share

    def all(self) -> list[RouterShare]:
        """Returns all shares, the oldest first."""
        return list(self._shares.values())

    def remove(self, share: RouterShare) -> None:
        """Drops the state of a tenant without calls."""
        self._shares.pop(share.tenant.name, None)

    def is_starting(self) -> bool:
        """Returns whether this router started within ``ShareOptions.startup_period_s``."""
        return self._clock.monotonic() - self._started_at < self._startup_period_s

    def next_request_number(self) -> int:
        """Returns the number for the next lease request of this router."""
        self._request_count += 1
        return self._request_count

    def report_usage(self, request: UsageRequest) -> UsageReport:
        """Returns the usage report for a new allocator, which includes the outstanding use."""
        now = self._clock.monotonic()
        covered_span = Seconds(min(request.window, now - self._started_at))
        share = self._shares.get(request.tenant)
        if share is None:
            return UsageReport((), covered_span, None, self._request_count)
        return share.report_usage(request, covered_span, self._request_count, now)
