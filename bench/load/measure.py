"""Measurements of a load run: histograms, and counts by reason, tenant, router and second."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence

from hdrh.histogram import HdrHistogram

from fleet.caller import CallOutcome, CallPlan

MAX_DURATION_MICROSECONDS = 120 * 1_000_000
PERCENTILES = (50.0, 95.0, 99.0, 99.9)


class DurationHistogram:
    """An HDR histogram of durations, stored in microseconds with three significant digits."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MAX_DURATION_MICROSECONDS, 3)

    def add(self, seconds: float) -> None:
        self._histogram.record_value(min(MAX_DURATION_MICROSECONDS, max(1, round(seconds * 1_000_000))))

    def add_all(self, durations: Iterable[float]) -> None:
        for seconds in durations:
            self.add(seconds)

    @property
    def count(self) -> int:
        return int(self._histogram.get_total_count())

    def percentile(self, percent: float) -> float:
        """Returns a percentile in milliseconds, or 0 for an empty histogram."""
        return self._histogram.get_value_at_percentile(percent) / 1000 if self.count else 0.0

    def percentiles(self, percents: Sequence[float]) -> list[float]:
        """Returns the percentiles at ascending ``percents`` in milliseconds, computed in one pass."""
        values = self._histogram.get_percentile_to_value_dict(list(percents))
        return [values.get(percent, 0.0) / 1000 for percent in percents]

    def summary(self) -> dict[str, float]:
        """Returns the count of values, and the mean, percentiles and maximum in milliseconds."""
        percentiles = {f"p{percent:g}": self.percentile(percent) for percent in PERCENTILES}
        highest = self._histogram.get_max_value() / 1000 if self.count else 0.0
        mean = self._histogram.get_mean_value() / 1000 if self.count else 0.0
        return {"count": self.count, "mean": round(mean, 4), **percentiles, "max": highest}

    def encoded(self) -> str:
        """Returns the histogram in the HDR log format, so that results can be merged and compared later."""
        return str(self._histogram.encode().decode())

    @staticmethod
    def decoded(text: str) -> DurationHistogram:
        timing = DurationHistogram()
        timing._histogram.decode_and_add(text.encode())
        return timing


TIMINGS = (
    "first_token",
    "first_token_later_turns",
    "between_tokens",
    "plain",
    "added_first_token",
    "added_plain",
    "transit_routed",
    "direct_first_token",
    "direct_plain",
    "transit_direct",
)


class Measurements:
    """Collects what the callers of one run observed.

    ``added_*`` timings are the time that the caller observed minus the time that the worker reports for itself.
    ``direct_*`` timings are the same for probes that are sent directly to a worker. The difference of the two is the
    latency that the router adds.
    """

    def __init__(self) -> None:
        self.timings = {name: DurationHistogram() for name in TIMINGS}
        self.outcomes: Counter[str] = Counter()
        """Number of calls by the outcome of their last attempt."""
        self.refusals: Counter[str] = Counter()
        """Number of attempts that a router answered itself, by ``status code run``."""
        self.faults: Counter[str] = Counter()
        self.problems: Counter[str] = Counter()
        """Number of observed violations by description; empty in a good run."""
        self.tenants: dict[str, Counter[str]] = {}
        self.awards: Counter[str] = Counter()
        self.routers: Counter[str] = Counter()
        self.attempts = 0
        self.events = 0
        self.tokens = {"prompt": 0, "cached": 0, "later_prompt": 0, "later_cached": 0}
        self.seconds: dict[int, Counter[str]] = {}
        self.direct_problems: Counter[str] = Counter()

    def call_started(self, tenant: str, second: int) -> None:
        """Counts a call that starts in this second of the run."""
        self.tenants.setdefault(tenant, Counter())["calls"] += 1
        self.seconds.setdefault(second, Counter())["calls"] += 1

    def record_attempt(self, plan: CallPlan, outcome: CallOutcome, router: str, turn: int) -> None:
        """Records one attempt at one router."""
        self.attempts += 1
        self.routers[router] += 1
        if outcome.router_made:
            self.refusals[f"{outcome.status} {outcome.code} {outcome.run}"] += 1
        elif outcome.fault:
            self.faults[outcome.fault] += 1
        if outcome.problem:
            self.problems[outcome.problem] += 1
        if award := outcome.headers.get("wingwood-award"):
            self.awards[award] += 1
        if not outcome.events:
            if outcome.looks_complete:
                self.timings["plain"].add(outcome.duration)
                if outcome.worker_duration is not None:
                    self.timings["added_plain"].add(outcome.duration - outcome.worker_duration)
            return
        self.events += outcome.events
        if outcome.time_to_first_event is not None:
            self.timings["first_token"].add(outcome.time_to_first_event)
            if turn:
                self.timings["first_token_later_turns"].add(outcome.time_to_first_event)
            if outcome.worker_duration is not None:
                self.timings["added_first_token"].add(outcome.time_to_first_event - outcome.worker_duration)
        self.timings["between_tokens"].add_all(outcome.gaps)
        self.timings["transit_routed"].add_all(outcome.transit_times)
        prompt, cached = outcome.integer_header("prompt-tokens"), outcome.integer_header("cached-tokens")
        if prompt is not None and cached is not None:
            self.tokens["prompt"] += prompt
            self.tokens["cached"] += cached
            if turn:
                self.tokens["later_prompt"] += prompt
                self.tokens["later_cached"] += cached

    def call_ended(self, tenant: str, label: str, second: int, events: int) -> None:
        """Records the end of a call. ``label`` is the outcome of its last attempt as named by ``outcome_label``."""
        self.outcomes[label] += 1
        self.tenants.setdefault(tenant, Counter())[label.partition(" ")[0]] += 1
        counts = self.seconds.setdefault(second, Counter())
        counts[label.partition(" ")[0]] += 1
        counts["events"] += events

    def record_probe(self, outcome: CallOutcome) -> None:
        """Records a probe that was sent directly to a worker."""
        if not outcome.looks_complete or outcome.problem:
            self.direct_problems[outcome.problem or outcome.fault or str(outcome.status)] += 1
            return
        if outcome.time_to_first_event is None:
            if outcome.worker_duration is not None:
                self.timings["direct_plain"].add(outcome.duration - outcome.worker_duration)
            return
        if outcome.worker_duration is not None:
            self.timings["direct_first_token"].add(outcome.time_to_first_event - outcome.worker_duration)
        self.timings["transit_direct"].add_all(outcome.transit_times)


def outcome_label(outcome: CallOutcome) -> str:
    """Returns ``whole``, ``hung-up``, ``refused CODE``, ``error STATUS``, ``cut`` or ``no answer``.

    Result files contain these names: ``whole`` is a complete answer, ``hung-up`` a disconnect by the caller, ``cut`` an
    answer that was aborted after its head.
    """
    if outcome.disconnected:
        return "hung-up"
    if outcome.looks_complete:
        return "whole"
    if outcome.router_made:
        return f"refused {outcome.code}"
    if outcome.status >= 300:
        return f"error {outcome.status}"
    return "cut" if outcome.status else "no answer"
