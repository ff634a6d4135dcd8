"""Fits straight lines to measured points and gives the standard errors of the lines."""

from __future__ import annotations

import math
from collections.abc import Sequence

import msgspec


class Line(msgspec.Struct, frozen=True):
    """The line ``value = base + slope * size`` of a least-squares fit; the errors are standard errors."""

    slope: float
    slope_error: float
    base: float
    base_error: float
    points: int
    mean_size: float
    residual: float
    """The standard deviation of the points from the line."""
    spread: float
    """The sum of squared differences between the sizes and their mean."""

    def at(self, size: float) -> float:
        return self.base + self.slope * size

    def error_at(self, size: float) -> float:
        """Returns the standard error of the line at ``size``; it grows with the distance from the measured sizes."""
        return self.residual * math.sqrt(1 / self.points + (size - self.mean_size) ** 2 / self.spread)


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Fits a line by least squares.

    Raises ValueError with fewer than three different sizes: a line through two sizes has no residual, so its error
    is unknown. Raises ValueError as well if the numbers of sizes and values differ.
    """
    if len(sizes) != len(values):
        raise ValueError(f"{len(sizes)} sizes and {len(values)} values")
    if len(set(sizes)) < 3:
        raise ValueError(f"a fit needs three different sizes, got {sorted(set(sizes))}")
    count = len(sizes)
    mean_size, mean_value = sum(sizes) / count, sum(values) / count
    spread = sum((size - mean_size) ** 2 for size in sizes)
    slope = sum((size - mean_size) * (value - mean_value) for size, value in zip(sizes, values, strict=True)) / spread
    base = mean_value - slope * mean_size
    squares = sum((value - base - slope * size) ** 2 for size, value in zip(sizes, values, strict=True))
    residual = math.sqrt(squares / (count - 2))
    return Line(
        slope=slope,
        slope_error=residual / math.sqrt(spread),
        base=base,
        base_error=residual * math.sqrt(1 / count + mean_size**2 / spread),
        points=count,
        mean_size=mean_size,
        residual=residual,
        spread=spread,
    )
