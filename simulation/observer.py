"""Judges a run by what callers, workers and operators observed (docs/DESIGN.md section 16.3).

Each line under "What must never happen" of the users' brief is a check here, and all checks run over every
scenario and every explored seed. A check gets the history, the faults that the harness injected, and the fleet's
topology; it never reads the state of a daemon.
"""

from __future__ import annotations

from collections import Counter

from . import call_checks, configuration_checks, fleet_checks
from .history import History
from .indexed_history import Bounds, Check, IndexedHistory, Topology, Violation

CHECKS: dict[str, Check] = {
    "call-runs-twice": call_checks.call_runs_twice,
    "told-not-run-but-ran": call_checks.reported_not_run_but_ran,
    "answer-of-another-call": call_checks.answer_of_another_call,
    "success-never-given": call_checks.success_without_worker_run,
    "cut-answer-looks-whole": call_checks.truncated_answer_looks_complete,
    "stream-out-of-order": call_checks.stream_out_of_order,
    "piece-held": call_checks.chunk_delayed,
    "bundle-not-in-force": configuration_checks.bundle_not_in_force,
    "bundle-falls-back": configuration_checks.bundle_version_regresses,
    "newest-not-back": configuration_checks.latest_bundle_not_restored,
    "removed-key-works": configuration_checks.removed_key_accepted,
    "drained-worker-gets-turns": fleet_checks.drained_worker_receives_calls,
    "caller-left-waiting": call_checks.caller_left_waiting,
    "works-for-a-caller-that-left": call_checks.work_for_disconnected_caller,
    "stays-ready-when-stopped": fleet_checks.ready_while_stopping,
    "stop-takes-too-long": fleet_checks.stop_takes_too_long,
    "two-orders-win": configuration_checks.two_orders_accepted,
    "resent-order-refused": configuration_checks.resent_order_refused,
    "acknowledged-bundle-vanishes": configuration_checks.acknowledged_bundle_lost,
    "cut-off-control-leads": configuration_checks.isolated_control_is_primary,
    "too-many-tries": call_checks.too_many_retries,
    "paid-share-missed": fleet_checks.paid_share_missed,
    "service-not-back": fleet_checks.service_not_restored,
}


def judge(
    history: History, topology: Topology, bounds: Bounds, end: float, judged: Counter[str] | None = None
) -> list[Violation]:
    """Returns all violations of the brief, ordered by time; adds to ``judged`` how many things each check judged."""
    indexed = IndexedHistory(history, topology, bounds, end)
    violations = sorted(violation for check in CHECKS.values() for violation in check(indexed))
    if judged is not None:
        judged.update(indexed.judged)
    return violations
