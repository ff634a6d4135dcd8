"""Interface of the ledger, by which a call runs at most once in the whole fleet (docs/DESIGN.md section 13)."""

from __future__ import annotations

from typing import Literal, Protocol

import msgspec

from ..identifiers import IdempotencyKey, Seconds, ServiceName, TenantName


class CallKey(msgspec.Struct, frozen=True, order=True):
    """Identifies a call: a caller's idempotency key, within a tenant and a service."""

    tenant: TenantName
    service: ServiceName
    key: IdempotencyKey


class Claimed(msgspec.Struct, frozen=True):
    """The call may run once, under ``ticket``; later calls with the key are answered with its state."""

    ticket: str


class AlreadyClaimed(msgspec.Struct, frozen=True):
    """The key was claimed before; ``state`` is that of the earlier call."""

    state: Literal["running", "ran", "unknown"]


class Unreachable(msgspec.Struct, frozen=True):
    """The ledger gave no definite answer; the call must be refused as not-run."""

    detail: str = ""


class Ledger(Protocol):
    """Records which calls have been claimed and what became of them."""

    async def claim(self, key: CallKey, timeout: Seconds) -> Claimed | AlreadyClaimed | Unreachable:
        """Claims the key; ``Claimed`` is returned only when the claim is durable on two synced disks.

        After ``Unreachable``, a claim may exist whose call nobody runs. The implementation frees it when
        it can, and otherwise answers ``unknown`` to later calls.
        """
        ...

    async def settle(self, key: CallKey, ticket: str, state: Literal["ran", "unknown", "not-run"]) -> bool:
        """Records the outcome of a claimed call; ``not-run`` frees the key.

        Returns True when the outcome is durable. Otherwise, recording continues in the background.
        """
        ...
