"""Table of the workers of one pool as one daemon knows them (docs/DESIGN.md section 10.2)."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from ..identifiers import Address, Instant, PoolName, Seconds, WorkerInstance
from .messages import LoadFigures, WorkerEntry
from .protocols import Worker, WorkerLoad

UNRENEWED_RETENTION_S = Seconds(120.0)
"""How long a worker without renewals stays in the table after its last change."""
GONE_RETENTION_S = Seconds(600.0)
"""How long a worker in the final state ``gone`` stays in the table."""
STATE_ORDER = {"ready": 0, "draining": 1, "gone": 2}
"""States only advance in this order."""


class WorkerRecord(msgspec.Struct, kw_only=True):
    """A worker and what this daemon recorded about it."""

    worker: Worker
    renewed: bool
    renewed_at: Instant
    sequence: int
    load_sequence: int
    number: int
    changed_at: Instant
    first_known_at: Instant
    """Time from which ``worker.slow_start_remaining`` counts down."""
    attributes_sequence: int = 0
    """Sequence number of the announcement that the worker's attributes come from."""
    highest_sequence: int = 0
    """Highest sequence number among the worker's announcements and renewals."""


class PoolTable:
    """The workers of one pool.

    States only advance (ready, draining, gone), so entries of any sender can be merged in any order.
    """

    def __init__(self, pool: PoolName) -> None:
        self.pool = pool
        self.sequence = 0
        self.load_sequence = 0
        self.numbers: dict[int, WorkerInstance] = {}
        """Workers by the short number that this table gave them; a number is never reused."""
        self._next_number = 0
        self.records: dict[WorkerInstance, WorkerRecord] = {}
        self._ready: tuple[Worker, ...] | None = None
        self._cache_tokens = 0
        self._active: tuple[Worker, ...] | None = None

    def ready(self) -> tuple[Worker, ...]:
        """Returns the renewed workers in state ready, sorted by instance."""
        if self._ready is None:
            self._ready = self._listed(lambda record: record.renewed and record.worker.state == "ready")
        return self._ready

    def set_default_cache_tokens(self, cache_tokens: int) -> None:
        """Sets the KV cache size of all workers of the pool that do not announce it themselves."""
        if cache_tokens != self._cache_tokens:
            self._cache_tokens = cache_tokens
            self._ready = self._active = None

    def _with_default_cache_tokens(self, worker: Worker) -> Worker:
        if worker.cache_tokens or not self._cache_tokens:
            return worker
        return msgspec.structs.replace(worker, cache_tokens=self._cache_tokens)

    def active(self) -> tuple[Worker, ...]:
        """Returns the workers that did not announce that they leave, renewed or not, sorted by instance."""
        if self._active is None:
            self._active = self._listed(lambda record: record.worker.state == "ready")
        return self._active

    def _listed(self, is_listed: Callable[[WorkerRecord], bool]) -> tuple[Worker, ...]:
        return tuple(
            self._with_default_cache_tokens(record.worker)
            for _, record in sorted(self.records.items())
            if is_listed(record)
        )

    def at_address(self, address: Address) -> list[Worker]:
        """Returns the workers at this address that are not gone."""
        return [
            record.worker
            for _, record in sorted(self.records.items())
            if record.worker.address == address and record.worker.state != "gone"
        ]

    def slow_start_remaining(self, instance: WorkerInstance, now: Instant) -> Seconds:
        """Returns for how many more seconds the worker runs slower after its start; 0 if it is unknown."""
        record = self.records.get(instance)
        if record is None:
            return Seconds(0.0)
        return Seconds(max(0.0, record.worker.slow_start_remaining - now + record.first_known_at))

    def apply_announcement(self, worker: Worker, now: Instant, sequence: int = 0) -> list[Worker]:
        """Applies an announcement that came from the worker itself and returns the workers that changed.

        A new ready instance sets the older instances at its address to gone.
        """
        changed: list[Worker] = []
        record = self.records.get(worker.instance)
        if record is None and worker.state == "ready":
            for other in sorted(self.records.values(), key=lambda other: other.worker.instance):
                if other.worker.address == worker.address and other.worker.state != "gone":
                    self._set(other, msgspec.structs.replace(other.worker, state="gone"), other.renewed, now)
                    changed.append(other.worker)
        record = self.records.get(worker.instance)
        outdated = record is not None and 0 < sequence < record.highest_sequence
        entry = WorkerEntry(worker, True, announcement=sequence)
        if self.merge(entry, now, trust_renewal=not outdated):
            changed.append(self.records[worker.instance].worker)
        record = self.records[worker.instance]
        record.highest_sequence = max(record.highest_sequence, sequence)
        if not outdated:
            record.renewed_at = now
        return changed

    def merge(self, entry: WorkerEntry, now: Instant, trust_renewal: bool) -> bool:
        """Merges an entry of another daemon and returns whether the worker changed, other than in its load.

        ``trust_renewal``: whether the sender's ``renewed`` flag replaces the one in this table.
        """
        worker = entry.worker
        record = self.records.get(worker.instance)
        if record is None:
            self._add(entry, now)
            return True
        state = max(worker.state, record.worker.state, key=STATE_ORDER.__getitem__)
        load = worker.load or record.worker.load
        renewed = entry.renewed if trust_renewal else record.renewed
        attributes = record.worker
        if entry.announcement > record.attributes_sequence:
            record.attributes_sequence = entry.announcement
            attributes = msgspec.structs.replace(worker, slow_start_remaining=record.worker.slow_start_remaining)
        merged = msgspec.structs.replace(attributes, state=state, load=load)
        differs = renewed != record.renewed or _without_load(merged) != _without_load(record.worker)
        if differs:
            self._set(record, merged, renewed, now)
        elif load != record.worker.load and load is not None:
            self.set_load(worker.instance, load)
        return differs

    def _add(self, entry: WorkerEntry, now: Instant) -> None:
        record = WorkerRecord(
            worker=entry.worker,
            renewed=entry.renewed,
            renewed_at=now,
            sequence=0,
            load_sequence=0,
            number=self._next_number,
            changed_at=now,
            first_known_at=now,
            attributes_sequence=entry.announcement,
            highest_sequence=entry.announcement,
        )
        self.numbers[self._next_number] = entry.worker.instance
        self._next_number += 1
        self.records[entry.worker.instance] = record
        self._set(record, entry.worker, entry.renewed, now)

    def set_load(self, instance: WorkerInstance, load: WorkerLoad) -> bool:
        """Stores the load and returns whether it changed; False as well if the worker is unknown."""
        record = self.records.get(instance)
        if record is None or record.worker.load == load:
            return False
        self.load_sequence += 1
        record.load_sequence = self.load_sequence
        record.worker = msgspec.structs.replace(record.worker, load=load)
        self._ready = self._active = None
        return True

    def apply_renewal(
        self, instance: WorkerInstance, load: WorkerLoad | None, now: Instant, sequence: int = 0
    ) -> bool | None:
        """Applies a renewal and returns whether the worker was not renewed before; None if it is unknown.

        A renewal that arrives after a later one of the same worker is outdated and renews nothing.
        """
        record = self.records.get(instance)
        if record is None:
            return None
        if 0 < sequence <= record.highest_sequence:
            return False
        record.highest_sequence = max(record.highest_sequence, sequence)
        record.renewed_at = now
        if load is not None:
            self.set_load(instance, load)
        if record.renewed:
            return False
        self._set(record, record.worker, True, now)
        return True

    def restart_renewal_timers(self, now: Instant) -> None:
        """ObservedLoadFigures every worker's time without a renewal from now.

        An owner that has only started to receive renewals calls this.
        """
        for record in self.records.values():
            record.renewed_at = now

    def expire_renewals(self, now: Instant, unrenewed_after: Seconds) -> list[Worker]:
        """Records workers without a renewal for ``unrenewed_after`` as unrenewed and returns them; for owners."""
        changed = []
        for _, record in sorted(self.records.items()):
            unrenewed_for = now - record.renewed_at
            if record.renewed and unrenewed_for > unrenewed_after and record.worker.state != "gone":
                self._set(record, record.worker, False, now)
                changed.append(record.worker)
        return changed

    def evict_old(self, now: Instant) -> None:
        """Removes gone and unrenewed workers after their retention, at owners and at their followers alike."""
        for instance, record in sorted(self.records.items()):
            retention = GONE_RETENTION_S if record.worker.state == "gone" else UNRENEWED_RETENTION_S
            if (record.worker.state == "gone" or not record.renewed) and now - record.changed_at > retention:
                del self.records[instance]
                del self.numbers[record.number]
                self._ready = self._active = None

    def entries(self, now: Instant, instances: Iterable[WorkerInstance] | None = None) -> tuple[WorkerEntry, ...]:
        """Returns the entries of these workers, or of all, sorted by instance."""
        requested = sorted(self.records if instances is None else instances)
        return tuple(self._entry(self.records[instance], now) for instance in requested if instance in self.records)

    def _entry(self, record: WorkerRecord, now: Instant) -> WorkerEntry:
        """Gives the slow start that remains now, because the receiver counts it down from the arrival of the entry."""
        worker = record.worker
        if worker.slow_start_remaining:
            worker = msgspec.structs.replace(
                worker, slow_start_remaining=self.slow_start_remaining(worker.instance, now)
            )
        return WorkerEntry(worker, record.renewed, record.number, record.attributes_sequence)

    def changed_since(self, sequence: int, now: Instant) -> tuple[WorkerEntry, ...]:
        """Returns the entries of the workers that changed after ``sequence``, other than in their load."""
        return self.entries(now, [instance for instance, record in self.records.items() if record.sequence > sequence])

    def loads_since(self, load_sequence: int) -> dict[int, LoadFigures]:
        """Returns the loads that changed after ``load_sequence``, by the numbers of the workers."""
        return {
            record.number: (load.running, load.waiting, load.cache_tokens_used)
            for _, record in sorted(self.records.items())
            if record.load_sequence > load_sequence and (load := record.worker.load) is not None
        }

    def _set(self, record: WorkerRecord, worker: Worker, renewed: bool, now: Instant) -> None:
        self.sequence += 1
        record.sequence = self.sequence
        record.changed_at = now
        record.worker = worker
        record.renewed = renewed
        self._ready = self._active = None


def _without_load(worker: Worker) -> Worker:
    return msgspec.structs.replace(worker, load=None)
