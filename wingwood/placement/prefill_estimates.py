"""Time to the first token at workers that prefill prompts one after the other (docs/DESIGN.md section 11.4).

A router sees its own turns at once and those of other routers a third of a second late, which is longer than most
prompts wait. Therefore it counts its own prompts without a first token one by one, and the prompts of other routers as
a flow, by the mean wait in a queue with one server (Pollaczek-Khinchine formula).
"""

from __future__ import annotations

from collections import OrderedDict, deque

import msgspec

from ..context.protocols import Clock
from ..identifiers import Instant, PoolName, RequestId, Seconds, WorkerInstance
from ..registry.protocols import ObservedLoadExchange, Worker
from .cost_model import Forecast
from .decaying_rate import DecayingRate
from .worker_estimates import MAX_WORKER_ESTIMATES

FLOW_HALF_LIFE_S = Seconds(1.5)
"""Half-life of the rate of uncached tokens sent to a worker."""
MIN_FLOW_TOKENS_PER_S = 1.0
"""Flow below which a router reports no flow."""
MAX_SAMPLES = 40
"""Number of recent samples from which the speed of a pool is estimated."""
SAMPLE_QUANTILE = 0.25
"""Quantile of the recent samples that stands for a turn that did not wait."""
SHORT_PROMPT_TOKENS = 600
"""Size up to which a prompt's prefill is too short to be distinguished from the base latency."""
LONG_PROMPT_TOKENS = 1500
"""Size from which the time to the first token shows the speed of the prefill."""
INITIAL_BASE_LATENCY_S = Seconds(0.03)
INITIAL_SECONDS_PER_TOKEN = 4e-6
MIN_SECONDS_PER_TOKEN, MAX_SECONDS_PER_TOKEN = 2e-7, 1e-3
MAX_UTILIZATION = 0.95
OVERLOAD_GROWTH_RATE = 1.0
"""Seconds by which a queue grows for each second of prefill that arrives beyond one second per second."""
SIZE_SAMPLE_WEIGHT = 0.02
"""Weight of one turn in the moving averages of turn sizes."""
SLOWNESS_SAMPLE_WEIGHT = 0.15
"""Weight of one sample in a worker's slowness."""
SLOW_THRESHOLD = 1.5
"""Ratio of observed to predicted time to the first token above which a worker counts as slow."""
MAX_SLOWNESS = 6.0
SLOWNESS_HALF_LIFE_S = Seconds(6.0)
"""Half-life of a worker's slowness without new samples; without the decay no router would try the worker again."""
MIN_FREE_CACHE_SHARE = 0.1
"""Smallest share of a cache that running turns leave to cached parts."""
CACHE_RETENTION_UPDATE_S = Seconds(0.1)
"""Interval at which the cache retention of a worker is computed again."""
OVERDUE_FORECAST_RATIO = 2.0
"""A first token counts as overdue after this multiple of its forecast."""


class _Pending(msgspec.Struct, frozen=True):
    """A turn of this router that has no first token yet."""

    since: Instant
    tokens: float
    forecast: float
    slowness: float
    """The worker's slowness that the forecast assumed."""


class _WorkerPrefill(msgspec.Struct):
    """The state of one worker's prefill queue as far as this router knows it."""

    flow: DecayingRate = msgspec.field(default_factory=lambda: DecayingRate(FLOW_HALF_LIFE_S))
    """Uncached tokens per second that this router sends."""
    pending: OrderedDict[RequestId, _Pending] = msgspec.field(default_factory=OrderedDict)
    pending_tokens: float = 0.0
    slowness: float = 1.0
    slowness_at: Instant = Instant(0.0)
    cache_retention: Seconds = Seconds(0.0)
    cache_retention_at: Instant = Instant(float("-inf"))


class _PoolPrefill(msgspec.Struct):
    """The speeds and turn sizes learned for the workers of a pool."""

    base_samples: deque[float] = msgspec.field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))
    rate_samples: deque[float] = msgspec.field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))
    base_latency: float = INITIAL_BASE_LATENCY_S
    seconds_per_token: float = INITIAL_SECONDS_PER_TOKEN
    mean_tokens: float = 4000.0
    """Mean number of uncached tokens of a turn."""
    mean_square_tokens: float = 4000.0**2 * 2
    parts_share: float = 0.5
    """Share of the uncached tokens that belong to reported parts, which stay cached for other turns."""
    resident_tokens: float = 6000.0
    """Mean number of tokens that a running turn occupies in the cache."""


