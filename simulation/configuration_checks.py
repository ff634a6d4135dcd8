"""Checks of orders and bundles: in force in time, never lost, one order a version (docs/DESIGN.md section 16.3)."""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict

from .history import Attempt, ObservedRun
from .indexed_history import IndexedHistory, Violation

SEVERAL_POLLS_S = 3.0
"""A time in seconds within which the version of every daemon is polled more than once."""


def latest_bundle_not_restored(indexed: IndexedHistory) -> list[Violation]:
    """Finds routers that, after the recovery time, lack the latest bundle that was acknowledged before it."""
    since = indexed.last_fault_ended() + indexed.bounds.recovery
    due = [
        order.accepted.version
        for order in indexed.history.orders
        if order.accepted is not None and order.accepted.answered_at <= since - indexed.bounds.in_force
    ]
    if not due or since + SEVERAL_POLLS_S > indexed.end:
        return []
    found = []
    for router in sorted(indexed.topology.routers):
        shown = [poll.version for poll in indexed.history.versions if poll.daemon == router and poll.asked_at >= since]
        indexed.judged["newest-not-back"] += 1
        if not shown or min(shown) < max(due):
            what = f"shows version {min(shown)}" if shown else "answers no question"
            text = f"{router} {what} later than {since:.1f}; {max(due)} was acknowledged"
            found.append(Violation(since, "newest-not-back", text))
    return found


def bundle_not_in_force(indexed: IndexedHistory) -> list[Violation]:
    """Finds connected routers without an acknowledged version, or a later one, about two seconds after it."""
    found = []
    accepted = sorted(
        (order.accepted.answered_at, order.accepted.version) for order in indexed.history.orders if order.accepted
    )
    latest: list[tuple[float, int]] = []
    for at, version in accepted:
        latest.append((at, max(version, latest[-1][1] if latest else 0)))
    times = [at for at, _ in latest]
    reported: set[tuple[str, int]] = set()
    for poll in indexed.history.versions:
        index = bisect_left(times, poll.asked_at - indexed.bounds.in_force) - 1
        if index < 0:
            continue
        due_at, due = latest[index]
        names = indexed.with_machines(poll.daemon) | indexed.topology.controls
        if poll.asked_at < indexed.undisturbed_since(names, poll.asked_at) + indexed.bounds.recovery:
            continue
        indexed.judged["bundle-not-in-force"] += 1
        if poll.version >= due or (poll.daemon, due) in reported:
            continue
        reported.add((poll.daemon, due))
        found.append(
            Violation(
                poll.asked_at,
                "bundle-not-in-force",
                f"{poll.daemon} has version {poll.version}; {due} was acknowledged at {due_at:.3f}",
            )
        )
    return found


def bundle_version_regresses(indexed: IndexedHistory) -> list[Violation]:
    """Finds daemons that show an older bundle version after a later one."""
    found = []
    polls: dict[str, list[tuple[float, float, int]]] = defaultdict(list)
    for poll in indexed.history.versions:
        polls[poll.daemon].append((poll.asked_at, poll.answered_at, poll.version))
    for daemon, listed in polls.items():
        highest: list[tuple[float, int]] = []
        indexed.judged["bundle-falls-back"] += len(listed)
        for asked_at, answered_at, version in listed:
            before = max(
                (high for at, high in highest if at + indexed.bounds.regression_tolerance <= asked_at), default=0
            )
            if 0 < version < before:
                found.append(Violation(asked_at, "bundle-falls-back", f"{daemon} shows {version} after {before}"))
            if version > (highest[-1][1] if highest else 0):
                highest.append((answered_at, version))
    return found


def removed_key_accepted(indexed: IndexedHistory) -> list[Violation]:
    """Finds calls that ran with a key whose removal had been acknowledged longer ago than the bound."""
    bound = indexed.bounds.removed_key
    if bound is None:
        return []
    removed: dict[str, float] = {}
    for order in indexed.history.orders:
        if order.accepted is not None:
            for key in order.removed_keys:
                removed[key] = min(removed.get(key, float("inf")), order.accepted.answered_at)
    found = []
    for run in indexed.history.runs:
        attempt = indexed.attempt_of.get(run.mark)
        if attempt is None or attempt.key not in removed:
            continue
        indexed.judged["removed-key-works"] += 1
        late = run.started_at - removed[attempt.key]
        if late > bound and not _was_queued_at_frozen_worker(indexed, attempt, run, removed[attempt.key] + bound):
            text = f"{attempt.mark} ran through {attempt.router} {late:.2f} s after its key's removal was acknowledged"
            found.append(Violation(run.started_at, "removed-key-works", text))
    return found


def _was_queued_at_frozen_worker(indexed: IndexedHistory, attempt: Attempt, run: ObservedRun, limit: float) -> bool:
    """Returns whether the call was sent by ``limit`` and read by a worker, frozen since before, when it woke.

    The caller had disconnected by ``limit``, and an undisturbed router sends nothing for such a caller.
    """
    if attempt.ended_at is None or attempt.ended_at > limit:
        return False
    path = indexed.with_machines(attempt.router, attempt.caller_machine)
    if indexed.history.disturbed(path, attempt.sent_at, attempt.ended_at + 1.0):
        return False
    worker = indexed.with_machines(run.worker)
    return any(
        fault.kind == "freeze"
        and worker.intersection(fault.targets)
        and fault.started_at <= attempt.ended_at
        and fault.ended_at is not None
        and fault.ended_at <= run.started_at <= fault.ended_at + 0.5
        for fault in indexed.history.faults
    )


