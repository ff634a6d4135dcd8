"""Each check of the observer accepts a handmade history without violations and reports one that violates it.

The tests guard against checks that can't fail, which would let broken fleets pass.
"""

from __future__ import annotations

import unittest
from collections import Counter
from collections.abc import Callable

from emulator.worker import token_text
from simulation.history import (
    Attempt,
    Call,
    Fault,
    History,
    HistoryEntry,
    ObservedArrival,
    ObservedDrain,
    ObservedEvent,
    ObservedLatest,
    ObservedOrder,
    ObservedPrimary,
    ObservedReady,
    ObservedRun,
    ObservedStop,
    ObservedVersion,
    OrderAnswer,
    PaidShare,
)
from simulation.indexed_history import Bounds, Topology
from simulation.observer import CHECKS, judge

TOPOLOGY = Topology(
    machine_of={"router-1": "front-1", "control-1": "front-1", "model-1": "model-1"},
    controls=frozenset({"control-1", "front-1"}),
    routers=frozenset({"router-1"}),
)
END = 100.0


def attempt(number: int = 1, call: str = "x-1", **fields: object) -> Attempt:
    mark = f"{call}/{number}"
    record = Attempt(
        mark=mark,
        call=call,
        number=number,
        router="router-1",
        caller_machine="callers",
        tenant="x",
        service="chat",
        key="k",
        sent_at=30.0,
        tokens=3,
        head_at=30.1,
        ended_at=30.4,
        end="whole",
        status=200,
        events=[ObservedEvent(30.1 + 0.1 * index, index, mark, token_text(index)) for index in range(3)],
        done_marker=True,
        sent_bytes=True,
    )
    for name, value in fields.items():
        setattr(record, name, value)
    return record


def run_of(mark: str, **fields: object) -> ObservedRun:
    record = ObservedRun(
        started_at=30.05,
        worker="model-1",
        instance="model-1-a",
        mark=mark,
        idempotency_key="",
        tenant="x",
        path="/chat",
        finished_at=30.4,
        outcome="whole",
        event_times=[30.1 + 0.1 * index for index in range(3)],
    )
    for name, value in fields.items():
        setattr(record, name, value)
    return record


def arrival_of(mark: str, at: float = 30.05) -> ObservedArrival:
    return ObservedArrival(
        at=at,
        worker="model-1",
        instance="model-1-a",
        state="ready",
        mark=mark,
        idempotency_key="",
        tenant="x",
        path="/chat",
    )


def order(name: str, base: int, *answers: tuple[float, str, int], via: str = "router-1") -> ObservedOrder:
    return ObservedOrder(
        order=name,
        operator="operator-1",
        base=base,
        what="",
        answers=[
            OrderAnswer(asked_at=at - 0.1, answered_at=at, via=via, outcome=outcome, version=version)
            for at, outcome, version in answers
        ],
    )


def version_polls(*versions: tuple[float, int]) -> list[ObservedVersion]:
    return [ObservedVersion(at, at + 0.01, "router-1", 1, version) for at, version in versions]


def call_of_disconnected_caller() -> Call:
    """Returns a call whose caller received the first event and then disconnected."""
    record = attempt(call="left-1", sent_at=5.0, head_at=5.1, ended_at=5.4, end="gave-up", done_marker=False)
    record.events = record.events[:1]
    return Call(
        identifier=record.call,
        tenant="x",
        service="chat",
        repeatable=True,
        idempotency_key="",
        started_at=5.0,
        ended_at=5.4,
        attempts=[record],
    )


