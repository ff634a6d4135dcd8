"""Separates long streams from long prompts (docs/DESIGN.md section 11.11).

An engine prefills prompts in chunks between the tokens of its running streams, so a stream on a worker with a steady
flow of long prompts has gaps longer than its callers accept, whatever the costs say. Long streams therefore share a few
workers, in an order on which all routers agree, and other turns avoid these workers while the rest can take them. The
number of shared workers follows from the number of long streams. Each long stream takes the less full of two workers
drawn at random, because the counts of other routers are outdated when they are read.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Sequence
from random import Random

from ..context.protocols import Clock
from ..identifiers import Instant, PoolName, RequestId, Seconds, WorkerInstance
from ..registry.protocols import ObservedLoadExchange, Worker
from .prefill_estimates import PrefillQueues
from .prefix_order import PrefixOrders
from .protocols import Turn

LONG_STREAM_MIN_TOKENS = 400
"""Number of generated tokens from which a stream counts as long, subject to ``MAX_PROMPT_RATIO``."""
MAX_PROMPT_RATIO = 2.0
"""A stream counts as long only if its prompt has at most this many times its generated tokens."""
MAX_STREAM_SLOT_SHARE = 0.75
"""Share of a worker's slots that long streams may take."""
TARGET_STREAM_SLOT_SHARE = 0.68
"""Mean share of slots that long streams take at the workers that they share."""
SAMPLED_WORKERS = 2
"""Number of workers drawn at random for a long stream."""
DEDICATION_PERIOD_S = Seconds(10.0)
"""Time after a pool's last long stream during which its first worker stays dedicated."""
OVERFLOW_WAIT_S = Seconds(0.12)
"""Other turns may also use the dedicated workers when they would wait longer than this at every other worker."""


class LongStreams:
    """Counts long streams by worker, and selects the workers that are compared for a turn."""

    def __init__(
        self,
        clock: Clock,
        random: Random,
        exchange: ObservedLoadExchange,
        orders: PrefixOrders,
        queues: PrefillQueues,
        max_dedicated_share: float,
    ) -> None:
        """``max_dedicated_share``: largest share of a pool's workers that other turns avoid."""
        self._clock = clock
        self._random = random
        self._exchange = exchange
        self._orders = orders
        self._queues = queues
        self._max_dedicated_share = max_dedicated_share
        self._running: dict[RequestId, WorkerInstance] = {}
        self._own: Counter[WorkerInstance] = Counter()
        self._last_seen: dict[PoolName, Instant] = {}

    def is_long(self, turn: Turn) -> bool:
        """Returns whether the turn is a long stream; False where the caller reports no sizes."""
        if (
            not (turn.parts and self._max_dedicated_share)
            or turn.generate_tokens < LONG_STREAM_MIN_TOKENS
            or not turn.service.streaming
        ):
            return False
        return turn.prompt_tokens <= MAX_PROMPT_RATIO * turn.generate_tokens

    def started(self, turn: Turn, worker: Worker) -> None:
        """Counts the turn at the worker if it is a long stream."""
        if self.is_long(turn):
            self._running[turn.request] = worker.instance
            self._own[worker.instance] += 1

    def ended(self, request: RequestId) -> None:
        """Stops counting the long stream."""
        instance = self._running.pop(request, None)
        if instance is None:
            return
        self._own[instance] -= 1
        if self._own[instance] <= 0:
            del self._own[instance]

    def own(self, instance: WorkerInstance) -> int:
        """Returns the number of this router's long streams at the worker, as announced to other routers."""
        return self._own[instance]

    def stream_count(self, worker: Worker) -> float:
        """Returns the number of long streams of all routers at the worker."""
        return self._own[worker.instance] + self._exchange.observed_load_of_others(worker.instance).streams

    def candidates(self, turn: Turn, ready: Sequence[Worker]) -> Sequence[Worker]:
        """Returns the workers of ``ready`` that should be compared for the turn, at least one."""
        if len(ready) < 3 or not turn.parts:
            return ready
        pool, now = ready[0].pool, self._clock.monotonic()
        order = self._orders.order(pool, ("long streams",), ready)
        if self.is_long(turn):
            self._last_seen[pool] = now
            return self._with_capacity(turn, order) or ready
        return self._without_dedicated(order, now) or ready

    def pick(self, candidates: Sequence[Worker]) -> Worker:
        """Returns the worker for a long stream: the one with fewer long streams of two drawn at random."""
        drawn = self._random.sample(list(candidates), min(SAMPLED_WORKERS, len(candidates)))
        return min(drawn, key=self.stream_count)

    def _with_capacity(self, turn: Turn, order: Sequence[Worker]) -> Sequence[Worker]:
        """Returns the shared workers that can take one more long stream, or else the next worker that can."""
        shared = self._shared_worker_count(order)
        found: list[Worker] = []
        for rank, worker in enumerate(order):
            if found and rank >= shared:
                break
            if self._can_take(turn, worker):
                found.append(worker)
        return found

    def _shared_worker_count(self, order: Sequence[Worker]) -> int:
        """Returns the number of workers that the long streams of all routers need."""
        streams = sum(self.stream_count(worker) for worker in order)
        return math.ceil(streams / (TARGET_STREAM_SLOT_SHARE * order[0].slots))

    def _can_take(self, turn: Turn, worker: Worker) -> bool:
        """Returns whether the worker has capacity for the stream and its prefill queue meets the latency objective."""
        if self.stream_count(worker) >= MAX_STREAM_SLOT_SHARE * worker.slots:
            return False
        objective = turn.service.latency_objective
        return objective is None or self._queues.first_token(worker, turn.prompt_tokens) <= objective

    def _without_dedicated(self, order: Sequence[Worker], now: Instant) -> Sequence[Worker]:
        """Returns the workers that are not dedicated; none if each of them has a long wait."""
        dedicated = self._dedicated_workers(order, now)
        others = [worker for worker in order if worker.instance not in dedicated]
        if others and min(self._queues.wait(worker) for worker in others) <= OVERFLOW_WAIT_S:
            return others
        return []

    def _dedicated_workers(self, order: Sequence[Worker], now: Instant) -> set[WorkerInstance]:
        """Returns the dedicated workers: the first workers of the order that run long streams, up to the largest share.

        The first worker stays dedicated for a while after the pool's last long stream.
        """
        max_dedicated = int(self._max_dedicated_share * len(order))
        recently_seen = now - self._last_seen.get(order[0].pool, Instant(float("-inf"))) <= DEDICATION_PERIOD_S
        dedicated: set[WorkerInstance] = set()
        for rank, worker in enumerate(order[:max_dedicated]):
            if self.stream_count(worker) >= 1.0 or (rank == 0 and recently_seen):
                dedicated.add(worker.instance)
        return dedicated
