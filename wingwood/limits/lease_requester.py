"""A router's requests to a share's allocator or its standby, and their answers (docs/DESIGN.md section 14.1)."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence

import msgspec
from returns.result import Result, Success

from ..context.protocols import Context
from ..identifiers import Instant, Seconds
from ..transport.errors import TransportFailure
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .allocator_selector import AllocatorSelector
from .messages import LeaseGrant, LeaseRequest
from .protocols import CallRejection
from .router_share import RouterShare, Waiter, WaitResult
from .router_shares import RouterShares
from .share_options import ShareOptions

MAX_RETRY_AFTER_S = Seconds(60.0)
"""Longest retry time that a rejected caller is given."""
MAX_EMPTY_BUCKET_BACKOFFS = 2.5
"""An empty bucket gets the next request after at most this many times ``ShareOptions.empty_bucket_backoff_s``."""
REPORT_DELAY_S = Seconds(0.25)
"""Use without a grant is reported to the allocator this long after its last answer."""

AnswerLeaseRequest = Callable[[Identity, LeaseRequest], Awaitable[LeaseGrant]]
"""Answers a lease request at this router, when it is itself the allocator."""


class SentRequest(msgspec.Struct, frozen=True, eq=False):
    """A lease request in progress."""

    share: RouterShare
    request: LeaseRequest
    waiters: Sequence[Waiter]
    """The calls that the request asks for, in the order of its costs."""
    allocator: Identity
    to_standby: bool
    """Whether it was sent to the allocator's standby."""
    usage_reports: int
    """``RouterLease.usage_reports`` when it was sent; a later usage report includes the use that it reports."""
    credit_used: float
    sent_at: Instant


