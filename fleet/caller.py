"""One caller's call, and what the caller could see of its answer; for the demo, the bench and the observers.

It judges the answer by itself: whether each event is its own and in order, and whether it looks whole.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec
from returns.result import Success

from wingwood.context.protocols import Clock, HttpClient, HttpExchange, HttpHead, HttpRequest
from wingwood.identifiers import Address, Seconds

END_MARKER = b"[DONE]"


class CallPlan(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller wants to ask. ``mark`` is its own and comes back in each event of an emulated worker's answer."""

    path: str
    key: str
    mark: str
    messages: tuple[str, ...]
    """Contents: one per shared part of the prefix, then the session's own."""
    max_tokens: int = 16
    stream: bool = True
    prefix: str | None = None
    idempotency_key: str | None = None
    first_byte_patience: float = 4.0
    silence_patience: float = 10.0
    hang_up_after: int | None = None
    """Goes away after that many events."""


class CallOutcome(msgspec.Struct, kw_only=True):
    """What the caller saw. Times in seconds on the tool's clock."""

    mark: str
    status: int = 0
    """0: no head came."""
    headers: dict[str, str] = msgspec.field(default_factory=dict)
    """Lower-case names."""
    router_made: bool = False
    code: str = ""
    """Of a router-made answer, such as why it refused."""
    run: str = ""
    """Of a router-made answer: not-run, unknown or ran."""
    looks_whole: bool = False
    """A caller takes this for a whole success: status 2xx and a clean end."""
    hung_up: bool = False
    fault: str = ""
    """Why there was no clean end."""
    problem: str = ""
    """What must never be: another call's piece, a piece lost or twice."""
    events: int = 0
    text: str = ""
    began: float = 0.0
    first_event_after: float | None = None
    ended_after: float = 0.0
    gaps: list[float] = msgspec.field(default_factory=list)
    transits: list[float] = msgspec.field(default_factory=list)
    """From the worker's making of each event to its coming here; only of use on one machine."""
    worker_seconds: float | None = None
    """From the call's coming to the worker to its first event or its answer, as the worker tells."""
    body: Any = None
    """Of an answer that is no stream."""

    def number(self, header: str) -> int | None:
        value = self.headers.get(header, "")
        return int(value) if value.isdigit() else None


