"""An allocator's bucket and window.

A mistake here lets a tenant exceed its quota or refuses calls below it (docs/DESIGN.md section 14.1).
"""

from __future__ import annotations

import unittest
from random import Random
from unittest import mock

from ...identifiers import Address, DaemonName, Incarnation, Zone
from ...transport.frames import Identity
from ..router_records import REQUEST_LAG_S, TOTALS_MAX_AGE_S, RouterRecord
from ..share_account import ShareAccount
from ..share_options import AUTONOMY_S
from .account_samples import RATE, WINDOW, at, plan, request, router


class ManyRoutersTest(unittest.TestCase):
    """Above ``EXACT_TOTALS_MAX_ROUTERS`` routers, totals are extrapolated instead of computed for each request."""

    ROUTERS = 300

    def test_totals_are_upper_bounds_close_to_the_exact_totals(self) -> None:
        random = Random(5)
        account = ShareAccount(plan(), WINDOW, plan().bucket, at(0.0))
        account.reports_requested = True
        now, numbers = 0.0, dict.fromkeys(range(self.ROUTERS), 0)
        for step in range(2500):
            now += random.choice((0.0, 0.001, 0.003, 0.02, 0.2 if step % 500 == 0 else 0.002))
            number = random.randrange(self.ROUTERS)
            numbers[number] += 1
            may_rise = random.random() < 0.95
            account.renew_lease(
                router(number),
                request(
                    numbers[number],
                    used=random.randrange(50),
                    needed_rate=random.choice((0.0, RATE / 100)),
                    accrued=random.choice((0.0, 30.0)),
                ),
                at(now),
                may_rise,
            )
            account.grant((random.randrange(100),), at(now), unconfirmed=not may_rise)
            now += random.choice((0.0, 0.004))
            unconfirmed = random.random() < 0.1
            available = account.available(at(now), unconfirmed)
            total_allowed_rate = account.routers.total_allowed_rate(at(now))
            account.routers.invalidate_totals()
            exact = account.available(at(now), unconfirmed)
            exact_allowed_rate = account.routers.total_allowed_rate(at(now))
            self.assertLessEqual(available.in_bucket, exact.in_bucket + 1e-6)
            self.assertLessEqual(available.in_window, exact.in_window + 1e-6)
            self.assertLessEqual(exact_allowed_rate, total_allowed_rate + 1e-6)
            slack = RATE * (TOTALS_MAX_AGE_S + REQUEST_LAG_S)
            self.assertGreaterEqual(available.in_bucket, exact.in_bucket - slack)
            self.assertGreaterEqual(available.in_window, exact.in_window - slack)

    def test_a_request_does_not_visit_each_of_a_thousand_routers(self) -> None:
        account = ShareAccount(plan(), WINDOW, plan().bucket, at(0.0))
        account.reports_requested = True
        for number in range(1000):
            account.renew_lease(router(number), request(1, needed_rate=100.0), at(0.0), True)
        original = RouterRecord.may_have_used
        with mock.patch.object(RouterRecord, "may_have_used", autospec=True, side_effect=original) as counted:
            for number in range(100):
                account.renew_lease(router(number), request(2, 50, needed_rate=100.0), at(0.001), True)
                account.grant((50,), at(0.001), unconfirmed=False)
                account.available(at(0.001), unconfirmed=False)
        self.assertLess(counted.call_count, 5000)


class ShareAccountTest(unittest.TestCase):
    def setUp(self) -> None:
        self.account = ShareAccount(plan(), WINDOW, plan().bucket, at(0.0))
        self.account.reports_requested = True

    def test_calls_are_granted_completely_or_not_at_all(self) -> None:
        result = self.account.grant((40_000, 200_000, 200), at(0.0), unconfirmed=False)
        self.assertEqual(result.granted, (True, False, True))
        self.assertGreater(result.wait, 0.0)

    def test_a_call_larger_than_the_bucket_is_granted_from_a_nearly_full_bucket(self) -> None:
        self.assertEqual(
            self.account.grant((int(plan().bucket) + 10_000,), at(0.0), unconfirmed=False).granted, (True,)
        )
        self.assertEqual(
            self.account.grant((int(plan().bucket) + 10_000,), at(0.1), unconfirmed=False).granted, (False,)
        )

    def test_allowances_together_never_exceed_the_rate(self) -> None:
        allowed_rate = [
            self.account.renew_lease(router(number), request(1, needed_rate=30_000.0), at(0.0), True)
            for number in range(5)
        ]
        self.assertEqual(allowed_rate, [30_000.0, 30_000.0, 30_000.0, 10_000.0, 0.0])
        self.account.renew_lease(router(0), request(2, needed_rate=0.0), at(0.1), True)
        self.assertEqual(self.account.renew_lease(router(4), request(2, needed_rate=30_000.0), at(0.2), True), 30_000.0)

    def test_without_a_confirmed_session_allowances_do_not_rise(self) -> None:
        self.assertEqual(self.account.renew_lease(router(1), request(1, needed_rate=30_000.0), at(0.0), False), 0.0)

    def test_an_unresponsive_router_is_counted_in_the_window_until_its_allowance_expires(self) -> None:
        self.account.renew_lease(router(1), request(1, needed_rate=50_000.0), at(0.0), True)
        empty = plan().max_window_use
        self.assertAlmostEqual(self.account.available(at(4.0), unconfirmed=False).in_window, empty - 200_000.0)
        self.assertAlmostEqual(self.account.available(at(AUTONOMY_S), unconfirmed=False).in_window, empty - 400_000.0)
        self.assertAlmostEqual(self.account.available(at(AUTONOMY_S + 8.0), unconfirmed=False).in_window, empty)
        self.account.renew_lease(router(1), request(2, used=10_000, needed_rate=0.0), at(20.0), True)
        self.assertAlmostEqual(self.account.available(at(20.0), unconfirmed=False).in_window, empty - 10_000.0)

    def test_a_full_window_reduces_allowances_to_zero(self) -> None:
        self.account.charge(plan().max_window_use - 1_000, at(0.0))
        self.assertLess(self.account.renew_lease(router(1), request(1, needed_rate=50_000.0), at(0.0), True), 2_000.0)
        self.account.charge(1_000, at(0.0))
        self.assertEqual(self.account.renew_lease(router(1), request(2, needed_rate=50_000.0), at(0.1), True), 0.0)

    def test_a_late_request_is_outdated_and_a_restart_replaces_the_record(self) -> None:
        self.account.renew_lease(router(1), request(5, needed_rate=50_000.0), at(0.0), True)
        self.assertTrue(self.account.is_outdated(router(1), request(5)))
        self.assertFalse(self.account.is_outdated(router(1), request(6)))
        again = Identity(DaemonName("r1"), Incarnation("later"), "router", Zone("a"), Address("127.0.0.1", 1))
        self.assertEqual(self.account.renew_lease(again, request(1, needed_rate=RATE), at(1.0), True), RATE)

    def test_only_a_lowered_limit_starts_with_an_empty_window(self) -> None:
        self.account.charge(300_000, at(0.0))
        self.account.change_plan(plan(2 * RATE), at(1.0))
        self.assertEqual(self.account.used.count(at(1.0)), 300_000)
        self.account.change_plan(plan(RATE / 2), at(2.0))
        self.assertEqual(self.account.used.count(at(2.0)), 0)
