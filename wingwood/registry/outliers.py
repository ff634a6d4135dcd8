"""Detection of workers that are renewed and reachable, yet fail many calls (docs/DESIGN.md section 10.6).

A zone's owner counts the outcomes of its routers' calls, because a single router sees too few of them.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import msgspec

from ..identifiers import Instant, Seconds, WorkerInstance
from .call_outcomes import Outcomes

WINDOW_S = Seconds(10.0)
"""Outcomes of this period count."""
BUCKET_S = Seconds(1.0)
"""Outcomes are summed per period of this length."""
MIN_FAILURES = 3
"""A worker with fewer failed calls within ``WINDOW_S`` is not ejected."""
MIN_CALLS = 6
"""A worker with fewer calls within ``WINDOW_S`` is not ejected, unless all recent ones failed."""
MIN_FAILURE_RATE = 0.2
"""A worker with a lower share of failed calls is never ejected."""
MIN_RATE_RATIO = 3.0
"""An outlier's share of failed calls is at least so many times that of the pool's other workers."""
ALL_FAILED_WINDOW_S = Seconds(2.0)
"""A worker whose calls in this period all failed is ejected with fewer than ``MIN_CALLS``."""
MIN_FAILURES_AGAIN = 2
MIN_CALLS_AGAIN = 3
"""These two apply to a worker that was ejected a short while ago."""
FIRST_EJECTION_S = Seconds(2.0)
"""Duration of a first ejection; each further one doubles it."""
MAX_EJECTION_S = Seconds(16.0)
EJECTION_RETENTION_S = Seconds(30.0)
"""After so long since the end of its last ejection, a worker counts as never ejected."""


class _Ejection(msgspec.Struct):
    """How often a worker was ejected in a row, and until when it is ejected."""

    times: int
    until: Instant


class OutlierDetector:
    """Compares the failure rates of one pool's workers over a sliding window."""

    def __init__(self) -> None:
        self._buckets: dict[WorkerInstance, dict[int, Outcomes]] = {}
        self._ejections: dict[WorkerInstance, _Ejection] = {}

    def record(self, instance: WorkerInstance, outcomes: Outcomes, now: Instant) -> None:
        """Adds outcomes of calls to a worker.

        They are ignored while the worker is ejected, because they belong to calls that started before.
        """
        if self._is_ejected(instance, now):
            return
        buckets = self._buckets.setdefault(instance, {})
        bucket = int(now // BUCKET_S)
        buckets[bucket] = buckets.get(bucket, Outcomes()) + outcomes

    def evaluate(self, ready: Sequence[WorkerInstance], now: Instant) -> frozenset[WorkerInstance]:
        """Returns the workers that are ejected now: at most half of ``ready``, those with the most failures first."""
        self._evict_old(now)
        if not self._buckets and not self._ejections:
            return frozenset()
        ejected = {instance for instance in ready if self._is_ejected(instance, now)}
        counted = {instance: self._outcomes_within(instance, now, WINDOW_S) for instance in ready}
        outliers = [each for each in ready if each not in ejected and self._is_outlier(each, counted, now)]
        outliers.sort(key=lambda each: (-counted[each].failure_rate, each))
        for instance in outliers[: max(0, len(ready) // 2 - len(ejected))]:
            self._eject(instance, now)
            ejected.add(instance)
        return frozenset(ejected)

    def _is_outlier(self, instance: WorkerInstance, counted: Mapping[WorkerInstance, Outcomes], now: Instant) -> bool:
        own = counted[instance]
        known = instance in self._ejections
        min_calls, min_failures = (MIN_CALLS_AGAIN, MIN_FAILURES_AGAIN) if known else (MIN_CALLS, MIN_FAILURES)
        if own.failed < min_failures:
            return False
        others = Outcomes()
        for other, outcomes in counted.items():
            if other != instance:
                others += outcomes
        if own.failure_rate < max(MIN_FAILURE_RATE, MIN_RATE_RATIO * others.failure_rate):
            return False
        recent = self._outcomes_within(instance, now, ALL_FAILED_WINDOW_S)
        return own.calls >= min_calls or (recent.failed >= min_failures and not recent.succeeded)

    def _is_ejected(self, instance: WorkerInstance, now: Instant) -> bool:
        ejection = self._ejections.get(instance)
        return ejection is not None and now < ejection.until

    def _eject(self, instance: WorkerInstance, now: Instant) -> None:
        ejection = self._ejections.setdefault(instance, _Ejection(0, now))
        ejection.times += 1
        ejection.until = Instant(now + min(MAX_EJECTION_S, FIRST_EJECTION_S * 2 ** (ejection.times - 1)))
        self._buckets.pop(instance, None)  # outcomes from before the ejection must not count after it

    def _outcomes_within(self, instance: WorkerInstance, now: Instant, seconds: Seconds) -> Outcomes:
        since = int((now - seconds) // BUCKET_S)
        total = Outcomes()
        for bucket, outcomes in self._buckets.get(instance, {}).items():
            if bucket > since:
                total += outcomes
        return total

    def _evict_old(self, now: Instant) -> None:
        since = int((now - WINDOW_S) // BUCKET_S)
        for instance in list(self._buckets):
            retained = {bucket: outcomes for bucket, outcomes in self._buckets[instance].items() if bucket > since}
            if retained:
                self._buckets[instance] = retained
            else:
                del self._buckets[instance]
        for instance, ejection in list(self._ejections.items()):
            if now - ejection.until > EJECTION_RETENTION_S:
                del self._ejections[instance]
