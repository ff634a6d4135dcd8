"""Lines, their errors, and the tables that stand between the page's markers."""

from __future__ import annotations

import unittest

from ..fit import fit_line


class FitTests(unittest.TestCase):
    def test_points_on_a_line_give_it_without_error(self) -> None:
        line = fit_line([1, 2, 5, 10], [5, 7, 13, 23])
        self.assertAlmostEqual(line.slope, 2.0)
        self.assertAlmostEqual(line.base, 3.0)
        self.assertAlmostEqual(line.slope_error, 0.0)
        self.assertAlmostEqual(line.at(1000), 2003.0)
        self.assertAlmostEqual(line.error_at(1000), 0.0)

    def test_errors_are_those_of_the_textbook(self) -> None:
        # y = 1, 2, 4 at x = 0, 1, 2: slope 3/2, base 5/6; squares 1/6, one degree of freedom, spread 2.
        line = fit_line([0, 1, 2], [1, 2, 4])
        self.assertAlmostEqual(line.slope, 1.5)
        self.assertAlmostEqual(line.base, 5 / 6)
        self.assertAlmostEqual(line.residual, (1 / 6) ** 0.5)
        self.assertAlmostEqual(line.slope_error, (1 / 6 / 2) ** 0.5)
        self.assertAlmostEqual(line.base_error, (1 / 6 * (1 / 3 + 1 / 2)) ** 0.5)
        self.assertAlmostEqual(line.error_at(1), (1 / 6 / 3) ** 0.5)

    def test_the_error_grows_away_from_the_points(self) -> None:
        line = fit_line([10, 100, 300], [1.0, 2.0, 3.5])
        self.assertGreater(line.error_at(1000), 3 * line.error_at(150))

    def test_two_sizes_are_no_fit(self) -> None:
        with self.assertRaisesRegex(ValueError, "three different sizes"):
            fit_line([1, 1, 2], [1, 2, 3])
        with self.assertRaisesRegex(ValueError, "3 sizes and 2 values"):
            fit_line([1, 2, 3], [1, 2])
