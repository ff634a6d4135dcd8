"""Retry budgets of single routers and of complete fleets (docs/DESIGN.md section 14.2).

Failing workers make routers retry, which adds load. Routers hold their budgets without messages, so after
restarts and changes of membership their retries together must still stay within the fleet's bound.
"""

from __future__ import annotations

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from ...bundle.model import PoolShare, Service
from ...identifiers import Instant, PoolName, Seconds, ServiceName, WallTime
from ..retry_budget import MAX_ACCRUED_RETRIES, MAX_RETRY_RATIO, RetryLimits, ServiceRetryBudget

RATIO = 0.2
WINDOW = 10.0


class ManualClock:
    """A clock whose time the test sets."""

    def __init__(self, now: float = 0.0) -> None:
        self.now = now

    def monotonic(self) -> Instant:
        return Instant(self.now)

    def wall(self) -> WallTime:
        return WallTime(self.now)

    async def sleep(self, seconds: Seconds) -> None:
        raise AssertionError("a retry budget does not sleep")


def service(retry_share: float = 0.15, pool: str = "model", split: tuple[PoolShare, ...] = ()) -> Service:
    return Service(name=ServiceName("chat"), pool=PoolName(pool), retry_share=retry_share, split=split)


class RetryBudgetTest(unittest.TestCase):
    def budget(self, slack: float | None = None, routers: int = 11) -> ServiceRetryBudget:
        limits = RetryLimits() if slack is None else RetryLimits(ratio=RATIO, slack=slack, window=Seconds(WINDOW))
        self.clock = ManualClock()
        return ServiceRetryBudget(self.clock, lambda: routers, limits)

    def test_retries_always_stay_below_a_fifth_of_the_calls(self) -> None:
        for share in (0.15, 0.9):
            budget, retries = self.budget(), 0
            for calls in range(1, 500):
                budget.record_call(service(share))
                retries += budget.take(service(share))
                self.assertLess(retries, calls / 5)
            self.assertGreater(retries, 450 * min(share, MAX_RETRY_RATIO))

    def test_a_long_calm_accumulates_few_retries_and_pools_have_separate_accounts(self) -> None:
        budget = self.budget()
        for _ in range(10_000):
            budget.record_call(service())
        self.assertFalse(budget.take(service(pool="cards")))
        self.assertEqual(sum(budget.take(service()) for _ in range(100)), int(MAX_ACCRUED_RETRIES))

    def test_the_slack_accumulates_without_any_call(self) -> None:
        budget = self.budget(slack=62.0)
        self.assertFalse(budget.take(service()), "a budget starts empty")
        self.clock.now = 60.0
        self.assertEqual(sum(budget.take(service()) for _ in range(100)), int(0.4 * 62 / 11))

    def test_a_large_fleet_has_at_least_one_retry_per_router(self) -> None:
        budget = self.budget(slack=200.0, routers=400)
        self.clock.now = 600.0
        self.assertEqual(sum(budget.take(service()) for _ in range(100)), 1)

    def test_a_split_call_counts_for_all_its_pools_until_one_is_chosen(self) -> None:
        split = service(split=(PoolShare(PoolName("a"), 90), PoolShare(PoolName("b"), 10)))
        budget = self.budget()
        for _ in range(60):
            budget.record_call(split)
        self.assertFalse(budget.take(split, PoolName("b")))
        self.assertTrue(budget.take(split, PoolName("a")))
        for _ in range(10):
            budget.record_call(split, PoolName("b"))
        self.assertTrue(budget.take(split, PoolName("b")))


class _Fleet:
    """Budgets of all routers, with the times of all calls and retries."""

    def __init__(self, routers: int, slack: float) -> None:
        self.clock = ManualClock()
        self.limits = RetryLimits(ratio=RATIO, slack=slack, window=Seconds(WINDOW))
        self.members = routers
        self.budgets = [self.new_budget() for _ in range(routers)]
        self.calls: list[float] = []
        self.retries: list[float] = []

    def new_budget(self) -> ServiceRetryBudget:
        return ServiceRetryBudget(self.clock, lambda: self.members, self.limits)

    def offer(self, number: int) -> None:
        """Offers a call of which all retries fail."""
        budgeted = service(retry_share=RATIO)
        self.budgets[number].record_call(budgeted)
        self.calls.append(self.clock.now)
        for _ in range(3):
            if self.budgets[number].take(budgeted):
                self.retries.append(self.clock.now)

    def worst(self) -> float:
        """Returns the most retries beyond the ratio in any window, counting only that window's calls."""
        worst = 0.0
        for end, last in enumerate(self.retries):
            start = last - WINDOW
            tried = sum(1 for at in self.retries[: end + 1] if at >= start)
            called = sum(1 for at in self.calls if start <= at <= last)
            worst = max(worst, tried - RATIO * called)
        return worst


class FleetRetryBudgetTest(unittest.TestCase):
    @settings(max_examples=60, deadline=None)
    @given(
        seed=st.integers(0, 1 << 30),
        fleet=st.sampled_from([(11, 62.0), (80, 200.0), (3, 62.0)]),
        calm=st.floats(0.0, 40.0),
        restarts=st.lists(st.floats(0.0, 30.0), max_size=4),
    )
    def test_any_window_of_any_schedule_stays_within_the_slack(
        self, seed: int, fleet: tuple[int, float], calm: float, restarts: list[float]
    ) -> None:
        routers, slack = fleet
        world, random_ = _Fleet(routers, slack), random.Random(seed)
        world.clock.now = calm
        waiting = sorted(calm + restart for restart in restarts)
        while world.clock.now < calm + 30.0:
            world.clock.now += random_.expovariate(40.0 if random_.random() < 0.9 else 1.0)
            while waiting and waiting[0] < world.clock.now:
                waiting.pop(0)
                share = random_.choice(
                    (0.2, 1.0)
                )  # Restarts a fifth of the routers on average, or all of them at once.
                world.members = random_.choice((routers, (routers + 1) // 2))
                world.budgets = [world.new_budget() if random_.random() < share else budget for budget in world.budgets]
            world.offer(random_.randrange(routers))
        self.assertLessEqual(world.worst(), slack)

    def test_a_budget_that_starts_full_is_detected(self) -> None:
        def worst(start_full: bool) -> float:
            world = _Fleet(11, 62.0)
            world.clock.now = 60.0
            for _restart in range(9):
                for number in range(44):
                    world.offer(number % 11)
                world.clock.now += 1.0
                world.budgets = [world.new_budget() for _ in range(11)]
                if start_full:
                    for budget in world.budgets:
                        budget._started_at = Instant(world.clock.now - 60.0)
            return world.worst()

        self.assertLessEqual(worst(start_full=False), 62.0)
        self.assertGreater(worst(start_full=True), 62.0)
