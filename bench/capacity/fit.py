"""Straight lines through measured points, with the error of what they give."""

from __future__ import annotations

import math
from collections.abc import Sequence

import msgspec


class Line(msgspec.Struct, frozen=True):
    """``value = base + slope * size``, by least squares; errors are standard errors of the fit."""

    slope: float
    slope_error: float
    base: float
    base_error: float
    points: int
    mean_size: float
    residual: float
    """Standard deviation of the points from the line."""
    spread: float
    """Sum of squares of the sizes from their mean."""

    def at(self, size: float) -> float:
        return self.base + self.slope * size

    def error_at(self, size: float) -> float:
        """Standard error of the line itself at ``size``; grows with the distance from what was measured."""
        return self.residual * math.sqrt(1 / self.points + (size - self.mean_size) ** 2 / self.spread)


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """At least three different sizes: with two any line fits and has no error to tell."""
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
