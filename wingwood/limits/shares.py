"""Paid shares over the whole fleet: one token bucket and window per tenant (docs/DESIGN.md section 14.1)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from ..bundle.model import Tenant
from ..context.protocols import Context
from ..identifiers import Incarnation, Instant, Seconds, TenantName
from ..membership.protocols import Membership
from ..transport.frames import Identity
from ..transport.messenger import Messenger, TransportFault
from .keepers import ShareKeepers
from .kept_share import AUTONOMY, KeptShare
from .messages import LeaseAsk, LeaseGrant, MemberAnswer, MemberQuestion, UseAnswer, UseQuestion
from .protocols import ShareRefused
from .router_share import SETTLE, RouterShare, Waiter
from .stand_in import StandIn
from .takeover import STEP
from .tolerance import QuotaPlan, QuotaTolerance, plan_of, plan_of_tenant

ENDLESS = Seconds(60.0)
"""Longest wait that a refused caller is told."""


class ShareBounds(msgspec.Struct, frozen=True):
    wait: Seconds = Seconds(0.1)
    """Longest wait of a call for its keeper and the keeper's deputy."""
    hedge: Seconds = Seconds(0.04)
    """After this without an answer of the keeper its deputy is asked."""
    ask: Seconds = Seconds(0.25)
    """How long an ask itself may take; a grant that comes late is still noted."""
    probe: Seconds = Seconds(0.1)
    """Between asks while the keeper does not answer."""
    empty_pause: Seconds = Seconds(0.1)
    """Shortest time for which an empty bucket is not asked again; what accrues meanwhile stays in it."""
    proven: Seconds = Seconds(0.75)
    """A keeper whose session was proven longer ago may be cut off, so it grants little."""
    session: Seconds = Seconds(1.5)
    """A keeper whose session was proven longer ago asks other routers whether it still is a member."""
    confirmed: Seconds = Seconds(1.5)
    """How long their agreement counts."""
    most_confirming: int = 24
    """Routers asked for it; more than half must agree and none deny."""
    ping: Seconds = Seconds(0.05)
    """How long a deputy waits for the keeper's sign of life."""
    ping_counts: Seconds = Seconds(0.3)
    """How long what it finds counts without another question; that it was silent, until the answer to that."""
    gap: Seconds = Seconds(0.75)
    """A keeper that did not run for this long was frozen and may have been replaced."""
    rest: Seconds = Seconds(0.25)
    most_gathered: int = 128
    """With more routers a new keeper asks nobody and lets its bucket fill from the reserve: a thousand answers
    and connections at each change of members cost more than a second's saved share is worth."""


TOKEN, FALLBACK = "token", "fallback"


