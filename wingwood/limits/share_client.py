"""A router's side of paid shares: it uses its allowance and requests more (docs/DESIGN.md section 14.1)."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence

import msgspec
from returns.result import Result, Success

from ..bundle.model import Tenant
from ..context.protocols import Context
from ..identifiers import Instant, Seconds, TenantName
from ..transport.errors import TransportFailure
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .allocator_selector import AllocatorSelector
from .messages import LeaseGrant, LeaseRequest, UsageReport, UsageRequest
from .protocols import ShareRefused
from .router_share import SETTLE_DELAY_S, RouterShare, Waiter
from .share_account import AUTONOMY_S
from .share_limits import ShareLimits
from .tolerance import QuotaTolerance

MAX_RETRY_AFTER_S = Seconds(60.0)
"""Longest retry time that a refused caller is given."""
MAX_EMPTY_PAUSES = 2.5
"""An empty bucket gets the next request after at most this many times ``ShareLimits.empty_bucket_pause``."""
GRANTED, FALLBACK = "token", "fallback"
"""Outcomes of a waiting call: it was granted, or it must use what this router may use without a request."""

AnswerLeaseRequest = Callable[[Identity, LeaseRequest], Awaitable[LeaseGrant]]
"""Answers a lease request at this router, when it is itself the allocator."""


class SentRequest(msgspec.Struct, frozen=True, eq=False):
    """A lease request in progress."""

    share: RouterShare
    request: LeaseRequest
    waiters: Sequence[Waiter]
    allocator: Identity
    to_deputy: bool
    """Whether it was sent to the allocator's deputy."""
    reports: int
    """``RouterShare.reports`` when it was sent; a later usage report includes the use that the request reports."""
    credit_used: float
    at: Instant


