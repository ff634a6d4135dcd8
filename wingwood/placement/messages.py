"""Messages between routers about sessions and prefill queues (docs/DESIGN.md sections 11.2 and 11.12)."""

from __future__ import annotations

from typing import ClassVar

import msgspec

from ..identifiers import PoolName, Seconds, WorkerInstance


class SessionRecord(msgspec.Struct, frozen=True, array_like=True):
    """Names the worker that probably caches a session's prefix (claim) and the worker reserved for its next turn.

    Times are ages and remaining seconds, because instants of one process's clock mean nothing to another process.
    """

    WIRE_NAME: ClassVar[str] = "SessionNote"

    key: int
    """64 bits of the digest over pool and session id. A collision only misplaces a turn."""
    pool: PoolName
    cache_worker: WorkerInstance = msgspec.field(name="holder")
    """The worker that last ran a turn of the session."""
    tokens: int
    """Number of tokens that the cache worker caches, including shared parts; 0 when nothing is known."""
    own_tokens: int
    """Number of cached tokens that belong to this session alone, without the shared parts."""
    age: Seconds
    """Seconds since the cache worker last ran a turn of the session."""
    reserved_worker: WorkerInstance = msgspec.field(name="winner", default=WorkerInstance(""))
    """The worker reserved for the next turn; empty when there is no reservation."""
    reservation_left: Seconds = msgspec.field(name="award_left", default=Seconds(0.0))
    """Seconds until the reservation expires."""
    weight: float = 1.0
    """Weight of the priority class of the session's tenant."""


class StoreSessionRecords(msgspec.Struct, frozen=True):
    """Post to the owner and the replica of the keys: new records, or records handed over after a membership change."""

    WIRE_NAME: ClassVar[str] = "KeepNotes"

    records: tuple[SessionRecord, ...] = msgspec.field(name="notes")


class LookUpSession(msgspec.Struct, frozen=True, array_like=True):
    """Call to the owner or the replica of a key. The reply is ``SessionFound``."""

    key: int


class SessionFound(msgspec.Struct, frozen=True, array_like=True):
    """Reply to ``LookUpSession``."""

    record: SessionRecord | None = msgspec.field(name="note")
    """The stored record; None when the replying router has none."""
    is_new_owner: bool = msgspec.field(name="newcomer")
    """Whether the replying router became an owner of the key so recently that it may not have the record yet."""


class QueueOffer(msgspec.Struct, frozen=True, array_like=True):
    """One worker that a turn may be sent to."""

    worker: WorkerInstance
    prefill: Seconds
    """Seconds that the worker needs to prefill the turn's prompt."""
    other_cost: float = msgspec.field(name="beside")
    """Cost of this worker in seconds, apart from the wait in the prefill queue and the prefill itself."""


class JoinQueue(msgspec.Struct, frozen=True, array_like=True):
    """Call to the queue owner of the offered workers. The reply is ``QueueJoined``."""

    pool: PoolName
    offers: tuple[QueueOffer, ...]
    pressure: float
    """Cost of one second of waiting, in seconds."""
    risk_threshold: Seconds = msgspec.field(name="risked_from")
    """The part of wait and prefill that exceeds this many seconds counts an additional ``risk_cost`` times."""
    risk_cost: float
    """Weight of each second beyond ``risk_threshold``."""
    first_is_reserved: bool = msgspec.field(name="awarded", default=False)
    """Whether the first offer is the reserved worker.

    The reserved worker takes the turn unless its wait and prefill exceed ``risk_threshold``.
    """


class QueueJoined(msgspec.Struct, frozen=True, array_like=True):
    """Reply to ``JoinQueue``."""

    offer: int
    """Index of the offer that was chosen."""
    wait: Seconds
    """Seconds until the worker starts to prefill the turn's prompt."""


class QueueEntry(msgspec.Struct, frozen=True, array_like=True):
    """Post to a queue owner: a worker's prefill queue grew by ``prefill`` seconds, or shrank where it is negative."""

    pool: PoolName
    worker: WorkerInstance
    prefill: Seconds
