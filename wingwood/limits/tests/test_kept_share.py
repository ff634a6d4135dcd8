"""A keeper's two limits, what it inherits, and a deputy's account (docs/DESIGN.md section 14.1)."""

from __future__ import annotations

import unittest
from random import Random
from unittest import mock

from ...identifiers import Address, DaemonName, Incarnation, Instant, Seconds, TenantName, Zone
from ...transport.frames import Identity
from ..kept_share import AUTONOMY, LAG, SUMMED_FOR, KeptShare, _Asker
from ..messages import KeeperView, LeaseAsk, UseAnswer
from ..stand_in import StandIn
from ..takeover import inherit
from ..tolerance import CREDIT_PART, LAG_PART, QuotaPlan, QuotaTolerance, plan_of

WINDOW = Seconds(8.0)
TOLERANCE = QuotaTolerance(window=WINDOW, over=0.1, slack=72_000.0)
RATE = 100_000.0


def plan(rate: float = RATE, tolerance: QuotaTolerance = TOLERANCE) -> QuotaPlan:
    return plan_of(rate, Seconds(1.0), "tokens", tolerance)


def router(number: int) -> Identity:
    return Identity(
        DaemonName(f"r{number}"), Incarnation(f"i{number}"), "router", Zone("a"), Address("127.0.0.1", number)
    )


def ask(number: int, *costs: int, used: int = 0, need: float = 0.0, saved: float = 0.0) -> LeaseAsk:
    return LeaseAsk(TenantName("estate"), RATE, Seconds(1.0), "tokens", number, costs, used, need, saved)


def at(seconds: float) -> Instant:
    return Instant(seconds)


class PlanTest(unittest.TestCase):
    def test_the_parts_make_the_bound(self) -> None:
        for rate in (29_000.0, RATE, 436_000.0):
            for slack in (72_000.0, 110_000.0):
                parts = plan(rate, QuotaTolerance(window=WINDOW, over=0.1, slack=slack))
                bound = (rate * WINDOW + rate) * 1.1 + slack
                whole = parts.most + parts.credit + parts.reserve + LAG_PART * (bound - 9.0 * rate)
                self.assertLessEqual(whole, bound + 1e-6)
                self.assertGreater(whole, 0.99 * bound, "a reserve of more than a bucket would be no use")
                self.assertGreaterEqual(parts.bucket, max(rate, 45_000.0), "a large call has to fit")
                self.assertAlmostEqual(parts.credit, CREDIT_PART * (bound - 9.0 * rate))

    def test_without_tolerance_the_bucket_is_the_burst(self) -> None:
        self.assertEqual(plan_of(100.0, Seconds(1.0), "calls", QuotaTolerance()).bucket, 100.0)
        self.assertEqual(plan_of(2.0, Seconds(1.0), "calls", QuotaTolerance()).bucket, 5.0)


