"""How fast the workers are and how full, learnt from what passes through (docs/DESIGN.md section 11.4)."""

from __future__ import annotations

import math
from collections import Counter, OrderedDict
from collections.abc import Callable, Sequence

import msgspec

from ..context.protocols import Clock
from ..identifiers import Instant, PoolName, Seconds, WorkerInstance
from ..registry.protocols import Engagement, EngagementExchange, Registry, Worker

ACTIVE_SHARE_UPDATE_S = Seconds(0.2)
MAX_WORKER_ESTIMATES = 5_000
REFUSAL_PAUSE_S = Seconds(0.5)
NEW_SAMPLE_WEIGHT = 0.1
"""Weight of one new sample in the moving averages."""
REPORTED_LOAD_WEIGHT = 0.7
"""A worker's own word counts less than what the routers counted: it is a second old, and may lie."""
MAX_SAMPLE_RATIO = 2.0
"""Against the figure so far: a prefix that turns out not to be kept makes a worker look tens of times slower,
and what such a forecast has admission refuse can't correct it."""
FULL_TURNS_PER_SLOT = 4.0
"""Running and waiting turns per slot at which a worker counts as full."""


class WorkerEstimates(msgspec.Struct):
    """Moving averages in seconds."""

    seconds_per_token: float = 0.0002
    """Prefill of one uncached token."""
    base_latency: float = 0.05
    """From sending to the first token when nothing is to be prefilled."""
    turn_duration: float = 2.0
    """A turn without its time in the queue."""
    mean_observed_wait: float = 1.0
    mean_predicted_wait: float = 1.0
    """Waits in the queue, and what was foreseen for them; their ratio corrects the next forecast."""

    def correction(self) -> float:
        return min(3.0, max(0.5, self.mean_observed_wait / self.mean_predicted_wait))


class _Expected(msgspec.Struct, frozen=True):
    instance: WorkerInstance
    since: Instant


