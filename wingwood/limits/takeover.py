"""What a new keeper makes of the routers' reports (docs/DESIGN.md section 14.1)."""

from __future__ import annotations

import math
from collections.abc import Sequence

import msgspec

from ..identifiers import Seconds
from .messages import KeeperView, UseAnswer

STEP = Seconds(0.5)
"""Of the reports of past use."""


class Inheritance(msgspec.Struct, frozen=True):
    """A tenant's recent use, as the reports and the last keeper's own view tell it."""

    steps: tuple[int, ...]
    """Reported use in each STEP, the newest first."""
    unreported: float
    """Use that the last keeper knew of and no report holds: that of processes which have ended or don't answer."""
    span: Seconds
    """How far back all this reaches."""
    handed: float | None
    """What the last keeper's bucket held, from itself."""
    reported_allowance: float
    """Per second: what the reporting routers may go on using by themselves."""
    promised: float
    """Per second: what the last keeper had allowed all routers together."""
    viewed: float | None
    """What the last keeper's bucket held, as it last told a router ..."""
    view_ago: Seconds
    """... so long ago."""

    def level(self, rate: float, most: float) -> float:
        """What a bucket that began anywhere above zero holds at least, if use without a report was even."""
        if self.handed is not None:
            return min(most, self.handed)
        steps = math.ceil(self.span / STEP)
        level = 0.0
        for age in range(steps - 1, -1, -1):
            earned = rate * min(STEP, self.span - age * STEP)
            used = self.steps[age] if age < len(self.steps) else 0
            level = min(most, level + earned) - used - self.unreported / steps
        if self.viewed is not None:
            since = sum(self.steps[: int(self.view_ago / STEP) + 1])
            level = max(level, min(most, self.viewed + self.view_ago * rate) - since)
        return max(0.0, level)


def inherit(reports: Sequence[UseAnswer], window: Seconds) -> Inheritance:
    steps = _sum_steps([report.used for report in reports])
    handed = [report.level for report in reports if report.level is not None]
    span = min((report.known for report in reports), default=Seconds(0.0))
    latest = min((report for report in reports if report.view is not None), key=_view_ago, default=None)
    unreported = promised = 0.0
    viewed, view_ago = None, Seconds(0.0)
    if latest is not None and latest.view is not None and latest.view_ago < window:
        viewed, view_ago = latest.view.level, latest.view_ago
        unreported = _unreported(latest.view, latest.view_ago, steps, window)
        promised = latest.view.promised
        span = max(span, Seconds(min(window, latest.view.known + latest.view_ago)))
    return Inheritance(
        steps=steps,
        unreported=0.0 if handed else unreported,
        span=Seconds(min(span, window)),
        handed=min(handed, default=None),
        reported_allowance=sum(report.allowed for report in reports),
        promised=promised,
        viewed=viewed,
        view_ago=view_ago,
    )


def _view_ago(report: UseAnswer) -> float:
    return report.view_ago


def _sum_steps(reports: Sequence[tuple[int, ...]]) -> tuple[int, ...]:
    steps = [0] * max((len(report) for report in reports), default=0)
    for report in reports:
        for age, used in enumerate(report):
            steps[age] += used
    return tuple(steps)


def _unreported(view: KeeperView, ago: Seconds, steps: Sequence[int], window: Seconds) -> float:
    """The view's part that is still in the window, less what the reports hold of that time."""
    older = sum(steps[int(ago / STEP) :])
    return max(0.0, view.used * (1.0 - ago / window) - older)
