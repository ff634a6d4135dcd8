"""What the award policy asks when it compares workers (docs/DESIGN.md section 11.5)."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import msgspec

from ..identifiers import PoolName, RequestId, Seconds, WorkerInstance
from ..registry.protocols import Worker
from .protocols import Turn
from .session_map import Entry


class Forecast(msgspec.Struct, frozen=True):
    """Of one turn at one worker."""

    uncached: int
    """Prompt tokens that it has to prefill."""
    first_token: Seconds


class Bidder(Protocol):
    """Costs in seconds: what a turn waits and prefills, and the harm that it does to others."""

    def cached_tokens(self, turn: Turn, entry: Entry | None, worker: Worker) -> int:
        """Tokens of the turn's prompt that the worker probably keeps."""
        ...

    def session_tokens(self, turn: Turn, tokens: int) -> int:
        """Of a turn that ended with so many tokens: those that the session's next prompt may find kept."""
        ...

    def own_tokens(self, pool: PoolName, turn: Turn, tokens: int) -> int:
        """The same without the parts that other sessions share."""
        ...

    def forecast(self, turn: Turn, entry: Entry | None, worker: Worker) -> Forecast: ...

    def bid(self, turn: Turn, entry: Entry | None, ready: Sequence[Worker]) -> Worker:
        """For a turn that is here. ``entry`` only where its holder is ready and keeps something."""
        ...

    def bid_for_next_turn(self, turn: Turn, entry: Entry, ready: Sequence[Worker]) -> Worker:
        """For a turn to come."""
        ...

    def earliest_first_token(self, turn: Turn, entry: Entry | None, ready: Sequence[Worker]) -> Seconds:
        """The least time to the first token at the workers that a bid would compare."""
        ...

    def sent(self, turn: Turn, worker: Worker, key: int, forecast: Forecast) -> None:
        """The turn goes to the worker."""
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
        """The turn ended whole after ``duration`` seconds."""
        ...

    def turn_left(self, request: RequestId, worker: Worker, first_token: Seconds | None) -> None:
        """The turn left the worker, however it ended."""
        ...

    def forget(self, instance: WorkerInstance) -> None: ...


class Pressure:
    """How much a wait counts: the less a tenant pays, the more, so that it leaves a crowded worker first."""

    def __init__(self, max_pressure: float) -> None:
        self._max_pressure = max_pressure
        self._highest_weight: dict[PoolName, float] = {}

    def observe(self, pool: PoolName, weight: float) -> None:
        self._highest_weight[pool] = max(weight, 0.999 * self._highest_weight.get(pool, 0.0))

    def of(self, pool: PoolName, weight: float) -> float:
        return min(self._max_pressure, max(1.0, self._highest_weight.get(pool, weight) / max(weight, 1e-9)))


def queued_cost(
    wait: float, prefill: float, other_cost: float, *, pressure: float, risk_threshold: float, risk_cost: float
) -> float:
    """Seconds that a turn at one worker costs, whoever knows the wait there (docs/DESIGN.md section 11.5).

    ``other_cost``: all but wait and prefill. What these go beyond ``risk_threshold`` counts ``risk_cost`` times more.
    """
    risk_excess = max(0.0, wait + prefill - risk_threshold)
    return wait * pressure + prefill + other_cost + risk_cost * risk_excess


def cheapest(bids: Sequence[tuple[float, Worker]], holder: WorkerInstance | None, margin: Seconds) -> Worker:
    """The holder, unless another gains more than the margin."""
    best_cost, best = min(bids, key=lambda pair: (pair[0], pair[1].instance))
    for cost, worker in bids:
        if worker.instance == holder and cost - best_cost <= margin:
            return worker
    return best
