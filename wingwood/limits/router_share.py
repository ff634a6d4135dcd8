"""A router's part of one tenant's share (docs/DESIGN.md section 14.1)."""

from __future__ import annotations

import asyncio
from collections import deque

import msgspec

from ..bundle.model import Tenant
from ..identifiers import Incarnation, Instant, Seconds
from .bucket import SlidingWindowCounter, TokenBucket
from .messages import RECENT_WINDOW_S, AllocatorView, LeaseGrant, LeaseRequest, UsageReport
from .protocols import ShareRefused
from .share_account import ACCRUAL_LIMIT_S, AUTONOMY_S
from .takeover import REPORT_STEP_S
from .tolerance import QuotaPlan, QuotaTolerance, make_tenant_plan

MIN_RECENT_CALLS = 2
"""A router with fewer calls of the tenant within ``RECENT_WINDOW_S`` requests no allowance."""
IDLE_S = Seconds(1.5)
"""A router without a call for this long returns its allowance."""
SETTLE_DELAY_S = Seconds(0.25)
"""Use without a grant is reported to the allocator this long after its last answer."""
NO_CREDIT_AFTER_START_S = Seconds(3.0)
"""A router that has just started does not know how many others there are, so it uses no credit for this long."""
MIN_CREDIT_CALLS = 1.0
"""Calls that a router may always admit on credit, if the tenant's unit is calls."""
CREDIT_CALL_INTERVAL_S = Seconds(4.0)
"""Interval after which the credit allows another such call while the allocator is unreachable."""

SPARE_GRANT_LIFETIME_S = Seconds(1.0)
"""A grant whose call no longer waits may be used by another call for this long."""


class _SpareGrant(msgspec.Struct):
    """A grant whose call no longer waits for it."""

    until: Instant
    left: int
    from_deputy: bool
    """True when a deputy granted it, so that its use must be reported to the allocator."""


class Waiter:
    """A call that waits for the answer of the share allocator."""

    __slots__ = ("cost", "outcome")

    def __init__(self, cost: int, outcome: asyncio.Future[ShareRefused | str]) -> None:
        self.cost = cost
        self.outcome = outcome

    def resolve(self, outcome: ShareRefused | str) -> None:
        if not self.outcome.done():
            self.outcome.set_result(outcome)


