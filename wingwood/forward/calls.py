"""A call on its way through the request path: the request, what policies determine, and the attempts on workers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Literal, Protocol

import msgspec

from ..bundle.model import Bundle, Service, Tenant
from ..identifiers import Address, Instant, KeyDigest, RequestId, Seconds, WorkerInstance
from ..placement.protocols import Choice, PromptPart, Turn
from .results import CallResult, Forwarded, Rejection, RunState


class ResponseStream(Protocol):
    """The response to one caller. Exactly one of ``finish`` and ``abort`` ends it."""

    @property
    def started(self) -> bool:
        """Returns whether ``start`` has been called, so that status and headers can no longer change."""
        ...

    @property
    def disconnected(self) -> asyncio.Event:
        """The event that is set when the caller has closed its connection."""
        ...

    @property
    def ended(self) -> bool:
        """Returns whether the response was finished or aborted."""
        ...

    def on_disconnect(self, callback: Callable[[], None] | None) -> None:
        """Sets the only callback, run when ``disconnected`` is set (at once if it is set already); None removes it."""
        ...

    def start(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Sends status and headers; must be called once, before ``write``."""
        ...

    async def write(self, chunk: bytes) -> None:
        """Sends part of the body; returns when the caller's connection has taken it (back-pressure)."""
        ...

    async def finish(self) -> None:
        """Marks the end of a complete response; has no effect before ``start``."""
        ...

    def abort(self) -> None:
        """Closes the connection in a way that a reader can tell from the end of a complete response."""
        ...


class CallerRequest(msgspec.Struct, frozen=True, kw_only=True):
    """The request as the caller sent it."""

    method: str
    path: str
    """The request target with its query."""
    headers: tuple[tuple[str, str], ...]
    body: bytes
    peer: Address
    received_at: Instant
    """When the last byte of the request had been read."""
    headers_received_at: Instant = Instant(0.0)
    """When the headers had been read. The timeout that the caller states counts from here."""
    values_by_name: dict[str, list[str]] = msgspec.field(default_factory=dict)
    """The values of ``headers`` by lower-case name."""

    def __post_init__(self) -> None:
        for name, value in self.headers:
            self.values_by_name.setdefault(name.lower(), []).append(value)

    def header(self, name: str) -> str | None:
        """Returns the first value of the header, or None when the request has no such header."""
        values = self.header_values(name)
        return values[0] if values else None

    def header_values(self, name: str) -> list[str]:
        """Returns all values of the header in the order in which the caller sent them."""
        return self.values_by_name.get(name.lower(), [])


class Prompt(msgspec.Struct, frozen=True):
    """What a caller states about its prompt."""

    prefix: tuple[str, ...] = ()
    """The parts of the prompt, those shared between sessions first, the session itself last."""
    parts: tuple[PromptPart, ...] = ()
    """The parts of ``prefix`` with their sizes; empty when the caller states no sizes."""
    prompt_tokens: int | None = None
    """Length of the prompt; None when the caller does not state it."""
    generate_tokens: int = 0
    """Upper limit on the tokens of the response; 0 when the caller states none."""


class StreamProgress(msgspec.Struct):
    """How much of a resumable stream its caller has received, over all workers that took part."""

    last_event: int | None = None
    """Id of the last complete event that was sent to the caller."""
    can_resume: bool = True
    """False after data outside any numbered event was sent: another worker would not know where to continue."""
    last_sent_at: Instant | None = None
    """When something was last sent to the caller."""


class CallAttributes(msgspec.Struct, kw_only=True):
    """What the authentication policy determines about a call; all fields have their defaults until then."""

    bundle: Bundle | None = None
    """The bundle by which the call was accepted."""
    service: Service | None = None
    tenant: Tenant | None = None
    key: KeyDigest | None = None
    """Digest of the API key that was accepted; None for calls of routes that need no key."""
    prompt: Prompt = Prompt()
    urgency: int = 5
    """Order of placement among waiting calls: 0 goes first, 9 last."""
    quota_cost: int = 1
    """What the call is charged against its tenant's paid share, in the tenant's unit (calls or tokens)."""
    deadline: Instant = Instant(float("inf"))
    """When the call ends at the latest."""


