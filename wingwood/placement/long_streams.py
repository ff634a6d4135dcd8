"""Keeps long streams apart from long prompts (docs/DESIGN.md section 11.11).

An engine reads prompts piece by piece between the tokens of its running streams, so a stream that runs
beside a steady flow of long prompts pauses longer than its callers bear, whatever the bids say. Long
streams therefore share few workers, in an order that all routers agree on, and other turns leave these
alone while the rest can take them. How many they share follows from their number; each takes the less full of
two drawn ones, since the counts of the other routers are old by the time that they are read.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Sequence
from random import Random

from ..context.protocols import Clock
from ..identifiers import Instant, PoolName, RequestId, Seconds, WorkerInstance
from ..registry.protocols import EngagementExchange, Worker
from .prefill_estimates import PrefillQueues
from .prefix_order import PrefixOrders
from .protocols import Turn

LONG_STREAM_TOKENS = 400
"""Generated tokens from which a stream counts as long ..."""
PROMPT_RATIO = 2.0
"""... where its prompt has at most so many times its generated tokens."""
FILLED_TO = 0.75
"""Share of a worker's slots that long streams may take there."""
SPREAD_TO = 0.68
"""Mean share of the slots that long streams take at the workers that they share."""
DRAWN = 2
KEPT_APART_FOR = Seconds(10.0)
"""How long after the last long stream of a pool its first worker is still kept free."""
OVERFULL_WAIT = Seconds(0.12)
"""Other turns go to the workers of long streams too when they would wait longer everywhere else."""


class LongStreams:
    """Counts long streams by worker, and says which workers a turn is to be compared at."""

    def __init__(
        self,
        clock: Clock,
        random: Random,
        exchange: EngagementExchange,
        orders: PrefixOrders,
        queues: PrefillQueues,
        apart_most: float,
    ) -> None:
        """``apart_most``: share of a pool's workers that other turns leave alone at most."""
        self._clock = clock
        self._random = random
        self._exchange = exchange
        self._orders = orders
        self._queues = queues
        self._apart_most = apart_most
        self._running: dict[RequestId, WorkerInstance] = {}
        self._own: Counter[WorkerInstance] = Counter()
        self._last_seen: dict[PoolName, Instant] = {}

    def is_long(self, turn: Turn) -> bool:
        """Only where sizes are told."""
        if (
            not (turn.parts and self._apart_most)
            or turn.generate_tokens < LONG_STREAM_TOKENS
            or not turn.service.streaming
        ):
            return False
        return turn.prompt_tokens <= PROMPT_RATIO * turn.generate_tokens

    def begun(self, turn: Turn, worker: Worker) -> None:
        if self.is_long(turn):
            self._running[turn.request] = worker.instance
            self._own[worker.instance] += 1

    def ended(self, request: RequestId) -> None:
        instance = self._running.pop(request, None)
        if instance is None:
            return
        self._own[instance] -= 1
        if self._own[instance] <= 0:
            del self._own[instance]

    def own(self, instance: WorkerInstance) -> int:
        """This router's long streams there; told to the other routers."""
        return self._own[instance]

    def at(self, worker: Worker) -> float:
        """Long streams of all routers there."""
        return self._own[worker.instance] + self._exchange.engagement_of_others(worker.instance).streams

    def candidates(self, turn: Turn, ready: Sequence[Worker]) -> Sequence[Worker]:
        """Those of ``ready`` at which the turn should be compared; never none."""
        if len(ready) < 3 or not turn.parts:
            return ready
        pool, now = ready[0].pool, self._clock.monotonic()
        order = self._orders.order(pool, ("long streams",), ready)
        if self.is_long(turn):
            self._last_seen[pool] = now
            return self._with_room(turn, order) or ready
        return self._others(order, now) or ready

    def pick(self, candidates: Sequence[Worker]) -> Worker:
        """The worker for a long stream: of two drawn ones the one with fewer of them."""
        drawn = self._random.sample(list(candidates), min(DRAWN, len(candidates)))
        return min(drawn, key=self.at)

    def _with_room(self, turn: Turn, order: Sequence[Worker]) -> Sequence[Worker]:
        """Those of the workers that long streams share now that can take one more; else the next one that can."""
        shared = self._shared_by(order)
        found: list[Worker] = []
        for place, worker in enumerate(order):
            if found and place >= shared:
                break
            if self._takes(turn, worker):
                found.append(worker)
        return found

    def _shared_by(self, order: Sequence[Worker]) -> int:
        """How many workers the long streams of all routers need."""
        streams = sum(self.at(worker) for worker in order)
        return math.ceil(streams / (SPREAD_TO * order[0].slots))

    def _takes(self, turn: Turn, worker: Worker) -> bool:
        """Whether it has room and is not behind with its prompts."""
        if self.at(worker) >= FILLED_TO * worker.slots:
            return False
        objective = turn.service.latency_objective
        return objective is None or self._queues.first_token(worker, turn.prompt_tokens) <= objective

    def _others(self, order: Sequence[Worker], now: Instant) -> Sequence[Worker]:
        apart = self._kept_apart(order, now)
        others = [worker for worker in order if worker.instance not in apart]
        if others and min(self._queues.wait(worker) for worker in others) <= OVERFULL_WAIT:
            return others
        return []

    def _kept_apart(self, order: Sequence[Worker], now: Instant) -> set[WorkerInstance]:
        """Workers in the order of the streams' filling, as long as they hold some."""
        most = int(self._apart_most * len(order))
        lately = now - self._last_seen.get(order[0].pool, Instant(float("-inf"))) <= KEPT_APART_FOR
        apart: set[WorkerInstance] = set()
        for place, worker in enumerate(order[:most]):
            if self.at(worker) >= 1.0 or (place == 0 and lately):
                apart.add(worker.instance)
        return apart
