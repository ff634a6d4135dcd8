"""Runs a fixed set of random fault schedules; ``python -m simulation.explore`` does long explorations.

A test fails when one of the observer's checks finds a violation, or when a fleet does not recover.
"""

from __future__ import annotations

import unittest

from simulation.explore import explore_one

RUN_EACH_ALONE = True


class RandomSchedules(unittest.TestCase):
    def explore(self, seed: int, deployment: str) -> None:
        explored = explore_one(seed, deployment, 0.25)
        self.assertTrue(explored.passed, "\n".join([*explored.lines, explored.text]))

    def test_despensa_seed_4(self) -> None:
        self.explore(4, "despensa")

    def test_despensa_seed_22(self) -> None:
        self.explore(22, "despensa")

    def test_despensa_seed_42(self) -> None:
        self.explore(42, "despensa")

    def test_sabarmati_seed_11(self) -> None:
        self.explore(11, "sabarmati")

    def test_sabarmati_seed_15(self) -> None:
        self.explore(15, "sabarmati")

    def test_sabarmati_seed_65(self) -> None:
        self.explore(65, "sabarmati")