def history_without_violations() -> History:
    """Returns calls (one of a disconnected caller), orders, a drain, a stop and polls as they should be."""
    history = History()
    for number in range(20):
        record = attempt(call=f"x-{number}")
        history.calls.append(
            Call(
                identifier=record.call,
                tenant="x",
                service="chat",
                repeatable=False,
                idempotency_key=record.call,
                started_at=30.0,
                ended_at=31.0,
                attempts=[record],
            )
        )
        history.arrivals.append(arrival_of(record.mark))
        history.runs.append(run_of(record.mark, idempotency_key=record.call))
    history.calls.append(call_of_disconnected_caller())
    history.arrivals.append(arrival_of("left-1/1", at=5.05))
    history.runs.append(run_of("left-1/1", started_at=5.05, finished_at=5.5, outcome="caller-gone", event_times=[30.1]))
    history.stops = [ObservedStop(daemon="router-1", incarnation=1, asked_at=50.0, ended_at=53.0)]
    history.ready = [ObservedReady(at, "router-1", not 50.0 < at < 56.0) for at in (49.5, 50.5, 52.5, 55.0, 56.5)]
    history.orders = [order("a", 0, (10.0, "accepted", 1)), order("b", 1, (20.0, "lost", 0), (21.0, "accepted", 2))]
    history.versions = version_polls((11.0, 1), (15.0, 1), (20.1, 2), (25.0, 2), (60.0, 2), (90.0, 2))
    history.final_versions = {"router-1": 2, "control-1": 2}
    history.final_history = {"control-1": [HistoryEntry(2, "b"), HistoryEntry(1, "a")]}
    history.drains = [ObservedDrain(worker="model-1", instance="model-1-a", started_at=40.0, acknowledged_at=40.1)]
    history.first_shares = {"x": PaidShare(10.0)}
    return history


def run_twice(history: History) -> None:
    history.runs.append(run_of("x-1/2", idempotency_key="x-1"))


def reported_not_run(history: History) -> None:
    history.calls[1].attempts[0] = attempt(call="x-1", status=503, code="no-worker", reported_run="not-run", events=[])


def retry_reported_not_run(history: History) -> None:
    history.calls[1].attempts[0].end = "gave-up"
    history.calls[1].attempts.append(
        attempt(2, "x-1", status=503, code="ledger", reported_run="not-run", events=[], tokens=0)
    )


def event_of_another_call(history: History) -> None:
    event = history.calls[1].attempts[0].events[1]
    history.calls[1].attempts[0].events[1] = ObservedEvent(event.at, 1, "y-7/1", event.text)


def success_without_run(history: History) -> None:
    history.runs[1].outcome = "broken"


def event_missing(history: History) -> None:
    history.calls[1].attempts[0].events.pop()


def events_swapped(history: History) -> None:
    events = history.calls[1].attempts[0].events
    events[0], events[1] = events[1], events[0]


def event_delayed(history: History) -> None:
    event = history.calls[1].attempts[0].events[2]
    history.calls[1].attempts[0].events[2] = ObservedEvent(event.at + 0.5, 2, event.call, event.text)


def no_answer_after_the_run(history: History) -> None:
    record = history.calls[1].attempts[0]
    record.end, record.head_at, record.status, record.events = "gave-up", None, None, []
    record.ended_at = 33.0


def bundle_late(history: History) -> None:
    history.versions = version_polls((11.0, 1), (15.0, 1), (24.0, 1), (30.0, 2))


def older_version_shown(history: History) -> None:
    history.versions = version_polls((20.1, 2), (20.9, 1), (25.0, 2))


def removed_key(history: History) -> None:
    history.orders[1].removed_keys = ("k",)


def removed_key_queued_at_frozen_worker(history: History) -> None:
    """The call was sent before the key's removal to a worker frozen until 30; its caller disconnected at 23."""
    history.orders[1].removed_keys = ("removed",)
    history.faults = [Fault(kind="freeze", targets=("model-1",), started_at=20.0, ended_at=30.0)]
    record = history.calls[1].attempts[0]
    record.key, record.sent_at, record.ended_at, record.end, record.events = "removed", 20.5, 23.0, "gave-up", []
    history.runs[1].outcome = "caller-gone"


