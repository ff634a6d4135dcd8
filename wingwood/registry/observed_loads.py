"""Sums of the workers' loads as the routers count them (docs/DESIGN.md section 10.4)."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import msgspec

from ..identifiers import Incarnation, Instant, PoolName, Seconds, WorkerInstance, Zone
from .messages import ObservedLoadFigures
from .protocols import ObservedLoad

ObservedLoadByWorker = dict[WorkerInstance, ObservedLoad]
SUM_INTERVAL_S = Seconds(0.25)
"""For how long a sum is reused before it is computed again."""


class ObservedLoadReport(msgspec.Struct, frozen=True):
    """Observed loads by worker and when they were received."""

    received_at: Instant
    loads: ObservedLoadByWorker


class _Sum(msgspec.Struct, frozen=True):
    """The observed loads of one pool, summed over the zone and over the fleet."""

    computed_at: Instant
    zone: ObservedLoadByWorker
    fleet: ObservedLoadByWorker
    by_router: dict[Incarnation, ObservedLoadByWorker]
    """What each router of the zone contributed to the sum."""


class ObservedLoadSums:
    """At an owner: the loads that its zone's routers and the other zones' owners reported, and their sums."""

    def __init__(self, own: Incarnation, max_age_s: Callable[[PoolName], float]) -> None:
        """``max_age_s`` returns for a pool how many seconds a report is used."""
        self._own = own
        self._max_age_s = max_age_s
        self._count_own: Callable[[PoolName], ObservedLoadByWorker] = lambda _pool: {}
        self._routers: dict[PoolName, dict[Incarnation, ObservedLoadReport]] = {}
        self._zones: dict[PoolName, dict[Zone, ObservedLoadReport]] = {}
        self._sums: dict[PoolName, _Sum] = {}

    def register_counter(self, count: Callable[[PoolName], ObservedLoadByWorker]) -> None:
        """Sets the function that returns this daemon's own counts of a pool."""
        self._count_own = count

    def own(self, pool: PoolName) -> ObservedLoadByWorker:
        """Returns this daemon's own counts of the pool."""
        return self._count_own(pool)

    def record_router(self, pool: PoolName, router: Incarnation, report: ObservedLoadReport) -> None:
        """Replaces the report of a router of this zone."""
        self._routers.setdefault(pool, {})[router] = report

    def record_zone(self, pool: PoolName, zone: Zone, report: ObservedLoadReport) -> None:
        """Replaces the report of another zone's owner."""
        self._zones.setdefault(pool, {})[zone] = report

    def in_zone(self, pool: PoolName, now: Instant) -> ObservedLoadByWorker:
        """Returns the sum over the routers of this zone."""
        return self._summed(pool, now).zone

    def by_others(self, pool: PoolName, requester: Incarnation, now: Instant) -> ObservedLoadByWorker:
        """Returns the fleet's sum without what the requester itself had reported when the sum was computed."""
        summed = self._summed(pool, now)
        reported = summed.by_router.get(requester)
        if not reported:
            return summed.fleet
        others = dict(summed.fleet)
        for instance, load in reported.items():
            others[instance] = others[instance].minus(load)
        return others

    def _summed(self, pool: PoolName, now: Instant) -> _Sum:
        """Computes the sums once per ``SUM_INTERVAL_S``, because each router of the zone polls its owner."""
        summed = self._sums.get(pool)
        if summed is not None and now - summed.computed_at < SUM_INTERVAL_S:
            return summed
        max_age_s = self._max_age_s(pool)
        by_router = {self._own: self._count_own(pool)}
        reports = self._routers.get(pool, {})
        for incarnation in sorted(reports):
            if now - reports[incarnation].received_at > max_age_s:
                del reports[incarnation]
            else:
                by_router[incarnation] = reports[incarnation].loads
        zone: ObservedLoadByWorker = {}
        for loads in by_router.values():
            _add(zone, loads)
        fleet = dict(zone)
        for _, report in sorted(self._zones.get(pool, {}).items()):
            if now - report.received_at <= max_age_s:
                _add(fleet, report.loads)
        summed = self._sums[pool] = _Sum(now, zone, fleet, by_router)
        return summed


def _add(totals: ObservedLoadByWorker, more: Mapping[WorkerInstance, ObservedLoad]) -> None:
    for instance, load in more.items():
        totals[instance] = totals.get(instance, ObservedLoad()).plus(load)


def by_number(
    loads: Mapping[WorkerInstance, ObservedLoad], numbers: Mapping[WorkerInstance, int]
) -> ObservedLoadFigures:
    """Returns rounded figures by the workers' numbers, without workers whose figures are all zero."""
    rounded = {
        numbers[instance]: (round(load.running), round(load.expected), round(load.prefill), round(load.streams))
        for instance, load in loads.items()
        if instance in numbers
    }
    return {number: figures for number, figures in rounded.items() if figures != (0, 0, 0, 0)}


def by_instance(figures: ObservedLoadFigures, instances: Mapping[int, WorkerInstance]) -> ObservedLoadByWorker:
    """Returns the observed loads by instance, without numbers that are unknown here."""
    return {
        instances[number]: ObservedLoad(float(running), float(expected), float(prefill), float(streams))
        for number, (running, expected, prefill, streams) in figures.items()
        if number in instances
    }
