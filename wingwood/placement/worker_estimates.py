"""How fast the workers are and how full, learnt from what passes through (docs/DESIGN.md section 11.4)."""

from __future__ import annotations

import math
from collections import Counter, OrderedDict
from collections.abc import Callable, Sequence

import msgspec

from ..context.protocols import Clock
from ..identifiers import Instant, PoolName, Seconds, WorkerInstance
from ..registry.protocols import Engagement, EngagementExchange, Registry, Worker

TURNING_EVERY = Seconds(0.2)
FIGURES_MOST = 5_000
REFUSED_FOR = Seconds(0.5)
FOLD = 0.1
"""Weight of one new sample in the moving averages."""
TOLD_LOAD_TRUST = 0.7
"""A worker's own word counts less than what the routers counted: it is a second old, and may lie."""
SAMPLE_MOST = 2.0
"""Against the figure so far: a prefix that turns out not to be kept makes a worker look tens of times slower,
and what such a forecast has admission refuse can't correct it."""
FULL_AT = 4.0
"""Running and waiting turns per slot at which a worker counts as full."""


class WorkerFigures(msgspec.Struct):
    """Moving averages in seconds."""

    per_token: float = 0.0002
    """Prefill of one uncached token."""
    base: float = 0.05
    """From sending to the first token when nothing is to be prefilled."""
    turn: float = 2.0
    """A turn without its time in the queue."""
    waits: float = 1.0
    foreseen: float = 1.0
    """Waits in the queue, and what was foreseen for them; their ratio corrects the next forecast."""

    def correction(self) -> float:
        return min(3.0, max(0.5, self.waits / self.foreseen))


class _Expected(msgspec.Struct, frozen=True):
    instance: WorkerInstance
    since: Instant


