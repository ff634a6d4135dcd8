"""Which routers are silent or have ended, as a deputy or a new keeper finds by asking (docs/DESIGN.md section 14.1)."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from ..context.protocols import Context
from ..identifiers import Incarnation, Instant, Seconds, TenantName
from ..transport.frames import Identity
from ..transport.messenger import Messenger, TransportFault
from .keepers import ShareKeepers
from .kept_share import AUTONOMY
from .messages import MemberAnswer, MemberQuestion
from .share_bounds import ShareBounds

DOWN_COUNTS = Seconds(1.0)
"""A keeper found silent counts as down for so long."""
ENDED_COUNTS = Seconds(6 * AUTONOMY)


class _Ping(msgspec.Struct, frozen=True):
    at: Instant
    silent: bool


class RouterProbes:
    """Asks routers for a sign of life and keeps what came of it."""

    def __init__(self, context: Context, messenger: Messenger, keepers: ShareKeepers, bounds: ShareBounds) -> None:
        self._context = context
        self._messenger = messenger
        self._keepers = keepers
        self._bounds = bounds
        self._pings: dict[Incarnation, _Ping] = {}
        self._pinging: dict[Incarnation, asyncio.Task[None]] = {}
        self._ended: dict[Incarnation, Instant] = {}
        """Processes that have ended, and when that was found."""

    # Ended processes

    def has_ended(self, router: Identity) -> bool:
        return router.incarnation in self._ended

    def note_ended(self, router: Identity, outcome: Result[Any, TransportFault]) -> None:
        """A machine that refuses connections is reached, and has no such process any more."""
        if isinstance(outcome, Failure):
            fault = outcome.failure()
            if fault.kind == "unreachable" and fault.detail.startswith("refused"):
                self._ended[router.incarnation] = self._now()

    def missing(self) -> list[Identity]:
        """Routers that left lately, have not come back and may still be running."""
        return [router for router in self._keepers.gone(AUTONOMY) if not self.has_ended(router)]

    # Silent keepers

    async def deputizes(self, tenant: TenantName) -> bool:
        """Whether this router stands in for the keeper: it is the next in order, and no keeper answers it."""
        own = self._messenger.identity.incarnation
        keeper, deputy = self._keepers.keeper(tenant), self._keepers.deputy(tenant)
        if keeper is None or deputy is None or deputy.incarnation != own:
            return False
        found, now = self._pings.get(keeper.incarnation), self._now()
        if found is None or now - found.at > self._bounds.ping_counts:
            pinging = self._start_ping(keeper)
            if not self._is_down(keeper, now):  # Else what was found counts until the new answer.
                await asyncio.wait((pinging,), timeout=self._bounds.ping)
        return self._is_down(keeper, self._now())

    def _is_down(self, keeper: Identity, now: Instant) -> bool:
        """Whether this router, as a deputy, has lately found that keeper silent."""
        found = self._pings.get(keeper.incarnation)
        return found is not None and found.silent and now - found.at <= DOWN_COUNTS

    def _start_ping(self, router: Identity) -> asyncio.Task[None]:
        """One at a time for each router."""
        pinging = self._pinging.get(router.incarnation)
        if pinging is None:
            pinging = asyncio.get_running_loop().create_task(self._ping(router))
            self._pinging[router.incarnation] = pinging
        return pinging

    async def _ping(self, router: Identity) -> None:
        outcome = await self._messenger.call(router.internal, MemberQuestion(), MemberAnswer, self._bounds.ping)
        self._pings[router.incarnation] = _Ping(self._now(), not isinstance(outcome, Success))
        self.note_ended(router, outcome)
        self._pinging.pop(router.incarnation, None)

    # Upkeep

    def forget_old(self, now: Instant) -> None:
        if self._pings:
            members = {router.incarnation for router in self._keepers.routers()}
            self._pings = {router: ping for router, ping in self._pings.items() if router in members}
        for incarnation in [key for key, found in self._ended.items() if now - found > ENDED_COUNTS]:
            del self._ended[incarnation]

    def ping_missing(self) -> None:
        """A keeper leaves room for what routers that are missing may still use, until they have ended."""
        for router in self.missing():
            self._start_ping(router)

    def _now(self) -> Instant:
        return self._context.clock.monotonic()
