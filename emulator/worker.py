"""The emulated worker: batch slots, prefill, KV cache, decode pace, faults (docs/DESIGN.md section 17).

Towards routers it speaks the format of ``wingwood/forward/worker_format.py``, implemented here a second time on
purpose: ``Prefix``, ``Expect-Instance`` (412 when it names another instance), 503 with ``Not-Run: true`` when draining
or full, streams of events that end in ``data: [DONE]``, and JSON for everything else. It also serves:

- ``GET /health``: ``{instance, state, running, waiting, cache_tokens_used}``
- ``GET /runs?after=N``: the calls that were started, in order; for observers
- ``POST /drain``, ``POST /faults``

The body of a call is JSON: ``messages`` (one per shared part of the prefix, then the session's own), ``max_tokens``,
``stream``, and ``call``, the caller's own mark, which each event and answer repeats. Four bytes count as a token.
The field ``at`` of an event is the worker's monotonic clock at its creation; on one machine, tools compute transit
times from it. The field ``seconds`` of the first event and of plain answers is the time since the call arrived.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Sequence
from typing import cast

import msgspec
from returns.result import Failure, Result, Success
from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.iostream import BaseIOStream, StreamClosedError

from wingwood.context.protocols import Context, Listener, NetworkFault, Task
from wingwood.identifiers import Address, Seconds

from .announcer import Announcement, Announcer
from .faults import ActiveFaults, Fault
from .prefix_cache import PrefixCache, PromptPart

BYTES_PER_TOKEN = 4
STRAY_BYTES = b'HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n{"stray": "yes"}'


class WorkerOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options of an emulated worker, with times in seconds.

    The defaults are roughly the pace of one accelerator with continuous batching.
    """

    name: str
    address: Address
    announce: tuple[Address, ...] = ()
    """Operator addresses of daemons; announcements go to one of them, and to the next when it does not acknowledge."""
    pool: str = "model"
    zone: str = "a"
    kind: str = "model"
    """``model`` or ``plain``."""
    slots: int = 8
    waiting_limit: int = 64
    """Calls that may wait for a slot; further calls get a 503."""
    cache_tokens: int = 120_000
    prefill_per_token: Seconds = Seconds(0.00015)
    decode_per_token: Seconds = Seconds(0.02)
    decode_per_other_stream: Seconds = Seconds(0.001)
    """Additional time per token for each other stream in the batch."""
    plain_seconds: Seconds = Seconds(0.02)
    tells_load: bool = True
    """Whether announcements state the worker's load."""
    announce_every: Seconds = Seconds(1.0)


class Run(msgspec.Struct, kw_only=True):
    """A call that was started; times are those of the worker's monotonic clock."""

    number: int
    request: str
    idempotency_key: str
    call: str
    tenant: str
    path: str
    prefix: str
    instance: str
    arrived: float
    """Time at which the call arrived; ``started`` is the time at which it got a slot."""
    started: float
    finished: float | None = None
    outcome: str = "running"
    """``whole`` (answered completely), ``caller-gone``, ``broken`` (by a fault) or ``running``."""
    prompt_tokens: int = 0
    cached_tokens: int = 0
    generated_tokens: int = 0


class CallBody(msgspec.Struct, frozen=True):
    """The body of a call, as the doc string of the module describes it."""

    messages: list[dict[str, str]] = []
    max_tokens: int = 16
    stream: bool = True
    call: str = ""


