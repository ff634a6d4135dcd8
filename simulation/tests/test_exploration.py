"""A fixed set of random days in small; long runs are for ``python -m simulation.explore``."""

from __future__ import annotations

import unittest

from simulation.explore import explore_one

RUN_EACH_ALONE = True


class Explored(unittest.TestCase):
    def explore(self, seed: int, deployment: str) -> None:
        found = explore_one(seed, deployment, 0.25)
        self.assertTrue(found.passed, "\n".join([*found.lines, found.text]))

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
