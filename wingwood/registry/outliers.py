"""Grey workers: heard and reachable, yet many calls there fail (docs/DESIGN.md section 10.6).

A zone's home counts the outcomes of its routers' calls, since one router alone sees too few of them.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import msgspec

from ..identifiers import Instant, Seconds, WorkerInstance

WINDOW = Seconds(10.0)
BUCKET = Seconds(1.0)
LEAST_FAILURES = 3
LEAST_CALLS = 6
LEAST_RATE = 0.2
"""Of a worker's calls: a lower share of failures never ejects."""
TIMES_THE_OTHERS = 3.0
"""How many times the share of failures at the pool's other workers it takes."""
ALL_FAILED_WITHIN = Seconds(2.0)
"""A worker whose calls of so long have all failed needs no more of them to be ejected."""
LEAST_FAILURES_AGAIN = 2
LEAST_CALLS_AGAIN = 3
"""For a worker that was ejected a while ago."""
EJECTED_FIRST = Seconds(2.0)
EJECTED_LONGEST = Seconds(16.0)
FORGIVEN_AFTER = Seconds(30.0)


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
        bucket = int(now // BUCKET)
        buckets[bucket] = buckets.get(bucket, Outcomes()) + outcomes

    def judge(self, ready: Sequence[WorkerInstance], now: Instant) -> frozenset[WorkerInstance]:
        """Who is left out now: at most half of ``ready``, the worst first."""
        self._drop_old(now)
        if not self._buckets and not self._ejections:
            return frozenset()
        ejected = {instance for instance in ready if self._is_ejected(instance, now)}
        counted = {instance: self._over(instance, now, WINDOW) for instance in ready}
        outliers = [each for each in ready if each not in ejected and self._is_outlier(each, counted, now)]
        outliers.sort(key=lambda each: (-counted[each].failure_rate, each))
        for instance in outliers[: max(0, len(ready) // 2 - len(ejected))]:
            self._eject(instance, now)
            ejected.add(instance)
        return frozenset(ejected)

    def _is_outlier(self, instance: WorkerInstance, counted: Mapping[WorkerInstance, Outcomes], now: Instant) -> bool:
        own = counted[instance]
        known = instance in self._ejections
        least_calls, least_failures = (
            (LEAST_CALLS_AGAIN, LEAST_FAILURES_AGAIN) if known else (LEAST_CALLS, LEAST_FAILURES)
        )
        if own.failed < least_failures:
            return False
        others = Outcomes()
        for other, outcomes in counted.items():
            if other != instance:
                others += outcomes
        if own.failure_rate < max(LEAST_RATE, TIMES_THE_OTHERS * others.failure_rate):
            return False
        late = self._over(instance, now, ALL_FAILED_WITHIN)
        return own.calls >= least_calls or (late.failed >= least_failures and not late.succeeded)

    def _is_ejected(self, instance: WorkerInstance, now: Instant) -> bool:
        ejection = self._ejections.get(instance)
        return ejection is not None and now < ejection.until

    def _eject(self, instance: WorkerInstance, now: Instant) -> None:
        ejection = self._ejections.setdefault(instance, _Ejection(0, now))
        ejection.times += 1
        ejection.until = Instant(now + min(EJECTED_LONGEST, EJECTED_FIRST * 2 ** (ejection.times - 1)))
        self._buckets.pop(instance, None)  # judged anew by what comes after

    def _over(self, instance: WorkerInstance, now: Instant, seconds: Seconds) -> Outcomes:
        since = int((now - seconds) // BUCKET)
        total = Outcomes()
        for bucket, outcomes in self._buckets.get(instance, {}).items():
            if bucket > since:
                total += outcomes
        return total

    def _drop_old(self, now: Instant) -> None:
        since = int((now - WINDOW) // BUCKET)
        for instance in list(self._buckets):
            kept = {bucket: outcomes for bucket, outcomes in self._buckets[instance].items() if bucket > since}
            if kept:
                self._buckets[instance] = kept
            else:
                del self._buckets[instance]
        for instance, ejection in list(self._ejections.items()):
            if now - ejection.until > FORGIVEN_AFTER:
                del self._ejections[instance]
