"""The keeper's side of paid shares: grants, and taking a share over from its keeper before (docs/DESIGN.md 14.1)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

import msgspec
from returns.result import Success

from ..bundle.model import Tenant
from ..context.protocols import Context
from ..identifiers import Instant, Seconds, TenantName
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .keeper_standing import KeeperStanding
from .keepers import ShareKeepers
from .kept_share import KeptShare
from .messages import LeaseAsk, LeaseGrant, UseAnswer, UseQuestion
from .router_probes import RouterProbes
from .share_bounds import ShareBounds
from .stand_in import StandIn
from .takeover import STEP
from .tolerance import QuotaPlan, QuotaTolerance, plan_of, plan_of_tenant

USE_TIMEOUT = Seconds(0.3)
CLOSED_AFTER_HANDING_OVER = Seconds(1.0)
"""A keeper that has told its bucket to the next one grants nothing for so long."""

TenantInForce = Callable[[TenantName], Tenant | None]
UseOf = Callable[[UseQuestion], UseAnswer]
"""What this router itself used."""


class ShareKeeper:
    """The shares that this router keeps, and those for whose keeper it stands in."""

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        keepers: ShareKeepers,
        standing: KeeperStanding,
        probes: RouterProbes,
        tenant_in_force: TenantInForce,
        use_of: UseOf,
        bounds: ShareBounds,
        tolerance: QuotaTolerance,
    ) -> None:
        self._context = context
        self._messenger = messenger
        self._keepers = keepers
        self._standing = standing
        self._probes = probes
        self._tenant_in_force = tenant_in_force
        self._use_of = use_of
        self._bounds = bounds
        self._tolerance = tolerance
        self._kept: dict[TenantName, KeptShare] = {}
        self._stand_ins: dict[TenantName, StandIn] = {}
        self._closed_until: dict[TenantName, Instant] = {}
        self._resting_until = Instant(0.0)

    # Asks

    async def answer(self, asker: Identity, ask: LeaseAsk) -> LeaseGrant:
        if not self._keeps(ask.tenant, self._now()):
            stands_in = await self._probes.deputizes(ask.tenant)
            if not self._keeps(ask.tenant, self._now()):  # Else the keeper has ended.
                return self._stand_in(ask) if stands_in else LeaseGrant(False)
        now = self._now()
        plan = self._plan(ask)
        kept = self._kept.get(ask.tenant)
        if kept is None:
            kept = self._begin_keeping(ask.tenant, plan, now)
        if kept.is_void(asker, ask):
            return LeaseGrant(False)
        kept.change(plan, now)
        if kept.gathering is None and not self._probes.missing():
            kept.missing_have_ended()
        proven = self._standing.is_proven(now)
        allowed = kept.settle(asker, ask, now, may_rise=proven)
        granted, wait = await self._granted(kept, ask.costs, limited=not proven)
        now = self._now()
        room = kept.room(now, limited=not proven)
        plenty = min(room) >= max(2.0 * plan.credit, 0.25 * plan.bucket)
        return LeaseGrant(True, False, granted, wait, allowed, plenty, kept.view(room[0], now))

    async def _granted(self, kept: KeptShare, costs: Sequence[int], limited: bool) -> tuple[tuple[bool, ...], Seconds]:
        """As ``KeptShare.grant``; what does not fit is tried again when a new keeper has heard from the others."""
        granted, wait = kept.grant(costs, self._now(), limited)
        if kept.gathering is None or all(granted):
            return granted, wait
        await asyncio.wait((kept.gathering,), timeout=0.8 * self._bounds.hedge)
        refused = [cost for cost, fits in zip(costs, granted, strict=True) if not fits]
        more, wait = kept.grant(refused, self._now(), limited)
        later = iter(more)
        return tuple(fits or next(later) for fits in granted), wait

    def _plan(self, ask: LeaseAsk) -> QuotaPlan:
        in_force = self._tenant_in_force(ask.tenant)
        if in_force is not None and in_force.paid_rate > 0:
            return plan_of_tenant(in_force, self._tolerance)
        return plan_of(ask.paid_rate, ask.burst, ask.unit, self._tolerance)

    def _stand_in(self, ask: LeaseAsk) -> LeaseGrant:
        now = self._now()
        account = self._stand_ins.get(ask.tenant)
        if account is None:
            account = self._stand_ins[ask.tenant] = StandIn(self._plan(ask), self._tolerance.window, now)
        return LeaseGrant(True, True, account.grant(ask.costs, ask.poured, now))

    # Which shares

    def _keeps(self, tenant: TenantName, now: Instant) -> bool:
        keeper = self._keepers.keeper(tenant)
        self.notice_gap(now)
        if keeper is not None and self._probes.has_ended(keeper):
            keeper = self._keepers.deputy(tenant)
        if keeper is None or keeper.incarnation != self._messenger.identity.incarnation:
            self._kept.pop(tenant, None)
            return False
        return now >= max(self._resting_until, self._closed_until.get(tenant, 0.0))

    def notice_gap(self, now: Instant) -> None:
        """After a freeze or a cut another keeper may have granted: begin anew from the routers' reports.

        The rest lets asks go by that were waiting in buffers and whose askers have long gone on.
        """
        if self._standing.notice_gap(now):
            self._kept.clear()
            self._resting_until = Instant(now + self._bounds.rest)

    def sweep(self, now: Instant) -> None:
        """Drops what is kept no longer or no longer counts, and asks after routers that are missing."""
        for tenant, kept in list(self._kept.items()):
            self._keeps(tenant, now)
            kept.forget_silent(now)
        self._probes.forget_old(now)
        if self._kept:
            self._probes.ping_missing()
        for tenant in [tenant for tenant, until in self._closed_until.items() if until <= now]:
            del self._closed_until[tenant]

    # From one keeper to the next

    def _begin_keeping(self, tenant: TenantName, plan: QuotaPlan, now: Instant) -> KeptShare:
        kept = self._kept[tenant] = KeptShare(plan, self._tolerance.window, plan.reserve, now)
        if self._keepers.count() <= self._bounds.most_gathered:
            kept.gathered = True
            kept.gathering = asyncio.get_running_loop().create_future()
            self._context.tasks.spawn("share gather", self._gather(tenant, kept, kept.gathering))
        return kept

    async def _gather(self, tenant: TenantName, kept: KeptShare, done: asyncio.Future[None]) -> None:
        """A new keeper asks the routers what the tenant used and may go on using."""
        try:
            routers = [router for router in self._keepers.routers() if not self._probes.has_ended(router)]
            question = UseQuestion(tenant, kept.window, STEP)
            answers = await asyncio.gather(*(self._ask_use(router, question) for router in routers))
            if self._kept.get(tenant) is kept:
                self._begin(tenant, kept, list(zip(routers, answers, strict=True)))
        finally:
            kept.gathering = None
            done.set_result(None)

    def _begin(self, tenant: TenantName, kept: KeptShare, reports: list[tuple[Identity, UseAnswer | None]]) -> None:
        silent = [router for router, answer in reports if answer is None and not self._probes.has_ended(router)]
        missing = self._probes.missing() + silent
        keeper_missing = self._keepers.keeper_before(tenant, missing)
        kept.begin(reports, len(missing), keeper_missing, self._now())
        self._context.log.event("share-keeper-began", tenant=tenant, level=kept.bucket.level)

    async def _ask_use(self, router: Identity, question: UseQuestion) -> UseAnswer | None:
        if router.incarnation == self._messenger.identity.incarnation:
            return self._use_of(question)
        outcome = await self._messenger.call(router.internal, question, UseAnswer, USE_TIMEOUT)
        self._probes.note_ended(router, outcome)
        return outcome.unwrap() if isinstance(outcome, Success) else None

    def hand_over(self, tenant: TenantName, own_use: UseAnswer) -> UseAnswer:
        """Another router keeps the share from now on: adds to what this one used what its bucket held."""
        now = self._now()
        kept = self._kept.pop(tenant, None)
        if kept is None:
            return own_use
        self._closed_until[tenant] = Instant(now + CLOSED_AFTER_HANDING_OVER)
        if kept.gathering is not None:
            return own_use
        kept.bucket.fill(now)
        return msgspec.structs.replace(own_use, level=kept.bucket.level)

    def _now(self) -> Instant:
        return self._context.clock.monotonic()
