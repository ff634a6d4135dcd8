"""A router's side of paid shares: takes from what it was allowed, asks the keeper for more (docs/DESIGN.md 14.1)."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence

import msgspec
from returns.result import Result, Success

from ..bundle.model import Tenant
from ..context.protocols import Context
from ..identifiers import Instant, Seconds, TenantName
from ..transport.frames import Identity
from ..transport.messenger import Messenger, TransportFault
from .keepers import ShareKeepers
from .kept_share import AUTONOMY
from .messages import LeaseAsk, LeaseGrant, UseAnswer, UseQuestion
from .protocols import ShareRefused
from .router_share import SETTLE, RouterShare, Waiter
from .share_bounds import ShareBounds
from .tolerance import QuotaTolerance

ENDLESS = Seconds(60.0)
"""Longest wait that a refused caller is told."""
LONGEST_EMPTY_PAUSES = 2.5
"""An empty bucket is asked again after at most so many times ``ShareBounds.empty_pause``."""
TOKEN, FALLBACK = "token", "fallback"
"""What a waiting call is told: it was granted one, or must make do with what is here."""

AnswerAsk = Callable[[Identity, LeaseAsk], Awaitable[LeaseGrant]]
"""This router's own answer as a keeper."""


class SentAsk(msgspec.Struct, frozen=True, eq=False):
    """An ask under way."""

    share: RouterShare
    ask: LeaseAsk
    waiters: Sequence[Waiter]
    keeper: Identity
    deputized: bool
    """It goes to the keeper's deputy."""
    reports: int
    """``RouterShare.reports`` when it was sent: a later report holds what the ask tells of use."""
    credit_used: float
    at: Instant


