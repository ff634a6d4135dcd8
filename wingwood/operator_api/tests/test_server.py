"""Tests that the operator server answers any input and stays within its limits (docs/DESIGN.md section 15.1)."""

from __future__ import annotations

import json
import unittest

import msgspec
from returns.result import Success
from tornado.iostream import StreamClosedError

from simulation import World, address_of
from wingwood.context.protocols import Context

from ...identifiers import Address
from ..protocols import OperatorReply, OperatorRequest
from ..server import OperatorServer, ServerLimits

LIMITS = ServerLimits(connections=3, header_bytes=1000, body_bytes=100, total_body_bytes=3_000_000)


class Number(msgspec.Struct):
    number: int


class ServerRig:
    """One simulated process that runs the server, and a client that sends raw bytes."""

    def __init__(self) -> None:
        self.world = World(1).__enter__()
        self.address = Address("0.0.0.0", 0)
        self.servers: list[OperatorServer] = []
        self.seen: list[OperatorRequest] = []
        self.address = address_of(self.world.machine("served"), 7001)

        async def main(context: Context) -> None:
            server = OperatorServer(context, LIMITS)
            server.add("POST", "/echo", self.echo)
            server.add("POST", "/large", self.echo, 2_500_000)
            server.add("GET", "/below/*", self.echo)
            server.add("POST", "/decode", self.decode)
            server.add("GET", "/broken", self.broken)
            assert isinstance(server.start(self.address), Success)
            self.servers.append(server)

        self.world.start("served", main)
        self.world.machine("client")
        self.world.run(0.01)

    async def echo(self, request: OperatorRequest) -> OperatorReply:
        self.seen.append(request)
        return OperatorReply(body={"path": request.path, "query": dict(request.query), "length": len(request.body)})

    async def decode(self, request: OperatorRequest) -> OperatorReply:
        return OperatorReply(body=msgspec.json.decode(request.body, type=Number))

    async def broken(self, request: OperatorRequest) -> OperatorReply:
        raise AssertionError("a broken invariant")

    def exchange(self, *sent: bytes, timeout: float = 60.0) -> bytes:
        """Sends the chunks and returns all received bytes until the server closes or ``timeout`` seconds have passed.

        ``|closed`` is appended when the server closed the connection.
        """
        received = bytearray()

        async def run(context: Context) -> None:
            stream = (await context.network.connect(self.address, LIMITS.idle_timeout)).unwrap()
            try:
                for chunk in sent:
                    await stream.write(chunk)
                while True:
                    received.extend(await stream.read_bytes(65536, partial=True))
            except StreamClosedError:
                received.extend(b"|closed")

        name = f"client-{len(self.world.processes)}"
        process = self.world.start(name, run, machine="client")
        self.world.wait_for(lambda: received.endswith(b"|closed"), timeout)
        self.world.kill(process)
        self.world.run(0.1)
        return bytes(received)


def request(line: str, body: bytes = b"", *headers: str) -> bytes:
    head = [f"{line} HTTP/1.1", "Host: x", *headers]
    if body and not headers:
        head.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*head, "", ""]).encode() + body


class ServerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.server_rig = ServerRig()
        self.addCleanup(self.server_rig.world.close)

    def answer(self, *sent: bytes, timeout: float = 1.0) -> tuple[int, dict[str, object], bool]:
        """Returns the status, the JSON body, and whether the connection was closed."""
        received = self.server_rig.exchange(*sent, timeout=timeout)
        closed = received.endswith(b"|closed")
        head, _, body = received.removesuffix(b"|closed").partition(b"\r\n\r\n")
        return int(head.split()[1]), json.loads(body) if body else {}, closed

    def test_request_is_decoded_and_its_response_has_a_length(self) -> None:
        status, body, closed = self.answer(request("POST /echo?a=1&b=%20x", b"12345"))
        self.assertEqual(
            (status, body, closed), (200, {"path": "/echo", "query": {"a": "1", "b": " x"}, "length": 5}, False)
        )
        self.assertEqual(self.answer(request("GET /below/one/two"))[1]["path"], "/below/one/two")

    def test_refusals_are_json_and_the_connection_stays_open(self) -> None:
        for sent, status, code in (
            (request("GET /none"), 404, "no-such-path"),
            (request("GET /echo"), 405, "wrong-method"),
            (request("POST /echo", b"x" * 101), 413, "body-too-large"),
            (request("GET /below/%ff"), 400, "malformed"),
            (request("GET /below/x", b"", "X-Long: " + "y" * 1200), 431, "headers-too-large"),
            (
                request("POST /echo", b"", "Transfer-Encoding: chunked") + b"c8\r\n" + b"x" * 200 + b"\r\n0\r\n\r\n",
                413,
                "body-too-large",
            ),
            (request("POST /decode", b"{"), 400, "malformed"),
            (request("POST /decode", b'{"number":"x"}'), 400, "malformed"),
            (request("POST /decode", b"\xff\xfe"), 400, "malformed"),
        ):
            received = self.server_rig.exchange(sent, request("GET /below/after"), timeout=1.0)
            first, second = received.split(b"HTTP/1.1 ")[1:]
            self.assertEqual((int(first[:3]), json.loads(first.split(b"\r\n\r\n")[1])["code"]), (status, code))
            self.assertIn(b"/below/after", second)

    def test_unparsable_requests_close_the_connection(self) -> None:
        for sent, status in (
            (b"nonsense\r\n\r\n", 400),
            (request("POST /echo", b"", "Content-Length: x"), 400),
            (request("POST /echo", b"", "Content-Length: 3, 4") + b"abc", 400),
            (request("POST /echo", b"", "Transfer-Encoding: chunked") + b"zz\r\n", 400),
            (request("POST /large", b"", "Content-Length: 99999999"), 413),
        ):
            answered, _, closed = self.answer(sent, timeout=5.0)
            self.assertEqual((answered, closed), (status, True), sent)
        self.assertEqual(self.server_rig.exchange(b"GET /" + b"x" * 5000), b"|closed")
        self.assertEqual(self.server_rig.servers[0].pending_body_bytes, 0)

    def test_slow_heads_and_bodies_time_out(self) -> None:
        self.assertEqual(self.server_rig.exchange(b"GET /ec", timeout=LIMITS.idle_timeout + 1), b"|closed")
        slow = request("POST /echo", b"", "Content-Length: 50") + b"part"
        self.assertEqual(self.server_rig.exchange(slow, timeout=LIMITS.body_timeout + 1), b"|closed")
        self.assertEqual((self.server_rig.servers[0].pending_body_bytes, self.server_rig.seen), (0, []))

    def test_bodies_and_connections_are_limited_over_all_clients(self) -> None:
        world = self.server_rig.world
        large_head = request("POST /large", b"", "Content-Length: 2000000")

        async def hold(context: Context) -> None:
            stream = (await context.network.connect(self.server_rig.address, LIMITS.idle_timeout)).unwrap()
            await stream.write(large_head)
            await context.clock.sleep(LIMITS.idle_timeout)

        first = world.start("holder", hold, machine="client")
        world.run(0.1)
        self.assertEqual(self.answer(request("POST /large", b"x" * 1_200_000), timeout=5.0)[0], 503)
        world.start("second", hold, machine="client")
        world.start("third", hold, machine="client")
        world.run(0.1)
        self.assertEqual(self.server_rig.exchange(request("GET /below/x")), b"|closed")
        self.assertLessEqual(self.server_rig.servers[0].pending_body_bytes, LIMITS.total_body_bytes)
        for name in ("holder", "second", "third"):
            world.kill(name)
        world.run(0.1)
        self.assertFalse(first.alive)
        self.assertEqual(self.server_rig.servers[0].pending_body_bytes, 0)
        self.assertEqual(self.answer(request("GET /below/x"))[0], 200)

    def test_broken_invariant_gets_a_response_and_stops_the_process(self) -> None:
        status, body, _ = self.answer(request("GET /broken"))
        self.assertEqual((status, body["code"]), (500, "broken"))
        self.assertFalse(self.server_rig.world.processes["served"].alive)
