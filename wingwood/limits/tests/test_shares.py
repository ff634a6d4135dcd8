"""Paid shares over eleven routers in simulated time (docs/DESIGN.md section 14).

Calls of a tenant arrive at any router, while its allocator is killed, frozen, partitioned off or replaced.
Paid calls must then not be refused, and no time window may admit many more calls than are paid for.
"""

from __future__ import annotations

import unittest
from collections.abc import Callable, Sequence
from unittest import mock

import msgspec

from simulation import NetworkShape, World

from ...identifiers import Instant
from ..messages import UsageReport, UsageRequest
from ..router_shares import RouterShares
from ..share_options import ShareOptions
from ..standby_account import StandbyAccount
from .share_fleet import Load, ShareFleet, tenant

ROUTERS = 11
RUN_SECONDS = 12.0
PAID = 100.0


def even(rate: float, start: float = 1.0) -> Load:
    return lambda router, now: rate / ROUTERS if now >= start and router < ROUTERS else 0.0


def one(rate: float) -> Load:
    return lambda router, now: rate if router == 3 and now >= 1.0 else 0.0


def roaming(rate: float) -> Load:
    return lambda router, now: rate if now >= 1.0 and int(now) * 7 % ROUTERS == router else 0.0


class SharesTest(unittest.TestCase):
    def run_fleet(
        self,
        load: Load,
        most: float,
        fault: Callable[[World, ShareFleet, str], None] | None = None,
        paid: float = PAID,
        options: ShareOptions | None = None,
    ) -> ShareFleet:
        """Runs a fleet and injects the fault into the tenant's allocator at 5.0 s."""
        with World(seed=4) as world:
            fleet = ShareFleet(world, ROUTERS, tenant(paid), load, most, options)
            world.run(5.0)
            if fault is not None:
                fault(world, fleet, fleet.allocator())
            world.run_until(RUN_SECONDS)
            self.assertEqual(world.broken_invariants, [])
            return fleet

    def test_paid_calls_are_not_refused_at_any_router(self) -> None:
        for load, most in ((even(90), 9), (one(90), 90), (roaming(90), 90)):
            fleet = self.run_fleet(load, most)
            self.assertLess(fleet.refused_fraction(1.0, RUN_SECONDS), 0.01)

    def test_unpaid_calls_are_refused_at_any_router(self) -> None:
        for load, most in ((even(200), 20), (one(200), 200), (roaming(200), 200)):
            fleet = self.run_fleet(load, most)
            self.assertLess(fleet.paid_ratio(1.0, RUN_SECONDS), 1.1)
            self.assertLess(fleet.max_paid_ratio(3.0, RUN_SECONDS, 2.0), 1.1)
            self.assertGreater(fleet.paid_ratio(3.0, RUN_SECONDS), 0.95)

    def test_a_crowd_at_the_start_of_the_fleet_gets_no_extra_burst(self) -> None:
        fleet = self.run_fleet(even(2000, start=0.0), 182)
        self.assertLess(fleet.accepted(0.0, 1.0), 1.1 * PAID)
        self.assertLess(fleet.max_paid_ratio(0.0, RUN_SECONDS, 1.0), 1.2)

    def test_slow_allocators_at_the_start_of_the_fleet_cause_few_refusals(self) -> None:
        """The first request also makes the connection: its two round trips exceed the usual request timeout."""
        slow = NetworkShape(same_zone=0.015, between_zones=0.015)
        with World(4, slow) as world:
            fleet = ShareFleet(world, ROUTERS, tenant(PAID), even(50, start=1.0), 5)
            world.run(2.5)
            self.assertLess(fleet.refused_fraction(1.0, 2.0), 0.05)

    def test_a_small_tenant_gets_its_share(self) -> None:
        fleet = self.run_fleet(even(6), 1, paid=2.0)
        self.assertAlmostEqual(fleet.paid_ratio(2.0, RUN_SECONDS), 1.0, delta=0.25)

    def test_a_killed_allocator(self) -> None:
        def kill(world: World, fleet: ShareFleet, allocator: str) -> None:
            fleet.mark_unreachable(allocator)
            world.kill(allocator)

        self.assertLess(self.run_fleet(even(90), 9, kill).refused_fraction(5.0, RUN_SECONDS), 0.03)
        self.assertLess(self.run_fleet(even(200), 20, kill).max_paid_ratio(3.0, RUN_SECONDS, 3.0), 1.15)

    def test_a_killed_allocator_of_a_small_tenant_well_below_its_share(self) -> None:
        def kill(world: World, fleet: ShareFleet, allocator: str) -> None:
            fleet.mark_unreachable(allocator)
            world.kill(allocator)

        self.assertLess(self.run_fleet(even(4), 1, kill, paid=8.0).refused_fraction(5.0, RUN_SECONDS), 0.02)
        self.assertLess(self.run_fleet(even(16), 2, kill, paid=8.0).max_paid_ratio(4.0, RUN_SECONDS, 3.0), 1.2)

    def test_a_standby_grants_little_while_other_routers_reach_the_allocator(self) -> None:
        def cut(world: World, fleet: ShareFleet, allocator: str) -> None:
            """Partitions the allocator from its standby and four of the other nine routers; all remain members."""
            others = [name for name in sorted(fleet.shares) if name not in (allocator, fleet.standby())]
            for name in (fleet.standby(), *others[:4]):
                world.cut(allocator, name)

        self.assertLess(self.run_fleet(even(200), 20, cut).max_paid_ratio(5.0, RUN_SECONDS, 3.0), 1.6)
        with mock.patch.object(StandbyAccount, "grant", _all_granted):
            self.assertGreater(self.run_fleet(even(200), 20, cut).max_paid_ratio(5.0, RUN_SECONDS, 3.0), 1.6)

    def test_a_killed_allocator_in_a_fleet_too_large_for_usage_requests(self) -> None:
        def kill(world: World, fleet: ShareFleet, allocator: str) -> None:
            fleet.mark_unreachable(allocator)
            world.kill(allocator)

        options = ShareOptions(max_reporting_routers=3)
        self.assertLess(self.run_fleet(even(90), 9, kill, options=options).refused_fraction(5.0, RUN_SECONDS), 0.03)
        self.assertLess(
            self.run_fleet(even(200), 20, kill, options=options).max_paid_ratio(3.0, RUN_SECONDS, 3.0), 1.15
        )

    def test_a_frozen_allocator_that_resumes(self) -> None:
        def freeze(world: World, fleet: ShareFleet, allocator: str) -> None:
            fleet.mark_unreachable(allocator)
            world.freeze(allocator)
            world.at(9.0, lambda: fleet.mark_recovered(allocator))
            world.at(9.0, lambda: world.wake(allocator))

        self.assertLess(self.run_fleet(even(90), 9, freeze).refused_fraction(5.0, RUN_SECONDS), 0.03)
        self.assertLess(self.run_fleet(even(200), 20, freeze).max_paid_ratio(3.0, RUN_SECONDS, 3.0), 1.15)

    def test_an_allocator_that_is_partitioned_off_and_returns(self) -> None:
        def cut(world: World, fleet: ShareFleet, allocator: str) -> None:
            fleet.mark_unreachable(allocator)
            wires = world.cut_off(allocator)
            world.at(9.0, lambda: fleet.mark_recovered(allocator))
            world.at(9.0, lambda: world.heal(wires))

        self.assertLess(self.run_fleet(even(90), 9, cut).refused_fraction(5.0, RUN_SECONDS), 0.03)
        # The partitioned router continues with at most its part, here up to two elevenths.
        self.assertLess(self.run_fleet(even(200), 20, cut).max_paid_ratio(3.0, RUN_SECONDS, 3.0), 1.25)

    def test_allocators_continue_without_control(self) -> None:
        def control_down(world: World, fleet: ShareFleet, allocator: str) -> None:
            fleet.control_down = True

        self.assertLess(self.run_fleet(one(90), 90, control_down).refused_fraction(5.0, RUN_SECONDS), 0.01)
        self.assertLess(self.run_fleet(even(200), 20, control_down).max_paid_ratio(3.0, RUN_SECONDS, 3.0), 1.1)

    def test_routers_that_join_take_shares_over_without_a_burst(self) -> None:
        allocator_moved: list[bool] = []

        def join(world: World, fleet: ShareFleet, allocator: str) -> None:
            for number in range(ROUTERS, ROUTERS + 20):
                fleet.join(number)
            world.at(8.0, lambda: allocator_moved.append(fleet.allocator() != allocator))

        self.assertLess(self.run_fleet(even(90), 9, join).refused_fraction(5.0, RUN_SECONDS), 0.03)
        self.assertLess(self.run_fleet(even(200), 20, join).max_paid_ratio(3.0, RUN_SECONDS, 3.0), 1.1)
        self.assertEqual(
            allocator_moved, [True, True], "the share must move to another allocator in both runs, or nothing is tested"
        )

    def test_a_new_paid_rate_takes_effect_immediately(self) -> None:
        def halve(world: World, fleet: ShareFleet, allocator: str) -> None:
            fleet.change_tenant(tenant(PAID / 2))

        fleet = self.run_fleet(even(200), 20, halve)
        self.assertLess(fleet.paid_ratio(5.5, RUN_SECONDS), 1.1)
        self.assertGreater(fleet.paid_ratio(5.5, RUN_SECONDS), 0.95)

    def test_an_allocator_without_usage_reports_is_detected(self) -> None:
        def kill(world: World, fleet: ShareFleet, allocator: str) -> None:
            fleet.mark_unreachable(allocator)
            world.kill(allocator)

        self.assertLess(self.run_fleet(even(200), 20, kill).max_paid_ratio(4.0, RUN_SECONDS, 1.0), 1.25)
        with mock.patch.object(RouterShares, "report_usage", _report_nothing_used):
            fleet = self.run_fleet(even(200), 20, kill)
        self.assertGreater(fleet.max_paid_ratio(4.0, RUN_SECONDS, 1.0), 1.25)

    def test_calls_wait_for_an_unresponsive_allocator_at_most_a_tenth_of_a_second(self) -> None:
        def freeze(world: World, fleet: ShareFleet, allocator: str) -> None:
            fleet.mark_unreachable(allocator)
            world.freeze(allocator)

        fleet = self.run_fleet(even(90), 9, freeze)
        self.assertLess(max(call[3] for call in fleet.calls), 0.11)


def _all_granted(account: StandbyAccount, costs: Sequence[int], transferred: float, now: Instant) -> tuple[bool, ...]:
    return tuple(True for _ in costs)


_report_usage = RouterShares.report_usage


def _report_nothing_used(shares: RouterShares, request: UsageRequest) -> UsageReport:
    return msgspec.structs.replace(_report_usage(shares, request), used=(), view=None)
