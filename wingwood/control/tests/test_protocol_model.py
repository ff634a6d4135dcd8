"""Tests of the control core's protocol in runs that hypothesis chooses, and of broken variants that these must catch.

``WINGWOOD_MODEL_EXAMPLES=N`` tries N runs of each core, different ones each time. Without it the tests try a few
runs, always the same.
"""

from __future__ import annotations

import os
import unittest

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from .control_world import SIX, core_maker
from .protocol_model import ControlProtocol, Fleet
from .protocol_variants import (
    answers_before_it_has_written,
    confirms_without_asking,
    forgets_order_ids,
)

RUN_EACH_ALONE = True
"""Tells the test runner to run each test in its own process, since they are long."""

EXAMPLES_BY_HAND = int(os.environ.get("WINGWOOD_MODEL_EXAMPLES", "0"))
FOUR = ("c1", "c2", "c3", "c4")
"""Three members and a spare. (``SIX`` machines are five members and a spare.)"""
STEPS = 30
MAX_RUNS = 200
"""Runs after which a broken variant counts as not caught."""


def run(machine: type[ControlProtocol], examples: int, steps: int = STEPS, shrink: bool = True) -> None:
    phases = (Phase.generate, Phase.shrink) if shrink else (Phase.generate,)
    chosen = settings(
        max_examples=examples,
        stateful_step_count=steps,
        derandomize=not EXAMPLES_BY_HAND,
        database=None,
        deadline=None,
        phases=phases,
        print_blob=False,
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(machine, settings=chosen)


def protocol_of(fleet_run: Fleet, *rules: str) -> type[ControlProtocol]:
    class Chosen(ControlProtocol):
        fleet = fleet_run
        only = frozenset(rules)

    return Chosen


class HealthyCores(unittest.TestCase):
    def test_three_members_and_a_spare(self) -> None:
        run(protocol_of(Fleet(core_maker(), FOUR, 1)), EXAMPLES_BY_HAND or 24)

    def test_five_members_and_a_spare(self) -> None:
        run(protocol_of(Fleet(core_maker(failures_tolerated=2), SIX, 2)), EXAMPLES_BY_HAND or 20)


class BrokenCores(unittest.TestCase):
    """Each broken variant must fail, so that the model is known to detect such faults."""

    def assert_caught(self, fleet: Fleet, *rules: str) -> None:
        with self.assertRaisesRegex(
            AssertionError, "^[0-9]+[.][0-9]{3} |^lost: "
        ):  # A fault that the observer reports.
            run(protocol_of(fleet, *rules), MAX_RUNS, shrink=False)

    def test_answers_before_the_backup_has_written(self) -> None:
        self.assert_caught(Fleet(answers_before_it_has_written(), FOUR[:3], 1), "kill", "freeze")

    def test_answers_before_the_backups_have_written_with_five_members(self) -> None:
        self.assert_caught(Fleet(answers_before_it_has_written(2), SIX, 2), "kill", "freeze")

    def test_forgets_order_ids(self) -> None:
        self.assert_caught(Fleet(forgets_order_ids(), FOUR[:3], 1), "kill")

    def test_forgets_order_ids_with_five_members(self) -> None:
        self.assert_caught(Fleet(forgets_order_ids(2), SIX, 2), "kill")

    def test_confirms_without_asking(self) -> None:
        self.assert_caught(Fleet(confirms_without_asking(), FOUR[:3], 1), "kill", "freeze", "cut_off", "heal")

    def test_confirms_without_asking_with_five_members(self) -> None:
        self.assert_caught(Fleet(confirms_without_asking(2), SIX, 2), "kill", "freeze", "cut_off", "heal")


if __name__ == "__main__":
    unittest.main()
