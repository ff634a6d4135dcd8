"""Journal records and snapshots of the ledger's state, and the entries in its memory (docs/DESIGN.md section 13.2)."""

from __future__ import annotations

from typing import Literal

import msgspec

from ..identifiers import Incarnation


class Effect(msgspec.Struct, frozen=True, array_like=True):
    """One change of the state within a record.

    ``free`` removes the claim from its key and closes its number; ``close`` only closes the number.
    """

    kind: Literal["claim", "ran", "unknown", "free", "close"] = msgspec.field(name="what")
    number: int
    key: bytes


class LedgerRecord(msgspec.Struct, frozen=True, array_like=True):
    """A replicated record: the changes that one batch of a router made."""

    time: int
    """Ledger time in milliseconds, see ``LedgerState.ledger_time``."""
    router: Incarnation
    floor: int
    effects: tuple[Effect, ...]


class OpenClaim(msgspec.Struct, frozen=True, array_like=True):
    """A claim whose call is not known to have run.

    ``time`` is the ledger time (milliseconds) of the claim or, in state ``unknown``, of that outcome report.
    """

    router: Incarnation
    number: int
    state: Literal["running", "unknown"]
    time: int

    def has_ticket(self, router: Incarnation, number: int) -> bool:
        """Returns whether (``router``, ``number``) is the ticket under which this claim was granted."""
        return (self.router, self.number) == (router, number)


KnownCall = OpenClaim | Literal["ran"] | None
"""What the ledger knows about a key: its open claim, that its call ran, or nothing."""


class ClosedClaimNumbers(msgspec.Struct, array_like=True):
    """The claim numbers of one router that are never granted any more; they act as its fencing tokens."""

    floor: int = 0
    """All numbers below the floor are closed."""
    closed: set[int] = msgspec.field(default_factory=set)
    """Numbers at or above the floor that were freed or abandoned."""
    time: int = 0
    """Ledger time in milliseconds of the router's latest record."""

    def raise_floor(self, floor: int) -> None:
        """Closes all numbers below ``floor``; the floor never goes down."""
        if floor > self.floor:
            self.floor = floor
            if self.closed:
                self.closed = {number for number in self.closed if number >= floor}

    def close(self, number: int) -> None:
        """Closes one number."""
        if number >= self.floor:
            self.closed.add(number)


class LedgerSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """The complete state of the ledger; times are ledger times in milliseconds."""

    time: int
    expired_at: int
    open_claims: dict[bytes, OpenClaim] = msgspec.field(name="held")
    ran: list[tuple[int, bytes]]
    """For each bucket, its start in ledger time and its concatenated key digests."""
    routers: dict[Incarnation, ClosedClaimNumbers]
