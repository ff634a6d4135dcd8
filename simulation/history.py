"""What callers, workers and operators of a run saw; the observer judges nothing else (docs/DESIGN.md section 16)."""

from __future__ import annotations

from typing import Literal

import msgspec

AttemptEnd = Literal["whole", "broken", "gave-up", "no-connection", "malformed", "under-way"]


class ObservedEvent(msgspec.Struct, frozen=True):
    at: float
    index: int
    call: str
    text: str


class Attempt(msgspec.Struct, kw_only=True):
    """One try of a caller at one router. Times are the world's."""

    mark: str
    """Goes in the body; workers repeat it in every event and answer."""
    call: str
    number: int
    router: str
    caller_machine: str
    tenant: str
    service: str
    key: str
    sent_at: float
    tokens: int
    """How many events a whole answer has; 0: a plain answer."""
    head_at: float | None = None
    ended_at: float | None = None
    end: AttemptEnd = "under-way"
    status: int | None = None
    code: str = ""
    """Of an answer that a router made itself; empty for a worker's answer."""
    reported_run: str = ""
    """``not-run``, ``unknown`` or ``ran``, as a router-made answer said."""
    events: list[ObservedEvent] = []
    done_marker: bool = False
    answer_call: str = ""
    """The mark in a plain answer."""
    stray: str = ""
    """What came that belongs to no event or answer."""
    retry_after: float | None = None
    sent_bytes: bool = False
    reused_connection: bool = False
    """Went over a connection of an earlier call."""

    @property
    def from_worker(self) -> bool:
        return self.status is not None and not self.code

    @property
    def succeeded(self) -> bool:
        return self.end == "whole" and self.status == 200 and self.from_worker


class Call(msgspec.Struct, kw_only=True):
    identifier: str
    tenant: str
    service: str
    repeatable: bool
    idempotency_key: str
    session: str = ""
    started_at: float
    ended_at: float | None = None
    attempts: list[Attempt] = []
    """None at all when no router was ready."""

    @property
    def succeeded(self) -> bool:
        return any(attempt.succeeded for attempt in self.attempts)


class ObservedArrival(msgspec.Struct, frozen=True, kw_only=True):
    """A call that reached a worker, run or not."""

    at: float
    worker: str
    instance: str
    state: str
    mark: str
    idempotency_key: str
    tenant: str
    path: str


class ObservedRun(msgspec.Struct, kw_only=True):
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
    """When each event was handed to the connection."""
    cached_tokens: int = 0
    prompt_tokens: int = 0


class ObservedDrain(msgspec.Struct, kw_only=True):
    worker: str
    instance: str
    started_at: float
    acknowledged_at: float | None = None


class OrderAnswer(msgspec.Struct, frozen=True, kw_only=True):
    asked_at: float
    answered_at: float
    via: str
    outcome: str
    """``accepted``, ``conflict``, ``invalid``, ``unknown``, or ``lost`` when no answer came."""
    version: int = 0
    reason: str = ""


class PaidShare(msgspec.Struct, frozen=True):
    """Calls a second over the fleet, and how many seconds' worth may be saved up."""

    paid_rate: float
    burst: float = 1.0


class ObservedLatest(msgspec.Struct, frozen=True):
    """A daemon's answer to the question for the newest bundle; 0: it said that there is none yet."""

    asked_at: float
    daemon: str
    version: int


class ObservedOrder(msgspec.Struct, kw_only=True):
    order: str
    operator: str
    base: int
    what: str
    intended: Literal["valid", "invalid"] = "valid"
    answers: list[OrderAnswer] = []
    removed_keys: tuple[str, ...] = ()
    """Callers' keys that stop working with it."""
    added_keys: tuple[str, ...] = ()
    paid_shares: dict[str, PaidShare] = {}
    """Of the tenants that it changes."""

    @property
    def accepted(self) -> OrderAnswer | None:
        return next((answer for answer in self.answers if answer.outcome == "accepted"), None)


class ObservedVersion(msgspec.Struct, frozen=True):
    asked_at: float
    answered_at: float
    daemon: str
    incarnation: int
    version: int


class ObservedReady(msgspec.Struct, frozen=True):
    """A router's answer to the platform's question whether it is ready; no answer counts as not ready."""

    asked_at: float
    router: str
    ready: bool


class ObservedStop(msgspec.Struct, kw_only=True):
    """A daemon was sent SIGTERM; ``ended_at`` is when its process ended by itself."""

    daemon: str
    incarnation: int
    asked_at: float
    ended_at: float | None = None


class ObservedPrimary(msgspec.Struct, frozen=True):
    """A control daemon said of itself that it takes orders as primary."""

    at: float
    daemon: str
    epoch: int


class HistoryEntry(msgspec.Struct, frozen=True):
    version: int
    order: str


class Fault(msgspec.Struct, kw_only=True):
    """What the harness did to whom, and when it was over."""

    kind: str
    targets: tuple[str, ...]
    """Machines and processes."""
    started_at: float
    ended_at: float | None = None
    description: str = ""

    def touches(self, names: frozenset[str], start: float, end: float, after: float = 0.0) -> bool:
        over = self.ended_at is None or self.ended_at + after >= start
        return bool(names.intersection(self.targets)) and self.started_at <= end and over


class History(msgspec.Struct):
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
    """Read back from each daemon at the end."""
    final_history: dict[str, list[HistoryEntry]] = {}
    """As each control daemon told it at the end."""
    latest_reads: list[ObservedLatest] = []
    first_shares: dict[str, PaidShare] = {}
    """Tenants' shares in the first bundle."""

    def attempts(self) -> list[Attempt]:
        return [attempt for call in self.calls for attempt in call.attempts]

    def disturbed(
        self, names: frozenset[str], start: float, end: float, after: float = 0.0, but: tuple[str, ...] = ()
    ) -> bool:
        """``but``: kinds of faults that don't count."""
        return any(fault.touches(names, start, end, after) for fault in self.faults if fault.kind not in but)
