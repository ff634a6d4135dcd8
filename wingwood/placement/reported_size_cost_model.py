"""Costs of workers where callers report the sizes of their prompt's parts (docs/DESIGN.md sections 11.3 to 11.5)."""

from __future__ import annotations

import math
from collections.abc import Sequence

import msgspec

from ..context.protocols import Context
from ..identifiers import PoolName, RequestId, Seconds, WorkerInstance, Zone
from ..membership.protocols import Membership
from ..registry.protocols import Worker
from .cost_model import Forecast, Pressure, cache_worker_among, cheapest, queued_cost
from .messages import JoinQueue, QueueEntry, QueueOffer
from .prefill_estimates import PrefillQueues
from .prefix_order import PrefixOrders
from .protocols import PromptPart, Turn
from .queue_owners import QueueOwners
from .sent_chains import KnownChains, SentChains
from .session_map import Entry
from .session_recurrence import SessionRecurrence
from .settings import PlacementSettings
from .worker_estimates import Workload

MIN_AFFINITY_PREFILL_S = Seconds(0.002)
"""A prefix whose prefill takes less than this does not justify preferring a worker."""
MIN_QUEUED_PREFILL_S = Seconds(0.003)
"""A turn whose prefill takes less than this is placed without asking the queue owner."""
MAX_ENTERED_TURNS = 20_000
NO_RISK_THRESHOLD_S = 1e6
"""Threshold for turns whose wait risks neither a latency objective nor a gap in a stream; longer than any wait."""


class QueueChoice(msgspec.Struct, frozen=True):
    """The worker that the queue owner picked, and the forecast there."""

    worker: Worker
    forecast: Forecast


class _Offer(msgspec.Struct, frozen=True):
    """A worker that is compared for a turn."""

    worker: Worker
    load: float
    """Number of turns that run or wait at the worker."""
    uncached: float
    """Number of prompt tokens that the worker has to prefill."""
    slot_wait: float
    """Seconds until the worker has a free slot."""
    repeated_prefill_cost: float
    """Cost in seconds of prefilling shared parts that another worker probably caches."""


class _PrefixWorkers(msgspec.Struct, frozen=True):
    """The workers on which all routers agree for a prompt's prefix."""

    workers: Sequence[Worker]
    """The first workers of the prefix's order: as many as its demand needs, and one more."""
    preferred: Sequence[Worker]
    """The workers that all routers prefer where no worker is known to cache the prefix."""
    shared_tokens: int
    """Size of the prefix in tokens."""

    def among(self, ready: Sequence[Worker]) -> _PrefixWorkers:
        """Returns the same without the workers that are not in ``ready``."""
        instances = {worker.instance for worker in ready}
        workers = [worker for worker in self.workers if worker.instance in instances]
        return msgspec.structs.replace(self, workers=workers)


