"""Checks of calls: their runs, answers, streams and retries (docs/DESIGN.md section 16.3)."""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict

from emulator.worker import token_text

from .history import Attempt, ObservedRun
from .indexed_history import IndexedHistory, Violation, at_attempt


def call_runs_twice(indexed: IndexedHistory) -> list[Violation]:
    """Finds idempotency keys whose call ran more than once."""
    by_key: dict[str, list[ObservedRun]] = defaultdict(list)
    for run in indexed.history.runs:
        if run.idempotency_key:
            by_key[run.idempotency_key].append(run)
    indexed.judged["call-runs-twice"] += len(by_key)
    return [
        Violation(
            runs[1].started_at,
            "call-runs-twice",
            f"{key} ran {len(runs)} times: "
            + ", ".join(f"{run.mark} at {run.worker} {run.started_at:.3f} ({run.outcome})" for run in runs),
        )
        for key, runs in by_key.items()
        if len(runs) > 1
    ]


def reported_not_run_but_ran(indexed: IndexedHistory) -> list[Violation]:
    """Finds calls that a worker ran although a router answered that they did not run."""
    found = []
    for call in indexed.history.calls:
        for attempt in call.attempts:
            if attempt.reported_run != "not-run" or attempt.ended_at is None:
                continue
            indexed.judged["told-not-run-but-ran"] += 1
            for earlier in call.attempts[: attempt.number]:
                if call.repeatable and earlier is not attempt:
                    continue
                for run in indexed.runs_by_mark.get(earlier.mark, ()):
                    found.append(
                        Violation(
                            attempt.ended_at,
                            "told-not-run-but-ran",
                            f"{attempt.mark} at {attempt.router} was answered not-run ({attempt.code}) at "
                            f"{attempt.ended_at:.3f}, but {run.mark} ran at {run.worker} from {run.started_at:.3f}",
                        )
                    )
    return found


def answer_of_another_call(indexed: IndexedHistory) -> list[Violation]:
    """Finds answers with events, marks or bytes that do not belong to their call."""
    found = []
    for attempt in indexed.attempts:
        indexed.judged["answer-of-another-call"] += len(attempt.events) + bool(attempt.answer_call)
        strange = [event.call for event in attempt.events if event.call != attempt.mark]
        if strange or (attempt.from_worker and attempt.answer_call and attempt.answer_call != attempt.mark):
            other = strange[0] if strange else attempt.answer_call
            found.append(at_attempt(attempt, "answer-of-another-call", f"received chunks of {other}"))
        if attempt.stray:
            found.append(at_attempt(attempt, "answer-of-another-call", f"received stray bytes {attempt.stray[:60]!r}"))
    return found


def success_without_worker_run(indexed: IndexedHistory) -> list[Violation]:
    """Finds answers that look successful to the caller although no worker completed the call."""
    found = []
    for attempt in indexed.attempts:
        if not attempt.succeeded:
            continue
        indexed.judged["success-never-given"] += 1
        runs = indexed.runs_by_mark.get(attempt.mark, [])
        completed = [
            run
            for run in runs
            if run.outcome == "whole" or (run.outcome == "running" and len(run.event_times) >= attempt.tokens)
        ]
        if not completed:
            ends = ", ".join(f"{run.worker} {run.outcome}" for run in runs) or "no run"
            found.append(
                at_attempt(attempt, "success-never-given", f"looks complete to the caller, but at workers: {ends}")
            )
    return found


def truncated_answer_looks_complete(indexed: IndexedHistory) -> list[Violation]:
    """Finds answers that ended like complete ones but lack events, the end marker or a readable body."""
    found = []
    for attempt in indexed.attempts:
        if attempt.end != "whole" or attempt.status != 200 or attempt.code:
            continue
        indexed.judged["cut-answer-looks-whole"] += 1
        if attempt.tokens and not (attempt.done_marker and len(attempt.events) == attempt.tokens):
            text = f"{len(attempt.events)} of {attempt.tokens} events, end marker {attempt.done_marker}"
            found.append(at_attempt(attempt, "cut-answer-looks-whole", text))
        if not attempt.tokens and not attempt.answer_call:
            found.append(at_attempt(attempt, "cut-answer-looks-whole", "the plain answer can't be parsed"))
    return found


def stream_out_of_order(indexed: IndexedHistory) -> list[Violation]:
    """Finds streams whose events arrived out of order, with gaps or with changed text."""
    found = []
    for attempt in indexed.attempts:
        indexes = [event.index for event in attempt.events]
        indexed.judged["stream-out-of-order"] += len(indexes)
        if indexes != list(range(len(indexes))):
            found.append(at_attempt(attempt, "stream-out-of-order", f"events arrived in the order {indexes[:40]}"))
        elif any(event.text != token_text(event.index) for event in attempt.events):
            found.append(at_attempt(attempt, "stream-out-of-order", "an event's text was changed"))
    return found