class EmulatedWorker:
    """A worker process; it has several instances in succession when it is restarted empty."""

    def __init__(
        self,
        context: Context,
        options: WorkerOptions,
        on_run: Callable[[Run], None] | None = None,
    ) -> None:
        """``on_run`` is called with each run at its start and at its end."""
        self.context = context
        self.options = options
        self.on_run = on_run
        self.state = "ready"
        self.instance = self._new_instance()
        self.cache = PrefixCache(options.cache_tokens)
        self.active_faults = ActiveFaults()
        self.runs: list[Run] = []
        self.running = 0
        self.idle = asyncio.Event()
        """Set while no call runs or waits."""
        self.idle.set()
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._prefill = asyncio.Lock()
        self._responsive = asyncio.Event()
        self._responsive.set()
        self._calls: dict[int, tuple[Task, BaseIOStream]] = {}
        self._call_number = 0
        self._listener: Listener | None = None
        self._server = HTTPServer(self._take, max_body_size=64 * 1024 * 1024, max_buffer_size=96 * 1024 * 1024)
        self.announcer = Announcer(context, options.announce, self._announcement, options.announce_every)

    # Start, drain, restart and stop

    def start(self) -> Result[None, NetworkFault]:
        """Listens and starts to announce the worker; a failure says why it cannot listen."""
        match self.context.network.listen(self.options.address, self._handle_stream):
            case Success(listener):
                self._listener = listener
                self.context.tasks.spawn("announce", self.announcer.run())
                self.context.log.event("worker-started", instance=self.instance, address=self.options.address)
                return Success(None)
            case Failure(fault):
                return Failure(fault)
        raise AssertionError("a result is a success or a failure")

    def drain(self) -> None:
        """Refuses new calls for the rest of this instance, and announces its departure once no call runs or waits."""
        if self.state == "ready":
            self.state = "draining"
            self.context.log.event("worker-draining", instance=self.instance)
            self.announcer.changed()
            self.context.tasks.spawn("drain", self._announce_departure())

    async def _announce_departure(self) -> None:
        instance = self.instance
        await self.idle.wait()
        if self.instance == instance:
            self.state = "gone"
            self.announcer.changed()

    def restart_empty(self) -> None:
        """Starts a new instance at the same address: running calls break, and the cache is emptied."""
        for task, stream in list(self._calls.values()):
            task.cancel()
            stream.close()
        self.cache.clear()
        self.state = "ready"
        self.instance = self._new_instance()
        self._responsive.set()
        self.context.log.event("worker-restarted", instance=self.instance)
        self.announcer.changed()

    def stop(self) -> None:
        """Stops listening; running calls go on."""
        if self._listener is not None:
            self._listener.close()

    def _new_instance(self) -> str:
        return f"{self.options.name}-{self.context.random.getrandbits(32):08x}"

    # Reports of the worker's state

    def load(self) -> dict[str, int]:
        """Returns the load that is reported, which is all zeros under the fault ``lie-about-load``."""
        if self.active_faults.active("lie-about-load"):
            return {"running": 0, "waiting": 0, "cache_tokens_used": 0}
        return {"running": self.running, "waiting": len(self._waiting), "cache_tokens_used": self.cache.used}

    def _announcement(self) -> Announcement | None:
        """Returns the current announcement, or None under the fault ``dark``."""
        if not self._responsive.is_set():
            return None
        return Announcement(
            instance=self.instance,
            address=str(self.options.address),
            pool=self.options.pool,
            zone=self.options.zone,
            slots=self.options.slots,
            cache_tokens=self.options.cache_tokens if self.options.kind == "model" else 0,
            state=self.state,
            load=self.load() if self.options.tells_load else None,
        )

    # Calls

    def _handle_stream(self, stream: BaseIOStream, address: Address) -> None:
        self._server.handle_stream(stream, (address.host, address.port))  # type: ignore[arg-type]

    def _take(self, request: HTTPServerRequest) -> None:
        # Tornado's server makes all its requests on connections of this class.
        connection = cast(HTTP1Connection, request.connection)
        self._call_number += 1
        number = self._call_number
        task = self.context.tasks.spawn("call", self._serve(request, connection, number))
        self._calls[number] = (task, connection.stream)
        # Tornado ignores what the callback returns.
        connection.set_close_callback(cast(Callable[[], None], task.cancel))

    async def _serve(self, request: HTTPServerRequest, connection: HTTP1Connection, number: int) -> None:
        try:
            if request.path == "/faults":
                self._apply_fault(request, connection)
                return
            await self._responsive.wait()
            await self._answer(request, connection)
        except StreamClosedError:
            return
        finally:
            self._calls.pop(number, None)

    async def _answer(self, request: HTTPServerRequest, connection: HTTP1Connection) -> None:
        if request.path == "/health":
            health = {"instance": self.instance, "state": self.state, **self.load()}
            _reply(connection, 200, health)
        elif request.path == "/runs":
            after = int(request.arguments.get("after", [b"0"])[0])
            _reply(connection, 200, {"instance": self.instance, "runs": self.runs[after:]})
        elif request.path == "/drain":
            self.drain()
            _reply(connection, 200, {"instance": self.instance, "state": self.state})
        else:
            await self._call(request, connection)

    def _apply_fault(self, request: HTTPServerRequest, connection: HTTP1Connection) -> None:
        try:
            fault = msgspec.json.decode(request.body, type=Fault)
        except msgspec.MsgspecError as malformed:
            _reply(connection, 400, {"error": str(malformed)})
            return
        if fault.fault != "crash":
            _reply(connection, 200, {"instance": self.instance, "fault": fault.fault})
        self.context.log.event("fault", kind=fault.fault)
        if fault.fault == "crash":
            self.context.tasks.stop_process("crash")
        elif fault.fault == "restart-empty":
            # The reply above must be sent before the restart closes the connections of the old instance.
            asyncio.get_running_loop().call_later(0.01, self.restart_empty)
        elif fault.fault == "dark":
            self._responsive.clear()
            asyncio.get_running_loop().call_later(fault.seconds, self._responsive.set)
        else:
            self.active_faults.activate(fault)
            if fault.fault == "none":
                self._responsive.set()
        self.announcer.changed()

    async def _call(self, request: HTTPServerRequest, connection: HTTP1Connection) -> None:
        arrived = self.context.clock.monotonic()
        expected = request.headers.get("Expect-Instance")
        if expected is not None and expected != self.instance:
            _reply(connection, 412, {"error": "another instance", "instance": self.instance}, not_run=True)
            return
        if self.state != "ready":
            _reply(connection, 503, {"error": self.state}, not_run=True)
            return
        if self.running >= self.options.slots and len(self._waiting) >= self.options.waiting_limit:
            _reply(connection, 503, {"error": "full"}, not_run=True)
            return
        if error := self.active_faults.take("error-status"):
            _reply(connection, error.status, {"error": "switched on"})
            return
        try:
            body = msgspec.json.decode(request.body, type=CallBody)
        except msgspec.MsgspecError:
            body = CallBody(stream=self.options.kind == "model")
        if late := self.active_faults.take("late"):
            await asyncio.sleep(late.seconds)
        await self._take_slot()
        try:
            await self._run(request, connection, body, arrived)
        finally:
            self._free_slot()

    async def _take_slot(self) -> None:
        """Waits in order of arrival for a slot; a cancelled call passes its slot on or leaves the queue."""
        self.idle.clear()
        if self.running < self.options.slots:
            self.running += 1
            return
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self._free_slot()
            elif waiter in self._waiting:  # It is not when a slot that became free skipped it.
                self._waiting.remove(waiter)
            raise

    def _free_slot(self) -> None:
        """Passes the slot to the first waiting call that was not cancelled, if there is any."""
        while self._waiting:
            waiter = self._waiting.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
        self.running -= 1
        if not self.running:
            self.idle.set()

    async def _run(
        self, request: HTTPServerRequest, connection: HTTP1Connection, body: CallBody, arrived: float
    ) -> None:
        parts = prompt_parts(request.headers.get("Prefix"), body, len(request.body))
        run = Run(
            number=len(self.runs) + 1,
            request=request.headers.get("X-Request-Id", ""),
            idempotency_key=request.headers.get("Idempotency-Key", ""),
            call=body.call,
            tenant=request.headers.get("X-Tenant", ""),
            path=request.path,
            prefix=request.headers.get("Prefix", ""),
            instance=self.instance,
            arrived=arrived,
            started=self.context.clock.monotonic(),
            prompt_tokens=sum(part.tokens for part in parts),
        )
        self.runs.append(run)
        self._report_run(run)
        try:
            if self.options.kind == "plain":
                await self._plain(connection, body, run)
            else:
                await self._model(connection, body, run, parts)
        except StreamClosedError:
            run.outcome = "caller-gone"
        finally:
            if run.outcome == "running":
                run.outcome = "caller-gone"
            run.finished = self.context.clock.monotonic()
            self._report_run(run)

    def _report_run(self, run: Run) -> None:
        if self.on_run is not None:
            self.on_run(run)

    async def _plain(self, connection: HTTP1Connection, body: CallBody, run: Run) -> None:
        await asyncio.sleep(self.options.plain_seconds)
        answer: dict[str, object] = {
            "request": run.request,
            "call": body.call,
            "instance": self.instance,
            "key": run.idempotency_key,
        }
        self._finish_plain(connection, run, answer)

    async def _model(self, connection: HTTP1Connection, body: CallBody, run: Run, parts: Sequence[PromptPart]) -> None:
        async with self._prefill:
            run.cached_tokens = self.cache.cached_tokens(parts)
            await asyncio.sleep((run.prompt_tokens - run.cached_tokens) * self.options.prefill_per_token)
            self.cache.store(parts)
        if not body.stream:
            for _ in range(body.max_tokens):
                await self._decode()
            run.generated_tokens = body.max_tokens
            self._cache_generated(parts, body.max_tokens)
            answer: dict[str, object] = {
                "request": run.request,
                "call": body.call,
                "instance": self.instance,
                "text": "".join(token_text(index) for index in range(body.max_tokens)),
            }
            self._finish_plain(connection, run, answer)
            return
        if self._closes_without_answer(connection, run):
            return
        breaks = self.active_faults.take("break-mid-event")
        headers = HTTPHeaders(
            {
                "Content-Type": "text/event-stream",
                "Cache-Control": "no-store",
                "Cached-Tokens": str(run.cached_tokens),
                "Prompt-Tokens": str(run.prompt_tokens),
            }
        )
        first_event_sent = False
        for index in range(body.max_tokens):
            await self._decode()
            event: dict[str, object] = {
                "index": index,
                "text": token_text(index),
                "request": run.request,
                "call": body.call,
                "instance": self.instance,
                "at": self.context.clock.monotonic(),
            }
            if not first_event_sent:
                event["seconds"] = self.context.clock.monotonic() - run.arrived
            line = b"data: " + msgspec.json.encode(event) + b"\n\n"
            breaking = breaks is not None and index >= breaks.after
            if breaking:
                line = line[: len(line) // 2]
            if first_event_sent:
                await connection.write(line)
            else:
                first_event_sent = True
                await connection.write_headers(ResponseStartLine("HTTP/1.1", 200, "OK"), headers, line)
            if breaking:
                run.outcome = "broken"
                connection.stream.close()
                return
            run.generated_tokens = index + 1
        self._cache_generated(parts, body.max_tokens)
        end = b"data: [DONE]\n\n"
        if first_event_sent:
            await connection.write(end)
        else:
            await connection.write_headers(ResponseStartLine("HTTP/1.1", 200, "OK"), headers, end)
        run.outcome = "whole"
        connection.finish()
        self._send_stray_bytes(connection)

    async def _decode(self) -> None:
        await self._responsive.wait()
        others = max(0, self.running - 1)
        await asyncio.sleep(self.options.decode_per_token + others * self.options.decode_per_other_stream)
        await self._responsive.wait()

    def _cache_generated(self, parts: Sequence[PromptPart], generated: int) -> None:
        """Extends the cached part of the session by the generated tokens."""
        session = parts[-1]
        self.cache.store([*parts[:-1], PromptPart(session.name, session.tokens + generated)])

    def _finish_plain(self, connection: HTTP1Connection, run: Run, answer: dict[str, object]) -> None:
        if self._closes_without_answer(connection, run):
            return
        if self.active_faults.take("break-mid-event"):
            payload = msgspec.json.encode(answer)
            headers = HTTPHeaders({"Content-Type": "application/json", "Content-Length": str(len(payload))})
            connection.write_headers(ResponseStartLine("HTTP/1.1", 200, "OK"), headers, payload[: len(payload) // 2])
            run.outcome = "broken"
            connection.stream.close()
            return
        run.outcome = "whole"
        _reply(connection, 200, {**answer, "seconds": self.context.clock.monotonic() - run.arrived})
        self._send_stray_bytes(connection)

    def _closes_without_answer(self, connection: HTTP1Connection, run: Run) -> bool:
        if not self.active_faults.take("close-without-answer"):
            return False
        run.outcome = "broken"
        connection.stream.close()
        return True

    def _send_stray_bytes(self, connection: HTTP1Connection) -> None:
        stream = connection.stream
        if self.active_faults.take("stray-bytes") and stream is not None and not stream.closed():
            stream.write(STRAY_BYTES).add_done_callback(_ignore_closed)


def _ignore_closed(future: asyncio.Future[None]) -> None:
    if not future.cancelled():
        future.exception()


def _reply(connection: HTTP1Connection, status: int, answer: object, not_run: bool = False) -> None:
    payload = msgspec.json.encode(answer)
    headers = HTTPHeaders({"Content-Type": "application/json", "Content-Length": str(len(payload))})
    if not_run:
        headers["Not-Run"] = "true"
    connection.write_headers(ResponseStartLine("HTTP/1.1", status, "Emulated"), headers, payload)
    connection.finish()


def token_text(index: int) -> str:
    """Returns the text of a generated token, which has ``BYTES_PER_TOKEN`` bytes."""
    return f"{index % 1000:03d} "


def prompt_parts(prefix: str | None, body: CallBody, body_bytes: int) -> list[PromptPart]:
    """Returns the prompt's parts with their sizes in tokens.

    Message n is the n-th shared part of the prefix; all later messages belong to the session's own part. With fewer
    messages than parts, the session's own part has all tokens.
    """
    names = [name for name in (prefix or "").split("/") if name]
    sizes = [-(-len(message.get("content", "").encode()) // BYTES_PER_TOKEN) for message in body.messages]
    if not names:
        return [PromptPart("", sum(sizes) or body_bytes // BYTES_PER_TOKEN)]
    if len(sizes) < len(names):
        sizes = [0] * (len(names) - 1) + [sum(sizes) or body_bytes // BYTES_PER_TOKEN]
    shared = len(names) - 1
    return [
        *(PromptPart(name, size) for name, size in zip(names[:shared], sizes[:shared], strict=True)),
        PromptPart(names[-1], sum(sizes[shared:])),
    ]
