"""How fast the workers are and how full, learnt from what passes through (docs/DESIGN.md section 11.4)."""

from __future__ import annotations

from collections import Counter

import msgspec

from ..identifiers import Instant, PoolName, Seconds, WorkerInstance
from ..registry.protocols import Registry, RunningExchange, Worker

FOLD = 0.1
"""Weight of one new sample in the moving averages."""
TOLD_LOAD_TRUST = 0.7
"""A worker's own word counts less than what the routers counted: it is a second old, and may lie."""
FULL_AT = 4.0
"""Running and waiting turns per slot at which a worker counts as full."""


class WorkerFigures(msgspec.Struct):
    """Moving averages in seconds."""

    per_token: float = 0.0002
    """Prefill of one uncached token."""
    base: float = 0.05
    """From sending to the first token when nothing is to be prefilled."""
    turn: float = 2.0
    """A whole turn."""


class _Reservation(msgspec.Struct, frozen=True):
    instance: WorkerInstance
    until: Instant


class Workload:
    """Running turns, short reservations of awards, and the figures learnt per worker."""

    def __init__(self, registry: Registry, exchange: RunningExchange, reserve_share: float) -> None:
        self._registry = registry
        self._exchange = exchange
        self._reserve_share = reserve_share
        self._running: Counter[WorkerInstance] = Counter()
        self._reservations: dict[int, _Reservation] = {}
        self._reserved: Counter[WorkerInstance] = Counter()
        self._figures: dict[WorkerInstance, WorkerFigures] = {}
        self._of_pool: dict[PoolName, WorkerFigures] = {}
        exchange.count_running_with(self._count)

    # --- counting -----------------------------------------------------------------------------

    def begin(self, instance: WorkerInstance) -> None:
        self._running[instance] += 1

    def end(self, instance: WorkerInstance) -> None:
        self._running[instance] -= 1
        if self._running[instance] <= 0:
            del self._running[instance]

    def reserve(self, key: int, instance: WorkerInstance, until: Instant) -> None:
        self.release(key)
        self._reservations[key] = _Reservation(instance, until)
        self._reserved[instance] += 1

    def release(self, key: int) -> None:
        reservation = self._reservations.pop(key, None)
        if reservation is not None:
            self._reserved[reservation.instance] -= 1
            if self._reserved[reservation.instance] <= 0:
                del self._reserved[reservation.instance]

    def release_old(self, now: Instant) -> None:
        """Reservations stand in the order of their making, all for the same time."""
        while self._reservations:
            key = next(iter(self._reservations))
            if self._reservations[key].until > now:
                return
            self.release(key)

    def own(self, instance: WorkerInstance) -> float:
        return self._running[instance] + self._reserve_share * self._reserved[instance]

    def _count(self, pool: PoolName) -> dict[WorkerInstance, float]:
        return {
            worker.instance: count
            for worker in self._registry.ready(pool)
            if (count := self.own(worker.instance)) > 0.0
        }

    def load(self, worker: Worker) -> float:
        """Turns running, waiting or expected there, over all routers."""
        counted = self.own(worker.instance) + self._exchange.running_elsewhere(worker.instance)
        told = 0 if worker.load is None else worker.load.running + worker.load.waiting
        return max(counted, TOLD_LOAD_TRUST * told)

    def is_full(self, worker: Worker) -> bool:
        return self.load(worker) >= FULL_AT * worker.slots

    # --- predicting ---------------------------------------------------------------------------

    def figures(self, worker: Worker) -> WorkerFigures:
        return self._figures.get(worker.instance) or self._of_pool.get(worker.pool) or WorkerFigures()

    def wait(self, worker: Worker) -> float:
        """Seconds until a slot is free."""
        over = self.load(worker) - worker.slots + 1
        return max(0.0, over) * self.figures(worker).turn / worker.slots

    def first_token(self, worker: Worker, uncached: int) -> Seconds:
        figures = self.figures(worker)
        return Seconds(self.wait(worker) + figures.base + uncached * figures.per_token)

    def room_after(self, worker: Worker) -> Seconds:
        """When a worker that is full will have room again, roughly."""
        over = self.load(worker) - FULL_AT * worker.slots + 1
        return Seconds(min(30.0, max(0.2, over * self.figures(worker).turn / worker.slots)))

    # --- learning -----------------------------------------------------------------------------

    def learn(self, worker: Worker, uncached: int, waited: float, first_token: Seconds | None, turn: float) -> None:
        for figures in (
            self._figures.setdefault(worker.instance, msgspec.structs.replace(self.figures(worker))),
            self._of_pool.setdefault(worker.pool, WorkerFigures()),
        ):
            figures.turn += FOLD * (turn - figures.turn)
            if first_token is None or waited > 0.0:
                continue
            if uncached < 64:
                figures.base += FOLD * (first_token - figures.base)
            elif uncached >= 256:
                sample = min(0.01, max(1e-6, (first_token - figures.base) / uncached))
                figures.per_token += FOLD * (sample - figures.per_token)

    def forget(self, instance: WorkerInstance) -> None:
        self._figures.pop(instance, None)
