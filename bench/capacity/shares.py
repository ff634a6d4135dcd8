"""Paid shares: how many asks a tenant's calls cost by its rate (simulated), and what an ask costs (loopback)."""

from __future__ import annotations

import asyncio
import time

from wingwood.identifiers import TenantName
from wingwood.limits.messages import LeaseRequest
from wingwood.limits.shares import FleetShares
from wingwood.limits.tests.share_fleet import ShareFleet, tenant
from wingwood.transport.messenger import TcpMessenger

from ..limits_bench import even
from .common import DeafMessenger, FixedMembership, Row, real_quiet_context, routers

RATES = (1.0, 10.0, 100.0, 1000.0)
SECONDS = 20.0


def measure_asks() -> list[Row]:
    """Eleven routers, each tenant's calls spread evenly over them, at half of its paid rate."""
    from simulation import World  # noqa: PLC0415

    rows: list[Row] = []
    original = TcpMessenger.call
    asks = 0

    async def counting(self: TcpMessenger, address, message, *rest):  # type: ignore[no-untyped-def]
        nonlocal asks
        asks += isinstance(message, LeaseRequest)
        return await original(self, address, message, *rest)

    TcpMessenger.call = counting  # type: ignore[method-assign, assignment]
    try:
        for rate in RATES:
            asks = 0
            load = even(rate)
            with World(5) as world:
                fleet = ShareFleet(world, 11, tenant(2 * rate), load, max(load(0, 2.0), 0.01))
                world.run(SECONDS)
                accepted = fleet.accepted(0.0, SECONDS)
                refused = fleet.offered(0.0, SECONDS) - accepted
            rows.append(
                {
                    "rate": rate,
                    "rate_per_router": rate / 11,
                    "accepted": accepted,
                    "refused": refused,
                    "asks": asks,
                    "asks_per_call": asks / accepted,
                    "asks_per_second_and_router": asks / SECONDS / 11,
                }
            )
    finally:
        TcpMessenger.call = original  # type: ignore[method-assign]
    return rows


async def _cost() -> list[Row]:
    """The keeper's own part of an ask, without the message, by the number of tenants that it keeps."""
    rows: list[Row] = []
    for count in (100, 1_000, 10_000):
        members = routers(2)
        context = real_quiet_context()
        shares = FleetShares(context, DeafMessenger(members[0]), FixedMembership(members[:1]))
        tenants = [tenant(1e6) for _ in range(1)]
        names = [TenantName(f"t{number}") for number in range(count)]
        number = 0
        for name in names:
            number += 1
            await shares._answer_lease_request(
                members[1], LeaseRequest(name, 1e6, tenants[0].burst, "calls", number, (1,))
            )
        asks = 5_000
        begun = time.process_time()
        for step in range(asks):
            number += 1
            ask = LeaseRequest(names[step % count], 1e6, tenants[0].burst, "calls", number, (1,))
            assert (await shares._answer_lease_request(members[1], ask)).granted == (True,)
        rows.append({"tenants": count, "grant_us": (time.process_time() - begun) / asks * 1e6})
    return rows


def measure_grants() -> list[Row]:
    return asyncio.run(_cost())
