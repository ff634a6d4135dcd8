"""Callers of a run: tenants' clients that reuse connections, time out and retry once at another router.

They use the callers' protocol (docs/DESIGN.md section 12) through code of their own and record all they observe.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Sequence
from random import Random
from typing import Any

import msgspec
from returns.result import Success
from tornado.iostream import BaseIOStream

from fleet.shape import ServiceShape, Shape, TenantShape, Traffic
from wingwood.context.protocols import Context, HttpFault, HttpRequest
from wingwood.identifiers import Address, Seconds

from .history import Attempt, Call, History, ObservedEvent
from .http_client import PlainExchange

FIRST_BYTE_TIMEOUT_MARGIN_S = 0.5
"""Callers wait this much longer for the first byte than the bundle's ``first_byte_patience``."""
STREAM_IDLE_TIMEOUT_S = 6.0
"""The longest time between two chunks of a stream before the caller gives up."""
RETRY_PAUSE_S = 0.05
MAX_RETRY_PAUSE_S = 1.0
BYTES_PER_TOKEN = 4


class RouterEndpoint(msgspec.Struct, frozen=True):
    """The name of a router and the address at which callers reach it."""

    name: str
    address: Address


class CallerPlan(msgspec.Struct, frozen=True, kw_only=True):
    """The tenant of a process of callers, its key and its machine."""

    tenant: TenantShape
    key: str
    machine: str


