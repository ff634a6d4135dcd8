"""Sums of the routers' counts of turns and awarded sessions per worker (docs/DESIGN.md section 10.4)."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import msgspec

from ..identifiers import Incarnation, Instant, PoolName, Seconds, WorkerInstance, Zone
from .messages import Counts
from .protocols import Engagement

EngagementByWorker = dict[WorkerInstance, Engagement]
SUM_INTERVAL_S = Seconds(0.25)
"""For how long a sum is reused before it is computed again."""


class EngagementReport(msgspec.Struct, frozen=True):
    """Counts by worker and when they were received."""

    at: Instant
    engaged: EngagementByWorker


class _Sum(msgspec.Struct, frozen=True):
    """The counts of one pool, summed over the zone and over the fleet."""

    at: Instant
    zone: EngagementByWorker
    fleet: EngagementByWorker
    parts: dict[Incarnation, EngagementByWorker]
    """What each router of the zone contributed to the sum."""


class EngagementSums:
    """At an owner: the counts that its zone's routers and the other zones' owners reported.

    ``max_age_s`` gives for a pool how long a report is used.
    """

    def __init__(self, own: Incarnation, max_age_s: Callable[[PoolName], float]) -> None:
        self._own = own
        self._max_age_s = max_age_s
        self.count_own: Callable[[PoolName], EngagementByWorker] = lambda pool: {}
        self._routers: dict[PoolName, dict[Incarnation, EngagementReport]] = {}
        self._zones: dict[PoolName, dict[Zone, EngagementReport]] = {}
        self._sums: dict[PoolName, _Sum] = {}

    def record_router(self, pool: PoolName, router: Incarnation, reports: EngagementReport) -> None:
        self._routers.setdefault(pool, {})[router] = reports

    def record_zone(self, pool: PoolName, zone: Zone, reports: EngagementReport) -> None:
        self._zones.setdefault(pool, {})[zone] = reports

    def in_zone(self, pool: PoolName, now: Instant) -> EngagementByWorker:
        """Returns the sum over the routers of this zone."""
        return self._summed(pool, now).zone

    def by_others(self, pool: PoolName, asker: Incarnation, now: Instant) -> EngagementByWorker:
        """Returns the fleet's sum without what the asker itself had reported when the sum was computed."""
        summed = self._summed(pool, now)
        part = summed.parts.get(asker)
        if not part:
            return summed.fleet
        others = dict(summed.fleet)
        for instance, own in part.items():
            others[instance] = others[instance].minus(own)
        return others

    def _summed(self, pool: PoolName, now: Instant) -> _Sum:
        """Computes the sums once per ``SUM_INTERVAL_S``, because each router of the zone asks its owner."""
        summed = self._sums.get(pool)
        if summed is not None and now - summed.at < SUM_INTERVAL_S:
            return summed
        max_age_s = self._max_age_s(pool)
        parts = {self._own: self.count_own(pool)}
        reports = self._routers.get(pool, {})
        for incarnation in sorted(reports):
            if now - reports[incarnation].at > max_age_s:
                del reports[incarnation]
            else:
                parts[incarnation] = reports[incarnation].engaged
        zone: EngagementByWorker = {}
        for part in parts.values():
            _add(zone, part)
        fleet = dict(zone)
        for _, other in sorted(self._zones.get(pool, {}).items()):
            if now - other.at <= max_age_s:
                _add(fleet, other.engaged)
        summed = self._sums[pool] = _Sum(now, zone, fleet, parts)
        return summed


def _add(totals: EngagementByWorker, more: Mapping[WorkerInstance, Engagement]) -> None:
    for instance, part in more.items():
        totals[instance] = totals.get(instance, Engagement()).plus(part)


def by_number(engaged: Mapping[WorkerInstance, Engagement], numbers: Mapping[WorkerInstance, int]) -> Counts:
    """Returns rounded counts by the workers' numbers, without workers whose counts are all zero."""
    rounded = {
        numbers[instance]: (round(part.running), round(part.expected), round(part.prefill), round(part.streams))
        for instance, part in engaged.items()
        if instance in numbers
    }
    return {number: counts for number, counts in rounded.items() if counts != (0, 0, 0, 0)}


def by_instance(counts: Counts, instances: Mapping[int, WorkerInstance]) -> EngagementByWorker:
    """Returns the counts by instance, without numbers that are unknown here."""
    return {
        instances[number]: Engagement(float(running), float(expected), float(prefill), float(streams))
        for number, (running, expected, prefill, streams) in counts.items()
        if number in instances
    }
