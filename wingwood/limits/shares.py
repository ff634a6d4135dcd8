"""Paid shares over the whole fleet: leases from one token bucket per tenant (docs/DESIGN.md section 14)."""

from __future__ import annotations

import asyncio
import math
from collections import deque
from collections.abc import Callable

import msgspec
from returns.result import Result, Success

from ..bundle.model import Tenant
from ..context.protocols import Context
from ..identifiers import Incarnation, Instant, Seconds, TenantName
from ..membership.protocols import Membership
from ..transport.frames import Identity
from ..transport.messenger import Messenger, TransportFault
from .bucket import RecentCount, TokenBucket
from .keepers import ShareKeepers
from .messages import RECENT, LeaseAsk, LeaseGrant, LeaseReturn, MemberAnswer, MemberQuestion, UseAnswer, UseQuestion
from .protocols import ShareRefused


class ShareBounds(msgspec.Struct, frozen=True):
    horizon: Seconds = Seconds(0.25)
    """A lease covers the recent need of about this long."""
    lease: Seconds = Seconds(1.0)
    """Leased tokens not used within this, counted from before asking, are given back."""
    wait: Seconds = Seconds(0.1)
    """Longest wait of a call for its keeper and the keeper's deputy."""
    hedge: Seconds = Seconds(0.05)
    """After this without an answer of the keeper its deputy is asked."""
    ask: Seconds = Seconds(0.25)
    """How long an ask itself may take; a grant that comes late is still used."""
    probe: Seconds = Seconds(0.1)
    """Between asks while the keeper does not answer."""
    empty_pause: Seconds = Seconds(0.02)
    """Shortest time for which an empty bucket is not asked again."""
    fallback_decay: Seconds = Seconds(5.0)
    """Without a keeper a router goes over from what it had been granted to an equal part, at this pace."""
    session: Seconds = Seconds(2.5)
    """A keeper whose session was proven longer ago asks other routers whether it still is a member."""
    ping: Seconds = Seconds(0.15)
    """How long a deputy waits for the keeper's sign of life; what it finds counts for twice as long."""
    gap: Seconds = Seconds(1.0)
    """A keeper that did not run for this long was frozen and may have been replaced."""
    rest: Seconds = Seconds(0.25)
    first_part: float = 0.05
    """Part of a second's share that a keeper which knows nothing yet may grant at once."""
    most_gathered: int = 64
    """With more routers a new keeper asks nobody and lets its bucket fill from zero: a thousand answers
    and connections at each change of members cost more than a second's saved share is worth."""
    smallest_bucket: float = 5.0
    """Calls that also a small tenant may save up (but never more than five seconds' worth): with
    less, a tenant well below its rate would be refused for the mere unevenness of its calls."""


