"""Estimates of workers' speed and load, learned from the turns of this router (docs/DESIGN.md section 11.4)."""

from __future__ import annotations

import math
from collections import Counter, OrderedDict
from collections.abc import Callable, Sequence

import msgspec

from ..context.protocols import Clock
from ..identifiers import Instant, PoolName, Seconds, WorkerInstance
from ..registry.protocols import ObservedLoad, ObservedLoadExchange, Registry, Worker
from .protocols import NoWorker

ACTIVE_SHARE_UPDATE_S = Seconds(0.2)
"""Interval at which the active share of a pool is updated."""
MAX_WORKER_ESTIMATES = 5_000
REFUSAL_BACKOFF_S = Seconds(0.5)
"""Time during which a worker that refused a turn is avoided."""
NEW_SAMPLE_WEIGHT = 0.1
"""Weight of one new sample in the moving averages."""
REPORTED_LOAD_WEIGHT = 0.7
"""Weight of the load that a worker reports, against the turns that the routers count.

It counts less because a report is up to a second old and may be false.
"""
MAX_SAMPLE_RATIO = 2.0
"""Upper bound of a sample, as a multiple of the current estimate.

A prefix that was expected in the cache but was not there makes a worker look tens of times slower. Without the bound,
admission would refuse turns because of that forecast, and refused turns give no samples that could correct it.
"""
FULL_TURNS_PER_SLOT = 4.0
"""Number of running and waiting turns per slot from which a worker counts as full."""


class WorkerEstimates(msgspec.Struct):
    """Moving averages, in seconds, of one worker or of a pool."""

    seconds_per_token: float = 0.0002
    """Seconds to prefill one uncached token."""
    base_latency: float = 0.05
    """Seconds from sending a turn to its first token when there is nothing to prefill."""
    turn_duration: float = 2.0
    """Seconds that a turn takes, without its time in the queue."""
    mean_observed_wait: float = 1.0
    """Observed waits in the queue."""
    mean_predicted_wait: float = 1.0
    """Predicted waits of the same turns, before their correction."""

    def correction(self) -> float:
        """Returns the bounded ratio of observed to predicted waits, by which the next forecast is corrected."""
        return min(3.0, max(0.5, self.mean_observed_wait / self.mean_predicted_wait))


class _Expected(msgspec.Struct, frozen=True):
    """A session whose next turn is reserved at a worker."""

    instance: WorkerInstance
    since: Instant


