"""Token buckets and sliding-window counters (docs/DESIGN.md section 14)."""

from __future__ import annotations

import unittest

from ...identifiers import Instant, Seconds
from ..bucket import SlidingWindowCounter, TokenBucket


class TokenBucketTest(unittest.TestCase):
    def test_refills_at_its_rate_up_to_its_capacity_and_gives_whole_tokens(self) -> None:
        bucket = TokenBucket(rate=10.0, capacity=5.0, level=0.0, now=Instant(0.0))
        self.assertEqual(bucket.take(1, Instant(0.09)), 0)
        self.assertAlmostEqual(bucket.seconds_until(Instant(0.09)), 0.01)
        self.assertEqual(bucket.take(3, Instant(0.25)), 2)
        self.assertEqual(bucket.take(9, Instant(100.0)), 5)
        self.assertEqual(bucket.take(1, Instant(99.0)), 0, "a clock that goes back must not refill the bucket")

    def test_a_negative_level_is_bounded_and_a_new_rate_applies_from_its_change(self) -> None:
        bucket = TokenBucket(rate=10.0, capacity=5.0, level=0.0, now=Instant(0.0))
        bucket.adjust(-100.0, Instant(0.0))
        self.assertEqual(bucket.level, -5.0)
        bucket.reconfigure(1.0, 5.0, Instant(0.5))
        self.assertEqual(bucket.level, 0.0)
        self.assertEqual(bucket.take(9, Instant(2.5)), 2)


class SlidingWindowCounterTest(unittest.TestCase):
    def test_drops_events_older_than_the_window(self) -> None:
        recent = SlidingWindowCounter(Seconds(1.0))
        for tenth in range(30):
            recent.add(Instant(tenth / 10))
        self.assertIn(recent.count(Instant(2.95)), (10, 11))
        self.assertIn(recent.count(Instant(2.95), Seconds(0.5)), (5, 6))
        self.assertEqual(recent.count(Instant(9.0)), 0)
