"""One tenant's share at one router: its use, its lease, and the calls that wait (docs/DESIGN.md section 14.1)."""

from __future__ import annotations

import asyncio
from collections import deque
from enum import Enum

from ..bundle.model import Tenant
from ..identifiers import Instant, Seconds
from .messages import LeaseRequest, UsageReport, UsageRequest
from .protocols import CallRejection
from .router_lease import RouterLease
from .standby_failover import StandbyFailover
from .tolerance import QuotaTolerance
from .unclaimed_grants import UnclaimedGrants
from .usage_counter import UsageCounter


class WaitResult(Enum):
    """Result of a wait for the allocator that was not a rejection."""

    GRANTED = "granted"
    FALL_BACK = "fall back"
    """Nobody answered: the call must use what this router may use without a request."""


class Waiter:
    """A call that waits for the answer of the share allocator."""

    __slots__ = ("cost", "result")

    def __init__(self, cost: int) -> None:
        self.cost = cost
        self.result: asyncio.Future[CallRejection | WaitResult] = asyncio.get_running_loop().create_future()

    def resolve(self, result: CallRejection | WaitResult) -> None:
        """Ends the wait, unless the call no longer waits."""
        if not self.result.done():
            self.result.set_result(result)


class RouterShare:
    """Owns the waiting calls of one tenant, and when its allocator may be asked again.

    Its parts own the use (``usage``), what may be used without a request (``lease``, ``unclaimed``) and the choice
    between allocator and standby (``failover``).
    """

    def __init__(
        self, tenant: Tenant, tolerance: QuotaTolerance, routers: int, started_at: Instant, now: Instant
    ) -> None:
        self.tenant = tenant
        self.usage = UsageCounter(tolerance.window, now)
        self.lease = RouterLease(tenant, tolerance, routers, started_at, now)
        self.unclaimed = UnclaimedGrants()
        self.failover = StandbyFailover()
        self.waiters: deque[Waiter] = deque()
        self.request_active = False
        self.report_scheduled = False
        self.bucket_empty_until = Instant(0.0)
        """Calls that do not fit into the lease are rejected without a request until then."""
        self.next_probe_at = Instant(0.0)
        """While neither allocator nor standby answers, no request is made until then."""

    def update(self, tenant: Tenant, routers: int, now: Instant) -> None:
        """Applies the tenant in the bundle in force and the number of routers."""
        self.tenant = tenant
        self.lease.update(tenant, routers, now)

    def take(self, cost: int, now: Instant) -> bool:
        """Charges the call without a request, to an unclaimed grant or the lease; returns whether it fits."""
        grant = self.unclaimed.take(cost, now)
        if grant is not None:
            if grant.from_standby:
                self.lease.add_outstanding(cost)
        elif not self.lease.take(cost, now):
            return False
        self.usage.record_admitted(cost, now)
        return True

    def has_unreported_use(self, now: Instant) -> bool:
        """Returns whether the allocator must be asked although no call waits: to report use or return allowance."""
        return self.lease.outstanding() > 0 or (self.lease.has_allowance() and self.usage.is_idle(now))

    def is_unused(self, now: Instant) -> bool:
        """Returns whether the state may be dropped."""
        return not (self.request_active or self.waiters) and self.usage.is_expired(now)

    def make_request(self, number: int, costs: tuple[int, ...], to_standby: bool, now: Instant) -> LeaseRequest:
        """Makes a lease request and resets the outstanding amount, which the request reports.

        Until the answer, the router continues with the smaller of its allowed rate and its needed rate.
        The allocator assumes this once it has the request. A standby (``to_standby``) does not forward the
        request, so the allowed rate then stays unchanged.
        """
        needed_rate = self.usage.needed_rate(now)
        if not to_standby:
            self.lease.lower_allowed_rate(needed_rate, now)
        accrued = self.lease.accrued(now)
        transferred = 0.0
        if self.failover.granted_by_standby():
            transferred = accrued
            self.lease.transfer_accrued()
        return LeaseRequest(
            tenant=self.tenant.name,
            paid_rate=self.tenant.paid_rate,
            burst=self.tenant.burst,
            unit=self.tenant.unit,
            number=number,
            costs=costs,
            used=self.lease.reset_outstanding(),
            needed_rate=needed_rate,
            accrued=accrued,
            transferred=transferred,
        )

    def report_usage(
        self, request: UsageRequest, covered_span: Seconds, request_number: int, now: Instant
    ) -> UsageReport:
        """Returns the usage report for a new allocator, which includes and resets the outstanding amount."""
        by_step = self.usage.by_step(request.window, request.step, now)
        return self.lease.report_usage(by_step, covered_span, request_number, now)
