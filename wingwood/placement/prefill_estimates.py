"""Time to the first token at workers that prefill prompts one after the other (docs/DESIGN.md section 11.4).

A router sees its own turns at once and those of the others a third of a second late, which is longer
than most prompts wait. So its own prompts without a first token count one by one, and those of the
others as a flow: the mean wait in a queue with one server (Pollaczek-Khinchine).
"""

from __future__ import annotations

from collections import OrderedDict, deque

import msgspec

from ..context.protocols import Clock
from ..identifiers import Instant, PoolName, RequestId, Seconds, WorkerInstance
from ..registry.protocols import EngagementExchange, Worker
from .bids import Forecast
from .decaying import DecayingRate
from .worker_estimates import FIGURES_MOST

FLOW_HALF_LIFE = Seconds(1.5)
FLOW_LEAST = 1.0
SAMPLES = 40
SAMPLED_SHARE = 0.25
"""The quantile of recent samples taken for a turn that did not wait."""
SHORT_PROMPT = 600
"""Tokens up to which a prompt's prefill is lost in the base time."""
LONG_PROMPT = 1500
"""Tokens from which a first token says how fast the prefill is."""
BASE_AT_FIRST = Seconds(0.03)
PER_TOKEN_AT_FIRST = 4e-6
PER_TOKEN_LEAST, PER_TOKEN_MOST = 2e-7, 1e-3
USE_MOST = 0.95
OVERLOAD_GROWTH = 1.0
"""Seconds that a queue grows for each second's worth of prompts beyond what is prefilled in one."""
SIZE_FOLD = 0.02
SLOW_FOLD = 0.15
SLOW_FROM = 1.5
"""Observed over predicted first tokens above which a worker counts as slow."""
SLOW_MOST = 6.0
SLOW_HALF_LIFE = Seconds(6.0)
"""Without new samples a worker's slowness is forgotten, since nobody tries it otherwise."""
LEAST_FREE = 0.1
"""Share of a cache that running turns leave to kept parts at least."""
KEPT_FOR_EVERY = Seconds(0.1)
"""How often it is worked out anew for a worker how long it keeps parts."""
OVERDUE_FROM = 2.0
"""Times its forecast after which a first token counts as overdue."""


class _Pending(msgspec.Struct, frozen=True):
    """An own turn before its first token."""

    since: Instant
    tokens: float
    forecast: float
    slow: float
    """The worker's slowness that the forecast reckoned with."""


class _WorkerPrefill(msgspec.Struct):
    flow: DecayingRate = msgspec.field(default_factory=lambda: DecayingRate(FLOW_HALF_LIFE))
    """Own uncached tokens a second."""
    pending: OrderedDict[RequestId, _Pending] = msgspec.field(default_factory=OrderedDict)
    pending_tokens: float = 0.0
    slow: float = 1.0
    slow_at: Instant = Instant(0.0)
    kept_for: Seconds = Seconds(0.0)
    kept_for_at: Instant = Instant(float("-inf"))


class _PoolPrefill(msgspec.Struct):
    bases: deque[float] = msgspec.field(default_factory=lambda: deque(maxlen=SAMPLES))
    rates: deque[float] = msgspec.field(default_factory=lambda: deque(maxlen=SAMPLES))
    base: float = BASE_AT_FIRST
    per_token: float = PER_TOKEN_AT_FIRST
    mean: float = 4000.0
    """Uncached tokens of a turn."""
    mean_square: float = 4000.0**2 * 2
    parts_share: float = 0.5
    """Of the uncached tokens: those of told parts, which are kept for others."""
    held: float = 6000.0
    """Tokens that a running turn holds."""


