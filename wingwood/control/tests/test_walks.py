"""Random walks of the control core through faults, and the broken variants that they catch."""

from __future__ import annotations

import unittest

from .mutants import MUTANTS
from .walk import Walk

SEEDS = range(10)
STEPS = 30
MOST_WALKS = 40


class WalkTests(unittest.TestCase):
    def test_nothing_acknowledged_is_lost_or_contradicted_and_service_comes_back(self) -> None:
        acknowledged = losses = proofs = 0
        for seed in SEEDS:
            walk = Walk(seed)
            self.assertEqual(walk.run(STEPS), [], "\n".join([f"seed {seed}", *walk.steps]))
            acknowledged += walk.control.observer.acknowledged
            losses += walk.losses
            proofs += walk.control.observer.proofs
        self.assertGreater(acknowledged, 1000)
        self.assertGreater(losses, 5)
        self.assertGreater(proofs, 20)

    def test_walks_catch_each_broken_variant(self) -> None:
        for name, (make, faults) in MUTANTS.items():
            with self.subTest(mutant=name):
                self.assertTrue(any(Walk(seed, make, faults).run(STEPS) for seed in range(MOST_WALKS)))

    def test_the_unbroken_core_holds_in_the_same_walks(self) -> None:
        for name, (_, faults) in MUTANTS.items():
            with self.subTest(mutant=name):
                for seed in range(2):
                    self.assertEqual(Walk(seed, only=faults).run(STEPS), [])


if __name__ == "__main__":
    unittest.main()
