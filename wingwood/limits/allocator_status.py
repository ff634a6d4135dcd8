"""Checks whether a router may still act as a share allocator (docs/DESIGN.md section 14.1)."""

from __future__ import annotations

import asyncio

from returns.result import Success

from ..context.protocols import Context
from ..identifiers import Instant, Seconds
from ..membership.protocols import Membership
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .allocator_selector import AllocatorSelector
from .messages import MembershipReply, MembershipRequest
from .share_limits import ShareLimits

MEMBERSHIP_TIMEOUT_S = Seconds(0.3)


class AllocatorStatus:
    """Decides whether this router may allocate shares.

    The decision rests on the router's session with control and, while no control daemon answers, on
    the agreement of other routers that this router is still a member.
    """

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        membership: Membership,
        selector: AllocatorSelector,
        limits: ShareLimits,
    ) -> None:
        self._context = context
        self._messenger = messenger
        self._membership = membership
        self._selector = selector
        self._limits = limits
        self._confirmed_until = Instant(0.0)
        self._last_check_at = context.clock.monotonic()
        self._confirmed_by_routers_only = False
        """Since the session was last proven, this allocator has continued on the agreement of other routers alone."""

    def start(self) -> None:
        """Starts the measurement of gaps between two checks."""
        self._last_check_at = self._context.clock.monotonic()

    def is_session_proven(self, now: Instant) -> bool:
        """Returns whether the session was proven so recently that this allocator is certainly not partitioned off."""
        return self._session_fresh(now, self._limits.session_proven_max_age)

    def detect_gap(self, now: Instant) -> bool:
        """Returns whether another allocator may have granted leases since the last check.

        This is possible after this process was frozen, was partitioned, or lost its session.
        """
        proven = self._session_fresh(now, self._limits.session_confirm_age)
        returned = proven and self._confirmed_by_routers_only
        self._confirmed_by_routers_only = not proven
        confirmed = proven or now <= self._confirmed_until
        frozen = now - self._last_check_at > self._limits.gap_threshold
        self._last_check_at = now
        return not confirmed or returned or frozen

    async def confirm_if_needed(self, now: Instant) -> None:
        """Asks other routers for confirmation when the session was not proven recently.

        While no control daemon answers, an allocator continues if a majority of the routers that it
        asks still regard it as a member.
        """
        if not self._session_fresh(now, 0.5 * self._limits.session_confirm_age):
            await self._confirm()

    async def _confirm(self) -> None:
        own = self._messenger.identity.incarnation
        others = [router for router in self._selector.routers() if router.incarnation != own]
        asked_at = self._context.clock.monotonic()
        chosen = self._context.random.sample(others, min(self._limits.max_confirming_routers, len(others)))
        answers = await asyncio.gather(*(self._request_membership(router) for router in chosen))
        agreeing = 1 + sum(1 for answer in answers if answer)
        if all(answer is not False for answer in answers) and 2 * agreeing > len(chosen) + 1:
            self._confirmed_until = Instant(asked_at + self._limits.confirmation_validity)

    async def _request_membership(self, router: Identity) -> bool | None:
        """Returns whether that router regards this one as a member, or None when it does not answer."""
        outcome = await self._messenger.call(
            router.internal, MembershipRequest(), MembershipReply, MEMBERSHIP_TIMEOUT_S
        )
        return outcome.unwrap().is_member if isinstance(outcome, Success) else None

    async def answer_membership_request(self, peer: Identity, _: MembershipRequest) -> MembershipReply:
        return MembershipReply(self._membership.is_member(peer.incarnation))

    def _session_fresh(self, now: Instant, within: float) -> bool:
        proven = self._membership.session_confirmed_at()
        return proven is not None and now - proven <= within