class Callers:
    """All callers of one tenant; they run in one process."""

    def __init__(
        self,
        context: Context,
        history: History,
        now: Callable[[], float],
        ready_routers: Callable[[], Sequence[RouterEndpoint]],
        shape: Shape,
        plan: CallerPlan,
    ) -> None:
        self.context = context
        self.history = history
        self.now = now
        self.ready_routers = ready_routers
        self.shape = shape
        self.plan = plan
        self.key = plan.key
        self.traffic_factor = 1.0
        """The traffic as a multiple of the traffic of the deployment's shape."""
        self.stopped = False
        self.disconnect_after_s: float | None = None
        """When set, callers close their connection this many seconds after sending a call, answered or not."""
        self.only_router: str | None = None
        """When set, callers send all calls to this router."""
        self._services = {service.name: service for service in shape.services}
        self._number = 0
        self._idle_connections: dict[Address, list[BaseIOStream]] = {}

    # -- traffic

    def start_traffic(self) -> None:
        """Starts one task for each kind of traffic of the shape."""
        total = sum(tenant.traffic_share for tenant in self.shape.tenants)
        share = self.plan.tenant.traffic_share / total
        for traffic in self.shape.traffic:
            self.context.tasks.spawn(f"traffic {traffic.name}", self._traffic(traffic, share))

    async def _traffic(self, traffic: Traffic, share: float) -> None:
        random = self.context.random
        while True:
            rate = traffic.per_second * share * self.traffic_factor
            if rate <= 0.0 or self.stopped:
                await asyncio.sleep(0.25)
                continue
            await asyncio.sleep(min(20.0, random.expovariate(rate)))
            if not self.stopped:
                self.context.tasks.spawn(f"session {traffic.name}", self.session(traffic))

    async def session(self, traffic: Traffic) -> None:
        """Makes the calls of all turns of a session; a plain call is a session of one turn without a name."""
        random = self.context.random
        service = self._services[traffic.service]
        shared = random.randrange(traffic.shared_prefixes) if traffic.shared_prefixes else None
        session = f"s-{self.plan.tenant.name}-{random.getrandbits(40):010x}"
        messages = []
        if shared is not None:
            messages.append(self._message(traffic.shared_tokens))
        prefix = f"{traffic.name}-{shared}/{session}" if shared is not None else session
        for turn in range(traffic.turns):
            messages.append(self._message(max(1, int(traffic.own_tokens * random.uniform(0.5, 1.5)))))
            tokens = max(1, int(traffic.answer_tokens * random.uniform(0.5, 1.5))) if service.streaming else 0
            call = await self.call(service, prefix if service.kind == "model" else "", messages, tokens)
            if not call.succeeded:
                return
            messages.append(self._message(max(1, tokens)))
            if turn + 1 < traffic.turns:
                await asyncio.sleep(random.expovariate(1.0 / traffic.think_seconds))

    def _message(self, tokens: int) -> dict[str, str]:
        return {"role": "user", "content": "w" * (tokens * BYTES_PER_TOKEN)}

    async def flood(self, service: str, per_second: float, seconds: float) -> None:
        """Calls one service at a constant rate, without waiting for answers and without retries."""
        until = self.now() + seconds
        while self.now() < until:
            await asyncio.sleep(1.0 / per_second)
            shape = self._services[service]
            tokens = 5 if shape.streaming else 0
            self.context.tasks.spawn("flood", self._flood_call(shape, tokens))

    async def _flood_call(self, service: ServiceShape, tokens: int) -> None:
        prefix = f"flood-{self.context.random.getrandbits(30):08x}" if service.kind == "model" else ""
        await self.call(service, prefix, [self._message(20)], tokens, retries=0)

    # -- one call

    async def call(
        self, service: ServiceShape, prefix: str, messages: list[dict[str, str]], tokens: int, retries: int = 1
    ) -> Call:
        """Makes one call with up to ``retries`` retries and records it in the history."""
        self._number += 1
        identifier = f"{self.plan.tenant.name}-{self._number}"
        call = Call(
            identifier=identifier,
            tenant=self.plan.tenant.name,
            service=service.name,
            repeatable=service.repeatable,
            idempotency_key=f"key-{identifier}" if not service.repeatable else "",
            session=prefix,
            started_at=self.now(),
        )
        self.history.calls.append(call)
        tried: list[str] = []
        for number in range(1 + retries):
            endpoint = self._choose(tried)
            if endpoint is None:
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            tried.append(endpoint.name)
            attempt = await self._attempt(call, service, endpoint, prefix, messages, tokens, number + 1)
            if attempt.succeeded or not _should_retry(attempt):
                break
            await asyncio.sleep(min(attempt.retry_after or RETRY_PAUSE_S, MAX_RETRY_PAUSE_S))
        call.ended_at = self.now()
        return call

    def _choose(self, tried: Sequence[str]) -> RouterEndpoint | None:
        ready_routers = self.ready_routers()
        if self.only_router is not None:
            return next((endpoint for endpoint in ready_routers if endpoint.name == self.only_router), None)
        fresh = (
            [endpoint for endpoint in ready_routers if endpoint.name not in tried]
            if self.context.random.random() < 0.8
            else ready_routers
        )
        candidates = fresh or ready_routers
        return self.context.random.choice(candidates) if candidates else None

    async def _attempt(
        self,
        call: Call,
        service: ServiceShape,
        endpoint: RouterEndpoint,
        prefix: str,
        messages: list[dict[str, str]],
        tokens: int,
        number: int,
    ) -> Attempt:
        attempt = Attempt(
            mark=f"{call.identifier}/{number}",
            call=call.identifier,
            number=number,
            router=endpoint.name,
            caller_machine=self.plan.machine,
            tenant=call.tenant,
            service=call.service,
            key=self.key,
            sent_at=self.now(),
            tokens=tokens,
        )
        call.attempts.append(attempt)
        body = {"messages": messages, "max_tokens": tokens, "stream": service.streaming, "call": attempt.mark}
        headers = [("Authorization", f"Bearer {self.key}"), ("Content-Type", "application/json")]
        if prefix:
            headers.append(("Prefix", prefix))
        if call.idempotency_key:
            headers.append(("Idempotency-Key", call.idempotency_key))
        request = HttpRequest(
            "POST", endpoint.address, service.path, tuple(headers), msgspec.json.encode(body), Seconds(2.0)
        )
        idle = self._take_idle_connection(endpoint.address)
        attempt.reused_connection = idle is not None
        exchange = PlainExchange(self.context.network, request, idle, keep_open=True)
        try:
            await self._read(exchange, attempt, service)
        finally:
            attempt.ended_at = self.now()
            attempt.sent_bytes = exchange.request_sent()
            stream = exchange.reusable()
            if stream is not None and attempt.end == "whole":
                # A stream with a callback watches its connection: one that the router closes is not reused.
                stream.set_close_callback(lambda: None)
                stream.set_close_callback(_nothing)  # detects that the router closes the connection
                self._idle_connections.setdefault(endpoint.address, []).append(stream)
            else:
                exchange.cancel()
        return attempt

    def _take_idle_connection(self, address: Address) -> BaseIOStream | None:
        idle = self._idle_connections.get(address, [])
        while idle:
            stream = idle.pop()
            if not stream.closed():
                stream.set_close_callback(None)
                return stream
        return None

    async def _read(self, exchange: PlainExchange, attempt: Attempt, service: ServiceShape) -> None:
        try:
            async with asyncio.timeout(self.disconnect_after_s):
                await self._read_with_timeouts(
                    exchange, attempt, service.first_byte_patience + FIRST_BYTE_TIMEOUT_MARGIN_S
                )
        except TimeoutError:
            attempt.end = "gave-up"

    async def _read_with_timeouts(self, exchange: PlainExchange, attempt: Attempt, first_byte_timeout: float) -> None:
        reader = _AnswerReader(attempt, self.now)
        async with asyncio.timeout(first_byte_timeout):
            head_result = await exchange.head()
        if not isinstance(head_result, Success):
            self._failed(attempt, head_result.failure())
            return
        head = head_result.unwrap()
        attempt.head_at, attempt.status = self.now(), head.status
        attempt.code = "router" if head.header("Wingwood-Answer") is not None else ""
        reader.streams = (head.header("Content-Type") or "").startswith("text/event-stream")
        retry_after = head.header("Retry-After")
        attempt.retry_after = float(retry_after) if retry_after else None
        while True:
            async with asyncio.timeout(
                STREAM_IDLE_TIMEOUT_S if attempt.events or not reader.streams else first_byte_timeout
            ):
                received = await exchange.next_chunk()
            if not isinstance(received, Success):
                self._failed(attempt, received.failure())
                return
            chunk = received.unwrap()
            if chunk is None:
                attempt.end = "whole"
                reader.finish()
                return
            reader.take(chunk)

    def _failed(self, attempt: Attempt, fault: HttpFault) -> None:
        if fault.kind == "connect":
            attempt.end = "no-connection"
        else:
            attempt.end = "malformed" if fault.kind == "malformed" else "broken"


