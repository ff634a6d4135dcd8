"""Tests the tables of the capacity page.

They guard against hand-written text that is overwritten, a page that no longer matches the committed measurements,
numbers with a wrong error or source, and a failed or missing probe that looks like a measured one.
"""

from __future__ import annotations

import json
import math
import unittest
from pathlib import Path
from typing import Any

from ..fits import Fits, Inputs
from ..page import fill_tables, tables
from ..planned import PLANNED
from ..planned_roles import RoleCosts, Value, control_budget
from ..text import markdown, number, with_error


def measured(**probes: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns contents of measured.json with these rows; an underscore in a probe's name stands for a space."""
    metadata = {"at": "2026-01-01 10:20:30", "load": [1.0, 2.0], "seconds": 3.0, "commit": "abc"}
    return {name.replace("_", " "): metadata | {"rows": rows} for name, rows in probes.items()}


class PageTests(unittest.TestCase):
    def test_only_the_text_between_markers_is_replaced(self) -> None:
        page = "words\n<!-- table: a -->\nold\nrows\n<!-- end -->\nmore\n<!-- table: b -->\n<!-- end -->\n"
        filled = fill_tables(page, {"a": "| new |", "b": "| b |"})
        self.assertEqual(
            filled,
            "words\n<!-- table: a -->\n| new |\n<!-- end -->\nmore\n<!-- table: b -->\n| b |\n<!-- end -->\n",
        )
        self.assertEqual(fill_tables(filled, {"a": "| new |", "b": "| b |"}), filled)

    def test_committed_page_matches_the_committed_measurements(self) -> None:
        root = Path(__file__).resolve().parents[3]
        inputs = json.loads((root / "bench" / "capacity" / "measured.json").read_text())
        page = (root / "docs" / "CAPACITY.md").read_text()
        self.assertEqual(fill_tables(page, tables(inputs)), page)
        self.assertNotIn("not measured (", page)

    def test_marker_of_an_unknown_table_is_refused(self) -> None:
        with self.assertRaisesRegex(ValueError, "asks for table 'lost'"):
            fill_tables("<!-- table: lost -->\n<!-- end -->\n", {"a": ""})

    def test_numbers_are_formatted_with_three_significant_figures(self) -> None:
        self.assertEqual([number(value) for value in (1234.5, 12.345, 0.012345, 0.0, -0.5)],
                         ["1,234", "12.3", "0.0123", "0", "-0.5"])  # fmt: skip
        self.assertEqual(with_error(0.0000353, 0.0000043), "0.0000353 ± 0.0000043")
        self.assertEqual(markdown([["a", "b"], ["1", "2"]]), "| a | b |\n| --- | --- |\n| 1 | 2 |")

    def test_sum_adds_errors_in_quadrature_and_unites_kinds(self) -> None:
        found = Value(1.0, 0.3) + Value(2.0, 0.4) + Value(4.0, 0.0, "a")
        self.assertAlmostEqual(found.value, 7.0)
        self.assertAlmostEqual(found.error, 0.5)
        self.assertEqual(found.kind, "af")
        self.assertEqual(found.text("%"), "7 ± 0.5% *af*")
        self.assertEqual(Value(4.0, 0.0, "m").times(2).text(), "8 *m*")

    def test_missing_and_failed_probes_are_named_in_the_tables(self) -> None:
        inputs = measured(messages=[]) | {"session map": {"failed": "not done after 600 s", "rows": [],
                                                         "at": "2026-01-01 10:20:30", "load": [1, 1],
                                                         "seconds": 600.0, "commit": "abc"}}  # fmt: skip
        found = tables(inputs)
        self.assertEqual(found["daemons"], "Not run.")
        self.assertEqual(found["session map"], "Not measured: not done after 600 s.")
        self.assertIn("not measured (daemons)", found["budget"])
        self.assertIn("at least", found["budget"])

    def test_line_is_absent_with_fewer_than_three_sizes(self) -> None:
        rows = [{"zones": zones, "edge_bytes": 100.0 + 50 * zones, "edge_core": 0.01} for zones in (1, 3)]
        self.assertIsNone(Fits(Inputs(measured(worker_zones=rows))).get("zones bytes"))
        rows.append({"zones": 7, "edge_bytes": 450.0, "edge_core": 0.01})
        line = Fits(Inputs(measured(worker_zones=rows))).get("zones bytes")
        assert line is not None
        self.assertAlmostEqual(line.slope, 50.0)

    def test_role_cost_is_calculated_from_the_fitted_slopes(self) -> None:
        rows = [
            {"routers": routers, "ring_ms": 0.1 * routers, "all_ms": 20 + 0.2 * routers, "share_keepers_first_ms": 1.0}
            for routers in (11, 100, 1000)
        ]
        costs = RoleCosts(Fits(Inputs(measured(members_changed=rows))))
        changes_a_second = 2 * 2476 / 13 / 86_400
        self.assertAlmostEqual(costs.members_core().value, 0.220 * changes_a_second)
        self.assertAlmostEqual(PLANNED.streams_per_daemon, 179.2)
        self.assertAlmostEqual(PLANNED.entries_per_daemon, 11_600)
        budget = control_budget(costs.fits)
        self.assertEqual(budget[3][0], "changes of members")
        self.assertEqual(budget[3][1], f"{number(22.0 * changes_a_second)} ± 0% *f*")
        self.assertTrue(math.isclose(PLANNED.changes_per_second, 0.324, rel_tol=0.001))