class ReportedSizeCostModel:
    """A ``CostModel`` that counts prompts by the parts and sizes that callers report."""

    def __init__(
        self,
        context: Context,
        membership: Membership,
        workload: Workload,
        queues: PrefillQueues,
        session_recurrence: SessionRecurrence,
        pressure: Pressure,
        orders: PrefixOrders,
        zone: Zone | None,
        settings: PlacementSettings,
        queue_owners: QueueOwners,
    ) -> None:
        self._context = context
        self._membership = membership
        self._workload = workload
        self._queues = queues
        self._recurrence = session_recurrence
        self._pressure = pressure
        self._orders = orders
        self._zone = zone
        self._settings = settings
        self._queue_owners = queue_owners
        self._entered: dict[RequestId, QueueEntry] = {}
        """Queue entries of the turns in progress that a queue owner has counted."""
        self._parts = SentChains()
        self._workers: dict[PoolName, int] = {}

    # --- cached tokens ------------------------------------------------------------------------

    def cached_tokens(self, turn: Turn, entry: Entry | None, worker: Worker) -> int:
        """See ``CostModel.cached_tokens``."""
        return self._cached_tokens(turn, entry, worker, self._known(worker.pool, turn))

    def _known(self, pool: PoolName, turn: Turn) -> KnownChains:
        return self._parts.known(pool, self._reused(turn), self._context.clock.monotonic())

    def _cached_tokens(self, turn: Turn, entry: Entry | None, worker: Worker, known: KnownChains) -> int:
        cache_retention = self._queues.cache_retention(worker)
        routers = len(self._membership.routers())
        cached = known.cached_tokens(
            worker.instance, cache_retention, (routers - 1) / self._workers.get(worker.pool, 1)
        )
        if (
            entry is not None
            and entry.cache_worker == worker.instance
            and known.now - entry.last_used_at <= cache_retention
        ):
            cached = max(cached, min(entry.tokens, _total_tokens(turn.parts)))
        return min(turn.prompt_tokens, int(cached))

    def _probably_cached(self, shared_tokens: int, known: KnownChains) -> float:
        """Returns the number of tokens that the preferred workers of a prefix probably cache.

        Chains in use are eventually cached at every worker, so prefilling them once at a preferred worker is no
        reason to send the next prompt elsewhere. Other routers may have sent the rest of the prefix there before.
        """
        tokens_in_use = known.tokens()
        return tokens_in_use + self._settings.prefixes.first_worker_cache_probability * max(
            0, shared_tokens - tokens_in_use
        )

    def session_tokens(self, turn: Turn, tokens: int) -> int:
        """Returns the tokens of the reported parts; text outside the parts never occurs in another prompt."""
        return min(tokens, _total_tokens(turn.parts))

    def own_tokens(self, _pool: PoolName, turn: Turn, _tokens: int) -> int:
        """Returns the size of the last part, the only one that other sessions do not share."""
        return turn.parts[-1].tokens

    def _reused(self, turn: Turn) -> tuple[PromptPart, ...]:
        """Returns the parts that later prompts may contain: without the last one where each request has its own."""
        return turn.parts if self._recurrence.sessions_recur(turn.service.name) else turn.parts[:-1]

    def _shared(self, turn: Turn, worker: Worker) -> tuple[PromptPart, ...]:
        """Returns the parts by which all routers agree on the workers of a prompt that no worker is known to cache.

        The last part is left out until enough turns have shown whether it recurs; otherwise turns that share all
        other parts would go to as many workers as there are turns. The last part counts where very many turns share
        the parts before it: where there is at most one such part, or their demand exceeds what one worker serves.
        """
        if self._recurrence.has_enough_turns(turn.service.name):
            return self._reused(turn)
        before = turn.parts[:-1]
        is_common = len(before) < 2 or self._prefill_share(turn, before, worker) > self._settings.prefixes.prefill_share
        return turn.parts if is_common else before

    # --- costs --------------------------------------------------------------------------------

    def forecast(self, turn: Turn, entry: Entry | None, worker: Worker) -> Forecast:
        """See ``CostModel.forecast``."""
        uncached = turn.prompt_tokens - self.cached_tokens(turn, entry, worker)
        first_token = self._workload.wait(worker) + self._queues.first_token(worker, uncached)
        return Forecast(uncached, Seconds(first_token))

    def cheapest_worker(self, turn: Turn, entry: Entry | None, ready: Sequence[Worker]) -> Worker:
        """Returns the cheapest worker by this router's own estimates of the prefill queues."""
        offers = {
            offer.worker.instance: offer
            for offer in self._offers(turn, entry, self._find_prefix_workers(turn, entry, ready), ready)
        }
        return cheapest(
            [offer.worker for offer in offers.values()],
            lambda worker: self._offer_cost(turn, offers[worker.instance]),
            None if entry is None else entry.cache_worker,
            self._settings.candidates.min_move_gain_with_sizes,
        )

    async def join(
        self, turn: Turn, entry: Entry | None, ready: Sequence[Worker], reserved_worker: Worker | None = None
    ) -> QueueChoice | None:
        """Asks the queue owner to pick a worker; returns None if there is little to prefill or no owner answers.

        ``reserved_worker``: the worker of an unexpired reservation; it takes the turn unless its queue risks the
        objective.
        """
        if self._queues.prefill(ready[0], turn.prompt_tokens) < MIN_QUEUED_PREFILL_S:
            return None
        prefix_workers = self._find_prefix_workers(turn, entry, ready)
        first = (
            reserved_worker
            or cache_worker_among(entry, ready)
            or next(iter(prefix_workers.workers), None)
            or self._context.random.choice(ready)
        )
        grouped = self._queue_owners.group(first, ready, self._workload.pool_size(first.pool))
        offers = self._offers(turn, entry, prefix_workers.among(grouped), grouped, first)
        pool = ready[0].pool
        question = JoinQueue(
            pool=pool,
            offers=tuple(self._queue_offer(turn, offer) for offer in offers),
            pressure=self._pressure.of(pool, turn.weight),
            risk_threshold=self._risk_threshold(turn, ready[0]),
            risk_cost=self._settings.risk.weight,
            first_is_reserved=reserved_worker is not None,
        )
        queue_choice = await self._queue_owners.join(question)
        if queue_choice is None:
            return None
        offer = offers[queue_choice.offer]
        prefill = question.offers[queue_choice.offer].prefill
        self._remember_entered(turn.request, QueueEntry(pool, offer.worker.instance, prefill))
        first_token = offer.slot_wait + queue_choice.wait + self._queues.base_latency(offer.worker) + prefill
        return QueueChoice(offer.worker, Forecast(int(offer.uncached), Seconds(first_token)))

    def _find_prefix_workers(self, turn: Turn, entry: Entry | None, ready: Sequence[Worker]) -> _PrefixWorkers:
        shared = self._shared(turn, ready[0]) if entry is None else self._reused(turn)
        workers = self._prefix_workers(turn, shared, ready, 1)
        preferred = workers[: max(1, len(workers) - 1)] if entry is None else []
        return _PrefixWorkers(workers, preferred, _total_tokens(shared))

    def _offers(
        self,
        turn: Turn,
        entry: Entry | None,
        prefix_workers: _PrefixWorkers,
        ready: Sequence[Worker],
        first: Worker | None = None,
    ) -> list[_Offer]:
        """Returns the offers of the first, the prefix's and the cache worker, and of some workers drawn at random."""
        drawn = (
            self._settings.candidates.extra_drawn
            if prefix_workers.workers
            else self._settings.candidates.drawn_with_sizes
        )
        candidates = self._candidates(entry, prefix_workers.workers, drawn, ready)
        if first is not None:
            candidates = [first, *(worker for worker in candidates if worker.instance != first.instance)]
        known = self._known(ready[0].pool, turn)
        probably_cached = self._probably_cached(prefix_workers.shared_tokens, known)
        offers = []
        for worker in candidates:
            load = self._workload.load(worker)
            cached = float(self._cached_tokens(turn, entry, worker, known))
            if worker in prefix_workers.preferred:
                cached = max(cached, probably_cached)
            slot_wait = self._workload.wait_at(worker, load)
            repeated_cost = self._repeated_prefill_cost(turn, worker, prefix_workers.shared_tokens - cached)
            offers.append(_Offer(worker, load, turn.prompt_tokens - cached, slot_wait, repeated_cost))
        return offers

    def _queue_offer(self, turn: Turn, offer: _Offer) -> QueueOffer:
        worker = offer.worker
        prefill = self._queues.prefill(worker, offer.uncached)
        total_wait = offer.slot_wait + self._queues.overdue(worker)
        other_cost = self._pressure.of(worker.pool, turn.weight) * total_wait + self._other_cost(
            worker, prefill, offer.load
        )
        return QueueOffer(worker.instance, Seconds(prefill), other_cost + offer.repeated_prefill_cost)

    def _offer_cost(self, turn: Turn, offer: _Offer) -> float:
        wait = offer.slot_wait + self._queues.wait(offer.worker)
        return self._cost(turn, offer.worker, offer.uncached, wait, offer.load) + offer.repeated_prefill_cost

    def earliest_first_token(self, turn: Turn, entry: Entry | None, ready: Sequence[Worker]) -> Seconds:
        """Returns the shortest time to the first token among the workers that a comparison would include."""
        prefix_workers = self._prefix_workers(turn, self._reused(turn), ready, 1)
        candidates = self._candidates(entry, prefix_workers, self._settings.candidates.drawn_with_sizes, ready)
        return min(self.forecast(turn, entry, worker).first_token for worker in candidates)

    def cheapest_for_next_turn(self, turn: Turn, entry: Entry, ready: Sequence[Worker]) -> Worker:
        """Compares workers by the flow of prompts, because the current queues are gone when the next turn arrives.

        A prefix whose demand needs several workers alternates among them.
        """
        prefix_workers = self._prefix_workers(turn, self._reused(turn), ready, 0)
        drawn = 0 if len(prefix_workers) > 1 else self._settings.candidates.extra_drawn
        candidates = self._candidates(entry, prefix_workers, drawn, ready)
        cache_worker = entry.cache_worker if drawn else None
        if not drawn:
            candidates = self._context.random.sample(candidates, 2)
        known = self._known(ready[0].pool, turn)
        return cheapest(
            candidates,
            lambda worker: self._next_turn_cost(turn, entry, worker, known),
            cache_worker,
            self._settings.candidates.min_move_gain_with_sizes,
        )

    def _next_turn_cost(self, turn: Turn, entry: Entry, worker: Worker, known: KnownChains) -> float:
        load = self._workload.load(worker)
        uncached = turn.prompt_tokens - self._cached_tokens(turn, entry, worker, known)
        wait = self._workload.mean_wait(worker, load) + self._queues.mean_wait(worker)
        return self._cost(turn, worker, uncached, wait, load)

    def _candidates(
        self, entry: Entry | None, prefix_workers: Sequence[Worker], drawn: int, ready: Sequence[Worker]
    ) -> list[Worker]:
        """Returns the prefix's workers, the cache worker and some workers drawn at random, each once."""
        found = list(prefix_workers)
        cache_worker = cache_worker_among(entry, ready)
        if cache_worker is not None:
            found.append(cache_worker)
        found.extend(self._context.random.sample(list(ready), min(drawn, len(ready))))
        return list({worker.instance: worker for worker in found}.values())

    def _cost(self, turn: Turn, worker: Worker, uncached: float, wait: float, load: float) -> float:
        """Returns the cost in seconds: wait, prefill, delayed streams, distance of the zone, and risk."""
        prefill = self._queues.prefill(worker, uncached)
        return queued_cost(
            wait,
            prefill,
            self._other_cost(worker, prefill, load),
            pressure=self._pressure.of(worker.pool, turn.weight),
            risk_threshold=self._risk_threshold(turn, worker),
            risk_cost=self._settings.risk.weight,
        )

    def _other_cost(self, worker: Worker, prefill: float, load: float) -> float:
        """Returns the cost in seconds of the streams that the prefill delays and of a worker in another zone."""
        zone_cost = 0.0 if self._zone is None or worker.zone == self._zone else self._settings.costs.other_zone_cost
        return self._settings.costs.stream_delay_weight * prefill * load + zone_cost

    def _risk_threshold(self, turn: Turn, worker: Worker) -> Seconds:
        """Returns the seconds of wait and prefill that put the latency objective or the gaps in streams at risk."""
        risk_threshold = NO_RISK_THRESHOLD_S
        objective, max_chunk_gap = turn.service.latency_objective, turn.service.max_chunk_gap
        if objective is not None:
            risk_threshold = min(
                risk_threshold, objective * self._settings.risk.objective_share - self._queues.base_latency(worker)
            )
        if max_chunk_gap is not None and turn.service.streaming:
            risk_threshold = min(risk_threshold, max_chunk_gap * self._settings.risk.gap_share)
        return Seconds(max(0.0, risk_threshold))

    def _repeated_prefill_cost(self, turn: Turn, worker: Worker, tokens: float) -> float:
        """Returns the cost in seconds of prefilling shared parts again, beyond the time that the prefill takes.

        Other turns wait behind the prefill, and the parts evict other parts from the worker's cache. The cost is
        bounded, because avoiding a repeated prefill does not justify missing the latency objective.
        """
        cost = self._settings.costs.repeated_prefill_weight * self._queues.prefill(worker, max(0.0, tokens))
        objective = turn.service.latency_objective
        return cost if objective is None else min(cost, objective * self._settings.risk.objective_share)

    def _prefix_workers(
        self, turn: Turn, parts: tuple[PromptPart, ...], ready: Sequence[Worker], extra: int
    ) -> list[Worker]:
        """Returns the first workers in the rendezvous order of these parts: as many as the demand needs, and ``extra``.

        The list is empty for parts whose prefill is too short to matter.
        """
        pool = ready[0].pool
        self._workers[pool] = len(ready)
        if not parts or self._queues.prefill(ready[0], _total_tokens(parts)) < MIN_AFFINITY_PREFILL_S:
            return []
        order = self._orders.order(pool, tuple(part.part for part in parts), ready)
        return order[
            : max(1, math.ceil(self._prefill_share(turn, parts, order[0]) / self._settings.prefixes.prefill_share))
            + extra
        ]

    def _prefill_share(self, turn: Turn, parts: tuple[PromptPart, ...], worker: Worker) -> float:
        """Returns the share of this worker's prefill time that all routers' turns with these parts would use."""
        demand = self._parts.demand(worker.pool, parts, self._context.clock.monotonic())
        rest = max(0, turn.prompt_tokens - _total_tokens(parts))
        return demand * max(1, len(self._membership.routers())) * self._queues.prefill(worker, rest)

    # --- events of turns ----------------------------------------------------------------------

    def sent(self, turn: Turn, worker: Worker, _key: int, forecast: Forecast) -> None:
        """Adds the turn's prompt to the worker's prefill queue, and records that its parts were sent there."""
        part_tokens = max(0, forecast.uncached - max(0, turn.prompt_tokens - _total_tokens(turn.parts)))
        resident_tokens = turn.prompt_tokens + turn.generate_tokens
        self._queues.sent(turn.request, worker, forecast, part_tokens, resident_tokens)
        self._parts.sent(worker.pool, self._reused(turn), worker.instance, self._context.clock.monotonic())

    def ended(
        self,
        _turn: Turn,
        worker: Worker,
        _uncached: int,
        _predicted_wait: float,
        _first_token: Seconds | None,
        duration: Seconds,
    ) -> None:
        """Learns the duration of the turn; the prefill estimates learn from its first token."""
        self._workload.learn_turn(worker, duration)

    def turn_left(self, request: RequestId, worker: Worker, first_token: Seconds | None) -> None:
        """Removes the turn's prompt from the worker's prefill queue if it had no first token yet."""
        self._queues.ended(request, worker, first_token)
        self._entered.pop(request, None)

    def unsent(self, request: RequestId) -> None:
        """Takes the turn out of the prefill queue, because the worker never received it."""
        entry = self._entered.pop(request, None)
        if entry is not None:
            self._queue_owners.entered(QueueEntry(entry.pool, entry.worker, Seconds(-entry.prefill)))

    def enter(self, turn: Turn, worker: Worker, uncached: int) -> None:
        """Announces to the queue owner a turn that is sent to a worker without asking the owner."""
        prefill = self._queues.prefill(worker, uncached)
        if prefill >= MIN_QUEUED_PREFILL_S:
            entry = QueueEntry(worker.pool, worker.instance, Seconds(prefill))
            self._remember_entered(turn.request, entry)
            self._queue_owners.entered(entry)

    def _remember_entered(self, request: RequestId, entry: QueueEntry) -> None:
        """Stores a turn's queue entry; the number is bounded, as a call cancelled during its placement never ends."""
        self._entered[request] = entry
        if len(self._entered) > MAX_ENTERED_TURNS:
            del self._entered[next(iter(self._entered))]

    def remove_worker(self, instance: WorkerInstance) -> None:
        """See ``CostModel.remove_worker``."""
        self._parts.remove_worker(instance)
        self._queues.remove_worker(instance)


def _total_tokens(parts: Sequence[PromptPart]) -> int:
    return sum(part.tokens for part in parts)
