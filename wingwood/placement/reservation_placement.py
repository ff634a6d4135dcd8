"""The reservation policy: it places turns by reservations, claims and costs (docs/DESIGN.md section 11).

The end of a turn is the hint of the session's next turn: the router compares the workers for that turn at once
and records a reservation of the cheapest.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

import msgspec
from returns.result import Failure, Result, Success

from ..context.protocols import Context
from ..identifiers import Instant, PoolName, RequestId, Seconds, WorkerInstance, Zone
from ..membership.protocols import Membership
from ..membership.rendezvous import ranked
from ..registry.protocols import ObservedLoadExchange, Registry, Worker
from .cost_model import CostModel, Forecast, Pressure, cache_worker_among
from .estimated_size_cost_model import EstimatedSizeCostModel
from .long_streams import LongStreams
from .pool_choice import NONE_READY, choose_among_pools, pool_order
from .prefill_estimates import PrefillQueues
from .prefix_order import PrefixOrders
from .protocols import Choice, NoWorker, PlacementMethod, Turn, TurnOutcome
from .queue_owners import NoQueueOwners, QueueOwners
from .reported_size_cost_model import ReportedSizeCostModel
from .session_map import Entry, SessionMap, Unreachable, session_key
from .session_recurrence import SessionRecurrence
from .settings import PlacementSettings
from .urgency import UrgentCapacity
from .worker_estimates import Workload

UNSENT_WITHIN_S = Seconds(0.002)
"""A turn cancelled within this time never reached its worker: admission refuses a turn as soon as it is placed."""
OTHER_ZONE_TURNS = 0.5
"""Number of turns added to the load of a worker in another zone, in pools without sessions.

Half a turn prefers the worker of the router's own zone only between equal loads.
"""


class _Placed(msgspec.Struct, frozen=True):
    """A turn that was placed and has not finished."""

    since: Instant
    predicted_wait: float
    claimed: bool
    """Whether placing the turn recorded this worker as the session's cache worker in the map."""
    known: Entry | None
    """The entry that the map stored before the turn was placed."""


