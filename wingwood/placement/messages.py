"""What routers tell each other about sessions and prefill queues (docs/DESIGN.md sections 11.2 and 11.12)."""

from __future__ import annotations

import msgspec

from ..identifiers import PoolName, Seconds, WorkerInstance


class SessionNote(msgspec.Struct, frozen=True, array_like=True):
    """Where a session's prefix probably is (claim), and who won its next turn (award).

    Times are ages and remaining seconds, never instants of another process.
    """

    key: int
    """64 bits of the digest over pool and session; a collision costs a misplaced turn, no more."""
    pool: PoolName
    holder: WorkerInstance
    tokens: int
    """Kept at the holder, shared parts included; 0 when nothing is known."""
    own_tokens: int
    """Without the shared parts."""
    age: Seconds
    """Since the holder last ran a turn of it."""
    winner: WorkerInstance = WorkerInstance("")
    """Empty: no award."""
    award_left: Seconds = Seconds(0.0)
    weight: float = 1.0


class KeepNotes(msgspec.Struct, frozen=True):
    """Post to the keeper and its stand-in: new notes, or notes handed over after a change of members."""

    notes: tuple[SessionNote, ...]


class LookUpSession(msgspec.Struct, frozen=True, array_like=True):
    """Call to the keeper. Reply: SessionFound."""

    key: int


class SessionFound(msgspec.Struct, frozen=True, array_like=True):
    note: SessionNote | None
    newcomer: bool
    """The answerer became a keeper of the key only a moment ago; its None says little."""


class QueueOffer(msgspec.Struct, frozen=True, array_like=True):
    """One worker that a turn may go to."""

    worker: WorkerInstance
    prefill: Seconds
    """How long its prompt takes there."""
    beside: float
    """What going there costs in seconds beside the wait in the prefill queue and the prefill."""


class JoinQueue(msgspec.Struct, frozen=True, array_like=True):
    """Call to the keeper of the offered workers' queues. Reply: QueueJoined."""

    pool: PoolName
    offers: tuple[QueueOffer, ...]
    pressure: float
    """How much a second of waiting counts."""
    risked_from: Seconds
    """A wait and prefill beyond this count ``risk_cost`` times more."""
    risk_cost: float
    awarded: bool = False
    """The first offer is the award's winner: it takes the turn unless wait and prefill there go beyond the risk."""


class QueueJoined(msgspec.Struct, frozen=True, array_like=True):
    offer: int
    """Which one was taken."""
    wait: Seconds
    """Until its prefill begins."""


class QueueEntry(msgspec.Struct, frozen=True, array_like=True):
    """Post to the keeper: so much more (or, negative, less) is to be prefilled at a worker."""

    pool: PoolName
    worker: WorkerInstance
    prefill: Seconds
