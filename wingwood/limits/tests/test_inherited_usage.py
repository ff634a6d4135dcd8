"""Usage that a new allocator inherits from its predecessor (docs/DESIGN.md section 14.1)."""

from __future__ import annotations

import unittest

from ...identifiers import Seconds
from ..inherited_usage import merge_reports
from ..messages import AllocatorView, UsageReport
from .account_samples import RATE, WINDOW


class InheritedUsageTest(unittest.TestCase):
    def report(
        self, *used: int, covered_span: float = 8.0, view: AllocatorView | None = None, ago: float = 0.0
    ) -> UsageReport:
        return UsageReport(used, Seconds(covered_span), None, 1, view=view, view_age=Seconds(ago))

    def test_reports_are_summed_by_age(self) -> None:
        inherited = merge_reports([self.report(1, 2), self.report(10, 0, 30)], WINDOW)
        self.assertEqual(inherited.steps, (11, 2, 30))
        self.assertEqual((inherited.unreported, inherited.span), (0.0, 8.0))

    def test_use_at_an_ended_allocator_is_derived_from_its_view(self) -> None:
        view = AllocatorView(used=500_000.0, total_allowed_rate=RATE, covered_span=Seconds(30.0), level=20_000.0)
        inherited = merge_reports([self.report(0, 100_000, 200_000, view=view)], WINDOW)
        self.assertEqual(inherited.unreported, 200_000.0)
        self.assertEqual(inherited.total_allowed_rate, RATE)

    def test_the_bucket_level_follows_from_the_time_that_reports_cover(self) -> None:
        recent = merge_reports([self.report(covered_span=0.5), self.report(covered_span=3.0)], WINDOW)
        self.assertAlmostEqual(recent.level(RATE, 150_000.0), 50_000.0)
        self.assertAlmostEqual(merge_reports([self.report()], WINDOW).level(RATE, 150_000.0), 150_000.0)

    def test_a_report_of_a_recently_started_router_does_not_shorten_a_longer_view(self) -> None:
        view = AllocatorView(used=0.0, total_allowed_rate=0.0, covered_span=Seconds(30.0), level=90_000.0)
        inherited = merge_reports([self.report(covered_span=0.5), self.report(view=view, ago=0.2)], WINDOW)
        self.assertAlmostEqual(inherited.level(RATE, 150_000.0), 150_000.0)
