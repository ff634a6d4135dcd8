"""Sums of what routers count of their turns and awarded sessions, by worker (docs/DESIGN.md section 10.4)."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import msgspec

from ..identifiers import Incarnation, Instant, PoolName, Seconds, WorkerInstance, Zone
from .messages import Counts
from .protocols import Engagement

Engaged = dict[WorkerInstance, Engagement]
SUMMED_EVERY = Seconds(0.25)


class Told(msgspec.Struct, frozen=True):
    at: Instant
    engaged: Engaged


class _Sum(msgspec.Struct, frozen=True):
    at: Instant
    zone: Engaged
    fleet: Engaged
    parts: dict[Incarnation, Engaged]
    """What each router of the zone put into it."""


class EngagementSums:
    """At a home: what its zone's routers and the other zones' homes told. ``trusted``: for how long, by pool."""

    def __init__(self, own: Incarnation, trusted: Callable[[PoolName], float]) -> None:
        self._own = own
        self._trusted = trusted
        self.count: Callable[[PoolName], Engaged] = lambda pool: {}
        self._routers: dict[PoolName, dict[Incarnation, Told]] = {}
        self._zones: dict[PoolName, dict[Zone, Told]] = {}
        self._sums: dict[PoolName, _Sum] = {}

    def router_told(self, pool: PoolName, router: Incarnation, told: Told) -> None:
        self._routers.setdefault(pool, {})[router] = told

    def zone_told(self, pool: PoolName, zone: Zone, told: Told) -> None:
        self._zones.setdefault(pool, {})[zone] = told

    def in_zone(self, pool: PoolName, now: Instant) -> Engaged:
        return self._summed(pool, now).zone

    def by_others(self, pool: PoolName, asker: Incarnation, now: Instant) -> Engaged:
        """All but what the asker itself had told when the sum was made."""
        summed = self._summed(pool, now)
        part = summed.parts.get(asker)
        if not part:
            return summed.fleet
        others = dict(summed.fleet)
        for instance, own in part.items():
            others[instance] = others[instance].minus(own)
        return others

    def _summed(self, pool: PoolName, now: Instant) -> _Sum:
        """Made once for all who ask within a while: a zone's home is asked by each of its routers."""
        summed = self._sums.get(pool)
        if summed is not None and now - summed.at < SUMMED_EVERY:
            return summed
        trusted = self._trusted(pool)
        parts = {self._own: self.count(pool)}
        told = self._routers.get(pool, {})
        for incarnation in sorted(told):
            if now - told[incarnation].at > trusted:
                del told[incarnation]
            else:
                parts[incarnation] = told[incarnation].engaged
        zone: Engaged = {}
        for part in parts.values():
            _add(zone, part)
        fleet = dict(zone)
        for _, other in sorted(self._zones.get(pool, {}).items()):
            if now - other.at <= trusted:
                _add(fleet, other.engaged)
        summed = self._sums[pool] = _Sum(now, zone, fleet, parts)
        return summed


def _add(totals: Engaged, more: Mapping[WorkerInstance, Engagement]) -> None:
    for instance, part in more.items():
        totals[instance] = totals.get(instance, Engagement()).plus(part)


def by_number(engaged: Mapping[WorkerInstance, Engagement], numbers: Mapping[WorkerInstance, int]) -> Counts:
    """Rounded; workers with nothing left out."""
    rounded = {
        numbers[instance]: (round(part.running), round(part.expected), round(part.prefill), round(part.streams))
        for instance, part in engaged.items()
        if instance in numbers
    }
    return {number: counts for number, counts in rounded.items() if counts != (0, 0, 0, 0)}


def by_instance(counts: Counts, instances: Mapping[int, WorkerInstance]) -> Engaged:
    return {
        instances[number]: Engagement(float(running), float(expected), float(prefill), float(streams))
        for number, (running, expected, prefill, streams) in counts.items()
        if number in instances
    }