class _TenantShare:
    """What this router holds of one tenant's share."""

    __slots__ = (
        "accepted",
        "asking",
        "deputy_of",
        "empty_until",
        "fallback",
        "held",
        "held_count",
        "keeper_answered_at",
        "keeper_level",
        "keeper_rate",
        "lost_since",
        "next_probe",
        "offered",
        "own_part",
        "reports",
        "returned",
        "tenant",
        "unleased",
        "unreachable_since",
        "waiters",
    )

    def __init__(self, tenant: Tenant) -> None:
        self.tenant = tenant
        self.held: deque[list[float]] = deque()
        """Leases as [end, tokens], oldest first."""
        self.held_count = 0
        self.accepted = RecentCount(Seconds(max(RECENT, tenant.burst)))
        self.offered = RecentCount(Seconds(0.5))
        self.returned = 0
        self.unleased = 0
        self.reports = 0
        """Counts the answers to new keepers, which hold what was taken without lease until then."""
        self.waiters: deque[asyncio.Future[ShareRefused | str]] = deque()
        self.asking = False
        self.empty_until = Instant(0.0)
        self.next_probe = Instant(0.0)
        self.unreachable_since: Instant | None = None
        self.own_part = 0.0
        self.deputy_of: Incarnation | None = None
        """The keeper in whose place the deputy is asked."""
        self.keeper_answered_at: Instant | None = None
        self.keeper_level = 0.0
        self.keeper_rate = 0.0
        self.lost_since: Instant | None = None
        """When the keeper stopped answering, whether or not its deputy answers; ``own_part`` is of that moment."""
        self.fallback: TokenBucket | None = None

    def drop_expired(self, now: Instant) -> None:
        while self.held and self.held[0][0] <= now:
            tokens = int(self.held.popleft()[1])
            self.held_count -= tokens
            self.returned += tokens

    def take_held(self, now: Instant) -> bool:
        self.drop_expired(now)
        if not self.held:
            return False
        self.held[0][1] -= 1
        self.held_count -= 1
        if self.held[0][1] <= 0:
            self.held.popleft()
        self.accepted.add(now)
        return True

    def hold(self, end: Instant, tokens: int) -> None:
        if tokens > 0:
            self.held.append([end, tokens])
            self.held_count += tokens

    def ahead(self, now: Instant, horizon: Seconds) -> int:
        """Tokens that the recent need makes worth holding."""
        return int(min(self.offered.rate(now), self.tenant.paid_rate) * horizon)