def _nothing() -> None:
    return None


def _should_retry(attempt: Attempt) -> bool:
    """Returns whether a retry may help; it does not after a definite refusal of the call."""
    if attempt.end != "whole":
        return True
    return attempt.status in (429, 500, 502, 503, 504)


class _AnswerReader:
    """Parses the body of an answer and records its events or its mark in the attempt."""

    def __init__(self, attempt: Attempt, now: Callable[[], float]) -> None:
        self._attempt = attempt
        self._now = now
        self._rest = b""
        self.streams = False

    def take(self, chunk: bytes) -> None:
        """Parses a received chunk of the body."""
        self._rest += chunk
        if not self.streams:
            return
        while True:
            event, separator, rest = self._rest.partition(b"\n\n")
            if not separator:
                return
            self._rest = rest
            self._event(event)

    def _event(self, event: bytes) -> None:
        attempt = self._attempt
        if attempt.done_marker:
            attempt.stray += event[:80].decode("latin-1")
        elif event == b"data: [DONE]":
            attempt.done_marker = True
        elif (read := _json(event.removeprefix(b"data: "))) is not None and event.startswith(b"data: "):
            attempt.events.append(
                ObservedEvent(self._now(), int(read.get("index", -1)), str(read.get("call")), str(read.get("text")))
            )
        else:
            attempt.stray += event[:80].decode("latin-1")

    def finish(self) -> None:
        """Handles the end of a complete body."""
        attempt = self._attempt
        if self.streams:
            attempt.stray += self._rest[:80].decode("latin-1")
            return
        answer = _json(self._rest)
        if answer is None:
            attempt.stray += self._rest[:80].decode("latin-1")
            return
        attempt.answer_call = str(answer.get("call", ""))
        if attempt.code:
            attempt.code = str(answer.get("code", "router"))
            attempt.reported_run = str(answer.get("run", ""))


def _json(data: bytes) -> dict[str, Any] | None:
    try:
        read = msgspec.json.decode(data)
    except msgspec.MsgspecError:
        return None
    return read if isinstance(read, dict) else None


def share_of(values: Sequence[float], quantile: float) -> float:
    """Returns the quantile of the values; NaN when there are none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))] if ordered else math.nan


def pick(random: Random, names: Sequence[str]) -> str:
    """Returns a random name."""
    return names[random.randrange(len(names))]