def chunk_delayed(indexed: IndexedHistory) -> list[Violation]:
    """Finds streams with an event that took too long from the worker to the caller without a fault on its path."""
    found = []
    for attempt in indexed.attempts:
        if not attempt.events:
            continue
        runs = [run for run in indexed.runs_by_mark.get(attempt.mark, []) if run.started_at <= attempt.events[0].at]
        if not runs:
            continue
        run = runs[-1]
        longest_s, index = 0.0, 0
        indexed.judged["piece-held"] += len(attempt.events)
        for number, event in enumerate(attempt.events[: len(run.event_times)]):
            delay_s = event.at - run.event_times[number]
            if delay_s > longest_s:
                longest_s, index = delay_s, number
        if longest_s <= indexed.bounds.chunk_delay:
            continue
        names = indexed.with_machines(attempt.router, run.worker, attempt.caller_machine)
        start, end = run.event_times[index], attempt.events[index].at
        if not indexed.history.disturbed(names, start, end, after=indexed.bounds.retransmission):
            found.append(
                Violation(
                    end, "piece-held", f"{attempt.mark} event {index} took {longest_s:.3f} s through {attempt.router}"
                )
            )
    return found


def caller_left_waiting(indexed: IndexedHistory) -> list[Violation]:
    """Finds calls whose worker had ended and whose caller was sent nothing, not even the end of its connection."""
    found = []
    for attempt in indexed.attempts:
        ends = [run.finished_at for run in indexed.runs_by_mark.get(attempt.mark, [])]
        finished = [end for end in ends if end is not None]
        if not finished or len(finished) < len(ends):
            continue
        indexed.judged["caller-left-waiting"] += 1
        if attempt.end != "gave-up" or attempt.head_at is not None or attempt.ended_at is None:
            continue
        waited_s = attempt.ended_at - max(finished)
        if waited_s <= indexed.bounds.unanswered:
            continue
        if not indexed.history.disturbed_at_all(attempt.sent_at, attempt.ended_at, after=indexed.bounds.recovery):
            text = f"had no answer from {attempt.router} {waited_s:.2f} s after its last run had ended"
            found.append(at_attempt(attempt, "caller-left-waiting", text))
    return found


def work_for_disconnected_caller(indexed: IndexedHistory) -> list[Violation]:
    """Finds calls that were sent to a worker, or worked on, after their caller disconnected.

    Calls that must not be repeated are excepted.
    """
    found = []
    for call in indexed.history.calls:
        for attempt in call.attempts if call.repeatable else ():
            if attempt.end != "gave-up" or attempt.ended_at is None:
                continue
            for at, worker, text in _work_after(indexed, attempt, attempt.ended_at + indexed.bounds.caller_left):
                names = indexed.with_machines(attempt.router, worker, attempt.caller_machine)
                if indexed.history.disturbed(names, attempt.sent_at, at, after=indexed.bounds.recovery):
                    continue
                found.append(at_attempt(attempt, "works-for-a-caller-that-left", f"{worker} {text}"))
    return found


def _work_after(indexed: IndexedHistory, attempt: Attempt, limit: float) -> list[tuple[float, str, str]]:
    """Returns time, worker and description of all late work; work that ended in time counts as judged, too."""
    assert attempt.ended_at is not None
    found = []
    for arrival in indexed.arrivals_by_mark.get(attempt.mark, ()):
        indexed.judged["works-for-a-caller-that-left"] += 1
        if arrival.at > limit:
            late = arrival.at - attempt.ended_at
            found.append((arrival.at, arrival.worker, f"was sent the call {late:.2f} s after its caller left"))
    for run in indexed.runs_by_mark.get(attempt.mark, ()):
        if run.finished_at is None or run.finished_at > limit:
            until = "the end" if run.finished_at is None else f"{run.finished_at - attempt.ended_at:.2f} s later"
            found.append((limit, run.worker, f"worked on it until {until}"))
    return found


def too_many_retries(indexed: IndexedHistory) -> list[Violation]:
    """Compares the retries that workers received with the calls that routers received."""
    calls: dict[str, list[float]] = defaultdict(list)
    tries: dict[str, list[float]] = defaultdict(list)
    for attempt in indexed.attempts:
        if attempt.sent_bytes:
            calls[attempt.service].append(attempt.sent_at)
    for mark, arrivals in indexed.arrivals_by_mark.items():
        attempt_found = indexed.attempt_of.get(mark)
        if attempt_found is not None:
            tries[attempt_found.service].extend(sorted(arrival.at for arrival in arrivals)[1:])
    found = []
    window, share, slack = indexed.bounds.retry_window, indexed.bounds.retry_share, indexed.bounds.retry_slack
    for service, times in tries.items():
        indexed.judged["too-many-tries"] += len(times)
        times.sort()
        started = sorted(calls[service])
        if len(times) > share * len(started) + slack:
            text = f"{service}: {len(times)} tries beyond the first for {len(started)} calls in all"
            found.append(Violation(indexed.end, "too-many-tries", text))
        for index, at in enumerate(times):
            count = index + 1 - bisect_left(times, at - window)
            calls_sent = bisect_left(started, at) - bisect_left(started, at - 2 * window)
            if count > share * calls_sent + slack:
                text = (
                    f"{service}: {count} tries beyond the first within {window:.0f} s, {calls_sent} calls in twice that"
                )
                found.append(Violation(at, "too-many-tries", text))
                break
    return found
