"""At most once over the whole fleet (docs/DESIGN.md section 13)."""

from __future__ import annotations

from typing import Literal, Protocol

import msgspec

from ..identifiers import IdempotencyKey, Seconds, ServiceName, TenantName


class CallKey(msgspec.Struct, frozen=True, order=True):
    tenant: TenantName
    service: ServiceName
    key: IdempotencyKey


class Claimed(msgspec.Struct, frozen=True):
    """This call may run once, under ``ticket``; every later call of the key is answered by state."""

    ticket: str


class AlreadyClaimed(msgspec.Struct, frozen=True):
    """The key was claimed before."""

    state: Literal["running", "ran", "unknown"]


class Unreachable(msgspec.Struct, frozen=True):
    """The ledger did not answer for sure: refuse the call as not-run."""

    detail: str = ""


class Ledger(Protocol):
    async def claim(self, key: CallKey, timeout: Seconds) -> Claimed | AlreadyClaimed | Unreachable:
        """Durable on two synced disks before ``Claimed`` is returned.

        After ``Unreachable`` a claim may exist that nobody runs; the implementation frees it when it
        can and otherwise answers ``unknown`` to later calls.
        """
        ...

    async def settle(self, key: CallKey, ticket: str, state: Literal["ran", "unknown", "not-run"]) -> bool:
        """Tells what became of it; ``not-run`` frees the key. True once durable. Goes on trying in the background."""
        ...
