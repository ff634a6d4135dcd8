"""Interfaces of the request path: calls, their outcomes and the policies they pass (docs/DESIGN.md section 12)."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Literal, Protocol

import msgspec

from ..bundle.model import Bundle, Service, Tenant
from ..identifiers import Address, Instant, KeyDigest, RequestId, Seconds, WorkerInstance
from ..placement.protocols import Choice, PromptPart, Turn

RunState = Literal["not-run", "unknown", "ran"]
"""Whether a call ran on a worker; ``unknown`` when it was sent and no complete answer was received."""


class CallerStream(Protocol):
    """The answer stream to one caller. Exactly one of ``finish`` and ``abort`` ends it."""

    @property
    def started(self) -> bool:
        """Returns whether ``start`` has been called, so that status and headers can no longer change."""
        ...

    @property
    def disconnected(self) -> asyncio.Event:
        """The event that is set when the caller has closed its connection."""
        ...

    def on_disconnect(self, callback: Callable[[], None] | None) -> None:
        """Sets the only callback, run when ``disconnected`` is set (at once if it is set already); None removes it."""
        ...

    async def start(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Sends status and headers; must be called once, before ``write``."""
        ...

    async def write(self, chunk: bytes) -> None:
        """Sends part of the body; returns when the caller's connection has taken it (back-pressure)."""
        ...

    async def finish(self) -> None:
        """Marks the end of a complete answer."""
        ...

    def abort(self) -> None:
        """Closes the connection in a way that a reader can tell from the end of a complete answer."""
        ...


class Prompt(msgspec.Struct, frozen=True):
    """What a caller states about its prompt."""

    prefix: tuple[str, ...] = ()
    """The parts of the prompt, those shared between sessions first, the session itself last."""
    parts: tuple[PromptPart, ...] = ()
    """The parts of ``prefix`` with their sizes; empty when the caller states no sizes."""
    prompt_tokens: int | None = None
    """Length of the prompt; None when the caller does not state it."""
    generate_tokens: int = 0
    """Upper limit on the tokens of the answer; 0 when the caller states none."""


class StreamProgress(msgspec.Struct):
    """How much of a resumable stream its caller has received, over all workers that took part."""

    last_event: int | None = None
    """Id of the last complete event that was sent to the caller."""
    can_resume: bool = True
    """False after data outside any numbered event was sent: another worker would not know where to continue."""
    last_sent_at: Instant | None = None
    """When something was last sent to the caller."""


