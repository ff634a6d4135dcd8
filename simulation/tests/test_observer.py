"""Each check of the observer, on a history made by hand: it stays silent on a good one and speaks on a bad one."""

from __future__ import annotations

import unittest
from collections import Counter
from collections.abc import Callable

from emulator.worker import word
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
    made = Attempt(
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
        events=[ObservedEvent(30.1 + 0.1 * index, index, mark, word(index)) for index in range(3)],
        done_marker=True,
        sent_bytes=True,
    )
    for name, value in fields.items():
        setattr(made, name, value)
    return made


def run_of(mark: str, **fields: object) -> ObservedRun:
    made = ObservedRun(
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
        setattr(made, name, value)
    return made


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


def polls(*versions: tuple[float, int]) -> list[ObservedVersion]:
    return [ObservedVersion(at, at + 0.01, "router-1", 1, version) for at, version in versions]


def left_call() -> Call:
    """The first piece came, then the caller left."""
    made = attempt(call="left-1", sent_at=5.0, head_at=5.1, ended_at=5.4, end="gave-up", done_marker=False)
    made.events = made.events[:1]
    return Call(
        identifier=made.call,
        tenant="x",
        service="chat",
        repeatable=True,
        idempotency_key="",
        started_at=5.0,
        ended_at=5.4,
        attempts=[made],
    )


def good() -> History:
    """Calls, one of a caller that left, orders, a drain, a stop and polls as they should be."""
    history = History()
    for number in range(20):
        made = attempt(call=f"x-{number}")
        history.calls.append(
            Call(
                identifier=made.call,
                tenant="x",
                service="chat",
                repeatable=False,
                idempotency_key=made.call,
                started_at=30.0,
                ended_at=31.0,
                attempts=[made],
            )
        )
        history.arrivals.append(arrival_of(made.mark))
        history.runs.append(run_of(made.mark, idempotency_key=made.call))
    history.calls.append(left_call())
    history.arrivals.append(arrival_of("left-1/1", at=5.05))
    history.runs.append(run_of("left-1/1", started_at=5.05, finished_at=5.5, outcome="caller-gone", event_times=[30.1]))
    history.stops = [ObservedStop(daemon="router-1", incarnation=1, asked_at=50.0, ended_at=53.0)]
    history.ready = [ObservedReady(at, "router-1", not 50.0 < at < 56.0) for at in (49.5, 50.5, 52.5, 55.0, 56.5)]
    history.orders = [order("a", 0, (10.0, "accepted", 1)), order("b", 1, (20.0, "lost", 0), (21.0, "accepted", 2))]
    history.versions = polls((11.0, 1), (15.0, 1), (20.1, 2), (25.0, 2), (60.0, 2), (90.0, 2))
    history.final_versions = {"router-1": 2, "control-1": 2}
    history.final_history = {"control-1": [HistoryEntry(2, "b"), HistoryEntry(1, "a")]}
    history.drains = [ObservedDrain(worker="model-1", instance="model-1-a", started_at=40.0, acknowledged_at=40.1)]
    history.first_shares = {"x": PaidShare(10.0)}
    return history


def twice(history: History) -> None:
    history.runs.append(run_of("x-1/2", idempotency_key="x-1"))


def not_run(history: History) -> None:
    history.calls[1].attempts[0] = attempt(call="x-1", status=503, code="no-worker", reported_run="not-run", events=[])


def not_run_on_the_retry(history: History) -> None:
    history.calls[1].attempts[0].end = "gave-up"
    history.calls[1].attempts.append(
        attempt(2, "x-1", status=503, code="ledger", reported_run="not-run", events=[], tokens=0)
    )


def strange_event(history: History) -> None:
    event = history.calls[1].attempts[0].events[1]
    history.calls[1].attempts[0].events[1] = ObservedEvent(event.at, 1, "y-7/1", event.text)


def success_without_run(history: History) -> None:
    history.runs[1].outcome = "broken"


def cut_short(history: History) -> None:
    history.calls[1].attempts[0].events.pop()


def swapped(history: History) -> None:
    events = history.calls[1].attempts[0].events
    events[0], events[1] = events[1], events[0]


def held(history: History) -> None:
    event = history.calls[1].attempts[0].events[2]
    history.calls[1].attempts[0].events[2] = ObservedEvent(event.at + 0.5, 2, event.call, event.text)


def late_bundle(history: History) -> None:
    history.versions = polls((11.0, 1), (15.0, 1), (24.0, 1), (30.0, 2))


def fallen_back(history: History) -> None:
    history.versions = polls((20.1, 2), (20.9, 1), (25.0, 2))


def removed_key(history: History) -> None:
    history.orders[1].removed_keys = ("k",)


def run_of_removed_key_by_a_worker_that_woke(history: History) -> None:
    """Sent before the key's removal to a worker frozen until 30; the caller left at 23."""
    history.orders[1].removed_keys = ("removed",)
    history.faults = [Fault(kind="freeze", targets=("model-1",), started_at=20.0, ended_at=30.0)]
    made = history.calls[1].attempts[0]
    made.key, made.sent_at, made.ended_at, made.end, made.events = "removed", 20.5, 23.0, "gave-up", []
    history.runs[1].outcome = "caller-gone"


def removed_key_through_a_frozen_router(history: History) -> None:
    run_of_removed_key_by_a_worker_that_woke(history)
    history.faults.append(Fault(kind="freeze", targets=("front-1",), started_at=22.0, ended_at=30.0))


def removed_key_of_a_late_call_for_a_frozen_worker(history: History) -> None:
    run_of_removed_key_by_a_worker_that_woke(history)
    history.calls[1].attempts[0].sent_at, history.calls[1].attempts[0].ended_at = 26.0, 29.0


def removed_key_long_after_the_worker_woke(history: History) -> None:
    run_of_removed_key_by_a_worker_that_woke(history)
    history.faults[0].ended_at = 29.0


def all_killed(history: History) -> None:
    history.faults = [Fault(kind="kill", targets=("router-1", "control-1"), started_at=28.0, ended_at=29.0)]


def older_after_all(history: History) -> None:
    all_killed(history)
    history.versions[-1] = polls((90.0, 1))[0]


def silent_router(history: History) -> None:
    all_killed(history)
    history.versions = polls((20.1, 2), (25.0, 2))


def worked_on_for_nobody(history: History) -> None:
    history.runs[-1].finished_at = 6.0


def sent_for_nobody(history: History) -> None:
    history.arrivals.append(arrival_of("left-1/1", at=6.0))


def ready_after_sigterm(history: History) -> None:
    history.ready[1] = ObservedReady(50.5, "router-1", True)


def stops_late(history: History) -> None:
    history.stops[0].ended_at = 75.0


def never_stops(history: History) -> None:
    history.stops[0].ended_at = None


def drained_turn(history: History) -> None:
    history.arrivals.append(arrival_of("x-1/1", at=43.0))


def both_win(history: History) -> None:
    history.orders.append(order("c", 1, (22.0, "accepted", 2)))


def resent_refused(history: History) -> None:
    history.orders[1] = order("b", 1, (20.0, "lost", 0), (21.0, "conflict", 2))


def vanished(history: History) -> None:
    history.final_versions["control-1"] = 1


def vanished_from_history(history: History) -> None:
    history.final_history = {"control-1": [HistoryEntry(2, "z"), HistoryEntry(1, "a")]}


def no_bundle_yet(history: History) -> None:
    history.latest_reads = [ObservedLatest(30.0, "control-1", 0)]


def leads_alone(history: History) -> None:
    history.faults = [Fault(kind="cut-off", targets=("control-1", "front-1"), started_at=50.0, ended_at=80.0)]
    history.primaries = [ObservedPrimary(75.0, "control-1", 3)]


def accepts_alone(history: History) -> None:
    history.faults = [Fault(kind="cut-off", targets=("control-1", "front-1"), started_at=50.0, ended_at=80.0)]
    history.orders.append(order("d", 2, (75.0, "accepted", 3), via="control-1"))


def many_tries(history: History) -> None:
    for number in range(8):
        history.arrivals.append(arrival_of(f"x-{number}/1", at=30.2))


def past_share(history: History) -> None:
    history.first_shares = {"x": PaidShare(2.0)}


def below_share(history: History) -> None:
    refused = attempt(call="x-1", status=429, code="share-exceeded", reported_run="not-run", events=[], sent_at=60.0)
    history.calls[1].attempts[0] = refused
    history.runs.pop(1)


def not_back(history: History) -> None:
    history.faults = [Fault(kind="kill", targets=("router-1",), started_at=10.0, ended_at=11.0)]
    for call in history.calls[:3]:
        call.attempts[0].end = "gave-up"


def one_router_not_back(history: History) -> None:
    """Each call succeeds on a second try elsewhere, but this router serves nothing."""
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


BAD: list[tuple[str, Callable[[History], None]]] = [
    ("call-runs-twice", twice),
    ("told-not-run-but-ran", not_run),
    ("told-not-run-but-ran", not_run_on_the_retry),
    ("answer-of-another-call", strange_event),
    ("success-never-given", success_without_run),
    ("cut-answer-looks-whole", cut_short),
    ("stream-out-of-order", swapped),
    ("piece-held", held),
    ("bundle-not-in-force", late_bundle),
    ("bundle-falls-back", fallen_back),
    ("removed-key-works", removed_key),
    ("removed-key-works", removed_key_through_a_frozen_router),
    ("removed-key-works", removed_key_of_a_late_call_for_a_frozen_worker),
    ("removed-key-works", removed_key_long_after_the_worker_woke),
    ("newest-not-back", older_after_all),
    ("newest-not-back", silent_router),
    ("drained-worker-gets-turns", drained_turn),
    ("works-for-a-caller-that-left", worked_on_for_nobody),
    ("works-for-a-caller-that-left", sent_for_nobody),
    ("stays-ready-when-stopped", ready_after_sigterm),
    ("stop-takes-too-long", stops_late),
    ("stop-takes-too-long", never_stops),
    ("two-orders-win", both_win),
    ("resent-order-refused", resent_refused),
    ("acknowledged-bundle-vanishes", vanished),
    ("acknowledged-bundle-vanishes", vanished_from_history),
    ("acknowledged-bundle-vanishes", no_bundle_yet),
    ("cut-off-control-leads", leads_alone),
    ("cut-off-control-leads", accepts_alone),
    ("too-many-tries", many_tries),
    ("paid-share-missed", past_share),
    ("paid-share-missed", below_share),
    ("service-not-back", not_back),
    ("service-not-back", no_router_ready),
    ("service-not-back", one_router_not_back),
]


class Checks(unittest.TestCase):
    def test_good_history_has_no_violation(self) -> None:
        self.assertEqual(judge(good(), TOPOLOGY, Bounds(), END), [])

    def test_what_lay_in_a_frozen_worker_since_before_the_removal_is_no_work_of_a_removed_key(self) -> None:
        history = good()
        run_of_removed_key_by_a_worker_that_woke(history)
        self.assertEqual(judge(history, TOPOLOGY, Bounds(), END), [])

    def test_each_check_speaks_on_a_history_that_breaks_it(self) -> None:
        for check, break_parts in BAD:
            with self.subTest(check=check, broken=break_parts.__name__):
                history = good()
                break_parts(history)
                self.assertIn(check, {violation.check for violation in judge(history, TOPOLOGY, Bounds(), END)})

    def test_good_history_is_judged_by_the_checks_that_it_has_matter_for(self) -> None:
        judged: Counter[str] = Counter()
        judge(good(), TOPOLOGY, Bounds(), END, judged)
        needs_a_fault_or_refusal = {
            "told-not-run-but-ran",
            "newest-not-back",
            "removed-key-works",
            "cut-off-control-leads",
            "too-many-tries",
        }
        self.assertEqual({check for check in CHECKS if not judged[check]}, needs_a_fault_or_refusal)

    def test_no_check_is_without_a_bad_history(self) -> None:
        self.assertEqual({check for check, _ in BAD}, set(CHECKS))
