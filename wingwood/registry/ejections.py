"""Workers that get no new turns because too many calls to them failed (docs/DESIGN.md section 10.6)."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import msgspec

from ..context.protocols import Context
from ..identifiers import Instant, PoolName, Seconds, WorkerInstance
from .call_outcomes import Outcomes
from .outliers import OutlierDetector
from .pool_table import PoolTable
from .worker_directory import WorkerDirectory

EJECTION_MAX_AGE_S = Seconds(2.0)
"""For how long the owner's list of ejected workers is used."""


class _Ejected(msgspec.Struct, frozen=True):
    """The ejected workers of one pool and when this was decided or reported."""

    decided_at: Instant
    instances: frozenset[WorkerInstance]


class Ejections:
    """The ejected workers: decided here for the pools that this daemon owns, otherwise as the owner reported."""

    def __init__(self, context: Context, directory: WorkerDirectory) -> None:
        self._context = context
        self._directory = directory
        self._detectors: dict[PoolName, OutlierDetector] = {}
        self._ejected: dict[PoolName, _Ejected] = {}

    def is_ejected(self, instance: WorkerInstance) -> bool:
        """Returns whether the worker is ejected by a decision that is recent enough to be used."""
        pool = self._directory.pool_of(instance)
        ejected = None if pool is None else self._ejected.get(pool)
        if ejected is None or self._now() - ejected.decided_at > EJECTION_MAX_AGE_S:
            return False
        return instance in ejected.instances

    def numbers(self, table: PoolTable) -> tuple[int, ...]:
        """Returns the ejected workers by their numbers in this table."""
        ejected = self._ejected.get(table.pool)
        if ejected is None:
            return ()
        return tuple(table.records[each].number for each in sorted(ejected.instances) if each in table.records)

    def set_ejected(self, pool: PoolName, instances: frozenset[WorkerInstance]) -> None:
        """Replaces the ejected workers of the pool; logs each change and notifies the listeners."""
        before = self._ejected.get(pool)
        self._ejected[pool] = _Ejected(self._now(), instances)
        for instance in sorted(instances ^ (before.instances if before is not None else frozenset())):
            worker = self._directory.find(instance)
            if worker is not None:
                self._context.log.event("worker-ejection-changed", worker=instance, ejected=instance in instances)
                self._directory.notify([worker])

    def record(self, pool: PoolName, outcomes: Mapping[WorkerInstance, Outcomes]) -> None:
        """Records outcomes of calls from the zone. Only the owner calls this."""
        detector = self._detectors.setdefault(pool, OutlierDetector())
        for instance, counted in outcomes.items():
            detector.record(instance, counted, self._now())

    def evaluate(self, table: PoolTable, own_outcomes: Mapping[WorkerInstance, Outcomes]) -> None:
        """Decides from the recorded outcomes and this daemon's own who is ejected. Only the owner calls this."""
        self.record(table.pool, own_outcomes)
        ready: Sequence[WorkerInstance] = [worker.instance for worker in table.ready()]
        self.set_ejected(table.pool, self._detectors[table.pool].evaluate(ready, self._now()))

    def _now(self) -> Instant:
        return self._context.clock.monotonic()
