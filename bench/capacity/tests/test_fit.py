"""Tests the least-squares fit of the capacity model.

The planned size lies far outside the measured sizes. A wrong slope or an error that is too small would make the
capacity page state costs with a precision that the measurements do not support.
"""

from __future__ import annotations

import unittest

from ..fit import fit_line


class FitTests(unittest.TestCase):
    def test_fit_of_collinear_points_is_exact_with_zero_error(self) -> None:
        line = fit_line([1, 2, 5, 10], [5, 7, 13, 23])
        self.assertAlmostEqual(line.slope, 2.0)
        self.assertAlmostEqual(line.base, 3.0)
        self.assertAlmostEqual(line.slope_error, 0.0)
        self.assertAlmostEqual(line.at(1000), 2003.0)
        self.assertAlmostEqual(line.error_at(1000), 0.0)

    def test_standard_errors_match_a_hand_calculated_example(self) -> None:
        # y = 1, 2, 4 at x = 0, 1, 2 gives slope 3/2, base 5/6, sum of squared residuals 1/6 with one degree of freedom,
        # and spread 2.
        line = fit_line([0, 1, 2], [1, 2, 4])
        self.assertAlmostEqual(line.slope, 1.5)
        self.assertAlmostEqual(line.base, 5 / 6)
        self.assertAlmostEqual(line.residual, (1 / 6) ** 0.5)
        self.assertAlmostEqual(line.slope_error, (1 / 6 / 2) ** 0.5)
        self.assertAlmostEqual(line.base_error, (1 / 6 * (1 / 3 + 1 / 2)) ** 0.5)
        self.assertAlmostEqual(line.error_at(1), (1 / 6 / 3) ** 0.5)

    def test_standard_error_grows_with_distance_from_the_measured_sizes(self) -> None:
        line = fit_line([10, 100, 300], [1.0, 2.0, 3.5])
        self.assertGreater(line.error_at(1000), 3 * line.error_at(150))

    def test_fit_is_refused_with_fewer_than_three_sizes_or_unequal_counts(self) -> None:
        with self.assertRaisesRegex(ValueError, "three different sizes"):
            fit_line([1, 1, 2], [1, 2, 3])
        with self.assertRaisesRegex(ValueError, "3 sizes and 2 values"):
            fit_line([1, 2, 3], [1, 2])