class ManyRoutersTest(unittest.TestCase):
    """Above ``SUMMED_ABOVE`` routers their parts are not added up for each ask."""

    ROUTERS = 300

    def test_sums_are_never_below_what_the_routers_may_use_and_hardly_above(self) -> None:
        random = Random(5)
        kept = KeptShare(plan(), WINDOW, plan().bucket, at(0.0))
        kept.gathered = True
        now, numbers = 0.0, dict.fromkeys(range(self.ROUTERS), 0)
        for step in range(2500):
            now += random.choice((0.0, 0.001, 0.003, 0.02, 0.2 if step % 500 == 0 else 0.002))
            number = random.randrange(self.ROUTERS)
            numbers[number] += 1
            may_rise = random.random() < 0.95
            kept.settle(
                router(number),
                ask(
                    numbers[number],
                    used=random.randrange(50),
                    need=random.choice((0.0, RATE / 100)),
                    saved=random.choice((0.0, 30.0)),
                ),
                at(now),
                may_rise,
            )
            kept.grant((random.randrange(100),), at(now), limited=not may_rise)
            now += random.choice((0.0, 0.004))
            limited = random.random() < 0.1
            in_bucket, in_window = kept.room(at(now), limited)
            promised = kept.promised(at(now))
            kept._sums = None
            exact_bucket, exact_window = kept.room(at(now), limited)
            exact_promised = kept.promised(at(now))
            self.assertLessEqual(in_bucket, exact_bucket + 1e-6)
            self.assertLessEqual(in_window, exact_window + 1e-6)
            self.assertLessEqual(exact_promised, promised + 1e-6)
            slack = RATE * (SUMMED_FOR + LAG)
            self.assertGreaterEqual(in_bucket, exact_bucket - slack)
            self.assertGreaterEqual(in_window, exact_window - slack)

    def test_an_ask_costs_the_same_with_a_thousand_routers(self) -> None:
        kept = KeptShare(plan(), WINDOW, plan().bucket, at(0.0))
        kept.gathered = True
        for number in range(1000):
            kept.settle(router(number), ask(1, need=100.0), at(0.0), True)
        original = _Asker.may_have_used
        with mock.patch.object(_Asker, "may_have_used", autospec=True, side_effect=original) as counted:
            for number in range(100):
                kept.settle(router(number), ask(2, 50, need=100.0), at(0.001), True)
                kept.grant((50,), at(0.001), limited=False)
                kept.room(at(0.001), limited=False)
        self.assertLess(counted.call_count, 5000)


class KeptShareTest(unittest.TestCase):
    def setUp(self) -> None:
        self.kept = KeptShare(plan(), WINDOW, plan().bucket, at(0.0))
        self.kept.gathered = True

    def test_calls_are_granted_whole_or_not(self) -> None:
        granted, wait = self.kept.grant((40_000, 200_000, 200), at(0.0), limited=False)
        self.assertEqual(granted, (True, False, True))
        self.assertGreater(wait, 0.0)

    def test_a_call_larger_than_the_bucket_is_granted_when_that_is_nearly_full(self) -> None:
        self.assertEqual(self.kept.grant((int(plan().bucket) + 10_000,), at(0.0), limited=False)[0], (True,))
        self.assertEqual(self.kept.grant((int(plan().bucket) + 10_000,), at(0.1), limited=False)[0], (False,))

    def test_allowances_never_sum_to_more_than_the_rate(self) -> None:
        allowed = [self.kept.settle(router(number), ask(1, need=30_000.0), at(0.0), True) for number in range(5)]
        self.assertEqual(allowed, [30_000.0, 30_000.0, 30_000.0, 10_000.0, 0.0])
        self.kept.settle(router(0), ask(2, need=0.0), at(0.1), True)
        self.assertEqual(self.kept.settle(router(4), ask(2, need=30_000.0), at(0.2), True), 30_000.0)

    def test_without_a_proven_session_allowances_do_not_rise(self) -> None:
        self.assertEqual(self.kept.settle(router(1), ask(1, need=30_000.0), at(0.0), False), 0.0)

    def test_a_silent_router_counts_in_the_window_until_its_allowance_ends(self) -> None:
        self.kept.settle(router(1), ask(1, need=50_000.0), at(0.0), True)
        empty = plan().most
        self.assertAlmostEqual(self.kept.room(at(4.0), limited=False)[1], empty - 200_000.0)
        self.assertAlmostEqual(self.kept.room(at(AUTONOMY), limited=False)[1], empty - 400_000.0)
        self.assertAlmostEqual(self.kept.room(at(AUTONOMY + 8.0), limited=False)[1], empty)
        self.kept.settle(router(1), ask(2, used=10_000, need=0.0), at(20.0), True)
        self.assertAlmostEqual(self.kept.room(at(20.0), limited=False)[1], empty - 10_000.0)

    def test_a_full_window_ends_allowances(self) -> None:
        self.kept.charge(plan().most - 1_000, at(0.0))
        self.assertLess(self.kept.settle(router(1), ask(1, need=50_000.0), at(0.0), True), 2_000.0)
        self.kept.charge(1_000, at(0.0))
        self.assertEqual(self.kept.settle(router(1), ask(2, need=50_000.0), at(0.1), True), 0.0)

    def test_a_late_ask_is_void_and_an_earlier_life_is_forgotten(self) -> None:
        self.kept.settle(router(1), ask(5, need=50_000.0), at(0.0), True)
        self.assertTrue(self.kept.is_void(router(1), ask(5)))
        self.assertFalse(self.kept.is_void(router(1), ask(6)))
        again = Identity(DaemonName("r1"), Incarnation("later"), "router", Zone("a"), Address("127.0.0.1", 1))
        self.assertEqual(self.kept.settle(again, ask(1, need=RATE), at(1.0), True), RATE)

    def test_a_lower_limit_begins_with_an_empty_window_and_a_higher_one_does_not(self) -> None:
        self.kept.charge(300_000, at(0.0))
        self.kept.change(plan(2 * RATE), at(1.0))
        self.assertEqual(self.kept.used.count(at(1.0)), 300_000)
        self.kept.change(plan(RATE / 2), at(2.0))
        self.assertEqual(self.kept.used.count(at(2.0)), 0)


