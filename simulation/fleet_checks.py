"""Checks of the fleet: stops, drains, paid shares and recovery after faults (docs/DESIGN.md section 16.3)."""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict

from .history import Attempt, Call, History, PaidShare
from .indexed_history import IndexedHistory, Violation

SIGTERM = ("terminate",)
SHARE_CODES = ("share-exceeded",)


def ready_while_stopping(indexed: IndexedHistory) -> list[Violation]:
    """Finds routers that report ready after SIGTERM.

    This is stricter than the users' rule, by which a quarter of the routers may count as ready for 4 s more.
    """
    found = []
    for stop in indexed.history.stops:
        until = stop.ended_at if stop.ended_at is not None else indexed.end
        names = indexed.with_machines(stop.daemon)
        for poll in indexed.history.ready:
            if poll.router != stop.daemon or not stop.asked_at + indexed.bounds.unready <= poll.asked_at < until:
                continue
            if indexed.history.disturbed(names, stop.asked_at, poll.asked_at, but=SIGTERM):
                break
            indexed.judged["stays-ready-when-stopped"] += 1
            if poll.ready:
                text = f"{stop.daemon} says that it is ready {poll.asked_at - stop.asked_at:.2f} s after SIGTERM"
                found.append(Violation(poll.asked_at, "stays-ready-when-stopped", text))
                break
    return found


def stop_takes_too_long(indexed: IndexedHistory) -> list[Violation]:
    """Finds daemons whose process still runs after the limit for a stop."""
    found = []
    for stop in indexed.history.stops:
        limit = stop.asked_at + indexed.bounds.stop
        if limit > indexed.end:
            continue
        if indexed.history.disturbed(indexed.with_machines(stop.daemon), stop.asked_at, limit, but=SIGTERM):
            continue
        indexed.judged["stop-takes-too-long"] += 1
        if stop.ended_at is None or stop.ended_at > limit:
            text = f"{stop.daemon} still runs {indexed.bounds.stop:.1f} s after SIGTERM"
            found.append(Violation(limit, "stop-takes-too-long", text))
    return found


def drained_worker_receives_calls(indexed: IndexedHistory) -> list[Violation]:
    """Finds calls that reached a worker too long after it announced its drain."""
    found = []
    for drain in indexed.history.drains:
        limits = []
        if drain.acknowledged_at is not None:
            limits.append(drain.acknowledged_at + indexed.bounds.drained)
        recovered_at = indexed.last_fault_ended(before=drain.started_at + indexed.bounds.drained)
        if recovered_at + indexed.bounds.recovery < drain.started_at:
            limits.append(drain.started_at + indexed.bounds.drained)
        if not limits:
            continue
        indexed.judged["drained-worker-gets-turns"] += 1
        for arrival in indexed.history.arrivals:
            if arrival.instance == drain.instance and arrival.at > min(limits):
                late = arrival.at - drain.started_at
                text = f"{arrival.mark} came to {arrival.worker} {late:.2f} s after it began to drain"
                found.append(Violation(arrival.at, "drained-worker-gets-turns", text))
    return found


class _SharesInForce:
    """The paid shares of a tenant with the times at which each may have been in force.

    A share may be in force until 2 s after the next one was acknowledged.
    """

    def __init__(self, history: History, tenant: str, in_force: float) -> None:
        self._spans: list[tuple[float, float, PaidShare]] = []
        since, share = 0.0, history.first_shares[tenant]
        for order in sorted(history.orders, key=lambda order: order.answers[0].asked_at if order.answers else 0.0):
            if tenant not in order.paid_shares or not order.answers:
                continue
            started = order.answers[0].asked_at
            if order.accepted is not None:
                self._spans.append((since, order.accepted.answered_at + in_force, share))
                since, share = started, order.paid_shares[tenant]
            elif order.answers[-1].outcome in ("unknown", "lost"):
                self._spans.append((started, float("inf"), order.paid_shares[tenant]))
        self._spans.append((since, float("inf"), share))

    def between(self, start: float, end: float) -> list[PaidShare]:
        return [share for since, until, share in self._spans if since <= end and until >= start]


