"""Interface of the ledger, by which a call runs at most once in the whole fleet (docs/DESIGN.md section 13)."""

from __future__ import annotations

from typing import Literal, Protocol

import msgspec

from ..identifiers import IdempotencyKey, Seconds, ServiceName, TenantName

Outcome = Literal["ran", "unknown", "not-run"]
"""What became of a claimed call; ``unknown``: it may have run."""


class CallKey(msgspec.Struct, frozen=True, order=True):
    """Identifies a call: a caller's idempotency key, within a tenant and a service."""

    tenant: TenantName
    service: ServiceName
    key: IdempotencyKey


class Claimed(msgspec.Struct, frozen=True):
    """The call may run once, under ``ticket``; later claims of the key are answered with the state of this call."""

    ticket: str


class AlreadyClaimed(msgspec.Struct, frozen=True):
    """The key was claimed before; ``state`` is that of the earlier call."""

    state: Literal["running", "ran", "unknown"]


class ClaimError(msgspec.Struct, frozen=True):
    """The ledger did not grant the claim and reported no earlier call; this call must be refused as not-run."""

    detail: str = ""


class ClaimTimeoutError(ClaimError, frozen=True):
    """No answer arrived within the timeout; the claim may become durable nevertheless, although its call never runs."""


class ClaimRejectedError(ClaimError, frozen=True):
    """The router or the ledger rejected the claim, because it is stopping or a bound is reached."""


class ForeignTicketError(ValueError):
    """An outcome was reported under a ticket that was not issued to this router."""


class Ledger(Protocol):
    """Records which calls have been claimed and what became of them."""

    async def claim(self, key: CallKey, timeout: Seconds) -> Claimed | AlreadyClaimed | ClaimError:
        """Claims the key; ``Claimed`` is returned only when the claim is durable on two synced disks.

        After ``ClaimTimeoutError``, a claim may exist whose call nobody runs. The implementation frees it when
        it can, and otherwise answers ``unknown`` to later claims. ``timeout`` is in seconds.
        """
        ...

    async def report_outcome(self, key: CallKey, ticket: str, outcome: Outcome) -> bool:
        """Records the outcome of a claimed call; ``not-run`` frees the key.

        Returns True when the outcome is durable. Otherwise, recording continues in the background.
        Raises ``ForeignTicketError`` for a ticket of another router.
        """
        ...
