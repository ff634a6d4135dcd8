"""The state of the feeds that this daemon follows (docs/DESIGN.md section 10.3)."""

from __future__ import annotations

from collections.abc import Collection, Sequence

import msgspec

from ..identifiers import Incarnation, Instant, PoolName, WorkerInstance
from .messages import WorkerEntry
from .pool_ownership import NEVER


class Feed(msgspec.Struct):
    """What this daemon has received from an owner that it follows, for one pool."""

    sequence: int = -1
    unapplied_renewals: dict[WorkerInstance, WorkerEntry] = msgspec.field(default_factory=dict)
    """Entries that the owner sent while its renewed flags were not trusted; they are applied once they are."""
    to_offer: tuple[WorkerEntry, ...] = ()
    """Workers that the owner does not know; the next request offers them."""
    load_sequence: int = -1
    loads_requested_at: Instant = NEVER
    """Time of the last request for loads."""
    numbers: dict[int, WorkerInstance] = msgspec.field(default_factory=dict)
    """Workers by the owner's numbers."""
    by_instance: dict[WorkerInstance, int] = msgspec.field(default_factory=dict)

    def learn_numbers(self, entries: Sequence[WorkerEntry]) -> None:
        """Stores the owner's numbers of these workers."""
        for entry in entries:
            self.numbers[entry.number] = entry.worker.instance
            self.by_instance[entry.worker.instance] = entry.number


class Feeds:
    """Owns the followed feeds, one for each pool and owner."""

    def __init__(self) -> None:
        self._feeds: dict[tuple[PoolName, Incarnation], Feed] = {}

    def find(self, pool: PoolName, owner: Incarnation) -> Feed | None:
        """Returns the feed; None unless this daemon has received a reply of the owner for this pool."""
        return self._feeds.get((pool, owner))

    def open(self, pool: PoolName, owner: Incarnation) -> Feed:
        """Starts an empty feed, with which the next request asks for all workers."""
        feed = self._feeds[(pool, owner)] = Feed()
        return feed

    def retain(self, pool: PoolName, owners: Collection[Incarnation]) -> None:
        """Discards the pool's feeds of all but these owners."""
        for key in [key for key in self._feeds if key[0] == pool and key[1] not in owners]:
            del self._feeds[key]

    def discard(self, pool: PoolName) -> None:
        """Discards all feeds of the pool, so that the next requests ask for all workers again."""
        self.retain(pool, ())
