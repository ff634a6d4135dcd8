"""What the checks of a run are given, and what they find (docs/DESIGN.md section 16.3)."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Mapping

import msgspec

from .history import Attempt, History, ObservedArrival, ObservedRun


class Bounds(msgspec.Struct, frozen=True, kw_only=True):
    """Seconds and shares, from the users' brief ("about" is taken as a tenth or the harness's own delay more)."""

    chunk_delay: float = 0.1 + 0.02
    in_force: float = 2.0 + 0.2
    regression_tolerance: float = 0.25
    removed_key: float | None = 5.0 + 0.3
    """None: a deployment whose cut-off routers go on serving."""
    drained: float = 2.0 + 0.1
    caller_left: float = 0.5 + 0.02
    """How long after its caller left a worker may still work on a call."""
    unready: float = 0.1
    """How long after SIGTERM a router may still say that it is ready."""
    stop: float = 20.0 + 2.0 + 0.1
    """From SIGTERM to the end of the process: the settings' ``stop_within``, and what it allows beside that."""
    isolated_primary: float = 20.0
    retry_share: float = 0.2
    retry_window: float = 10.0
    retry_slack: int = 2
    share_window: float = 5.0
    share_above: float = 1.3
    share_below: float = 0.8
    recovery: float = 12.0
    recovery_success_share: float = 0.99
    recovery_failures_allowed: int = 2
    """Calls that may fail of few: a long prompt that admission refuses at a busy moment is no fault."""
    router_failures: float = 0.2
    """Share of a service's calls that one router may fail after that."""
    retransmission: float = 25.0
    """How long after a cut its traffic may still come late."""


class Topology(msgspec.Struct, frozen=True, kw_only=True):
    machine_of: Mapping[str, str]
    """Of each process."""
    controls: frozenset[str]
    """Control processes and their machines, replaced ones too."""
    routers: frozenset[str] = frozenset()
    """Those that are there at the end."""


class Violation(msgspec.Struct, frozen=True, order=True):
    at: float
    check: str
    text: str

    def __str__(self) -> str:
        return f"{self.at:9.3f} {self.check}: {self.text}"


class IndexedHistory:
    """The history with the indexes that several checks use."""

    def __init__(self, history: History, topology: Topology, bounds: Bounds, end: float) -> None:
        self.history = history
        self.topology = topology
        self.bounds = bounds
        self.end = end
        self.runs_by_mark: dict[str, list[ObservedRun]] = defaultdict(list)
        for run in history.runs:
            self.runs_by_mark[run.mark].append(run)
        self.arrivals_by_mark: dict[str, list[ObservedArrival]] = defaultdict(list)
        for arrival in history.arrivals:
            self.arrivals_by_mark[arrival.mark].append(arrival)
        self.attempts = history.attempts()
        self.attempt_of = {attempt.mark: attempt for attempt in self.attempts}
        self.judged: Counter[str] = Counter()
        """How many things each check judged; one that judges nothing proves nothing."""

    def with_machines(self, *names: str) -> frozenset[str]:
        return frozenset(names) | {self.topology.machine_of[name] for name in names if name in self.topology.machine_of}

    def undisturbed_since(self, names: frozenset[str], at: float) -> float:
        """End of the last fault of any of them that began before ``at``; minus infinity without one."""
        latest = float("-inf")
        for fault in self.history.faults:
            if fault.started_at <= at and names.intersection(fault.targets):
                latest = max(latest, fault.ended_at if fault.ended_at is not None else float("inf"))
        return latest

    def last_fault_ended(self, before: float = float("inf")) -> float:
        latest = 0.0
        for fault in self.history.faults:
            if fault.started_at < before:
                latest = max(latest, fault.ended_at if fault.ended_at is not None else fault.started_at)
        return latest


Check = Callable[[IndexedHistory], list[Violation]]


def at_attempt(attempt: Attempt, check: str, text: str) -> Violation:
    return Violation(attempt.ended_at or attempt.sent_at, check, f"{attempt.mark} through {attempt.router}: {text}")
