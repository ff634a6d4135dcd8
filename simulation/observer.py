"""Judges a run by what callers, workers and operators saw (docs/DESIGN.md section 16.3).

Each line under "What must never happen" of the users' brief is a check here; all are run over every
scenario and every explored seed. A check gets the history, the faults that the harness caused, and
the fleet's places; it never looks into a daemon.
"""

from __future__ import annotations

from collections import Counter

from . import call_checks, configuration_checks, fleet_checks
from .history import History
from .seen import Bounds, Check, Places, Seen, Violation

CHECKS: dict[str, Check] = {
    "call-runs-twice": call_checks.call_runs_twice,
    "told-not-run-but-ran": call_checks.told_not_run_but_ran,
    "answer-of-another-call": call_checks.answer_of_another_call,
    "success-never-given": call_checks.success_never_given,
    "cut-answer-looks-whole": call_checks.cut_answer_looks_whole,
    "stream-out-of-order": call_checks.stream_out_of_order,
    "piece-held": call_checks.piece_held,
    "bundle-not-in-force": configuration_checks.bundle_not_in_force,
    "bundle-falls-back": configuration_checks.bundle_falls_back,
    "newest-not-back": configuration_checks.newest_not_back,
    "removed-key-works": configuration_checks.removed_key_works,
    "drained-worker-gets-turns": fleet_checks.drained_worker_gets_turns,
    "works-for-a-caller-that-left": call_checks.works_for_a_caller_that_left,
    "stays-ready-when-stopped": fleet_checks.stays_ready_when_stopped,
    "stop-takes-too-long": fleet_checks.stop_takes_too_long,
    "two-orders-win": configuration_checks.two_orders_win,
    "resent-order-refused": configuration_checks.resent_order_refused,
    "acknowledged-bundle-vanishes": configuration_checks.acknowledged_bundle_vanishes,
    "cut-off-control-leads": configuration_checks.cut_off_control_leads,
    "too-many-tries": call_checks.too_many_tries,
    "paid-share-missed": fleet_checks.paid_share_missed,
    "service-not-back": fleet_checks.service_not_back,
}


def judge(
    history: History, places: Places, bounds: Bounds, end: float, looked: Counter[str] | None = None
) -> list[Violation]:
    """All that went against the brief, in order of time; ``looked`` is told how many things each check judged."""
    seen = Seen(history, places, bounds, end)
    violations = sorted(violation for check in CHECKS.values() for violation in check(seen))
    if looked is not None:
        looked.update(seen.looked)
    return violations