class PrefillQueues:
    """Pending prompts of this router, flows of all routers, and the speeds learned from first tokens."""

    def __init__(self, clock: Clock, exchange: ObservedLoadExchange) -> None:
        self._clock = clock
        self._exchange = exchange
        self._workers: OrderedDict[WorkerInstance, _WorkerPrefill] = OrderedDict()
        self._pools: dict[PoolName, _PoolPrefill] = {}
        self._first_tokens_reported = False

    # --- counting -----------------------------------------------------------------------------

    def sent(
        self, request: RequestId, worker: Worker, forecast: Forecast, part_tokens: int, resident_tokens: int
    ) -> None:
        """Records that a turn is sent to a worker.

        ``part_tokens``: number of uncached tokens that belong to parts with a reported size. ``resident_tokens``:
        number of tokens that the turn occupies in the worker's cache in all.
        """
        now = self._clock.monotonic()
        uncached = forecast.uncached
        prefill = self._worker(worker.instance)
        prefill.flow.add(uncached, now)
        prefill.pending[request] = _Pending(now, uncached, forecast.first_token, self._slowness(worker))
        prefill.pending_tokens += uncached
        pool = self._pool(worker.pool)
        pool.mean_tokens += SIZE_SAMPLE_WEIGHT * (uncached - pool.mean_tokens)
        pool.mean_square_tokens += SIZE_SAMPLE_WEIGHT * (uncached * uncached - pool.mean_square_tokens)
        pool.resident_tokens += SIZE_SAMPLE_WEIGHT * (resident_tokens - pool.resident_tokens)
        if uncached > 0:
            pool.parts_share += SIZE_SAMPLE_WEIGHT * (part_tokens / uncached - pool.parts_share)

    def first_token_received(self, request: RequestId, worker: Worker, after: Seconds) -> None:
        """Records that the turn's prompt is prefilled, and learns the worker's speed from the time that it took."""
        self._first_tokens_reported = True
        pending = self._remove_pending(request, worker.instance)
        if pending is not None:
            self._learn(worker, pending, after)

    def ended(self, request: RequestId, worker: Worker, first_token_after: Seconds | None) -> None:
        """Records that the turn left its worker; learns from its first token unless that was reported before."""
        pending = self._remove_pending(request, worker.instance)
        if pending is not None and first_token_after is not None:
            self._learn(worker, pending, first_token_after)

    def _remove_pending(self, request: RequestId, instance: WorkerInstance) -> _Pending | None:
        prefill = self._workers.get(instance)
        pending = None if prefill is None else prefill.pending.pop(request, None)
        if prefill is not None and pending is not None:
            prefill.pending_tokens = max(0.0, prefill.pending_tokens - pending.tokens) if prefill.pending else 0.0
        return pending

    def remove_worker(self, instance: WorkerInstance) -> None:
        """Drops all records of a worker that was removed."""
        self._workers.pop(instance, None)

    def flow(self, instance: WorkerInstance) -> float:
        """Returns the uncached tokens per second that this router sends to the worker and announces to the others."""
        prefill = self._workers.get(instance)
        flow = 0.0 if prefill is None else prefill.flow.read(self._clock.monotonic())
        return flow if flow >= MIN_FLOW_TOKENS_PER_S else 0.0

    # --- predicting ---------------------------------------------------------------------------

    def prefill(self, worker: Worker, tokens: float) -> float:
        """Returns the seconds that the worker needs to prefill this many tokens, without a wait."""
        return tokens * self._pool(worker.pool).seconds_per_token * self._slowness(worker)

    def base_latency(self, worker: Worker) -> float:
        """Returns the seconds to the first token of a prompt that neither waits nor has anything to prefill."""
        return self._pool(worker.pool).base_latency

    def wait(self, worker: Worker) -> float:
        """Returns the seconds until the prompts sent to the worker are prefilled."""
        pool = self._pool(worker.pool)
        prefill = self._workers.get(worker.instance)
        others = self.queue_wait(worker, self._exchange.observed_load_of_others(worker.instance).prefill)
        if prefill is None or not prefill.pending:
            return others
        own = prefill.pending_tokens * pool.seconds_per_token * self._slowness(worker)
        return max(own + others, self._overdue(prefill))

    def overdue(self, worker: Worker) -> float:
        """Returns the seconds by which this router's oldest prompt there exceeds twice its forecast."""
        prefill = self._workers.get(worker.instance)
        return 0.0 if prefill is None or not prefill.pending else self._overdue(prefill)

    def mean_wait(self, worker: Worker) -> float:
        """Returns the mean wait in seconds by the flow of all routers, regardless of the prompts pending now."""
        flow = self._exchange.observed_load_of_others(worker.instance).prefill + self.flow(worker.instance)
        return self.queue_wait(worker, flow)

    def queue_wait(self, worker: Worker, flow: float) -> float:
        """Returns the mean wait in seconds behind a flow of this many tokens per second."""
        pool = self._pool(worker.pool)
        seconds_per_token = pool.seconds_per_token * self._slowness(worker)
        use = flow * seconds_per_token
        capped = min(MAX_UTILIZATION, use)
        residual = 0.5 * pool.mean_square_tokens / max(1.0, pool.mean_tokens) * seconds_per_token
        return capped / (1.0 - capped) * residual + max(0.0, use - MAX_UTILIZATION) * OVERLOAD_GROWTH_RATE

    def first_token(self, worker: Worker, uncached: float) -> float:
        """Returns the seconds to the first token, without a wait for a free slot."""
        return self.wait(worker) + self._pool(worker.pool).base_latency + self.prefill(worker, uncached)

    def cache_retention(self, worker: Worker) -> Seconds:
        """Returns the seconds for which the worker caches an unused part.

        The worker evicts it when new parts have filled the cache space that running turns leave free.
        """
        prefill = self._worker(worker.instance)
        now = self._clock.monotonic()
        if now - prefill.cache_retention_at >= CACHE_RETENTION_UPDATE_S:
            pool = self._pool(worker.pool)
            elsewhere = self._exchange.observed_load_of_others(worker.instance)
            free = worker.cache_tokens - (elsewhere.running + len(prefill.pending)) * pool.resident_tokens
            flow = (elsewhere.prefill + self.flow(worker.instance)) * pool.parts_share
            prefill.cache_retention = Seconds(max(MIN_FREE_CACHE_SHARE * worker.cache_tokens, free) / max(1.0, flow))
            prefill.cache_retention_at = now
        return prefill.cache_retention

    def _overdue(self, prefill: _WorkerPrefill) -> float:
        """Returns the seconds by which the oldest pending prompt is overdue, 0 if it is not.

        A worker that delays its oldest prompt will delay the next one as long, or has failed.
        """
        if not self._first_tokens_reported:
            return 0.0
        oldest = next(iter(prefill.pending.values()))
        return max(0.0, self._clock.monotonic() - oldest.since - OVERDUE_FORECAST_RATIO * oldest.forecast)

    # --- learning -----------------------------------------------------------------------------

    def _learn(self, worker: Worker, pending: _Pending, after: Seconds) -> None:
        pool = self._pool(worker.pool)
        if pending.tokens <= SHORT_PROMPT_TOKENS:
            pool.base_samples.append(after)
            pool.base_latency = _low_quantile(pool.base_samples)
        elif pending.tokens >= LONG_PROMPT_TOKENS:
            sample = (after - pool.base_latency) / pending.tokens
            pool.rate_samples.append(min(MAX_SECONDS_PER_TOKEN, max(MIN_SECONDS_PER_TOKEN, sample)))
            pool.seconds_per_token = _low_quantile(pool.rate_samples)
        prefill = self._worker(worker.instance)
        sample = pending.slowness * after / max(pending.forecast, 0.5 * pool.base_latency)
        prefill.slowness = self._decayed(prefill)
        prefill.slowness += SLOWNESS_SAMPLE_WEIGHT * (min(MAX_SLOWNESS, sample) - prefill.slowness)
        prefill.slowness_at = self._clock.monotonic()

    def _slowness(self, worker: Worker) -> float:
        """Returns the factor by which the worker is slower than the pool, 1.0 for a worker that is not slow."""
        prefill = self._workers.get(worker.instance)
        return 1.0 if prefill is None or prefill.slowness <= SLOW_THRESHOLD else self._decayed(prefill)

    def _decayed(self, prefill: _WorkerPrefill) -> float:
        age = self._clock.monotonic() - prefill.slowness_at
        return float(1.0 + (prefill.slowness - 1.0) * 0.5 ** (max(0.0, age) / SLOWNESS_HALF_LIFE_S))

    def _worker(self, instance: WorkerInstance) -> _WorkerPrefill:
        prefill = self._workers.get(instance)
        if prefill is None:
            prefill = self._workers[instance] = _WorkerPrefill()
            if len(self._workers) > MAX_WORKER_ESTIMATES:
                self._workers.popitem(last=False)
        return prefill

    def _pool(self, name: PoolName) -> _PoolPrefill:
        pool = self._pools.get(name)
        if pool is None:
            pool = self._pools[name] = _PoolPrefill()
        return pool


def _low_quantile(samples: deque[float]) -> float:
    return sorted(samples)[int(SAMPLE_QUANTILE * len(samples))]
