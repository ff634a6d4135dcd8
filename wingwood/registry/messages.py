"""What daemons tell each other about workers (docs/DESIGN.md section 10)."""

from __future__ import annotations

from typing import ClassVar

import msgspec

from ..identifiers import Incarnation, PoolName, Seconds, WorkerInstance
from .protocols import Worker

LoadFigures = tuple[int, int, int]
"""Running, waiting, and tokens used in the KV cache."""
Counts = dict[int, tuple[int, int, int, int]]
"""Running turns, expected ones, prompt tokens a second and long streams (``Engagement``), by the home's number."""
CallCounts = dict[int, tuple[int, int]]
"""Calls that succeeded and calls that failed, by the home's number of the worker."""


class WorkerEntry(msgspec.Struct, frozen=True, array_like=True):
    worker: Worker
    renewed: bool
    """Whether the sender counts its announcement as renewed."""
    number: int = -1
    """The sending home's short name for the worker in what follows; -1 from others."""
    announcement: int = msgspec.field(name="announced", default=0)
    """Sequence number of the announcement that told this; of two, the later one's attributes hold."""


class WorkerStateReport(msgspec.Struct, frozen=True, array_like=True):
    """Call to a home: a worker's own announcement of a new instance or state. Reply: StateTaken."""

    WIRE_NAME: ClassVar[str] = "TakeState"

    worker: Worker
    sequence: int = msgspec.field(name="announced", default=0)


class WorkerStateReceipt(msgspec.Struct, frozen=True, array_like=True):
    WIRE_NAME: ClassVar[str] = "StateTaken"

    worker: Worker
    """As kept now; its state is further on than the announced one when that was final already."""
    is_owner: bool = msgspec.field(name="home", default=True)
    """Whether the taker counts itself as its zone's home of the pool."""
    zones: int = 1
    """How many zones have routers, as the taker knows them."""


class Renewal(msgspec.Struct, frozen=True, array_like=True):
    pool: PoolName
    instance: WorkerInstance
    load: LoadFigures | None
    sequence: int = 0
    """The worker's own number of its announcement; 0 for none."""


class RenewalBatch(msgspec.Struct, frozen=True, array_like=True):
    """Call to a home: the renewals that one daemon took since its last call. Reply: RenewalsTaken."""

    WIRE_NAME: ClassVar[str] = "TakeRenewals"

    renewals: tuple[Renewal, ...]


class RenewalBatchReceipt(msgspec.Struct, frozen=True, array_like=True):
    WIRE_NAME: ClassVar[str] = "RenewalsTaken"

    unknown: tuple[WorkerInstance, ...]
    """Must be announced in full again."""


class WorkerQuestion(msgspec.Struct, frozen=True):
    """Call to any router: which worker is this? Reply: WorkerTold."""

    WIRE_NAME: ClassVar[str] = "AskWorker"

    instance: WorkerInstance


class WorkerAnswer(msgspec.Struct, frozen=True):
    WIRE_NAME: ClassVar[str] = "WorkerTold"

    worker: Worker | None
    age: Seconds
    """How old the answerer's knowledge is of the pool it is least sure of; infinite when it knows none."""


class ObservedState(msgspec.Struct, frozen=True, array_like=True):
    """Post: a state learnt in another way than from the home; states only move on, so it can be merged by anyone."""

    WIRE_NAME: ClassVar[str] = "StateSeen"

    worker: Worker


class PoolQuestion(msgspec.Struct, frozen=True, array_like=True):
    pool: PoolName
    owner: Incarnation = msgspec.field(name="home")
    """Whose sequence numbers ``sequence`` counts; empty for none."""
    sequence: int
    load_sequence: int | None
    """None: no loads or counts wanted this time."""
    engaged: Counts | None
    """The asker's part (a router's own, or a home's for its zone)."""
    offered: tuple[WorkerEntry, ...] = ()
    """What the asker knows and the home, by its first answer, did not (repair)."""
    outcomes: CallCounts | None = None
    """Of the asker's calls since it last told, by the home's number of the worker."""
    accepts_packed: bool = msgspec.field(name="unpacks", default=False)
    """Whether the asker takes packed entries; daemons from before packing don't say so."""


class FeedQuestion(msgspec.Struct, frozen=True, array_like=True):
    """Call: a router to the homes of its zone, a home to those of the other zones. Reply: FeedAnswer."""

    pools: tuple[PoolQuestion, ...]


class PoolAnswer(msgspec.Struct, frozen=True, array_like=True):
    pool: PoolName
    synced: bool = msgspec.field(name="settled")
    """The answerer counts itself as the home, and has pulled what others keep."""
    age: Seconds
    """How old the answerer's own knowledge is, by the answers of the other zones' homes; infinite when unproven."""
    sequence: int
    entries: tuple[WorkerEntry, ...]
    """Changed after the asked sequence, or all of them when the asker named another home."""
    load_sequence: int
    loads: dict[int, LoadFigures]
    """Changed after the asked load sequence, by number."""
    engaged: Counts | None
    """The part of all others than the asker."""
    ejected: tuple[int, ...] = ()
    """Workers that the zone's home leaves out for the time being, for the outcomes of calls to them."""
    packed: bytes = b""
    """Many entries, in place of ``entries``; see ``packed_entries``."""


class FeedAnswer(msgspec.Struct, frozen=True, array_like=True):
    owner: Incarnation = msgspec.field(name="home")
    session_age: Seconds
    """How long ago the answerer's membership was last proven."""
    pools: tuple[PoolAnswer, ...]
    known_pools: tuple[PoolName, ...] = ()
    """Given when no pool was asked for."""


class FeedPush(msgspec.Struct, frozen=True, array_like=True):
    """Post from a home to the routers of its zone, at once on a change of state."""

    owner: Incarnation = msgspec.field(name="home")
    pool: PoolName
    previous: int
    sequence: int
    entries: tuple[WorkerEntry, ...]