def two_orders_accepted(indexed: IndexedHistory) -> list[Violation]:
    """Finds versions that were given to several orders, or that do not follow the base of their order."""
    found = []
    by_version: dict[int, set[str]] = defaultdict(set)
    for order in indexed.history.orders:
        for answer in order.answers:
            if answer.outcome == "accepted":
                indexed.judged["two-orders-win"] += 1
                by_version[answer.version].add(order.order)
                if answer.version != order.base + 1:
                    text = f"{order.order} on base {order.base} was accepted as version {answer.version}"
                    found.append(Violation(answer.answered_at, "two-orders-win", text))
    for version, orders in by_version.items():
        if len(orders) > 1:
            text = f"version {version} was given to {', '.join(sorted(orders))}"
            found.append(Violation(indexed.end, "two-orders-win", text))
    return found


def resent_order_refused(indexed: IndexedHistory) -> list[Violation]:
    """Finds orders with contradictory answers, and refused orders that are in the bundle history."""
    found = []
    listed = {entry.order: entry.version for entries in indexed.history.final_history.values() for entry in entries}
    for order in indexed.history.orders:
        definite = [answer for answer in order.answers if answer.outcome in ("accepted", "conflict", "invalid")]
        indexed.judged["resent-order-refused"] += len(order.answers) > 1
        outcomes = {(answer.outcome, answer.version if answer.outcome == "accepted" else 0) for answer in definite}
        if len(outcomes) > 1:
            text = f"{order.order} was answered {sorted(outcomes)}"
            found.append(Violation(definite[-1].answered_at, "resent-order-refused", text))
        refused = next((answer for answer in definite if answer.outcome != "accepted"), None)
        if refused is not None and order.order in listed:
            text = (
                f"{order.order} was answered {refused.outcome} ({refused.reason}) but is version {listed[order.order]}"
            )
            found.append(Violation(refused.answered_at, "resent-order-refused", text))
    return found


def acknowledged_bundle_lost(indexed: IndexedHistory) -> list[Violation]:
    """Finds acknowledged bundle versions that daemons no longer show."""
    found = []
    acknowledged = {order.accepted.version: order for order in indexed.history.orders if order.accepted is not None}
    if not acknowledged:
        return []
    latest = max(acknowledged)
    first = min(order.accepted.answered_at for order in acknowledged.values() if order.accepted is not None)
    for read in indexed.history.latest_reads:
        if read.version == 0 and read.asked_at > first + indexed.bounds.in_force:
            text = f"{read.daemon} said that there is no bundle yet; one was acknowledged at {first:.3f}"
            found.append(Violation(read.asked_at, "acknowledged-bundle-vanishes", text))
    for daemon, version in indexed.history.final_versions.items():
        if version < latest:
            text = f"{daemon} shows version {version} at the end; {latest} was acknowledged"
            found.append(Violation(indexed.end, "acknowledged-bundle-vanishes", text))
    indexed.judged["acknowledged-bundle-vanishes"] += len(acknowledged) * len(indexed.history.final_history)
    for daemon, entries in indexed.history.final_history.items():
        listed = {entry.version: entry.order for entry in entries}
        oldest = min(listed, default=0)
        for version, order in acknowledged.items():
            if version >= oldest and listed.get(version) != order.order:
                text = (
                    f"version {version} was acknowledged for {order.order}; "
                    f"the history at {daemon} lists {listed.get(version)}"
                )
                found.append(Violation(indexed.end, "acknowledged-bundle-vanishes", text))
    return found


def isolated_control_is_primary(indexed: IndexedHistory) -> list[Violation]:
    """Finds control daemons that accept orders, or report it, long after they were cut off."""
    found = []
    for fault in indexed.history.faults:
        if fault.kind not in ("cut-off", "isolate"):
            continue
        until = fault.ended_at if fault.ended_at is not None else indexed.end
        since = fault.started_at + indexed.bounds.isolated_primary
        names = frozenset(fault.targets)
        if not names & indexed.topology.controls:
            continue
        indexed.judged["cut-off-control-leads"] += until > since
        for order in indexed.history.orders:
            for answer in order.answers:
                alone = since <= answer.asked_at and answer.answered_at < until
                if answer.outcome == "accepted" and answer.via in names and alone:
                    text = f"{answer.via}, cut off since {fault.started_at:.1f}, accepted {order.order}"
                    found.append(Violation(answer.answered_at, "cut-off-control-leads", text))
        for primary in indexed.history.primaries:
            if primary.daemon in names and since <= primary.at < until:
                text = f"{primary.daemon}, cut off since {fault.started_at:.1f}, says that it takes orders"
                found.append(Violation(primary.at, "cut-off-control-leads", text))
                break
    return found
