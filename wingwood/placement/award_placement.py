"""The award policy: hint, bid, award, and the real turn (docs/DESIGN.md section 11)."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Sequence
from typing import Literal

import msgspec
from returns.result import Failure, Result, Success

from ..context.protocols import Context
from ..identifiers import Instant, PoolName, RequestId, Seconds, WorkerInstance
from ..membership.protocols import Membership
from ..membership.rendezvous import ranked
from ..registry.protocols import EngagementExchange, Registry, Worker
from .kept_prefixes import EvictionModel, SharedPrefixes
from .protocols import Choice, NoWorker, Turn
from .session_map import Entry, SessionMap, Unreachable, session_key
from .worker_estimates import Workload

How = Literal["award", "claim", "bid", "hash", "policy"]
PREFIX_ORDERS_MOST = 2_000
UNSENT_WITHIN = Seconds(0.002)
"""A turn that admission refuses is cancelled in the moment in which it was placed."""
Outcome = Literal["whole", "refused", "broken", "cancelled"]


class AwardSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Defaults of ours, chosen on the bench (docs/DESIGN.md section 11.7)."""

    award_for: Seconds = Seconds(300.0)
    """How long an award stands; after that the entry is only a claim."""
    expect_for: Seconds = Seconds(20.0)
    """How long after its last turn a session counts as coming back to its award's winner."""
    ahead_cost: float = 0.03
    """Weight of the mean wait foreseen for a turn to come, against the prefill spared."""
    crowd_cost: float = 0.1
    """The same for a turn that is here, beside the wait for a free slot, which counts in full."""
    patience_share: float = 0.8
    """Of the callers' patience: an award is passed over when its winner's first token would take longer."""
    pressure_most: float = 4.0
    """How much more fullness may count for the class that pays least."""
    move_gain: Seconds = Seconds(0.1)
    """A session moves only for a gain above this."""
    bounded_load: float = 1.25
    """A shared prefix goes on to its next worker above this multiple of the mean fullness."""
    prefix_slots: float = 0.25
    """Share of a worker's slots that one shared prefix may take before it spreads to one more worker."""
    candidates: int = 3
    """Workers drawn for a session without a shared prefix."""


