"""A tenant's plan, routers and lease requests, for tests of the allocator's accounts."""

from __future__ import annotations

from ...identifiers import Address, DaemonName, Incarnation, Instant, Seconds, TenantName, Zone
from ...transport.frames import Identity
from ..messages import LeaseRequest
from ..tolerance import QuotaPlan, QuotaTolerance, make_plan

WINDOW = Seconds(8.0)
TOLERANCE = QuotaTolerance(window=WINDOW, over=0.1, slack=72_000.0)
RATE = 100_000.0


def plan(rate: float = RATE, tolerance: QuotaTolerance = TOLERANCE) -> QuotaPlan:
    return make_plan(rate, Seconds(1.0), "tokens", tolerance)


def router(number: int) -> Identity:
    return Identity(
        DaemonName(f"r{number}"), Incarnation(f"i{number}"), "router", Zone("a"), Address("127.0.0.1", number)
    )


def request(number: int, *costs: int, used: int = 0, needed_rate: float = 0.0, accrued: float = 0.0) -> LeaseRequest:
    return LeaseRequest(TenantName("estate"), RATE, Seconds(1.0), "tokens", number, costs, used, needed_rate, accrued)


def at(seconds: float) -> Instant:
    return Instant(seconds)
