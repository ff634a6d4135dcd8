"""Records what callers, workers and operators of a run observed (docs/DESIGN.md section 16).

The observer judges a run by these records only."""

from __future__ import annotations

from typing import Literal

import msgspec

AttemptEnd = Literal["whole", "broken", "gave-up", "no-connection", "malformed", "under-way"]


class ObservedEvent(msgspec.Struct, frozen=True):
    """One event of a stream as its caller received it."""

    at: float
    index: int
    call: str
    text: str


class Attempt(msgspec.Struct, kw_only=True):
    """One attempt of a caller at one router; its times are virtual times of the world."""

    mark: str
    """Identifies the attempt: the request body carries it, and workers repeat it in every event and answer."""
    call: str
    number: int
    router: str
    caller_machine: str
    tenant: str
    service: str
    key: str
    sent_at: float
    tokens: int
    """The number of events of a complete stream; 0 for a plain answer."""
    head_at: float | None = None
    ended_at: float | None = None
    end: AttemptEnd = "under-way"
    status: int | None = None
    code: str = ""
    """The error code of an answer that a router created itself; empty for a worker's answer."""
    reported_run: str = ""
    """The ``run`` field of an answer that a router created itself: ``not-run``, ``unknown`` or ``ran``."""
    events: list[ObservedEvent] = []
    done_marker: bool = False
    answer_call: str = ""
    """The mark that a plain answer carried."""
    stray: str = ""
    """Received bytes that belong to no event or answer, truncated."""
    retry_after: float | None = None
    sent_bytes: bool = False
    reused_connection: bool = False
    """True when the attempt was sent over the connection of an earlier call."""

    @property
    def from_worker(self) -> bool:
        return self.status is not None and not self.code

    @property
    def succeeded(self) -> bool:
        return self.end == "whole" and self.status == 200 and self.from_worker


class Call(msgspec.Struct, kw_only=True):
    """One call of a caller with all its attempts."""

    identifier: str
    tenant: str
    service: str
    repeatable: bool
    idempotency_key: str
    session: str = ""
    started_at: float
    ended_at: float | None = None
    attempts: list[Attempt] = []
    """Empty when no router was ready."""

    @property
    def succeeded(self) -> bool:
        return any(attempt.succeeded for attempt in self.attempts)


class ObservedArrival(msgspec.Struct, frozen=True, kw_only=True):
    """A call that reached a worker, whether the worker ran it or not."""

    at: float
    worker: str
    instance: str
    state: str
    mark: str
    idempotency_key: str
    tenant: str
    path: str


class ObservedRun(msgspec.Struct, kw_only=True):
    """One run of a call at a worker."""

    started_at: float
    worker: str
    instance: str
    mark: str
    idempotency_key: str
    tenant: str
    path: str
    finished_at: float | None = None
    outcome: str = "running"
    event_times: list[float] = []
    """The times at which the worker wrote each event to the connection."""
    cached_tokens: int = 0
    prompt_tokens: int = 0


class ObservedDrain(msgspec.Struct, kw_only=True):
    """A drain that a worker announced, with the time at which the fleet acknowledged it."""

    worker: str
    instance: str
    started_at: float
    acknowledged_at: float | None = None


class OrderAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """One answer, or lost answer, of a daemon to an order."""

    asked_at: float
    answered_at: float
    via: str
    outcome: str
    """``accepted``, ``conflict``, ``invalid``, ``unknown``, or ``lost`` when no answer was received."""
    version: int = 0
    reason: str = ""


class PaidShare(msgspec.Struct, frozen=True):
    """A tenant's paid rate in calls a second over all routers together, and its burst in seconds of that rate."""

    paid_rate: float
    burst: float = 1.0


class ObservedLatest(msgspec.Struct, frozen=True):
    """A daemon's answer to a request for the latest bundle; version 0 when it answered that there is none yet."""

    asked_at: float
    daemon: str
    version: int


class ObservedOrder(msgspec.Struct, kw_only=True):
    """An order that an operator sent, with all answers to it."""

    order: str
    operator: str
    base: int
    what: str
    intended: Literal["valid", "invalid"] = "valid"
    answers: list[OrderAnswer] = []
    removed_keys: tuple[str, ...] = ()
    """Callers' keys that the order removes."""
    added_keys: tuple[str, ...] = ()
    paid_shares: dict[str, PaidShare] = {}
    """The new paid shares of the tenants that the order changes."""

    @property
    def accepted(self) -> OrderAnswer | None:
        return next((answer for answer in self.answers if answer.outcome == "accepted"), None)


class ObservedVersion(msgspec.Struct, frozen=True):
    """The bundle version in force that a daemon answered to a poll."""

    asked_at: float
    answered_at: float
    daemon: str
    incarnation: int
    version: int


class ObservedReady(msgspec.Struct, frozen=True):
    """A router's answer to the platform's readiness check; a missing answer counts as not ready."""

    asked_at: float
    router: str
    ready: bool


class ObservedStop(msgspec.Struct, kw_only=True):
    """A SIGTERM that was sent to a daemon; ``ended_at`` is the time at which its process ended by itself."""

    daemon: str
    incarnation: int
    asked_at: float
    ended_at: float | None = None


class ObservedPrimary(msgspec.Struct, frozen=True):
    """A control daemon's report that it is primary and accepts orders."""

    at: float
    daemon: str
    epoch: int


class HistoryEntry(msgspec.Struct, frozen=True):
    """One version of the bundle history and the order that made it."""

    version: int
    order: str


class Fault(msgspec.Struct, kw_only=True):
    """A fault that the harness injected, with its targets, start and end."""

    kind: str
    targets: tuple[str, ...]
    """The names of the affected machines and processes."""
    started_at: float
    ended_at: float | None = None
    description: str = ""

    def touches(self, names: frozenset[str], start: float, end: float, after: float = 0.0) -> bool:
        """Returns whether the fault, or the ``after`` seconds that follow it, touch a name in the interval."""
        over = self.ended_at is None or self.ended_at + after >= start
        return bool(names.intersection(self.targets)) and self.started_at <= end and over


class History(msgspec.Struct):
    """All records of one run."""

    calls: list[Call] = []
    arrivals: list[ObservedArrival] = []
    runs: list[ObservedRun] = []
    drains: list[ObservedDrain] = []
    orders: list[ObservedOrder] = []
    versions: list[ObservedVersion] = []
    primaries: list[ObservedPrimary] = []
    ready: list[ObservedReady] = []
    stops: list[ObservedStop] = []
    faults: list[Fault] = []
    final_versions: dict[str, int] = {}
    """The version in force at each daemon, read at the end of the run."""
    final_history: dict[str, list[HistoryEntry]] = {}
    """The bundle history that each control daemon returned at the end of the run."""
    latest_reads: list[ObservedLatest] = []
    first_shares: dict[str, PaidShare] = {}
    """The paid shares of the tenants in the first bundle."""

    def attempts(self) -> list[Attempt]:
        return [attempt for call in self.calls for attempt in call.attempts]

    def disturbed_at_all(self, start: float, end: float, after: float = 0.0) -> bool:
        """Returns whether any fault fell into the interval."""
        return any(fault.touches(frozenset(fault.targets), start, end, after) for fault in self.faults)

    def disturbed(
        self, names: frozenset[str], start: float, end: float, after: float = 0.0, but: tuple[str, ...] = ()
    ) -> bool:
        """Returns whether a fault touched one of the names in the interval; the kinds in ``but`` are ignored."""
        return any(fault.touches(names, start, end, after) for fault in self.faults if fault.kind not in but)
