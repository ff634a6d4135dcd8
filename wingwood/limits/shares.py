"""Paid shares over the whole fleet: one token bucket and window per tenant (docs/DESIGN.md section 14.1)."""

from __future__ import annotations

from ..bundle.model import Tenant
from ..context.protocols import Context
from ..identifiers import Seconds, TenantName
from ..membership.protocols import Membership
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .keeper_standing import KeeperStanding
from .keepers import ShareKeepers
from .messages import LeaseAsk, LeaseGrant, MemberQuestion, UseAnswer, UseQuestion
from .protocols import ShareRefused
from .router_probes import RouterProbes
from .share_bounds import ShareBounds
from .share_keeper import ShareKeeper, TenantInForce
from .share_user import ENDLESS, ShareUser
from .tolerance import QuotaTolerance

SWEEP_EVERY = Seconds(0.5)


class FleetShares:
    """A ``Shares`` over all routers; each is also the keeper of some tenants.

    ``tenant_in_force`` gives the keeper its own bundle's view of a tenant (None: not there).
    """

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        membership: Membership,
        tenant_in_force: TenantInForce | None = None,
        bounds: ShareBounds | None = None,
        tolerance: QuotaTolerance | None = None,
    ) -> None:
        bounds, tolerance = bounds or ShareBounds(), tolerance or QuotaTolerance()
        self._context = context
        self._keepers = ShareKeepers(membership, context.clock)
        self._standing = KeeperStanding(context, messenger, membership, self._keepers, bounds)
        self._user = ShareUser(context, messenger, self._keepers, self._answer_ask, bounds, tolerance)
        self._keeper = ShareKeeper(
            context,
            messenger,
            self._keepers,
            self._standing,
            RouterProbes(context, messenger, self._keepers, bounds),
            tenant_in_force or (lambda _: None),
            self._use_of,
            bounds,
            tolerance,
        )
        self._sweeping = False
        messenger.on_call(LeaseAsk, self._answer_ask)
        messenger.on_call(UseQuestion, self._answer_use)
        messenger.on_call(MemberQuestion, self._standing.answer_member)

    def start(self) -> None:
        """Starts settling what was used; ``take`` does it too."""
        if not self._sweeping:
            self._sweeping = True
            self._standing.begin()
            self._context.tasks.spawn("shares sweep", self._sweep())

    async def take(self, tenant: Tenant, cost: int = 1) -> ShareRefused | None:
        """See ``Shares``. Waits at most ``ShareBounds.wait``, and only for what was not allowed before."""
        self.start()
        if not tenant.limited or cost <= 0:
            return None
        if tenant.paid_rate <= 0:
            return ShareRefused(ENDLESS)
        return await self._user.take(tenant, cost)

    def give_all_back(self) -> None:
        """At the router's stop."""
        self._user.give_all_back()

    def keeper_of(self, tenant: TenantName) -> Identity | None:
        """Which router keeps the tenant's share, as this one sees it."""
        return self._keepers.keeper(tenant)

    def deputy_of(self, tenant: TenantName) -> Identity | None:
        return self._keepers.deputy(tenant)

    async def _sweep(self) -> None:
        while True:
            await self._context.clock.sleep(SWEEP_EVERY)
            now = self._context.clock.monotonic()
            self._keeper.notice_gap(now)
            self._keeper.sweep(now)
            self._user.sweep(now)
            await self._standing.confirm_if_needed(now)

    # Messages

    async def _answer_ask(self, asker: Identity, ask: LeaseAsk) -> LeaseGrant:
        self.start()
        return await self._keeper.answer(asker, ask)

    async def _answer_use(self, peer: Identity, question: UseQuestion) -> UseAnswer:
        return self._keeper.hand_over(question.tenant, self._use_of(question))

    def _use_of(self, question: UseQuestion) -> UseAnswer:
        return self._user.use_of(question)
