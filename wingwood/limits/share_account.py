"""The allocator's account of one tenant's share (docs/DESIGN.md section 14.1)."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import msgspec

from ..identifiers import DaemonName, Incarnation, Instant, Seconds
from ..transport.frames import Identity
from .bucket import SlidingWindowCounter, TokenBucket
from .messages import AllocatorView, LeaseRequest, UsageReport
from .takeover import REPORT_STEP_S, InheritedUsage, merge_reports
from .tolerance import QuotaPlan

ACCRUAL_LIMIT_S = Seconds(0.3)
"""A router that reaches its allocator accumulates at most this many seconds of its allowed rate."""
AUTONOMY_S = Seconds(10.0)
"""A router may use its allowed rate for this long after the allocator's last answer."""
MAX_LOAD_SKEW = 3.0
"""The missing routers may receive up to this many times an equal part of the calls."""
DETECTION_DELAY_S = Seconds(2.5)
"""A router may be missing for this long before another allocator starts."""
CONTACT_INTERVAL_S = Seconds(1.0)
"""A router that reaches its allocator reports its use within this time."""
REQUEST_LAG_S = Seconds(0.05)
"""Longest transit time of a request under normal conditions; the router uses its allowance meanwhile."""
LARGE_CALL_BUCKET_FRACTION = 0.8
"""A call that costs more than this fraction of the bucket is granted when the bucket holds that fraction."""
WINDOW_FULL_RETRY_S = Seconds(0.25)
"""Shortest retry time of a call that does not fit into the window."""
NARROW_WINDOW_S = Seconds(0.35)
"""The routers' allowances shrink when the window has less room than the paid rate uses in this time."""
UNPROVEN_WINDOW_FRACTION = 0.25
"""Fraction of the bucket that an allocator without a proven session adds to its window."""
UNPROVEN_RESERVED_FRACTION = 0.5
"""Fraction of the bucket that an allocator without a proven session does not grant."""
TOTALS_MAX_AGE_S = Seconds(0.02)
"""Age up to which the totals over many routers are reused; meanwhile they are extrapolated to an upper bound."""
EXACT_TOTALS_MAX_ROUTERS = 32
"""With at most this many routers, the totals are computed for each request."""


class _RouterRecord(msgspec.Struct):
    """State of a router according to its latest request."""

    name: DaemonName
    latest_number: int
    last_request_at: Instant
    allowed_rate: float = 0.0
    previous_allowed_rate: float = 0.0
    """Rate that it uses until it has the latest answer; see ``RouterShare.make_request``."""
    saved: float = 0.0
    """Unused part of its allowance that it has accumulated."""

    def may_have_used(self, now: Instant, window: Seconds, max_duration: Seconds) -> float:
        """Returns the most that it can have used on its own in the last ``window``.

        It is assumed to use its allowed rate for at most ``max_duration`` after its request.
        """
        end = min(now, self.last_request_at + max_duration)
        age = max(0.0, end - max(self.last_request_at, now - window))
        return (self.saved if now - self.last_request_at <= window else 0.0) + max(
            self.allowed_rate, self.previous_allowed_rate
        ) * age


class _RouterTotals(msgspec.Struct):
    """Totals over all routers at one instant."""

    at: Instant
    unproven: bool
    """Whether the totals are for an allocator without a proven session."""
    bucket_part: float = 0.0
    """Part of the bucket that they may have accumulated or may use while a request is in transit."""
    window_part: float = 0.0
    """Part of the window that they may have used since their last requests."""
    promised_rate: float = 0.0
    """Rate per second that they may use on their own."""
    growth_rate: float = 0.0
    """Per second: what ``bucket_part`` and ``window_part`` grow by at most."""

    def add(self, record: _RouterRecord, window: Seconds, sign: float = 1.0) -> None:
        """Adds the router's part, or subtracts it when ``sign`` is -1."""
        max_duration = Seconds(1e9) if self.unproven else AUTONOMY_S
        if self.at <= record.last_request_at + AUTONOMY_S:
            self.promised_rate += sign * record.allowed_rate
        if not (record.allowed_rate or record.previous_allowed_rate or record.saved):
            return
        self.bucket_part += sign * record.may_have_used(self.at, window, ACCRUAL_LIMIT_S)
        self.window_part += sign * record.may_have_used(self.at, window, max_duration)
        self.growth_rate += sign * max(record.allowed_rate, record.previous_allowed_rate)
        if self.at - record.last_request_at <= ACCRUAL_LIMIT_S:
            self.bucket_part += sign * REQUEST_LAG_S * record.allowed_rate


class _MissingRouters(msgspec.Struct, frozen=True):
    """Routers that a new allocator cannot reach and that may still be running."""

    since: Instant
    burst: float
    """Most that they can have used recently without a report."""
    allowed_rate: float
    """Rate per second that they may continue to use on their own, for ``AUTONOMY_S``."""

    def may_have_used(self, now: Instant, window: Seconds) -> float:
        age = min(now, self.since + AUTONOMY_S) - max(self.since, now - window)
        return (self.burst if now - self.since <= window else 0.0) + self.allowed_rate * max(0.0, age)


