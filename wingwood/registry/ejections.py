"""Workers that are left out for the outcomes of their calls (docs/DESIGN.md section 10.6)."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import msgspec

from ..context.protocols import Context
from ..identifiers import Instant, PoolName, WorkerInstance
from .feed_limits import EJECTION_MAX_AGE_S
from .outliers import Outcomes, OutlierDetector
from .pool_table import PoolTable
from .worker_directory import WorkerDirectory


class _Ejected(msgspec.Struct, frozen=True):
    at: Instant
    instances: frozenset[WorkerInstance]


class Ejections:
    """Judged here for pools whose home this daemon is, else as their home told."""

    def __init__(self, context: Context, directory: WorkerDirectory) -> None:
        self._context = context
        self._directory = directory
        self._detectors: dict[PoolName, OutlierDetector] = {}
        self._ejected: dict[PoolName, _Ejected] = {}

    def is_ejected(self, instance: WorkerInstance) -> bool:
        pool = self._directory.pool_of(instance)
        ejected = None if pool is None else self._ejected.get(pool)
        return ejected is not None and instance in ejected.instances and self._now() - ejected.at <= EJECTION_MAX_AGE_S

    def numbers(self, table: PoolTable) -> tuple[int, ...]:
        """The ejected workers by the short names of this table."""
        ejected = self._ejected.get(table.pool)
        if ejected is None:
            return ()
        return tuple(table.records[each].number for each in sorted(ejected.instances) if each in table.records)

    def set_ejected(self, pool: PoolName, instances: frozenset[WorkerInstance]) -> None:
        """These and no others are ejected now."""
        before = self._ejected.get(pool)
        self._ejected[pool] = _Ejected(self._now(), instances)
        for instance in sorted(instances ^ (before.instances if before is not None else frozenset())):
            worker = self._directory.find(instance)
            if worker is not None:
                self._context.log.event("worker-ejected", worker=instance, out=instance in instances)
                self._directory.notify([worker])

    def record(self, pool: PoolName, outcomes: Mapping[WorkerInstance, Outcomes]) -> None:
        """As the home: outcomes of the zone's calls."""
        detector = self._detectors.setdefault(pool, OutlierDetector())
        for instance, counted in outcomes.items():
            detector.record(instance, counted, self._now())

    def judge(self, table: PoolTable, own_outcomes: Mapping[WorkerInstance, Outcomes]) -> None:
        """As the home: who is left out for what was recorded and for this daemon's own outcomes."""
        self.record(table.pool, own_outcomes)
        ready: Sequence[WorkerInstance] = [worker.instance for worker in table.ready()]
        self.set_ejected(table.pool, self._detectors[table.pool].judge(ready, self._now()))

    def _now(self) -> Instant:
        return self._context.clock.monotonic()
