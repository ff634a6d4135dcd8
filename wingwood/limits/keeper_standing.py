"""Whether a router may still act as a keeper of shares (docs/DESIGN.md section 14.1)."""

from __future__ import annotations

import asyncio

from returns.result import Success

from ..context.protocols import Context
from ..identifiers import Instant, Seconds
from ..membership.protocols import Membership
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .keepers import ShareKeepers
from .messages import MemberAnswer, MemberQuestion
from .share_bounds import ShareBounds

MEMBER_TIMEOUT = Seconds(0.3)


class KeeperStanding:
    """By the own session with control and, while no control daemon answers, by other routers' agreement."""

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        membership: Membership,
        keepers: ShareKeepers,
        bounds: ShareBounds,
    ) -> None:
        self._context = context
        self._messenger = messenger
        self._membership = membership
        self._keepers = keepers
        self._bounds = bounds
        self._confirmed_until = Instant(0.0)
        self._noticed_at = context.clock.monotonic()
        self._only_confirmed = False
        """Since the session was last proven this keeper has gone on by other routers' agreement."""

    def begin(self) -> None:
        """This router looks for gaps from now on."""
        self._noticed_at = self._context.clock.monotonic()

    def is_proven(self, now: Instant) -> bool:
        """The session was proven so lately that this keeper is surely not cut off."""
        return self._session_fresh(now, self._bounds.proven)

    def notice_gap(self, now: Instant) -> bool:
        """Whether another keeper may have granted since the last look: after a freeze, a cut, or a lost session."""
        proven = self._session_fresh(now, self._bounds.session)
        returned = proven and self._only_confirmed
        self._only_confirmed = not proven
        stands = proven or now <= self._confirmed_until
        frozen = now - self._noticed_at > self._bounds.gap
        self._noticed_at = now
        return not stands or returned or frozen

    async def confirm_if_needed(self, now: Instant) -> None:
        """While no control daemon answers, keepers go on if most routers still count them in."""
        if not self._session_fresh(now, 0.5 * self._bounds.session):
            await self._confirm()

    async def _confirm(self) -> None:
        own = self._messenger.identity.incarnation
        others = [router for router in self._keepers.routers() if router.incarnation != own]
        asked = self._context.clock.monotonic()
        chosen = self._context.random.sample(others, min(self._bounds.most_confirming, len(others)))
        answers = await asyncio.gather(*(self._ask_member(router) for router in chosen))
        agreeing = 1 + sum(1 for answer in answers if answer)
        if all(answer is not False for answer in answers) and 2 * agreeing > len(chosen) + 1:
            self._confirmed_until = Instant(asked + self._bounds.confirmed)

    async def _ask_member(self, router: Identity) -> bool | None:
        """Whether that router counts this one in; None: no answer."""
        outcome = await self._messenger.call(router.internal, MemberQuestion(), MemberAnswer, MEMBER_TIMEOUT)
        return outcome.unwrap().known if isinstance(outcome, Success) else None

    async def answer_member(self, peer: Identity, _: MemberQuestion) -> MemberAnswer:
        return MemberAnswer(self._membership.is_member(peer.incarnation))

    def _session_fresh(self, now: Instant, within: float) -> bool:
        proven = self._membership.session_proven_at()
        return proven is not None and now - proven <= within