def paid_share_missed(indexed: IndexedHistory) -> list[Violation]:
    """Finds tenants that were admitted far above their paid share or refused well below it."""
    found = []
    sent: dict[str, list[float]] = defaultdict(list)
    admitted: dict[str, list[float]] = defaultdict(list)
    for attempt in indexed.attempts:
        sent[attempt.tenant].append(attempt.sent_at)
        if attempt.mark in indexed.arrivals_by_mark:
            admitted[attempt.tenant].append(attempt.sent_at)
    bounds = indexed.bounds
    window = bounds.share_window
    for tenant in indexed.history.first_shares:
        shares = _SharesInForce(indexed.history, tenant, bounds.in_force)
        admitted_at = sorted(admitted[tenant])
        offered = sorted(sent[tenant])
        indexed.judged["paid-share-missed"] += len(admitted_at)
        for index, at in enumerate(admitted_at):
            in_force = shares.between(at - window, at)
            rate = max(share.paid_rate for share in in_force)
            saved = max(share.paid_rate * share.burst for share in in_force)
            count = index + 1 - bisect_left(admitted_at, at - window)
            if count > bounds.share_above * rate * window + saved + 3:
                text = f"{tenant}: {count} calls let in within {window:.0f} s; its share is {rate:g} a second"
                found.append(Violation(at, "paid-share-missed", text))
                break
        for attempt in indexed.attempts:
            if attempt.tenant != tenant or attempt.status != 429 or attempt.code not in SHARE_CODES:
                continue
            at = attempt.sent_at
            rate = min(share.paid_rate for share in shares.between(at - 3.0, at))
            counts = [bisect_left(offered, at) + 1 - bisect_left(offered, at - span) for span in (1.0, 3.0)]
            below = counts[0] < bounds.share_below * rate and counts[1] < bounds.share_below * rate * 3.0
            if below and at > indexed.last_fault_ended(at) + bounds.recovery:
                text = (
                    f"{attempt.mark} refused though {tenant} sent {counts} in 1 s, 3 s; its share is {rate:g} a second"
                )
                found.append(Violation(at, "paid-share-missed", text))
                break
    return found


def service_not_restored(indexed: IndexedHistory) -> list[Violation]:
    """Finds services whose calls still fail when they start later than 12 s after the last fault.

    Refusals above a tenant's share are excepted.
    """
    since = indexed.last_fault_ended() + indexed.bounds.recovery
    calls = [
        call
        for call in indexed.history.calls
        if call.started_at >= since and call.ended_at is not None and not _over_share(call)
    ]
    indexed.judged["service-not-back"] += len(calls)
    failed = [call for call in calls if not call.succeeded]
    found = _routers_not_restored(indexed, since)
    if not calls or len(failed) <= max(
        indexed.bounds.recovery_failures_allowed, (1.0 - indexed.bounds.recovery_success_share) * len(calls)
    ):
        return found
    first = failed[0]
    ends = ", ".join(f"{each.router}: {each.end} {each.status or ''} {each.code}" for each in first.attempts)
    ends = ends or "no ready router"
    text = f"{len(failed)} of {len(calls)} calls failed after {since:.1f}; the first, {first.identifier}, by {ends}"
    return [*found, Violation(first.started_at, "service-not-back", text)]


def _routers_not_restored(indexed: IndexedHistory, since: float) -> list[Violation]:
    """Finds routers that are ready for the platform but fail a service; retries elsewhere hide them from callers."""
    ends: dict[tuple[str, str], list[Attempt]] = defaultdict(list)
    for attempt in indexed.attempts:
        stale = attempt.reused_connection and attempt.end == "broken" and attempt.status is None
        if attempt.sent_at < since or attempt.ended_at is None or stale:
            continue  # a reused connection to a machine that lost power breaks at its next use, whenever that is
        if attempt.status not in (401, 403, 409, 429):
            ends[attempt.router, attempt.service].append(attempt)
    found = []
    for (router, service), attempts in sorted(ends.items()):
        failed = [attempt for attempt in attempts if not attempt.succeeded]
        if len(failed) >= 2 and len(failed) > indexed.bounds.router_failures * len(attempts):
            first = failed[0]
            text = (
                f"{router} failed {len(failed)} of {len(attempts)} calls of {service} after {since:.1f}; "
                f"the first, {first.mark}, by {first.end} {first.status or ''} {first.code}"
            )
            found.append(Violation(first.sent_at, "service-not-back", text))
    return found


def _over_share(call: Call) -> bool:
    return any(attempt.status in (401, 403, 429) for attempt in call.attempts)
