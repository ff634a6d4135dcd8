"""Commands that routers send to the ledger's state in the control core (docs/DESIGN.md section 13.2)."""

from __future__ import annotations

import hashlib
from typing import Literal

import msgspec

from ..identifiers import Incarnation
from .protocols import CallKey, Outcome

LEDGER_KIND = "ledger"
"""Kind of the ledger's commands and records in the control core."""
DIGEST_BYTES = 16

ClaimAnswer = Literal["claimed", "running", "ran", "unknown", "closed", "full"]
"""``claimed``: the call may run. ``running``, ``ran``, ``unknown``: the state of an earlier call with the key.

``closed``: the router gave the number up earlier. ``full``: the ledger has no capacity for another entry.
"""


def call_digest(key: CallKey) -> bytes:
    """Returns a 16-byte digest of the key, so that neither frames nor journals contain callers' keys."""
    return hashlib.blake2b(msgspec.msgpack.encode(key), digest_size=DIGEST_BYTES, person=b"wingwood-ledger").digest()


class ClaimRequest(msgspec.Struct, frozen=True, array_like=True):
    """A claim: its number at the router, and the digest of its key."""

    number: int
    key: bytes


class OutcomeReport(msgspec.Struct, frozen=True, array_like=True):
    """The number and key digest of a claim, and the outcome of its call."""

    number: int
    key: bytes
    outcome: Outcome = msgspec.field(name="state")


class LedgerBatch(msgspec.Struct, frozen=True, array_like=True):
    """Command of kind ``ledger``: claims and outcome reports of one router.

    The router accepts no more answers for claims numbered below ``floor``. Claims below the recorded
    floor are never granted, however late they arrive.
    """

    router: Incarnation
    floor: int
    claims: tuple[ClaimRequest, ...] = ()
    outcomes: tuple[OutcomeReport, ...] = msgspec.field(default=(), name="settles")


class LedgerAnswers(msgspec.Struct, frozen=True, array_like=True):
    """Reply to a ``LedgerBatch``: one answer per claim, in order. All outcomes of the batch are then durable."""

    claims: tuple[ClaimAnswer, ...] = ()
