"""Prefill queues shared by all routers (docs/DESIGN.md section 11.12).

A router knows only the prompts that it sent itself, which are a small part of the prompts that wait at a worker.
Therefore the routers agree on one router, the queue owner, for each group of workers of a pool. For a turn with much
to prefill, the router asks the queue owner: it knows when each worker will have prefilled the prompts sent there,
picks one of the offered workers, and adds the turn to that worker's queue. The owner's knowledge is an estimate; an
error in it disappears within the length of a queue, and nothing is stored.
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
from .cost_model import queued_cost
from .messages import JoinQueue, QueueEntry, QueueJoined, QueueOffer
from .unresponsive_routers import UnresponsiveRouters

WORKERS_PER_GROUP = 16
"""Approximate number of a pool's workers that one queue owner serves."""
ASK_TIMEOUT_S = Seconds(0.015)
OWNERS_ASKED = 2
"""Number of routers that are asked: the owner and its replica."""
MAX_QUEUES = 30_000
MAX_CACHED_NUMBERS = 30_000


class QueueOwners(Protocol):
    """Access to the prefill queues that all routers share."""

    def group(self, worker: Worker, ready: Sequence[Worker], pool_size: int) -> Sequence[Worker]:
        """Returns those of the ``ready`` workers whose queue owner is that of ``worker``.

        ``pool_size``: number of ready workers of the pool, including those that are no candidates.
        """
        ...

    async def join(self, question: JoinQueue) -> QueueJoined | None:
        """Asks the queue owner to pick one of the offers; returns None if no owner answers."""
        ...

    def entered(self, entry: QueueEntry) -> None:
        """Announces a turn that was sent without asking or, with negative seconds, one that left before its prefill."""
        ...


class NoQueueOwners:
    """A ``QueueOwners`` without owners: each router uses only its own estimates."""

    def group(self, _worker: Worker, ready: Sequence[Worker], _pool_size: int) -> Sequence[Worker]:
        """Returns all ready workers."""
        return ready

    async def join(self, _question: JoinQueue) -> QueueJoined | None:
        """Returns None, as if no owner answered."""

    def entered(self, entry: QueueEntry) -> None:
        """Does nothing: there is no owner to notify."""


class PrefillQueueTimes:
    """The instant at which each worker will have prefilled the prompts sent to it."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._free_at: OrderedDict[WorkerInstance, Instant] = OrderedDict()

    def wait(self, worker: WorkerInstance) -> Seconds:
        """Returns the seconds until the worker has prefilled the prompts sent to it."""
        return Seconds(max(0.0, self._free_at.get(worker, Instant(0.0)) - self._clock.monotonic()))

    def enter(self, entry: QueueEntry) -> None:
        """Adds the entry's prefill to its worker's queue, or removes it where it is negative."""
        free_at = self._clock.monotonic() + self.wait(entry.worker) + entry.prefill
        self._free_at[entry.worker] = Instant(free_at)
        self._free_at.move_to_end(entry.worker)
        if len(self._free_at) > MAX_QUEUES:
            self._free_at.popitem(last=False)

    def join(self, question: JoinQueue) -> QueueJoined:
        """Picks the reserved worker if its queue is short enough, else the cheapest offer, and adds the turn there."""
        chosen = 0 if self._reservation_stands(question) else self._cheapest(question)
        offer = question.offers[chosen]
        wait = self.wait(offer.worker)
        self.enter(QueueEntry(question.pool, offer.worker, offer.prefill))
        return QueueJoined(chosen, wait)

    def _reservation_stands(self, question: JoinQueue) -> bool:
        reserved_worker = question.offers[0]
        return (
            question.first_is_reserved
            and self.wait(reserved_worker.worker) + reserved_worker.prefill <= question.risk_threshold
        )

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
    """A ``QueueOwners`` over the fleet's routers: it asks owners, and answers for the groups that this router owns."""

    def __init__(self, context: Context, messenger: Messenger, membership: Membership) -> None:
        self._messenger = messenger
        self._membership = membership
        self._times = PrefillQueueTimes(context.clock)
        self._group_counts: dict[PoolName, int] = {}
        """Number of groups of each pool, which follows from the number of its ready workers."""
        self._owners: dict[tuple[PoolName, int], tuple[Identity, ...]] = {}
        self._unresponsive = UnresponsiveRouters(context.clock)
        messenger.on_call(JoinQueue, self._on_join)
        messenger.on_post(QueueEntry, self._on_entry)
        membership.on_change(self._owners.clear)

    def group(self, worker: Worker, ready: Sequence[Worker], pool_size: int) -> Sequence[Worker]:
        """See ``QueueOwners.group``."""
        pool = worker.pool
        group_count = self._group_counts[pool] = max(1, -(-pool_size // WORKERS_PER_GROUP))
        if group_count == 1:
            return ready
        number = self._group_of(pool, worker.instance)
        return [other for other in ready if self._group_of(pool, other.instance) == number]

    async def join(self, question: JoinQueue) -> QueueJoined | None:
        """Asks the owner, then its replica; a router that does not answer in time is skipped for a while."""
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
        """Posts the entry to the queue owner; a lost post only makes the owner's estimate less accurate."""
        owner = next(iter(self._owners_of(entry.pool, entry.worker)), None)
        if owner is None:
            return
        if self._is_self(owner):
            self._times.enter(entry)
        else:
            self._messenger.post(owner.internal, entry)

    # --- owned queues--------------------------------------------------------------------------

    async def _on_join(self, _: Identity, question: JoinQueue) -> QueueJoined:
        return self._times.join(question)

    def _on_entry(self, _: Identity, entry: QueueEntry) -> None:
        self._times.enter(entry)

    # --- ownership ----------------------------------------------------------------------------

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
    """Returns the number by which all routers assign the worker to a group."""
    return int.from_bytes(hashlib.blake2b(worker.encode(), digest_size=8).digest(), "big")
