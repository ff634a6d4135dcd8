"""Probes by which a standby or a new allocator finds unresponsive and ended routers (docs/DESIGN.md section 14.1)."""

from __future__ import annotations

import asyncio

import msgspec
from returns.result import Failure, Result, Success

from ..context.protocols import Context
from ..identifiers import Incarnation, Instant, Seconds, TenantName
from ..transport.errors import TransportFailure
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .allocator_selector import AllocatorSelector
from .messages import MembershipReply, MembershipRequest, ReachabilityReply, ReachabilityRequest
from .share_options import AUTONOMY_S, ShareOptions

UNRESPONSIVE_VALIDITY_S = Seconds(1.0)
"""An allocator that did not answer a ping is regarded as unresponsive for this long."""
ENDED_VALIDITY_S = Seconds(6 * AUTONOMY_S)
"""How long a process is known as ended."""
MAX_ASKED_ROUTERS = 3
"""Number of other routers that are asked whether they reach a router that refuses connections."""


class _Ping(msgspec.Struct, frozen=True):
    """Result of a ping."""

    at: Instant
    unresponsive: bool


class RouterProbes:
    """Pings routers. Owns the results of the pings and the processes that are known to have ended."""

    def __init__(
        self, context: Context, messenger: Messenger, selector: AllocatorSelector, options: ShareOptions
    ) -> None:
        self._context = context
        self._messenger = messenger
        self._selector = selector
        self._options = options
        self._pings: dict[Incarnation, _Ping] = {}
        self._pinging: dict[Incarnation, asyncio.Task[None]] = {}
        self._ended: dict[Incarnation, Instant] = {}
        """Processes that have ended, with the time at which this was detected."""
        self._confirming: set[Incarnation] = set()
        """Processes that refused a connection and about which other routers are being asked."""
        messenger.on_call(ReachabilityRequest, self._on_reachability_request)

    # Ended processes

    def has_ended(self, router: Identity) -> bool:
        """Returns whether the router's process is known to have ended."""
        return router.incarnation in self._ended

    def check_ended(self, router: Identity, outcome: Result[msgspec.Struct, TransportFailure]) -> None:
        """Starts to confirm that a router has ended if ``outcome`` is a refused connection.

        Either the machine no longer runs the process, or a network partition resets connections to it.
        """
        if isinstance(outcome, Failure):
            fault = outcome.failure()
            if fault.kind == "unreachable" and fault.detail.startswith("refused"):
                self._start_confirming_end(router)

    def _start_confirming_end(self, router: Identity) -> None:
        if router.incarnation not in self._confirming and not self.has_ended(router):
            self._confirming.add(router.incarnation)
            self._context.tasks.spawn(f"whether {router.name} has ended", self._confirm_ended(router))

    async def _confirm_ended(self, router: Identity) -> None:
        """Records the router as ended if no other router reaches it and at least one of them answered.

        A router that has no other router to ask records it as well.
        """
        own = self._messenger.identity.incarnation
        others = [other for other in self._selector.routers() if other.incarnation not in (own, router.incarnation)]
        asked = self._context.random.sample(others, min(MAX_ASKED_ROUTERS, len(others)))
        answers = await asyncio.gather(*(self._request_reachability(other, router) for other in asked))
        self._confirming.discard(router.incarnation)
        answered = [answer for answer in answers if answer is not None]
        if not any(answered) and (answered or not others):
            self._ended[router.incarnation] = self._now()

    async def _request_reachability(self, other: Identity, router: Identity) -> bool | None:
        request = ReachabilityRequest(router.internal)
        outcome = await self._messenger.call(
            other.internal, request, ReachabilityReply, Seconds(2 * self._options.ping_timeout_s)
        )
        return outcome.unwrap().alive if isinstance(outcome, Success) else None

    async def _on_reachability_request(self, _peer: Identity, request: ReachabilityRequest) -> ReachabilityReply:
        outcome = await self._messenger.call(
            request.address, MembershipRequest(), MembershipReply, self._options.ping_timeout_s
        )
        return ReachabilityReply(isinstance(outcome, Success))

    def missing(self) -> list[Identity]:
        """Returns routers that left recently, have not returned and may still be running."""
        return [router for router in self._selector.recently_departed(AUTONOMY_S) if not self.has_ended(router)]

    # Unresponsive allocators

    async def must_act_as_standby(self, tenant: TenantName) -> bool:
        """Returns whether this router is the standby and must act, because the allocator does not answer it."""
        own = self._messenger.identity.incarnation
        allocator, standby = self._selector.allocator(tenant), self._selector.standby(tenant)
        if allocator is None or standby is None or standby.incarnation != own:
            return False
        ping, now = self._pings.get(allocator.incarnation), self._now()
        if ping is None or now - ping.at > self._options.ping_validity_s:
            pinging = self._start_ping(allocator)
            if not self._is_unresponsive(allocator, now):  # Otherwise the stored result counts until the new answer.
                await asyncio.wait((pinging,), timeout=self._options.ping_timeout_s)
        return self._is_unresponsive(allocator, self._now())

    def _is_unresponsive(self, allocator: Identity, now: Instant) -> bool:
        """Returns whether that allocator did not answer the latest ping, and that ping is recent."""
        ping = self._pings.get(allocator.incarnation)
        return ping is not None and ping.unresponsive and now - ping.at <= UNRESPONSIVE_VALIDITY_S

    def _start_ping(self, router: Identity) -> asyncio.Task[None]:
        """Starts a ping, or returns the one that is already in progress for this router."""
        pinging = self._pinging.get(router.incarnation)
        if pinging is None:
            pinging = asyncio.get_running_loop().create_task(self._ping(router))
            self._pinging[router.incarnation] = pinging
        return pinging

    async def _ping(self, router: Identity) -> None:
        outcome = await self._messenger.call(
            router.internal, MembershipRequest(), MembershipReply, self._options.ping_timeout_s
        )
        self._pings[router.incarnation] = _Ping(self._now(), not isinstance(outcome, Success))
        self.check_ended(router, outcome)
        self._pinging.pop(router.incarnation, None)

    # Maintenance

    def drop_expired(self, now: Instant) -> None:
        """Drops results about former members, and ended processes after ``ENDED_VALIDITY_S``."""
        if self._pings:
            members = {router.incarnation for router in self._selector.routers()}
            self._pings = {router: ping for router, ping in self._pings.items() if router in members}
        for incarnation in [key for key, ended_at in self._ended.items() if now - ended_at > ENDED_VALIDITY_S]:
            del self._ended[incarnation]

    def ping_missing(self) -> None:
        """Pings the missing routers.

        An allocator reserves what missing routers may still use until they are known to have ended.
        """
        for router in self.missing():
            self._start_ping(router)

    def _now(self) -> Instant:
        return self._context.clock.monotonic()
