"""The allocator's account of one tenant's share (docs/DESIGN.md section 14.1)."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import msgspec

from ..identifiers import Instant, Seconds
from ..transport.frames import Identity
from .bucket import SlidingWindowCounter, TokenBucket
from .inherited_usage import InheritedUsage, merge_reports
from .messages import AllocatorView, LeaseRequest, UsageReport
from .router_records import MissingRouters, RouterRecord, RouterRecords
from .share_options import REPORT_STEP_S
from .tolerance import QuotaPlan

MAX_LOAD_SKEW = 3.0
"""The missing routers may receive up to this many times an equal part of the calls."""
DETECTION_DELAY_S = Seconds(2.5)
"""A router may be missing for this long before another allocator starts."""
CONTACT_INTERVAL_S = Seconds(1.0)
"""A router that reaches its allocator reports its use within this time."""
LARGE_CALL_BUCKET_FRACTION = 0.8
"""A call that costs more than this fraction of the bucket is granted when the bucket has that fraction."""
WINDOW_FULL_RETRY_S = Seconds(0.25)
"""Shortest retry time of a call that does not fit into the window."""
NARROW_WINDOW_S = Seconds(0.35)
"""The routers' allowances shrink when less is left in the window than the paid rate uses in this time."""
UNCONFIRMED_WINDOW_FRACTION = 0.25
"""Fraction of the bucket that an allocator without a confirmed session adds to its window."""
UNCONFIRMED_RESERVED_FRACTION = 0.5
"""Fraction of the bucket that an allocator without a confirmed session does not grant."""
ROUNDING_TOLERANCE = 1e-6


class Available(msgspec.Struct):
    """What may be granted at one instant, in the tenant's unit; a grant must fit into both amounts."""

    in_bucket: float
    in_window: float


class GrantResult(msgspec.Struct, frozen=True):
    """Which of several calls were granted."""

    granted: tuple[bool, ...]
    """For each call, in the order of their costs, whether it was granted."""
    wait: Seconds
    """Seconds until the first call that was not granted could fit; 0 if all were granted."""