def removed_key_through_frozen_router(history: History) -> None:
    removed_key_queued_at_frozen_worker(history)
    history.faults.append(Fault(kind="freeze", targets=("front-1",), started_at=22.0, ended_at=30.0))


def removed_key_sent_late_to_frozen_worker(history: History) -> None:
    removed_key_queued_at_frozen_worker(history)
    history.calls[1].attempts[0].sent_at, history.calls[1].attempts[0].ended_at = 26.0, 29.0


def removed_key_long_after_worker_woke(history: History) -> None:
    removed_key_queued_at_frozen_worker(history)
    history.faults[0].ended_at = 29.0


def all_killed(history: History) -> None:
    history.faults = [Fault(kind="kill", targets=("router-1", "control-1"), started_at=28.0, ended_at=29.0)]


def older_version_after_recovery(history: History) -> None:
    all_killed(history)
    history.versions[-1] = version_polls((90.0, 1))[0]


def router_without_answer(history: History) -> None:
    all_killed(history)
    history.versions = version_polls((20.1, 2), (25.0, 2))


def run_outlasts_disconnected_caller(history: History) -> None:
    history.runs[-1].finished_at = 6.0


def sent_after_caller_disconnected(history: History) -> None:
    history.arrivals.append(arrival_of("left-1/1", at=6.0))


def ready_after_sigterm(history: History) -> None:
    history.ready[1] = ObservedReady(50.5, "router-1", True)


def stop_late(history: History) -> None:
    history.stops[0].ended_at = 75.0


def never_stops(history: History) -> None:
    history.stops[0].ended_at = None


def call_to_drained_worker(history: History) -> None:
    history.arrivals.append(arrival_of("x-1/1", at=43.0))


def two_orders_for_one_version(history: History) -> None:
    history.orders.append(order("c", 1, (22.0, "accepted", 2)))


def resent_refused(history: History) -> None:
    history.orders[1] = order("b", 1, (20.0, "lost", 0), (21.0, "conflict", 2))


def version_lost(history: History) -> None:
    history.final_versions["control-1"] = 1


def history_rewritten(history: History) -> None:
    history.final_history = {"control-1": [HistoryEntry(2, "z"), HistoryEntry(1, "a")]}


def bundle_denied(history: History) -> None:
    history.latest_reads = [ObservedLatest(30.0, "control-1", 0)]


def isolated_control_reports_primary(history: History) -> None:
    history.faults = [Fault(kind="cut-off", targets=("control-1", "front-1"), started_at=50.0, ended_at=80.0)]
    history.primaries = [ObservedPrimary(75.0, "control-1", 3)]


def isolated_control_accepts_order(history: History) -> None:
    history.faults = [Fault(kind="cut-off", targets=("control-1", "front-1"), started_at=50.0, ended_at=80.0)]
    history.orders.append(order("d", 2, (75.0, "accepted", 3), via="control-1"))


def many_retries(history: History) -> None:
    for number in range(8):
        history.arrivals.append(arrival_of(f"x-{number}/1", at=30.2))


def admitted_above_share(history: History) -> None:
    history.first_shares = {"x": PaidShare(2.0)}


def refused_below_share(history: History) -> None:
    refused = attempt(call="x-1", status=429, code="share-exceeded", reported_run="not-run", events=[], sent_at=60.0)
    history.calls[1].attempts[0] = refused
    history.runs.pop(1)


def service_not_recovered(history: History) -> None:
    history.faults = [Fault(kind="kill", targets=("router-1",), started_at=10.0, ended_at=11.0)]
    for call in history.calls[:3]:
        call.attempts[0].end = "gave-up"


def one_router_not_recovered(history: History) -> None:
    """Each call succeeds on its retry at another router, but this router serves nothing."""
    history.faults = [Fault(kind="kill", targets=("router-1",), started_at=10.0, ended_at=11.0)]
    for call in history.calls[:3]:
        call.attempts[0].router = "router-2"
        call.attempts[0].status, call.attempts[0].code = 503, "workers-none-ready"
        call.attempts.append(attempt(2, call.identifier))
        history.runs.append(run_of(call.attempts[1].mark))


