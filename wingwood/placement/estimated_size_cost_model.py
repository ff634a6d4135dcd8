"""Costs of workers where callers report no sizes: prompts and shared prefixes are estimated from observed turns."""

from __future__ import annotations

import math
from collections.abc import Sequence

from ..context.protocols import Context
from ..identifiers import Instant, PoolName, RequestId, Seconds, WorkerInstance
from ..membership.protocols import Membership
from ..registry.protocols import Worker
from .cached_prefixes import EvictionModel, SharedPrefixes
from .cost_model import Forecast, Pressure, cheapest
from .prefix_order import PrefixOrders
from .protocols import Turn
from .session_map import Entry
from .settings import PlacementSettings
from .worker_estimates import Workload


class EstimatedSizeCostModel:
    """A ``CostModel`` that estimates sizes (docs/DESIGN.md sections 11.3 to 11.5)."""

    def __init__(
        self,
        context: Context,
        membership: Membership,
        workload: Workload,
        pressure: Pressure,
        orders: PrefixOrders,
        settings: PlacementSettings,
    ) -> None:
        self._context = context
        self._membership = membership
        self._workload = workload
        self._pressure = pressure
        self._orders = orders
        self._settings = settings
        self._shared = SharedPrefixes()
        self._evictions = EvictionModel()

    def session_stored(self, key: int, entry: Entry, capacity: int) -> None:
        """Samples the entry of a session that this router stores. ``capacity``: KV cache tokens of the entire pool."""
        routers = max(2, len(self._membership.routers()))
        self._evictions.record_use(entry.pool, key, entry.own_tokens, entry.last_used_at, capacity * 2 / routers)

    def cached_tokens(self, turn: Turn, entry: Entry | None, worker: Worker) -> int:
        """See ``CostModel.cached_tokens``."""
        since = self._evictions.cached_since(worker.pool)
        if entry is not None and entry.cache_worker == worker.instance and entry.last_used_at >= since:
            return min(entry.tokens, turn.prompt_tokens)
        return min(turn.prompt_tokens, self._shared.cached_tokens(worker.pool, turn.prefix, worker.instance, since))

    def session_tokens(self, _turn: Turn, tokens: int) -> int:
        """Returns all ``tokens``: without reported sizes the next prompt counts as containing the full last turn."""
        return tokens

    def own_tokens(self, pool: PoolName, turn: Turn, tokens: int) -> int:
        """Returns the tokens without the longest shared part of the turn's prefix."""
        return max(0, tokens - self._shared.tokens(pool, turn.prefix))

    def forecast(self, turn: Turn, entry: Entry | None, worker: Worker) -> Forecast:
        """See ``CostModel.forecast``."""
        uncached = self._uncached(turn, entry, worker)
        return Forecast(uncached, self._workload.first_token(worker, uncached))

    def cheapest_worker(self, turn: Turn, entry: Entry | None, ready: Sequence[Worker]) -> Worker:
        """See ``CostModel.cheapest_worker``."""
        candidates = self._candidates(turn, entry, ready)
        return cheapest(
            candidates,
            lambda worker: self._cost_now(turn, entry, worker),
            None if entry is None else entry.cache_worker,
            self._settings.candidates.min_move_gain,
        )

    def earliest_first_token(self, turn: Turn, entry: Entry | None, ready: Sequence[Worker]) -> Seconds:
        """Returns the shortest time to the first token among all ready workers."""
        return min(self.forecast(turn, entry, worker).first_token for worker in ready)

    def _candidates(self, turn: Turn, entry: Entry | None, ready: Sequence[Worker]) -> Sequence[Worker]:
        if entry is not None:
            return ready
        if len(turn.prefix) > 1:
            return self.prefix_candidates(turn, ready)
        return self._context.random.sample(list(ready), min(self._settings.candidates.drawn, len(ready)))

    def prefix_candidates(self, turn: Turn, ready: Sequence[Worker]) -> Sequence[Worker]:
        """Returns the first workers in the prefix's rendezvous order: at least two and as many as its demand needs.

        More workers follow until one of them has a load per slot within the bound.
        """
        pool = ready[0].pool
        order = self._orders.order(pool, turn.prefix[:-1], ready)
        now = self._context.clock.monotonic()
        routers = max(1, len(self._membership.routers()))
        slots = sum(worker.slots for worker in ready) / len(ready)
        turn_seconds = self._workload.estimates(order[0]).turn_duration
        concurrent_turns = self._shared.demand(pool, turn.prefix, now) * routers * turn_seconds
        count = min(len(order), max(2, math.ceil(concurrent_turns / (self._settings.prefixes.slot_share * slots))))
        load_per_slot = [self._workload.load_per_slot(worker) for worker in order]
        bound = max(self._settings.prefixes.load_bound * sum(load_per_slot) / len(load_per_slot), 1.0 / slots)
        while count < len(order) and all(full > bound for full in load_per_slot[:count]):
            count += 1
        return order[:count]

    def _cost_now(self, turn: Turn, entry: Entry | None, worker: Worker) -> float:
        mean_wait = self._workload.mean_wait(worker, self._workload.load(worker))
        return self._cost(
            turn, entry, worker, self._workload.wait(worker) + self._settings.costs.mean_wait_weight * mean_wait
        )

    def cheapest_for_next_turn(self, turn: Turn, entry: Entry, ready: Sequence[Worker]) -> Worker:
        """Compares the cache worker with a few workers drawn at random; so routers do not all move to the same one."""
        others = [worker for worker in ready if worker.instance != entry.cache_worker]
        candidates = self._context.random.sample(others, min(self._settings.candidates.drawn, len(others)))
        candidates.extend(worker for worker in ready if worker.instance == entry.cache_worker)
        active_share = self._workload.active_share(ready)
        return cheapest(
            candidates,
            lambda worker: self._next_turn_cost(turn, entry, worker, active_share),
            entry.cache_worker,
            self._settings.candidates.min_move_gain,
        )

    def _next_turn_cost(self, turn: Turn, entry: Entry, worker: Worker, active_share: float) -> float:
        mean_wait = self._workload.mean_wait(worker, self._workload.expected_load(worker, active_share))
        return self._cost(turn, entry, worker, self._settings.costs.next_turn_wait_weight * mean_wait)

    def sent(self, turn: Turn, worker: Worker, key: int, _forecast: Forecast) -> None:
        """Records the turn's prefix, so that its shared parts count as cached at the worker."""
        now = self._context.clock.monotonic()
        self._shared.sent(worker.pool, turn.prefix, key, turn.prompt_tokens, worker.instance, now)

    def ended(
        self,
        _turn: Turn,
        worker: Worker,
        uncached: int,
        predicted_wait: float,
        first_token: Seconds | None,
        duration: Seconds,
    ) -> None:
        """See ``CostModel.ended``."""
        self._workload.learn(worker, uncached, predicted_wait, first_token, duration)

    def turn_left(self, request: RequestId, worker: Worker, first_token: Seconds | None) -> None:
        """Does nothing: the prompts that wait at a worker are not counted where no sizes are reported."""

    def remove_worker(self, instance: WorkerInstance) -> None:
        """See ``CostModel.remove_worker``."""
        self._shared.remove_worker(instance)

    def cached_since(self, pool: PoolName) -> Instant:
        """Returns the instant before which a last use means that the pool's workers evicted a prefix."""
        return self._evictions.cached_since(pool)

    def _uncached(self, turn: Turn, entry: Entry | None, worker: Worker) -> int:
        return max(0, turn.prompt_tokens - self.cached_tokens(turn, entry, worker))

    def _cost(self, turn: Turn, entry: Entry | None, worker: Worker, wait: float) -> float:
        prefill = self._uncached(turn, entry, worker) * self._workload.estimates(worker).seconds_per_token
        return wait * self._pressure.of(worker.pool, turn.weight) + prefill
