"""Interface and costs by which the reservation policy compares workers (docs/DESIGN.md section 11.5)."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

import msgspec

from ..identifiers import PoolName, RequestId, Seconds, WorkerInstance
from ..registry.protocols import Worker
from .protocols import Turn
from .session_map import Entry


class Forecast(msgspec.Struct, frozen=True):
    """Forecast for one turn at one worker."""

    uncached: int
    """Number of prompt tokens that the worker has to prefill."""
    first_token: Seconds
    """Seconds until the first token of the answer."""


class CostModel(Protocol):
    """Compares workers by costs in seconds: a turn's wait and prefill, and the delay that it causes to other turns."""

    def cached_tokens(self, turn: Turn, entry: Entry | None, worker: Worker) -> int:
        """Returns the number of tokens of the turn's prompt that the worker probably caches."""
        ...

    def session_tokens(self, turn: Turn, tokens: int) -> int:
        """Returns how many of the ``tokens`` of a finished turn the session's next prompt may find cached."""
        ...

    def own_tokens(self, pool: PoolName, turn: Turn, tokens: int) -> int:
        """Returns the same number without the parts that other sessions share."""
        ...

    def forecast(self, turn: Turn, entry: Entry | None, worker: Worker) -> Forecast:
        """Predicts the prefill and the first token of the turn at the worker."""
        ...

    def cheapest_worker(self, turn: Turn, entry: Entry | None, ready: Sequence[Worker]) -> Worker:
        """Returns the best worker for a turn that has arrived.

        ``entry`` is given only if its cache worker is ready and caches a part of the prompt.
        """
        ...

    def cheapest_for_next_turn(self, turn: Turn, entry: Entry, ready: Sequence[Worker]) -> Worker:
        """Returns the best worker for the session's next turn."""
        ...

    def earliest_first_token(self, turn: Turn, entry: Entry | None, ready: Sequence[Worker]) -> Seconds:
        """Returns the shortest time to the first token among the workers that ``cheapest_worker`` would compare."""
        ...

    def sent(self, turn: Turn, worker: Worker, key: int, forecast: Forecast) -> None:
        """Records that the turn is sent to the worker."""
        ...

    def ended(
        self,
        turn: Turn,
        worker: Worker,
        uncached: int,
        predicted_wait: float,
        first_token: Seconds | None,
        duration: Seconds,
    ) -> None:
        """Records that the turn's answer was complete after ``duration`` seconds."""
        ...

    def turn_left(self, request: RequestId, worker: Worker, first_token: Seconds | None) -> None:
        """Records that the turn left the worker, with any outcome."""
        ...

    def remove_worker(self, instance: WorkerInstance) -> None:
        """Drops all records of a worker that was removed."""
        ...


class Pressure:
    """Factor by which waiting costs more for tenants that pay less, so that they leave a crowded worker first."""

    def __init__(self, max_pressure: float) -> None:
        self._max_pressure = max_pressure
        self._highest_weight: dict[PoolName, float] = {}

    def observe(self, pool: PoolName, weight: float) -> None:
        """Records the weight of a turn's priority class. The highest weight seen in a pool decays with each turn."""
        self._highest_weight[pool] = max(weight, 0.999 * self._highest_weight.get(pool, 0.0))

    def of(self, pool: PoolName, weight: float) -> float:
        """Returns the cost of one second of waiting in the pool, in seconds, for a turn of this weight."""
        return min(self._max_pressure, max(1.0, self._highest_weight.get(pool, weight) / max(weight, 1e-9)))


def queued_cost(
    wait: float, prefill: float, other_cost: float, *, pressure: float, risk_threshold: float, risk_cost: float
) -> float:
    """Returns the cost in seconds of a turn at one worker (docs/DESIGN.md section 11.5).

    ``wait`` comes from this router's estimate or from the queue owner. ``other_cost``: all costs except wait and
    prefill. The part of wait and prefill beyond ``risk_threshold`` counts an additional ``risk_cost`` times.
    """
    risk_excess = max(0.0, wait + prefill - risk_threshold)
    return wait * pressure + prefill + other_cost + risk_cost * risk_excess


def cheapest(
    candidates: Sequence[Worker],
    cost_of: Callable[[Worker], float],
    cache_worker: WorkerInstance | None,
    margin: Seconds,
) -> Worker:
    """Returns the cheapest worker, or the cache worker if no other one is cheaper by more than ``margin`` seconds.

    ``cost_of`` returns the cost of a worker in seconds; it is called once for each candidate, in their order.
    """
    costs = [(cost_of(worker), worker) for worker in candidates]
    best_cost, best = min(costs, key=lambda pair: (pair[0], pair[1].instance))
    for cost, worker in costs:
        if worker.instance == cache_worker and cost - best_cost <= margin:
            return worker
    return best


def cache_worker_among(entry: Entry | None, ready: Sequence[Worker]) -> Worker | None:
    """Returns the worker that caches the session's prefix, or None if it is unknown or not in ``ready``."""
    if entry is None:
        return None
    return next((worker for worker in ready if worker.instance == entry.cache_worker), None)
