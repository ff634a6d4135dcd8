"""The award policy: hint, bid, award, and the real turn (docs/DESIGN.md section 11)."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from typing import Literal

import msgspec
from returns.result import Failure, Result, Success

from ..context.protocols import Context
from ..identifiers import Instant, PoolName, RequestId, Seconds, WorkerInstance, Zone
from ..membership.protocols import Membership
from ..membership.rendezvous import ranked
from ..registry.protocols import EngagementExchange, Registry, Worker
from .bids import Bidder, Forecast, Pressure
from .estimated_size_bids import EstimatedSizeBids
from .long_streams import LongStreams
from .pool_choice import pool_order
from .prefill_estimates import PrefillQueues
from .prefix_order import PrefixOrders
from .protocols import Choice, NoWorker, Turn
from .queue_owners import NoQueueOwners, QueueOwners
from .reported_size_bids import ReportedSizeBids
from .session_map import Entry, SessionMap, Unreachable, session_key
from .session_recurrence import SessionRecurrence
from .settings import AwardSettings
from .urgency import UrgentPlaces
from .worker_estimates import Workload

Method = Literal["award", "claim", "bid", "hash", "policy"]
UNSENT_WITHIN_S = Seconds(0.002)
"""A turn that admission refuses is cancelled in the moment in which it was placed."""
NONE_READY_RETRY_S = Seconds(1.0)
OTHER_ZONE_TURNS = 0.5
"""In pools without sessions: between equal loads the own zone's worker is taken, and not otherwise."""
Outcome = Literal["whole", "refused", "broken", "cancelled"]


class _Placed(msgspec.Struct, frozen=True):
    since: Instant
    predicted_wait: float
    claimed: bool
    """Whether the placing made this worker the session's holder in the map."""
    known: Entry | None
    """What the map held before."""


