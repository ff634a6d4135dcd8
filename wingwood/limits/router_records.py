"""What routers may use on their own, by an allocator's records of them (docs/DESIGN.md section 14.1)."""

from __future__ import annotations

import msgspec

from ..identifiers import DaemonName, Incarnation, Instant, Seconds
from ..transport.frames import Identity
from .messages import UsageReport
from .share_options import ACCRUAL_LIMIT_S, AUTONOMY_S

REQUEST_LAG_S = Seconds(0.05)
"""Longest transit time of a request under normal conditions; the router uses its allowance meanwhile."""
TOTALS_MAX_AGE_S = Seconds(0.02)
"""Age up to which the totals over many routers are reused; meanwhile they are extrapolated to an upper bound."""
EXACT_TOTALS_MAX_ROUTERS = 32
"""With at most this many routers, the totals are computed for each request."""
UNLIMITED_S = Seconds(1e9)


class RouterRecord(msgspec.Struct):
    """State of a router according to its latest request."""

    name: DaemonName
    latest_number: int
    last_request_at: Instant
    allowed_rate: float = 0.0
    previous_allowed_rate: float = 0.0
    """Rate that it uses until it has the latest answer; see ``RouterShare.make_request``."""
    accrued: float = 0.0
    """Unused part of its allowance that it has accumulated."""

    def may_have_used(self, now: Instant, window_s: Seconds, max_duration_s: Seconds) -> float:
        """Returns the most that it can have used on its own in the last ``window_s``.

        It is assumed to use its allowed rate for at most ``max_duration_s`` after its request.
        """
        end = min(now, self.last_request_at + max_duration_s)
        age = max(0.0, end - max(self.last_request_at, now - window_s))
        accrued = self.accrued if now - self.last_request_at <= window_s else 0.0
        return accrued + max(self.allowed_rate, self.previous_allowed_rate) * age


class RouterTotals(msgspec.Struct):
    """Totals over all routers at one instant."""

    at: Instant
    window_s: Seconds
    unconfirmed: bool
    """Whether the totals are for an allocator whose session is not confirmed."""
    bucket_part: float = 0.0
    """Part of the bucket that they may have accumulated or may use while a request is in transit."""
    window_part: float = 0.0
    """Part of the window that they may have used since their last requests."""
    allowed_rate: float = 0.0
    """Rate per second that they may use on their own."""
    growth_rate: float = 0.0
    """Per second: what ``bucket_part`` and ``window_part`` grow by at most."""

    def allowed_to_others(self, record: RouterRecord) -> float:
        """Returns the rate per second that all other routers may use on their own."""
        autonomous = self.at <= record.last_request_at + AUTONOMY_S
        return self.allowed_rate - (record.allowed_rate if autonomous else 0.0)

    def subtract(self, record: RouterRecord) -> None:
        """Subtracts the router's part, before a change of its record."""
        self.add(record, sign=-1.0)

    def add(self, record: RouterRecord, sign: float = 1.0) -> None:
        """Adds the router's part, or subtracts it when ``sign`` is -1; called for each router at each request."""
        max_duration_s = UNLIMITED_S if self.unconfirmed else AUTONOMY_S
        if self.at <= record.last_request_at + AUTONOMY_S:
            self.allowed_rate += sign * record.allowed_rate
        if not (record.allowed_rate or record.previous_allowed_rate or record.accrued):
            return
        self.bucket_part += sign * record.may_have_used(self.at, self.window_s, ACCRUAL_LIMIT_S)
        self.window_part += sign * record.may_have_used(self.at, self.window_s, max_duration_s)
        self.growth_rate += sign * max(record.allowed_rate, record.previous_allowed_rate)
        if self.at - record.last_request_at <= ACCRUAL_LIMIT_S:
            self.bucket_part += sign * REQUEST_LAG_S * record.allowed_rate


class RouterRecords:
    """Owns the records by process of a router, and the totals over them."""

    def __init__(self, window_s: Seconds) -> None:
        self._window_s = window_s
        self._records: dict[Incarnation, RouterRecord] = {}
        self._totals: RouterTotals | None = None

    def get(self, incarnation: Incarnation) -> RouterRecord | None:
        """Returns the record of the process; None if it has neither made a request nor sent a usage report."""
        return self._records.get(incarnation)

    def add(self, router: Identity, request_number: int, now: Instant) -> RouterRecord:
        """Adds the record of a process at its first request, in place of the process before its restart."""
        for incarnation in [key for key, other in self._records.items() if other.name == router.name]:
            del self._records[incarnation]
        record = self._records[router.incarnation] = RouterRecord(router.name, request_number, now)
        self.invalidate_totals()
        return record

    def apply_report(self, router: Identity, report: UsageReport, now: Instant) -> None:
        """Sets the record from the router's usage report, unless the router has made a request since."""
        record = self._records.get(router.incarnation)
        if record is None or record.latest_number <= report.number:
            self._records[router.incarnation] = RouterRecord(
                router.name, report.number, now, allowed_rate=report.allowed_rate, accrued=report.accrued
            )

    def invalidate_totals(self) -> None:
        """Drops the totals, after a change of a record that was not made on them too."""
        self._totals = None

    def totals(self, now: Instant, unconfirmed: bool) -> RouterTotals:
        """Returns the totals over all routers.

        With few routers they are computed for this instant, otherwise they are at most ``TOTALS_MAX_AGE_S``
        old. Since then, the parts have grown by at most ``growth_rate``, and the allowed rate has not grown.
        """
        totals = self._totals
        max_age_s = TOTALS_MAX_AGE_S if len(self._records) > EXACT_TOTALS_MAX_ROUTERS else 0.0
        if totals is not None and totals.unconfirmed == unconfirmed and 0.0 <= now - totals.at <= max_age_s:
            return totals
        totals = self._totals = RouterTotals(now, self._window_s, unconfirmed)
        for record in self._records.values():
            totals.add(record)
        return totals

    def total_allowed_rate(self, now: Instant) -> float:
        """Returns the rate per second that all routers together may use on their own."""
        unconfirmed = False if self._totals is None else self._totals.unconfirmed
        return self.totals(now, unconfirmed).allowed_rate

    def drop_unresponsive(self, now: Instant) -> None:
        """Drops the records that count neither in the bucket nor in the window any more."""
        max_age_s = AUTONOMY_S + 2 * self._window_s
        for incarnation in [key for key, record in self._records.items() if now - record.last_request_at > max_age_s]:
            del self._records[incarnation]
            self.invalidate_totals()


class MissingRouters(msgspec.Struct, frozen=True):
    """Routers that a new allocator cannot reach and that may still be running."""

    since: Instant
    burst: float
    """Most that they can have used recently without a report."""
    allowed_rate: float
    """Rate per second that they may continue to use on their own, for ``AUTONOMY_S``."""

    def may_have_used(self, now: Instant, window_s: Seconds) -> float:
        """Returns the most that they can have used on their own in the last ``window_s``."""
        age = min(now, self.since + AUTONOMY_S) - max(self.since, now - window_s)
        return (self.burst if now - self.since <= window_s else 0.0) + self.allowed_rate * max(0.0, age)