def no_router_ready(history: History) -> None:
    history.faults = [Fault(kind="kill", targets=("router-1",), started_at=10.0, ended_at=11.0)]
    for call in history.calls[:3]:
        call.attempts = []


VIOLATING_HISTORIES: list[tuple[str, Callable[[History], None]]] = [
    ("call-runs-twice", run_twice),
    ("told-not-run-but-ran", reported_not_run),
    ("told-not-run-but-ran", retry_reported_not_run),
    ("answer-of-another-call", event_of_another_call),
    ("success-never-given", success_without_run),
    ("cut-answer-looks-whole", event_missing),
    ("stream-out-of-order", events_swapped),
    ("piece-held", event_delayed),
    ("bundle-not-in-force", bundle_late),
    ("bundle-falls-back", older_version_shown),
    ("removed-key-works", removed_key),
    ("removed-key-works", removed_key_through_frozen_router),
    ("removed-key-works", removed_key_sent_late_to_frozen_worker),
    ("removed-key-works", removed_key_long_after_worker_woke),
    ("newest-not-back", older_version_after_recovery),
    ("newest-not-back", router_without_answer),
    ("drained-worker-gets-turns", call_to_drained_worker),
    ("caller-left-waiting", no_answer_after_the_run),
    ("works-for-a-caller-that-left", run_outlasts_disconnected_caller),
    ("works-for-a-caller-that-left", sent_after_caller_disconnected),
    ("stays-ready-when-stopped", ready_after_sigterm),
    ("stop-takes-too-long", stop_late),
    ("stop-takes-too-long", never_stops),
    ("two-orders-win", two_orders_for_one_version),
    ("resent-order-refused", resent_refused),
    ("acknowledged-bundle-vanishes", version_lost),
    ("acknowledged-bundle-vanishes", history_rewritten),
    ("acknowledged-bundle-vanishes", bundle_denied),
    ("cut-off-control-leads", isolated_control_reports_primary),
    ("cut-off-control-leads", isolated_control_accepts_order),
    ("too-many-tries", many_retries),
    ("paid-share-missed", admitted_above_share),
    ("paid-share-missed", refused_below_share),
    ("service-not-back", service_not_recovered),
    ("service-not-back", no_router_ready),
    ("service-not-back", one_router_not_recovered),
]


class Checks(unittest.TestCase):
    def test_history_without_violations_is_accepted(self) -> None:
        self.assertEqual(judge(history_without_violations(), TOPOLOGY, Bounds(), END), [])

    def test_call_queued_at_a_frozen_worker_before_the_removal_is_not_reported(self) -> None:
        history = history_without_violations()
        removed_key_queued_at_frozen_worker(history)
        self.assertEqual(judge(history, TOPOLOGY, Bounds(), END), [])

    def test_each_check_reports_a_history_that_violates_it(self) -> None:
        for check, break_parts in VIOLATING_HISTORIES:
            with self.subTest(check=check, broken=break_parts.__name__):
                history = history_without_violations()
                break_parts(history)
                self.assertIn(check, {violation.check for violation in judge(history, TOPOLOGY, Bounds(), END)})

    def test_history_without_violations_is_judged_by_all_checks_that_apply_to_it(self) -> None:
        judged: Counter[str] = Counter()
        judge(history_without_violations(), TOPOLOGY, Bounds(), END, judged)
        needs_a_fault_or_refusal = {
            "told-not-run-but-ran",
            "newest-not-back",
            "removed-key-works",
            "cut-off-control-leads",
            "too-many-tries",
        }
        self.assertEqual({check for check in CHECKS if not judged[check]}, needs_a_fault_or_refusal)

    def test_each_check_has_a_violating_history(self) -> None:
        self.assertEqual({check for check, _ in VIOLATING_HISTORIES}, set(CHECKS))
