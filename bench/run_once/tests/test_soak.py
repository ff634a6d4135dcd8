"""A short, seeded run of the soak on real processes; the long runs are started by hand (docs/DESIGN.md 17.5)."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path

from ..soak import SoakOptions, run_soak

RUN_EACH_ALONE = True
SECONDS = 12.0


class ShortSoak(unittest.TestCase):
    """A call that may run only once must not run twice, and every call is answered by its route's time limit.

    That holds whatever is signalled, restarted or changed meanwhile, and although workers answer at their deadlines.
    """

    def assert_held(self, seed: int) -> None:
        with tempfile.TemporaryDirectory() as folder:
            report = asyncio.run(run_soak(SoakOptions(seed=seed, seconds=SECONDS, callers=24), Path(folder)))
        self.assertEqual(report.verdict.twice, ())
        self.assertEqual(report.verdict.broken_promises, ())
        self.assertEqual(report.verdict.ended, ())
        self.assertEqual(report.verdict.silent, ())
        self.assertFalse(report.verdict.answers_too_late(), report.verdict.late)
        self.assertGreater(report.verdict.lasting, 0)
        self.assertGreater(report.verdict.runs, 0)

    def test_seed_1(self) -> None:
        self.assert_held(1)

    def test_seed_2(self) -> None:
        self.assert_held(2)