class AttemptState(msgspec.Struct, kw_only=True):
    """The current attempt, created by the placement policy for each chosen worker."""

    choice: Choice
    """The worker that placement chose, and why."""
    on_first_chunk: Callable[[Seconds], None]
    """Called once, with the time from the start of the attempt to the first chunk of its response."""
    first_chunk_after: Seconds | None = None
    """Time from the start of the attempt to the first chunk of its response; None before that chunk."""
    outcome: Literal["whole", "refused", "broken", "cancelled"] = "cancelled"
    """How the attempt ended, as reported to placement."""
    in_progress: bool = False
    """Whether the forwarding policy is running the attempt."""


class AttemptHistory(msgspec.Struct, kw_only=True):
    """What is known from all attempts of a call so far."""

    attempts: int = 0
    """How many attempts sent at least part of the call to a worker."""
    possible_runs: int = 0
    """How many of those may have run the call; an attempt that its worker reported as not run is not counted."""
    run: RunState = "not-run"
    """Whether the call has run, judged by all attempts."""
    excluded_workers: tuple[WorkerInstance, ...] = ()
    """Workers that a retry must not use."""
    retry_reserved: bool = False
    """Whether one more attempt has already been charged to the retry budget."""
    worker: WorkerInstance | None = None
    """The worker of the latest attempt."""
    placement_method: str = ""
    """How placement chose that worker (``Choice.method``)."""


class ResponseStats(msgspec.Struct, kw_only=True):
    """How much of workers' responses the caller was sent, over all attempts."""

    first_chunk_after: Seconds | None = None
    """Time from the receipt of the request to the first chunk sent to the caller; None when none was sent."""
    chunks: int = 0
    """How many chunks of the body were sent."""
    body_bytes: int = 0
    """How many bytes of the body were sent."""
    generated_tokens: int = 0
    """Data events that were sent, or for a response that is no stream an estimate from its length."""


class IncomingCall(msgspec.Struct, kw_only=True):
    """One call on its way down the chain of policies, which fill in the parts that they determine."""

    request_id: RequestId
    request: CallerRequest
    response: ResponseStream
    loop_last_ran: Instant = Instant(0.0)
    """When the event loop was last known to run: a caller that disconnected before is known to have disconnected."""
    attributes: CallAttributes = msgspec.field(default_factory=CallAttributes)
    history: AttemptHistory = msgspec.field(default_factory=AttemptHistory)
    stats: ResponseStats = msgspec.field(default_factory=ResponseStats)
    attempt: AttemptState | None = None
    """The current or latest attempt; None before placement has chosen the first worker."""
    progress: StreamProgress | None = None
    """Set for calls of services with resumable streams only."""
    turn: Turn | None = None
    """The call as placement sees it; the same in all attempts."""
    key_claimed: bool = False
    """Whether the ledger granted this call the claim on its idempotency key."""
    early_rejection: Rejection | None = None
    """The rejection that the caller was sent while policies were still waiting; nothing goes to a worker after that."""

    @property
    def service(self) -> Service:
        """The service of a call that authentication has accepted."""
        assert self.attributes.service is not None, "the call was accepted"
        return self.attributes.service

    @property
    def bundle(self) -> Bundle:
        """The bundle by which authentication has accepted the call."""
        assert self.attributes.bundle is not None, "the call was accepted"
        return self.attributes.bundle

    @property
    def tenant_name(self) -> str:
        """The name of the call's tenant; empty for a call without a tenant."""
        return "" if self.attributes.tenant is None else str(self.attributes.tenant.name)

    def run_state(self, result: CallResult) -> RunState:
        """Returns what is known after all attempts about whether the call ran; ``result`` is how it ended."""
        if isinstance(result, Forwarded):
            return "ran"
        return result.run if result.run != "not-run" else self.history.run

    def attempt_in_progress(self) -> bool:
        """Returns whether an attempt on a worker is in progress."""
        return self.attempt is not None and self.attempt.in_progress
