"""Token buckets, sliding-window counters, allocator selection and admission (docs/DESIGN.md section 14)."""

from __future__ import annotations

import unittest

from ...bundle.model import Service
from ...identifiers import (
    Address,
    DaemonName,
    Incarnation,
    Instant,
    PoolName,
    Seconds,
    ServiceName,
    TenantName,
    Zone,
)
from ...membership.rendezvous import ranked
from ...transport.frames import Identity
from ..admission import DeadlineAdmission
from ..allocator_selector import AllocatorSelector
from ..bucket import SlidingWindowCounter, TokenBucket
from .share_fleet import FakeMembership


def service(retry_share: float = 0.15, first_byte_timeout: float = 4.0) -> Service:
    return Service(
        name=ServiceName("chat"),
        pool=PoolName("model"),
        retry_share=retry_share,
        first_byte_patience=Seconds(first_byte_timeout),
    )


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


class AllocatorSelectorTest(unittest.TestCase):
    def test_incremental_updates_select_the_same_routers_as_a_full_ranking(self) -> None:
        membership = FakeMembership()
        selector = AllocatorSelector(membership)
        tenants = [TenantName(f"tenant {number}") for number in range(50)]
        self.assertIsNone(selector.allocator(tenants[0]))
        for members in ((1, 2, 3), (1, 3, 4, 5), (4, 5), (1, 2, 3, 4, 5, 6, 7), (7,)):
            routers = [router(number) for number in members]
            membership.learn(routers, Instant(0.0))
            for name in tenants:
                expected = ranked(name, routers, lambda each: f"{each.name}/{each.incarnation}")
                self.assertEqual(selector.allocator(name), expected[0])
                self.assertEqual(selector.standby(name), expected[1] if len(expected) > 1 else None)


def router(number: int) -> Identity:
    return Identity(DaemonName(f"r{number}"), Incarnation("i"), "router", Zone("a"), Address("127.0.0.1", number))


class AdmissionTest(unittest.TestCase):
    def test_rejects_calls_whose_first_token_would_come_too_late(self) -> None:
        admission = DeadlineAdmission()
        self.assertIsNone(admission.check(service(first_byte_timeout=4.0), Seconds(3.5)))
        rejection = admission.check(service(first_byte_timeout=4.0), Seconds(9.6))
        assert rejection is not None
        self.assertAlmostEqual(rejection.retry_after, 6.0)
        endless = admission.check(service(), Seconds(float("inf")))
        assert endless is not None
        self.assertEqual(endless.retry_after, 30.0)