class ShareUser:
    """What this router uses of all tenants' shares."""

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        keepers: ShareKeepers,
        answer_ask: AnswerAsk,
        bounds: ShareBounds,
        tolerance: QuotaTolerance,
    ) -> None:
        self._context = context
        self._messenger = messenger
        self._keepers = keepers
        self._answer_ask = answer_ask
        self._bounds = bounds
        self._tolerance = tolerance
        self._shares: dict[TenantName, RouterShare] = {}
        self._started = context.clock.monotonic()
        self._asks = 0

    # Taking

    async def take(self, tenant: Tenant, cost: int) -> ShareRefused | None:
        """Waits at most ``ShareBounds.wait``, and only for what was not allowed before."""
        now = self._now()
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
        now = self._now()
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
        self._start_asking(share, self._now())
        try:
            timeout = self._bounds.starting_wait if self._is_starting() else self._bounds.wait
            await asyncio.wait((waiter.outcome,), timeout=timeout)
            return waiter.outcome.result() if waiter.outcome.done() else FALLBACK
        finally:
            if not waiter.outcome.done():
                waiter.outcome.cancel()
            if waiter in share.waiters:
                share.waiters.remove(waiter)

    # When to ask

    def _settle_soon(self, share: RouterShare) -> None:
        """One ask for all that is used meanwhile; at once when the last answer is a while ago."""
        if share.asking or share.settling:
            return
        share.settling = True
        self._context.tasks.spawn("share settle", self._settle(share))

    async def _settle(self, share: RouterShare) -> None:
        now = self._now()
        last = share.contact if share.contact is not None else now - SETTLE
        if share.credit_used(now) < 0.5 * share.credit.most:
            await self._context.clock.sleep(Seconds(max(0.0, min(SETTLE, last + SETTLE - now))))
        share.settling = False
        now = self._now()
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

    # One ask

    async def _ask_once(self, share: RouterShare) -> bool:
        """One question to the keeper; whether there is need for another at once."""
        now = self._now()
        if not share.waiters and not share.has_to_tell(now) and share.unreachable_since is None:
            return False
        keeper = self._keepers.keeper(share.tenant.name)
        if keeper is None:
            self._mark_unreachable(share, now)
            return False
        if share.deputy_of != keeper.incarnation:
            share.deputy_of = None
        deputized = share.deputy_of is not None
        asked = self._keepers.deputy(share.tenant.name) if deputized else keeper
        sent = self._make_ask(share, keeper, deputized, now)
        grant = None if asked is None else await self._ask_router(sent, asked)
        if grant is None or not grant.keeper:
            return self._take_no_grant(sent, declined=grant is not None)
        self._take_grant(sent, grant)
        return bool(share.waiters)

    def _make_ask(self, share: RouterShare, keeper: Identity, deputized: bool, now: Instant) -> SentAsk:
        waiters, reports, credit_used = list(share.waiters), share.reports, share.credit_used(now)
        self._asks += 1
        ask = share.ask(self._asks, tuple(waiter.cost for waiter in waiters), deputized, now)
        return SentAsk(share, ask, waiters, keeper, deputized, reports, credit_used, now)

    async def _ask_router(self, sent: SentAsk, router: Identity) -> LeaseGrant | None:
        """The answer, or None after ``ShareBounds.hedge``; a keeper's later one is still noted when it comes."""
        if router.incarnation == self._messenger.identity.incarnation:
            return await self._answer_ask(router, sent.ask)
        bounds, starting = self._bounds, self._is_starting()
        patience = bounds.starting_ask if starting else bounds.ask
        hedge = bounds.starting_hedge if starting else bounds.hedge
        call = asyncio.get_running_loop().create_task(
            self._messenger.call(router.internal, sent.ask, LeaseGrant, patience)
        )
        await asyncio.wait((call,), timeout=None if sent.deputized else hedge)
        if not call.done():
            call.add_done_callback(lambda done: self._take_late(sent, done))
            return None
        outcome = call.result()
        return outcome.unwrap() if isinstance(outcome, Success) else None

    # What comes of it

    def _take_no_grant(self, sent: SentAsk, declined: bool) -> bool:
        """The router asked did not answer, or is no keeper. Whether the deputy is to be asked at once."""
        share, now = sent.share, self._now()
        if share.reports == sent.reports:
            share.unsettled += sent.ask.used
        if declined:  # Who declines has not taken it.
            share.own.level += sent.ask.poured
        share.deputy_stands = False
        # The deputy is asked at once in the keeper's place; when it declines too, the keeper is next.
        share.deputy_of = None if sent.deputized else sent.keeper.incarnation
        share.note_lost(now)
        if sent.deputized:
            self._mark_unreachable(share, now)
        return not sent.deputized

    def _take_grant(self, sent: SentAsk, grant: LeaseGrant) -> None:
        share, now = sent.share, self._now()
        if share.unreachable_since is not None:
            share.unreachable_since = None
            name, keeper = share.tenant.name, sent.keeper.name
            self._context.log.event("share-keeper-answers", tenant=name, keeper=keeper, by_deputy=sent.deputized)
        share.deputy_stands = grant.stands_in
        if not grant.stands_in:
            share.own.level += sent.ask.poured
            share.note_answer(grant, sent.at, sent.credit_used, now)
        elif share.reports == sent.reports:
            share.unsettled += sent.ask.used
        self._hand_out(sent, grant, now)

    def _take_late(self, sent: SentAsk, call: asyncio.Task[Result[LeaseGrant, TransportFault]]) -> None:
        if call.cancelled() or not isinstance(outcome := call.result(), Success):
            return
        grant: LeaseGrant = outcome.unwrap()
        if not grant.keeper:
            return
        now, share = self._now(), sent.share
        share.deputy_of = share.unreachable_since = None
        share.unsettled = max(0, share.unsettled - sent.ask.used)
        if not grant.stands_in:
            share.note_answer(grant, sent.at, sent.credit_used, now)
        self._hand_out(sent, grant, now)

    def _hand_out(self, sent: SentAsk, grant: LeaseGrant, now: Instant) -> None:
        """Tells the calls that were asked for."""
        share, refused = sent.share, False
        if not all(grant.granted) and not grant.stands_in:
            share.plenty = False
        for waiter, granted in zip(sent.waiters, grant.granted, strict=False):
            if waiter in share.waiters:
                share.waiters.remove(waiter)
            if granted:
                self._give(share, waiter, grant.stands_in, now)
            elif not waiter.outcome.done() and not self._take_instead(share, waiter, now):
                refused = True
                waiter.tell(self._refused_by_keeper(share, waiter, grant, now))
        if refused:
            pauses = min(max(1.0, grant.wait / self._bounds.empty_pause), LONGEST_EMPTY_PAUSES)
            share.empty_until = Instant(now + pauses * self._bounds.empty_pause)

    def _give(self, share: RouterShare, waiter: Waiter, stands_in: bool, now: Instant) -> None:
        """The grant of a call that did not wait is kept for the next."""
        if waiter.outcome.done():
            share.keep_spare(waiter.cost, stands_in, now)
            return
        share.count(waiter.cost, now)
        if stands_in:
            share.unsettled += waiter.cost
        waiter.tell(TOKEN)

    def _take_instead(self, share: RouterShare, waiter: Waiter, now: Instant) -> bool:
        """A call that was not granted may still fit into what the router may use by itself."""
        taken = share.take(waiter.cost, now)
        if taken:
            waiter.tell(TOKEN)
        return taken

    def _refused_by_keeper(self, share: RouterShare, waiter: Waiter, grant: LeaseGrant, now: Instant) -> ShareRefused:
        pause = Seconds(max(grant.wait, self._bounds.empty_pause))
        wait = max(self._bounds.empty_pause, min(share.wait_for_own(waiter.cost, now), pause))
        return ShareRefused(Seconds(min(ENDLESS, wait)))

    def _mark_unreachable(self, share: RouterShare, now: Instant) -> None:
        """From now on only what may be used without asking counts, until the keeper has answered an ask."""
        share.note_lost(now)
        if share.unreachable_since is None:
            share.unreachable_since = now
            share.next_probe = Instant(now + self._bounds.probe)
            self._context.log.event("share-keeper-unreachable", tenant=share.tenant.name)
        while share.waiters:
            share.waiters.popleft().tell(FALLBACK)

    # Telling of use

    def sweep(self, now: Instant) -> None:
        """Tells keepers what they do not know yet, and forgets tenants without calls."""
        for share in list(self._shares.values()):
            if share.has_to_tell(now):
                self._start_asking(share, now)
            elif self._is_unused(share, now):
                self._shares.pop(share.tenant.name, None)

    def _is_unused(self, share: RouterShare, now: Instant) -> bool:
        busy = share.asking or share.waiters or share.accepted.count(now)
        return not busy and now - share.offered_at > AUTONOMY

    def give_all_back(self) -> None:
        """At the router's stop."""
        now = self._now()
        for share in self._shares.values():
            share.offered_at = Instant(float("-inf"))
            if share.has_to_tell(now):
                self._start_asking(share, now)

    def use_of(self, question: UseQuestion) -> UseAnswer:
        """For a new keeper; what was unsettled is in it."""
        now = self._now()
        known = Seconds(min(question.window, now - self._started))
        share = self._shares.get(question.tenant)
        if share is None:
            return UseAnswer((), known, None, self._asks)
        return share.report(question.window, question.step, known, self._asks, now)

    def _is_starting(self) -> bool:
        return self._now() - self._started < self._bounds.starting

    def _now(self) -> Instant:
        return self._context.clock.monotonic()
