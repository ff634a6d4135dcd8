"""Splits the loss of a day, which is 1 minus its worth, by part of the score, moment, reason and price.

The bench reports worth by window and by kind of request, and how many requests were late, refused or failed. It does
not report the credit of single requests. The part of its credit that a late request loses is therefore estimated from
windows with hardly any other loss, and each late request counts with this part. The rest of the loss of a window is
split by the numbers of refused and failed requests. Not all refused requests are owed: those beyond a tenant's limit
are not, but the report counts them together with the others.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
from toolz import groupby

from .report import DayReport, Event, Price, Requests

WINDOW_S = 2.0
RECOVERY_S = 8.0
"""Losses within this time after the end of a fault count as recovery."""
WORST_WINDOWS = 2
MIN_OWED_SHARE = 0.1
"""A window is not among the worst ones unless more than this share of its requests is owed."""
CROWD_KINDS = ("burst", "hot_key", "hot_tenant", "retry_abuse")
LAST_FAULT_PREFIX = "closing"
DEFAULT_LATE_LOSS = 0.5
"""Loss of a late request, as a part of its credit, when no window of the day allows an estimate."""
MAX_OTHERS_PER_LATE = 0.2
"""A window is used to estimate the loss of late requests up to this number of refused and failed ones per late one."""
SUM_TOLERANCE = 1e-6


class Loss(msgspec.Struct, frozen=True):
    """One row of the table: where, when and why worth was lost, as worth and as a share of the loss of the day."""

    part: str
    moment: str
    reason: str
    worth: float
    share: float


class WorstWindow(msgspec.Struct, frozen=True):
    """One of the windows with the lowest worth, and the events during it."""

    second: float
    requests: Requests
    moment: str
    events: tuple[str, ...]


class KindLoss(msgspec.Struct, frozen=True):
    """The worth of one kind of request, and its loss by reason; the reasons add up to ``1 - worth``."""

    kind: str
    worth: float
    late: float
    refused: float
    failed: float


class LossTable(msgspec.Struct, frozen=True):
    """The attributed loss of one day; ``breaks`` and ``ends`` are copied from the report."""

    worth: float
    rows: tuple[Loss, ...]
    kinds: tuple[KindLoss, ...]
    worst: tuple[WorstWindow, ...]
    breaks: dict[str, int]
    ends: dict[str, int]


def losses_of(report: DayReport) -> LossTable:
    """Returns the table of one day. Its shares add up to 1; ``check_sum`` returns the deviation."""
    late_loss = late_loss_of(report.windows)
    rows = [*_part_losses(report, late_loss), *_price_losses(report.prices)]
    total = 1.0 - report.worth
    unexplained = total - sum(row.worth for row in rows)
    if abs(unexplained) > SUM_TOLERANCE:
        rows.append(Loss("rounding of the report", "", "", unexplained, 0.0))
    shared = [msgspec.structs.replace(row, share=row.worth / total if total else 0.0) for row in rows]
    ordered = sorted(shared, key=lambda row: -row.worth)
    kinds = tuple(_kind_loss(requests, late_loss) for requests in report.classes)
    worst = tuple(_worst_window(window, report.events) for window in _worst_windows(report.windows))
    return LossTable(report.worth, tuple(ordered), kinds, worst, report.breaks, report.ends)


def check_sum(table: LossTable) -> float:
    """Returns how far the sum of the shares is from one."""
    return abs(1.0 - sum(row.share for row in table.rows))


def late_loss_of(windows: Sequence[Requests]) -> float:
    """Estimates the part of its credit that a late request lost, from 0 to 1, in windows with little other loss."""
    informative = [window for window in windows if window.refused + window.failed <= MAX_OTHERS_PER_LATE * window.late]
    late = sum(window.late for window in informative)
    if not late:
        return DEFAULT_LATE_LOSS
    lost = sum(_lost_requests(window) - window.refused - window.failed for window in informative)
    return min(1.0, max(0.0, lost / late))


def moment_of(second: float, events: Sequence[Event]) -> str:
    """Names the most severe condition during the window that begins at ``second``."""
    during = [event for event in events if event.at_s < second + WINDOW_S and event.to_s > second]
    if any(event.kind.startswith(LAST_FAULT_PREFIX) and event.at_s < second + WINDOW_S for event in events):
        return "last fault"
    faults = [event for event in during if not event.planned]
    if any(not event.kind.startswith(CROWD_KINDS) for event in faults):
        return "fault and crowd" if any(event.kind.startswith(CROWD_KINDS) for event in faults) else "fault"
    if faults:
        return "crowd"
    if any(not event.planned and event.to_s <= second < event.to_s + RECOVERY_S for event in events):
        return "recovery"
    return "planned work" if during else "calm"


def _part_losses(report: DayReport, late_loss: float) -> list[Loss]:
    rows: list[Loss] = []
    for part in report.parts:
        lost = part.weight * (1.0 - part.worth)
        windows = _worst_windows(report.windows) if "window" in part.name else report.windows
        if "class" in part.name:
            worst = min(report.classes, key=lambda kind: kind.worth)
            rows.extend(_by_reason(part.name, worst.name, lost, [worst], late_loss))
        else:
            rows.extend(_by_moment(part.name, lost, windows, report.events, late_loss))
    return rows


def _by_moment(
    part: str, lost: float, windows: Sequence[Requests], events: Sequence[Event], late_loss: float
) -> list[Loss]:
    """Splits a loss among moments in proportion to the losses of their windows, and within a moment by reason."""
    total_lost = sum(_lost_requests(window) for window in windows)
    if not total_lost:
        return [Loss(part, "", "", lost, 0.0)] if lost else []
    rows: list[Loss] = []
    grouped = groupby(lambda window: moment_of(float(window.name), events), windows)
    for name, group in grouped.items():
        portion = sum(_lost_requests(window) for window in group) / total_lost
        rows.extend(_by_reason(part, name, lost * portion, group, late_loss))
    return rows


def _by_reason(part: str, moment: str, lost: float, group: Sequence[Requests], late_loss: float) -> list[Loss]:
    total_lost = sum(_lost_requests(requests) for requests in group)
    late = late_loss * sum(requests.late for requests in group)
    refused, failed = sum(requests.refused for requests in group), sum(requests.failed for requests in group)
    if not total_lost or not (late or refused or failed):
        return [Loss(part, moment, "", lost, 0.0)] if lost else []
    by_late = lost * min(1.0, late / total_lost) if refused or failed else lost
    others = (lost - by_late) / max(1, refused + failed)
    split = {"late": by_late, "refused": others * refused, "failed": others * failed}
    return [Loss(part, moment, reason, worth, 0.0) for reason, worth in split.items() if worth]


def _price_losses(prices: Sequence[Price]) -> list[Loss]:
    return [Loss("prices", "", price.name, price.worth, 0.0) for price in prices if price.worth]


def _lost_requests(window: Requests) -> float:
    return window.owed * (1.0 - window.worth)


def _worst_windows(windows: Sequence[Requests]) -> list[Requests]:
    owed = [window for window in windows if window.owed > MIN_OWED_SHARE * window.n]
    return sorted(owed, key=lambda window: window.worth)[:WORST_WINDOWS]


def _worst_window(window: Requests, events: Sequence[Event]) -> WorstWindow:
    second = float(window.name)
    during = tuple(event.kind for event in events if event.at_s < second + WINDOW_S and event.to_s > second)
    return WorstWindow(second, window, moment_of(second, events), during)


def _kind_loss(requests: Requests, late_loss: float) -> KindLoss:
    lost = 1.0 - requests.worth
    split = {row.reason: row.worth for row in _by_reason("", "", lost, [requests], late_loss)}
    return KindLoss(
        requests.name, requests.worth, split.get("late", 0.0), split.get("refused", 0.0), split.get("failed", 0.0)
    )