class ShareClient:
    """Takes calls from all tenants' shares at this router."""

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        selector: AllocatorSelector,
        answer_lease_request: AnswerLeaseRequest,
        limits: ShareLimits,
        tolerance: QuotaTolerance,
    ) -> None:
        self._context = context
        self._messenger = messenger
        self._selector = selector
        self._answer_lease_request = answer_lease_request
        self._limits = limits
        self._tolerance = tolerance
        self._shares: dict[TenantName, RouterShare] = {}
        self._started = context.clock.monotonic()
        self._request_count = 0

    # Calls

    async def take(self, tenant: Tenant, cost: int) -> ShareRefused | None:
        """Charges a call to the tenant's share; returns None when it is admitted, else the refusal.

        Only a call that does not fit into the allowance waits for the allocator, for at most
        ``ShareLimits.call_timeout`` (``startup_call_timeout`` during the startup period).
        """
        now = self._now()
        share = self._share_of(tenant, now)
        share.last_call_at = now
        if share.take(cost, now):
            self._schedule_settle(share)
            return None
        if now < share.bucket_empty_until:
            return self._refusal(share, cost, now)
        if share.unreachable_since is not None and (share.request_active or now < share.next_probe):
            return self._refusal(share, cost, now)
        outcome = await self._wait_for_allocator(share, cost)
        if outcome == GRANTED:
            return None
        if isinstance(outcome, ShareRefused):
            return outcome
        now = self._now()
        self._mark_unreachable(share, now)
        if share.take(cost, now):
            return None
        return self._refusal(share, cost, now)

    def _share_of(self, tenant: Tenant, now: Instant) -> RouterShare:
        routers = self._selector.count()
        share = self._shares.get(tenant.name)
        if share is None:
            share = RouterShare(tenant, self._tolerance, routers, self._started, now)
            self._shares[tenant.name] = share
        share.update(tenant, routers, now)
        return share

    def _refusal(self, share: RouterShare, cost: int, now: Instant) -> ShareRefused:
        wait = share.time_until_allowance(cost, now)
        if not share.allocator_silent:
            wait = min(wait, Seconds(max(share.bucket_empty_until - now, cost / share.plan.rate)))
        return ShareRefused(Seconds(min(MAX_RETRY_AFTER_S, max(self._limits.empty_bucket_pause, wait))))

    async def _wait_for_allocator(self, share: RouterShare, cost: int) -> ShareRefused | str:
        waiter = Waiter(cost, asyncio.get_running_loop().create_future())
        share.waiters.append(waiter)
        self._start_requesting(share, self._now())
        try:
            timeout = self._limits.startup_call_timeout if self._is_starting() else self._limits.call_timeout
            await asyncio.wait((waiter.outcome,), timeout=timeout)
            return waiter.outcome.result() if waiter.outcome.done() else FALLBACK
        finally:
            if not waiter.outcome.done():
                waiter.outcome.cancel()
            if waiter in share.waiters:
                share.waiters.remove(waiter)

    # Scheduling of requests

    def _schedule_settle(self, share: RouterShare) -> None:
        """Schedules one request that reports all use until then.

        It is sent immediately when the last answered request is at least ``SETTLE_DELAY_S`` old.
        """
        if share.request_active or share.settle_scheduled:
            return
        share.settle_scheduled = True
        self._context.tasks.spawn("share settle", self._settle(share))

    async def _settle(self, share: RouterShare) -> None:
        now = self._now()
        last = share.last_contact if share.last_contact is not None else now - SETTLE_DELAY_S
        if share.credit_used(now) < 0.5 * share.credit.capacity:
            await self._context.clock.sleep(Seconds(max(0.0, min(SETTLE_DELAY_S, last + SETTLE_DELAY_S - now))))
        share.settle_scheduled = False
        now = self._now()
        if share.unsettled and (share.unreachable_since is None or now >= share.next_probe):
            self._start_requesting(share, now)

    def _start_requesting(self, share: RouterShare, now: Instant) -> None:
        if not share.request_active:
            share.request_active = True
            share.next_probe = Instant(now + self._limits.probe_interval)
            self._context.tasks.spawn("share ask", self._send_requests(share))

    async def _send_requests(self, share: RouterShare) -> None:
        try:
            while await self._send_one_request(share):
                pass
        finally:
            share.request_active = False

    # One request

    async def _send_one_request(self, share: RouterShare) -> bool:
        """Sends one request to the allocator or its deputy; returns whether another is needed immediately."""
        now = self._now()
        if not share.waiters and not share.has_unreported_use(now) and share.unreachable_since is None:
            return False
        allocator = self._selector.allocator(share.tenant.name)
        if allocator is None:
            self._mark_unreachable(share, now)
            return False
        if share.deputized_allocator != allocator.incarnation:
            share.deputized_allocator = None
        to_deputy = share.deputized_allocator is not None
        requested_from = self._selector.deputy(share.tenant.name) if to_deputy else allocator
        sent = self._make_request(share, allocator, to_deputy, now)
        grant = None if requested_from is None else await self._send_to_router(sent, requested_from)
        if grant is None or not grant.is_allocator:
            return self._handle_no_grant(sent, declined=grant is not None)
        self._handle_grant(sent, grant)
        return bool(share.waiters)

    def _make_request(self, share: RouterShare, allocator: Identity, to_deputy: bool, now: Instant) -> SentRequest:
        waiters, reports, credit_used = list(share.waiters), share.reports, share.credit_used(now)
        self._request_count += 1
        request = share.make_request(self._request_count, tuple(waiter.cost for waiter in waiters), to_deputy, now)
        return SentRequest(share, request, waiters, allocator, to_deputy, reports, credit_used, now)

    async def _send_to_router(self, sent: SentRequest, router: Identity) -> LeaseGrant | None:
        """Returns the grant, or None after a failure or the hedge delay.

        A grant of the allocator that arrives later is still applied.
        """
        if router.incarnation == self._messenger.identity.incarnation:
            return await self._answer_lease_request(router, sent.request)
        limits, starting = self._limits, self._is_starting()
        timeout = limits.startup_request_timeout if starting else limits.request_timeout
        hedge = limits.startup_hedge_delay if starting else limits.hedge_delay
        call = asyncio.get_running_loop().create_task(
            self._messenger.call(router.internal, sent.request, LeaseGrant, timeout)
        )
        await asyncio.wait((call,), timeout=None if sent.to_deputy else hedge)
        if not call.done():
            call.add_done_callback(lambda done: self._handle_late_grant(sent, done))
            return None
        outcome = call.result()
        return outcome.unwrap() if isinstance(outcome, Success) else None

    # Answers

    def _handle_no_grant(self, sent: SentRequest, declined: bool) -> bool:
        """Handles a router that did not answer or declined; returns whether the deputy must be asked immediately."""
        share, now = sent.share, self._now()
        if share.reports == sent.reports:
            share.unsettled += sent.request.used
        if declined:  # A router that declines has not accepted the transfer.
            share.allowance.level += sent.request.transferred
        share.granted_by_deputy = False
        # The deputy is asked immediately in the allocator's place; if it fails too, the allocator is next.
        share.deputized_allocator = None if sent.to_deputy else sent.allocator.incarnation
        share.mark_allocator_silent(now)
        if sent.to_deputy:
            self._mark_unreachable(share, now)
        return not sent.to_deputy

    def _handle_grant(self, sent: SentRequest, grant: LeaseGrant) -> None:
        share, now = sent.share, self._now()
        if share.unreachable_since is not None:
            share.unreachable_since = None
            name, allocator = share.tenant.name, sent.allocator.name
            self._context.log.event("share-keeper-answers", tenant=name, keeper=allocator, by_deputy=sent.to_deputy)
        share.granted_by_deputy = grant.from_deputy
        if not grant.from_deputy:
            share.allowance.level += sent.request.transferred
            share.apply_grant(grant, sent.at, sent.credit_used, now)
        elif share.reports == sent.reports:
            share.unsettled += sent.request.used
        self._resolve_waiters(sent, grant, now)

    def _handle_late_grant(self, sent: SentRequest, call: asyncio.Task[Result[LeaseGrant, TransportFailure]]) -> None:
        if call.cancelled() or not isinstance(outcome := call.result(), Success):
            return
        grant: LeaseGrant = outcome.unwrap()
        if not grant.is_allocator:
            return
        now, share = self._now(), sent.share
        share.deputized_allocator = share.unreachable_since = None
        share.unsettled = max(0, share.unsettled - sent.request.used)
        if not grant.from_deputy:
            share.apply_grant(grant, sent.at, sent.credit_used, now)
        self._resolve_waiters(sent, grant, now)

    def _resolve_waiters(self, sent: SentRequest, grant: LeaseGrant, now: Instant) -> None:
        """Resolves the calls that waited for this request."""
        share, refused = sent.share, False
        if not all(grant.granted) and not grant.from_deputy:
            share.credit_available = False
        for waiter, granted in zip(sent.waiters, grant.granted, strict=False):
            if waiter in share.waiters:
                share.waiters.remove(waiter)
            if granted:
                self._resolve_granted(share, waiter, grant.from_deputy, now)
            elif not waiter.outcome.done() and not self._take_from_allowance(share, waiter, now):
                refused = True
                waiter.resolve(self._refusal_after_grant(share, waiter, grant, now))
        if refused:
            pauses = min(max(1.0, grant.wait / self._limits.empty_bucket_pause), MAX_EMPTY_PAUSES)
            share.bucket_empty_until = Instant(now + pauses * self._limits.empty_bucket_pause)

    def _resolve_granted(self, share: RouterShare, waiter: Waiter, from_deputy: bool, now: Instant) -> None:
        """Resolves a granted call; if it no longer waits, its grant is stored for another call."""
        if waiter.outcome.done():
            share.add_spare(waiter.cost, from_deputy, now)
            return
        share.count(waiter.cost, now)
        if from_deputy:
            share.unsettled += waiter.cost
        waiter.resolve(GRANTED)

    def _take_from_allowance(self, share: RouterShare, waiter: Waiter, now: Instant) -> bool:
        """Admits a call that was not granted if it fits into what the router may use on its own."""
        taken = share.take(waiter.cost, now)
        if taken:
            waiter.resolve(GRANTED)
        return taken

    def _refusal_after_grant(self, share: RouterShare, waiter: Waiter, grant: LeaseGrant, now: Instant) -> ShareRefused:
        pause = Seconds(max(grant.wait, self._limits.empty_bucket_pause))
        wait = max(self._limits.empty_bucket_pause, min(share.time_until_allowance(waiter.cost, now), pause))
        return ShareRefused(Seconds(min(MAX_RETRY_AFTER_S, wait)))

    def _mark_unreachable(self, share: RouterShare, now: Instant) -> None:
        """Marks allocator and deputy as unreachable and makes waiting calls fall back to the allowance and credit.

        Until a request is answered, only what may be used without a request is available.
        """
        share.mark_allocator_silent(now)
        if share.unreachable_since is None:
            share.unreachable_since = now
            share.next_probe = Instant(now + self._limits.probe_interval)
            self._context.log.event("share-keeper-unreachable", tenant=share.tenant.name)
        while share.waiters:
            share.waiters.popleft().resolve(FALLBACK)

    # Reports of use

    def sweep(self, now: Instant) -> None:
        """Reports unreported use to the allocators and drops the state of tenants without calls."""
        for share in list(self._shares.values()):
            if share.has_unreported_use(now):
                self._start_requesting(share, now)
            elif self._is_unused(share, now):
                self._shares.pop(share.tenant.name, None)

    def _is_unused(self, share: RouterShare, now: Instant) -> bool:
        busy = share.request_active or share.waiters or share.accepted.count(now)
        return not busy and now - share.last_call_at > AUTONOMY_S

    def return_allowances(self) -> None:
        """Reports unreported use and returns the allowances, when the router stops."""
        now = self._now()
        for share in self._shares.values():
            share.last_call_at = Instant(float("-inf"))
            if share.has_unreported_use(now):
                self._start_requesting(share, now)

    def report_usage(self, request: UsageRequest) -> UsageReport:
        """Returns the usage report for a new allocator, which includes the unsettled use."""
        now = self._now()
        covered_span = Seconds(min(request.window, now - self._started))
        share = self._shares.get(request.tenant)
        if share is None:
            return UsageReport((), covered_span, None, self._request_count)
        return share.report(request.window, request.step, covered_span, self._request_count, now)

    def _is_starting(self) -> bool:
        return self._now() - self._started < self._limits.startup_period

    def _now(self) -> Instant:
        return self._context.clock.monotonic()
