"""Random walks of the control core through faults, and the broken variants that they must catch."""

from __future__ import annotations

import unittest

from .control_world import SIX, MakeCore, core_maker
from .mutants import MUTANTS, Mutant
from .walk import Walk

SEEDS = range(10)
STEPS = 30
MAX_WALKS = 40
RUN_EACH_ALONE = True
"""Tells the test runner to run each test in its own process, since they are long."""


def walk(seed: int, mutant: Mutant, make: MakeCore) -> Walk:
    return Walk(seed, make, mutant.faults, names=mutant.names, failures_tolerated=mutant.failures_tolerated)


class WalkTests(unittest.TestCase):
    """The core withstands all walks; each broken variant fails in one, so the walks can detect such faults."""

    def test_nothing_acknowledged_is_lost_or_contradicted_and_service_comes_back(self) -> None:
        self.assert_walks_hold(Mutant(core_maker(), ()), least_losses=5)

    def test_the_same_with_two_losses_at_once(self) -> None:
        self.assert_walks_hold(Mutant(core_maker(failures_tolerated=2), (), SIX, 2), least_losses=10)

    def test_the_same_with_a_spare(self) -> None:
        self.assert_walks_hold(Mutant(core_maker(), (), SIX[:4], 1), least_losses=5)

    def assert_walks_hold(self, fleet: Mutant, least_losses: int) -> None:
        acknowledged = losses = confirmations = 0
        for seed in SEEDS:
            one = walk(seed, fleet, fleet.make)
            self.assertEqual(one.run(STEPS), [], "\n".join([f"seed {seed}", *one.steps]))
            acknowledged += one.control.observer.acknowledged
            losses += one.losses
            confirmations += one.control.observer.confirmations
        self.assertGreater(acknowledged, 1000)
        self.assertGreater(losses, least_losses)
        self.assertGreater(confirmations, 20)

    def test_walks_catch_each_broken_variant(self) -> None:
        self.assert_each_caught(failures_tolerated=1)

    def test_walks_catch_each_broken_variant_with_two_losses(self) -> None:
        self.assert_each_caught(failures_tolerated=2)

    def assert_each_caught(self, failures_tolerated: int) -> None:
        for name, mutant in MUTANTS.items():
            if mutant.failures_tolerated == failures_tolerated:
                with self.subTest(mutant=name):
                    self.assertTrue(any(walk(seed, mutant, mutant.make).run(STEPS) for seed in range(MAX_WALKS)))

    def test_the_unbroken_core_holds_in_the_same_walks(self) -> None:
        for name, mutant in MUTANTS.items():
            with self.subTest(mutant=name):
                for seed in range(2):
                    make = core_maker(failures_tolerated=mutant.failures_tolerated)
                    self.assertEqual(walk(seed, mutant, make).run(STEPS), [])


if __name__ == "__main__":
    unittest.main()
