"""What a new keeper makes of the routers' reports (docs/DESIGN.md section 14.1)."""

from __future__ import annotations

import math
from collections.abc import Sequence

import msgspec

from ..identifiers import Seconds
from .messages import AllocatorView, UsageReport

REPORT_STEP_S = Seconds(0.5)
"""Of the reports of past use."""


class InheritedUsage(msgspec.Struct, frozen=True):
    """A tenant's recent use, as the reports and the last keeper's own view tell it."""

    steps: tuple[int, ...]
    """Reported use in each STEP, the newest first."""
    unreported: float
    """Use that the last keeper knew of and no report holds: that of processes which have ended or don't answer."""
    span: Seconds
    """How far back all this reaches."""
    handed_over_level: float | None
    """What the last keeper's bucket held, from itself."""
    reported_allowed_rate: float
    """Per second: what the reporting routers may go on using by themselves."""
    promised_rate: float
    """Per second: what the last keeper had allowed all routers together."""
    viewed_level: float | None
    """What the last keeper's bucket held, as it last told a router ..."""
    view_age: Seconds
    """... so long ago."""

    def level(self, rate: float, capacity: float) -> float:
        """What a bucket that began anywhere above zero holds at least, if use without a report was even."""
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


def merge_reports(reports: Sequence[UsageReport], window: Seconds) -> InheritedUsage:
    steps = _sum_steps([report.used for report in reports])
    handed_over_levels = [report.level for report in reports if report.level is not None]
    span = min((report.covered_span for report in reports), default=Seconds(0.0))
    latest = min((report for report in reports if report.view is not None), key=_view_age, default=None)
    unreported = promised_rate = 0.0
    viewed_level, view_age = None, Seconds(0.0)
    if latest is not None and latest.view is not None and latest.view_age < window:
        viewed_level, view_age = latest.view.level, latest.view_age
        unreported = _unreported(latest.view, latest.view_age, steps, window)
        promised_rate = latest.view.promised_rate
        span = max(span, Seconds(min(window, latest.view.covered_span + latest.view_age)))
    return InheritedUsage(
        steps=steps,
        unreported=0.0 if handed_over_levels else unreported,
        span=Seconds(min(span, window)),
        handed_over_level=min(handed_over_levels, default=None),
        reported_allowed_rate=sum(report.allowed_rate for report in reports),
        promised_rate=promised_rate,
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


def _unreported(view: AllocatorView, ago: Seconds, steps: Sequence[int], window: Seconds) -> float:
    """The view's part that is still in the window, less what the reports hold of that time."""
    older = sum(steps[int(ago / REPORT_STEP_S) :])
    return max(0.0, view.used * (1.0 - ago / window) - older)
