"""Balancing policies without reservations, for comparison, behind the same interface (docs/DESIGN.md section 11.6)."""

from __future__ import annotations

from collections.abc import Sequence

from returns.result import Failure, Result, Success

from ..context.protocols import Context
from ..identifiers import Instant, PoolName, RequestId, Seconds, WorkerInstance
from ..membership.rendezvous import ranked
from ..registry.protocols import ObservedLoadExchange, Registry, Worker
from .pool_choice import pool_order
from .protocols import Choice, NoWorker, Turn
from .reservation_placement import Outcome
from .worker_estimates import Workload


class _PlainPlacement:
    """Counts turns and learns their durations; a subclass decides the order of workers."""

    def __init__(self, context: Context, registry: Registry, exchange: ObservedLoadExchange) -> None:
        self._context = context
        self._registry = registry
        self._workload = Workload(registry, exchange, context.clock, Seconds(20.0))
        self._placed: dict[tuple[RequestId, WorkerInstance], tuple[Instant, float]] = {}

    def _order(self, turn: Turn, ready: Sequence[Worker]) -> Sequence[Worker]:
        """Returns the workers to try, the best first."""
        raise NotImplementedError

    async def choose(self, turn: Turn, excluded: Sequence[WorkerInstance]) -> Result[Choice, NoWorker]:
        """Tries the pools of the service's split in their order. See ``Placement.choose``."""
        refusal: Result[Choice, NoWorker] = Failure(NoWorker("none-ready", Seconds(1.0)))
        for pool in pool_order(turn, len(excluded)):
            chosen = await self._choose_in(pool, turn, excluded)
            if isinstance(chosen, Success):
                return chosen
            if chosen.failure().reason == "all-full":
                refusal = chosen
        return refusal

    async def _choose_in(
        self, pool: PoolName, turn: Turn, excluded: Sequence[WorkerInstance]
    ) -> Result[Choice, NoWorker]:
        ready = [worker for worker in self._registry.ready(pool) if worker.instance not in excluded]
        open_workers = [worker for worker in ready if not self._workload.is_full(worker)]
        for worker in self._order(turn, self._workload.accepting(open_workers)) if open_workers else ():
            if await self._registry.confirm(worker):
                first_token = self._workload.first_token(worker, turn.prompt_tokens)
                predicted_wait = self._workload.wait(worker)
                self._placed[(turn.request, worker.instance)] = (self._context.clock.monotonic(), predicted_wait)
                self._workload.begin(worker.instance)
                return Success(
                    Choice(worker=worker, method="policy", first_token=first_token, uncached_tokens=turn.prompt_tokens)
                )
        if ready and not open_workers:
            return Failure(NoWorker("all-full", min(self._workload.time_until_capacity(worker) for worker in ready)))
        return Failure(NoWorker("none-ready", Seconds(1.0)))

    def first_token_received(self, turn: Turn, choice: Choice, first_token_after: Seconds) -> None:
        """Does nothing: the first token is learned when the turn finishes."""

    def finished(
        self,
        turn: Turn,
        choice: Choice,
        outcome: Outcome,
        _generated_tokens: int,
        first_token_after: Seconds | None,
    ) -> None:
        """Learns from the turn if its answer was complete. See ``Placement.finished``."""
        placed = self._placed.pop((turn.request, choice.worker.instance), None)
        if placed is None:
            return
        since, predicted_wait = placed
        self._workload.end(choice.worker.instance)
        if outcome == "refused":
            self._workload.refused(choice.worker.instance)
        elif outcome == "whole":
            seconds = self._context.clock.monotonic() - since
            self._workload.learn(choice.worker, choice.uncached_tokens, predicted_wait, first_token_after, seconds)


class RoundRobin(_PlainPlacement):
    """Tries the ready workers of a pool in turn, from a random start."""

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
    """Tries the workers by load per slot, equal ones in random order."""

    def _order(self, _turn: Turn, ready: Sequence[Worker]) -> Sequence[Worker]:
        shuffled = self._context.random.sample(list(ready), len(ready))
        return sorted(shuffled, key=lambda worker: self._workload.load(worker) / worker.slots)


class StickyByHash(_PlainPlacement):
    """Tries the workers in a rendezvous order by session; without a session, by load per slot."""

    def _order(self, turn: Turn, ready: Sequence[Worker]) -> Sequence[Worker]:
        if turn.session is None:
            return sorted(ready, key=lambda worker: (self._workload.load(worker) / worker.slots, worker.instance))
        return ranked(turn.session, ready, lambda worker: worker.instance)