class _Placed(msgspec.Struct, frozen=True):
    since: Instant
    waited: float
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
    ) -> None:
        self._context = context
        self._membership = membership
        self._registry = registry
        self._map = session_map
        self._settings = settings or AwardSettings()
        self._workload = Workload(registry, exchange, context.clock, self._settings.expect_for)
        self._shared = SharedPrefixes()
        self._evictions = EvictionModel()
        self._top_weight: dict[PoolName, float] = {}
        self._placed: dict[tuple[RequestId, WorkerInstance], _Placed] = {}
        self._prefix_orders: dict[tuple[str, ...], list[WorkerInstance]] = {}
        self.counts: Counter[str] = Counter()
        """Choices by how, awards recorded, moves, and lookups that reached no keeper; for metrics."""
        registry.on_change(self._worker_changed)

    def kept_here(self, key: int, entry: Entry) -> None:
        """The session map tells of each entry that this router keeps: an even sample for the eviction model."""
        routers = max(2, len(self._membership.routers()))
        capacity = sum(worker.cache_tokens for worker in self._registry.ready(entry.pool))
        if self._map.keeps(key):
            self._workload.expect(key, entry.winner or entry.holder, entry.touched_at)
        if capacity:
            self._evictions.touched(entry.pool, key, entry.own_tokens, entry.touched_at, capacity * 2 / routers)

    # --- the real turn ------------------------------------------------------------------------

    async def choose(self, turn: Turn, excluded: Sequence[WorkerInstance]) -> Result[Choice, NoWorker]:
        tried = set(excluded)
        pool = turn.service.pool
        self._top_weight[pool] = max(turn.weight, 0.999 * self._top_weight.get(pool, 0.0))
        key = None if turn.session is None else session_key(pool, turn.session)
        entry: Entry | Unreachable | None = None if key is None else await self._map.find(key)
        if isinstance(entry, Unreachable):
            self.counts["unreachable"] += 1
        while True:
            ready = [worker for worker in self._registry.ready(pool) if worker.instance not in tried]
            if not ready:
                return Failure(NoWorker("none-ready", Seconds(1.0)))
            if all(self._workload.is_full(worker) for worker in ready):
                return Failure(NoWorker("all-full", min(self._workload.room_after(worker) for worker in ready)))
            worker, how = self._pick(turn, key, entry, self._workload.willing(ready))
            if await self._registry.confirm(worker):
                return Success(self._place(turn, key, entry, worker, how))
            tried.add(worker.instance)

    def _pick(
        self, turn: Turn, key: int | None, entry: Entry | Unreachable | None, ready: Sequence[Worker]
    ) -> tuple[Worker, How]:
        if key is None or not any(worker.cache_tokens for worker in ready):
            return self._least_loaded(ready), "policy"
        if isinstance(entry, Unreachable):
            return self._agreed(key, ready), "hash"
        now = self._context.clock.monotonic()
        by_instance = {worker.instance: worker for worker in ready}
        winner = None if entry is None or entry.award_until <= now else by_instance.get(entry.winner)
        if winner is not None and self._in_time(turn, entry, winner):
            return winner, "award"
        holder = None if entry is None else by_instance.get(entry.holder)
        if entry is not None and holder is not None and self._kept_tokens(turn, entry, holder) > 0:
            worker = self._bid(turn, entry, ready)
            return worker, "claim" if worker is holder else "bid"
        worker = self._first_turn(turn, ready)
        kept = self._shared.kept(turn.service.pool, turn.prefix, worker.instance, self._kept_since(turn))
        return worker, "claim" if kept else "bid"

    def _in_time(self, turn: Turn, entry: Entry | None, worker: Worker) -> bool:
        """Whether the callers' patience outlasts the wait there; else admission would refuse what others can run."""
        uncached = max(0, turn.prompt_tokens - self._kept_tokens(turn, entry, worker))
        patience = turn.service.first_byte_patience * self._settings.patience_share
        return self._workload.first_token(worker, uncached) <= patience

    def _place(
        self, turn: Turn, key: int | None, entry: Entry | Unreachable | None, worker: Worker, how: How
    ) -> Choice:
        now = self._context.clock.monotonic()
        known = entry if isinstance(entry, Entry) else None
        uncached = max(0, turn.prompt_tokens - self._kept_tokens(turn, known, worker))
        choice = Choice(
            worker=worker,
            how=how,
            first_token=self._workload.first_token(worker, uncached),
            uncached_tokens=uncached,
        )
        self.counts[how] += 1
        claimed = key is not None and worker.cache_tokens > 0 and (known is None or known.holder != worker.instance)
        placed = _Placed(now, self._workload.wait(worker), claimed, known)
        self._placed[(turn.request, worker.instance)] = placed
        self._workload.begin(worker.instance)
        if key is not None and worker.cache_tokens:
            self._shared.sent(turn.service.pool, turn.prefix, key, turn.prompt_tokens, worker.instance, now)
            if claimed:
                self._map.record(key, self._entry(turn, worker, turn.prompt_tokens, now))
        return choice

    # --- the end of a turn, and the hint ------------------------------------------------------

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
        self._workload.end(choice.worker.instance)
        if outcome == "refused":
            self._workload.refused(choice.worker.instance)
        now = self._context.clock.monotonic()
        unsent = outcome == "cancelled" and now - placed.since <= UNSENT_WITHIN
        if placed.claimed and (unsent or outcome == "refused"):
            self._unclaim(turn, choice.worker, placed.known)
        if outcome != "whole":
            return
        self._workload.learn(
            choice.worker, choice.uncached_tokens, placed.waited, first_token_after, now - placed.since
        )
        if turn.session is not None and choice.worker.cache_tokens:
            self.hint(turn, choice.worker, turn.prompt_tokens + generated_tokens)

    def _unclaim(self, turn: Turn, worker: Worker, known: Entry | None) -> None:
        """The worker never saw the turn: what was known before holds again."""
        assert turn.session is not None
        now = self._context.clock.monotonic()
        entry = self._entry(turn, worker, 0, now) if known is None else msgspec.structs.replace(known, touched_at=now)
        self._map.record(session_key(turn.service.pool, turn.session), entry)

    def hint(self, turn: Turn, holder: Worker, tokens: int) -> None:
        """The session's next turn is near: bid for it, record the award."""
        assert turn.session is not None
        now = self._context.clock.monotonic()
        key = session_key(turn.service.pool, turn.session)
        entry = self._entry(turn, holder, tokens, now)
        next_turn = msgspec.structs.replace(turn, prompt_tokens=tokens)
        ready = self._registry.ready(turn.service.pool)
        if ready:
            winner = self._bid_ahead(next_turn, entry, ready)
            entry.winner = winner.instance
            entry.award_until = Instant(now + self._settings.award_for)
            self.counts["awards"] += 1
            self.counts["moves"] += winner.instance != holder.instance
        self._map.record(key, entry)

    def _entry(self, turn: Turn, holder: Worker, tokens: int, now: Instant) -> Entry:
        shared = self._shared.tokens(turn.service.pool, turn.prefix)
        return Entry(
            pool=turn.service.pool,
            holder=holder.instance,
            tokens=tokens,
            own_tokens=max(0, tokens - shared),
            touched_at=now,
            weight=turn.weight,
        )

    # --- bids ---------------------------------------------------------------------------------

    def _kept_since(self, turn: Turn) -> Instant:
        return self._evictions.kept_since(turn.service.pool)

    def _kept_tokens(self, turn: Turn, entry: Entry | None, worker: Worker) -> int:
        """Tokens of the turn's prompt that the worker probably keeps."""
        since = self._kept_since(turn)
        if entry is not None and entry.holder == worker.instance and entry.touched_at >= since:
            return min(entry.tokens, turn.prompt_tokens)
        return min(turn.prompt_tokens, self._shared.kept(turn.service.pool, turn.prefix, worker.instance, since))

    def _cost(self, turn: Turn, entry: Entry | None, worker: Worker, wait: float) -> float:
        """Seconds: the wait, counting more the less the class pays, and the prefill not spared."""
        uncached = max(0, turn.prompt_tokens - self._kept_tokens(turn, entry, worker))
        return wait * self._pressure(turn) + uncached * self._workload.figures(worker).per_token

    def _cost_now(self, turn: Turn, entry: Entry | None, worker: Worker) -> float:
        mean_wait = self._workload.mean_wait(worker, self._workload.load(worker))
        wait = self._workload.wait(worker) + self._settings.crowd_cost * mean_wait
        return self._cost(turn, entry, worker, wait)

    def _pressure(self, turn: Turn) -> float:
        top = self._top_weight.get(turn.service.pool, turn.weight)
        return min(self._settings.pressure_most, max(1.0, top / max(turn.weight, 1e-9)))

    def _bid(self, turn: Turn, entry: Entry, ready: Sequence[Worker]) -> Worker:
        """For a turn that is here: the cheapest now; the holder unless another gains more than the margin."""
        return self._cheapest(entry, [(self._cost_now(turn, entry, worker), worker) for worker in ready])

    def _bid_ahead(self, turn: Turn, entry: Entry, ready: Sequence[Worker]) -> Worker:
        """For a turn to come: the holder against a few drawn others, so that routers do not all move to one."""
        others = [worker for worker in ready if worker.instance != entry.holder]
        compared = self._context.random.sample(others, min(self._settings.candidates, len(others)))
        compared.extend(worker for worker in ready if worker.instance == entry.holder)
        turning = self._workload.turning(ready)
        bids = []
        for worker in compared:
            mean_wait = self._workload.mean_wait(worker, self._workload.load_ahead(worker, turning))
            bids.append((self._cost(turn, entry, worker, self._settings.ahead_cost * mean_wait), worker))
        return self._cheapest(entry, bids)

    def _cheapest(self, entry: Entry, bids: Sequence[tuple[float, Worker]]) -> Worker:
        best_cost, best = min(bids, key=lambda pair: (pair[0], pair[1].instance))
        for cost, worker in bids:
            if worker.instance == entry.holder and cost - best_cost <= self._settings.move_gain:
                return worker
        return best

    def _first_turn(self, turn: Turn, ready: Sequence[Worker]) -> Worker:
        """Nothing known of the session itself: near its shared prefix, or among a few drawn workers."""
        if len(turn.prefix) > 1:
            candidates = self._prefix_candidates(turn, ready)
        else:
            candidates = self._context.random.sample(list(ready), min(self._settings.candidates, len(ready)))
        return min(candidates, key=lambda worker: (self._cost_now(turn, None, worker), worker.instance))

    def _prefix_candidates(self, turn: Turn, ready: Sequence[Worker]) -> Sequence[Worker]:
        """The first few in the prefix's rendezvous order: as many as its demand fills, and then one below the bound."""
        order = self._prefix_order(turn, ready)
        pool = turn.service.pool
        now = self._context.clock.monotonic()
        routers = max(1, len(self._membership.routers()))
        slots = sum(worker.slots for worker in ready) / len(ready)
        turn_seconds = self._workload.figures(order[0]).turn
        side_by_side = self._shared.demand(pool, turn.prefix, now) * routers * turn_seconds
        count = min(len(order), max(2, math.ceil(side_by_side / (self._settings.prefix_slots * slots))))
        fullness = [self._workload.load(worker) / worker.slots for worker in order]
        bound = max(self._settings.bounded_load * sum(fullness) / len(fullness), 1.0 / slots)
        while count < len(order) and all(full > bound for full in fullness[:count]):
            count += 1
        return order[:count]

    def _prefix_order(self, turn: Turn, ready: Sequence[Worker]) -> list[Worker]:
        name = (turn.service.pool, *turn.prefix[:-1])
        by_instance = {worker.instance: worker for worker in ready}
        order = self._prefix_orders.get(name)
        if order is None or set(order) != by_instance.keys():
            order = ranked("\n".join(name), sorted(by_instance), str)
            if len(self._prefix_orders) > PREFIX_ORDERS_MOST:
                self._prefix_orders.clear()
            self._prefix_orders[name] = order
        return [by_instance[instance] for instance in order]

    def _agreed(self, key: int, ready: Sequence[Worker]) -> Worker:
        """What every router picks without asking: rendezvous over the ready workers that are not full."""
        order = ranked(f"{key:x}", ready, lambda worker: worker.instance)
        return next((worker for worker in order if not self._workload.is_full(worker)), order[0])

    def _least_loaded(self, ready: Sequence[Worker]) -> Worker:
        """Of a few drawn ones, in drawn order: idle ones share the calls, whatever their names."""
        drawn = self._context.random.sample(list(ready), min(self._settings.candidates, len(ready)))
        return min(drawn, key=lambda worker: self._workload.load(worker) / worker.slots)

    def _worker_changed(self, worker: Worker) -> None:
        if worker.state == "gone":
            self._shared.forget(worker.instance)
            self._workload.forget(worker.instance)