class ShareAccount:
    """One tenant's bucket and window.

    A call is granted when the bucket covers its cost in addition to what the routers have accumulated,
    and when the window has capacity for it in addition to all that routers may have used on their own
    since their last requests.
    """

    def __init__(self, plan: QuotaPlan, window_s: Seconds, level: float, now: Instant) -> None:
        self.plan = plan
        self.window_s = window_s
        self.bucket = TokenBucket(plan.rate, plan.bucket, level, now)
        self.used = SlidingWindowCounter(Seconds(window_s + SlidingWindowCounter.STEP_S))
        self.reports_pending: asyncio.Future[None] | None = None
        """Completed when the usage reports of the routers have been collected; None when none are awaited."""
        self.reports_requested = False
        """Whether usage reports were requested at the start of the account.

        If not, the bucket starts at the reserve and is not charged for use before the start. What a router has
        accumulated was set aside by the previous allocator.
        """
        self.routers = RouterRecords(window_s)
        self._granted_before_reports = 0.0
        self._missing: MissingRouters | None = None
        self._known_since = now

    def change_plan(self, plan: QuotaPlan, now: Instant) -> None:
        """Applies a new plan; a lower limit takes effect from now on, so the use under the higher one is discarded."""
        if plan == self.plan:
            return
        if plan.max_window_use < self.plan.max_window_use:
            self.used.clear()
        self.plan = plan
        self.bucket.reconfigure(plan.rate, plan.bucket, now)

    def charge(self, tokens: float, now: Instant) -> None:
        """Charges use to the bucket and the window."""
        self.bucket.adjust(-tokens, now)
        self.used.add(now, round(tokens))
        if self.reports_pending is not None:
            self._granted_before_reports += tokens

    def is_outdated(self, requester: Identity, request: LeaseRequest) -> bool:
        """Returns whether the request arrived after a later one of the same router."""
        record = self.routers.get(requester.incarnation)
        return record is not None and request.number <= record.latest_number

    def renew_lease(self, requester: Identity, request: LeaseRequest, now: Instant, may_rise: bool) -> float:
        """Charges what the router used on its own; returns the rate per second that it may use from now on.

        ``may_rise`` False (the session is not confirmed): the allowed rate may fall but not rise.
        """
        record = self._charge_reported_use(requester, request, now)
        totals = self.routers.totals(now, unconfirmed=not may_rise)
        max_allowed_rate = record.allowed_rate
        if may_rise:
            max_allowed_rate = max(0.0, self.plan.rate - totals.allowed_to_others(record))
        totals.subtract(record)
        record.previous_allowed_rate = min(record.allowed_rate, request.needed_rate)
        record.latest_number, record.last_request_at, record.accrued = request.number, now, request.accrued
        totals.add(record)
        in_window = self.available(now, unconfirmed=not may_rise).in_window
        open_fraction = max(0.0, min(1.0, in_window / (self.plan.rate * NARROW_WINDOW_S)))
        totals.subtract(record)
        record.allowed_rate = min(request.needed_rate, max_allowed_rate) * open_fraction
        totals.add(record)
        return record.allowed_rate

    def _charge_reported_use(self, requester: Identity, request: LeaseRequest, now: Instant) -> RouterRecord:
        """Charges the use that the request reports, unless a usage report is awaited, which includes it."""
        record = self.routers.get(requester.incarnation)
        has_history = self.reports_requested or record is not None
        if record is None:
            record = self.routers.add(requester, request.number, now)
        if self.reports_pending is None:
            self.used.add(now, request.used)
            amount = self._amount_to_charge(record, request) if has_history else -request.accrued
            self.bucket.adjust(-amount, now)
        return record

    def _amount_to_charge(self, record: RouterRecord, request: LeaseRequest) -> float:
        """Returns the amount to charge to the bucket.

        What a router used while it was partitioned off is counted in the window only.
        """
        max_rate = max(record.allowed_rate, record.previous_allowed_rate)
        max_use = record.accrued + max_rate * CONTACT_INTERVAL_S + self.plan.credit
        return min(request.used, max_use)

    def clear_missing(self) -> None:
        """Drops the estimate for missing routers.

        Their processes have ended, so they use nothing and granted nothing after reports were requested.
        """
        self._missing = None

    def grant(self, costs: Sequence[int], now: Instant, unconfirmed: bool) -> GrantResult:
        """Charges the calls that fit."""
        granted: list[bool] = []
        wait_s = Seconds(0.0)
        available = self.available(now, unconfirmed)
        for cost in costs:
            needed = min(cost, LARGE_CALL_BUCKET_FRACTION * self.plan.bucket)
            fits = (
                available.in_bucket >= needed - ROUNDING_TOLERANCE and available.in_window >= cost - ROUNDING_TOLERANCE
            )
            granted.append(fits)
            if fits:
                self.charge(cost, now)
                available.in_bucket -= cost
                available.in_window -= cost
            elif not wait_s:
                missing_s = max(0.0, needed - available.in_bucket) / self.plan.rate
                wait_s = Seconds(missing_s if available.in_window >= cost else max(missing_s, WINDOW_FULL_RETRY_S))
        return GrantResult(tuple(granted), wait_s)

    def available(self, now: Instant, unconfirmed: bool) -> Available:
        """Returns the amounts available in the bucket and in the window.

        ``unconfirmed`` means that the session with control is not confirmed, so that another allocator may be
        granting. Then the window is limited to the paid rate and ``UNCONFIRMED_WINDOW_FRACTION`` of the bucket,
        and unresponsive routers are assumed to use their allowance without end.
        """
        self.bucket.refill(now)
        totals = self.routers.totals(now, unconfirmed)
        growth = totals.growth_rate * (now - totals.at)
        bucket_part, window_part = totals.bucket_part + growth, totals.window_part + growth
        level, window_limit = self.bucket.level, self.plan.max_window_use
        if unconfirmed:
            level -= UNCONFIRMED_RESERVED_FRACTION * self.plan.bucket
            window_limit = self.plan.rate * self.window_s + UNCONFIRMED_WINDOW_FRACTION * self.plan.bucket
        if self._missing is not None:
            window_part += self._missing.may_have_used(now, self.window_s)
        return Available(level - bucket_part, window_limit - self.used.count(now) - window_part)

    def view(self, in_bucket: float, now: Instant) -> AllocatorView | None:
        """Returns the view for the next allocator, or None while usage reports are still awaited."""
        if self.reports_pending is not None:
            return None
        covered_span = Seconds(now - self._known_since)
        total_allowed_rate = self.routers.total_allowed_rate(now)
        return AllocatorView(float(self.used.count(now)), total_allowed_rate, covered_span, in_bucket)

    def inherit(
        self,
        reports: Sequence[tuple[Identity, UsageReport | None]],
        missing: int,
        allocator_missing: bool,
        now: Instant,
    ) -> None:
        """Starts the account from the routers' usage reports, in place of the previous allocator's.

        ``missing`` is the number of unresponsive routers that may still be running. If the previous allocator may
        be one of them (``allocator_missing``), it can have granted a part of its bucket without a report.
        """
        received = [(router, report) for router, report in reports if report is not None]
        inherited = merge_reports([report for _, report in received], self.window_s)
        meanwhile = self._granted_before_reports
        level = max(inherited.level(self.plan.rate, self.plan.bucket), self.plan.reserve - sum(inherited.steps))
        self.bucket = TokenBucket(self.plan.rate, self.plan.bucket, level - meanwhile, now)
        self.used.clear()
        for age in range(len(inherited.steps) - 1, -1, -1):
            self.used.add(Instant(now - age * REPORT_STEP_S), inherited.steps[age])
        self.used.add(now, round(meanwhile + inherited.unreported))
        self._known_since = Instant(now - inherited.span)
        for router, report in received:
            self.routers.apply_report(router, report, now)
        self.routers.invalidate_totals()
        if missing:
            self._missing = self._estimate_missing(inherited, len(received), missing, allocator_missing, now)

    def _estimate_missing(
        self, inherited: InheritedUsage, present: int, missing: int, allocator_missing: bool, now: Instant
    ) -> MissingRouters:
        # A majority of the routers may have selected another allocator, which then grants as well.
        total_allowed_rate = self.plan.rate if missing >= present else min(self.plan.rate, inherited.total_allowed_rate)
        allowed_rate = max(0.0, total_allowed_rate - inherited.reported_allowed_rate)
        burst = self.plan.bucket * min(1.0, MAX_LOAD_SKEW * missing / (missing + present)) if allocator_missing else 0.0
        return MissingRouters(now, burst + allowed_rate * DETECTION_DELAY_S, allowed_rate)