class PrefillQueues:
    """Own prompts under way, all routers' flows, and the speeds learnt from first tokens."""

    def __init__(self, clock: Clock, exchange: EngagementExchange) -> None:
        self._clock = clock
        self._exchange = exchange
        self._workers: OrderedDict[WorkerInstance, _WorkerPrefill] = OrderedDict()
        self._pools: dict[PoolName, _PoolPrefill] = {}
        self._first_tokens_told = False

    # --- counting -----------------------------------------------------------------------------

    def sent(self, request: RequestId, worker: Worker, forecast: Forecast, part_tokens: int, held: int) -> None:
        """A turn goes to a worker. ``part_tokens``: of the uncached tokens those of told parts; ``held``: in all."""
        now = self._clock.monotonic()
        uncached = forecast.uncached
        prefill = self._worker(worker.instance)
        prefill.flow.add(uncached, now)
        prefill.pending[request] = _Pending(now, uncached, forecast.first_token, self._slowness(worker))
        prefill.pending_tokens += uncached
        pool = self._pool(worker.pool)
        pool.mean += SIZE_FOLD * (uncached - pool.mean)
        pool.mean_square += SIZE_FOLD * (uncached * uncached - pool.mean_square)
        pool.held += SIZE_FOLD * (held - pool.held)
        if uncached > 0:
            pool.parts_share += SIZE_FOLD * (part_tokens / uncached - pool.parts_share)

    def first_token_came(self, request: RequestId, worker: Worker, after: Seconds) -> None:
        """Prefilled; teaches how fast the workers are."""
        self._first_tokens_told = True
        pending = self._take(request, worker.instance)
        if pending is not None:
            self._learn(worker, pending, after)

    def ended(self, request: RequestId, worker: Worker, first_token_after: Seconds | None) -> None:
        """The turn left its worker; nothing is learnt where its first token was told before."""
        pending = self._take(request, worker.instance)
        if pending is not None and first_token_after is not None:
            self._learn(worker, pending, first_token_after)

    def _take(self, request: RequestId, instance: WorkerInstance) -> _Pending | None:
        prefill = self._workers.get(instance)
        pending = None if prefill is None else prefill.pending.pop(request, None)
        if prefill is not None and pending is not None:
            prefill.pending_tokens = max(0.0, prefill.pending_tokens - pending.tokens) if prefill.pending else 0.0
        return pending

    def forget(self, instance: WorkerInstance) -> None:
        self._workers.pop(instance, None)

    def flow(self, instance: WorkerInstance) -> float:
        """Own uncached tokens a second that go to the worker; told to the other routers."""
        prefill = self._workers.get(instance)
        flow = 0.0 if prefill is None else prefill.flow.read(self._clock.monotonic())
        return flow if flow >= FLOW_LEAST else 0.0

    # --- predicting ---------------------------------------------------------------------------

    def prefill(self, worker: Worker, tokens: float) -> float:
        """Seconds to prefill so many tokens there, without a wait."""
        return tokens * self._pool(worker.pool).per_token * self._slowness(worker)

    def base(self, worker: Worker) -> float:
        """Seconds to the first token of a prompt that neither waits nor has anything to prefill."""
        return self._pool(worker.pool).base

    def wait(self, worker: Worker) -> float:
        """Seconds until the prompts that are there are prefilled."""
        pool = self._pool(worker.pool)
        prefill = self._workers.get(worker.instance)
        others = self.queue_wait(worker, self._exchange.engagement_of_others(worker.instance).prefill)
        if prefill is None or not prefill.pending:
            return others
        own = prefill.pending_tokens * pool.per_token * self._slowness(worker)
        return max(own + others, self._overdue(prefill))

    def overdue(self, worker: Worker) -> float:
        """Seconds by which the oldest own prompt there is late beyond twice its forecast."""
        prefill = self._workers.get(worker.instance)
        return 0.0 if prefill is None or not prefill.pending else self._overdue(prefill)

    def mean_wait(self, worker: Worker) -> float:
        """The wait at the flow of all routers, whatever is there at the moment."""
        flow = self._exchange.engagement_of_others(worker.instance).prefill + self.flow(worker.instance)
        return self.queue_wait(worker, flow)

    def queue_wait(self, worker: Worker, flow: float) -> float:
        """Mean wait behind a flow of so many tokens a second."""
        pool = self._pool(worker.pool)
        per_token = pool.per_token * self._slowness(worker)
        use = flow * per_token
        capped = min(USE_MOST, use)
        residual = 0.5 * pool.mean_square / max(1.0, pool.mean) * per_token
        return capped / (1.0 - capped) * residual + max(0.0, use - USE_MOST) * OVERLOAD_GROWTH

    def first_token(self, worker: Worker, uncached: float) -> float:
        """Seconds; without a wait for a free slot."""
        return self.wait(worker) + self._pool(worker.pool).base + self.prefill(worker, uncached)

    def kept_for(self, worker: Worker) -> Seconds:
        """How long the worker keeps an unused part: until new parts have filled what running turns leave free."""
        prefill = self._worker(worker.instance)
        now = self._clock.monotonic()
        if now - prefill.kept_for_at >= KEPT_FOR_EVERY:
            pool = self._pool(worker.pool)
            elsewhere = self._exchange.engagement_of_others(worker.instance)
            free = worker.cache_tokens - (elsewhere.running + len(prefill.pending)) * pool.held
            flow = (elsewhere.prefill + self.flow(worker.instance)) * pool.parts_share
            prefill.kept_for = Seconds(max(LEAST_FREE * worker.cache_tokens, free) / max(1.0, flow))
            prefill.kept_for_at = now
        return prefill.kept_for

    def _overdue(self, prefill: _WorkerPrefill) -> float:
        """A worker that lets its oldest prompt wait will let the next one wait as long, or is gone."""
        if not self._first_tokens_told:
            return 0.0
        oldest = next(iter(prefill.pending.values()))
        return max(0.0, self._clock.monotonic() - oldest.since - OVERDUE_FROM * oldest.forecast)

    # --- learning -----------------------------------------------------------------------------

    def _learn(self, worker: Worker, pending: _Pending, after: Seconds) -> None:
        pool = self._pool(worker.pool)
        if pending.tokens <= SHORT_PROMPT:
            pool.bases.append(after)
            pool.base = _low_quantile(pool.bases)
        elif pending.tokens >= LONG_PROMPT:
            sample = (after - pool.base) / pending.tokens
            pool.rates.append(min(PER_TOKEN_MOST, max(PER_TOKEN_LEAST, sample)))
            pool.per_token = _low_quantile(pool.rates)
        prefill = self._worker(worker.instance)
        sample = pending.slow * after / max(pending.forecast, 0.5 * pool.base)
        prefill.slow = self._decayed(prefill)
        prefill.slow += SLOW_FOLD * (min(SLOW_MOST, sample) - prefill.slow)
        prefill.slow_at = self._clock.monotonic()

    def _slowness(self, worker: Worker) -> float:
        """1.0 for a worker like the others."""
        prefill = self._workers.get(worker.instance)
        return 1.0 if prefill is None or prefill.slow <= SLOW_FROM else self._decayed(prefill)

    def _decayed(self, prefill: _WorkerPrefill) -> float:
        age = self._clock.monotonic() - prefill.slow_at
        return float(1.0 + (prefill.slow - 1.0) * 0.5 ** (max(0.0, age) / SLOW_HALF_LIFE))

    def _worker(self, instance: WorkerInstance) -> _WorkerPrefill:
        prefill = self._workers.get(instance)
        if prefill is None:
            prefill = self._workers[instance] = _WorkerPrefill()
            if len(self._workers) > FIGURES_MOST:
                self._workers.popitem(last=False)
        return prefill

    def _pool(self, name: PoolName) -> _PoolPrefill:
        pool = self._pools.get(name)
        if pool is None:
            pool = self._pools[name] = _PoolPrefill()
        return pool


def _low_quantile(samples: deque[float]) -> float:
    return sorted(samples)[int(SAMPLED_SHARE * len(samples))]
