"""What the keeper of a tenant's share knows (docs/DESIGN.md section 14.1)."""

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
"""A router that reaches its keeper saves up so much of what it may use by itself."""
AUTONOMY_S = Seconds(10.0)
"""So long after its keeper's last answer a router may use by itself what it was allowed."""
MAX_LOAD_SKEW = 3.0
"""So many times an equal part of the calls may come to the missing routers."""
DETECTION_DELAY_S = Seconds(2.5)
"""So long a router may be missing before another keeper begins."""
CONTACT_INTERVAL_S = Seconds(1.0)
"""A router that reaches its keeper tells within this what it used."""
REQUEST_LAG_S = Seconds(0.05)
"""Longest that an ask is on its way in calm times; the router goes on by itself meanwhile."""
LARGE_CALL_BUCKET_FRACTION = 0.8
"""A call that costs more than this part of the bucket is granted when that much is there."""
WINDOW_FULL_RETRY_S = Seconds(0.25)
NARROW_WINDOW_S = Seconds(0.35)
"""With less room in the window than this is worth at the paid rate, the routers are allowed less by themselves."""
UNPROVEN_WINDOW_FRACTION = 0.25
"""Part of the bucket that counts in the window of a keeper whose session is not proven."""
UNPROVEN_RESERVED_FRACTION = 0.5
"""Part of the bucket that a keeper whose session is not proven leaves alone."""
TOTALS_MAX_AGE_S = Seconds(0.02)
"""With many routers their parts are added up anew at most this often; in between the sum is an upper bound."""
EXACT_TOTALS_MAX_ROUTERS = 32
"""Fewer routers are added up for each ask."""


class _RouterRecord(msgspec.Struct):
    """A router, as its newest ask left it."""

    name: DaemonName
    latest_number: int
    last_request_at: Instant
    allowed_rate: float = 0.0
    previous_allowed_rate: float = 0.0
    """What it goes on with until it has the newest answer; see ``RouterShare.request``."""
    saved: float = 0.0

    def may_have_used(self, now: Instant, window: Seconds, max_duration: Seconds) -> float:
        """Most that it can have used by itself in the last ``window``, going on for ``max_duration`` after its ask."""
        end = min(now, self.last_request_at + max_duration)
        age = max(0.0, end - max(self.last_request_at, now - window))
        return (self.saved if now - self.last_request_at <= window else 0.0) + max(
            self.allowed_rate, self.previous_allowed_rate
        ) * age


class _RouterTotals(msgspec.Struct):
    """The parts of all routers added up at one instant."""

    at: Instant
    unproven: bool
    bucket_part: float = 0.0
    """Of the bucket: what they may have saved up, and what they may use while an ask is on its way."""
    window_part: float = 0.0
    """Of the window: what they may have used since they were heard."""
    promised_rate: float = 0.0
    """Per second: what they may use by themselves."""
    growth_rate: float = 0.0
    """Per second: what ``bucket_part`` and ``window_part`` grow by at most."""

    def add(self, record: _RouterRecord, window: Seconds, sign: float = 1.0) -> None:
        """Adds the router's part, or takes it out."""
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
    """Routers that a new keeper cannot reach and that may be running."""

    since: Instant
    burst: float
    """Most that they can have used lately without anybody knowing."""
    allowed_rate: float
    """Per second: what they may go on using by themselves, for AUTONOMY."""

    def may_have_used(self, now: Instant, window: Seconds) -> float:
        age = min(now, self.since + AUTONOMY_S) - max(self.since, now - window)
        return (self.burst if now - self.since <= window else 0.0) + self.allowed_rate * max(0.0, age)


class ShareAccount:
    """One tenant's bucket and window.

    A call is granted when the bucket holds it beyond what the routers saved up, and when the window
    has room beyond all that routers which have not been heard of may have used by themselves.
    """

    def __init__(self, plan: QuotaPlan, window: Seconds, level: float, now: Instant) -> None:
        self.plan = plan
        self.window = window
        self.bucket = TokenBucket(plan.rate, plan.bucket, level, now)
        self.used = SlidingWindowCounter(Seconds(window + SlidingWindowCounter.STEP_S))
        self.gathering: asyncio.Future[None] | None = None
        self.reports_requested = False
        """Else nobody was asked. The bucket, which began at the reserve, isn't charged for what was used before;
        what a router has saved up, the keeper before had set aside."""
        self.granted_while_gathering = 0.0
        self.routers: dict[Incarnation, _RouterRecord] = {}
        self._missing: _MissingRouters | None = None
        self._known_since = now
        self._totals: _RouterTotals | None = None

    def change_plan(self, plan: QuotaPlan, now: Instant) -> None:
        """A lower limit counts from now on, so what was used under the higher one is forgotten."""
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
        """Charges what the router used by itself; what it may use from now on."""
        record = self.routers.get(requester.incarnation)
        has_history = self.reports_requested or record is not None
        if record is None:
            for incarnation in [key for key, other in self.routers.items() if other.name == requester.name]:
                del self.routers[incarnation]  # Its earlier life.
            record = self.routers[requester.incarnation] = _RouterRecord(requester.name, request.number, now)
            self._totals = None
        if self.gathering is None:  # Else it is in the router's report.
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
        """Per second: what all routers may use by themselves."""
        unproven = False if self._totals is None else self._totals.unproven
        return self._current_totals(now, unproven).promised_rate

    def _current_totals(self, now: Instant, unproven: bool) -> _RouterTotals:
        """All routers' parts: of this instant with few routers, else of one at most ``TOTALS_MAX_AGE_S`` ago.

        A part grows by at most its ``rate`` since then, and what was promised only runs out.
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
        """The processes of which nothing was known use nothing any more, and did not grant after they were asked."""
        self._missing = None

    def _amount_to_charge(self, record: _RouterRecord, request: LeaseRequest) -> float:
        """What the bucket is charged; what a router used while it was cut off counted in the window alone."""
        return min(
            request.used,
            record.saved
            + max(record.allowed_rate, record.previous_allowed_rate) * CONTACT_INTERVAL_S
            + self.plan.credit,
        )

    def grant(self, costs: Sequence[int], now: Instant, unproven: bool) -> tuple[tuple[bool, ...], Seconds]:
        """Which calls fit, and how long until the first that does not."""
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
        """In the bucket and in the window.

        ``unproven``: the session with control is not proven, so another keeper may be granting; then only the
        rate counts, and routers that are not heard of may go on for good.
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
        """For the next keeper; None while this one doesn't know it."""
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
        """Takes over from the keeper before, by what the routers report.

        ``missing`` routers may be running although nothing is heard of them. If the keeper before is one of
        them, it can have granted a part of its bucket since anybody heard of it.
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
        # Most of the routers may agree on another allocator, which then grants as well.
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
