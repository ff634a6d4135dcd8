"""What a tenant's quota allows in any window, and how much of it each kind of use may take.

Arithmetic and proof: docs/DESIGN.md section 14.1.
"""

from __future__ import annotations

import msgspec

from ..bundle.model import Tenant
from ..identifiers import Seconds

CREDIT_FRACTION = 0.1
"""Part of the tolerance that the routers together may use before their keeper knows of it."""
RESERVE_FRACTION = 0.35
"""Part of the tolerance at least for keepers that know nothing yet and for deputies; the rest enlarges the bucket."""
LAG_FRACTION = 0.15
"""Part that is kept free: in a window that fills, routers go on by themselves until their next ask is answered."""
MAX_BUCKET_GROWTH_S = Seconds(1.0)
"""Worth of the paid rate by which the bucket is enlarged at most ..."""
LARGE_CALL_TOKENS = 45_000.0
"""... or this much, if that is more (tokens of one large call); what is left over goes to the reserve."""
MIN_RESERVE_S = Seconds(0.05)
"""Worth of the paid rate that such a keeper may always grant."""
MIN_BUCKET_CALLS = 5.0
"""Calls that also a small tenant may save up (but never more than five seconds' worth): with
less, a tenant well below its rate would be refused for the mere unevenness of its calls."""
MIN_BUCKET_S = Seconds(5.0)


class QuotaTolerance(msgspec.Struct, frozen=True, kw_only=True):
    """Use in any ``window`` may come to (rate x window + burst) x (1 + ``over``) + ``slack``.

    ``slack`` is in the tenants' unit. The default tolerates nothing beyond rate and burst.
    """

    window: Seconds = Seconds(8.0)
    over: float = 0.0
    slack: float = 0.0


class QuotaPlan(msgspec.Struct, frozen=True):
    """One tenant's figures, in its unit (calls or tokens)."""

    rate: float
    bucket: float
    """Most that the tenant's bucket saves up."""
    max_window_use: float
    """Most that a keeper lets be used in one window, by what it knows.

    Where nothing is tolerated a second burst, as what routers use by themselves counts for more than it is.
    """
    credit: float
    """Most that all routers together use on credit, at most once more per window while cut off."""
    reserve: float
    """What a keeper that knows nothing yet, or a deputy, may grant."""


def make_plan(paid_rate: float, burst: Seconds, unit: str, tolerance: QuotaTolerance) -> QuotaPlan:
    saved = paid_rate * burst
    over = tolerance.over * (paid_rate * tolerance.window + saved) + tolerance.slack
    credit, lag = CREDIT_FRACTION * over, LAG_FRACTION * over
    enlarged = min(
        over - credit - lag - RESERVE_FRACTION * over, max(paid_rate * MAX_BUCKET_GROWTH_S, LARGE_CALL_TOKENS)
    )
    reserve = over - credit - lag - enlarged
    smallest = min(MIN_BUCKET_CALLS, paid_rate * MIN_BUCKET_S) if unit == "calls" else 0.0
    least_reserve = max(1.0, MIN_RESERVE_S * paid_rate, smallest)
    bucket = max(1.0, saved + enlarged, smallest)
    return QuotaPlan(
        rate=paid_rate,
        bucket=bucket,
        max_window_use=paid_rate * tolerance.window + (bucket if over > 0.0 else 2.0 * bucket),
        credit=credit,
        reserve=min(bucket, max(reserve, least_reserve)),
    )


def make_tenant_plan(tenant: Tenant, tolerance: QuotaTolerance) -> QuotaPlan:
    return make_plan(tenant.paid_rate, tenant.burst, tenant.unit, tolerance)