class AwardPlacement:
    """Placement on awards, claims and bids. One per router."""

    def __init__(
        self,
        context: Context,
        membership: Membership,
        registry: Registry,
        exchange: EngagementExchange,
        session_map: SessionMap,
        settings: AwardSettings | None = None,
        zone: Zone | None = None,
        queue_owners: QueueOwners | None = None,
    ) -> None:
        """``zone``: the router's own, whose workers are preferred a little; None: no preference.

        ``queue_owners``: None: this router goes by what it knows itself of the prefill queues.
        """
        self._context = context
        self._membership = membership
        self._registry = registry
        self._map = session_map
        self._settings = settings or AwardSettings()
        self._zone = zone
        self._workload = Workload(registry, exchange, context.clock, self._settings.expected_turn_lifetime)
        self._queues = PrefillQueues(context.clock, exchange)
        self._workload.prefill_flow = self._queues.flow
        self._recurrence = SessionRecurrence()
        self._pressure = Pressure(self._settings.max_pressure)
        self._urgent = UrgentPlaces(self._settings.less_urgent_share)
        orders = PrefixOrders()
        self._long_streams = LongStreams(
            context.clock, context.random, exchange, orders, self._queues, self._settings.max_reserved_share
        )
        self._workload.long_streams = self._long_streams.own
        self._estimated_bids = EstimatedSizeBids(
            context, membership, self._workload, self._pressure, orders, self._settings
        )
        self._reported_bids = ReportedSizeBids(
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
        """Choices by how, awards recorded, moves, and lookups that reached no keeper; for metrics."""
        registry.on_change(self._worker_changed)

    def entry_stored(self, key: int, entry: Entry) -> None:
        """The session map tells of each entry that this router keeps: an even sample for the eviction model."""
        if self._map.owns(key):
            self._workload.expect(key, entry.winner or entry.holder, entry.last_used_at)
        capacity = sum(worker.cache_tokens for worker in self._registry.ready(entry.pool))
        if capacity:
            self._estimated_bids.session_stored(key, entry, capacity)

    # --- the real turn ------------------------------------------------------------------------

    async def choose(self, turn: Turn, excluded: Sequence[WorkerInstance]) -> Result[Choice, NoWorker]:
        refusal: NoWorker | None = None
        for pool in pool_order(turn, len(excluded)):
            chosen = await self._choose_in(pool, turn, set(excluded))
            if isinstance(chosen, Success):
                return chosen
            refusal = _more_informative(refusal, chosen.failure())
        return Failure(refusal or NoWorker("none-ready", NONE_READY_RETRY_S))

    async def _choose_in(self, pool: PoolName, turn: Turn, tried: set[WorkerInstance]) -> Result[Choice, NoWorker]:
        self._pressure.observe(pool, turn.weight)
        self._urgent.observe(pool, turn.urgency, self._context.clock.monotonic())
        key = None if turn.session is None else session_key(pool, turn.session)
        entry = None if key is None else await self._find(turn, key)
        open_share = self._urgent.share(pool, turn.urgency)
        while True:
            ready = [worker for worker in self._registry.ready(pool) if worker.instance not in tried]
            if not ready:
                return Failure(NoWorker("none-ready", NONE_READY_RETRY_S))
            if all(self._workload.is_full(worker, open_share) for worker in ready):
                return Failure(self._all_full(ready))
            candidates = self._long_streams.candidates(turn, self._workload.accepting(ready))
            choice = await self._choose_among(turn, key, entry, candidates)
            if self._misses_deadline(turn, choice, ready):
                self._reported_bids.unsent(turn.request)
                return Failure(self._all_full(ready))
            if await self._registry.confirm(choice.worker):
                self._place(turn, key, entry, choice)
                return Success(choice)
            self._reported_bids.unsent(turn.request)
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

    def _bidder(self, turn: Turn) -> Bidder:
        return self._reported_bids if turn.parts else self._estimated_bids

    async def _choose_among(
        self, turn: Turn, key: int | None, entry: Entry | Unreachable | None, ready: Sequence[Worker]
    ) -> Choice:
        if key is None or not any(worker.cache_tokens for worker in ready):
            return self._choice(turn, entry, self._least_loaded(ready), "policy")
        if isinstance(entry, Unreachable):
            return self._choice(turn, entry, self._agreed_worker(key, ready), "hash")
        winner = self._winner(turn, entry, ready)
        if winner is None:
            return await self._bid(turn, entry, ready)
        queue_choice = await self._reported_bids.join(turn, entry, ready, winner) if turn.parts else None
        if queue_choice is not None:
            method: Method = "award" if queue_choice.worker is winner else "bid"
            forecast = queue_choice.forecast
            return Choice(
                worker=queue_choice.worker,
                method=method,
                first_token=forecast.first_token,
                uncached_tokens=forecast.uncached,
            )
        choice = self._choice(turn, entry, winner, "award")
        if turn.parts:
            self._reported_bids.enter(turn, winner, choice.uncached_tokens)
        return choice

    def _winner(self, turn: Turn, entry: Entry | None, ready: Sequence[Worker]) -> Worker | None:
        """The standing award's, as long as it is ready and not too crowded."""
        if entry is None or entry.award_until <= self._context.clock.monotonic():
            return None
        winner = next((worker for worker in ready if worker.instance == entry.winner), None)
        return winner if winner is not None and self._winner_in_time(turn, entry, winner, ready) else None

    async def _bid(self, turn: Turn, entry: Entry | None, ready: Sequence[Worker]) -> Choice:
        """The session's holder counts only where it is ready and keeps something of the prompt."""
        if self._long_streams.is_long(turn):
            return self._stream_choice(turn, entry, self._long_streams.pick(ready))
        bidder = self._bidder(turn)
        holder = None if entry is None else next((one for one in ready if one.instance == entry.holder), None)
        if holder is None or bidder.cached_tokens(turn, entry, holder) <= 0:
            holder = entry = None
        queue_choice = await self._reported_bids.join(turn, entry, ready) if turn.parts else None
        worker = bidder.bid(turn, entry, ready) if queue_choice is None else queue_choice.worker
        if holder is None:
            method: Method = "claim" if bidder.cached_tokens(turn, None, worker) > 0 else "bid"
        else:
            method = "claim" if worker is holder else "bid"
        forecast = bidder.forecast(turn, entry, worker) if queue_choice is None else queue_choice.forecast
        return Choice(worker=worker, method=method, first_token=forecast.first_token, uncached_tokens=forecast.uncached)

    def _stream_choice(self, turn: Turn, entry: Entry | None, worker: Worker) -> Choice:
        """A long stream's worker follows from the streams there, not from what its prompt costs."""
        method: Method = "claim" if entry is not None and entry.holder == worker.instance else "bid"
        choice = self._choice(turn, entry, worker, method)
        self._reported_bids.enter(turn, worker, choice.uncached_tokens)
        return choice

    def _winner_in_time(self, turn: Turn, entry: Entry | None, winner: Worker, ready: Sequence[Worker]) -> bool:
        """Whether the award's winner may keep the turn though it may be crowded.

        It may not where the callers' patience would not outlast the wait, since admission would refuse what
        others can run; nor where it would probably miss the latency objective that another worker would meet,
        as far as sizes are told: forecasts from guessed sizes are too rough for that.
        """
        bidder = self._bidder(turn)
        first_token = bidder.forecast(turn, entry, winner).first_token
        if first_token > turn.service.first_byte_patience * self._settings.timeout_share:
            return False
        objective = turn.service.latency_objective
        if objective is None or not turn.parts:
            return True
        if first_token <= objective * self._settings.objective_risk_share:
            return True
        return bidder.earliest_first_token(turn, entry, ready) > objective * self._settings.objective_met_share

    def _choice(self, turn: Turn, entry: Entry | Unreachable | None, worker: Worker, method: Method) -> Choice:
        known = entry if isinstance(entry, Entry) else None
        forecast = self._bidder(turn).forecast(turn, known, worker)
        return Choice(worker=worker, method=method, first_token=forecast.first_token, uncached_tokens=forecast.uncached)

    def _misses_deadline(self, turn: Turn, choice: Choice, ready: Sequence[Worker]) -> bool:
        """Whether the caller will have given up by the first token, and the pool is busy enough to say so."""
        if turn.deadline is None or self._context.clock.monotonic() + choice.first_token <= turn.deadline:
            return False
        return self._workload.is_busy(ready)

    def _all_full(self, ready: Sequence[Worker]) -> NoWorker:
        return NoWorker("all-full", min(self._workload.time_until_room(worker) for worker in ready))

    def _place(self, turn: Turn, key: int | None, entry: Entry | Unreachable | None, choice: Choice) -> None:
        now = self._context.clock.monotonic()
        worker = choice.worker
        known = entry if isinstance(entry, Entry) else None
        self.counts[choice.method] += 1
        claimed = key is not None and worker.cache_tokens > 0 and self._is_claim(turn, known, choice)
        placed = _Placed(now, self._workload.wait(worker), claimed, known)
        self._placed[(turn.request, worker.instance)] = placed
        if key is not None and worker.cache_tokens:
            bidder = self._bidder(turn)
            bidder.sent(turn, worker, key, Forecast(choice.uncached_tokens, choice.first_token))
            if claimed:
                tokens = bidder.session_tokens(turn, turn.prompt_tokens)
                self._record(turn, key, self._entry(turn, worker, tokens, now))
            self._long_streams.started(turn, worker)
        self._workload.begin(worker.instance)

    def _is_claim(self, turn: Turn, known: Entry | None, choice: Choice) -> bool:
        """Turns of a session that run side by side leave its standing award as it is, where sizes are told."""
        if known is None or not (turn.parts and choice.method == "award"):
            return known is None or known.holder != choice.worker.instance
        return False

    # --- the end of a turn, and the hint ------------------------------------------------------

    def first_token_received(self, turn: Turn, choice: Choice, first_token_after: Seconds) -> None:
        """The turn's first piece came from its worker, so many seconds after it was sent."""
        if turn.parts:
            self._queues.first_token_received(turn.request, choice.worker, first_token_after)

    def finished(
        self,
        turn: Turn,
        choice: Choice,
        outcome: Outcome,
        generated_tokens: int,
        first_token_after: Seconds | None,
    ) -> None:
        placed = self._placed.pop((turn.request, choice.worker.instance), None)
        if placed is None:
            return
        worker = choice.worker
        bidder = self._bidder(turn)
        self._workload.end(worker.instance)
        self._long_streams.ended(turn.request)
        now = self._context.clock.monotonic()
        unsent = outcome == "cancelled" and now - placed.since <= UNSENT_WITHIN_S
        if unsent or outcome == "refused":
            self._reported_bids.unsent(turn.request)
        bidder.turn_left(turn.request, worker, first_token_after)
        if outcome == "refused":
            self._workload.refused(worker.instance)
        if placed.claimed and (unsent or outcome == "refused"):
            self._unclaim(turn, worker, placed.known)
        if outcome != "whole":
            return
        duration = Seconds(now - placed.since)
        bidder.ended(turn, worker, choice.uncached_tokens, placed.predicted_wait, first_token_after, duration)
        if turn.session is not None and worker.cache_tokens:
            self.hint(turn, worker, bidder.session_tokens(turn, turn.prompt_tokens + generated_tokens))

    def _unclaim(self, turn: Turn, worker: Worker, known: Entry | None) -> None:
        """The worker never saw the turn: what was known before holds again."""
        assert turn.session is not None
        now = self._context.clock.monotonic()
        entry = self._entry(turn, worker, 0, now) if known is None else msgspec.structs.replace(known, last_used_at=now)
        self._record(turn, session_key(worker.pool, turn.session), entry)

    def hint(self, turn: Turn, holder: Worker, tokens: int) -> None:
        """The session's next turn is near: bid for it, record the award."""
        assert turn.session is not None
        now = self._context.clock.monotonic()
        key = session_key(holder.pool, turn.session)
        entry = self._entry(turn, holder, tokens, now)
        next_turn = turn if turn.parts else msgspec.structs.replace(turn, prompt_tokens=tokens)
        ready = self._registry.ready(holder.pool)
        if ready:
            candidates = self._long_streams.candidates(next_turn, ready)
            if self._long_streams.is_long(next_turn):
                winner = self._long_streams.pick(candidates)
            else:
                winner = self._bidder(turn).bid_for_next_turn(next_turn, entry, candidates)
            entry.winner = winner.instance
            entry.award_until = Instant(now + self._settings.award_lifetime)
            self.counts["awards"] += 1
            self.counts["moves"] += winner.instance != holder.instance
        self._record(turn, key, entry)

    def _record(self, turn: Turn, key: int, entry: Entry) -> None:
        if self._recurrence.is_tracked(turn.service.name, key):
            self._map.record(key, entry)
        else:
            self._map.record_local(key, entry)

    def _entry(self, turn: Turn, holder: Worker, tokens: int, now: Instant) -> Entry:
        return Entry(
            pool=holder.pool,
            holder=holder.instance,
            tokens=tokens,
            own_tokens=self._bidder(turn).own_tokens(holder.pool, turn, tokens),
            last_used_at=now,
            weight=turn.weight,
        )

    # --- without a session --------------------------------------------------------------------

    def _agreed_worker(self, key: int, ready: Sequence[Worker]) -> Worker:
        """What every router picks without asking: rendezvous over the ready workers that are not full."""
        order = ranked(f"{key:x}", ready, lambda worker: worker.instance)
        return next((worker for worker in order if not self._workload.is_full(worker)), order[0])

    def _least_loaded(self, ready: Sequence[Worker]) -> Worker:
        """Of a few drawn ones, in drawn order: idle ones share the calls, whatever their names."""
        drawn = self._context.random.sample(list(ready), min(self._settings.candidates, len(ready)))
        best = min(drawn, key=self._fullness)
        if self._workload.load(best) < best.slots:
            return best
        return min(self._context.random.sample(list(ready), len(ready)), key=self._fullness)

    def _fullness(self, worker: Worker) -> float:
        """Load per slot; a worker of another zone seems to run a part of a turn more."""
        away = self._zone is not None and worker.zone != self._zone
        return (self._workload.load(worker) + away * OTHER_ZONE_TURNS) / worker.slots

    def _worker_changed(self, worker: Worker) -> None:
        if worker.state == "gone":
            self._estimated_bids.forget(worker.instance)
            self._reported_bids.forget(worker.instance)
            self._workload.forget(worker.instance)


def _more_informative(first: NoWorker | None, second: NoWorker) -> NoWorker:
    """Of the refusals of several pools: one that has workers says more than one that has none."""
    if first is None or first.reason == "none-ready":
        return second
    return first if second.reason == "none-ready" or first.retry_after <= second.retry_after else second
