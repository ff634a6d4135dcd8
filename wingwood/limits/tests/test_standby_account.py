"""A standby's account: its reserve and the allowances that are transferred to it (docs/DESIGN.md section 14.1)."""

from __future__ import annotations

import unittest

from ..standby_account import StandbyAccount
from .account_samples import WINDOW, at, plan


class StandbyAccountTest(unittest.TestCase):
    def test_grants_the_reserve_and_transferred_allowances(self) -> None:
        account = StandbyAccount(plan(), WINDOW, at(0.0))
        at_once = int(0.8 * plan().reserve)
        self.assertEqual(account.grant((at_once, 1_000), 0.0, at(0.0)), (True, False))
        self.assertEqual(account.grant((1_000, 1_000), 1_500.0, at(0.0)), (True, False))
        total = sum(sum(account.grant((100,), 0.0, at(step / 100))) * 100 for step in range(1, 800))
        self.assertLess(at_once + 1_000 + total, plan().reserve + 1_500)
        self.assertGreater(total, 0.15 * plan().reserve)

    def test_transferred_allowances_expire_without_requests(self) -> None:
        account = StandbyAccount(plan(), WINDOW, at(0.0))
        account.grant((int(0.8 * plan().reserve),), 0.0, at(0.0))
        account.grant((), 50_000.0, at(0.0))
        self.assertEqual(account.grant((30_000,), 0.0, at(2.5)), (False,))
