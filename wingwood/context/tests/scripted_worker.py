"""A scripted fake worker, and functions that run a scenario against it on loopback sockets or in the simulator."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from typing import Protocol
from unittest import mock

import msgspec
from returns.result import Success
from tornado.iostream import BaseIOStream, IOStream, StreamClosedError

from simulation import SimulatedStream, World, address_of

from ...identifiers import Address
from ..connection_pool import ConnectionLimits
from ..pooled_client import PooledHttpClient
from ..protocols import Clock, Context, HttpExchange, HttpFault, HttpHead, HttpRequest, Listener, Network
from ..real import RealClock, RealNetwork, RealTasks

ECHO = "X-Id"
WAIT_LIMIT_S = 10.0
PORT = 9000


class ReceivedRequest:
    """One request as the worker received it."""

    def __init__(self, worker: ScriptedWorker, stream: BaseIOStream, connection: int, number: int) -> None:
        self.worker = worker
        self.stream = stream
        self.connection = connection
        self.number = number
        """Sequence number of the request on its connection, from 1."""
        self.id = ""
        self.method = ""
        self.body = b""

    def answer(self, body: bytes = b"ok", *headers: str, status: str = "200 OK", id: str | None = None) -> bytes:
        """Returns a complete answer with ``Content-Length``."""
        lines = [f"HTTP/1.1 {status}", f"{ECHO}: {self.id if id is None else id}", f"Content-Length: {len(body)}"]
        return "\r\n".join([*lines, *headers, "", ""]).encode() + body

    async def send(self, data: bytes) -> None:
        await self.stream.write(data)

    def reset(self) -> None:
        """Ends the connection with RST."""
        self.worker.reset_stream(self.stream)

    async def closed_by_client(self) -> None:
        """Reads and discards bytes until the client has closed the connection."""
        try:
            while True:
                await self.stream.read_bytes(65536, partial=True)
        except StreamClosedError:
            return


Script = Callable[[ReceivedRequest], Awaitable[None]]


async def answers_ok(received_request: ReceivedRequest) -> None:
    await received_request.send(
        received_request.answer(b"body of " + received_request.id.encode(), "Keep-Alive: timeout=8")
    )


class ScriptedWorker:
    """A fake worker that counts the requests it receives. Its script may close or reset the stream."""

    def __init__(self, script: Script, reads_bodies: bool = True) -> None:
        self.script = script
        self.reads_bodies = reads_bodies
        self.received: Counter[str] = Counter()
        """Number of requests whose head arrived completely, by id."""
        self.bodies: dict[str, bytes] = {}
        self.connections = 0
        self.open = 0
        self.streams: list[BaseIOStream] = []
        self._listener: Listener | None = None

    def start(self, network: Network, addresses: Sequence[Address]) -> Address:
        for address in addresses:
            match network.listen(address, self._serve):
                case Success(listener):
                    self._listener = listener
                    return address
        raise AssertionError("no free port")

    def stop(self) -> None:
        if self._listener is not None:
            self._listener.close()
        for stream in self.streams:
            stream.close()

    def reset_stream(self, stream: BaseIOStream) -> None:
        if isinstance(stream, SimulatedStream):
            stream.endpoint.network.break_connection(stream.endpoint.peer)
        elif isinstance(stream, IOStream):
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        stream.close()

    async def _serve(self, stream: BaseIOStream, peer: Address) -> None:
        self.connections += 1
        self.open += 1
        self.streams.append(stream)
        connection, number = self.connections, 0
        try:
            while not stream.closed():
                number += 1
                received_request = ReceivedRequest(self, stream, connection, number)
                await self._read(received_request)
                await self.script(received_request)
        except StreamClosedError:
            pass
        finally:
            stream.close()
            self.open -= 1

    async def _read(self, received_request: ReceivedRequest) -> None:
        head = (await received_request.stream.read_until(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        received_request.id, received_request.method = headers.get(ECHO.lower(), ""), first.split(" ")[0]
        self.received[received_request.id] += 1
        length = int(headers.get("content-length", "0"))
        if length and self.reads_bodies:
            received_request.body = self.bodies[received_request.id] = await received_request.stream.read_bytes(length)


class Outcome(msgspec.Struct):
    """What the consumer of one call received."""

    head: HttpHead | None
    body: bytes
    fault: HttpFault | None

    def fault_summary(self) -> tuple[str, bool, bool]:
        """Returns the kind of the fault, whether the request was sent, and whether the connection was reused."""
        assert self.fault is not None
        return self.fault.kind, self.fault.request_sent, self.fault.on_reused_connection


async def read_answer(exchange: HttpExchange) -> Outcome:
    head = await exchange.head()
    if not isinstance(head, Success):
        return Outcome(None, b"", head.failure())
    body = b""
    while True:
        chunk = await exchange.next_chunk()
        if not isinstance(chunk, Success):
            return Outcome(head.unwrap(), body, chunk.failure())
        data = chunk.unwrap()
        if data is None:
            return Outcome(head.unwrap(), body, None)
        body += data


class Testbed:
    """A fake worker, a pooled client, and the network and clock that they share."""

    def __init__(self, worker: ScriptedWorker, clock: Clock) -> None:
        self.worker = worker
        self.clock = clock
        self.address = Address("127.0.0.1", 0)
        self.client: PooledHttpClient
        self.network: Network
        self.world: World | None = None
        self._ids = 0

    def request(self, body: bytes = b"", **more: object) -> HttpRequest:
        """Returns a request with a new id that may reuse connections."""
        self._ids += 1
        identifier = str(more.pop("id", f"call-{self._ids}"))
        fields: dict[str, object] = {
            "method": "POST",
            "address": self.address,
            "path": "/p",
            "headers": ((ECHO, identifier),),
            "echo": (ECHO, identifier),
            "body": body,
            "reuse": True,
            **more,
        }
        return HttpRequest(**fields)  # type: ignore[arg-type]

    def start(self, body: bytes = b"", **more: object) -> HttpExchange:
        return self.client.start(self.request(body, **more))

    async def call(self, body: bytes = b"", **more: object) -> Outcome:
        return await read_answer(self.start(body, **more))

    async def until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(WAIT_LIMIT_S):
            while not condition():
                await asyncio.sleep(0.001)


class Scenario(Protocol):
    async def __call__(self, testbed: Testbed) -> None: ...


def run_on_loopback(scenario: Scenario, worker: ScriptedWorker, limits: ConnectionLimits | None = None) -> None:
    """Runs the scenario on loopback sockets in real time."""

    async def main() -> None:
        problems: list[str] = []
        network, testbed = RealNetwork(), Testbed(worker, RealClock())
        tasks = RealTasks(mock.Mock(), problems.append)
        testbed.network = network
        testbed.address = worker.start(network, [Address("127.0.0.1", port) for port in range(23400, 23700)])
        testbed.client = PooledHttpClient(network, testbed.clock, tasks, limits)
        try:
            async with asyncio.timeout(3 * WAIT_LIMIT_S):
                await scenario(testbed)
        finally:
            testbed.client.close()
            worker.stop()
            await asyncio.sleep(0)
        assert not problems, problems

    asyncio.run(main())


def run_in_simulation(
    scenario: Scenario, worker: ScriptedWorker, limits: ConnectionLimits | None = None, seed: int = 1
) -> None:
    """Runs the scenario in the simulator: time is virtual, and bytes arrive split at random places."""
    done: list[bool] = []
    with World(seed) as world:

        async def serve(context: Context) -> None:
            worker.start(context.network, [address_of(world.machines["worker"], PORT)])

        async def run(context: Context) -> None:
            testbed = Testbed(worker, context.clock)
            testbed.world, testbed.network = world, context.network
            testbed.address = address_of(world.machines["worker"], PORT)
            testbed.client = PooledHttpClient(context.network, context.clock, context.tasks, limits)
            await scenario(testbed)
            done.append(True)

        world.start("worker", serve)
        world.start("router", run)
        world.wait_for(lambda: bool(done or world.broken_invariants), within=600.0)
        assert not world.broken_invariants, "\n".join(world.broken_invariants)
        assert done, "the scenario did not end"