class Workload:
    """Running turns, sessions whose next turn is awarded, and the figures learnt per worker."""

    def __init__(self, registry: Registry, exchange: EngagementExchange, clock: Clock, expect_for: Seconds) -> None:
        self._clock = clock
        self._registry = registry
        self._exchange = exchange
        self._expect_for = expect_for
        self._running: Counter[WorkerInstance] = Counter()
        self._expected: OrderedDict[int, _Expected] = OrderedDict()
        self._expected_at: Counter[WorkerInstance] = Counter()
        self._refused_at: dict[WorkerInstance, Instant] = {}
        self._turning: dict[PoolName, tuple[Instant, float]] = {}
        self._figures: dict[WorkerInstance, WorkerFigures] = {}
        self._of_pool: dict[PoolName, WorkerFigures] = {}
        self.prefill_flow: Callable[[WorkerInstance], float] = lambda instance: 0.0
        """Own uncached prompt tokens a second that go to a worker, where they are counted."""
        self.long_streams: Callable[[WorkerInstance], int] = lambda instance: 0
        """Own long streams at a worker, where they are counted."""
        exchange.register_counter(self._count)

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

    def willing(self, ready: Sequence[Worker]) -> Sequence[Worker]:
        """Without those that have just refused a turn, unless that leaves none."""
        if not self._refused_at:
            return ready
        since = self._clock.monotonic() - REFUSED_FOR
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
        counted = self._running[worker.instance] + self._exchange.engagement_of_others(worker.instance).running
        told = 0 if worker.load is None else worker.load.running + worker.load.waiting
        return max(counted, TOLD_LOAD_TRUST * told)

    def load_ahead(self, worker: Worker, turning: float) -> float:
        """The load that the worker's sessions will make, for a turn that comes seconds later.

        What runs now is little help then; the sessions awarded to it are.
        """
        return turning * (
            self._expected_at[worker.instance] + self._exchange.engagement_of_others(worker.instance).expected
        )

    def turning(self, ready: Sequence[Worker]) -> float:
        """The share of awarded sessions that run a turn at any time; the same for all workers of a pool."""
        self._drop_old()
        pool, now = ready[0].pool, self._clock.monotonic()
        at, share = self._turning.get(pool, (Instant(float("-inf")), 0.3))
        if now - at < TURNING_EVERY:
            return share
        expected = sum(self.load_ahead(worker, 1.0) for worker in ready)
        if expected >= 1.0:
            seen = min(1.0, sum(self.load(worker) for worker in ready) / expected)
            share += 0.02 * (seen - share)
        self._turning[pool] = (now, share)
        return share

    def pool_size(self, pool: PoolName) -> int:
        """Its ready workers."""
        return len(self._registry.ready(pool))

    def is_full(self, worker: Worker, places: float = 1.0) -> bool:
        """``places``: the share of its places that count for the turn."""
        return self.load(worker) >= places * FULL_AT * worker.slots

    def is_busy(self, workers: Sequence[Worker]) -> bool:
        """Whether at least half of their slots are taken; callers are told to come again only then."""
        return sum(self.load(worker) for worker in workers) >= 0.5 * sum(worker.slots for worker in workers)

    # --- predicting ---------------------------------------------------------------------------

    def figures(self, worker: Worker) -> WorkerFigures:
        return self._figures.get(worker.instance) or self._of_pool.get(worker.pool) or WorkerFigures()

    def wait(self, worker: Worker) -> float:
        """Seconds until a slot is free, from what is there now."""
        return self.wait_at(worker, self.load(worker))

    def wait_at(self, worker: Worker, load: float) -> float:
        """The same at a load that is known already."""
        over = load - worker.slots + 1
        if over <= 0.0:
            return 0.0
        figures = self.figures(worker)
        return over * figures.turn / worker.slots * figures.correction()

    def mean_wait(self, worker: Worker, load: float) -> float:
        """Seconds that turns wait on average at a worker whose mean load is ``load``.

        Sakasegawa's approximation for a queue before several servers; past nine tenths of the slots
        the queue's growth in a turn's time is added instead of a wait without bound.
        """
        step = self.figures(worker).turn / worker.slots
        use = min(0.9, load / worker.slots)
        busy = math.pow(use, math.sqrt(2.0 * (worker.slots + 1)) - 1.0)
        return step * (busy / (1.0 - use) + max(0.0, load - 0.9 * worker.slots))

    def first_token(self, worker: Worker, uncached: int) -> Seconds:
        figures = self.figures(worker)
        return Seconds(self.wait(worker) + figures.base + uncached * figures.per_token)

    def room_after(self, worker: Worker) -> Seconds:
        """When a worker that is full will have room again, roughly."""
        over = self.load(worker) - FULL_AT * worker.slots + 1
        return Seconds(min(30.0, max(0.2, over * self.figures(worker).turn / worker.slots)))

    # --- learning -----------------------------------------------------------------------------

    def learn(self, worker: Worker, uncached: int, waited: float, first_token: Seconds | None, turn: float) -> None:
        while len(self._figures) > FIGURES_MOST:
            del self._figures[next(iter(self._figures))]
        for figures in (
            self._figures.setdefault(worker.instance, msgspec.structs.replace(self.figures(worker))),
            self._of_pool.setdefault(worker.pool, WorkerFigures()),
        ):
            in_queue = 0.0
            if first_token is not None:
                in_queue = max(0.0, first_token - figures.base - uncached * figures.per_token)
            figures.turn += FOLD * (max(0.0, turn - in_queue) - figures.turn)
            if first_token is None:
                continue
            if waited > 0.0:
                figures.waits += FOLD * (in_queue - figures.waits)
                figures.foreseen += FOLD * (waited / figures.correction() - figures.foreseen)
                continue
            if uncached < 64:
                figures.base += FOLD * (min(first_token, SAMPLE_MOST * figures.base) - figures.base)
            elif uncached >= 256:
                most = min(0.01, SAMPLE_MOST * figures.per_token)
                sample = min(most, max(1e-6, (first_token - figures.base) / uncached))
                figures.per_token += FOLD * (sample - figures.per_token)

    def learn_turn(self, worker: Worker, turn: float) -> None:
        """How long a turn took, where first tokens are forecast elsewhere."""
        for figures in (
            self._figures.setdefault(worker.instance, msgspec.structs.replace(self.figures(worker))),
            self._of_pool.setdefault(worker.pool, WorkerFigures()),
        ):
            figures.turn += FOLD * (turn - figures.turn)

    def forget(self, instance: WorkerInstance) -> None:
        self._figures.pop(instance, None)
