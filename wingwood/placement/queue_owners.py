"""Prefill queues that all routers see alike (docs/DESIGN.md section 11.12).

A router knows the prompts that it sent itself, which is a small part of what waits at a worker. So the routers
agree on one of them, the queue keeper, for each group of workers of a pool. A turn that has much to prefill asks it:
the keeper knows when each worker will have prefilled what was sent there, picks one of the offered workers, and
counts the turn in. What it knows is an estimate that heals within the length of a queue; nothing is stored.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Sequence
from functools import lru_cache
from typing import Protocol

from returns.result import Success

from ..context.protocols import Clock, Context
from ..identifiers import Instant, PoolName, Seconds, WorkerInstance
from ..membership.protocols import Membership
from ..membership.rendezvous import ranked
from ..registry.protocols import Worker
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .bids import queued_cost
from .messages import JoinQueue, QueueEntry, QueueJoined, QueueOffer
from .unresponsive_routers import UnresponsiveRouters

WORKERS_PER_GROUP = 16
"""Workers of a pool that one keeper serves, about."""
ASK_TIMEOUT_S = Seconds(0.015)
OWNERS_ASKED = 2
"""The keeper and its stand-in."""
MAX_QUEUES = 30_000
MAX_CACHED_NUMBERS = 30_000


class QueueOwners(Protocol):
    def group(self, worker: Worker, ready: Sequence[Worker], pool_size: int) -> Sequence[Worker]:
        """Of these workers of its pool, which has so many in all, those that have the worker's keeper."""
        ...

    async def join(self, question: JoinQueue) -> QueueJoined | None:
        """None: no keeper answers."""
        ...

    def entered(self, entry: QueueEntry) -> None:
        """A turn goes to a worker without a question; or, with negative seconds, left before its prefill."""
        ...


class NoQueueOwners:
    """Each router goes by what it knows itself."""

    def group(self, worker: Worker, ready: Sequence[Worker], pool_size: int) -> Sequence[Worker]:
        return ready

    async def join(self, question: JoinQueue) -> QueueJoined | None:
        return None

    def entered(self, entry: QueueEntry) -> None:
        return None


class PrefillQueueTimes:
    """When each worker will have prefilled what was sent to it."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._free_at: OrderedDict[WorkerInstance, Instant] = OrderedDict()

    def wait(self, worker: WorkerInstance) -> Seconds:
        return Seconds(max(0.0, self._free_at.get(worker, Instant(0.0)) - self._clock.monotonic()))

    def enter(self, entry: QueueEntry) -> None:
        free_at = self._clock.monotonic() + self.wait(entry.worker) + entry.prefill
        self._free_at[entry.worker] = Instant(free_at)
        self._free_at.move_to_end(entry.worker)
        if len(self._free_at) > MAX_QUEUES:
            self._free_at.popitem(last=False)

    def join(self, question: JoinQueue) -> QueueJoined:
        """Takes the award's winner where it stands, else the cheapest offer; counts the turn in there."""
        chosen = 0 if self._award_stands(question) else self._cheapest(question)
        offer = question.offers[chosen]
        wait = self.wait(offer.worker)
        self.enter(QueueEntry(question.pool, offer.worker, offer.prefill))
        return QueueJoined(chosen, wait)

    def _award_stands(self, question: JoinQueue) -> bool:
        winner = question.offers[0]
        return question.awarded and self.wait(winner.worker) + winner.prefill <= question.risk_threshold

    def _cheapest(self, question: JoinQueue) -> int:
        costs = [self._cost(question, offer) for offer in question.offers]
        return min(range(len(costs)), key=costs.__getitem__)

    def _cost(self, question: JoinQueue, offer: QueueOffer) -> float:
        return queued_cost(
            self.wait(offer.worker),
            offer.prefill,
            offer.other_cost,
            pressure=question.pressure,
            risk_threshold=question.risk_threshold,
            risk_cost=question.risk_cost,
        )


class RouterQueueOwners:
    """A ``QueueOwners`` over the fleet's routers: asks, and answers for the groups that this router keeps."""

    def __init__(self, context: Context, messenger: Messenger, membership: Membership) -> None:
        self._messenger = messenger
        self._membership = membership
        self._times = PrefillQueueTimes(context.clock)
        self._group_counts: dict[PoolName, int] = {}
        """Groups of each pool, by its ready workers."""
        self._owners: dict[tuple[PoolName, int], tuple[Identity, ...]] = {}
        self._unresponsive = UnresponsiveRouters(context.clock)
        messenger.on_call(JoinQueue, self._on_join)
        messenger.on_post(QueueEntry, self._on_entry)
        membership.on_change(self._owners.clear)

    def group(self, worker: Worker, ready: Sequence[Worker], pool_size: int) -> Sequence[Worker]:
        pool = worker.pool
        group_count = self._group_counts[pool] = max(1, -(-pool_size // WORKERS_PER_GROUP))
        if group_count == 1:
            return ready
        number = self._group_of(pool, worker.instance)
        return [other for other in ready if self._group_of(pool, other.instance) == number]

    async def join(self, question: JoinQueue) -> QueueJoined | None:
        for owner in self._owners_of(question.pool, question.offers[0].worker):
            if self._is_self(owner):
                return self._times.join(question)
            if self._unresponsive.contains(owner.incarnation):
                continue
            reply = await self._messenger.call(owner.internal, question, QueueJoined, ASK_TIMEOUT_S)
            if isinstance(reply, Success):
                joined: QueueJoined = reply.unwrap()
                if joined.offer < len(question.offers):
                    return joined
            self._unresponsive.add(owner.incarnation)
        return None

    def entered(self, entry: QueueEntry) -> None:
        owner = next(iter(self._owners_of(entry.pool, entry.worker)), None)
        if owner is None:
            return
        if self._is_self(owner):
            self._times.enter(entry)
        else:
            self._messenger.post(owner.internal, entry)

    # --- keeping ------------------------------------------------------------------------------

    async def _on_join(self, _: Identity, question: JoinQueue) -> QueueJoined:
        return self._times.join(question)

    def _on_entry(self, _: Identity, entry: QueueEntry) -> None:
        self._times.enter(entry)

    # --- who keeps ----------------------------------------------------------------------------

    def _is_self(self, router: Identity) -> bool:
        return router.incarnation == self._messenger.identity.incarnation

    def _group_of(self, pool: PoolName, worker: WorkerInstance) -> int:
        group_count = self._group_counts.get(pool, 1)
        if group_count == 1:
            return 0
        return _number(worker) % group_count

    def _owners_of(self, pool: PoolName, worker: WorkerInstance) -> tuple[Identity, ...]:
        name = (pool, self._group_of(pool, worker))
        owners = self._owners.get(name)
        if owners is None:
            order = ranked(f"queue {name[0]} {name[1]}", self._membership.routers(), lambda router: router.name)
            owners = self._owners[name] = tuple(order[:OWNERS_ASKED])
        return owners


@lru_cache(MAX_CACHED_NUMBERS)
def _number(worker: WorkerInstance) -> int:
    """By which all routers share the workers out among the groups."""
    return int.from_bytes(hashlib.blake2b(worker.encode(), digest_size=8).digest(), "big")