class ReservationPlacement:
    """A ``Placement`` that uses reservations, claims and costs. There is one per router."""

    def __init__(
        self,
        context: Context,
        membership: Membership,
        registry: Registry,
        exchange: ObservedLoadExchange,
        session_map: SessionMap,
        settings: PlacementSettings | None = None,
        zone: Zone | None = None,
        queue_owners: QueueOwners | None = None,
    ) -> None:
        """``zone``: the router's own zone, whose workers are slightly preferred; None: no preference.

        ``queue_owners``: None: the router uses only what it knows itself about the prefill queues.
        """
        self._context = context
        self._membership = membership
        self._registry = registry
        self._map = session_map
        self._settings = settings or PlacementSettings()
        self._zone = zone
        self._workload = Workload(registry, exchange, context.clock, self._settings.reservations.expected_turn_lifetime)
        self._queues = PrefillQueues(context.clock, exchange)
        self._workload.prefill_flow = self._queues.flow
        self._recurrence = SessionRecurrence()
        self._pressure = Pressure(self._settings.costs.max_pressure)
        self._urgent = UrgentCapacity(self._settings.capacity.less_urgent_share)
        orders = PrefixOrders()
        self._long_streams = LongStreams(
            context.clock, context.random, exchange, orders, self._queues, self._settings.capacity.max_dedicated_share
        )
        self._workload.long_streams = self._long_streams.own
        self._estimated_size_costs = EstimatedSizeCostModel(
            context, membership, self._workload, self._pressure, orders, self._settings
        )
        self._reported_size_costs = ReportedSizeCostModel(
            context,
            membership,
            self._workload,
            self._queues,
            self._recurrence,
            self._pressure,
            orders,
            zone,
            self._settings,
            queue_owners or NoQueueOwners(),
        )
        self._placed: dict[tuple[RequestId, WorkerInstance], _Placed] = {}
        self.counts: Counter[str] = Counter()
        """Counts of choices by method, recorded reservations, moves and lookups that no owner answered; for metrics."""
        registry.on_change(self._worker_changed)

    def entry_stored(self, key: int, entry: Entry) -> None:
        """Callback of the session map for each entry stored at this router: an even sample for the eviction model."""
        if self._map.owns(key):
            self._workload.expect(key, entry.reserved_worker or entry.cache_worker, entry.last_used_at)
        capacity = sum(worker.cache_tokens for worker in self._registry.ready(entry.pool))
        if capacity:
            self._estimated_size_costs.session_stored(key, entry, capacity)

    # --- placing a turn -----------------------------------------------------------------------

    async def choose(self, turn: Turn, excluded: Sequence[WorkerInstance]) -> Result[Choice, NoWorker]:
        """Returns the choice of the first pool of the service's split that has a worker. See ``Placement.choose``."""
        return await choose_among_pools(
            pool_order(turn, len(excluded)), lambda pool: self._choose_in(pool, turn, set(excluded)), _more_informative
        )

    async def _choose_in(self, pool: PoolName, turn: Turn, tried: set[WorkerInstance]) -> Result[Choice, NoWorker]:
        self._pressure.observe(pool, turn.weight)
        self._urgent.observe(pool, turn.urgency, self._context.clock.monotonic())
        key = None if turn.session is None else session_key(pool, turn.session)
        entry = None if key is None else await self._find(turn, key)
        open_share = self._urgent.share(pool, turn.urgency)
        while True:
            ready = [worker for worker in self._registry.ready(pool) if worker.instance not in tried]
            if not ready:
                return Failure(NONE_READY)
            if all(self._workload.is_full(worker, open_share) for worker in ready):
                return Failure(self._workload.all_full(ready))
            candidates = self._long_streams.candidates(turn, self._workload.accepting(ready))
            choice = await self._choose_among(turn, key, entry, candidates)
            if self._misses_deadline(turn, choice, ready):
                self._reported_size_costs.unsent(turn.request)
                return Failure(self._workload.all_full(ready))
            if await self._registry.confirm(choice.worker):
                self._place(turn, key, entry, choice)
                return Success(choice)
            self._reported_size_costs.unsent(turn.request)
            tried.add(choice.worker.instance)

    async def _find(self, turn: Turn, key: int) -> Entry | Unreachable | None:
        if not self._recurrence.is_tracked(turn.service.name, key):
            return self._map.find_local(key)
        entry = await self._map.find(key)
        if isinstance(entry, Unreachable):
            self.counts["unreachable"] += 1
        else:
            self._recurrence.observe(turn.service.name, entry is not None)
        return entry

    def _cost_model(self, turn: Turn) -> CostModel:
        return self._reported_size_costs if turn.parts else self._estimated_size_costs

    async def _choose_among(
        self, turn: Turn, key: int | None, entry: Entry | Unreachable | None, ready: Sequence[Worker]
    ) -> Choice:
        if key is None or not any(worker.cache_tokens for worker in ready):
            return self._choice(turn, entry, self._least_loaded(ready), "policy")
        if isinstance(entry, Unreachable):
            return self._choice(turn, entry, self._agreed_worker(key, ready), "hash")
        reserved_worker = self._reserved_worker(turn, entry, ready)
        if reserved_worker is None:
            return await self._choose_cheapest(turn, entry, ready)
        queue_choice = await self._reported_size_costs.join(turn, entry, ready, reserved_worker) if turn.parts else None
        if queue_choice is not None:
            method: PlacementMethod = "award" if queue_choice.worker is reserved_worker else "bid"
            forecast = queue_choice.forecast
            return Choice(
                worker=queue_choice.worker,
                method=method,
                first_token=forecast.first_token,
                uncached_tokens=forecast.uncached,
            )
        choice = self._choice(turn, entry, reserved_worker, "award")
        if turn.parts:
            self._reported_size_costs.enter(turn, reserved_worker, choice.uncached_tokens)
        return choice

    def _reserved_worker(self, turn: Turn, entry: Entry | None, ready: Sequence[Worker]) -> Worker | None:
        """Returns the worker of the unexpired reservation if it is ready and not too crowded."""
        if entry is None or entry.reserved_until <= self._context.clock.monotonic():
            return None
        reserved_worker = next((worker for worker in ready if worker.instance == entry.reserved_worker), None)
        return (
            reserved_worker
            if reserved_worker is not None and self._reserved_worker_in_time(turn, entry, reserved_worker, ready)
            else None
        )

    async def _choose_cheapest(self, turn: Turn, entry: Entry | None, ready: Sequence[Worker]) -> Choice:
        """Chooses the cheapest worker.

        The session's cache worker counts only if it is ready and caches a part of the prompt.
        """
        if self._long_streams.is_long(turn):
            return self._stream_choice(turn, entry, self._long_streams.pick(ready))
        cost_model = self._cost_model(turn)
        cache_worker = cache_worker_among(entry, ready)
        if cache_worker is None or cost_model.cached_tokens(turn, entry, cache_worker) <= 0:
            cache_worker = entry = None
        queue_choice = await self._reported_size_costs.join(turn, entry, ready) if turn.parts else None
        worker = cost_model.cheapest_worker(turn, entry, ready) if queue_choice is None else queue_choice.worker
        if cache_worker is None:
            method: PlacementMethod = "claim" if cost_model.cached_tokens(turn, None, worker) > 0 else "bid"
        else:
            method = "claim" if worker is cache_worker else "bid"
        forecast = cost_model.forecast(turn, entry, worker) if queue_choice is None else queue_choice.forecast
        return Choice(worker=worker, method=method, first_token=forecast.first_token, uncached_tokens=forecast.uncached)

    def _stream_choice(self, turn: Turn, entry: Entry | None, worker: Worker) -> Choice:
        """Returns the choice of a long stream's worker, which depends on the streams there and not on the prompt."""
        method: PlacementMethod = "claim" if entry is not None and entry.cache_worker == worker.instance else "bid"
        choice = self._choice(turn, entry, worker, method)
        self._reported_size_costs.enter(turn, worker, choice.uncached_tokens)
        return choice

    def _reserved_worker_in_time(
        self, turn: Turn, entry: Entry | None, reserved_worker: Worker, ready: Sequence[Worker]
    ) -> bool:
        """Returns whether the reserved worker takes the turn even though it may be crowded.

        It does not where its first token would exceed the callers' timeout: admission would then refuse a turn that
        other workers could run. Where sizes are reported, it does not either if it would probably miss a latency
        objective that another worker would meet; forecasts from estimated sizes are too rough for that.
        """
        cost_model = self._cost_model(turn)
        first_token = cost_model.forecast(turn, entry, reserved_worker).first_token
        if first_token > turn.service.first_byte_timeout * self._settings.reservations.timeout_share:
            return False
        objective = turn.service.latency_objective
        if objective is None or not turn.parts:
            return True
        if first_token <= objective * self._settings.risk.objective_share:
            return True
        return (
            cost_model.earliest_first_token(turn, entry, ready)
            > objective * self._settings.reservations.objective_met_share
        )

    def _choice(self, turn: Turn, entry: Entry | Unreachable | None, worker: Worker, method: PlacementMethod) -> Choice:
        known = entry if isinstance(entry, Entry) else None
        forecast = self._cost_model(turn).forecast(turn, known, worker)
        return Choice(worker=worker, method=method, first_token=forecast.first_token, uncached_tokens=forecast.uncached)

    def _misses_deadline(self, turn: Turn, choice: Choice, ready: Sequence[Worker]) -> bool:
        """Returns whether the first token would come after the caller's deadline while the pool is busy."""
        if turn.deadline is None or self._context.clock.monotonic() + choice.first_token <= turn.deadline:
            return False
        return self._workload.is_busy(ready)

    def _place(self, turn: Turn, key: int | None, entry: Entry | Unreachable | None, choice: Choice) -> None:
        now = self._context.clock.monotonic()
        worker = choice.worker
        known = entry if isinstance(entry, Entry) else None
        self.counts[choice.method] += 1
        claimed = key is not None and worker.cache_tokens > 0 and self._is_claim(turn, known, choice)
        placed = _Placed(now, self._workload.wait(worker), claimed, known)
        self._placed[(turn.request, worker.instance)] = placed
        if key is not None and worker.cache_tokens:
            cost_model = self._cost_model(turn)
            cost_model.sent(turn, worker, key, Forecast(choice.uncached_tokens, choice.first_token))
            if claimed:
                tokens = cost_model.session_tokens(turn, turn.prompt_tokens)
                self._record(turn, key, self._entry(turn, worker, tokens, now))
            self._long_streams.started(turn, worker)
        self._workload.begin(worker.instance)

    def _is_claim(self, turn: Turn, known: Entry | None, choice: Choice) -> bool:
        """Returns whether the placement records the chosen worker as the session's cache worker.

        Where sizes are reported, a turn placed by the reservation leaves the reservation unchanged, so that several
        turns of a session can run concurrently under it.
        """
        if known is None or not (turn.parts and choice.method == "award"):
            return known is None or known.cache_worker != choice.worker.instance
        return False

    # --- end of a turn, and its hint ----------------------------------------------------------

    def first_token_received(self, turn: Turn, choice: Choice, first_token_after: Seconds) -> None:
        """Teaches the prefill estimates the time to the first token, where sizes are reported."""
        if turn.parts:
            self._queues.first_token_received(turn.request, choice.worker, first_token_after)

    def finished(
        self,
        turn: Turn,
        choice: Choice,
        outcome: TurnOutcome,
        generated_tokens: int,
        first_token_after: Seconds | None,
    ) -> None:
        """Learns from the turn, and reserves a worker for the session's next turn if the answer was complete."""
        placed = self._placed.pop((turn.request, choice.worker.instance), None)
        if placed is None:
            return
        worker = choice.worker
        cost_model = self._cost_model(turn)
        self._workload.end(worker.instance)
        self._long_streams.ended(turn.request)
        now = self._context.clock.monotonic()
        unsent = outcome == "cancelled" and now - placed.since <= UNSENT_WITHIN_S
        if unsent or outcome == "refused":
            self._reported_size_costs.unsent(turn.request)
        cost_model.turn_left(turn.request, worker, first_token_after)
        if outcome == "refused":
            self._workload.refused(worker.instance)
        if placed.claimed and (unsent or outcome == "refused"):
            self._unclaim(turn, worker, placed.known)
        if outcome != "whole":
            return
        duration = Seconds(now - placed.since)
        cost_model.ended(turn, worker, choice.uncached_tokens, placed.predicted_wait, first_token_after, duration)
        if turn.session is not None and worker.cache_tokens:
            self.hint(turn, worker, cost_model.session_tokens(turn, turn.prompt_tokens + generated_tokens))

    def _unclaim(self, turn: Turn, worker: Worker, known: Entry | None) -> None:
        """Restores the entry that was known before, because the worker never received the turn."""
        assert turn.session is not None
        now = self._context.clock.monotonic()
        entry = self._entry(turn, worker, 0, now) if known is None else msgspec.structs.replace(known, last_used_at=now)
        self._record(turn, session_key(worker.pool, turn.session), entry)

    def hint(self, turn: Turn, cache_worker: Worker, tokens: int) -> None:
        """Reserves the cheapest worker for the session's next turn, which is expected soon."""
        assert turn.session is not None
        now = self._context.clock.monotonic()
        key = session_key(cache_worker.pool, turn.session)
        entry = self._entry(turn, cache_worker, tokens, now)
        next_turn = turn if turn.parts else msgspec.structs.replace(turn, prompt_tokens=tokens)
        ready = self._registry.ready(cache_worker.pool)
        if ready:
            candidates = self._long_streams.candidates(next_turn, ready)
            if self._long_streams.is_long(next_turn):
                reserved_worker = self._long_streams.pick(candidates)
            else:
                reserved_worker = self._cost_model(turn).cheapest_for_next_turn(next_turn, entry, candidates)
            entry.reserved_worker = reserved_worker.instance
            entry.reserved_until = Instant(now + self._settings.reservations.lifetime)
            self.counts["awards"] += 1
            self.counts["moves"] += reserved_worker.instance != cache_worker.instance
        self._record(turn, key, entry)

    def _record(self, turn: Turn, key: int, entry: Entry) -> None:
        if self._recurrence.is_tracked(turn.service.name, key):
            self._map.record(key, entry)
        else:
            self._map.record_local(key, entry)

    def _entry(self, turn: Turn, cache_worker: Worker, tokens: int, now: Instant) -> Entry:
        return Entry(
            pool=cache_worker.pool,
            cache_worker=cache_worker.instance,
            tokens=tokens,
            own_tokens=self._cost_model(turn).own_tokens(cache_worker.pool, turn, tokens),
            last_used_at=now,
            weight=turn.weight,
        )

    # --- turns without a session --------------------------------------------------------------

    def _agreed_worker(self, key: int, ready: Sequence[Worker]) -> Worker:
        """Returns the worker that every router picks without a lookup, by rendezvous over the ready workers.

        Full workers are skipped unless all are full.
        """
        order = ranked(f"{key:x}", ready, lambda worker: worker.instance)
        return next((worker for worker in order if not self._workload.is_full(worker)), order[0])

    def _least_loaded(self, ready: Sequence[Worker]) -> Worker:
        """Returns the least loaded of a few workers drawn at random, or of all if the drawn ones have no free slot.

        Ties go to the worker drawn first, so that idle workers share the calls regardless of their names.
        """
        drawn = self._context.random.sample(list(ready), min(self._settings.candidates.drawn, len(ready)))
        best = min(drawn, key=self._load_per_slot)
        if self._workload.load(best) < best.slots:
            return best
        return min(self._context.random.sample(list(ready), len(ready)), key=self._load_per_slot)

    def _load_per_slot(self, worker: Worker) -> float:
        """Returns the load per slot; the load of a worker in another zone is increased by ``OTHER_ZONE_TURNS``."""
        in_other_zone = self._zone is not None and worker.zone != self._zone
        return (self._workload.load(worker) + in_other_zone * OTHER_ZONE_TURNS) / worker.slots

    def _worker_changed(self, worker: Worker) -> None:
        if worker.state == "gone":
            self._estimated_size_costs.remove_worker(worker.instance)
            self._reported_size_costs.remove_worker(worker.instance)
            self._workload.remove_worker(worker.instance)


def _more_informative(first: NoWorker, second: NoWorker) -> NoWorker:
    """Returns the refusal that says more: one from a pool with ready workers, and the one with the shorter wait."""
    if first.reason == "none-ready":
        return second
    return first if second.reason == "none-ready" or first.retry_after <= second.retry_after else second
