"""Division of a tenant's quota among the kinds of use (docs/DESIGN.md section 14.1)."""

from __future__ import annotations

import unittest

from ...identifiers import Seconds
from ..tolerance import CREDIT_FRACTION, LAG_FRACTION, QuotaTolerance, make_plan
from .account_samples import RATE, WINDOW, plan


class PlanTest(unittest.TestCase):
    def test_the_parts_add_up_to_the_bound(self) -> None:
        for rate in (29_000.0, RATE, 436_000.0):
            for slack in (72_000.0, 110_000.0):
                parts = plan(rate, QuotaTolerance(window=WINDOW, over=0.1, slack=slack))
                bound = (rate * WINDOW + rate) * 1.1 + slack
                total = parts.max_window_use + parts.credit + parts.reserve + LAG_FRACTION * (bound - 9.0 * rate)
                self.assertLessEqual(total, bound + 1e-6)
                self.assertGreater(total, 0.99 * bound, "a reserve above the bucket's capacity would be wasted")
                self.assertGreaterEqual(parts.bucket, max(rate, 45_000.0), "a large call must fit into the bucket")
                self.assertAlmostEqual(parts.credit, CREDIT_FRACTION * (bound - 9.0 * rate))

    def test_without_tolerance_the_bucket_is_the_burst(self) -> None:
        self.assertEqual(make_plan(100.0, Seconds(1.0), "calls", QuotaTolerance()).bucket, 100.0)
        self.assertEqual(make_plan(2.0, Seconds(1.0), "calls", QuotaTolerance()).bucket, 5.0)
