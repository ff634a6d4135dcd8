"""Evaluation of the routers' usage reports by a new allocator (docs/DESIGN.md section 14.1)."""

from __future__ import annotations

import math
from collections.abc import Sequence

import msgspec

from ..identifiers import Seconds
from .messages import AllocatorView, UsageReport
from .share_options import REPORT_STEP_S


class InheritedUsage(msgspec.Struct, frozen=True):
    """A tenant's recent use according to the routers' reports and the previous allocator's view."""

    steps: tuple[int, ...]
    """Reported use in each step of ``REPORT_STEP_S``, the latest first."""
    unreported: float
    """Use known to the previous allocator but not reported, by processes that have ended or do not answer."""
    span: Seconds
    """How far back this information reaches, in seconds."""
    handed_over_level: float | None
    """Level of the previous allocator's bucket, reported by that allocator itself; None without such a report."""
    reported_allowed_rate: float
    """Rate per second that the reporting routers may continue to use on their own."""
    total_allowed_rate: float
    """Rate per second that the previous allocator had allowed all routers together."""
    viewed_level: float | None
    """Level of the previous allocator's bucket according to its latest view; None without a view."""
    view_age: Seconds
    """Seconds since a router received that view."""

    def level(self, rate: float, capacity: float) -> float:
        """Returns the level that a bucket with these parameters has at least.

        The bucket may have started at any level from zero, and unreported use is spread evenly over the span.
        """
        if self.handed_over_level is not None:
            return min(capacity, self.handed_over_level)
        steps = math.ceil(self.span / REPORT_STEP_S)
        level = 0.0
        for age in range(steps - 1, -1, -1):
            earned = rate * min(REPORT_STEP_S, self.span - age * REPORT_STEP_S)
            used = self.steps[age] if age < len(self.steps) else 0
            level = min(capacity, level + earned) - used - self.unreported / steps
        if self.viewed_level is not None:
            since = sum(self.steps[: int(self.view_age / REPORT_STEP_S) + 1])
            level = max(level, min(capacity, self.viewed_level + self.view_age * rate) - since)
        return max(0.0, level)


def merge_reports(reports: Sequence[UsageReport], window_s: Seconds) -> InheritedUsage:
    """Combines the routers' usage reports and the latest view of the previous allocator among them."""
    steps = _sum_steps([report.used for report in reports])
    handed_over_levels = [report.level for report in reports if report.level is not None]
    span = min((report.covered_span for report in reports), default=Seconds(0.0))
    latest = min((report for report in reports if report.view is not None), key=_view_age, default=None)
    unreported = total_allowed_rate = 0.0
    viewed_level, view_age = None, Seconds(0.0)
    if latest is not None and latest.view is not None and latest.view_age < window_s:
        viewed_level, view_age = latest.view.level, latest.view_age
        unreported = _unreported(latest.view, latest.view_age, steps, window_s)
        total_allowed_rate = latest.view.total_allowed_rate
        span = max(span, Seconds(min(window_s, latest.view.covered_span + latest.view_age)))
    return InheritedUsage(
        steps=steps,
        unreported=0.0 if handed_over_levels else unreported,
        span=Seconds(min(span, window_s)),
        handed_over_level=min(handed_over_levels, default=None),
        reported_allowed_rate=sum(report.allowed_rate for report in reports),
        total_allowed_rate=total_allowed_rate,
        viewed_level=viewed_level,
        view_age=view_age,
    )


def _view_age(report: UsageReport) -> float:
    return report.view_age


def _sum_steps(reports: Sequence[tuple[int, ...]]) -> tuple[int, ...]:
    steps = [0] * max((len(report) for report in reports), default=0)
    for report in reports:
        for age, used in enumerate(report):
            steps[age] += used
    return tuple(steps)


def _unreported(view: AllocatorView, age_s: Seconds, steps: Sequence[int], window_s: Seconds) -> float:
    """Returns the use in the view that still falls into the window, less the use that was reported for that time."""
    older = sum(steps[int(age_s / REPORT_STEP_S) :])
    return max(0.0, view.used * (1.0 - age_s / window_s) - older)
