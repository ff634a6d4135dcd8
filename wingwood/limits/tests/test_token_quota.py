"""Token quotas of a fleet stay within the quota rule's bound under faults (docs/DESIGN.md section 14.1).

A fault can separate routers from the allocator or replace the allocator. Two allocators may then grant at
once, or a new one may not know recent use, so that a flooding tenant could exceed its bound.
"""

from __future__ import annotations

import unittest
from typing import Any
from unittest import mock

import msgspec

from ..inherited_usage import InheritedUsage
from ..router_records import MissingRouters, RouterRecord
from ..share_account import ShareAccount
from .token_quota import Case, Outcome, run_case

RUN_EACH_ALONE = True

FLOOD_FACTOR = 6.5
CALM = Case()
FLOODED = Case(rate=430_000.0, flood=FLOOD_FACTOR, flood_from=16.0)
"""The flood starts together with the fault, when the bucket is full."""


def faulted(fault: str, case: Case = FLOODED, **changes: Any) -> Case:
    return msgspec.structs.replace(case, fault=fault, **changes)


class CalmTest(unittest.TestCase):
    def test_calls_below_the_limit_are_admitted_at_any_router(self) -> None:
        for rate in (30_000.0, 430_000.0):
            for arrival in ("even", "uneven", "one"):
                outcome = run_case(msgspec.structs.replace(CALM, rate=rate, arrival=arrival), 11)
                self.assertEqual(outcome.refused_within_bucket, 0.0, (rate, arrival))
                self.assertLess(outcome.max_wait, 0.02)
                self.assertLess(outcome.fraction_of_bound, 0.85)

    def test_a_flooding_tenant_uses_its_full_limit_and_no_more(self) -> None:
        for rate in (30_000.0, 430_000.0):
            for arrival in ("even", "one"):
                outcome = run_case(Case(rate=rate, flood=FLOOD_FACTOR, arrival=arrival), 12)
                self.assertGreater(outcome.flood_used_fraction, 0.97, (rate, arrival))
                self.assertLess(outcome.fraction_of_bound, 1.0)
                self.assertEqual(outcome.refused_within_bucket, 0.0)

    def test_a_fleet_killed_as_a_whole_restarts_within_the_limit(self) -> None:
        calm = run_case(faulted("all killed", CALM), 13)
        self.assertEqual(calm.refused_within_bucket, 0.0)
        self.assertLess(run_case(faulted("all killed", flood_from=12.0), 13).fraction_of_bound, 1.0)

    def test_a_lowered_limit_refuses_no_calls_below_it(self) -> None:
        outcome = run_case(Case(rate=150_000.0, offered_fraction=0.5, fault="limit lowered"), 14)
        self.assertLess(outcome.refused, 0.01)


class LostAllocatorTest(unittest.TestCase):
    """Refusals below the limit while the allocator fails; ``BoundTest`` checks the bound."""

    def refused(self, fault: str, rate: float) -> float:
        return run_case(faulted(fault, CALM, rate=rate), 21).refused

    def test_an_ended_allocator_or_standby_causes_few_refusals(self) -> None:
        for rate in (30_000.0, 430_000.0):
            self.assertLess(self.refused("allocator killed", rate), 0.01)
            self.assertLess(self.refused("standby killed", rate), 0.01)

    def test_an_unresponsive_allocator_causes_few_refusals(self) -> None:
        for fault in ("allocator frozen", "allocator without power", "allocator cut off"):
            self.assertLess(self.refused(fault, 430_000.0), 0.03, fault)


class BoundTest(unittest.TestCase):
    """Use in any window stays within the bound while a tenant floods the fleet during a fault."""

    def check(self, fault: str, rate: float = 430_000.0, seed: int = 31) -> Outcome:
        outcome = run_case(faulted(fault, rate=rate), seed)
        self.assertLess(outcome.fraction_of_bound, 1.0, (fault, rate))
        self.assertLessEqual(outcome.max_wait, 0.101)
        return outcome

    def test_allocator_cut_off(self) -> None:
        self.check("allocator cut off")
        self.check("allocator and another cut off for long")

    def test_an_allocator_that_refuses_some_routers_but_runs(self) -> None:
        """The flood starts during or after the partition.

        No other router may replace the allocator meanwhile, nor continue to grant afterwards.
        """
        for flood_from in (17.0, 19.0, 24.0):
            outcome = run_case(faulted("allocator refuses some", flood_from=flood_from, flood_until=32.0), 31)
            self.assertLess(outcome.fraction_of_bound, 1.0, flood_from)

    def test_other_routers_cut_off(self) -> None:
        self.check("two others cut off")

    def test_allocator_cut_from_some_routers(self) -> None:
        self.check("allocator cut from some")
        self.check("allocator cut from some", 30_000.0)

    def test_split_fleet(self) -> None:
        self.check("split 4 to 7")

    def test_split_fleet_whose_smaller_part_reaches_control(self) -> None:
        self.check("split 8 to 3, the fewer with control")
        self.check("split 8 to 3, the fewer with control", 30_000.0)

    def test_frozen_or_powered_off_allocator(self) -> None:
        for fault in ("allocator and standby frozen", "allocator frozen briefly", "allocator without power"):
            self.check(fault)

    def test_restarts_of_all_routers(self) -> None:
        self.check("restarts in turn")
        self.check("all killed")

    def test_control_unreachable(self) -> None:
        self.check("control down")


class BrokenTest(unittest.TestCase):
    """Each test removes one part of the arithmetic; the check of the bound must detect that."""

    def test_an_allocator_that_ignores_unresponsive_routers_is_detected(self) -> None:
        def nothing(record: RouterRecord, now: float, window_s: float, max_duration_s: float) -> float:
            return 0.0

        case = faulted("allocator cut from some", flood_from=12.0)
        with mock.patch.object(RouterRecord, "may_have_used", nothing):
            self.assertGreater(run_case(case, 41).fraction_of_bound, 1.0)
        self.assertLess(run_case(case, 41).fraction_of_bound, 1.0)

    def test_a_new_allocator_that_ignores_missing_routers_is_detected(self) -> None:
        case = faulted("split 8 to 3, the fewer with control")
        with mock.patch.object(MissingRouters, "may_have_used", lambda *_: 0.0):
            self.assertGreater(run_case(case, 42).fraction_of_bound, 1.0)
        self.assertLess(run_case(case, 42).fraction_of_bound, 1.0)

    def test_a_new_allocator_that_starts_full_and_ignores_past_use_is_detected(self) -> None:
        inherit = ShareAccount.inherit

        def forgetful(account: ShareAccount, *given: Any) -> None:
            inherit(account, *given)
            account.used.clear()

        case = faulted("restarts in turn")
        with (
            mock.patch.object(InheritedUsage, "level", lambda inherited, rate, most: most),
            mock.patch.object(ShareAccount, "inherit", forgetful),
        ):
            self.assertGreater(run_case(case, 43).fraction_of_bound, 1.0)
        self.assertLess(run_case(case, 43).fraction_of_bound, 1.0)
