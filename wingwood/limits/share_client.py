"""A router's side of paid shares: admits calls by its lease and its requests (docs/DESIGN.md section 14.1)."""

from __future__ import annotations

import asyncio

from ..bundle.model import Tenant
from ..context.protocols import Clock
from ..identifiers import Instant, Seconds
from .lease_requester import MAX_RETRY_AFTER_S, LeaseRequester
from .protocols import CallRejection
from .router_share import RouterShare, Waiter, WaitResult
from .router_shares import RouterShares
from .share_options import ShareOptions


class ShareClient:
    """Admits or rejects the calls of all tenants at this router, and reports their use when no call does."""

    def __init__(self, clock: Clock, shares: RouterShares, requester: LeaseRequester, options: ShareOptions) -> None:
        self._clock = clock
        self._shares = shares
        self._requester = requester
        self._options = options

    async def take(self, tenant: Tenant, cost: int) -> CallRejection | None:
        """Charges a call to the tenant's share; returns None when it is admitted, else the rejection.

        Only a call that does not fit into the lease waits for the allocator, for at most
        ``ShareOptions.call_timeout_s`` (``startup_call_timeout_s`` during the startup period).
        """
        now = self._clock.monotonic()
        share = self._shares.share_of(tenant)
        share.usage.record_call(now)
        if share.take(cost, now):
            self._requester.schedule_report(share)
            return None
        if now < share.bucket_empty_until:
            return self._reject(share, cost, now)
        if share.failover.is_unreachable() and (share.request_active or now < share.next_probe_at):
            return self._reject(share, cost, now)
        result = await self._wait_for_allocator(share, cost)
        if isinstance(result, CallRejection):
            return result
        if result is WaitResult.GRANTED:
            return None
        now = self._clock.monotonic()
        self._requester.mark_unreachable(share, now)
        return None if share.take(cost, now) else self._reject(share, cost, now)

    def _reject(self, share: RouterShare, cost: int, now: Instant) -> CallRejection:
        wait_s = share.lease.time_until_allowance(cost, now)
        if not share.lease.allocator_unresponsive():
            wait_s = min(wait_s, Seconds(max(share.bucket_empty_until - now, cost / share.lease.paid_rate())))
        return CallRejection(Seconds(min(MAX_RETRY_AFTER_S, max(self._options.empty_bucket_backoff_s, wait_s))))

    async def _wait_for_allocator(self, share: RouterShare, cost: int) -> CallRejection | WaitResult:
        waiter = Waiter(cost)
        share.waiters.append(waiter)
        self._requester.start_requesting(share)
        starting = self._shares.is_starting()
        timeout_s = self._options.startup_call_timeout_s if starting else self._options.call_timeout_s
        try:
            await asyncio.wait((waiter.result,), timeout=timeout_s)
            return waiter.result.result() if waiter.result.done() else WaitResult.FALL_BACK
        finally:
            if not waiter.result.done():
                waiter.result.cancel()
            if waiter in share.waiters:
                share.waiters.remove(waiter)

    def sweep(self, now: Instant) -> None:
        """Reports unreported use to the allocators and drops the state of tenants without calls."""
        for share in self._shares.all():
            if share.has_unreported_use(now):
                self._requester.start_requesting(share)
            elif share.is_unused(now):
                self._shares.remove(share)

    def return_allowances(self) -> None:
        """Reports unreported use and returns the allowances, when the router stops."""
        now = self._clock.monotonic()
        for share in self._shares.all():
            share.usage.end_activity()
            if share.has_unreported_use(now):
                self._requester.start_requesting(share)