class ShareAccount:
    """One tenant's bucket and window.

    A call is granted when the bucket covers its cost in addition to what the routers have accumulated,
    and when the window has room for it in addition to all that routers may have used on their own
    since their last requests.
    """

    def __init__(self, plan: QuotaPlan, window: Seconds, level: float, now: Instant) -> None:
        self.plan = plan
        self.window = window
        self.bucket = TokenBucket(plan.rate, plan.bucket, level, now)
        self.used = SlidingWindowCounter(Seconds(window + SlidingWindowCounter.STEP_S))
        self.gathering: asyncio.Future[None] | None = None
        """Completed when the usage reports of the routers have been collected; None when none are awaited."""
        self.reports_requested = False
        """Whether usage reports were requested at the start of the account.

        If not, the bucket starts at the reserve and is not charged for use before the start. What a router has
        accumulated was set aside by the previous allocator.
        """
        self.granted_while_gathering = 0.0
        self.routers: dict[Incarnation, _RouterRecord] = {}
        self._missing: _MissingRouters | None = None
        self._known_since = now
        self._totals: _RouterTotals | None = None

    def change_plan(self, plan: QuotaPlan, now: Instant) -> None:
        """Applies a new plan; a lower limit takes effect from now on, so the use under the higher one is discarded."""
        if plan == self.plan:
            return
        if plan.max_window_use < self.plan.max_window_use:
            self.used.clear()
        self.plan = plan
        self.bucket.reconfigure(plan.rate, plan.bucket, now)

    def charge(self, tokens: float, now: Instant) -> None:
        self.bucket.adjust(-tokens, now)
        self.used.add(now, round(tokens))
        if self.gathering is not None:
            self.granted_while_gathering += tokens

    def is_outdated(self, requester: Identity, request: LeaseRequest) -> bool:
        record = self.routers.get(requester.incarnation)
        return record is not None and request.number <= record.latest_number

    def settle(self, requester: Identity, request: LeaseRequest, now: Instant, may_rise: bool) -> float:
        """Charges what the router used on its own; returns the rate per second that it may use from now on.

        ``may_rise`` False (the session is not proven): the allowed rate may fall but not rise.
        """
        record = self.routers.get(requester.incarnation)
        has_history = self.reports_requested or record is not None
        if record is None:
            for incarnation in [key for key, other in self.routers.items() if other.name == requester.name]:
                del self.routers[incarnation]  # Record of the process before its restart.
            record = self.routers[requester.incarnation] = _RouterRecord(requester.name, request.number, now)
            self._totals = None
        if self.gathering is None:  # Otherwise the router's usage report includes it.
            self.used.add(now, request.used)
            self.bucket.adjust(-self._amount_to_charge(record, request) if has_history else request.saved, now)
        totals = self._current_totals(now, unproven=not may_rise)
        others = totals.promised_rate - (
            record.allowed_rate if totals.at <= record.last_request_at + AUTONOMY_S else 0.0
        )
        max_allowed_rate = max(0.0, self.plan.rate - others) if may_rise else record.allowed_rate
        totals.add(record, self.window, sign=-1.0)
        record.previous_allowed_rate = min(record.allowed_rate, request.needed_rate)
        record.latest_number, record.last_request_at, record.saved = request.number, now, request.saved
        totals.add(record, self.window)
        in_window = self.available(now, unproven=not may_rise)[1]
        open_fraction = max(0.0, min(1.0, in_window / (self.plan.rate * NARROW_WINDOW_S)))
        totals.add(record, self.window, sign=-1.0)
        record.allowed_rate = min(request.needed_rate, max_allowed_rate) * open_fraction
        totals.add(record, self.window)
        return record.allowed_rate

    def promised_rate(self, now: Instant) -> float:
        """Returns the rate per second that all routers together may use on their own."""
        unproven = False if self._totals is None else self._totals.unproven
        return self._current_totals(now, unproven).promised_rate

    def _current_totals(self, now: Instant, unproven: bool) -> _RouterTotals:
        """Returns the totals over all routers.

        With few routers they are computed for this instant, otherwise they are at most ``TOTALS_MAX_AGE_S``
        old. Since then, the parts have grown by at most ``growth_rate``, and the promised rate has not grown.
        """
        totals = self._totals
        max_age = TOTALS_MAX_AGE_S if len(self.routers) > EXACT_TOTALS_MAX_ROUTERS else 0.0
        if totals is not None and totals.unproven == unproven and 0.0 <= now - totals.at <= max_age:
            return totals
        totals = self._totals = _RouterTotals(now, unproven)
        for record in self.routers.values():
            totals.add(record, self.window)
        return totals

    def clear_missing(self) -> None:
        """Drops the estimate for missing routers.

        Their processes have ended, so they use nothing and granted nothing after reports were requested.
        """
        self._missing = None

    def _amount_to_charge(self, record: _RouterRecord, request: LeaseRequest) -> float:
        """Returns the amount to charge to the bucket.

        What a router used while it was partitioned off is counted in the window only.
        """
        return min(
            request.used,
            record.saved
            + max(record.allowed_rate, record.previous_allowed_rate) * CONTACT_INTERVAL_S
            + self.plan.credit,
        )

    def grant(self, costs: Sequence[int], now: Instant, unproven: bool) -> tuple[tuple[bool, ...], Seconds]:
        """Charges the calls that fit.

        Returns which calls were granted, and the seconds until the first refused one could fit.
        """
        granted: list[bool] = []
        wait = Seconds(0.0)
        in_bucket, in_window = self.available(now, unproven)
        for cost in costs:
            needed = min(cost, LARGE_CALL_BUCKET_FRACTION * self.plan.bucket)
            fits = in_bucket >= needed - 1e-6 and in_window >= cost - 1e-6
            granted.append(fits)
            if fits:
                self.charge(cost, now)
                in_bucket -= cost
                in_window -= cost
            elif not wait:
                missing = max(0.0, needed - in_bucket) / self.plan.rate
                wait = Seconds(missing if in_window >= cost else max(missing, WINDOW_FULL_RETRY_S))
        return tuple(granted), wait

    def available(self, now: Instant, unproven: bool) -> tuple[float, float]:
        """Returns the amounts available in the bucket and in the window.

        ``unproven`` means that the session with control is not proven, so that another allocator may be
        granting. Then the window is limited to the paid rate and ``UNPROVEN_WINDOW_FRACTION`` of the bucket,
        and silent routers are assumed to use their allowance without end.
        """
        self.bucket.refill(now)
        totals = self._current_totals(now, unproven)
        since = now - totals.at
        bucket_part, window_part = (
            totals.bucket_part + totals.growth_rate * since,
            totals.window_part + totals.growth_rate * since,
        )
        level, window_limit = self.bucket.level, self.plan.max_window_use
        if unproven:
            level -= UNPROVEN_RESERVED_FRACTION * self.plan.bucket
            window_limit = self.plan.rate * self.window + UNPROVEN_WINDOW_FRACTION * self.plan.bucket
        if self._missing is not None:
            window_part += self._missing.may_have_used(now, self.window)
        return level - bucket_part, window_limit - self.used.count(now) - window_part

    def drop_silent_routers(self, now: Instant) -> None:
        for incarnation in [
            key for key, record in self.routers.items() if now - record.last_request_at > AUTONOMY_S + 2 * self.window
        ]:
            del self.routers[incarnation]
            self._totals = None

    def view(self, in_bucket: float, now: Instant) -> AllocatorView | None:
        """Returns the view for the next allocator, or None while usage reports are still awaited."""
        if self.gathering is not None:
            return None
        covered_span = Seconds(now - self._known_since)
        return AllocatorView(float(self.used.count(now)), self.promised_rate(now), covered_span, in_bucket)

    def take_over(
        self,
        answers: Sequence[tuple[Identity, UsageReport | None]],
        missing: int,
        allocator_missing: bool,
        now: Instant,
    ) -> None:
        """Takes over from the previous allocator, based on the routers' usage reports.

        ``missing`` is the number of silent routers that may still be running. If the previous allocator may
        be one of them (``allocator_missing``), it can have granted a part of its bucket without a report.
        """
        received = [(router, answer) for router, answer in answers if answer is not None]
        inherited = merge_reports([answer for _, answer in received], self.window)
        meanwhile = self.granted_while_gathering
        level = max(inherited.level(self.plan.rate, self.plan.bucket), self.plan.reserve - sum(inherited.steps))
        self.bucket = TokenBucket(self.plan.rate, self.plan.bucket, level - meanwhile, now)
        self.used.clear()
        for age in range(len(inherited.steps) - 1, -1, -1):
            self.used.add(Instant(now - age * REPORT_STEP_S), inherited.steps[age])
        self.used.add(now, round(meanwhile + inherited.unreported))
        self._known_since = Instant(now - inherited.span)
        for router, answer in received:
            self._record_report(router, answer, now)
        self._totals = None
        if missing:
            self._missing = self._estimate_missing(inherited, len(received), missing, allocator_missing, now)

    def _estimate_missing(
        self, inherited: InheritedUsage, present: int, missing: int, allocator_missing: bool, now: Instant
    ) -> _MissingRouters:
        # A majority of the routers may have selected another allocator, which then grants as well.
        promised_rate = self.plan.rate if missing >= present else min(self.plan.rate, inherited.promised_rate)
        allowed_rate = max(0.0, promised_rate - inherited.reported_allowed_rate)
        burst = self.plan.bucket * min(1.0, MAX_LOAD_SKEW * missing / (missing + present)) if allocator_missing else 0.0
        return _MissingRouters(now, burst + allowed_rate * DETECTION_DELAY_S, allowed_rate)

    def _record_report(self, router: Identity, answer: UsageReport, now: Instant) -> None:
        record = self.routers.get(router.incarnation)
        if record is None or record.latest_number <= answer.number:
            self.routers[router.incarnation] = _RouterRecord(
                router.name, answer.number, now, allowed_rate=answer.allowed_rate, saved=answer.saved
            )
