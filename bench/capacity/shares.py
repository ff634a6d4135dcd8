"""Measures paid shares: lease requests per call against a tenant's rate (simulated), and the cost of a request."""

from __future__ import annotations

import asyncio
import time

from wingwood.identifiers import TenantName
from wingwood.limits.messages import LeaseRequest
from wingwood.limits.shares import FleetShares
from wingwood.limits.tests.share_fleet import ShareFleet, tenant
from wingwood.transport.messenger import TcpMessenger

from ..limits_bench import even
from .common import DiscardingMessenger, FixedMembership, Row, real_quiet_context, routers

RATES = (1.0, 10.0, 100.0, 1000.0)
SIMULATED_SECONDS = 20.0


def measure_asks() -> list[Row]:
    """Counts lease requests of eleven routers that share the calls of a tenant evenly, at half of its paid rate."""
    from simulation import World  # noqa: PLC0415

    rows: list[Row] = []
    original = TcpMessenger.call
    lease_requests = 0

    async def counting(self: TcpMessenger, address, message, *rest):  # type: ignore[no-untyped-def]
        nonlocal lease_requests
        lease_requests += isinstance(message, LeaseRequest)
        return await original(self, address, message, *rest)

    TcpMessenger.call = counting  # type: ignore[method-assign, assignment]
    try:
        for rate in RATES:
            lease_requests = 0
            load = even(rate)
            with World(5) as world:
                fleet = ShareFleet(world, 11, tenant(2 * rate), load, max(load(0, 2.0), 0.01))
                world.run(SIMULATED_SECONDS)
                accepted = fleet.accepted(0.0, SIMULATED_SECONDS)
                refused = fleet.offered(0.0, SIMULATED_SECONDS) - accepted
            rows.append(
                {
                    "rate": rate,
                    "rate_per_router": rate / 11,
                    "accepted": accepted,
                    "refused": refused,
                    "asks": lease_requests,
                    "asks_per_call": lease_requests / accepted,
                    "asks_per_second_and_router": lease_requests / SIMULATED_SECONDS / 11,
                }
            )
    finally:
        TcpMessenger.call = original  # type: ignore[method-assign]
    return rows


async def _grant_cost() -> list[Row]:
    """Measures the allocator's own work for a lease request, without the message, against its number of tenants."""
    rows: list[Row] = []
    for count in (100, 1_000, 10_000):
        members = routers(2)
        context = real_quiet_context()
        shares = FleetShares(context, DiscardingMessenger(members[0]), FixedMembership(members[:1]))
        tenants = [tenant(1e6) for _ in range(1)]
        names = [TenantName(f"t{number}") for number in range(count)]
        number = 0
        for name in names:
            number += 1
            await shares.answer_lease_request(
                members[1], LeaseRequest(name, 1e6, tenants[0].burst, "calls", number, (1,))
            )
        lease_requests = 5_000
        started = time.process_time()
        for step in range(lease_requests):
            number += 1
            lease_request = LeaseRequest(names[step % count], 1e6, tenants[0].burst, "calls", number, (1,))
            assert (await shares.answer_lease_request(members[1], lease_request)).granted == (True,)
        rows.append({"tenants": count, "grant_us": (time.process_time() - started) / lease_requests * 1e6})
    return rows


def measure_grants() -> list[Row]:
    return asyncio.run(_grant_cost())