class FleetShares:
    """A ``Shares`` over all routers; each is also the keeper of some tenants.

    ``tenant_in_force`` gives the keeper its own bundle's view of a tenant (None: not there).
    """

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        membership: Membership,
        tenant_in_force: Callable[[TenantName], Tenant | None] | None = None,
        bounds: ShareBounds | None = None,
        tolerance: QuotaTolerance | None = None,
    ) -> None:
        self._context = context
        self._messenger = messenger
        self._membership = membership
        self._tenant_in_force = tenant_in_force or (lambda _: None)
        self._bounds = bounds or ShareBounds()
        self._tolerance = tolerance or QuotaTolerance()
        self._keepers = ShareKeepers(membership, context.clock)
        self._shares: dict[TenantName, RouterShare] = {}
        self._kept: dict[TenantName, KeptShare] = {}
        self._stand_ins: dict[TenantName, StandIn] = {}
        self._closed_until: dict[TenantName, Instant] = {}
        self._started = context.clock.monotonic()
        self._confirmed_until = Instant(0.0)
        self._noticed_at = self._started
        self._pings: dict[Incarnation, tuple[Instant, bool]] = {}
        """What a deputy found of keepers: when, and whether silent."""
        self._pinging: dict[Incarnation, asyncio.Task[None]] = {}
        self._ended: dict[Incarnation, Instant] = {}
        """Processes that have ended, and when that was found."""
        self._resting_until = Instant(0.0)
        self._only_confirmed = False
        """Since the session was last proven this keeper has gone on by other routers' agreement."""
        messenger.on_call(LeaseAsk, self._answer_ask)
        messenger.on_call(UseQuestion, self._answer_use)
        messenger.on_call(MemberQuestion, self._answer_member)
        self._sweeping = False
        self._asks = 0

    def start(self) -> None:
        """Starts settling what was used; ``take`` does it too."""
        if not self._sweeping:
            self._sweeping = True
            self._noticed_at = self._context.clock.monotonic()
            self._context.tasks.spawn("shares sweep", self._sweep())

    # The router's side

    async def take(self, tenant: Tenant, cost: int = 1) -> ShareRefused | None:
        """See ``Shares``. Waits at most ``ShareBounds.wait``, and only for what was not allowed before."""
        self.start()
        if not tenant.limited or cost <= 0:
            return None
        if tenant.paid_rate <= 0:
            return ShareRefused(ENDLESS)
        now = self._context.clock.monotonic()
        share = self._share_of(tenant, now)
        share.offered_at = now
        if share.take(cost, now):
            self._settle_soon(share)
            return None
        if now < share.empty_until:
            return self._refused(share, cost, now)
        if share.unreachable_since is not None and (share.asking or now < share.next_probe):
            return self._refused(share, cost, now)
        outcome = await self._wait_for_keeper(share, cost)
        if outcome == TOKEN:
            return None
        if isinstance(outcome, ShareRefused):
            return outcome
        now = self._context.clock.monotonic()
        self._mark_unreachable(share, now)
        if share.take(cost, now):
            return None
        return self._refused(share, cost, now)

    def _share_of(self, tenant: Tenant, now: Instant) -> RouterShare:
        routers = self._keepers.count()
        share = self._shares.get(tenant.name)
        if share is None:
            share = RouterShare(tenant, self._tolerance, routers, self._started, now)
            self._shares[tenant.name] = share
        share.update(tenant, routers, now)
        return share

    def _refused(self, share: RouterShare, cost: int, now: Instant) -> ShareRefused:
        wait = share.wait_for_own(cost, now)
        if not share.lost:
            wait = min(wait, Seconds(max(share.empty_until - now, cost / share.plan.rate)))
        return ShareRefused(Seconds(min(ENDLESS, max(self._bounds.empty_pause, wait))))

    async def _wait_for_keeper(self, share: RouterShare, cost: int) -> ShareRefused | str:
        waiter = Waiter(cost, asyncio.get_running_loop().create_future())
        share.waiters.append(waiter)
        self._start_asking(share, self._context.clock.monotonic())
        try:
            await asyncio.wait((waiter.outcome,), timeout=self._bounds.wait)
            return waiter.outcome.result() if waiter.outcome.done() else FALLBACK
        finally:
            if not waiter.outcome.done():
                waiter.outcome.cancel()
            if waiter in share.waiters:
                share.waiters.remove(waiter)

    def _settle_soon(self, share: RouterShare) -> None:
        """One ask for all that is used meanwhile; at once when the last answer is a while ago."""
        if share.asking or share.settling:
            return
        share.settling = True
        self._context.tasks.spawn("share settle", self._settle(share))

    async def _settle(self, share: RouterShare) -> None:
        now = self._context.clock.monotonic()
        last = share.contact if share.contact is not None else now - SETTLE
        if share.credit_used(now) < 0.5 * share.credit.most:
            await self._context.clock.sleep(Seconds(max(0.0, min(SETTLE, last + SETTLE - now))))
        share.settling = False
        now = self._context.clock.monotonic()
        if share.unsettled and (share.unreachable_since is None or now >= share.next_probe):
            self._start_asking(share, now)

    def _start_asking(self, share: RouterShare, now: Instant) -> None:
        if not share.asking:
            share.asking = True
            share.next_probe = Instant(now + self._bounds.probe)
            self._context.tasks.spawn("share ask", self._ask(share))

    async def _ask(self, share: RouterShare) -> None:
        try:
            while await self._ask_once(share):
                pass
        finally:
            share.asking = False

    async def _ask_once(self, share: RouterShare) -> bool:
        """One question to the keeper; whether there is need for another at once."""
        now = self._context.clock.monotonic()
        name = share.tenant.name
        if not share.waiters and not share.has_to_tell(now) and share.unreachable_since is None:
            return False
        keeper = self._keepers.keeper(name)
        if keeper is None:
            self._mark_unreachable(share, now)
            return False
        if share.deputy_of != keeper.incarnation:
            share.deputy_of = None
        deputized = share.deputy_of is not None
        asked = self._keepers.deputy(name) if deputized else keeper
        waiters, reports, credit_used = list(share.waiters), share.reports, share.credit_used(now)
        self._asks += 1
        ask = share.ask(self._asks, tuple(waiter.cost for waiter in waiters), deputized, now)
        sent = _Sent(share, ask, waiters, credit_used, now)
        grant = None if asked is None else await self._ask_router(sent, asked, deputized)
        now = self._context.clock.monotonic()
        if grant is None or not grant.keeper:
            if share.reports == reports:
                share.unsettled += ask.used
            if grant is not None:  # Who declines has not taken it.
                share.own.level += ask.poured
            share.deputy_stands = False
            # The deputy is asked at once in the keeper's place; when it declines too, the keeper is next.
            share.deputy_of = None if deputized else keeper.incarnation
            share.note_lost(now)
            if not deputized:
                return True
            self._mark_unreachable(share, now)
            return False
        if share.unreachable_since is not None:
            share.unreachable_since = None
            self._context.log.event("share-keeper-answers", tenant=name, keeper=keeper.name, by_deputy=deputized)
        share.deputy_stands = grant.stands_in
        if not grant.stands_in:
            share.own.level += ask.poured
            share.note_answer(grant, sent.at, credit_used, now)
        elif share.reports == reports:
            share.unsettled += ask.used
        self._hand_out(sent, grant, now)
        return bool(share.waiters)

    def _hand_out(self, sent: _Sent, grant: LeaseGrant, now: Instant) -> None:
        """Tells the calls that were asked for; the grant of one that did not wait is kept for the next."""
        share, refused = sent.share, False
        if not all(grant.granted) and not grant.stands_in:
            share.plenty = False
        for waiter, granted in zip(sent.waiters, grant.granted, strict=False):
            if waiter in share.waiters:
                share.waiters.remove(waiter)
            if waiter.outcome.done():
                if granted:
                    share.keep_spare(waiter.cost, grant.stands_in, now)
                continue
            if granted:
                share.count(waiter.cost, now)
                if grant.stands_in:
                    share.unsettled += waiter.cost
                waiter.tell(TOKEN)
                continue
            if share.take(waiter.cost, now):
                waiter.tell(TOKEN)
                continue
            refused = True
            pause = Seconds(max(grant.wait, self._bounds.empty_pause))
            wait = max(self._bounds.empty_pause, min(share.wait_for_own(waiter.cost, now), pause))
            waiter.tell(ShareRefused(Seconds(min(ENDLESS, wait))))
        if refused:
            share.empty_until = Instant(
                now + min(max(1.0, grant.wait / self._bounds.empty_pause), 2.5) * self._bounds.empty_pause
            )

    async def _ask_router(self, sent: _Sent, router: Identity, deputized: bool) -> LeaseGrant | None:
        """The answer, or None after ``ShareBounds.hedge``; a keeper's later one is still noted when it comes."""
        if router.incarnation == self._messenger.identity.incarnation:
            return await self._answer_ask(router, sent.ask)
        call = asyncio.get_running_loop().create_task(
            self._messenger.call(router.internal, sent.ask, LeaseGrant, self._bounds.ask)
        )
        await asyncio.wait((call,), timeout=None if deputized else self._bounds.hedge)
        if not call.done():
            call.add_done_callback(lambda done: self._take_late(sent, done))
            return None
        outcome = call.result()
        return outcome.unwrap() if isinstance(outcome, Success) else None

    def _take_late(self, sent: _Sent, call: asyncio.Task[Result[LeaseGrant, TransportFault]]) -> None:
        if call.cancelled() or not isinstance(outcome := call.result(), Success):
            return
        grant: LeaseGrant = outcome.unwrap()
        if not grant.keeper:
            return
        now, share = self._context.clock.monotonic(), sent.share
        share.deputy_of = share.unreachable_since = None
        share.unsettled = max(0, share.unsettled - sent.ask.used)
        if not grant.stands_in:
            share.note_answer(grant, sent.at, sent.credit_used, now)
        self._hand_out(sent, grant, now)

    def _mark_unreachable(self, share: RouterShare, now: Instant) -> None:
        """From now on only what may be used without asking counts, until the keeper has answered an ask."""
        share.note_lost(now)
        if share.unreachable_since is None:
            share.unreachable_since = now
            share.next_probe = Instant(now + self._bounds.probe)
            self._context.log.event("share-keeper-unreachable", tenant=share.tenant.name)
        while share.waiters:
            share.waiters.popleft().tell(FALLBACK)

    async def _sweep(self) -> None:
        while True:
            await self._context.clock.sleep(Seconds(0.5))
            now = self._context.clock.monotonic()
            self._notice_gap(now)
            for tenant, kept in list(self._kept.items()):
                self._keeps(tenant, now)
                kept.forget_silent(now)
            if self._pings:
                members = {router.incarnation for router in self._keepers.routers()}
                self._pings = {keeper: found for keeper, found in self._pings.items() if keeper in members}
            self._sweep_ended(now)
            for tenant in [tenant for tenant, until in self._closed_until.items() if until <= now]:
                del self._closed_until[tenant]
            for share in list(self._shares.values()):
                self._sweep_share(share, now)
            if not self._session_fresh(now, 0.5 * self._bounds.session):
                await self._confirm_membership()

    def _sweep_ended(self, now: Instant) -> None:
        for incarnation in [key for key, found in self._ended.items() if now - found > 6 * AUTONOMY]:
            del self._ended[incarnation]
        for router in self._missing() if self._kept else []:
            if router.incarnation not in self._pinging:
                self._pinging[router.incarnation] = asyncio.get_running_loop().create_task(self._ping(router))

    def _sweep_share(self, share: RouterShare, now: Instant) -> None:
        if share.has_to_tell(now):
            self._start_asking(share, now)
        elif not (share.asking or share.waiters or share.accepted.count(now)) and now - share.offered_at > AUTONOMY:
            self._shares.pop(share.tenant.name, None)

    def keeper_of(self, tenant: TenantName) -> Identity | None:
        """Which router keeps the tenant's share, as this one sees it."""
        return self._keepers.keeper(tenant)

    def deputy_of(self, tenant: TenantName) -> Identity | None:
        return self._keepers.deputy(tenant)

    def give_all_back(self) -> None:
        """At the router's stop."""
        now = self._context.clock.monotonic()
        for share in self._shares.values():
            share.offered_at = Instant(float("-inf"))
            if share.has_to_tell(now):
                self._start_asking(share, now)

    # The keeper's side

    async def _answer_ask(self, asker: Identity, ask: LeaseAsk) -> LeaseGrant:
        self.start()
        if not self._keeps(ask.tenant, self._context.clock.monotonic()):
            stands_in = await self._deputizes(ask.tenant)
            if not self._keeps(ask.tenant, self._context.clock.monotonic()):  # Else the keeper has ended.
                return self._stand_in(ask) if stands_in else LeaseGrant(False)
        now = self._context.clock.monotonic()
        plan = self._plan(ask)
        kept = self._kept.get(ask.tenant)
        if kept is None:
            kept = self._begin_keeping(ask.tenant, plan, now)
        if kept.is_void(asker, ask):
            return LeaseGrant(False)
        kept.change(plan, now)
        if kept.gathering is None and not self._missing():
            kept.missing_have_ended()
        proven = self._session_fresh(now, self._bounds.proven)
        allowed = kept.settle(asker, ask, now, may_rise=proven)
        granted, wait = kept.grant(ask.costs, now, limited=not proven)
        if kept.gathering is not None and not all(granted):
            await asyncio.wait((kept.gathering,), timeout=0.8 * self._bounds.hedge)
            now = self._context.clock.monotonic()
            refused = [cost for cost, fits in zip(ask.costs, granted, strict=True) if not fits]
            more, wait = kept.grant(refused, now, limited=not proven)
            later = iter(more)
            granted = tuple(fits or next(later) for fits in granted)
        room = kept.room(now, limited=not proven)
        plenty = min(room) >= max(2.0 * plan.credit, 0.25 * plan.bucket)
        return LeaseGrant(True, False, granted, wait, allowed, plenty, kept.view(room[0], now))

    def _plan(self, ask: LeaseAsk) -> QuotaPlan:
        in_force = self._tenant_in_force(ask.tenant)
        if in_force is not None and in_force.paid_rate > 0:
            return plan_of_tenant(in_force, self._tolerance)
        return plan_of(ask.paid_rate, ask.burst, ask.unit, self._tolerance)

    def _begin_keeping(self, tenant: TenantName, plan: QuotaPlan, now: Instant) -> KeptShare:
        kept = self._kept[tenant] = KeptShare(plan, self._tolerance.window, plan.reserve, now)
        if self._keepers.count() <= self._bounds.most_gathered:
            kept.gathered = True
            kept.gathering = asyncio.get_running_loop().create_future()
            self._context.tasks.spawn("share gather", self._gather(tenant, kept, kept.gathering))
        return kept

    def _keeps(self, tenant: TenantName, now: Instant) -> bool:
        keeper = self._keepers.keeper(tenant)
        self._notice_gap(now)
        if keeper is not None and keeper.incarnation in self._ended:
            keeper = self._keepers.deputy(tenant)
        if keeper is None or keeper.incarnation != self._messenger.identity.incarnation:
            self._kept.pop(tenant, None)
            return False
        return now >= max(self._resting_until, self._closed_until.get(tenant, 0.0))

    def _stand_in(self, ask: LeaseAsk) -> LeaseGrant:
        now = self._context.clock.monotonic()
        account = self._stand_ins.get(ask.tenant)
        if account is None:
            account = self._stand_ins[ask.tenant] = StandIn(self._plan(ask), self._tolerance.window, now)
        return LeaseGrant(True, True, account.grant(ask.costs, ask.poured, now))

    async def _deputizes(self, tenant: TenantName) -> bool:
        """Whether this router stands in for the keeper: it is the next in order, and no keeper answers it."""
        own = self._messenger.identity.incarnation
        keeper, deputy = self._keepers.keeper(tenant), self._keepers.deputy(tenant)
        if keeper is None or deputy is None or deputy.incarnation != own:
            return False
        found, now = self._pings.get(keeper.incarnation), self._context.clock.monotonic()
        if found is None or now - found[0] > self._bounds.ping_counts:
            pinging = self._pinging.get(keeper.incarnation)
            if pinging is None:
                pinging = self._pinging[keeper.incarnation] = asyncio.get_running_loop().create_task(self._ping(keeper))
            if not self._is_down(keeper, now):  # Else what was found counts until the new answer.
                await asyncio.wait((pinging,), timeout=self._bounds.ping)
        return self._is_down(keeper, self._context.clock.monotonic())

    def _is_down(self, keeper: Identity, now: Instant) -> bool:
        """Whether this router, as a deputy, has lately found that keeper silent."""
        found = self._pings.get(keeper.incarnation)
        return found is not None and found[1] and now - found[0] <= 1.0

    async def _ping(self, keeper: Identity) -> None:
        outcome = await self._messenger.call(keeper.internal, MemberQuestion(), MemberAnswer, self._bounds.ping)
        self._pings[keeper.incarnation] = (self._context.clock.monotonic(), not isinstance(outcome, Success))
        self._note_ended(keeper, outcome)
        self._pinging.pop(keeper.incarnation, None)

    def _note_ended(self, router: Identity, outcome: Result[Any, TransportFault]) -> None:
        """A machine that refuses connections is reached, and has no such process any more."""
        if isinstance(outcome, Failure):
            fault = outcome.failure()
            if fault.kind == "unreachable" and fault.detail.startswith("refused"):
                self._ended[router.incarnation] = self._context.clock.monotonic()

    def _missing(self) -> list[Identity]:
        """Routers that left lately, have not come back and may still be running."""
        return [router for router in self._keepers.gone(AUTONOMY) if router.incarnation not in self._ended]

    def _notice_gap(self, now: Instant) -> None:
        """After a freeze or a cut another keeper may have granted: begin anew from the routers' reports.

        The rest lets asks go by that were waiting in buffers and whose askers have long gone on.
        """
        proven = self._session_fresh(now, self._bounds.session)
        returned = proven and self._only_confirmed
        self._only_confirmed = not proven
        stands = proven or now <= self._confirmed_until
        if not stands or returned or now - self._noticed_at > self._bounds.gap:
            self._kept.clear()
            self._resting_until = Instant(now + self._bounds.rest)
        self._noticed_at = now

    async def _gather(self, tenant: TenantName, kept: KeptShare, done: asyncio.Future[None]) -> None:
        """A new keeper asks the routers what the tenant used and may go on using."""
        try:
            routers = [router for router in self._keepers.routers() if router.incarnation not in self._ended]
            question = UseQuestion(tenant, kept.window, STEP)
            answers = await asyncio.gather(*(self._ask_use(router, question) for router in routers))
            if self._kept.get(tenant) is kept:
                self._begin(tenant, kept, list(zip(routers, answers, strict=True)))
        finally:
            kept.gathering = None
            done.set_result(None)

    def _begin(self, tenant: TenantName, kept: KeptShare, reports: list[tuple[Identity, UseAnswer | None]]) -> None:
        silent = [router for router, answer in reports if answer is None and router.incarnation not in self._ended]
        missing = self._missing() + silent
        keeper_missing = self._keepers.keeper_before(tenant, missing)
        kept.begin(reports, len(missing), keeper_missing, self._context.clock.monotonic())
        self._context.log.event("share-keeper-began", tenant=tenant, level=kept.bucket.level)

    async def _ask_use(self, router: Identity, question: UseQuestion) -> UseAnswer | None:
        if router.incarnation == self._messenger.identity.incarnation:
            return self._use_of(question)
        outcome = await self._messenger.call(router.internal, question, UseAnswer, Seconds(0.3))
        self._note_ended(router, outcome)
        return outcome.unwrap() if isinstance(outcome, Success) else None

    async def _answer_use(self, peer: Identity, question: UseQuestion) -> UseAnswer:
        answer = self._use_of(question)
        now = self._context.clock.monotonic()
        kept = self._kept.pop(question.tenant, None)
        if kept is None:
            return answer
        self._closed_until[question.tenant] = Instant(now + 1.0)
        if kept.gathering is not None:
            return answer
        kept.bucket.fill(now)
        return msgspec.structs.replace(answer, level=kept.bucket.level)

    def _use_of(self, question: UseQuestion) -> UseAnswer:
        now = self._context.clock.monotonic()
        known = Seconds(min(question.window, now - self._started))
        share = self._shares.get(question.tenant)
        if share is None:
            return UseAnswer((), known, None, self._asks)
        return share.report(question.window, question.step, known, self._asks, now)

    # Whether this keeper still is a member

    def _session_fresh(self, now: Instant, within: float) -> bool:
        proven = self._membership.session_proven_at()
        return proven is not None and now - proven <= within

    async def _confirm_membership(self) -> None:
        """While no control daemon answers, keepers go on if most routers still count them in."""
        own = self._messenger.identity.incarnation
        others = [router for router in self._keepers.routers() if router.incarnation != own]
        asked = self._context.clock.monotonic()
        chosen = self._context.random.sample(others, min(self._bounds.most_confirming, len(others)))
        answers = await asyncio.gather(*(self._ask_member(router) for router in chosen))
        agreeing = 1 + sum(1 for answer in answers if answer)
        if all(answer is not False for answer in answers) and 2 * agreeing > len(chosen) + 1:
            self._confirmed_until = Instant(asked + self._bounds.confirmed)

    async def _ask_member(self, router: Identity) -> bool | None:
        outcome = await self._messenger.call(router.internal, MemberQuestion(), MemberAnswer, Seconds(0.3))
        return outcome.unwrap().known if isinstance(outcome, Success) else None

    async def _answer_member(self, peer: Identity, _: MemberQuestion) -> MemberAnswer:
        return MemberAnswer(self._membership.is_member(peer.incarnation))


class _Sent(msgspec.Struct, frozen=True, eq=False):
    """An ask under way."""

    share: RouterShare
    ask: LeaseAsk
    waiters: Sequence[Waiter]
    credit_used: float
    at: Instant
