"""Tables of lost worth from small invented reports.

The tests guard against losses that are counted twice or not at all, and against losses attributed to the wrong part,
moment or reason.
"""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path

import msgspec
from click.testing import CliRunner
from returns.result import Failure, Success

from bench.losses.__main__ import EXIT_UNREADABLE, main
from bench.losses.attribution import LossTable, check_sum, late_loss_of, losses_of, moment_of
from bench.losses.report import DayReport, Event, Price, Requests, ScorePart, read_report

CALM = Requests("0", n=100, in_aim=90, late=10, refused=0, failed=0, not_owed=0, worth=0.95)
CROWDED = Requests("2", n=100, in_aim=50, late=0, refused=40, failed=0, not_owed=10, worth=5 / 9)
AFTER = Requests("4", n=50, in_aim=0, late=0, refused=20, failed=30, not_owed=0, worth=0.0)
CHAT = Requests("chat", n=150, in_aim=90, late=10, refused=20, failed=20, not_owed=10, worth=0.675)
CARD = Requests("card", n=100, in_aim=50, late=0, refused=40, failed=10, not_owed=0, worth=0.5)
EVENTS = (Event(2.5, 3.9, "hot_tenant"), Event(4.2, 6.0, "closing (kill_all)"))


def report(**changes: object) -> DayReport:
    parts = (
        ScorePart("whole day", 0.7, 0.6),
        ScorePart("worst windows", 0.15, 0.2),
        ScorePart("worst class", 0.15, 0.5),
    )
    prices = (Price("machine-seconds", 100.0, 0.03), Price("probes", 0.0, 0.0))
    worth = sum(part.weight * part.worth for part in parts) - 0.03
    made = DayReport(
        worth=worth, parts=parts, prices=prices, classes=(CHAT, CARD), windows=(CALM, CROWDED, AFTER), events=EVENTS
    )
    return msgspec.structs.replace(made, **changes)


def worth_lost_by(table: LossTable, part: str) -> float:
    return sum(row.worth for row in table.rows if row.part == part)