class Workload:
    """Running turns, sessions whose next turn is reserved, and the estimates learned per worker."""

    def __init__(
        self, registry: Registry, exchange: ObservedLoadExchange, clock: Clock, expected_turn_lifetime: Seconds
    ) -> None:
        self._clock = clock
        self._registry = registry
        self._exchange = exchange
        self._expected_turn_lifetime = expected_turn_lifetime
        self._running: Counter[WorkerInstance] = Counter()
        self._expected: OrderedDict[int, _Expected] = OrderedDict()
        self._expected_at: Counter[WorkerInstance] = Counter()
        self._refused_at: dict[WorkerInstance, Instant] = {}
        self._active_shares: dict[PoolName, tuple[Instant, float]] = {}
        self._estimates: dict[WorkerInstance, WorkerEstimates] = {}
        self._pool_estimates: dict[PoolName, WorkerEstimates] = {}
        self.prefill_flow: Callable[[WorkerInstance], float] = lambda _instance: 0.0
        """Returns the uncached tokens per second that this router sends to a worker; set where they are counted."""
        self.long_streams: Callable[[WorkerInstance], int] = lambda _instance: 0
        """Returns the number of this router's long streams at a worker; set where they are counted."""
        exchange.register_counter(self._count)

    # --- counting -----------------------------------------------------------------------------

    def begin(self, instance: WorkerInstance) -> None:
        """Counts a turn that is sent to the worker."""
        self._running[instance] += 1

    def end(self, instance: WorkerInstance) -> None:
        """Stops counting a turn that left the worker."""
        self._running[instance] -= 1
        if self._running[instance] <= 0:
            del self._running[instance]

    def refused(self, instance: WorkerInstance) -> None:
        """Records that the worker refused a turn, so that it is avoided for a moment.

        A worker refuses when it is full, is draining without this router knowing it yet, or has restarted.
        """
        self._refused_at[instance] = self._clock.monotonic()

    def accepting(self, ready: Sequence[Worker]) -> Sequence[Worker]:
        """Returns the workers that have not just refused a turn, or all if there are none."""
        if not self._refused_at:
            return ready
        since = self._clock.monotonic() - REFUSAL_BACKOFF_S
        self._refused_at = {instance: at for instance, at in self._refused_at.items() if at > since}
        return [worker for worker in ready if worker.instance not in self._refused_at] or ready

    def expect(self, key: int, instance: WorkerInstance, since: Instant) -> None:
        """Counts a session whose next turn is reserved at the worker, until its next reservation or its expiry."""
        self._drop(key)
        self._expected[key] = _Expected(instance, since)
        self._expected_at[instance] += 1
        self._drop_old()

    def _drop_old(self) -> None:
        now = self._clock.monotonic()
        while self._expected and now - next(iter(self._expected.values())).since > self._expected_turn_lifetime:
            self._drop(next(iter(self._expected)))

    def _drop(self, key: int) -> None:
        expected = self._expected.pop(key, None)
        if expected is not None:
            self._expected_at[expected.instance] -= 1
            if self._expected_at[expected.instance] <= 0:
                del self._expected_at[expected.instance]

    def own(self, instance: WorkerInstance) -> ObservedLoad:
        """Returns what this router counts at the worker, which it announces to the other routers."""
        self._drop_old()
        running, expected = self._running[instance], self._expected_at[instance]
        return ObservedLoad(
            float(running), float(expected), self.prefill_flow(instance), float(self.long_streams(instance))
        )

    def _count(self, pool: PoolName) -> dict[WorkerInstance, ObservedLoad]:
        return {
            worker.instance: own
            for worker in self._registry.ready(pool)
            if (own := self.own(worker.instance)) != ObservedLoad()
        }

    def load(self, worker: Worker) -> float:
        """Returns the number of turns of all routers that run or wait at the worker now."""
        counted = self._running[worker.instance] + self._exchange.observed_load_of_others(worker.instance).running
        reported = 0 if worker.load is None else worker.load.running + worker.load.waiting
        return max(counted, REPORTED_LOAD_WEIGHT * reported)

    def load_per_slot(self, worker: Worker) -> float:
        """Returns the load of the worker per slot."""
        return self.load(worker) / worker.slots

    def expected_load(self, worker: Worker, active_share: float) -> float:
        """Returns the load that the sessions reserved at the worker will cause, for a turn that arrives seconds later.

        The turns that run now say little about that time.
        """
        return active_share * (
            self._expected_at[worker.instance] + self._exchange.observed_load_of_others(worker.instance).expected
        )

    def active_share(self, ready: Sequence[Worker]) -> float:
        """Returns the mean share of sessions with a reservation that run a turn, the same for all workers of a pool."""
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
        """Returns the number of ready workers of the pool."""
        return len(self._registry.ready(pool))

    def is_full(self, worker: Worker, open_share: float = 1.0) -> bool:
        """Returns whether the worker has no capacity for another turn.

        ``open_share``: the share of its capacity that is open to the turn.
        """
        return self.load(worker) >= open_share * FULL_TURNS_PER_SLOT * worker.slots

    def is_busy(self, workers: Sequence[Worker]) -> bool:
        """Returns whether at least half of the slots are taken; only then are callers asked to retry later."""
        return sum(self.load(worker) for worker in workers) >= 0.5 * sum(worker.slots for worker in workers)

    # --- predicting ---------------------------------------------------------------------------

    def estimates(self, worker: Worker) -> WorkerEstimates:
        """Returns the worker's estimates, else those of its pool, else the initial ones."""
        return self._estimates.get(worker.instance) or self._pool_estimates.get(worker.pool) or WorkerEstimates()

    def wait(self, worker: Worker) -> float:
        """Returns the seconds until the worker has a free slot, by its load now."""
        return self.wait_at(worker, self.load(worker))

    def wait_at(self, worker: Worker, load: float) -> float:
        """Returns the same for a load that the caller already has."""
        over = load - worker.slots + 1
        if over <= 0.0:
            return 0.0
        estimates = self.estimates(worker)
        return over * estimates.turn_duration / worker.slots * estimates.correction()

    def mean_wait(self, worker: Worker, load: float) -> float:
        """Returns the mean wait in seconds at a worker whose mean load is ``load``.

        This is Sakasegawa's approximation for a queue with several servers. It is capped at nine tenths of the slots,
        because it grows without bound; beyond that, the queue's growth during one turn is added.
        """
        step = self.estimates(worker).turn_duration / worker.slots
        use = min(0.9, load / worker.slots)
        busy = math.pow(use, math.sqrt(2.0 * (worker.slots + 1)) - 1.0)
        return step * (busy / (1.0 - use) + max(0.0, load - 0.9 * worker.slots))

    def first_token(self, worker: Worker, uncached: int) -> Seconds:
        """Returns the seconds to the first token, with the wait for a slot. ``uncached``: tokens to prefill."""
        estimates = self.estimates(worker)
        return Seconds(self.wait(worker) + estimates.base_latency + uncached * estimates.seconds_per_token)

    def time_until_capacity(self, worker: Worker) -> Seconds:
        """Returns the approximate seconds until a full worker has capacity again."""
        over = self.load(worker) - FULL_TURNS_PER_SLOT * worker.slots + 1
        return Seconds(min(30.0, max(0.2, over * self.estimates(worker).turn_duration / worker.slots)))

    def all_full(self, workers: Sequence[Worker]) -> NoWorker:
        """Returns the refusal of a pool whose workers are all full."""
        return NoWorker("all-full", min(self.time_until_capacity(worker) for worker in workers))

    # --- learning -----------------------------------------------------------------------------

    def learn(
        self, worker: Worker, uncached: int, predicted_wait: float, first_token: Seconds | None, turn_duration: float
    ) -> None:
        """Updates the estimates of the worker and of its pool from a complete turn.

        All times are in seconds. ``predicted_wait``: wait for a slot as predicted when the turn was sent.
        ``first_token`` (None without one) and ``turn_duration`` are counted from the sending of the turn.
        """
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
                max_sample = min(0.01, MAX_SAMPLE_RATIO * estimates.seconds_per_token)
                sample = min(max_sample, max(1e-6, (first_token - estimates.base_latency) / uncached))
                estimates.seconds_per_token += NEW_SAMPLE_WEIGHT * (sample - estimates.seconds_per_token)

    def learn_turn(self, worker: Worker, turn_duration: float) -> None:
        """Learns the duration of a turn; used where another estimate forecasts the first token."""
        for estimates in (
            self._estimates.setdefault(worker.instance, msgspec.structs.replace(self.estimates(worker))),
            self._pool_estimates.setdefault(worker.pool, WorkerEstimates()),
        ):
            estimates.turn_duration += NEW_SAMPLE_WEIGHT * (turn_duration - estimates.turn_duration)

    def remove_worker(self, instance: WorkerInstance) -> None:
        """Drops the estimates of a worker that was removed."""
        self._estimates.pop(instance, None)
