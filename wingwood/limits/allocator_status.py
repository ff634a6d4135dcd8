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
from .share_options import ShareOptions

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
        options: ShareOptions,
    ) -> None:
        self._context = context
        self._messenger = messenger
        self._membership = membership
        self._selector = selector
        self._options = options
        self._peer_confirmed_until = Instant(0.0)
        self._last_check_at = context.clock.monotonic()
        self._confirmed_by_peers_only = False
        """Since the session was last confirmed, this allocator has continued on other routers' agreement alone."""
        messenger.on_call(MembershipRequest, self._on_membership_request)

    def start(self) -> None:
        """Starts the measurement of gaps between two checks."""
        self._last_check_at = self._context.clock.monotonic()

    def is_session_confirmed(self, now: Instant) -> bool:
        """Returns whether the session was confirmed so recently that this allocator cannot be partitioned off."""
        return self._session_fresh(now, self._options.session_confirmed_max_age_s)

    def detect_gap(self, now: Instant) -> bool:
        """Returns whether another allocator may have granted leases since the last check.

        This is possible after this process was paused, was partitioned, or lost its session.
        """
        session_fresh = self._session_fresh(now, self._options.peer_confirmation_after_s)
        returned = session_fresh and self._confirmed_by_peers_only
        self._confirmed_by_peers_only = not session_fresh
        confirmed = session_fresh or now <= self._peer_confirmed_until
        paused = now - self._last_check_at > self._options.gap_threshold_s
        self._last_check_at = now
        return not confirmed or returned or paused

    async def confirm_if_needed(self, now: Instant) -> None:
        """Asks other routers for confirmation when the session was not confirmed recently.

        While no control daemon answers, an allocator continues if a majority of the routers that it
        asks still regard it as a member.
        """
        if not self._session_fresh(now, 0.5 * self._options.peer_confirmation_after_s):
            await self._confirm()

    async def _confirm(self) -> None:
        own = self._messenger.identity.incarnation
        others = [router for router in self._selector.routers() if router.incarnation != own]
        asked_at = self._context.clock.monotonic()
        asked = self._context.random.sample(others, min(self._options.max_confirming_routers, len(others)))
        answers = await asyncio.gather(*(self._request_membership(router) for router in asked))
        agreeing = 1 + sum(1 for answer in answers if answer)
        if all(answer is not False for answer in answers) and 2 * agreeing > len(asked) + 1:
            self._peer_confirmed_until = Instant(asked_at + self._options.peer_confirmation_validity_s)

    async def _request_membership(self, router: Identity) -> bool | None:
        """Returns whether that router regards this one as a member, or None when it does not answer."""
        outcome = await self._messenger.call(
            router.internal, MembershipRequest(), MembershipReply, MEMBERSHIP_TIMEOUT_S
        )
        return outcome.unwrap().is_member if isinstance(outcome, Success) else None

    async def _on_membership_request(self, peer: Identity, _request: MembershipRequest) -> MembershipReply:
        return MembershipReply(self._membership.is_member(peer.incarnation))

    def _session_fresh(self, now: Instant, max_age_s: float) -> bool:
        confirmed_at = self._membership.session_confirmed_at()
        return confirmed_at is not None and now - confirmed_at <= max_age_s
