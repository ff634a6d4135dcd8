"""A router's request path in simulated time, with fakes of the other slices, scripted workers and callers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import Literal

import msgspec
from prometheus_client import CollectorRegistry
from returns.result import Result, Success
from tornado.iostream import BaseIOStream, StreamClosedError

from emulator.router_fakes import (
    TICKET,
    FixedBundle,
    GrantingLedger,
    OpenAdmission,
    ReadyWorkers,
    UnlimitedShares,
    bundle_with,
    digest_of,
)
from simulation import Process, World, address_of

from ...bundle.model import Bundle, PriorityClass, Service, Tenant
from ...context.http_exchange import Exchange
from ...context.protocols import Context, HttpExchange, HttpRequest
from ...identifiers import (
    Address,
    ClassName,
    DaemonName,
    PoolName,
    Seconds,
    ServiceName,
    TenantName,
    WorkerInstance,
    Zone,
)
from ...ledger.protocols import AlreadyClaimed, CallKey, Claimed, ClaimError, Outcome
from ...limits.protocols import CallRejection
from ...placement.protocols import Choice, NoWorker, Turn
from ...registry.protocols import Worker
from ...settings.model import DaemonSettings
from ..formats import Formats
from ..forward_options import ForwardOptions
from ..metrics import RequestMetrics
from ..recording import CallRecorder
from ..request_path import DEFAULT_FORMATS, RequestPath

KEY = "secret-key"
OTHER_KEY = "other-key"


CHAT = Service(name=ServiceName("chat"), pool=PoolName("model"))
CARDS = Service(name=ServiceName("cards"), pool=PoolName("plain"), kind="plain", repeatable=False, streaming=False)
PLAIN = Service(name=ServiceName("plain"), pool=PoolName("plain"), kind="plain", streaming=False)


def bundle_of(
    services: Sequence[Service] = (CHAT, CARDS, PLAIN), keys: Sequence[str] = (KEY,), tenant: str = "estate"
) -> Bundle:
    owner = Tenant(
        name=TenantName(tenant),
        priority_class=ClassName("gold"),
        paid_rate=100.0,
        keys=tuple(digest_of(key) for key in keys),
        services=tuple(service.name for service in services if service.name != "forbidden"),
    )
    other = Tenant(
        name=TenantName("other"),
        priority_class=ClassName("gold"),
        paid_rate=1.0,
        keys=(digest_of(OTHER_KEY),),
    )
    return bundle_with(services, [owner, other], [PriorityClass(name=ClassName("gold"), weight=4.0)])


class FakeBundle(FixedBundle):
    """A bundle in force that a test can replace, remove or make unconfirmed (``serving``)."""

    def __init__(self) -> None:
        super().__init__(bundle_of())


class FakeLimits(OpenAdmission):
    """Paid shares, retry budget and admission; a test sets what they refuse and reads what they were asked."""

    def __init__(self) -> None:
        self.share_refused: CallRejection | None = None
        self.too_late: CallRejection | None = None
        self.budget = 10
        self.earned_by: list[str] = []
        self.shares_taken = 0
        self.costs: list[int] = []
        self.delay = Seconds(0.0)
        """How long ``take_share`` waits before it answers."""

    async def take_share(self, tenant: Tenant, cost: int) -> CallRejection | None:
        self.shares_taken += 1
        self.costs.append(cost)
        await asyncio.sleep(self.delay)
        return self.share_refused

    def record_call(self, service: Service, pool: PoolName | None = None) -> None:
        self.earned_by.append(service.name)

    def take(self, service: Service, pool: PoolName | None = None) -> bool:
        self.budget -= 1
        return self.budget >= 0

    def check(self, service: Service, predicted_first_token: Seconds) -> CallRejection | None:
        return self.too_late


class FakeShares(UnlimitedShares):
    """The ``Shares`` interface of ``FakeLimits``, whose own ``take`` is that of the retry budget."""

    def __init__(self, limits: FakeLimits) -> None:
        self._limits = limits

    async def take(self, tenant: Tenant, cost: int = 1) -> CallRejection | None:
        return await self._limits.take_share(tenant, cost)


class FakeLedger(GrantingLedger):
    """A ledger with one table, which a test can make slow or unreachable."""

    def __init__(self) -> None:
        self.answer: Claimed | AlreadyClaimed | ClaimError | None = None
        """If set, the answer to every claim; the table is then not used."""
        self.table: dict[CallKey, str] = {}
        self.claims = 0
        self.delay = Seconds(0.0)
        """How long ``claim`` waits before it answers."""

    async def claim(self, key: CallKey, timeout: Seconds) -> Claimed | AlreadyClaimed | ClaimError:
        self.claims += 1
        await asyncio.sleep(self.delay)
        if self.answer is not None:
            return self.answer
        state = self.table.get(key)
        if state is not None:
            return AlreadyClaimed(state)  # type: ignore[arg-type]
        self.table[key] = "running"
        return Claimed(TICKET)

    async def report_outcome(self, key: CallKey, ticket: str, outcome: Outcome) -> bool:
        assert ticket == TICKET
        if outcome == "not-run":
            del self.table[key]
        else:
            self.table[key] = outcome
        return True


class FakePlacement(ReadyWorkers):
    """Placement and registry: offers the workers of the test and records what was asked and reported."""

    def __init__(self) -> None:
        super().__init__()
        self.finishes: list[tuple[str, str, int]] = []
        """Worker instance, outcome and generated tokens of each turn that has finished."""
        self.turns: list[Turn] = []
        self.running = 0
        """Turns that were placed and have not finished."""
        self.suspects: list[str] = []
        """Instances that were reported as unresponsive."""
        self.not_confirmed: set[str] = set()
        """Instances that ``confirm`` rejects."""
        self.waits: list[Seconds] = []
        """How long ``choose`` waits for each attempt of a call, in order; it does not wait for further ones."""
        self.confirm_wait = Seconds(0.0)
        """How long ``confirm`` waits."""

    async def choose(self, turn: Turn, excluded: Sequence[WorkerInstance]) -> Result[Choice, NoWorker]:
        self.turns.append(turn)
        if len(self.turns) <= len(self.waits):
            await asyncio.sleep(self.waits[len(self.turns) - 1])
        chosen = await super().choose(turn, excluded)
        self.running += isinstance(chosen, Success)
        return chosen

    def finished(
        self,
        turn: Turn,
        choice: Choice,
        outcome: Literal["whole", "refused", "broken", "cancelled"],
        generated_tokens: int,
        first_token_after: Seconds | None,
    ) -> None:
        self.running -= 1
        self.finishes.append((str(choice.worker.instance), outcome, generated_tokens))

    async def confirm(self, worker: Worker) -> bool:
        if self.confirm_wait:
            await asyncio.sleep(self.confirm_wait)
        return worker.instance not in self.not_confirmed

    def suspect(self, instance: WorkerInstance) -> None:
        self.suspects.append(instance)


class FakeOutcomes:
    """Records the reports about turns as ``(outcome, instance)``; refuses turns at ``refusing_turns``."""

    def __init__(self) -> None:
        self.reported: list[tuple[str, str]] = []
        self.refusing_turns: set[str] = set()

    def begin(self, instance: WorkerInstance) -> bool:
        return instance not in self.refusing_turns

    def succeeded(self, instance: WorkerInstance) -> None:
        self.reported.append(("succeeded", instance))

    def failed(self, instance: WorkerInstance) -> None:
        self.reported.append(("failed", instance))

    def misplaced(self, instance: WorkerInstance) -> None:
        self.reported.append(("misplaced", instance))

    def abandoned(self, instance: WorkerInstance) -> None:
        self.reported.append(("abandoned", instance))

    def slow_start_remaining(self, instance: WorkerInstance) -> Seconds:
        return Seconds(0.0)


class Request(msgspec.Struct):
    """A request as a scripted worker received it, at the virtual time ``at``."""

    head: str
    body: bytes
    at: float

    def header(self, name: str) -> str | None:
        for line in self.head.split("\r\n")[1:]:
            key, _, value = line.partition(":")
            if key.lower() == name.lower():
                return value.strip()
        return None


Script = Callable[[BaseIOStream, Request], Awaitable[None]]
"""Answers one request on the connection."""

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
DONE = b"data: [DONE]\n\n"


def chunk(data: bytes) -> bytes:
    """Returns ``data`` as one chunk of the chunked transfer encoding."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def sends(*steps: bytes | float, keep_open: bool = False) -> Script:
    """Returns a script that sends the bytes, sleeps for the numbers (virtual seconds), then closes the connection.

    With ``keep_open`` it leaves the connection open until the router closes it.
    """

    async def script(stream: BaseIOStream, request: Request) -> None:
        for step in steps:
            if isinstance(step, bytes):
                await stream.write(step)
            else:
                await asyncio.sleep(step)
        if keep_open:
            await stream.read_until_close()

    return script


