"""Messages in which daemons inform each other about workers (docs/DESIGN.md section 10)."""

from __future__ import annotations

from typing import ClassVar

import msgspec

from ..identifiers import Incarnation, PoolName, Seconds, WorkerInstance
from .protocols import Worker

LoadFigures = tuple[int, int, int]
"""Calls running, calls waiting, and tokens used in the KV cache of one worker, as the worker reports them."""
ObservedLoadFigures = dict[int, tuple[int, int, int, int]]
"""Running turns, expected turns, prompt tokens per second and long streams (see ``ObservedLoad``) by worker.

The key is the number that the owner gave to the worker.
"""
CallCounts = dict[int, tuple[int, int]]
"""Calls that succeeded and calls that failed per worker; the key is the owner's number of the worker."""


class WorkerEntry(msgspec.Struct, frozen=True, array_like=True):
    """One worker as the sender knows it."""

    worker: Worker
    renewed: bool
    """Whether the sender considers the worker's announcement as renewed recently enough."""
    number: int = -1
    """Short name of the worker in later messages of the sending owner; -1 if the sender is not an owner."""
    announcement: int = msgspec.field(name="announced", default=0)
    """Sequence number of the announcement with these attributes; the attributes with the highest number are valid."""


class WorkerStateReport(msgspec.Struct, frozen=True, array_like=True):
    """Call to an owner: a worker itself announced a new instance or state. Reply: ``WorkerStateReceipt``."""

    WIRE_NAME: ClassVar[str] = "TakeState"

    worker: Worker
    sequence: int = msgspec.field(name="announced", default=0)
    """Sequence number of the announcement; 0 if the worker does not number its announcements."""


class WorkerStateReceipt(msgspec.Struct, frozen=True, array_like=True):
    """Reply to ``WorkerStateReport``."""

    WIRE_NAME: ClassVar[str] = "StateTaken"

    worker: Worker
    """The worker as now stored; its state is later than the announced one if it had left already."""
    is_owner: bool = msgspec.field(name="home", default=True)
    """Whether the receiver considers itself its zone's owner of the pool."""
    zones: int = 1
    """Number of zones with a router, according to the receiver."""


class Renewal(msgspec.Struct, frozen=True, array_like=True):
    """A worker repeated an announcement in which nothing but its load has changed."""

    pool: PoolName
    instance: WorkerInstance
    load: LoadFigures | None
    sequence: int = 0
    """Sequence number of the announcement; 0 if the worker does not number its announcements."""


class RenewalBatch(msgspec.Struct, frozen=True, array_like=True):
    """Call to an owner: the renewals that one daemon received since its last call. Reply: ``RenewalBatchReceipt``."""

    WIRE_NAME: ClassVar[str] = "TakeRenewals"

    renewals: tuple[Renewal, ...]


class RenewalBatchReceipt(msgspec.Struct, frozen=True, array_like=True):
    """Reply to ``RenewalBatch``."""

    WIRE_NAME: ClassVar[str] = "RenewalsTaken"

    unknown: tuple[WorkerInstance, ...]
    """Workers that the owner does not know; they must be announced in full again."""


class WorkerQuery(msgspec.Struct, frozen=True):
    """Call to any router: asks for the worker with this instance id. Reply: ``WorkerQueryReply``."""

    WIRE_NAME: ClassVar[str] = "AskWorker"

    instance: WorkerInstance


class WorkerQueryReply(msgspec.Struct, frozen=True):
    """Reply to ``WorkerQuery``."""

    WIRE_NAME: ClassVar[str] = "WorkerTold"

    worker: Worker | None
    """None if the replying router does not know the worker."""
    age: Seconds
    """Age of the replying router's knowledge of its most outdated pool; infinite if it knows no pool."""


class ObservedState(msgspec.Struct, frozen=True, array_like=True):
    """Post: a state that the sender did not learn from the owner.

    States only advance, so every receiver can merge it.
    """

    WIRE_NAME: ClassVar[str] = "StateSeen"

    worker: Worker


class PoolRequest(msgspec.Struct, frozen=True, array_like=True):
    """Part of a ``FeedRequest``: asks for the changes of one pool."""

    WIRE_NAME: ClassVar[str] = "PoolQuestion"

    pool: PoolName
    owner: Incarnation = msgspec.field(name="home")
    """Owner whose sequence numbers ``sequence`` and ``load_sequence`` are; empty if the requester has no feed yet."""
    sequence: int
    """Latest change that the requester has; -1 for none."""
    load_sequence: int | None
    """Latest load change that the requester has; None if it asks for no loads this time."""
    observed_loads: ObservedLoadFigures | None = msgspec.field(name="engaged")
    """What the requester contributes: a router its own counts, an owner the counts of its zone."""
    offered: tuple[WorkerEntry, ...] = ()
    """Workers that the requester knows and that were missing from the owner's first reply (repair)."""
    outcomes: CallCounts | None = None
    """Outcomes of the requester's calls since its last report."""
    accepts_packed: bool = msgspec.field(name="unpacks", default=False)
    """Whether the requester accepts packed entries; daemons older than packing do not send this field."""


class FeedRequest(msgspec.Struct, frozen=True, array_like=True):
    """Call from a router to the owners in its zone, or from an owner to the owners in other zones.

    Reply: ``FeedReply``.
    """

    WIRE_NAME: ClassVar[str] = "FeedQuestion"

    pools: tuple[PoolRequest, ...]


class PoolReply(msgspec.Struct, frozen=True, array_like=True):
    """Part of a ``FeedReply``: the changes of one pool."""

    WIRE_NAME: ClassVar[str] = "PoolAnswer"

    pool: PoolName
    synced: bool = msgspec.field(name="settled")
    """Whether the sender considers itself the owner and has pulled the records of the other owners."""
    age: Seconds
    """Age of the sender's own knowledge, confirmed by replies of the other zones' owners; infinite if unconfirmed."""
    sequence: int
    """Latest change in the sender's table."""
    entries: tuple[WorkerEntry, ...]
    """Workers that changed after the requested sequence, or all workers if the requester named another owner."""
    load_sequence: int
    loads: dict[int, LoadFigures]
    """Loads that changed after the requested load sequence, by the sender's number of the worker."""
    observed_loads: ObservedLoadFigures | None = msgspec.field(name="engaged")
    """Sent to a router: the counts of all other routers. Sent to another zone's owner: those of the sender's zone."""
    ejected: tuple[int, ...] = ()
    """Workers that the zone's owner has ejected for now because too many calls to them failed."""
    packed: bytes = b""
    """A long list of entries, sent in place of ``entries``; see ``packed_entries``."""


class FeedReply(msgspec.Struct, frozen=True, array_like=True):
    """Reply to ``FeedRequest``."""

    WIRE_NAME: ClassVar[str] = "FeedAnswer"

    owner: Incarnation = msgspec.field(name="home")
    """The daemon that replies."""
    session_age: Seconds
    """Time since the sender's membership was last confirmed."""
    pools: tuple[PoolReply, ...]
    known_pools: tuple[PoolName, ...] = ()
    """All pools that the sender knows; only sent if the request named no pool."""


class FeedPush(msgspec.Struct, frozen=True, array_like=True):
    """Post from an owner to the routers of its zone, sent immediately when a worker's state changes."""

    owner: Incarnation = msgspec.field(name="home")
    pool: PoolName
    previous: int
    """The owner's sequence before the change; a receiver that has this one misses nothing in between."""
    sequence: int
    entries: tuple[WorkerEntry, ...]
