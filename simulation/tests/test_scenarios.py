"""One test for each *.scenario file of the tree and each of its seeds."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from pathlib import Path

from simulation.scenario import find_scenarios, load, run_scenario

RUN_EACH_ALONE = True
"""The test runner gives each test a process of its own."""

ROOT = Path(__file__).resolve().parents[2]


class Scenarios(unittest.TestCase):
    """Filled below."""


def _test(path: Path, seed: int, name: str) -> Callable[[unittest.TestCase], None]:
    def test(self: unittest.TestCase) -> None:
        report = run_scenario(load(path), seed)
        self.assertTrue(report.passed, report.full())

    test.__name__ = name  # nose2 finds a test that is named on its command line by this
    test.__doc__ = str(path.relative_to(ROOT))
    return test


for _path in find_scenarios(ROOT):
    for _seed in load(_path).seeds:
        _slice = _path.relative_to(ROOT).parts[1]
        _name = f"test_{_slice}_{_path.stem.removeprefix('scenario_')}_seed_{_seed}"
        setattr(Scenarios, _name, _test(_path, _seed, _name))
