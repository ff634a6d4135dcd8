"""Balancing policies without reservations, for comparison, behind the same interface (docs/DESIGN.md section 11.6)."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
from returns.result import Failure, Result, Success

from ..context.protocols import Context
from ..identifiers import Instant, PoolName, RequestId, Seconds, WorkerInstance
from ..membership.rendezvous import ranked
from ..registry.protocols import ObservedLoadExchange, Registry, Worker
from .pool_choice import NONE_READY, choose_among_pools, pool_order
from .protocols import Choice, NoWorker, Turn, TurnOutcome
from .worker_estimates import Workload

EXPECTED_TURN_LIFETIME_S = Seconds(20.0)


class _PlacedTurn(msgspec.Struct, frozen=True):
    """A turn that was placed and has not finished."""

    since: Instant
    predicted_wait: float
    """Predicted wait for a free slot, in seconds."""


def _last_full(first: NoWorker, second: NoWorker) -> NoWorker:
    """Returns the refusal of the last pool whose workers are full; only that of a pool with ready workers says more."""
    return second if second.reason == "all-full" else first


class _PlainPlacement:
    """Counts turns and learns their durations; a subclass decides the order of workers."""

    def __init__(self, context: Context, registry: Registry, exchange: ObservedLoadExchange) -> None:
        self._context = context
        self._registry = registry
        self._workload = Workload(registry, exchange, context.clock, EXPECTED_TURN_LIFETIME_S)
        self._placed: dict[tuple[RequestId, WorkerInstance], _PlacedTurn] = {}

    def _order(self, turn: Turn, ready: Sequence[Worker]) -> Sequence[Worker]:
        """Returns the workers to try, the best first."""
        raise NotImplementedError

    async def choose(self, turn: Turn, excluded: Sequence[WorkerInstance]) -> Result[Choice, NoWorker]:
        """Returns the choice of the first pool of the service's split that has a worker. See ``Placement.choose``."""
        return await choose_among_pools(
            pool_order(turn, len(excluded)), lambda pool: self._choose_in(pool, turn, excluded), _last_full
        )

    async def _choose_in(
        self, pool: PoolName, turn: Turn, excluded: Sequence[WorkerInstance]
    ) -> Result[Choice, NoWorker]:
        ready = [worker for worker in self._registry.ready(pool) if worker.instance not in excluded]
        open_workers = [worker for worker in ready if not self._workload.is_full(worker)]
        for worker in self._order(turn, self._workload.accepting(open_workers)) if open_workers else ():
            if await self._registry.confirm(worker):
                first_token = self._workload.first_token(worker, turn.prompt_tokens)
                predicted_wait = self._workload.wait(worker)
                self._placed[(turn.request, worker.instance)] = _PlacedTurn(
                    self._context.clock.monotonic(), predicted_wait
                )
                self._workload.begin(worker.instance)
                return Success(
                    Choice(worker=worker, method="policy", first_token=first_token, uncached_tokens=turn.prompt_tokens)
                )
        if ready and not open_workers:
            return Failure(self._workload.all_full(ready))
        return Failure(NONE_READY)

    def first_token_received(self, turn: Turn, choice: Choice, first_token_after: Seconds) -> None:
        """Does nothing: the first token is learned when the turn finishes."""

    def finished(
        self,
        turn: Turn,
        choice: Choice,
        outcome: TurnOutcome,
        _generated_tokens: int,
        first_token_after: Seconds | None,
    ) -> None:
        """Learns from the turn if its answer was complete. See ``Placement.finished``."""
        placed = self._placed.pop((turn.request, choice.worker.instance), None)
        if placed is None:
            return
        self._workload.end(choice.worker.instance)
        if outcome == "refused":
            self._workload.refused(choice.worker.instance)
        elif outcome == "whole":
            seconds = self._context.clock.monotonic() - placed.since
            self._workload.learn(
                choice.worker, choice.uncached_tokens, placed.predicted_wait, first_token_after, seconds
            )


class RoundRobin(_PlainPlacement):
    """Orders the ready workers of a pool in turn, from a random start."""

    def __init__(self, context: Context, registry: Registry, exchange: ObservedLoadExchange) -> None:
        super().__init__(context, registry, exchange)
        self._turns: dict[PoolName, int] = {}

    def _order(self, _turn: Turn, ready: Sequence[Worker]) -> Sequence[Worker]:
        pool = ready[0].pool
        start = self._turns.get(pool)
        if start is None:
            start = self._context.random.randrange(len(ready))
        self._turns[pool] = start + 1
        return [ready[(start + step) % len(ready)] for step in range(len(ready))]


class LeastLoaded(_PlainPlacement):
    """Orders the workers by load per slot, equal ones in random order."""

    def _order(self, _turn: Turn, ready: Sequence[Worker]) -> Sequence[Worker]:
        shuffled = self._context.random.sample(list(ready), len(ready))
        return sorted(shuffled, key=self._workload.load_per_slot)


class StickyByHash(_PlainPlacement):
    """Orders the workers in a rendezvous order by session; without a session, by load per slot."""

    def _order(self, turn: Turn, ready: Sequence[Worker]) -> Sequence[Worker]:
        if turn.session is None:
            return sorted(ready, key=lambda worker: (self._workload.load_per_slot(worker), worker.instance))
        return ranked(turn.session, ready, lambda worker: worker.instance)