class RouterShare:
    """Counts one tenant's use at this router and holds what may be used without a request."""

    def __init__(self, tenant: Tenant, tolerance: QuotaTolerance, routers: int, started: Instant, now: Instant) -> None:
        self._tolerance = tolerance
        self._started = started
        self.tenant = tenant
        self.plan: QuotaPlan = make_tenant_plan(tenant, tolerance)
        self.accepted = SlidingWindowCounter(Seconds(max(RECENT_WINDOW_S, tolerance.window) + REPORT_STEP_S))
        self._calls = SlidingWindowCounter(RECENT_WINDOW_S)
        self.last_call_at = now
        self.allowance = TokenBucket(0.0, 0.0, 0.0, now)
        """What the allocator allows this router to use on its own."""
        self.credit = TokenBucket(0.0, 0.0, 0.0, now)
        self._routers = routers
        self._resize_credit(now)
        self.credit.level = self.credit.capacity
        self._spare: list[_SpareGrant] = []
        self.unsettled = 0
        """Amount used without a grant of the allocator and not yet reported to it."""
        self.reports = 0
        """Number of usage reports sent to new allocators; each includes what was unsettled until then."""
        self.last_contact: Instant | None = None
        """Time at which the last request that the allocator answered was sent."""
        self.credit_available = False
        """Whether the allocator's bucket holds enough for credit, according to the last grant."""
        self.latest_view: AllocatorView | None = None
        """The latest view of the whole fleet's use that an allocator sent."""
        self.latest_view_at = now
        self.waiters: deque[Waiter] = deque()
        self.request_active = False
        self.settle_scheduled = False
        self.bucket_empty_until = Instant(0.0)
        self.next_probe = Instant(0.0)
        self.unreachable_since: Instant | None = None
        """Time since which neither the allocator nor its deputy answers; None while one of them does."""
        self.deputized_allocator: Incarnation | None = None
        """The allocator in whose place requests go to the deputy; None while they go to the allocator."""
        self.granted_by_deputy = False
        """True when the last grant came from a deputy's account; the allowance is then transferred to that account."""
        self.allocator_silent = False
        """True when the allocator does not answer, whether or not its deputy does."""

    def update(self, tenant: Tenant, routers: int, now: Instant) -> None:
        if tenant is self.tenant and routers == self._routers:
            return
        self.tenant, self._routers = tenant, routers
        self.plan = make_tenant_plan(tenant, self._tolerance)
        self._resize_credit(now)

    def _resize_credit(self, now: Instant) -> None:
        """Sets the credit to half of this router's equal part.

        It refills once per window, so that at most the full equal part is used in a window.
        """
        capacity = 0.5 * self.plan.credit / max(1, self._routers)
        rate = capacity / self._tolerance.window
        if self.tenant.unit == "calls":
            capacity, rate = max(capacity, MIN_CREDIT_CALLS), max(rate, MIN_CREDIT_CALLS / CREDIT_CALL_INTERVAL_S)
        self.credit.reconfigure(rate, capacity, now)

    # Taking

    def take(self, cost: int, now: Instant) -> bool:
        """Charges the call without a request; returns whether it fits.

        The call may use spare grants, the allowance and, where credit is available, the credit.
        """
        if self._take_spare(cost, now):
            return True
        self._expire(now)
        self.allowance.refill(now)
        self.credit.refill(now)
        on_credit = self.credit_available if self.last_contact is not None else self.allocator_silent
        on_credit = (
            on_credit
            and now - self._started >= NO_CREDIT_AFTER_START_S
            and (self.allocator_silent or self.plan.credit > 0.0)
        )
        allowance = max(0.0, self.allowance.level)
        if cost > allowance + (self.credit.level if on_credit else 0.0) + 1e-6:
            return False
        self.allowance.level = allowance - min(allowance, cost)
        self.credit.level -= max(0.0, cost - allowance)
        self.unsettled += cost
        self.count(cost, now)
        return True

    def add_spare(self, cost: int, from_deputy: bool, now: Instant) -> None:
        self._spare.append(_SpareGrant(Instant(now + SPARE_GRANT_LIFETIME_S), cost, from_deputy))

    def _take_spare(self, cost: int, now: Instant) -> bool:
        if not self._spare:
            return False
        self._spare = [spare for spare in self._spare if spare.until > now and spare.left > 0]
        fitting = next((spare for spare in self._spare if spare.left >= cost), None)
        if fitting is None:
            return False
        fitting.left -= cost
        self.unsettled += cost if fitting.from_deputy else 0
        self.count(cost, now)
        return True

    def count(self, cost: int, now: Instant) -> None:
        self.accepted.add(now, cost)
        self._calls.add(now)

    def time_until_allowance(self, cost: int, now: Instant) -> Seconds:
        """Returns the seconds until a call would fit into what the router may use on its own."""
        if self.allowance.rate > 0:
            return self.allowance.seconds_until(now, cost)
        return self.credit.seconds_until(now, cost) if self.allocator_silent else Seconds(60.0)

    def _expire(self, now: Instant) -> None:
        if self.last_contact is not None and now - self.last_contact > AUTONOMY_S:
            self.allowance.reconfigure(0.0, 0.0, now)

    # Requests

    def needed_rate(self, now: Instant) -> float:
        """Returns the rate per second that this router needs, or 0 when it had few or no recent calls."""
        if now - self.last_call_at > IDLE_S or self._calls.count(now) < MIN_RECENT_CALLS:
            return 0.0
        return self.accepted.count(now, RECENT_WINDOW_S) / RECENT_WINDOW_S

    def has_unreported_use(self, now: Instant) -> bool:
        return self.unsettled > 0 or (self.allowance.rate > 0 and now - self.last_call_at > IDLE_S)

    def make_request(self, number: int, costs: tuple[int, ...], to_deputy: bool, now: Instant) -> LeaseRequest:
        """Makes a lease request and resets the unsettled amount, which the request reports.

        Until the answer, the router continues with the smaller of its allowed rate and its needed rate.
        The allocator assumes this once it has the request. A deputy (``to_deputy``) does not forward the
        request, so the allowed rate then stays unchanged.
        """
        needed_rate = self.needed_rate(now)
        self._expire(now)
        self.allowance.refill(now)
        if not to_deputy:
            self._set_allowed_rate(min(self.allowance.rate, needed_rate), now)
        tenant, transferred = self.tenant, 0.0
        used, self.unsettled = self.unsettled, 0
        saved = max(0.0, self.allowance.level)
        if self.granted_by_deputy:
            transferred, self.allowance.level = saved, 0.0
        return LeaseRequest(
            tenant.name,
            tenant.paid_rate,
            tenant.burst,
            tenant.unit,
            number,
            costs,
            used,
            needed_rate,
            saved,
            transferred,
        )

    def apply_grant(self, grant: LeaseGrant, sent: Instant, credit_back: float, now: Instant) -> None:
        """Applies a grant of the allocator (not of a deputy)."""
        self.last_contact = sent
        self.allocator_silent = False
        self._set_allowed_rate(grant.allowed_rate, now)
        self.credit.adjust(credit_back, now)
        self.credit_available = grant.credit_available
        if grant.view is not None:
            self.latest_view, self.latest_view_at = grant.view, now

    def mark_allocator_silent(self, now: Instant) -> None:
        if not self.allocator_silent:
            self.allocator_silent = True
            self.allowance.reconfigure(self.allowance.rate, self.allowance.rate * AUTONOMY_S, now)

    def credit_used(self, now: Instant) -> float:
        self.credit.refill(now)
        return max(0.0, self.credit.capacity - self.credit.level)

    def _set_allowed_rate(self, rate: float, now: Instant) -> None:
        self.allowance.reconfigure(rate, rate * (AUTONOMY_S if self.allocator_silent else ACCRUAL_LIMIT_S), now)

    # Reporting

    def report(self, window: Seconds, step: Seconds, covered_span: Seconds, number: int, now: Instant) -> UsageReport:
        """Returns the usage report for a new allocator, which includes and resets the unsettled amount."""
        self._expire(now)
        self.allowance.refill(now)
        self.unsettled = 0
        self.reports += 1
        steps = self.accepted.counts_by_age(now, step)[: int(window / step) + 1]
        ago = Seconds(now - self.latest_view_at)
        return UsageReport(
            steps,
            covered_span,
            None,
            number,
            self.allowance.rate,
            max(0.0, self.allowance.level),
            self.latest_view,
            ago,
        )
