"""Splits what a day lost, 1 - its worth, by part of the score, moment, reason and price.

The bench tells worth by window and by kind of request, and how many requests were late, refused or failed; it doesn't
tell the credit of single requests. So within a window a late request counts as the part of its credit that it lost in
windows with hardly any other loss; the rest of the loss is split by the numbers of refused and failed requests.
Not all refused requests are owed: those past a tenant's limit are not, and the report counts them alike.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
from toolz import groupby

from .report import DayReport, Event, Price, Requests

WINDOW_S = 2.0
RECOVERY_S = 8.0
"""A fault's effects are counted as recovery for so long after its end."""
WORST_WINDOWS = 2
MIN_OWED_SHARE = 0.1
"""A window in which less than this part of its requests is owed is not among the worst ones."""
CROWD_KINDS = ("burst", "hot_key", "hot_tenant", "retry_abuse")
LAST_FAULT_PREFIX = "closing"
DEFAULT_LATE_LOSS = 0.5
"""Used where no window of the day has late requests only."""
MAX_OTHERS_PER_LATE = 0.2
"""Refused and failed requests for each late one, up to which a window tells what being late costs."""
SUM_TOLERANCE = 1e-6


class Loss(msgspec.Struct, frozen=True):
    """One row: where, when and why worth was lost, in worth and as a share of all that the day lost."""

    part: str
    moment: str
    reason: str
    worth: float
    share: float


class WorstWindow(msgspec.Struct, frozen=True):
    """One of the windows with the least worth, and what went on in it."""

    second: float
    requests: Requests
    moment: str
    events: tuple[str, ...]


class KindLoss(msgspec.Struct, frozen=True):
    """One kind of request: the worth it kept, and its lost part by reason, summing to ``1 - worth``."""

    kind: str
    worth: float
    late: float
    refused: float
    failed: float


class LossTable(msgspec.Struct, frozen=True):
    worth: float
    rows: tuple[Loss, ...]
    kinds: tuple[KindLoss, ...]
    worst: tuple[WorstWindow, ...]
    breaks: dict[str, int]
    ends: dict[str, int]


def losses_of(report: DayReport) -> LossTable:
    """The table of one day; its shares sum to 1 (``check_sum`` tells when they don't)."""
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
    """How far the shares are from adding up to one."""
    return abs(1.0 - sum(row.share for row in table.rows))


def late_loss_of(windows: Sequence[Requests]) -> float:
    """The part of its credit that a late request lost, in windows where little else was lost; from 0 to 1."""
    informative = [window for window in windows if window.refused + window.failed <= MAX_OTHERS_PER_LATE * window.late]
    late = sum(window.late for window in informative)
    if not late:
        return DEFAULT_LATE_LOSS
    lost = sum(_lost_requests(window) - window.refused - window.failed for window in informative)
    return min(1.0, max(0.0, lost / late))


def moment_of(second: float, events: Sequence[Event]) -> str:
    """What the window that begins at ``second`` stands under: the gravest of what goes on in it."""
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
    """Splits by the windows' own losses, each window's by reason."""
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
