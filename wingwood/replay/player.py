"""Sends the calls of a recorded day to a fleet again (docs/DESIGN.md section 17)."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Iterable, Mapping, Sequence
from typing import Literal

import msgspec
from returns.result import Success

from ..context.protocols import Clock, HttpClient, HttpExchange, HttpHead, HttpRequest
from ..forward.caller_format import ANSWER, AUTHORIZATION, AWARD, IDEMPOTENCY_KEY
from ..forward.http_headers import EVENT_STREAM
from ..forward.recording import RecordedCall
from ..forward.worker_format import CACHED_TOKENS, END_MARKER, PREFIX, PROMPT_TOKENS
from ..identifiers import Address, Instant, Seconds
from .day import DayCall
from .report import ReplayReport

MAX_REMEMBERED_PREFIXES = 100_000
"""Number of shared prefix parts whose filler sizes are remembered; the least recently used one is evicted."""
MAX_REFUSAL_BYTES = 64 * 1024
"""Size up to which the body of a router's own answer is read for its code."""
TAIL_BYTES = 64
"""Size of the end of a stream that is searched for the end marker."""
MAX_BODY_BYTES = 4 * 1024 * 1024
"""Size of the largest request body that is sent."""


class PlayerOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options of a replay."""

    name: str = "replay"
    speed: float = 1.0
    """Factor of time compression; with 2 the day takes half its time."""
    start: float = 0.0
    """Position in the day at which the replay begins, in seconds."""
    end: float = float("inf")
    spread: Literal["as-recorded", "every-call"] = "as-recorded"
    """Whether all calls of a file go to the same router, or each call goes to the next router in turn."""
    in_flight: int = 2000
    """Maximum number of calls in flight; further calls wait and count as late."""
    shared_part: float = 0.5
    """Share of a body that stands for the shared parts of its prefix.

    It is applied to the first body with a prefix part, because the lengths of parts aren't recorded.
    """
    first_byte_timeout: Seconds = Seconds(30.0)
    """Timeout for the head of the answer."""
    call_timeout: Seconds = Seconds(300.0)
    """Timeout for an entire call."""


class Player:
    """Replays calls in an open loop: each is sent at its time whether or not earlier calls were answered.

    ``keys`` maps each tenant to its key; calls of other tenants are skipped. Bodies weren't recorded, so the
    player sends filler of the recorded length: identical for the same prefix part, and extended at its end as a
    session grows. Raises ValueError without routers or for a speed that is not positive.
    """

    def __init__(
        self,
        clock: Clock,
        http: HttpClient,
        routers: Sequence[Address],
        keys: Mapping[str, str],
        options: PlayerOptions,
    ) -> None:
        if not routers or options.speed <= 0:
            raise ValueError("a replay needs routers and a speed above zero")
        self._clock = clock
        self._http = http
        self._routers = routers
        self._keys = keys
        self._options = options
        self._number = 0
        self._shared: OrderedDict[str, int] = OrderedDict()
        self._call_slots = asyncio.Semaphore(options.in_flight)
        self._tasks: set[asyncio.Task[None]] = set()
        self.report = ReplayReport(name=options.name, speed=options.speed, in_flight_bound=options.in_flight)
        self.position_seconds = 0.0
        """Time of the last call considered, in seconds from the start of the day."""

    @property
    def in_flight(self) -> int:
        """Number of calls that were sent and have not ended."""
        return len(self._tasks)

    async def play(self, calls: Iterable[DayCall]) -> ReplayReport:
        """Sends the calls between ``start`` and ``end`` and returns the report when all of them have ended."""
        options, report = self._options, self.report
        began = self._clock.monotonic()
        for day_call in calls:
            if day_call.at < options.start:
                continue
            if day_call.at > options.end:
                break
            self.position_seconds = day_call.at
            planned = Instant(began + (day_call.at - options.start) / options.speed)
            if not self._can_send(day_call.call):
                continue
            if (wait := planned - self._clock.monotonic()) > 0:
                await self._clock.sleep(Seconds(wait))
            await self._call_slots.acquire()
            report.late.add(self._clock.monotonic() - planned)
            self._number += 1
            task = asyncio.get_running_loop().create_task(self._send(day_call, self._number))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            report.calls += 1
            report.planned_seconds = planned - began
        while self._tasks:
            await asyncio.wait(list(self._tasks))
        report.took_seconds = self._clock.monotonic() - began
        return report

    def _can_send(self, call: RecordedCall) -> bool:
        why = "no-tenant" if not call.tenant else "no-key" if call.tenant not in self._keys else None
        if why is not None:
            self.report.skipped[why] = self.report.skipped.get(why, 0) + 1
        return why is None

    async def _send(self, day_call: DayCall, number: int) -> None:
        try:
            turn = day_call.source if self._options.spread == "as-recorded" else number
            address = self._routers[turn % len(self._routers)]
            exchange = self._http.start(self._request(day_call.call, address, number))
            try:
                outcome = await self._read_outcome(day_call.call, exchange)
            finally:
                exchange.cancel()
            service = self.report.service(day_call.call.service)
            service.calls += 1
            service.complete += outcome == "whole"
            service.outcomes[outcome] = service.outcomes.get(outcome, 0) + 1
            recorded = day_call.call.outcome or "?"
            service.recorded_outcomes[recorded] = service.recorded_outcomes.get(recorded, 0) + 1
            if day_call.call.prefix and day_call.call.placement_method:
                method = day_call.call.placement_method
                service.recorded_placement_methods[method] = service.recorded_placement_methods.get(method, 0) + 1
        finally:
            self._call_slots.release()

    def _request(self, call: RecordedCall, address: Address, number: int) -> HttpRequest:
        headers = [
            ("Content-Type", "application/json"),
            (AUTHORIZATION, f"Bearer {self._keys[call.tenant]}"),
            (IDEMPOTENCY_KEY, f"{self._options.name}-{number}"),
        ]
        if call.prefix:
            headers.append((PREFIX, "/".join(call.prefix)))
        body = b"" if call.method in ("GET", "HEAD") else self._body(call)
        return HttpRequest(call.method, address, call.path, tuple(headers), body, Seconds(1.0))

    def _body(self, call: RecordedCall) -> bytes:
        parts = max(1, len(call.prefix))
        length = max(0, min(call.body_bytes, MAX_BODY_BYTES) - len(_form([""] * parts, call)))
        contents: list[str] = []
        for depth in range(parts - 1):
            part = "/".join(call.prefix[: depth + 1])
            size = self._shared.pop(part, None)
            if size is None:
                size = int(length * self._options.shared_part / (parts - 1))
                if len(self._shared) >= MAX_REMEMBERED_PREFIXES:
                    self._shared.popitem(last=False)
            self._shared[part] = size
            contents.append(_filler(part, size))
        left = max(0, length - sum(map(len, contents)))
        contents.append(_filler("/".join(call.prefix), left))
        return _form(contents, call)

    async def _read_outcome(self, call: RecordedCall, exchange: HttpExchange) -> str:
        """Reads the answer to its end, records its figures and returns the outcome as the caller saw it."""
        service = self.report.service(call.service)
        began = self._clock.monotonic()
        try:
            async with asyncio.timeout(self._options.call_timeout):
                try:
                    async with asyncio.timeout(self._options.first_byte_timeout):
                        answered = await exchange.head()
                except TimeoutError:
                    return "silent"
                if not isinstance(answered, Success):
                    fault = answered.failure()
                    return "cut" if fault.request_sent else "no-connection"
                head: HttpHead = answered.unwrap()
                if call.prefix and (method := head.header(AWARD)) is not None:
                    service.placement_methods[method] = service.placement_methods.get(method, 0) + 1
                service.prompt_tokens += _number(head, PROMPT_TOKENS)
                service.cached_tokens += _number(head, CACHED_TOKENS)
                return await self._read_body(call, exchange, head, began)
        except TimeoutError:
            return "too-long"
        finally:
            service.total.add(self._clock.monotonic() - began)

    async def _read_body(self, call: RecordedCall, exchange: HttpExchange, head: HttpHead, began: float) -> str:
        service = self.report.service(call.service)
        router_made = head.header(ANSWER) == "router"
        streams = (head.header("Content-Type") or "").startswith(EVENT_STREAM)
        body, tail = bytearray(), b""
        last: float | None = None
        while True:
            got = await exchange.next_chunk()
            if not isinstance(got, Success):
                return "cut"
            chunk = got.unwrap()
            if chunk is None:
                break
            now = self._clock.monotonic()
            if router_made:
                if len(body) < MAX_REFUSAL_BYTES:
                    body += chunk
            elif last is None:
                service.first_chunk.add(now - began)
            elif streams:
                service.between_chunks.add(now - last)
            last = now
            tail = (tail + chunk)[-TAIL_BYTES:]
        if router_made:
            return f"refused {_code(bytes(body))}"
        if not 200 <= head.status < 300:
            return f"status {head.status}"
        return "whole" if not streams or END_MARKER in tail else "cut"


def _form(contents: Sequence[str], call: RecordedCall) -> bytes:
    messages = [{"content": content} for content in contents]
    return msgspec.json.encode({"messages": messages, "max_tokens": max(1, call.tokens), "stream": call.tokens > 0})


def _filler(name: str, size: int) -> str:
    word = (name or "prompt") + " "
    return (word * (size // len(word) + 1))[:size]


def _number(head: HttpHead, name: str) -> int:
    value = head.header(name) or ""
    return int(value) if value.isdigit() and len(value) < 12 else 0


class _RefusalCode(msgspec.Struct, frozen=True):
    """The only field that is read from an answer made by a router, so that its other fields may change."""

    code: str


def _code(body: bytes) -> str:
    try:
        return msgspec.json.decode(body, type=_RefusalCode).code
    except msgspec.MsgspecError:
        return "?"
