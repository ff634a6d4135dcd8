"""Grey workers: heard and reachable, yet many calls there fail (docs/DESIGN.md section 10.6).

A zone's home counts the outcomes of its routers' calls, since one router alone sees too few of them.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import msgspec

from ..identifiers import Instant, Seconds, WorkerInstance

WINDOW_S = Seconds(10.0)
BUCKET_S = Seconds(1.0)
MIN_FAILURES = 3
MIN_CALLS = 6
MIN_FAILURE_RATE = 0.2
"""Of a worker's calls: a lower share of failures never ejects."""
MIN_RATE_RATIO = 3.0
"""How many times the share of failures at the pool's other workers it takes."""
ALL_FAILED_WINDOW_S = Seconds(2.0)
"""A worker whose calls of so long have all failed needs no more of them to be ejected."""
MIN_FAILURES_AGAIN = 2
MIN_CALLS_AGAIN = 3
"""For a worker that was ejected a while ago."""
FIRST_EJECTION_S = Seconds(2.0)
MAX_EJECTION_S = Seconds(16.0)
EJECTION_RETENTION_S = Seconds(30.0)


class Outcomes(msgspec.Struct, frozen=True):
    """Of calls to one worker."""

    succeeded: int = 0
    failed: int = 0

    def __add__(self, other: Outcomes) -> Outcomes:
        return Outcomes(self.succeeded + other.succeeded, self.failed + other.failed)

    @property
    def calls(self) -> int:
        return self.succeeded + self.failed

    @property
    def failure_rate(self) -> float:
        return self.failed / self.calls if self.calls else 0.0


class _Ejection(msgspec.Struct):
    times: int
    until: Instant


class OutlierDetector:
    """Judges one pool's workers against each other over a sliding window."""

    def __init__(self) -> None:
        self._buckets: dict[WorkerInstance, dict[int, Outcomes]] = {}
        self._ejections: dict[WorkerInstance, _Ejection] = {}

    def record(self, instance: WorkerInstance, outcomes: Outcomes, now: Instant) -> None:
        """Of a worker that is left out only the calls begun before are heard of: not counted."""
        if self._is_ejected(instance, now):
            return
        buckets = self._buckets.setdefault(instance, {})
        bucket = int(now // BUCKET_S)
        buckets[bucket] = buckets.get(bucket, Outcomes()) + outcomes

    def judge(self, ready: Sequence[WorkerInstance], now: Instant) -> frozenset[WorkerInstance]:
        """Who is left out now: at most half of ``ready``, the worst first."""
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
        least_calls, least_failures = (MIN_CALLS_AGAIN, MIN_FAILURES_AGAIN) if known else (MIN_CALLS, MIN_FAILURES)
        if own.failed < least_failures:
            return False
        others = Outcomes()
        for other, outcomes in counted.items():
            if other != instance:
                others += outcomes
        if own.failure_rate < max(MIN_FAILURE_RATE, MIN_RATE_RATIO * others.failure_rate):
            return False
        late = self._outcomes_within(instance, now, ALL_FAILED_WINDOW_S)
        return own.calls >= least_calls or (late.failed >= least_failures and not late.succeeded)

    def _is_ejected(self, instance: WorkerInstance, now: Instant) -> bool:
        ejection = self._ejections.get(instance)
        return ejection is not None and now < ejection.until

    def _eject(self, instance: WorkerInstance, now: Instant) -> None:
        ejection = self._ejections.setdefault(instance, _Ejection(0, now))
        ejection.times += 1
        ejection.until = Instant(now + min(MAX_EJECTION_S, FIRST_EJECTION_S * 2 ** (ejection.times - 1)))
        self._buckets.pop(instance, None)  # judged anew by what comes after

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
