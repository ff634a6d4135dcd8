"""A tenant's quota in any window, and how it is divided among the kinds of use.

The arithmetic and its proof are in docs/DESIGN.md section 14.1.
"""

from __future__ import annotations

import msgspec

from ..bundle.model import Tenant
from ..identifiers import Seconds

CREDIT_FRACTION = 0.1
"""Fraction of the tolerance that the routers together may use before they report it to the allocator."""
RESERVE_FRACTION = 0.35
"""Least fraction of the tolerance for standbys and for allocators without reports; the rest enlarges the bucket."""
LAG_FRACTION = 0.15
"""Fraction left unused: while a window fills, routers use their allowance until their next request is answered."""
MAX_BUCKET_GROWTH_S = Seconds(1.0)
"""Seconds of the paid rate by which the bucket is enlarged at most, or ``LARGE_CALL_TOKENS`` if that is more."""
LARGE_CALL_TOKENS = 45_000.0
"""Tokens of one large call; the tolerance beyond this enlargement of the bucket is added to the reserve."""
MIN_RESERVE_S = Seconds(0.05)
"""Seconds of the paid rate that a standby, or an allocator without reports, may always grant."""
MIN_BUCKET_CALLS = 5.0
"""Calls that even a small tenant may accumulate (but never more than ``MIN_BUCKET_S`` of its rate).

With less, a tenant well below its rate would be refused only because its calls are uneven.
"""
MIN_BUCKET_S = Seconds(5.0)
"""Seconds of the paid rate that limit the ``MIN_BUCKET_CALLS`` of a small tenant."""


class QuotaTolerance(msgspec.Struct, frozen=True, kw_only=True):
    """Use in any ``window`` may reach (rate x window + burst) x (1 + ``over``) + ``slack``.

    ``slack`` is in the tenant's unit. The default tolerates nothing beyond rate and burst.
    """

    window: Seconds = Seconds(8.0)
    over: float = 0.0
    slack: float = 0.0


class QuotaPlan(msgspec.Struct, frozen=True):
    """The amounts of one tenant's quota, in its unit (calls or tokens)."""

    rate: float
    bucket: float
    """Capacity of the tenant's bucket."""
    max_window_use: float
    """Most use in one window that an allocator permits, by what it knows.

    Without a tolerance it includes a second burst, as the use of the routers' allowances is overestimated.
    """
    credit: float
    """Most that all routers together use on credit, and at most once more per window while partitioned off."""
    reserve: float
    """Amount that a standby, or an allocator without reports, may grant."""


def make_plan(paid_rate: float, burst: Seconds, unit: str, tolerance: QuotaTolerance) -> QuotaPlan:
    """Divides a tenant's rate, burst and tolerance among bucket, window, credit and reserve."""
    burst_tokens = paid_rate * burst
    over = tolerance.over * (paid_rate * tolerance.window + burst_tokens) + tolerance.slack
    credit, lag = CREDIT_FRACTION * over, LAG_FRACTION * over
    enlarged = min(
        over - credit - lag - RESERVE_FRACTION * over, max(paid_rate * MAX_BUCKET_GROWTH_S, LARGE_CALL_TOKENS)
    )
    reserve = over - credit - lag - enlarged
    smallest = min(MIN_BUCKET_CALLS, paid_rate * MIN_BUCKET_S) if unit == "calls" else 0.0
    least_reserve = max(1.0, MIN_RESERVE_S * paid_rate, smallest)
    bucket = max(1.0, burst_tokens + enlarged, smallest)
    return QuotaPlan(
        rate=paid_rate,
        bucket=bucket,
        max_window_use=paid_rate * tolerance.window + (bucket if over > 0.0 else 2.0 * bucket),
        credit=credit,
        reserve=min(bucket, max(reserve, least_reserve)),
    )


def make_tenant_plan(tenant: Tenant, tolerance: QuotaTolerance) -> QuotaPlan:
    """Returns the plan for a tenant of the bundle."""
    return make_plan(tenant.paid_rate, tenant.burst, tenant.unit, tolerance)
