"""Tests how the roll-out bench computes times from its polls (docs/MEASUREMENTS.md).

Routers may skip versions; a bench that waited for the exact version would report it as never in force.
"""

from __future__ import annotations

import unittest

from ..roll_outs import RouterWatch, VersionObservation, in_force_after, percentiles_ms


class InForceAfter(unittest.TestCase):
    def test_newer_version_counts_for_skipped_versions(self) -> None:
        observations = [VersionObservation(10.0, 1), VersionObservation(10.5, 4), VersionObservation(10.6, 5)]
        found = in_force_after({2: 10.1, 3: 10.3, 5: 10.7, 6: 10.9}, observations)
        self.assertEqual([None if value is None else round(value, 3) for value in found], [0.4, 0.2, 0.0, None])

    def test_answer_with_older_version_is_counted(self) -> None:
        watch = RouterWatch("127.0.0.1:1")
        for at, version in ((1.0, 3), (1.1, 3), (1.2, 2), (1.3, 4)):
            watch.record_answer(at, version)
        self.assertEqual(watch.regressions, 1)
        self.assertEqual(watch.observations, [VersionObservation(1.0, 3), VersionObservation(1.3, 4)])

    def test_percentiles_cover_all_values(self) -> None:
        found = percentiles_ms([number / 1000 for number in range(100)])
        self.assertEqual((found["count"], found["p50"], found["p99"], found["max"]), (100, 50.0, 99.0, 99.0))
