"""Pushes changed worker states from a pool's owner to the routers of its zone (docs/DESIGN.md section 10.2)."""

from __future__ import annotations

from collections.abc import Sequence

from ..context.protocols import Clock
from ..identifiers import PoolName
from ..membership.protocols import Membership
from ..transport.messenger import Messenger
from .messages import FeedPush
from .protocols import Worker
from .worker_directory import WorkerDirectory


class FeedPublisher:
    """Sends ``FeedPush`` posts, so that followers need not wait for their next poll."""

    def __init__(self, clock: Clock, messenger: Messenger, membership: Membership, directory: WorkerDirectory) -> None:
        self._clock = clock
        self._messenger = messenger
        self._membership = membership
        self._directory = directory

    def publish(self, pool: PoolName, workers: Sequence[Worker], previous: int) -> None:
        """Sends changed workers to the other routers of the zone, if this daemon is a router.

        ``previous`` is the sequence of the pool's table before the change.
        """
        own = self._messenger.identity
        if not workers or own.role != "router":
            return
        table = self._directory.table(pool)
        entries = table.entries(self._clock.monotonic(), [worker.instance for worker in workers])
        push = FeedPush(own.incarnation, pool, previous, table.sequence, entries)
        for router in self._membership.routers():
            if router.zone == own.zone and router.incarnation != own.incarnation:
                self._messenger.post(router.internal, push)