class LossesTest(unittest.TestCase):
    def test_shares_add_up_to_one(self) -> None:
        table = losses_of(report())
        self.assertLess(check_sum(table), 1e-9)
        self.assertAlmostEqual(sum(row.worth for row in table.rows), 1 - table.worth)
        self.assertNotIn("rounding of the report", {row.part for row in table.rows})

    def test_check_sum_detects_a_share_counted_twice(self) -> None:
        table = losses_of(report())
        twice = msgspec.structs.replace(table, rows=(*table.rows, table.rows[0]))
        self.assertGreater(check_sum(twice), 0.01)

    def test_each_part_loses_its_weight_times_its_lost_worth(self) -> None:
        table = losses_of(report())
        self.assertAlmostEqual(worth_lost_by(table, "whole day"), 0.7 * 0.4)
        self.assertAlmostEqual(worth_lost_by(table, "worst windows"), 0.15 * 0.8)
        self.assertAlmostEqual(worth_lost_by(table, "worst class"), 0.15 * 0.5)
        self.assertAlmostEqual(worth_lost_by(table, "prices"), 0.03)

    def test_the_loss_of_the_day_is_split_by_the_losses_of_its_windows(self) -> None:
        table = losses_of(report())
        by_moment = {
            moment: sum(row.worth for row in table.rows if row.part == "whole day" and row.moment == moment)
            for moment in ("calm", "crowd", "last fault")
        }
        lost = 5 + 40 + 50
        self.assertAlmostEqual(by_moment["calm"], 0.28 * 5 / lost)
        self.assertAlmostEqual(by_moment["crowd"], 0.28 * 40 / lost)
        self.assertAlmostEqual(by_moment["last fault"], 0.28 * 50 / lost)

    def test_worst_windows_are_those_with_the_lowest_worth(self) -> None:
        table = losses_of(report())
        self.assertEqual([window.second for window in table.worst], [4.0, 2.0])
        self.assertEqual(table.worst[0].moment, "last fault")
        self.assertEqual(table.worst[1].events, ("hot_tenant",))

    def test_a_window_in_which_hardly_anything_is_owed_is_not_a_worst_one(self) -> None:
        empty = Requests("6", n=10, in_aim=0, late=0, refused=0, failed=0, not_owed=10, worth=0.0)
        nearly = Requests("8", n=100, in_aim=0, late=0, refused=1, failed=0, not_owed=99, worth=0.0)
        table = losses_of(report(windows=(CALM, CROWDED, AFTER, empty, nearly)))
        self.assertEqual([window.second for window in table.worst], [4.0, 2.0])

    def test_the_loss_of_late_requests_is_estimated_from_windows_with_little_other_loss(self) -> None:
        self.assertAlmostEqual(late_loss_of([CALM, CROWDED, AFTER]), 0.5)
        nearly_calm = Requests("6", n=100, in_aim=88, late=10, refused=1, failed=1, not_owed=0, worth=0.91)
        self.assertAlmostEqual(late_loss_of([nearly_calm, CROWDED]), 0.7)
        self.assertEqual(late_loss_of([CROWDED]), 0.5)

    def test_refused_requests_that_were_not_owed_do_not_hide_late_ones(self) -> None:
        flooded = Requests("2", n=200, in_aim=80, late=20, refused=100, failed=0, not_owed=0, worth=0.9)
        table = losses_of(report(windows=(CALM, flooded), parts=(ScorePart("whole day", 1.0, 0.9),), worth=0.87))
        by_reason = {row.reason: row.worth for row in table.rows if row.moment == "crowd"}
        self.assertAlmostEqual(by_reason["late"] / (by_reason["late"] + by_reason["refused"]), 0.5)

    def test_the_losses_of_a_kind_by_reason_add_up(self) -> None:
        for kind in losses_of(report()).kinds:
            self.assertAlmostEqual(kind.late + kind.refused + kind.failed, 1 - kind.worth)

    def test_rounding_of_the_report_is_a_separate_row(self) -> None:
        table = losses_of(report(worth=report().worth - 0.004))
        self.assertAlmostEqual(worth_lost_by(table, "rounding of the report"), 0.004)
        self.assertLess(check_sum(table), 1e-9)

    def test_moments_are_named_by_the_most_severe_event(self) -> None:
        events = (Event(10.0, 12.0, "node_kill"), Event(11.0, 13.0, "burst"), Event(30.0, 31.0, "release", True))
        moments = {second: moment_of(second, events) for second in (0.0, 8.5, 10.0, 12.0, 14.0, 22.0, 30.0)}
        expected = ["calm", "fault", "fault and crowd", "crowd", "recovery", "calm", "planned work"]
        self.assertEqual(list(moments.values()), expected)


class CommandTest(unittest.TestCase):
    def file_of(self, content: bytes) -> Path:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        file = Path(folder.name, "report.json")
        file.write_bytes(content)
        return file

    def test_reads_a_report_and_ignores_other_fields(self) -> None:
        content = {**json.loads(msgspec.json.encode(report())), "box": {"speed": 2.0}}
        read = read_report(self.file_of(json.dumps(content).encode()))
        self.assertEqual(read, Success(report()))

    def test_prints_a_table_and_the_two_worst_windows(self) -> None:
        done = CliRunner().invoke(main, [str(self.file_of(msgspec.json.encode(report())))])
        self.assertEqual(done.exit_code, 0)
        self.assertIn("worst windows, last fault, failed", done.output)
        self.assertEqual(done.output.count("worst window, second"), 2)

    def test_prints_json(self) -> None:
        done = CliRunner().invoke(main, ["--json", str(self.file_of(msgspec.json.encode(report())))])
        self.assertAlmostEqual(sum(row["share"] for row in json.loads(done.output)["rows"]), 1.0)

    def test_an_unreadable_file_is_reported(self) -> None:
        file = self.file_of(b"{")
        self.assertIsInstance(read_report(file), Failure)
        done = CliRunner().invoke(main, [str(file)])
        self.assertEqual(done.exit_code, EXIT_UNREADABLE)
        self.assertIn(str(file), done.output)
