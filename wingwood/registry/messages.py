"""What daemons tell each other about workers (docs/DESIGN.md section 10)."""

from __future__ import annotations

import msgspec

from ..identifiers import Incarnation, PoolName, Seconds, WorkerInstance
from .protocols import Engagement, Worker, WorkerLoad


class WorkerEntry(msgspec.Struct, frozen=True, array_like=True):
    worker: Worker
    renewed: bool
    """Whether the sender counts its announcement as renewed."""


class TakeState(msgspec.Struct, frozen=True):
    """Call to a home: a worker's own announcement of a new instance or state. Reply: StateTaken."""

    worker: Worker


class StateTaken(msgspec.Struct, frozen=True):
    worker: Worker
    """As kept now; its state is further on than the announced one when that was final already."""


class Renewal(msgspec.Struct, frozen=True, array_like=True):
    pool: PoolName
    instance: WorkerInstance
    load: WorkerLoad | None


class TakeRenewals(msgspec.Struct, frozen=True):
    """Call to a home: the renewals that one daemon took since its last call. Reply: RenewalsTaken."""

    renewals: tuple[Renewal, ...]


class RenewalsTaken(msgspec.Struct, frozen=True):
    unknown: tuple[WorkerInstance, ...]
    """Must be announced in full again."""


class StateSeen(msgspec.Struct, frozen=True):
    """Post: a state learnt in another way than from the home; states only move on, so it can be merged by anyone."""

    worker: Worker


class PoolQuestion(msgspec.Struct, frozen=True, array_like=True):
    pool: PoolName
    home: Incarnation
    """Whose sequence numbers ``sequence`` counts; empty for none."""
    sequence: int
    engaged: dict[WorkerInstance, Engagement]
    """The asker's part (a router's own, or a home's for its zone), by worker."""
    offered: tuple[WorkerEntry, ...] = ()
    """All the asker knows, for a home that is new to it (repair)."""


class FeedQuestion(msgspec.Struct, frozen=True):
    """Call: a router to the homes of its zone, a home to those of the other zones. Reply: FeedAnswer."""

    pools: tuple[PoolQuestion, ...]


class PoolAnswer(msgspec.Struct, frozen=True, array_like=True):
    pool: PoolName
    settled: bool
    """The answerer counts itself as the home, and has pulled what others keep."""
    sequence: int
    entries: tuple[WorkerEntry, ...]
    """Changed after the asked sequence, or all of them when the asker named another home."""
    loads: dict[WorkerInstance, WorkerLoad]
    engaged: dict[WorkerInstance, Engagement]
    """The part of all others than the asker."""


class FeedAnswer(msgspec.Struct, frozen=True):
    home: Incarnation
    session_age: Seconds
    """How long ago the answerer's membership was last proven."""
    pools: tuple[PoolAnswer, ...]
    known_pools: tuple[PoolName, ...] = ()
    """Given when no pool was asked for."""


class FeedPush(msgspec.Struct, frozen=True):
    """Post from a home to the routers of its zone, at once on a change of state."""

    home: Incarnation
    pool: PoolName
    previous: int
    sequence: int
    entries: tuple[WorkerEntry, ...]