class IncomingCall(msgspec.Struct, kw_only=True):
    """One caller's call on its way down the chain; policies fill in the fields that they determine."""

    request: RequestId
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    peer: Address
    received_at: Instant
    """When the last byte of the call had been read."""
    caller: CallerStream
    head_received_at: Instant = Instant(0.0)
    """When the head of the call had been read. The timeout that the caller states counts from here."""
    loop_last_ran: Instant = Instant(0.0)
    """When the event loop was last known to run: a caller that disconnected before is known to have disconnected."""
    bundle: Bundle | None = None
    """The bundle by which the call was accepted."""
    service: Service | None = None
    tenant: Tenant | None = None
    deadline: Instant = Instant(float("inf"))
    """When the call ends at the latest."""
    prompt: Prompt = Prompt()
    urgency: int = 5
    """Order of placement among waiting calls: 0 goes first, 9 last."""
    turn: Turn | None = None
    """The call as placement sees it; the same in all tries."""
    tries: int = 0
    """How many tries sent at least part of the call to a worker."""
    possible_runs: int = 0
    """How many of those tries may have run the call; a try that its worker reported as not run is not counted."""
    progress: StreamProgress | None = None
    """Set for calls of services with resumable streams only."""
    run: RunState = "not-run"
    """Whether the call has run, judged over all tries so far."""
    claimed: bool = False
    """Whether the ledger granted this call the claim on its idempotency key."""
    excluded: tuple[WorkerInstance, ...] = ()
    """Workers that a further try must not use."""
    choice: Choice | None = None
    """The worker that placement chose for the current try."""
    worker_outcome: Literal["whole", "refused", "broken", "cancelled"] = "cancelled"
    """How the current try ended, as reported to placement."""
    on_first_chunk: Callable[[Seconds], None] = lambda after: None
    """Called once in each try, with the time from the start of the try to the first chunk of its answer."""
    try_first_token_after: Seconds | None = None
    """Time from the start of the current try to the first chunk of its answer; None before that chunk."""
    attempt_in_progress: bool = False
    """Whether a try on a worker is in progress."""
    early_refusal: Refused | None = None
    """The refusal that the caller was sent while policies were still waiting; nothing goes to a worker after that."""
    quota_cost: int = 1
    """What the call is charged against its tenant's paid share, in the tenant's unit (calls or tokens)."""
    retry_reserved: bool = False
    """Whether one more try has already been charged to the retry budget."""
    key: KeyDigest | None = None
    """Digest of the API key that was accepted; None for calls of routes that need no key."""
    worker: WorkerInstance | None = None
    """The worker of the latest try."""
    placement_reason: str = ""
    """Why placement chose that worker (``Choice.how``)."""
    first_token_after: Seconds | None = None
    """Time from ``received_at`` to the first chunk sent to the caller; None when none was sent."""
    chunks: int = 0
    """How many chunks of the body were sent to the caller."""
    bytes_out: int = 0
    """How many bytes of the body were sent to the caller."""
    generated_tokens: int = 0
    """Data events sent to the caller, or for an answer that is no stream an estimate from its length."""
    values_by_name: dict[str, list[str]] | None = None
    """The values of ``headers`` by lower-case name; built when a header is first looked up."""

    def header(self, name: str) -> str | None:
        """Returns the first value of the header, or None when the call has no such header."""
        values = self.header_values(name)
        return values[0] if values else None

    def header_values(self, name: str) -> list[str]:
        """Returns all values of the header in the order in which the caller sent them."""
        if self.values_by_name is None:
            self.values_by_name = {}
            for key, value in self.headers:
                self.values_by_name.setdefault(key.lower(), []).append(value)
        return self.values_by_name.get(name.lower(), [])


class Forwarded(msgspec.Struct, frozen=True):
    """The worker's complete answer was sent to the caller."""

    status: int


class Aborted(msgspec.Struct, frozen=True):
    """The answer was started and then aborted, or the caller disconnected."""

    reason: str
    run: RunState


class Refused(msgspec.Struct, frozen=True, kw_only=True):
    """An answer made by the router, sent at once as JSON with ``code`` and ``run`` and marked by a header."""

    status: int
    code: str
    reason: str
    run: RunState = "not-run"
    retry_after: Seconds | None = None


class NotAnswered(msgspec.Struct, frozen=True, kw_only=True):
    """A try that ended without a complete answer; the retry policy decides whether there is another try.

    The caller was sent either nothing, or complete events of a resumable stream, which another worker may continue.
    """

    code: str
    reason: str
    run: RunState
    """Whether this try ran the call, without regard to earlier tries."""
    status: int = 503
    """HTTP status of the router's answer when there is no further try."""
    uses_retry_budget: bool = True
    """Whether another try is charged to the retry budget; it is not when nothing of this try reached a worker."""
    exclude_worker: bool = True
    """Whether a further try must not use this worker."""
    retryable: bool = True
    """Whether a try on another worker may succeed."""


Answer = Forwarded | Aborted | Refused | NotAnswered
"""How a policy ended a call, or a try of it."""
Proceed = Callable[[IncomingCall], Awaitable[Answer]]
"""Runs the rest of the chain for a call."""
RefusalSender = Callable[[IncomingCall, Refused], Coroutine[Any, Any, None]]
"""Sends the caller an answer made by the router."""


class Policy(Protocol):
    """One link of the chain: it either calls ``proceed``, which runs the policies after it, or answers itself."""

    name: str

    async def apply(self, call: IncomingCall, proceed: Proceed) -> Answer:
        """Handles the call and returns how it ended."""
        ...