def request_of(plan: CallPlan, address: Address) -> HttpRequest:
    body = {
        "messages": [{"content": content} for content in plan.messages],
        "max_tokens": plan.max_tokens,
        "stream": plan.stream,
        "call": plan.mark,
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
    def __init__(self, http: HttpClient, clock: Clock) -> None:
        self._http = http
        self._clock = clock

    async def call(
        self, plan: CallPlan, address: Address, on_event: Callable[[dict[str, Any]], None] | None = None
    ) -> CallOutcome:
        """One try at one router (or, in direct mode, at one worker)."""
        outcome = CallOutcome(mark=plan.mark, began=self._clock.monotonic())
        exchange = self._http.start(request_of(plan, address))
        try:
            await self._follow(plan, exchange, outcome, on_event)
        finally:
            exchange.cancel()
            outcome.ended_after = self._clock.monotonic() - outcome.began
        return outcome

    async def _follow(
        self,
        plan: CallPlan,
        exchange: HttpExchange,
        outcome: CallOutcome,
        on_event: Callable[[dict[str, Any]], None] | None,
    ) -> None:
        patience = plan.first_byte_patience
        try:
            async with asyncio.timeout(patience):
                answered = await exchange.head()
        except TimeoutError:
            outcome.fault = "silent"
            return
        if not isinstance(answered, Success):
            outcome.fault = answered.failure().kind
            return
        head: HttpHead = answered.unwrap()
        outcome.status = head.status
        outcome.headers = {name.lower(): value for name, value in head.headers}
        streams = outcome.headers.get("content-type", "").startswith("text/event-stream")
        body = bytearray()
        reader = _EventReader(plan, outcome, self._clock, on_event)
        while True:
            try:
                async with asyncio.timeout(patience if not outcome.events else plan.silence_patience):
                    got = await exchange.next_chunk()
            except TimeoutError:
                outcome.fault = "silent"
                return
            if not isinstance(got, Success):
                outcome.fault = got.failure().kind
                return
            piece: bytes | None = got.unwrap()
            if piece is None:
                break
            if not streams:
                body += piece
                continue
            reader.take(piece)
            if plan.hang_up_after is not None and outcome.events >= plan.hang_up_after:
                outcome.hung_up = True
                return
        if streams:
            reader.end()
            outcome.looks_whole = outcome.status < 300
        else:
            _take_body(plan, outcome, bytes(body), head)


def _take_body(plan: CallPlan, outcome: CallOutcome, body: bytes, head: HttpHead) -> None:
    try:
        outcome.body = msgspec.json.decode(body)
    except msgspec.MsgspecError:
        outcome.body = body.decode(errors="replace")
    outcome.router_made = "wingwood-answer" in outcome.headers
    fields = outcome.body if isinstance(outcome.body, dict) else {}
    if outcome.router_made:
        outcome.code, outcome.run = str(fields.get("code", "")), str(fields.get("run", ""))
        return
    outcome.worker_seconds = fields.get("seconds")
    outcome.looks_whole = outcome.status < 300 and head.framing != "close"
    if outcome.looks_whole and fields.get("call") != plan.mark:
        outcome.problem = f"answer of another call: {fields.get('call')!r}"


class _EventReader:
    def __init__(
        self,
        plan: CallPlan,
        outcome: CallOutcome,
        clock: Clock,
        on_event: Callable[[dict[str, Any]], None] | None,
    ) -> None:
        self.done = False
        self._plan = plan
        self._outcome = outcome
        self._clock = clock
        self._on_event = on_event
        self._rest = b""
        self._last = outcome.began

    def take(self, piece: bytes) -> None:
        now = self._clock.monotonic()
        *events, self._rest = (self._rest + piece).split(b"\n\n")
        for event in events:
            self._event(event, now)

    def end(self) -> None:
        if not self.done:
            self._problem("a clean end without the end marker")
        elif self._rest:
            self._problem("bytes after the end marker")
        elif self.done and self._outcome.events != self._plan.max_tokens:
            self._problem(f"{self._outcome.events} of {self._plan.max_tokens} events before the end marker")

    def _event(self, event: bytes, now: float) -> None:
        outcome = self._outcome
        data = event.removeprefix(b"data: ")
        if self.done:
            self._problem("an event after the end marker")
            return
        if data == END_MARKER:
            self.done = True
            return
        try:
            fields = msgspec.json.decode(data)
        except msgspec.MsgspecError:
            self._problem("an event that is no JSON")
            return
        if fields.get("call") != self._plan.mark:
            self._problem(f"piece of another call: {fields.get('call')!r}")
        elif fields.get("index") != outcome.events:
            self._problem(f"event {fields.get('index')} in the place of {outcome.events}")
        if outcome.first_event_after is None:
            outcome.first_event_after = now - outcome.began
            outcome.worker_seconds = fields.get("seconds")
        else:
            outcome.gaps.append(now - self._last)
        self._last = now
        if isinstance(fields.get("at"), float):
            outcome.transits.append(now - fields["at"])
        outcome.events += 1
        outcome.text += str(fields.get("text", ""))
        if self._on_event is not None:
            self._on_event(fields)

    def _problem(self, problem: str) -> None:
        self._outcome.problem = self._outcome.problem or problem


def shared_text(tokens: int, seed: str) -> str:
    """A prompt part of that many tokens (four bytes each)."""
    return (f"{seed} " * (tokens * 4 // (len(seed) + 1) + 1))[: tokens * 4]