class LeaseRequester:
    """Sends one lease request at a time for each share, for all calls that wait, and applies the answers."""

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        selector: AllocatorSelector,
        shares: RouterShares,
        answer_lease_request: AnswerLeaseRequest,
        options: ShareOptions,
    ) -> None:
        self._context = context
        self._messenger = messenger
        self._selector = selector
        self._shares = shares
        self._answer_lease_request = answer_lease_request
        self._options = options

    # Scheduling

    def schedule_report(self, share: RouterShare) -> None:
        """Schedules one request that reports all use until then.

        It is sent immediately when the last answered request is at least ``REPORT_DELAY_S`` old.
        """
        if share.request_active or share.report_scheduled:
            return
        share.report_scheduled = True
        self._context.tasks.spawn("share report", self._report_after_delay(share))

    async def _report_after_delay(self, share: RouterShare) -> None:
        now, last_contact_at = self._now(), share.lease.last_contact_at()
        if last_contact_at is None:
            last_contact_at = Instant(now - REPORT_DELAY_S)
        if not share.lease.is_credit_half_used(now):
            delay_s = min(REPORT_DELAY_S, last_contact_at + REPORT_DELAY_S - now)
            await self._context.clock.sleep(Seconds(max(0.0, delay_s)))
        share.report_scheduled = False
        may_ask = not share.failover.is_unreachable() or self._now() >= share.next_probe_at
        if share.lease.outstanding() and may_ask:
            self.start_requesting(share)

    def start_requesting(self, share: RouterShare) -> None:
        """Starts requests for the calls that wait and the unreported use, unless some are in progress."""
        if not share.request_active:
            share.request_active = True
            share.next_probe_at = Instant(self._now() + self._options.probe_interval_s)
            self._context.tasks.spawn("share lease", self._send_requests(share))

    async def _send_requests(self, share: RouterShare) -> None:
        try:
            while await self._send_one_request(share):
                pass
        finally:
            share.request_active = False

    # One request

    async def _send_one_request(self, share: RouterShare) -> bool:
        """Sends one request to the allocator or its standby; returns whether another is needed immediately."""
        now = self._now()
        if not share.waiters and not share.has_unreported_use(now) and not share.failover.is_unreachable():
            return False
        allocator = self._selector.allocator(share.tenant.name)
        if allocator is None:
            self.mark_unreachable(share, now)
            return False
        to_standby = share.failover.uses_standby(allocator.incarnation)
        router = self._selector.standby(share.tenant.name) if to_standby else allocator
        sent = self._make_request(share, allocator, to_standby, now)
        grant = None if router is None else await self._send_to_router(sent, router)
        if grant is None or not grant.is_allocator:
            return self._handle_no_grant(sent, declined=grant is not None)
        self._handle_grant(sent, grant)
        return bool(share.waiters)

    def _make_request(self, share: RouterShare, allocator: Identity, to_standby: bool, now: Instant) -> SentRequest:
        waiters = list(share.waiters)
        usage_reports, credit_used = share.lease.usage_reports(), share.lease.credit_used(now)
        costs = tuple(waiter.cost for waiter in waiters)
        request = share.make_request(self._shares.next_request_number(), costs, to_standby, now)
        return SentRequest(share, request, waiters, allocator, to_standby, usage_reports, credit_used, now)

    async def _send_to_router(self, sent: SentRequest, router: Identity) -> LeaseGrant | None:
        """Returns the grant, or None after a failure or the hedge delay.

        A grant of the allocator that arrives later is still applied.
        """
        if router.incarnation == self._messenger.identity.incarnation:
            return await self._answer_lease_request(router, sent.request)
        options, starting = self._options, self._shares.is_starting()
        timeout_s = options.startup_request_timeout_s if starting else options.request_timeout_s
        hedge_delay_s = options.startup_hedge_delay_s if starting else options.hedge_delay_s
        call = asyncio.get_running_loop().create_task(
            self._messenger.call(router.internal, sent.request, LeaseGrant, timeout_s)
        )
        await asyncio.wait((call,), timeout=None if sent.to_standby else hedge_delay_s)
        if not call.done():
            call.add_done_callback(lambda done: self._handle_late_grant(sent, done))
            return None
        outcome = call.result()
        return outcome.unwrap() if isinstance(outcome, Success) else None

    # Answers

    def _handle_no_grant(self, sent: SentRequest, declined: bool) -> bool:
        """Handles a router that did not answer or declined; returns whether the standby must be asked immediately.

        If the standby fails too, the allocator is next, after the probe interval.
        """
        share, now = sent.share, self._now()
        share.lease.restore_outstanding(sent.request.used, sent.usage_reports)
        if declined:  # A router that declines has not accepted the transfer.
            share.lease.restore_transfer(sent.request.transferred)
        share.failover.record_no_grant(sent.to_standby, sent.allocator.incarnation)
        share.lease.mark_allocator_unresponsive(now)
        if sent.to_standby:
            self.mark_unreachable(share, now)
        return not sent.to_standby

    def _handle_grant(self, sent: SentRequest, grant: LeaseGrant) -> None:
        share, now = sent.share, self._now()
        if share.failover.record_grant(grant.from_standby):
            tenant, allocator = share.tenant.name, sent.allocator.name
            self._context.log.event(
                "allocator-reachable", tenant=tenant, allocator=allocator, by_standby=sent.to_standby
            )
        if grant.from_standby:
            share.lease.restore_outstanding(sent.request.used, sent.usage_reports)
        else:
            share.lease.restore_transfer(sent.request.transferred)
            share.lease.apply_grant(grant, sent.sent_at, sent.credit_used, now)
        self._resolve_waiters(sent, grant, now)

    def _handle_late_grant(self, sent: SentRequest, call: asyncio.Task[Result[LeaseGrant, TransportFailure]]) -> None:
        if call.cancelled() or not isinstance(outcome := call.result(), Success):
            return
        grant: LeaseGrant = outcome.unwrap()
        if not grant.is_allocator:
            return
        now, share = self._now(), sent.share
        share.failover.record_late_grant()
        share.lease.subtract_outstanding(sent.request.used)
        if not grant.from_standby:
            share.lease.apply_grant(grant, sent.sent_at, sent.credit_used, now)
        self._resolve_waiters(sent, grant, now)

    def _resolve_waiters(self, sent: SentRequest, grant: LeaseGrant, now: Instant) -> None:
        """Resolves the calls that waited for this request."""
        share, rejected = sent.share, False
        if not all(grant.granted) and not grant.from_standby:
            share.lease.suspend_credit()
        for waiter, granted in zip(sent.waiters, grant.granted, strict=False):
            if waiter in share.waiters:
                share.waiters.remove(waiter)
            if granted:
                self._resolve_granted(share, waiter, grant.from_standby, now)
            elif not waiter.result.done() and not self._take_from_lease(share, waiter, now):
                rejected = True
                waiter.resolve(self._reject(share, waiter, grant, now))
        if rejected:
            backoff_s = self._options.empty_bucket_backoff_s
            backoffs = min(max(1.0, grant.wait / backoff_s), MAX_EMPTY_BUCKET_BACKOFFS)
            share.bucket_empty_until = Instant(now + backoffs * backoff_s)

    def _resolve_granted(self, share: RouterShare, waiter: Waiter, from_standby: bool, now: Instant) -> None:
        """Resolves a granted call; if it no longer waits, its grant is stored for another call."""
        if waiter.result.done():
            share.unclaimed.add(waiter.cost, from_standby, now)
            return
        share.usage.record_admitted(waiter.cost, now)
        if from_standby:
            share.lease.add_outstanding(waiter.cost)
        waiter.resolve(WaitResult.GRANTED)

    def _take_from_lease(self, share: RouterShare, waiter: Waiter, now: Instant) -> bool:
        """Admits a call that was not granted if it fits into what the router may use on its own."""
        taken = share.take(waiter.cost, now)
        if taken:
            waiter.resolve(WaitResult.GRANTED)
        return taken

    def _reject(self, share: RouterShare, waiter: Waiter, grant: LeaseGrant, now: Instant) -> CallRejection:
        backoff_s = self._options.empty_bucket_backoff_s
        bucket_wait_s = max(grant.wait, backoff_s)
        wait_s = max(backoff_s, min(share.lease.time_until_allowance(waiter.cost, now), bucket_wait_s))
        return CallRejection(Seconds(min(MAX_RETRY_AFTER_S, wait_s)))

    def mark_unreachable(self, share: RouterShare, now: Instant) -> None:
        """Marks allocator and standby as unreachable and makes waiting calls fall back to the lease.

        Until a request is answered, only what may be used without a request is available.
        """
        share.lease.mark_allocator_unresponsive(now)
        if share.failover.record_unreachable(now):
            share.next_probe_at = Instant(now + self._options.probe_interval_s)
            self._context.log.event("allocator-unreachable", tenant=share.tenant.name)
        while share.waiters:
            share.waiters.popleft().resolve(WaitResult.FALL_BACK)

    def _now(self) -> Instant:
        return self._context.clock.monotonic()
