"""All workers that one daemon knows, by pool, and the listeners to their changes (docs/DESIGN.md section 10.2)."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ..context.protocols import Context
from ..identifiers import Instant, PoolName, Seconds, WorkerInstance
from .feed_timing import load_interval_s, observed_load_max_age_s
from .messages import WorkerEntry
from .pool_table import PoolTable, WorkerRecord
from .protocols import Worker


class WorkerDirectory:
    """Owns the tables of all pools, and the listeners to changes of their workers."""

    def __init__(self, context: Context, on_new_pool: Callable[[PoolName], None]) -> None:
        """``on_new_pool`` is called when a pool is requested for the first time."""
        self._context = context
        self._on_new_pool = on_new_pool
        self._tables: dict[PoolName, PoolTable] = {}
        self._pool_of: dict[WorkerInstance, PoolName] = {}
        self._listeners: list[Callable[[Worker], None]] = []

    # --- pools --------------------------------------------------------------------------------

    def pools(self) -> list[PoolName]:
        """Returns the names of all known pools, sorted."""
        return sorted(self._tables)

    def tables(self) -> list[PoolTable]:
        """Returns the tables of all known pools, sorted by name."""
        return [table for _, table in sorted(self._tables.items())]

    def table(self, pool: PoolName) -> PoolTable:
        """Returns the table of the pool; creates an empty one at the first request."""
        table = self._tables.get(pool)
        if table is None:
            table = self._tables[pool] = PoolTable(pool)
            self._on_new_pool(pool)
        return table

    def load_interval_s(self, pool: PoolName) -> float:
        """Returns the seconds between two requests for the loads of this pool."""
        return load_interval_s(len(self._tables[pool].records))

    def observed_load_max_age_s(self, pool: PoolName) -> float:
        """Returns for how many seconds observed loads of this pool are used."""
        return observed_load_max_age_s(len(self._tables[pool].records))

    # --- workers ------------------------------------------------------------------------------

    def records(self) -> list[WorkerRecord]:
        """Returns the records of all workers, sorted by pool and instance."""
        return [record for table in self.tables() for _, record in sorted(table.records.items())]

    def pool_of(self, instance: WorkerInstance) -> PoolName | None:
        """Returns the pool in which the worker last counted as renewed."""
        return self._pool_of.get(instance)

    def record(self, instance: WorkerInstance) -> WorkerRecord | None:
        """Returns the worker's record; None if it is unknown here."""
        pool = self._pool_of.get(instance)
        return None if pool is None else self._tables[pool].records.get(instance)

    def find(self, instance: WorkerInstance) -> Worker | None:
        """Returns the worker, in whatever state; None if it is unknown here."""
        record = self.record(instance)
        return None if record is None else record.worker

    def is_renewed(self, instance: WorkerInstance) -> bool:
        """Whether the worker is known here and counts as renewed."""
        record = self.record(instance)
        return record is not None and record.renewed

    def slow_start_remaining(self, instance: WorkerInstance) -> Seconds:
        """Returns for how much longer the worker runs slower after its start; 0 if it is unknown."""
        pool = self._pool_of.get(instance)
        return Seconds(0.0) if pool is None else self._tables[pool].slow_start_remaining(instance, self._now())

    def merge(self, entry: WorkerEntry, trust_renewal: bool) -> bool:
        """Merges an entry of another daemon like ``PoolTable.merge``; logs a change and notifies the listeners."""
        worker = entry.worker
        table = self.table(worker.pool)
        if not table.merge(entry, self._now(), trust_renewal):
            return False
        self.record_changes([table.records[worker.instance].worker])
        return True

    def evict_old(self) -> list[WorkerInstance]:
        """Removes workers whose retention has ended and returns them."""
        now = self._now()
        for table in self.tables():
            table.evict_old(now)
        evicted = [
            instance for instance, pool in sorted(self._pool_of.items()) if instance not in self._tables[pool].records
        ]
        for instance in evicted:
            del self._pool_of[instance]
        return evicted

    # --- changes ------------------------------------------------------------------------------

    def on_change(self, callback: Callable[[Worker], None]) -> None:
        """Registers a callback that is called with each worker whose state or load changed."""
        self._listeners.append(callback)

    def notify(self, workers: Sequence[Worker]) -> None:
        """Calls each listener for each of the workers."""
        for worker in workers:
            for listener in self._listeners:
                listener(worker)

    def record_changes(self, workers: Sequence[Worker]) -> None:
        """Logs the workers' new states and notifies the listeners."""
        for worker in workers:
            record = self._tables[worker.pool].records[worker.instance]
            if record.renewed or worker.instance not in self._pool_of:
                self._pool_of[worker.instance] = worker.pool
            self._context.log.event(
                "worker-state-changed",
                worker=worker.instance,
                address=worker.address,
                pool=worker.pool,
                state=worker.state if record.renewed else f"{worker.state}-unrenewed",
            )
        self.notify(workers)

    def _now(self) -> Instant:
        return self._context.clock.monotonic()
