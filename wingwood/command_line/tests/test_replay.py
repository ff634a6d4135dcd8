"""Tests of the command `wingwood replay` (docs/REPLAY.md)."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner

from ...replay.report import ReplayReport, write_report
from ..replay import replay_command


def report(name: str) -> ReplayReport:
    """Returns a report of two calls, one of them complete, with one measured first chunk."""
    made = ReplayReport(name=name, speed=1.0, calls=2)
    service = made.service("chat")
    service.calls, service.complete, service.outcomes = 2, 1, {"whole": 1, "refused all-full": 1}
    service.placement_methods = {"award": 3, "bid": 1}
    service.first_chunk.add(0.001)
    return made


class ReplayCommandTest(unittest.TestCase):
    """Guards against a comparison that fails on good reports, and against messages that don't name the bad file."""

    def test_command_compares_reports_and_names_a_file_that_is_no_report(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            files = [Path(folder, name) for name in ("a.json", "b.json", "c.json")]
            files[0].write_bytes(write_report(report("before")))
            files[1].write_bytes(write_report(report("after")))
            files[2].write_bytes(b"{}")
            good = CliRunner().invoke(replay_command, ["--compare", str(files[0]), str(files[1])])
            self.assertEqual(good.exit_code, 0, good.output)
            bad = CliRunner().invoke(replay_command, ["--compare", str(files[0]), str(files[2])])
            self.assertEqual(bad.exit_code, 1)
            self.assertIn("c.json", bad.output)
            self.assertEqual(CliRunner().invoke(replay_command, []).exit_code, 2)
