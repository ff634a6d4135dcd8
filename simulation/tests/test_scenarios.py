"""Runs each *.scenario file of the tree with each of its seeds, one test for each.

A test fails when a check of the observer finds a violation or an expectation of the file does not hold.
"""

from __future__ import annotations

import unittest
from collections.abc import Callable
from pathlib import Path

from simulation.scenario import find_scenarios, load, run_scenario

RUN_EACH_ALONE = True
"""Makes the test runner give each test a process of its own."""

ROOT = Path(__file__).resolve().parents[2]


class Scenarios(unittest.TestCase):
    """The test case to which the loop below adds one test method for each file and seed."""


def _test(path: Path, seed: int, name: str) -> Callable[[unittest.TestCase], None]:
    def test(self: unittest.TestCase) -> None:
        report = run_scenario(load(path), seed)
        self.assertTrue(report.passed, report.full())

    test.__name__ = name  # nose2 finds a test named on its command line by ``__name__``
    test.__doc__ = str(path.relative_to(ROOT))
    return test


for _path in find_scenarios(ROOT):
    for _seed in load(_path).seeds:
        _slice = _path.relative_to(ROOT).parts[1]
        _name = f"test_{_slice}_{_path.stem.removeprefix('scenario_')}_seed_{_seed}"
        setattr(Scenarios, _name, _test(_path, _seed, _name))