class Workload:
    """Running turns, sessions whose next turn is awarded, and the figures learnt per worker."""

    def __init__(
        self, registry: Registry, exchange: EngagementExchange, clock: Clock, expected_turn_lifetime: Seconds
    ) -> None:
        self._clock = clock
        self._registry = registry
        self._exchange = exchange
        self._expect_for = expected_turn_lifetime
        self._running: Counter[WorkerInstance] = Counter()
        self._expected: OrderedDict[int, _Expected] = OrderedDict()
        self._expected_at: Counter[WorkerInstance] = Counter()
        self._refused_at: dict[WorkerInstance, Instant] = {}
        self._active_shares: dict[PoolName, tuple[Instant, float]] = {}
        self._estimates: dict[WorkerInstance, WorkerEstimates] = {}
        self._pool_estimates: dict[PoolName, WorkerEstimates] = {}
        self.prefill_flow: Callable[[WorkerInstance], float] = lambda instance: 0.0
        """Own uncached prompt tokens a second that go to a worker, where they are counted."""
        self.long_streams: Callable[[WorkerInstance], int] = lambda instance: 0
        """Own long streams at a worker, where they are counted."""
        exchange.count_with(self._count)

    # --- counting -----------------------------------------------------------------------------

    def begin(self, instance: WorkerInstance) -> None:
        self._running[instance] += 1

    def end(self, instance: WorkerInstance) -> None:
        self._running[instance] -= 1
        if self._running[instance] <= 0:
            del self._running[instance]

    def refused(self, instance: WorkerInstance) -> None:
        """It would not take a turn (draining unheard of here, full, another life): left alone for a moment."""
        self._refused_at[instance] = self._clock.monotonic()

    def accepting(self, ready: Sequence[Worker]) -> Sequence[Worker]:
        """Without those that have just refused a turn, unless that leaves none."""
        if not self._refused_at:
            return ready
        since = self._clock.monotonic() - REFUSAL_PAUSE_S
        self._refused_at = {instance: at for instance, at in self._refused_at.items() if at > since}
        return [worker for worker in ready if worker.instance not in self._refused_at] or ready

    def expect(self, key: int, instance: WorkerInstance, since: Instant) -> None:
        """The session's next turn is awarded there; counts for a while, or until its next award."""
        self._drop(key)
        self._expected[key] = _Expected(instance, since)
        self._expected_at[instance] += 1
        self._drop_old()

    def _drop_old(self) -> None:
        now = self._clock.monotonic()
        while self._expected and now - next(iter(self._expected.values())).since > self._expect_for:
            self._drop(next(iter(self._expected)))

    def _drop(self, key: int) -> None:
        expected = self._expected.pop(key, None)
        if expected is not None:
            self._expected_at[expected.instance] -= 1
            if self._expected_at[expected.instance] <= 0:
                del self._expected_at[expected.instance]

    def own(self, instance: WorkerInstance) -> Engagement:
        self._drop_old()
        running, expected = self._running[instance], self._expected_at[instance]
        return Engagement(
            float(running), float(expected), self.prefill_flow(instance), float(self.long_streams(instance))
        )

    def _count(self, pool: PoolName) -> dict[WorkerInstance, Engagement]:
        return {
            worker.instance: own
            for worker in self._registry.ready(pool)
            if (own := self.own(worker.instance)) != Engagement()
        }

    def load(self, worker: Worker) -> float:
        """Turns running or waiting there now, over all routers."""
        counted = self._running[worker.instance] + self._exchange.elsewhere(worker.instance).running
        reported = 0 if worker.load is None else worker.load.running + worker.load.waiting
        return max(counted, REPORTED_LOAD_WEIGHT * reported)

    def expected_load(self, worker: Worker, active_share: float) -> float:
        """The load that the worker's sessions will make, for a turn that comes seconds later.

        What runs now is little help then; the sessions awarded to it are.
        """
        return active_share * (self._expected_at[worker.instance] + self._exchange.elsewhere(worker.instance).expected)

    def active_share(self, ready: Sequence[Worker]) -> float:
        """The share of awarded sessions that run a turn at any time; the same for all workers of a pool."""
        self._drop_old()
        pool, now = ready[0].pool, self._clock.monotonic()
        at, share = self._active_shares.get(pool, (Instant(float("-inf")), 0.3))
        if now - at < ACTIVE_SHARE_UPDATE_S:
            return share
        expected = sum(self.expected_load(worker, 1.0) for worker in ready)
        if expected >= 1.0:
            seen = min(1.0, sum(self.load(worker) for worker in ready) / expected)
            share += 0.02 * (seen - share)
        self._active_shares[pool] = (now, share)
        return share

    def pool_size(self, pool: PoolName) -> int:
        """Its ready workers."""
        return len(self._registry.ready(pool))

    def is_full(self, worker: Worker, open_share: float = 1.0) -> bool:
        """``open_share``: the share of its places that count for the turn."""
        return self.load(worker) >= open_share * FULL_TURNS_PER_SLOT * worker.slots

    def is_busy(self, workers: Sequence[Worker]) -> bool:
        """Whether at least half of their slots are taken; callers are told to come again only then."""
        return sum(self.load(worker) for worker in workers) >= 0.5 * sum(worker.slots for worker in workers)

    # --- predicting ---------------------------------------------------------------------------

    def estimates(self, worker: Worker) -> WorkerEstimates:
        return self._estimates.get(worker.instance) or self._pool_estimates.get(worker.pool) or WorkerEstimates()

    def wait(self, worker: Worker) -> float:
        """Seconds until a slot is free, from what is there now."""
        return self.wait_at(worker, self.load(worker))

    def wait_at(self, worker: Worker, load: float) -> float:
        """The same at a load that is known already."""
        over = load - worker.slots + 1
        if over <= 0.0:
            return 0.0
        estimates = self.estimates(worker)
        return over * estimates.turn_duration / worker.slots * estimates.correction()

    def mean_wait(self, worker: Worker, load: float) -> float:
        """Seconds that turns wait on average at a worker whose mean load is ``load``.

        Sakasegawa's approximation for a queue before several servers; past nine tenths of the slots
        the queue's growth in a turn's time is added instead of a wait without bound.
        """
        step = self.estimates(worker).turn_duration / worker.slots
        use = min(0.9, load / worker.slots)
        busy = math.pow(use, math.sqrt(2.0 * (worker.slots + 1)) - 1.0)
        return step * (busy / (1.0 - use) + max(0.0, load - 0.9 * worker.slots))

    def first_token(self, worker: Worker, uncached: int) -> Seconds:
        estimates = self.estimates(worker)
        return Seconds(self.wait(worker) + estimates.base_latency + uncached * estimates.seconds_per_token)

    def time_until_room(self, worker: Worker) -> Seconds:
        """When a worker that is full will have room again, roughly."""
        over = self.load(worker) - FULL_TURNS_PER_SLOT * worker.slots + 1
        return Seconds(min(30.0, max(0.2, over * self.estimates(worker).turn_duration / worker.slots)))

    # --- learning -----------------------------------------------------------------------------

    def learn(
        self, worker: Worker, uncached: int, predicted_wait: float, first_token: Seconds | None, turn_duration: float
    ) -> None:
        while len(self._estimates) > MAX_WORKER_ESTIMATES:
            del self._estimates[next(iter(self._estimates))]
        for estimates in (
            self._estimates.setdefault(worker.instance, msgspec.structs.replace(self.estimates(worker))),
            self._pool_estimates.setdefault(worker.pool, WorkerEstimates()),
        ):
            in_queue = 0.0
            if first_token is not None:
                in_queue = max(0.0, first_token - estimates.base_latency - uncached * estimates.seconds_per_token)
            estimates.turn_duration += NEW_SAMPLE_WEIGHT * (
                max(0.0, turn_duration - in_queue) - estimates.turn_duration
            )
            if first_token is None:
                continue
            if predicted_wait > 0.0:
                estimates.mean_observed_wait += NEW_SAMPLE_WEIGHT * (in_queue - estimates.mean_observed_wait)
                estimates.mean_predicted_wait += NEW_SAMPLE_WEIGHT * (
                    predicted_wait / estimates.correction() - estimates.mean_predicted_wait
                )
                continue
            if uncached < 64:
                estimates.base_latency += NEW_SAMPLE_WEIGHT * (
                    min(first_token, MAX_SAMPLE_RATIO * estimates.base_latency) - estimates.base_latency
                )
            elif uncached >= 256:
                most = min(0.01, MAX_SAMPLE_RATIO * estimates.seconds_per_token)
                sample = min(most, max(1e-6, (first_token - estimates.base_latency) / uncached))
                estimates.seconds_per_token += NEW_SAMPLE_WEIGHT * (sample - estimates.seconds_per_token)

    def learn_turn(self, worker: Worker, turn_duration: float) -> None:
        """How long a turn took, where first tokens are forecast elsewhere."""
        for estimates in (
            self._estimates.setdefault(worker.instance, msgspec.structs.replace(self.estimates(worker))),
            self._pool_estimates.setdefault(worker.pool, WorkerEstimates()),
        ):
            estimates.turn_duration += NEW_SAMPLE_WEIGHT * (turn_duration - estimates.turn_duration)

    def forget(self, instance: WorkerInstance) -> None:
        self._estimates.pop(instance, None)