class InheritanceTest(unittest.TestCase):
    def report(self, *used: int, known: float = 8.0, view: KeeperView | None = None, ago: float = 0.0) -> UseAnswer:
        return UseAnswer(used, Seconds(known), None, 1, view=view, view_ago=Seconds(ago))

    def test_reports_are_summed_by_age(self) -> None:
        inherited = inherit([self.report(1, 2), self.report(10, 0, 30)], WINDOW)
        self.assertEqual(inherited.steps, (11, 2, 30))
        self.assertEqual((inherited.unreported, inherited.span), (0.0, 8.0))

    def test_use_of_a_keeper_that_has_ended_is_known_from_its_view(self) -> None:
        view = KeeperView(used=500_000.0, promised=RATE, known=Seconds(30.0), level=20_000.0)
        inherited = inherit([self.report(0, 100_000, 200_000, view=view)], WINDOW)
        self.assertEqual(inherited.unreported, 200_000.0)
        self.assertEqual(inherited.promised, RATE)

    def test_a_young_fleet_has_saved_up_little_and_an_old_one_a_full_bucket(self) -> None:
        young = inherit([self.report(known=0.5), self.report(known=3.0)], WINDOW)
        self.assertAlmostEqual(young.level(RATE, 150_000.0), 50_000.0)
        self.assertAlmostEqual(inherit([self.report()], WINDOW).level(RATE, 150_000.0), 150_000.0)

    def test_a_young_router_does_not_hide_what_an_older_one_was_told(self) -> None:
        view = KeeperView(used=0.0, promised=0.0, known=Seconds(30.0), level=90_000.0)
        inherited = inherit([self.report(known=0.5), self.report(view=view, ago=0.2)], WINDOW)
        self.assertAlmostEqual(inherited.level(RATE, 150_000.0), 150_000.0)


class StandInTest(unittest.TestCase):
    def test_grants_the_reserve_and_what_is_poured_in(self) -> None:
        account = StandIn(plan(), WINDOW, at(0.0))
        at_once = int(0.8 * plan().reserve)
        self.assertEqual(account.grant((at_once, 1_000), 0.0, at(0.0)), (True, False))
        self.assertEqual(account.grant((1_000, 1_000), 1_500.0, at(0.0)), (True, False))
        whole = sum(sum(account.grant((100,), 0.0, at(step / 100))) * 100 for step in range(1, 800))
        self.assertLess(at_once + 1_000 + whole, plan().reserve + 1_500)
        self.assertGreater(whole, 0.15 * plan().reserve)

    def test_what_was_poured_in_is_void_after_a_pause(self) -> None:
        account = StandIn(plan(), WINDOW, at(0.0))
        account.grant((int(0.8 * plan().reserve),), 0.0, at(0.0))
        account.grant((), 50_000.0, at(0.0))
        self.assertEqual(account.grant((30_000,), 0.0, at(2.5)), (False,))