class _KeptShare:
    """What the keeper knows of one tenant's share."""

    __slots__ = ("bucket", "gathered", "gathering", "granted", "newest_ask", "others_asked")

    def __init__(self, bucket: TokenBucket) -> None:
        self.bucket = bucket
        self.gathering: asyncio.Future[None] | None = None
        self.gathered = True
        """False: nobody was asked, so calls taken without a lease before an asker's first ask aren't charged."""
        self.granted = RecentCount(RECENT)
        self.newest_ask: dict[Incarnation, int] = {}
        self.others_asked: Instant = Instant(0.0)
        """When a deputy last asked whether the keeper still grants to others."""


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
    ) -> None:
        self._context = context
        self._messenger = messenger
        self._membership = membership
        self._tenant_in_force = tenant_in_force or (lambda _: None)
        self._bounds = bounds or ShareBounds()
        self._keepers = ShareKeepers(membership)
        self._shares: dict[TenantName, _TenantShare] = {}
        self._kept: dict[TenantName, _KeptShare] = {}
        self._closed_until: dict[TenantName, Instant] = {}
        self._no_deputy_until: dict[TenantName, Instant] = {}
        self._started = context.clock.monotonic()
        self._confirmed_until = Instant(0.0)
        self._noticed_at = self._started
        self._pings: dict[Incarnation, tuple[Instant, bool]] = {}
        """What a deputy found of keepers: when, and whether silent."""
        self._pinging: dict[Incarnation, asyncio.Task[None]] = {}
        self._resting_until = Instant(0.0)
        messenger.on_call(LeaseAsk, self._answer_ask)
        messenger.on_call(UseQuestion, self._answer_use)
        messenger.on_call(MemberQuestion, self._answer_member)
        messenger.on_post(LeaseReturn, self._take_back)
        self._sweeping = False
        self._asks = 0

    def start(self) -> None:
        """Starts giving back unused leases; ``take`` does it too."""
        if not self._sweeping:
            self._sweeping = True
            self._noticed_at = self._context.clock.monotonic()
            self._context.tasks.spawn("shares sweep", self._sweep())

    # The router's side

    async def take(self, tenant: Tenant) -> ShareRefused | None:
        """See ``Shares``. Waits at most ``ShareBounds.wait`` seconds, and only when no leased token is here."""
        self.start()
        now = self._context.clock.monotonic()
        if tenant.paid_rate <= 0:
            return ShareRefused(Seconds(60.0))
        share = self._shares.get(tenant.name)
        if share is None:
            share = self._shares[tenant.name] = _TenantShare(tenant)
        share.tenant = tenant
        share.offered.add(now)
        if share.take_held(now):
            if share.held_count < share.ahead(now, self._bounds.horizon) // 2 and now >= share.empty_until:
                self._start_asking(share, now)
            return None
        if now < share.empty_until:
            return ShareRefused(Seconds(share.empty_until - now))
        if share.unreachable_since is not None and (share.asking or now < share.next_probe):
            return self._take_fallback(share, now)
        waiter: asyncio.Future[ShareRefused | str] = asyncio.get_running_loop().create_future()
        share.waiters.append(waiter)
        self._start_asking(share, now)
        try:
            await asyncio.wait((waiter,), timeout=self._bounds.wait)
            outcome: ShareRefused | str = waiter.result() if waiter.done() else FALLBACK
        finally:
            if not waiter.done():
                share.waiters.remove(waiter)
                waiter.cancel()
        if outcome == TOKEN:
            return None
        if isinstance(outcome, ShareRefused):
            return outcome
        now = self._context.clock.monotonic()
        self._mark_unreachable(share, now)
        return self._take_fallback(share, now)

    def _start_asking(self, share: _TenantShare, now: Instant) -> None:
        if not share.asking:
            share.asking = True
            share.next_probe = Instant(now + self._bounds.probe)
            self._context.tasks.spawn("share ask", self._ask(share))

    async def _ask(self, share: _TenantShare) -> None:
        try:
            while await self._ask_once(share):
                pass
        finally:
            share.asking = False

    async def _ask_once(self, share: _TenantShare) -> bool:
        """One question to the keeper; whether there is need for another at once."""
        now = self._context.clock.monotonic()
        share.drop_expired(now)
        name = share.tenant.name
        wanted = len(share.waiters) + max(0, share.ahead(now, self._bounds.horizon) - share.held_count)
        if wanted <= 0 and share.unreachable_since is None:
            return False
        wanted = max(1, wanted)
        keeper = self._keepers.keeper(name)
        if keeper is None:
            self._mark_unreachable(share, now)
            return False
        if share.deputy_of != keeper.incarnation:
            share.deputy_of = None
        deputized = share.deputy_of is not None
        asked = self._keepers.deputy(name) if deputized else keeper
        returned, unleased, reports = share.returned, share.unleased, share.reports
        share.returned = share.unleased = 0
        self._asks += 1
        ask = LeaseAsk(name, share.tenant.paid_rate, share.tenant.burst, wanted, returned, unleased, self._asks)
        grant = None if asked is None else await self._ask_router(share, asked, ask, deputized)
        began, now = now, self._context.clock.monotonic()
        if grant is None or not grant.keeper:
            if share.reports == reports:
                share.unleased += unleased
            # The deputy is asked at once in the keeper's place; when it declines too, the keeper is next.
            share.deputy_of = None if deputized else keeper.incarnation
            self._mark_lost(share, now)
            if not deputized:
                return True
            self._mark_unreachable(share, now)
            return False
        if not deputized:
            self._note_keeper(share, grant, now)
        if share.unreachable_since is not None:
            share.unreachable_since = share.fallback = None
            self._context.log.event("share-keeper-answers", tenant=name, keeper=keeper.name, by_deputy=deputized)
        share.hold(Instant(began + self._bounds.lease), grant.granted)
        while share.waiters and share.take_held(now):
            share.waiters.popleft().set_result(TOKEN)
        if grant.granted >= wanted:
            return bool(share.waiters)
        pause = Seconds(max(grant.wait, self._bounds.empty_pause))
        if not share.held:
            share.empty_until = Instant(now + pause)
        while share.waiters:
            share.waiters.popleft().set_result(ShareRefused(pause))
        return False

    async def _ask_router(
        self, share: _TenantShare, router: Identity, ask: LeaseAsk, deputized: bool
    ) -> LeaseGrant | None:
        """The answer, or None after ``ShareBounds.hedge``; a keeper's later one is still used when it comes."""
        if router.incarnation == self._messenger.identity.incarnation:
            return await self._answer_ask(router, ask)
        began = self._context.clock.monotonic()
        call = asyncio.get_running_loop().create_task(
            self._messenger.call(router.internal, ask, LeaseGrant, self._bounds.ask)
        )
        await asyncio.wait((call,), timeout=None if deputized else self._bounds.hedge)
        if not call.done():
            call.add_done_callback(lambda done: self._take_late(share, ask, done, began))
            return None
        outcome = call.result()
        return outcome.unwrap() if isinstance(outcome, Success) else None

    def _take_late(
        self,
        share: _TenantShare,
        ask: LeaseAsk,
        call: asyncio.Task[Result[LeaseGrant, TransportFault]],
        began: Instant,
    ) -> None:
        if call.cancelled() or not isinstance(outcome := call.result(), Success):
            return
        grant: LeaseGrant = outcome.unwrap()
        if not grant.keeper:
            return
        now = self._context.clock.monotonic()
        self._note_keeper(share, grant, now)
        share.deputy_of = share.unreachable_since = share.fallback = None
        share.unleased = max(0, share.unleased - ask.unleased)
        share.hold(Instant(began + self._bounds.lease), grant.granted)
        while share.waiters and share.take_held(now):
            share.waiters.popleft().set_result(TOKEN)

    def _note_keeper(self, share: _TenantShare, grant: LeaseGrant, now: Instant) -> None:
        share.keeper_answered_at = now
        share.lost_since = None
        share.keeper_level, share.keeper_rate = grant.level, grant.rate

    def _mark_unreachable(self, share: _TenantShare, now: Instant) -> None:
        """From now on the fallback part counts, until the keeper has answered an ask."""
        self._mark_lost(share, now)
        if share.unreachable_since is None:
            share.unreachable_since = now
            share.next_probe = Instant(now + self._bounds.probe)
            self._context.log.event("share-keeper-unreachable", tenant=share.tenant.name)
        while share.waiters:
            share.waiters.popleft().set_result(FALLBACK)

    def _mark_lost(self, share: _TenantShare, now: Instant) -> None:
        """Notes this router's part of the tenant's use at the moment when the keeper stopped answering."""
        if share.lost_since is None:
            share.lost_since = now
            own = share.accepted.count(now, RECENT) / RECENT
            whole = max(own, share.keeper_rate)
            share.own_part = own / whole if whole > 0 else 1.0 / max(1, len(self._keepers.routers()))

    def _take_fallback(self, share: _TenantShare, now: Instant) -> ShareRefused | None:
        since = share.lost_since
        if since is None:
            since = now
        kept = math.exp(-(now - since) / self._bounds.fallback_decay)
        part = share.own_part * kept + (1.0 - kept) / max(1, len(self._keepers.routers()))
        rate = share.tenant.paid_rate * part
        most = max(1.0, self._bucket_size(share.tenant.paid_rate, share.tenant.burst) * part)
        if share.fallback is None:
            # A random part of one token: over the routers the sum is right also where each has less than one.
            # A whole one while the tenant was well below its share, and half of the part of a router that has
            # never heard of the keeper; both are charged afterwards.
            below = share.keeper_rate < 0.8 * share.tenant.paid_rate
            first = max(1.0 if below else self._context.random.random(), share.keeper_level * part)
            if share.keeper_answered_at is None:
                first = max(first, 0.5 * most)
            share.fallback = TokenBucket(rate, most, first, now)
        # What comes in between two seldom calls is earned at the part of now, which has grown meanwhile.
        share.fallback.rate, share.fallback.most = rate, most
        if share.fallback.take(1, now):
            share.accepted.add(now)
            share.unleased += 1
            return None
        return ShareRefused(Seconds(max(self._bounds.empty_pause, min(60.0, share.fallback.wait(now)))))

    async def _sweep(self) -> None:
        while True:
            await self._context.clock.sleep(Seconds(0.5))
            now = self._context.clock.monotonic()
            self._notice_gap(now)
            for tenant in list(self._kept):
                self._keeps(tenant, now)
            members = {router.incarnation for router in self._keepers.routers()}
            self._pings = {keeper: found for keeper, found in self._pings.items() if keeper in members}
            for untils in (self._closed_until, self._no_deputy_until):
                for tenant in [tenant for tenant, until in untils.items() if until <= now]:
                    del untils[tenant]
            for name, share in list(self._shares.items()):
                share.drop_expired(now)
                if share.returned and not share.asking:
                    self._give_back(share)
                elif not (share.held or share.asking or share.waiters or share.unleased) and not (
                    share.accepted.count(now) or share.offered.count(now)
                ):
                    del self._shares[name]
            if not self._session_fresh(now, 0.5 * self._bounds.session):
                await self._confirm_membership()

    def _give_back(self, share: _TenantShare) -> None:
        keeper = self._keepers.keeper(share.tenant.name)
        tokens, share.returned = share.returned, 0
        if keeper is None:
            return
        if keeper.incarnation == self._messenger.identity.incarnation:
            self._take_back(keeper, LeaseReturn(share.tenant.name, tokens))
        else:
            self._messenger.post(keeper.internal, LeaseReturn(share.tenant.name, tokens))

    def keeper_of(self, tenant: TenantName) -> Identity | None:
        """Which router keeps the tenant's share, as this one sees it."""
        return self._keepers.keeper(tenant)

    def deputy_of(self, tenant: TenantName) -> Identity | None:
        return self._keepers.deputy(tenant)

    def give_all_back(self) -> None:
        """At the router's stop."""
        for share in self._shares.values():
            share.returned += share.held_count
            share.held.clear()
            share.held_count = 0
            if share.returned:
                self._give_back(share)

    # The keeper's side

    async def _answer_ask(self, asker: Identity, ask: LeaseAsk) -> LeaseGrant:
        self.start()
        now = self._context.clock.monotonic()
        if not self._keeps(ask.tenant, now) and not await self._deputizes(ask.tenant):
            return LeaseGrant(False, 0, Seconds(0.0))
        now = self._context.clock.monotonic()
        rate, burst = ask.paid_rate, ask.burst
        in_force = self._tenant_in_force(ask.tenant)
        if in_force is not None:
            rate, burst = in_force.paid_rate, in_force.burst
        most = self._bucket_size(rate, burst)
        kept = self._kept.get(ask.tenant)
        if kept is None:
            first = min(most, max(1.0, rate * self._bounds.first_part))
            kept = self._kept[ask.tenant] = _KeptShare(TokenBucket(rate, most, first, now))
            kept.others_asked = Instant(now - 0.5)
            if len(self._keepers.routers()) <= self._bounds.most_gathered:
                kept.gathering = asyncio.get_running_loop().create_future()
                window = Seconds(most / rate)
                gather = self._gather(ask.tenant, kept, kept.gathering, window, first)
                self._context.tasks.spawn("share gather", gather)
            else:
                kept.gathered = False
        if ask.number <= kept.newest_ask.get(asker.incarnation, 0):
            return LeaseGrant(False, 0, Seconds(0.0))
        known_asker = asker.incarnation in kept.newest_ask
        kept.newest_ask[asker.incarnation] = ask.number
        kept.bucket.change(rate, most, now)
        if kept.gathering is None and (kept.gathered or known_asker):  # else it is in the asker's report of recent use
            kept.bucket.give(ask.returned - ask.unleased, now)
        granted = kept.bucket.take(ask.wanted, now)
        if granted < ask.wanted and kept.gathering is not None:
            await asyncio.wait((kept.gathering,), timeout=0.8 * self._bounds.hedge)
            now = self._context.clock.monotonic()
            granted += kept.bucket.take(ask.wanted - granted, now)
        kept.granted.add(now, granted + ask.unleased - ask.returned)
        wait = kept.bucket.wait(now) if granted < ask.wanted else Seconds(0.0)
        return LeaseGrant(True, granted, wait, max(0.0, kept.bucket.level), max(0.0, kept.granted.rate(now)))

    def _bucket_size(self, rate: float, burst: float) -> float:
        return max(1.0, rate * burst, min(self._bounds.smallest_bucket, rate * 5.0))

    def _keeps(self, tenant: TenantName, now: Instant) -> bool:
        keeper = self._keepers.keeper(tenant)
        self._notice_gap(now)
        if keeper is None or keeper.incarnation != self._messenger.identity.incarnation:
            if keeper is None or not self._is_down(keeper, now):
                self._kept.pop(tenant, None)
            return False
        return now >= max(self._resting_until, self._closed_until.get(tenant, 0.0))

    def _is_down(self, keeper: Identity, now: Instant) -> bool:
        """Whether this router, as a deputy, has lately found that keeper silent."""
        found = self._pings.get(keeper.incarnation)
        return found is not None and found[1] and now - found[0] <= 1.0

    async def _deputizes(self, tenant: TenantName) -> bool:
        """Whether this router stands in for the keeper: it is the next in order, and no keeper answers it."""
        own, now = self._messenger.identity.incarnation, self._context.clock.monotonic()
        keeper, deputy = self._keepers.keeper(tenant), self._keepers.deputy(tenant)
        if keeper is None or deputy is None or deputy.incarnation != own or now < self._resting_until:
            return False
        found = self._pings.get(keeper.incarnation)
        if found is None or now - found[0] > 2 * self._bounds.ping:
            pinging = self._pinging.get(keeper.incarnation)
            if pinging is None:
                pinging = self._pinging[keeper.incarnation] = asyncio.get_running_loop().create_task(self._ping(keeper))
            await asyncio.wait((pinging,), timeout=2 * self._bounds.ping)
            now = self._context.clock.monotonic()
        if not self._is_down(keeper, now) or now < self._no_deputy_until.get(tenant, 0.0):
            return False
        kept = self._kept.get(tenant)
        if kept is not None and kept.gathering is None and now - kept.others_asked >= 1.0:
            kept.others_asked = now
            if await self._granted_elsewhere(tenant, keeper):
                self._kept.pop(tenant, None)
                self._no_deputy_until[tenant] = Instant(self._context.clock.monotonic() + 10.0)
                return False
        return True

    async def _granted_elsewhere(self, tenant: TenantName, keeper: Identity) -> bool:
        """Whether the keeper is only cut off from this router and goes on granting to others."""
        known = (self._messenger.identity.incarnation, keeper.incarnation)
        others = [router for router in self._keepers.routers() if router.incarnation not in known]
        chosen = self._context.random.sample(others, min(5, len(others)))
        answers = await asyncio.gather(*(self._ask_use(router, UseQuestion(tenant, RECENT)) for router in chosen))
        return any(answer is not None and answer.keeper_answered < 0.45 for answer in answers)

    async def _ping(self, keeper: Identity) -> None:
        outcome = await self._messenger.call(keeper.internal, MemberQuestion(), MemberAnswer, self._bounds.ping)
        self._pings[keeper.incarnation] = (self._context.clock.monotonic(), not isinstance(outcome, Success))
        del self._pinging[keeper.incarnation]

    def _notice_gap(self, now: Instant) -> None:
        """After a freeze or a cut another keeper may have granted: begin anew from the routers' reports.

        The rest lets asks go by that were waiting in buffers and whose askers have long gone on.
        """
        stands = self._session_fresh(now, self._bounds.session) or now <= self._confirmed_until
        if not stands or now - self._noticed_at > self._bounds.gap:
            self._kept.clear()
            self._resting_until = Instant(now + self._bounds.rest)
        self._noticed_at = now

    async def _gather(
        self, tenant: TenantName, kept: _KeptShare, done: asyncio.Future[None], window: Seconds, first: float
    ) -> None:
        """A new keeper's bucket holds what the old one must at least have held, by the routers' reports.

        A bucket of size C = rate * window that began anywhere above zero holds at least C - used
        after the window; routers that are younger than the window shorten it.
        """
        keeper = self._keepers.keeper(tenant)
        silent_keeper = keeper is not None and self._is_down(keeper, self._context.clock.monotonic())
        routers = [router for router in self._keepers.routers() if not (silent_keeper and router == keeper)]
        question = UseQuestion(tenant, window)
        answers = await asyncio.gather(*(self._ask_use(router, question) for router in routers))
        if self._kept.get(tenant) is not kept:
            done.set_result(None)
            return
        bucket, now = kept.bucket, self._context.clock.monotonic()
        for router, answer in zip(routers, answers, strict=True):
            if answer is not None:
                newest = max(answer.number, kept.newest_ask.get(router.incarnation, 0))
                kept.newest_ask[router.incarnation] = newest
        told = [answer for answer in answers if answer is not None]
        handed = [answer.level for answer in told if answer.level is not None]
        known = min((answer.known for answer in told), default=Seconds(0.0))
        silent = (len(answers) - len(told)) / max(1, len(answers)) * bucket.rate * known
        used = sum(answer.used for answer in told) + silent
        level = min(handed) if handed else max(0.0, min(bucket.most, bucket.rate * known) - used)
        bucket.give(level - first if handed or level > first else 0.0, now)
        kept.gathering = None
        done.set_result(None)
        self._context.log.event(
            "share-keeper-began", tenant=tenant, level=bucket.level, used=used, known=known, handed=bool(handed)
        )

    async def _ask_use(self, router: Identity, question: UseQuestion) -> UseAnswer | None:
        if router.incarnation == self._messenger.identity.incarnation:
            return self._use_of(question)
        outcome = await self._messenger.call(router.internal, question, UseAnswer, Seconds(0.3))
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
        return UseAnswer(answer.used, answer.known, kept.bucket.level, answer.number, answer.keeper_answered)

    def _use_of(self, question: UseQuestion) -> UseAnswer:
        now = self._context.clock.monotonic()
        share = self._shares.get(question.tenant)
        known = Seconds(min(question.window, now - self._started))
        if share is None:
            return UseAnswer(0, known, None, self._asks)
        share.drop_expired(now)
        share.unleased = 0  # They are in the report, if they are recent enough to matter.
        share.reports += 1
        answered = Seconds(1e9 if share.keeper_answered_at is None else now - share.keeper_answered_at)
        used = share.accepted.count(now, question.window) + share.held_count
        return UseAnswer(used, known, None, self._asks, answered)

    def _take_back(self, _: Identity, given: LeaseReturn) -> None:
        kept = self._kept.get(given.tenant)
        if kept is not None and given.tokens > 0:
            kept.bucket.give(given.tokens, self._context.clock.monotonic())

    # Whether this keeper still is a member

    def _session_fresh(self, now: Instant, within: float) -> bool:
        proven = self._membership.session_proven_at()
        return proven is not None and now - proven <= within

    async def _confirm_membership(self) -> None:
        """While no control daemon answers, keepers go on if routers they can reach still count them in."""
        own = self._messenger.identity.incarnation
        others = [router for router in self._keepers.routers() if router.incarnation != own]
        asked = self._context.clock.monotonic()
        chosen = self._context.random.sample(others, min(5, len(others)))
        answers = await asyncio.gather(*(self._ask_member(router) for router in chosen))
        agreeing = sum(1 for answer in answers if answer)
        if all(answer is not False for answer in answers) and 2 * agreeing >= len(chosen):
            self._confirmed_until = Instant(asked + 1.5)

    async def _ask_member(self, router: Identity) -> bool | None:
        outcome = await self._messenger.call(router.internal, MemberQuestion(), MemberAnswer, Seconds(0.3))
        return outcome.unwrap().known if isinstance(outcome, Success) else None

    async def _answer_member(self, peer: Identity, _: MemberQuestion) -> MemberAnswer:
        return MemberAnswer(self._membership.is_member(peer.incarnation))
