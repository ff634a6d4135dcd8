"""Scenario files of the tree can be parsed, and errors name the line that can't be parsed."""

from __future__ import annotations

import unittest
from pathlib import Path

from simulation.broken import VARIANTS
from simulation.explore import Composer, scenario_of
from simulation.scenario import ScenarioError, find_scenarios, load, read_scenario

ROOT = Path(__file__).resolve().parents[2]


class ScenarioReading(unittest.TestCase):
    def test_unknown_line_is_reported_with_the_known_lines(self) -> None:
        with self.assertRaisesRegex(ScenarioError, "line 2.*at 3 explode.*\\n(.*\\n)*at T kill NAME"):
            read_scenario("deployment despensa\nat 3 explode router-1\n", "x")

    def test_unknown_expectation_is_refused(self) -> None:
        with self.assertRaisesRegex(ScenarioError, "line 1.*expected `violation CHECK`"):
            read_scenario("expect wonders", "x")

    def test_all_scenario_files_can_be_read_and_have_a_description(self) -> None:
        found = [load(path) for path in find_scenarios(ROOT)]
        self.assertGreater(len(found), 20)
        self.assertEqual([scenario.name for scenario in found if not scenario.about], [])
        self.assertEqual({scenario.broken for scenario in found} - {""} - set(VARIANTS), set())

    def test_explored_schedules_can_be_read_and_are_the_same_for_the_same_seed(self) -> None:
        for seed in range(200):
            lines = Composer(seed, "despensa").schedule()
            self.assertEqual(lines, Composer(seed, "despensa").schedule())
            self.assertEqual(len(scenario_of(seed, "despensa", lines, 0.2).steps), len(lines))
