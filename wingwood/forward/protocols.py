"""The request path: a visible chain of policies behind one interface (docs/DESIGN.md section 12)."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Literal, Protocol

import msgspec

from ..bundle.model import Bundle, Service, Tenant
from ..identifiers import Address, Instant, KeyDigest, RequestId, Seconds, WorkerInstance
from ..placement.protocols import Choice, PromptPart, Turn

RunState = Literal["not-run", "unknown", "ran"]


class CallerStream(Protocol):
    """The way back to one caller. Exactly one of ``finish`` and ``abort`` ends it."""

    @property
    def started(self) -> bool:
        """Whether status and headers have been written."""
        ...

    @property
    def disconnected(self) -> asyncio.Event:
        """Set when the caller has closed its connection."""
        ...

    def on_disconnect(self, callback: Callable[[], None] | None) -> None:
        """Sets the only callback, run when ``disconnected`` is set (at once if it is set already); None removes it."""
        ...

    async def start(self, status: int, headers: tuple[tuple[str, str], ...]) -> None: ...

    async def write(self, chunk: bytes) -> None:
        """Returns when the caller's connection has taken the piece (back-pressure)."""
        ...

    async def finish(self) -> None: ...

    def abort(self) -> None:
        """Closes the connection in a way that a reader can tell from a whole answer."""
        ...


class Prompt(msgspec.Struct, frozen=True):
    """What a caller tells of its prompt."""

    prefix: tuple[str, ...] = ()
    """Shared parts first, the session last."""
    parts: tuple[PromptPart, ...] = ()
    """The parts of ``prefix`` with their sizes, where they are told."""
    prompt_tokens: int | None = None
    """None: not told."""
    generate_tokens: int = 0
    """Most tokens that the answer may have; 0: not told."""


class StreamProgress(msgspec.Struct):
    """How far a resumable stream has come towards its caller, over all workers."""

    last_event: int | None = None
    """Id of the last whole event that the caller has."""
    can_resume: bool = True
    """False after data that belongs to no numbered event: then no other worker can continue."""
    last_sent_at: Instant | None = None
    """When the caller was given something last."""


class IncomingCall(msgspec.Struct, kw_only=True):
    """One caller's call on its way down the chain; policies fill in what they find out."""

    request: RequestId
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    peer: Address
    received_at: Instant
    """When its last byte had come."""
    caller: CallerStream
    head_received_at: Instant = Instant(0.0)
    """When its head had come: the time that the caller says it waits runs from there."""
    loop_last_ran: Instant = Instant(0.0)
    """When the event loop was last seen to move: callers that left before that are known to have left."""
    bundle: Bundle | None = None
    service: Service | None = None
    tenant: Tenant | None = None
    deadline: Instant = Instant(float("inf"))
    prompt: Prompt = Prompt()
    urgency: int = 5
    """0 goes first, 9 last."""
    turn: Turn | None = None
    tries: int = 0
    """Tries of which something was sent to a worker."""
    possible_runs: int = 0
    """Those of them that may have run; a worker that says that it did not run the call is not counted."""
    progress: StreamProgress | None = None
    """Of resumable streams."""
    run: RunState = "not-run"
    """Of all tries so far."""
    claimed: bool = False
    """The ledger gave this call's idempotency key to it."""
    excluded: tuple[WorkerInstance, ...] = ()
    """Workers that a further try leaves out."""
    choice: Choice | None = None
    worker_outcome: Literal["whole", "refused", "broken", "cancelled"] = "cancelled"
    """Of the try under way, for placement."""
    on_first_chunk: Callable[[Seconds], None] = lambda after: None
    """Called once for each try, with the time from its start to its first piece."""
    try_first_token_after: Seconds | None = None
    """From the start of the try under way to its first piece."""
    attempt_in_progress: bool = False
    """A try on a worker is under way."""
    early_refusal: Refused | None = None
    """What the caller was told while policies were still waiting; nothing is sent after that."""
    quota_cost: int = 1
    """What the call takes of its tenant's share, in the tenant's unit (calls or tokens)."""
    retry_reserved: bool = False
    """The budget for one more try has been taken."""
    key: KeyDigest | None = None
    """Of the key that was accepted."""
    worker: WorkerInstance | None = None
    """The last one to which the call was sent."""
    placement_reason: str = ""
    """Why that worker was chosen."""
    first_token_after: Seconds | None = None
    """From the call's arrival to the first piece given to the caller."""
    chunks: int = 0
    bytes_out: int = 0
    generated_tokens: int = 0
    values_by_name: dict[str, list[str]] | None = None
    """Of ``headers``, by lower-case name; made at the first question."""

    def header(self, name: str) -> str | None:
        """The first of that name."""
        values = self.header_values(name)
        return values[0] if values else None

    def header_values(self, name: str) -> list[str]:
        if self.values_by_name is None:
            self.values_by_name = {}
            for key, value in self.headers:
                self.values_by_name.setdefault(key.lower(), []).append(value)
        return self.values_by_name.get(name.lower(), [])


class Forwarded(msgspec.Struct, frozen=True):
    """The worker's whole answer went to the caller."""

    status: int


class Aborted(msgspec.Struct, frozen=True):
    """The answer was begun and aborted, or the caller went away."""

    reason: str
    run: RunState


class Refused(msgspec.Struct, frozen=True, kw_only=True):
    """A router-made answer, sent at once, as JSON with ``code`` and ``run`` and marked by a header."""

    status: int
    code: str
    reason: str
    run: RunState = "not-run"
    retry_after: Seconds | None = None


class NotAnswered(msgspec.Struct, frozen=True, kw_only=True):
    """A try that ended without a whole answer; the retry policy decides what becomes of it.

    Nothing was sent to the caller, or whole events of a resumable stream, which another worker may continue.
    """

    code: str
    reason: str
    run: RunState
    """Of this try alone."""
    status: int = 503
    """Of the router-made answer when there is no further try."""
    uses_retry_budget: bool = True
    """Whether another try would be one beyond the first; not when nothing of this one reached a worker."""
    exclude_worker: bool = True
    """Whether a further try leaves this worker out."""
    retryable: bool = True
    """Whether another worker may do better."""


Answer = Forwarded | Aborted | Refused | NotAnswered
Proceed = Callable[[IncomingCall], Awaitable[Answer]]
RefusalSender = Callable[[IncomingCall, Refused], Coroutine[Any, Any, None]]
"""Gives the caller a router-made answer."""


class Policy(Protocol):
    """One link of the chain; calls ``proceed`` for the rest, or answers itself."""

    name: str

    async def apply(self, call: IncomingCall, proceed: Proceed) -> Answer: ...
