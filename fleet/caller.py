"""Makes one HTTP call as a caller and records what the caller could see of the answer.

The demo, the benchmarks and the observers use it. It checks the answer independently of the routers: each event has to
belong to this call and to be in order, and the answer has to look complete to a client.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec
from returns.result import Success

from wingwood.context.protocols import Clock, HttpClient, HttpExchange, HttpHead, HttpRequest
from wingwood.identifiers import Address, Seconds

from .json_values import JsonObject, JsonValue

END_MARKER = b"[DONE]"


class CallPlan(msgspec.Struct, frozen=True, kw_only=True):
    """A call that a caller is going to make. An emulated worker repeats ``call_id`` in each event of its answer."""

    path: str
    key: str
    call_id: str
    messages: tuple[str, ...]
    """Message contents: one for each shared part of the prefix, then the one that only this session has."""
    max_tokens: int = 16
    stream: bool = True
    prefix: str | None = None
    idempotency_key: str | None = None
    first_byte_timeout: float = 4.0
    """Seconds to wait for the head of the answer, and then for the first event."""
    idle_timeout: float = 10.0
    """Seconds to wait for each chunk after the first event."""
    disconnect_after_events: int | None = None
    """The caller closes the connection after this number of events; ``None`` means that it reads to the end."""


class CallOutcome(msgspec.Struct, kw_only=True):
    """What the caller observed during one call. Times are seconds on the clock of the calling process."""

    call_id: str
    status: int = 0
    """HTTP status; 0 when no response head arrived."""
    headers: dict[str, str] = msgspec.field(default_factory=dict)
    """Response headers by lower-case name."""
    router_made: bool = False
    """The router itself wrote the answer instead of passing on the answer of a worker."""
    code: str = ""
    """Error code in the answer of a router, for example the reason of a refusal."""
    run: str = ""
    """What an answer written by a router says about execution: ``not-run``, ``unknown`` or ``ran``."""
    looks_complete: bool = False
    """A client would treat the answer as a complete success: status 2xx and a clean end of the body."""
    disconnected: bool = False
    fault: str = ""
    """Why the answer had no clean end; empty when it had one."""
    problem: str = ""
    """The first violation of what must never happen: an event of another call, or an event lost or repeated."""
    events: int = 0
    text: str = ""
    started_at: float = 0.0
    time_to_first_event: float | None = None
    duration: float = 0.0
    gaps: list[float] = msgspec.field(default_factory=list)
    transit_times: list[float] = msgspec.field(default_factory=list)
    """Seconds from the creation of each event by the worker to its arrival here; valid only on one machine, since the
    clocks of two machines differ."""
    worker_duration: float | None = None
    """Seconds from the arrival of the call at the worker to its first event or its answer, as the worker reports."""
    body: JsonValue = None
    """Decoded body of an answer that is not a stream."""

    def integer_header(self, header: str) -> int | None:
        """Returns the value of a response header, or None when it is missing or is not a number."""
        value = self.headers.get(header, "")
        return int(value) if value.isdigit() else None


def build_http_request(plan: CallPlan, address: Address) -> HttpRequest:
    """Returns the request of one attempt; the connection must be made within a second."""
    body = {
        "messages": [{"content": content} for content in plan.messages],
        "max_tokens": plan.max_tokens,
        "stream": plan.stream,
        "call": plan.call_id,
    }
    headers = [("Content-Type", "application/json"), ("Authorization", f"Bearer {plan.key}")]
    if plan.prefix is not None:
        headers.append(("Prefix", plan.prefix))
    if plan.idempotency_key is not None:
        headers.append(("Idempotency-Key", plan.idempotency_key))
    return HttpRequest(
        method="POST",
        address=address,
        path=plan.path,
        headers=tuple(headers),
        body=msgspec.json.encode(body),
        connect_timeout=Seconds(1.0),
    )


class Caller:
    """Makes calls as a client of the fleet does, and records what it sees of the answers."""

    def __init__(self, http: HttpClient, clock: Clock) -> None:
        self._http = http
        self._clock = clock

    async def call(
        self, plan: CallPlan, address: Address, on_event: Callable[[JsonObject], None] | None = None
    ) -> CallOutcome:
        """Makes one attempt at one router, or directly at one worker. ``on_event`` receives each decoded event."""
        outcome = CallOutcome(call_id=plan.call_id, started_at=self._clock.monotonic())
        exchange = self._http.start(build_http_request(plan, address))
        try:
            await self._read_answer(plan, exchange, outcome, on_event)
        finally:
            exchange.cancel()
            outcome.duration = self._clock.monotonic() - outcome.started_at
        return outcome

    async def _read_answer(
        self,
        plan: CallPlan,
        exchange: HttpExchange,
        outcome: CallOutcome,
        on_event: Callable[[JsonObject], None] | None,
    ) -> None:
        timeout = plan.first_byte_timeout
        try:
            async with asyncio.timeout(timeout):
                head_result = await exchange.head()
        except TimeoutError:
            outcome.fault = "silent"
            return
        if not isinstance(head_result, Success):
            outcome.fault = head_result.failure().kind
            return
        head: HttpHead = head_result.unwrap()
        outcome.status = head.status
        outcome.headers = {name.lower(): value for name, value in head.headers}
        is_stream = outcome.headers.get("content-type", "").startswith("text/event-stream")
        body = bytearray()
        reader = _EventReader(plan, outcome, self._clock, on_event)
        while True:
            try:
                async with asyncio.timeout(timeout if not outcome.events else plan.idle_timeout):
                    received = await exchange.next_chunk()
            except TimeoutError:
                outcome.fault = "silent"
                return
            if not isinstance(received, Success):
                outcome.fault = received.failure().kind
                return
            chunk: bytes | None = received.unwrap()
            if chunk is None:
                break
            if not is_stream:
                body += chunk
                continue
            reader.feed(chunk)
            if plan.disconnect_after_events is not None and outcome.events >= plan.disconnect_after_events:
                outcome.disconnected = True
                return
        if is_stream:
            reader.finish()
            outcome.looks_complete = outcome.status < 300
        else:
            _read_plain_body(plan, outcome, bytes(body), head)


def _read_plain_body(plan: CallPlan, outcome: CallOutcome, body: bytes, head: HttpHead) -> None:
    try:
        outcome.body = msgspec.json.decode(body)
    except msgspec.MsgspecError:
        outcome.body = body.decode(errors="replace")
    outcome.router_made = "wingwood-answer" in outcome.headers
    fields = outcome.body if isinstance(outcome.body, dict) else {}
    if outcome.router_made:
        outcome.code, outcome.run = str(fields.get("code", "")), str(fields.get("run", ""))
        return
    outcome.worker_duration = fields.get("seconds")
    outcome.looks_complete = outcome.status < 300 and head.framing != "close"
    if outcome.looks_complete and fields.get("call") != plan.call_id:
        outcome.problem = f"answer of another call: {fields.get('call')!r}"


class _EventReader:
    """Splits a stream into events and checks each of them against the plan of the call."""

    def __init__(
        self,
        plan: CallPlan,
        outcome: CallOutcome,
        clock: Clock,
        on_event: Callable[[JsonObject], None] | None,
    ) -> None:
        self.done = False
        self._plan = plan
        self._outcome = outcome
        self._clock = clock
        self._on_event = on_event
        self._buffer = b""
        self._last_event_at = outcome.started_at

    def feed(self, chunk: bytes) -> None:
        now = self._clock.monotonic()
        *events, self._buffer = (self._buffer + chunk).split(b"\n\n")
        for event in events:
            self._read_event(event, now)

    def finish(self) -> None:
        if not self.done:
            self._record_problem("a clean end without the end marker")
        elif self._buffer:
            self._record_problem("bytes after the end marker")
        elif self.done and self._outcome.events != self._plan.max_tokens:
            self._record_problem(f"{self._outcome.events} of {self._plan.max_tokens} events before the end marker")

    def _read_event(self, event: bytes, now: float) -> None:
        outcome = self._outcome
        data = event.removeprefix(b"data: ")
        if self.done:
            self._record_problem("an event after the end marker")
            return
        if data == END_MARKER:
            self.done = True
            return
        try:
            fields = msgspec.json.decode(data)
        except msgspec.MsgspecError:
            self._record_problem("an event that is no JSON")
            return
        if fields.get("call") != self._plan.call_id:
            self._record_problem(f"piece of another call: {fields.get('call')!r}")
        elif fields.get("index") != outcome.events:
            self._record_problem(f"event {fields.get('index')} in the place of {outcome.events}")
        if outcome.time_to_first_event is None:
            outcome.time_to_first_event = now - outcome.started_at
            outcome.worker_duration = fields.get("seconds")
        else:
            outcome.gaps.append(now - self._last_event_at)
        self._last_event_at = now
        if isinstance(fields.get("at"), float):
            outcome.transit_times.append(now - fields["at"])
        outcome.events += 1
        outcome.text += str(fields.get("text", ""))
        if self._on_event is not None:
            self._on_event(fields)

    def _record_problem(self, problem: str) -> None:
        self._outcome.problem = self._outcome.problem or problem


def prompt_text(tokens: int, seed: str) -> str:
    """Returns a text of ``tokens`` tokens of four bytes each, which repeats ``seed``."""
    return (f"{seed} " * (tokens * 4 // (len(seed) + 1) + 1))[: tokens * 4]