def streams(events: int, pause: float = 0.01) -> Script:
    """Returns a script that streams so many events, each after ``pause`` seconds, and the end marker."""
    steps: list[bytes | float] = [CHUNKED]
    for number in range(events):
        steps += [pause, chunk(b"data: %d\n\n" % number)]
    return sends(*steps, chunk(DONE), b"0\r\n\r\n")


def responds(body: bytes, status: str = "200 OK", *headers: str) -> Script:
    """Returns a script that answers with a body of known length."""
    lines = "".join(f"{header}\r\n" for header in headers)
    return sends(f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{lines}\r\n".encode() + body)


class ScriptedWorker:
    """A worker in a process of its own that answers each request by a script, and so can misbehave in any way."""

    def __init__(self, world: World, name: str, script: Script) -> None:
        self.world = world
        self.requests: list[Request] = []
        self.connections = 0
        self.closed_by_router: list[float] = []
        """Virtual times at which the router closed a connection before the script had ended."""
        self.script = script
        self.keep_alive = False
        """Whether connections stay open for further requests, unless the script closes them."""
        self.process: Process = world.start(name, self._main)
        self.worker = Worker(
            instance=WorkerInstance(f"{name}-1"),
            address=address_of(self.process.machine, 80),
            pool=PoolName("model"),
            zone=Zone("a"),
            slots=8,
        )

    async def _main(self, context: Context) -> None:
        assert isinstance(context.network.listen(self.worker.address, self._serve), Success)

    async def _serve(self, stream: BaseIOStream, peer: Address) -> None:
        self.connections += 1
        stream.set_close_callback(lambda: self.closed_by_router.append(self.world.now))
        try:
            while True:
                head = (await stream.read_until(b"\r\n\r\n")).decode("latin-1")
                request = Request(head[:-4], b"", self.world.now)
                request.body = await stream.read_bytes(int(request.header("Content-Length") or "0"))
                self.requests.append(request)
                await self.script(stream, request)
                if not self.keep_alive:
                    break
        except StreamClosedError:
            return
        stream.set_close_callback(None)
        stream.close()


class Reply(msgspec.Struct):
    """An answer as a caller received it."""

    status: int
    headers: dict[str, str]
    raw: bytes
    """All bytes after the head, in their transfer encoding."""
    complete: bool
    """Whether the framing of the answer showed its end."""
    at: float
    """Virtual time at which the answer ended."""

    def body(self) -> bytes:
        """Returns the body without its transfer encoding."""
        if self.headers.get("transfer-encoding") != "chunked":
            return self.raw
        body, rest = b"", self.raw
        while rest:
            size, _, rest = rest.partition(b"\r\n")
            body += rest[: int(size, 16)]
            rest = rest[int(size, 16) + 2 :]
        return body

    def json(self) -> dict[str, object]:
        return msgspec.json.decode(self.raw, type=dict[str, object])


class Caller:
    """One connection of a caller; ``seen`` lists the received parts of bodies with their virtual times."""

    def __init__(self, world: World, stream: BaseIOStream, reads_ahead: bool = True) -> None:
        """Without ``reads_ahead``, nothing is read between replies, so that the router can fill the connection."""
        self.world = world
        self.stream = stream
        self.seen: list[tuple[float, bytes]] = []
        self.head_at: float | None = None
        """Virtual time at which the head of the latest answer was received."""
        if reads_ahead:
            stream.set_close_callback(lambda: None)  # Without a callback tornado reads nothing between replies.

    def send(self, data: bytes) -> None:
        self.stream.write(data).add_done_callback(lambda future: future.cancelled() or future.exception())

    async def reply(self, without_body: bool = False) -> Reply:
        """Reads one answer, as far as it is received before the connection is closed."""
        head = (await self.stream.read_until(b"\r\n\r\n")).decode("latin-1")
        self.head_at = self.world.now
        first, *lines = head[:-4].split("\r\n")
        headers = {line.partition(":")[0].lower(): line.partition(":")[2].strip() for line in lines}
        reply = Reply(int(first.split(" ")[1]), headers, b"", False, self.world.now)
        try:
            if without_body or reply.status in (204, 304):
                reply.complete = True
            elif headers.get("transfer-encoding") == "chunked":
                await self._chunks(reply)
            elif "content-length" in headers:
                left = int(headers["content-length"])
                while left:
                    data = await self.stream.read_bytes(left, partial=True)
                    self._received(reply, data)
                    left -= len(data)
                reply.complete = True
            else:
                reply.raw = await self.stream.read_until_close()
        except StreamClosedError:
            pass
        reply.at = self.world.now
        return reply

    async def _chunks(self, reply: Reply) -> None:
        while True:
            line = await self.stream.read_until(b"\r\n")
            data = await self.stream.read_bytes(int(line, 16) + 2)
            if int(line, 16) == 0:
                reply.complete = True
                return
            self._received(reply, line + data)

    def _received(self, reply: Reply, data: bytes) -> None:
        self.seen.append((self.world.now, data))
        reply.raw += data


class PendingHttpClient:
    """An HTTP client that sends nothing, so that a test can call ``may_write`` of an exchange when it chooses."""

    def __init__(self) -> None:
        self.exchanges: list[Exchange] = []

    def start(self, request: HttpRequest) -> HttpExchange:
        self.exchanges.append(Exchange(request))
        return self.exchanges[-1]


class PathWorld:
    """A router process with its request path and fakes of the other slices; it runs from the start."""

    def __init__(
        self,
        world: World,
        options: ForwardOptions | None = None,
        stop_within: float = 5.0,
        formats: Formats = DEFAULT_FORMATS,
    ) -> None:
        self.world = world
        self.bundle = FakeBundle()
        self.limits = FakeLimits()
        self.ledger = FakeLedger()
        self.placement = FakePlacement()
        self.outcomes = FakeOutcomes()
        self.recorded: list[bytes] = []
        self.metrics = CollectorRegistry()
        self.path: RequestPath
        self._options = options
        self._formats = formats
        self._stop_within = Seconds(stop_within)
        self.router = world.start("router", self._main)
        self.address = address_of(self.router.machine, 81)
        world.run(0.001)

    async def _main(self, context: Context) -> None:
        settings = DaemonSettings(
            name=DaemonName("router"),
            role="router",
            zone=Zone("a"),
            internal=Address("10.1.0.1", 1),
            operator=Address("10.1.0.1", 2),
            caller=self.address,
            seeds=(),
            fleet_key=b"",
            operator_keys=(),
            stop_within=self._stop_within,
        )
        self.path = RequestPath(
            context,
            settings,
            self.bundle,
            FakeShares(self.limits),
            self.limits,
            self.ledger,
            self.placement,
            self.placement,
            self.limits,
            RequestMetrics(self.metrics),
            options=self._options,
            recorder=CallRecorder(context.clock, self.recorded.append),
            formats=self._formats,
            outcomes=self.outcomes,
            has_workers=lambda: bool(self.placement.workers),
        )
        assert isinstance(self.path.start(), Success)

    def worker(self, name: str, script: Script) -> ScriptedWorker:
        """Starts a worker and offers it to placement."""
        worker = ScriptedWorker(self.world, name, script)
        self.placement.workers.append(worker.worker)
        self.world.run(0.001)
        return worker

    async def connect(self, reads_ahead: bool = True) -> Caller:
        process = self.world.processes.get("caller") or self.world.start("caller", _nothing)
        context = self.world.context_for(process)
        opened = await context.network.connect(self.address, Seconds(1.0))
        return Caller(self.world, opened.unwrap(), reads_ahead)

    async def send(self, data: bytes, reads_ahead: bool = True) -> Caller:
        caller = await self.connect(reads_ahead)
        caller.send(data)
        return caller

    def call(self, path: str = "/chat", body: bytes = b"{}", **headers: str) -> Reply:
        """Sends one call on a new connection and waits for its answer."""

        async def run() -> Reply:
            return await (await self.send(request(path, body, **headers))).reply()

        return self.world.complete(run())

    def log_lines(self) -> list[dict[str, object]]:
        """Returns the fields of the router's log events ``call``, one for each call that has ended."""
        return [event.fields for event in self.world.events if event.source == "router" and event.name == "call"]


async def _nothing(context: Context) -> None: ...


def request(path: str = "/chat", body: bytes = b"{}", method: str = "POST", **headers: str) -> bytes:
    """Returns a well-formed call; a header with an empty value is left out, underscores in names become hyphens."""
    fields = {"Host": "router", "Authorization": f"Bearer {KEY}", "Content-Length": str(len(body))}
    fields.update({name.replace("_", "-"): value for name, value in headers.items()})
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items() if value)
    return f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode("latin-1") + body
