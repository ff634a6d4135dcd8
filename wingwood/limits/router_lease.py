"""What the allocator leases of a tenant's share to one router (docs/DESIGN.md section 14.1)."""

from __future__ import annotations

from ..bundle.model import Tenant
from ..identifiers import Instant, Seconds
from .bucket import TokenBucket
from .messages import AllocatorView, LeaseGrant, UsageReport
from .share_options import ACCRUAL_LIMIT_S, AUTONOMY_S
from .tolerance import QuotaPlan, QuotaTolerance, make_tenant_plan

NO_CREDIT_AFTER_START_S = Seconds(3.0)
"""A router that has just started does not know how many others there are, so it uses no credit for this long."""
MIN_CREDIT_CALLS = 1.0
"""Calls that a router may always admit on credit, if the tenant's unit is calls."""
CREDIT_CALL_INTERVAL_S = Seconds(4.0)
"""Interval after which the credit allows another such call while the allocator is unreachable."""
NO_ALLOWANCE_WAIT_S = Seconds(60.0)
"""Assumed time until a call fits, when the router may use nothing without a request."""
ROUNDING_TOLERANCE = 1e-6


class RouterLease:
    """Owns the allowance, the credit, and the outstanding use, which the allocator does not know of yet."""

    def __init__(
        self, tenant: Tenant, tolerance: QuotaTolerance, routers: int, started_at: Instant, now: Instant
    ) -> None:
        self._tolerance = tolerance
        self._started_at = started_at
        self._tenant = tenant
        self._routers = routers
        self._plan: QuotaPlan = make_tenant_plan(tenant, tolerance)
        self._allowance = TokenBucket(0.0, 0.0, 0.0, now)
        """What the allocator allows this router to use on its own."""
        self._credit = TokenBucket(0.0, 0.0, 0.0, now)
        self._resize_credit(now)
        self._credit.level = self._credit.capacity
        self._credit_available = False
        """Whether the allocator's bucket has enough for credit, according to the last grant."""
        self._outstanding = 0
        """Amount used without a grant of the allocator and not yet reported to it."""
        self._usage_reports = 0
        """Number of usage reports made for new allocators; each includes what was outstanding until then."""
        self._last_contact_at: Instant | None = None
        """Time at which the last request that the allocator answered was sent."""
        self._allocator_unresponsive = False
        """True when the allocator does not answer, whether or not its standby does."""
        self._latest_view: AllocatorView | None = None
        """The latest view of the entire fleet's use that an allocator sent."""
        self._latest_view_at = now

    def update(self, tenant: Tenant, routers: int, now: Instant) -> None:
        """Applies the tenant's plan in the bundle in force and the number of routers."""
        if tenant is self._tenant and routers == self._routers:
            return
        self._tenant, self._routers = tenant, routers
        self._plan = make_tenant_plan(tenant, self._tolerance)
        self._resize_credit(now)

    def _resize_credit(self, now: Instant) -> None:
        """Sets the credit to half of this router's equal part.

        It refills once per window, so that at most the full equal part is used in a window.
        """
        capacity = 0.5 * self._plan.credit / max(1, self._routers)
        rate = capacity / self._tolerance.window
        if self._tenant.unit == "calls":
            capacity, rate = max(capacity, MIN_CREDIT_CALLS), max(rate, MIN_CREDIT_CALLS / CREDIT_CALL_INTERVAL_S)
        self._credit.reconfigure(rate, capacity, now)

    # State

    def paid_rate(self) -> float:
        """Returns the tenant's rate per second over the entire fleet."""
        return self._plan.rate

    def outstanding(self) -> int:
        """Returns the amount used without a grant of the allocator and not yet reported to it."""
        return self._outstanding

    def usage_reports(self) -> int:
        """Returns the number of usage reports made so far; compare ``restore_outstanding``."""
        return self._usage_reports

    def last_contact_at(self) -> Instant | None:
        """Returns when the last request that the allocator answered was sent; None before the first."""
        return self._last_contact_at

    def allocator_unresponsive(self) -> bool:
        """Returns whether the allocator does not answer, whether or not its standby does."""
        return self._allocator_unresponsive

    def has_allowance(self) -> bool:
        """Returns whether the allocator allows this router a rate."""
        return self._allowance.rate > 0

    def credit_used(self, now: Instant) -> float:
        """Returns the amount used on credit and not refilled yet."""
        self._credit.refill(now)
        return max(0.0, self._credit.capacity - self._credit.level)

    def is_credit_half_used(self, now: Instant) -> bool:
        """Returns whether at least half of the credit is used, so that use must be reported at once."""
        return self.credit_used(now) >= 0.5 * self._credit.capacity

    def time_until_allowance(self, cost: int, now: Instant) -> Seconds:
        """Returns the seconds until a call would fit into what the router may use on its own."""
        if self._allowance.rate > 0:
            return self._allowance.seconds_until(now, cost)
        return self._credit.seconds_until(now, cost) if self._allocator_unresponsive else NO_ALLOWANCE_WAIT_S

    # Use without a request

    def take(self, cost: int, now: Instant) -> bool:
        """Charges the call to the allowance and, where credit is available, the credit; returns whether it fits."""
        self._refill(now)
        self._credit.refill(now)
        allowance = max(0.0, self._allowance.level)
        credit = self._credit.level if self._may_use_credit(now) else 0.0
        if cost > allowance + credit + ROUNDING_TOLERANCE:
            return False
        self._allowance.level = allowance - min(allowance, cost)
        self._credit.level -= max(0.0, cost - allowance)
        self._outstanding += cost
        return True

    def _may_use_credit(self, now: Instant) -> bool:
        available = self._credit_available if self._last_contact_at is not None else self._allocator_unresponsive
        if not available or now - self._started_at < NO_CREDIT_AFTER_START_S:
            return False
        return self._allocator_unresponsive or self._plan.credit > 0.0

    def add_outstanding(self, cost: int) -> None:
        """Records use that only a standby has granted, so that the allocator is informed of it."""
        self._outstanding += cost

    def suspend_credit(self) -> None:
        """Stops the use of credit until the next grant, because the allocator's bucket did not cover a call."""
        self._credit_available = False

    # Requests and their answers

    def reset_outstanding(self) -> int:
        """Returns the outstanding amount for a request that reports it, and resets it."""
        used, self._outstanding = self._outstanding, 0
        return used

    def restore_outstanding(self, used: int, usage_reports: int) -> None:
        """Counts reported use as outstanding again, after the request that reported it was not answered.

        Does nothing when another usage report was made since then, as that one included the use.
        """
        if self._usage_reports == usage_reports:
            self._outstanding += used

    def subtract_outstanding(self, used: int) -> None:
        """Removes use that was counted as outstanding again, after the allocator has answered late."""
        self._outstanding = max(0, self._outstanding - used)

    def lower_allowed_rate(self, needed_rate: float, now: Instant) -> None:
        """Limits the allowed rate to the needed one until the next answer; the allocator assumes the same."""
        self._refill(now)
        self._set_allowed_rate(min(self._allowance.rate, needed_rate), now)

    def accrued(self, now: Instant) -> float:
        """Returns the unused part of the allowance that has accumulated."""
        self._refill(now)
        return max(0.0, self._allowance.level)

    def transfer_accrued(self) -> None:
        """Empties the accumulated allowance, which a request transfers to a standby's account."""
        self._allowance.level = 0.0

    def restore_transfer(self, transferred: float) -> None:
        """Adds an allowance back that was transferred with a request."""
        self._allowance.level += transferred

    def apply_grant(self, grant: LeaseGrant, sent_at: Instant, credit_used: float, now: Instant) -> None:
        """Applies a grant of the allocator (not of a standby); ``credit_used`` is the use that the request reported."""
        self._last_contact_at = sent_at
        self._allocator_unresponsive = False
        self._set_allowed_rate(grant.allowed_rate, now)
        self._credit.adjust(credit_used, now)
        self._credit_available = grant.credit_available
        if grant.view is not None:
            self._latest_view, self._latest_view_at = grant.view, now

    def mark_allocator_unresponsive(self, now: Instant) -> None:
        """Lets the allowance accumulate for the full time of autonomy until the allocator answers again."""
        if not self._allocator_unresponsive:
            self._allocator_unresponsive = True
            self._allowance.reconfigure(self._allowance.rate, self._allowance.rate * AUTONOMY_S, now)

    def _refill(self, now: Instant) -> None:
        """Refills the allowance; it ends when the allocator has not answered for ``AUTONOMY_S``."""
        if self._last_contact_at is not None and now - self._last_contact_at > AUTONOMY_S:
            self._allowance.reconfigure(0.0, 0.0, now)
        self._allowance.refill(now)

    def _set_allowed_rate(self, rate: float, now: Instant) -> None:
        max_accrual_s = AUTONOMY_S if self._allocator_unresponsive else ACCRUAL_LIMIT_S
        self._allowance.reconfigure(rate, rate * max_accrual_s, now)

    # Failover of the allocator

    def report_usage(
        self, by_step: tuple[int, ...], covered_span: Seconds, request_number: int, now: Instant
    ) -> UsageReport:
        """Returns the usage report for a new allocator, which includes and resets the outstanding amount."""
        self._refill(now)
        self._outstanding = 0
        self._usage_reports += 1
        return UsageReport(
            used=by_step,
            covered_span=covered_span,
            level=None,
            number=request_number,
            allowed_rate=self._allowance.rate,
            accrued=max(0.0, self._allowance.level),
            view=self._latest_view,
            view_age=Seconds(now - self._latest_view_at),
        )
