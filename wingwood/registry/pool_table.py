"""The workers of one pool as one daemon knows them (docs/DESIGN.md section 10.2)."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from ..identifiers import Instant, PoolName, Seconds, WorkerInstance
from .messages import LoadFigures, WorkerEntry
from .protocols import Worker, WorkerLoad

UNRENEWED_AFTER = Seconds(3.0)
"""Renewals come each second; a worker that missed three gets no new turns."""
FORGOTTEN_AFTER = Seconds(120.0)
FINAL_KEPT_FOR = Seconds(600.0)
ORDER = {"ready": 0, "draining": 1, "gone": 2}


class WorkerRecord(msgspec.Struct, kw_only=True):
    worker: Worker
    renewed: bool
    renewed_at: Instant
    sequence: int
    load_sequence: int
    number: int
    changed_at: Instant


class PoolTable:
    """States only move on (ready, draining, gone), so entries can be merged from anyone in any order."""

    def __init__(self, pool: PoolName) -> None:
        self.pool = pool
        self.sequence = 0
        self.load_sequence = 0
        self.numbers: dict[int, WorkerInstance] = {}
        """Short names, never given twice by one table."""
        self._next_number = 0
        self.records: dict[WorkerInstance, WorkerRecord] = {}
        self._ready: tuple[Worker, ...] | None = None

    def ready(self) -> tuple[Worker, ...]:
        if self._ready is None:
            self._ready = tuple(
                record.worker
                for _, record in sorted(self.records.items())
                if record.renewed and record.worker.state == "ready"
            )
        return self._ready

    def announced(self, worker: Worker, now: Instant) -> list[Worker]:
        """A worker's own word, first hand. A new ready instance ends the older ones at its address.

        Gives the workers that changed.
        """
        changed: list[Worker] = []
        record = self.records.get(worker.instance)
        if record is None and worker.state == "ready":
            for other in sorted(self.records.values(), key=lambda other: other.worker.instance):
                if other.worker.address == worker.address and other.worker.state != "gone":
                    self._set(other, msgspec.structs.replace(other.worker, state="gone"), other.renewed, now)
                    changed.append(other.worker)
        if self.merge(WorkerEntry(worker, True), now, judge_renewal=True):
            changed.append(self.records[worker.instance].worker)
        self.records[worker.instance].renewed_at = now
        return changed

    def merge(self, entry: WorkerEntry, now: Instant, judge_renewal: bool) -> bool:
        """Takes what another knows; ``judge_renewal``: its word on renewal counts here. True when state changed."""
        worker = entry.worker
        record = self.records.get(worker.instance)
        if record is None:
            record = WorkerRecord(
                worker=worker,
                renewed=entry.renewed,
                renewed_at=now,
                sequence=0,
                load_sequence=0,
                number=self._next_number,
                changed_at=now,
            )
            self.numbers[self._next_number] = worker.instance
            self._next_number += 1
            self.records[worker.instance] = record
            self._set(record, worker, entry.renewed, now)
            return True
        state = max(worker.state, record.worker.state, key=ORDER.__getitem__)
        load = worker.load or record.worker.load
        renewed = entry.renewed if judge_renewal else record.renewed
        differs = state != record.worker.state or renewed != record.renewed
        if differs:
            self._set(record, msgspec.structs.replace(record.worker, state=state, load=load), renewed, now)
        elif load != record.worker.load and load is not None:
            self.set_load(worker.instance, load)
        return differs

    def set_load(self, instance: WorkerInstance, load: WorkerLoad) -> bool:
        record = self.records.get(instance)
        if record is None or record.worker.load == load:
            return False
        self.load_sequence += 1
        record.load_sequence = self.load_sequence
        record.worker = msgspec.structs.replace(record.worker, load=load)
        self._ready = None
        return True

    def renewed(self, instance: WorkerInstance, load: WorkerLoad | None, now: Instant) -> bool | None:
        """None: unknown here; else whether it counts as renewed again only now."""
        record = self.records.get(instance)
        if record is None:
            return None
        record.renewed_at = now
        if load is not None:
            self.set_load(instance, load)
        if record.renewed:
            return False
        self._set(record, record.worker, True, now)
        return True

    def all_renewed(self, now: Instant) -> None:
        """For a home that has only begun to hear renewals: their time counts from now."""
        for record in self.records.values():
            record.renewed_at = now

    def expire(self, now: Instant) -> list[Worker]:
        """For homes: marks and forgets what was not renewed; gives the workers marked now."""
        changed = []
        for _, record in sorted(self.records.items()):
            silent = now - record.renewed_at
            if record.renewed and silent > UNRENEWED_AFTER and record.worker.state != "gone":
                self._set(record, record.worker, False, now)
                changed.append(record.worker)
        return changed

    def forget_old(self, now: Instant) -> None:
        """Final and unrenewed workers leave memory, at homes and at their followers alike."""
        for instance, record in sorted(self.records.items()):
            kept_for = FINAL_KEPT_FOR if record.worker.state == "gone" else FORGOTTEN_AFTER
            if (record.worker.state == "gone" or not record.renewed) and now - record.changed_at > kept_for:
                del self.records[instance]
                del self.numbers[record.number]
                self._ready = None

    def entries(self, instances: Iterable[WorkerInstance] | None = None) -> tuple[WorkerEntry, ...]:
        wanted = sorted(self.records if instances is None else instances)
        return tuple(
            WorkerEntry(self.records[instance].worker, self.records[instance].renewed, self.records[instance].number)
            for instance in wanted
            if instance in self.records
        )

    def changed_since(self, sequence: int) -> tuple[WorkerEntry, ...]:
        return self.entries(instance for instance, record in self.records.items() if record.sequence > sequence)

    def loads_since(self, load_sequence: int) -> dict[int, LoadFigures]:
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
        self._ready = None
