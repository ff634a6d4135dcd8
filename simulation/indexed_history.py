"""Defines the inputs of the checks of a run and the violations that they return (docs/DESIGN.md section 16.3)."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Mapping

import msgspec

from .history import Attempt, History, ObservedArrival, ObservedRun


class Bounds(msgspec.Struct, frozen=True, kw_only=True):
    """Limits in seconds and shares, from the users' brief.

    Where the brief says "about", the limit is a tenth larger, or larger by the harness's own delay.
    """

    chunk_delay: float = 0.1 + 0.02
    """Seconds that an event may take from its worker to its caller."""
    in_force: float = 2.0 + 0.2
    """Seconds from the acknowledgement of a version until every connected router has it in force."""
    regression_tolerance: float = 0.25
    """Seconds after a daemon showed a version in which an older one is not yet reported."""
    removed_key: float | None = 5.0 + 0.3
    """Seconds after the acknowledged removal of a key in which calls with it may still run.

    None in a deployment whose cut-off routers go on serving.
    """
    drained: float = 2.0 + 0.1
    """Seconds after the start of a drain, or its acknowledgement, in which calls may still reach the worker."""
    unanswered: float = 2.0
    """Seconds after the end of its last run in which a call must be answered or its connection be closed."""
    caller_left: float = 0.5 + 0.02
    """How long after its caller disconnected a worker may still work on a call."""
    unready: float = 0.1
    """How long after SIGTERM a router may still report that it is ready."""
    stop: float = 20.0 + 2.0 + 0.1
    """The time from SIGTERM to the end of the process: ``stop_within`` of the settings plus its tolerance."""
    isolated_primary: float = 20.0
    """Seconds after which a control daemon that is cut off must no longer be primary."""
    retry_share: float = 0.2
    """Retries allowed for each call that the routers received."""
    retry_window: float = 10.0
    """Seconds over which retries are counted."""
    retry_slack: int = 2
    """Retries that are allowed beyond the share."""
    share_window: float = 5.0
    """Seconds over which a tenant's admitted calls are counted."""
    share_above: float = 1.3
    """Multiple of its paid rate up to which a tenant may be admitted."""
    share_below: float = 0.8
    """Multiple of its paid rate below which a tenant must not be refused."""
    recovery: float = 12.0
    """Seconds after the last fault in which the service must recover."""
    recovery_success_share: float = 0.99
    """The share of calls that must succeed after the recovery time."""
    recovery_failures_allowed: int = 2
    """The number of failed calls that are tolerated: a long prompt refused at a busy moment is no fault."""
    router_failures: float = 0.2
    """The share of a service's calls that one router may fail after the recovery time."""
    retransmission: float = 25.0
    """How long after the end of a network partition its traffic may still arrive late."""


class Topology(msgspec.Struct, frozen=True, kw_only=True):
    """The processes and machines of a fleet."""

    machine_of: Mapping[str, str]
    """The machine of each process."""
    controls: frozenset[str]
    """The names of control processes and their machines, replaced ones included."""
    routers: frozenset[str] = frozenset()
    """The routers that exist at the end of the run."""


class Violation(msgspec.Struct, frozen=True, order=True):
    """Something that a check found against the brief, with its time."""

    at: float
    check: str
    text: str

    def __str__(self) -> str:
        return f"{self.at:9.3f} {self.check}: {self.text}"


class IndexedHistory:
    """The history of a run with the indexes that several checks use."""

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
        """The number of things that each check judged; a check that judged nothing proves nothing."""

    def with_machines(self, *names: str) -> frozenset[str]:
        """Returns the names of the processes together with the names of their machines."""
        return frozenset(names) | {self.topology.machine_of[name] for name in names if name in self.topology.machine_of}

    def undisturbed_since(self, names: frozenset[str], at: float) -> float:
        """Returns the end of the last fault of these names that started by ``at``; minus infinity without one."""
        latest = float("-inf")
        for fault in self.history.faults:
            if fault.started_at <= at and names.intersection(fault.targets):
                latest = max(latest, fault.ended_at if fault.ended_at is not None else float("inf"))
        return latest

    def last_fault_ended(self, before: float = float("inf")) -> float:
        """Returns the end of the last fault that started before ``before``; 0 without one."""
        latest = 0.0
        for fault in self.history.faults:
            if fault.started_at < before:
                latest = max(latest, fault.ended_at if fault.ended_at is not None else fault.started_at)
        return latest


Check = Callable[[IndexedHistory], list[Violation]]


def at_attempt(attempt: Attempt, check: str, text: str) -> Violation:
    """Returns a violation at the end of an attempt, or at its start while it has no end."""
    return Violation(attempt.ended_at or attempt.sent_at, check, f"{attempt.mark} through {attempt.router}: {text}")
