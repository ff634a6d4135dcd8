"""The caller edge: limits, rejections, connection reuse, draining (docs/DESIGN.md section 12.3).

Guards against callers that exhaust the router (floods of headers, bodies or connections, slow senders), requests that
are accepted without authentication, and calls that are lost without an answer when a router is full or drains.
"""

from __future__ import annotations

import asyncio
import unittest

import msgspec
from tornado.iostream import StreamClosedError

from simulation import World
from simulation.endpoint import BUFFER_BYTES

from ...identifiers import Seconds, ServiceName
from ...limits.protocols import CallRejection
from ..forward_options import CallerOptions, ForwardOptions, RequestLimits
from .fakes import (
    CHUNKED,
    KEY,
    OK,
    OTHER_KEY,
    PLAIN,
    Caller,
    PathWorld,
    Reply,
    ScriptedWorker,
    bundle_of,
    chunk,
    request,
    responds,
    sends,
    streams,
)

FORBIDDEN = msgspec.structs.replace(PLAIN, name=ServiceName("forbidden"))
SMALL = ForwardOptions(
    caller=CallerOptions(
        request_limits=RequestLimits(head_bytes=2048, body_bytes=10_000),
        max_buffered_body_bytes=25_000,
        max_connections=20,
    ),
    max_in_flight=8,
)


class EdgeCase(unittest.TestCase):
    options = SMALL

    def setUp(self) -> None:
        self.world = World(seed=12).__enter__()
        self.addCleanup(self.world.close)
        self.path = PathWorld(self.world, self.options)
        self.worker: ScriptedWorker = self.path.worker("w1", responds(b"answer"))

    def tearDown(self) -> None:
        self.world.run(0.1)
        self.assertEqual(self.world.broken_invariants, [])

    def exchange(self, *parts: bytes | float) -> tuple[Reply, float, bool]:
        """Sends the parts with pauses; returns the answer, its time and whether the connection stayed open."""

        async def run() -> tuple[Reply, float, bool]:
            caller = await self.path.connect()
            started = self.world.now

            async def send() -> None:
                for part in parts:
                    if isinstance(part, bytes):
                        caller.send(part)
                    else:
                        await asyncio.sleep(part)

            sending = asyncio.ensure_future(send())
            reply = await caller.reply()
            sending.cancel()
            await asyncio.sleep(2.0)
            return reply, reply.at - started, not caller.stream.closed()

        return self.world.complete(run())

    def assert_rejected(self, code: str, status: int, *parts: bytes | float) -> float:
        """Checks that the router rejects the parts and closes the connection; returns the time of the rejection."""
        reply, seconds, stays = self.exchange(*parts)
        self.assertEqual((reply.status, reply.json()["code"], reply.json()["run"]), (status, code, "not-run"))
        self.assertEqual(reply.headers["wingwood-answer"], "router")
        self.assertFalse(stays)
        return seconds


class Rejections(EdgeCase):
    def test_malformed_requests(self) -> None:
        for data in (
            b"nonsense\r\n\r\n",
            b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
            b"POST /chat HTTP/2.0\r\n\r\n",
            b"POST /chat HTTP/1.1\r\nno colon\r\n\r\n",
            b"POST /chat HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n",
            b"POST /chat HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
            b"POST /chat HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"POST /chat HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n",
            b"POST /chat HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            b"POST /chat HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1" * 200,
            b"POST /chat HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcde\r\n",
        ):
            with self.subTest(data=data):
                self.assert_rejected("malformed-request", 400, data)
        self.assertEqual(self.worker.requests, [])

    def test_header_floods(self) -> None:
        self.assert_rejected("headers-too-large", 431, b"POST /chat HTTP/1.1\r\n" + b"X: y\r\n" * 1000)
        self.assert_rejected("headers-too-large", 431, b"POST /chat HTTP/1.1\r\nX: " + b"y" * 3000 + b"\r\n\r\n")

    def test_large_bodies(self) -> None:
        self.assert_rejected("body-too-large", 413, request(body=b"x" * 10_001))
        head = request(Content_Length="99999999999999999999")
        self.assert_rejected("body-too-large", 413, head)
        head = request(Content_Length="", Transfer_Encoding="chunked").removesuffix(b"{}")
        self.assert_rejected("body-too-large", 413, head, *[chunk(b"x" * 1000)] * 11)
        self.assertEqual(self.exchange(request("/plain", body=b"x" * 10_000))[0].status, 200)

    def test_total_size_of_buffered_bodies_is_limited(self) -> None:
        async def run() -> tuple[int, int]:
            callers = [await self.path.send(request("/plain", body=b"x" * 10_000)[:-1]) for _ in range(2)]
            rejected = await (await self.path.send(request("/plain", body=b"x" * 10_000))).reply()
            for caller in callers:
                caller.send(b"x")
                self.assertEqual((await caller.reply()).status, 200)
            return rejected.status, (await (await self.path.send(request("/plain", body=b"x" * 10_000))).reply()).status

        self.assertEqual(self.world.complete(run()), (503, 200))

    def test_slow_senders(self) -> None:
        drip: list[bytes | float] = [b"POST /chat HTTP/1.1\r\n"]
        for _ in range(100):
            drip += [b"X: y\r\n", 1.0]
        seconds = self.assert_rejected("too-slow", 408, *drip)
        self.assertAlmostEqual(seconds, SMALL.caller.request_limits.head_timeout, delta=0.1)
        drip = [request(body=b"x" * 1000)[:-1000]]
        for _ in range(100):
            drip += [b"x", 1.0]
        self.assertLess(self.assert_rejected("too-slow", 408, *drip), SMALL.caller.body_timeout + 1)

    def test_connections_are_limited_and_idle_ones_are_closed(self) -> None:
        async def run() -> list[Caller]:
            return [await self.path.connect() for _ in range(20)]

        callers = self.world.complete(run())
        self.world.run(0.1)
        self.assertEqual(self.exchange()[0].status, 503)
        self.world.run(SMALL.caller.request_limits.idle_timeout)
        self.assertTrue(all(caller.stream.closed() for caller in callers))
        self.assertEqual(self.path.call("/plain").status, 200)

    def test_rejections_of_authentication(self) -> None:
        for code, status, data in (
            ("key-missing", 401, request(Authorization="")),
            ("key-missing", 401, request(Authorization="Basic abc")),
            ("key-unknown", 401, request(Authorization="Bearer wrong")),
            ("no-route", 404, request("/nowhere")),
            ("no-route", 404, request("/chatter")),
            ("method-not-allowed", 405, request(method="GET", Content_Length="", body=b"")),
            ("path-malformed", 400, request("/chat/../cards")),
            ("path-malformed", 400, request("/chat/%2e%2e/cards")),
            ("path-malformed", 400, request("//chat")),
            ("path-malformed", 400, request("http://elsewhere/chat")),
            ("prefix-malformed", 400, request(Prefix="a//b")),
            ("prefix-malformed", 400, request(Prefix="x" * 1500)),
        ):
            with self.subTest(code=code, data=data):
                reply, _, stays = self.exchange(data)
                self.assertEqual((reply.status, reply.json()["code"], stays), (status, code, True))
        self.path.bundle.bundle = bundle_of([*bundle_of().services.values(), FORBIDDEN])
        self.assertEqual(self.path.call("/forbidden").json()["code"], "service-not-allowed")
        self.assertEqual(self.path.call("/forbidden", Authorization=f"Bearer {OTHER_KEY}").status, 200)
        self.path.bundle.serving = False
        self.assertEqual(self.path.call().json()["code"], "bundle-not-proven")
        self.path.bundle.serving, self.path.bundle.bundle = True, None
        self.assertEqual(self.path.call().json()["code"], "bundle-not-proven")
        self.assertEqual(self.path.limits.shares_taken, 1)

    def test_run_is_unknown_for_a_key_that_the_ledger_was_not_asked_about(self) -> None:
        """An earlier call with this idempotency key may have run on another router."""
        self.path.limits.share_refused = CallRejection(Seconds(2.5))
        reply = self.path.call("/cards", b"{}", Idempotency_Key="k")
        self.assertEqual((reply.status, reply.json()["run"], reply.headers["retry-after"]), (429, "unknown", "3"))
        self.assertEqual(reply.json()["retry_after"], 2.5)
        self.assertEqual(self.path.call("/plain", b"{}", Idempotency_Key="k").json()["run"], "not-run")
        self.assertEqual(self.path.call("/chat").json()["run"], "not-run")

    def test_call_with_a_late_predicted_first_token_is_rejected(self) -> None:
        self.path.limits.too_late = CallRejection(Seconds(1.0))
        reply = self.path.call()
        self.assertEqual((reply.status, reply.json()["code"]), (503, "too-late"))
        self.assertEqual((self.worker.connections, self.path.placement.running), (0, 0))


class Connections(EdgeCase):
    def test_each_call_of_a_connection_is_authenticated(self) -> None:
        async def run() -> list[int]:
            caller = await self.path.connect()
            statuses = []
            for key in (KEY, "wrong", KEY):
                caller.send(request("/plain", Authorization=f"Bearer {key}"))
                statuses.append((await caller.reply()).status)
            self.path.bundle.bundle = bundle_of(keys=())
            caller.send(request("/plain"))
            return [*statuses, (await caller.reply()).status]

        self.assertEqual(self.world.complete(run()), [200, 401, 200, 401])

    def test_pipelined_calls_are_answered_in_order(self) -> None:
        async def run() -> list[str]:
            caller = await self.path.connect()
            caller.send(request("/plain", X_Request_Id="one") + request("/plain", X_Request_Id="two")[:30])
            first = await caller.reply()
            caller.send(request("/plain", X_Request_Id="two")[30:])
            return [reply.headers["x-request-id"] for reply in (first, await caller.reply())]

        self.assertEqual(self.world.complete(run()), ["one", "two"])

    def test_answer_to_http_1_0_ends_by_closing(self) -> None:
        self.worker.script = streams(3)
        data = request(Connection="keep-alive").replace(b"HTTP/1.1", b"HTTP/1.0")
        reply, _, stays = self.exchange(data)
        self.assertIn(b"[DONE]", reply.raw)
        self.assertNotIn("transfer-encoding", reply.headers)
        self.assertNotEqual(reply.headers.get("connection", "").lower(), "keep-alive")
        self.assertFalse(stays)

    def test_connection_close_is_respected(self) -> None:
        reply, _, stays = self.exchange(request("/plain", Connection="close"))
        self.assertEqual((reply.status, reply.headers["connection"], stays), (200, "close", False))

    def test_request_in_single_bytes_and_chunks(self) -> None:
        head = request("/plain", Content_Length="", Transfer_Encoding="chunked").removesuffix(b"{}")
        data = head + chunk(b"ab") + b"3;x=y\r\ncde\r\n" + b"0\r\n\r\n"
        reply, _, stays = self.exchange(*[data[index : index + 1] for index in range(len(data))])
        if reply.status == 200:
            self.assertEqual((self.worker.requests[0].body, stays), (b"abcde", True))
        else:
            self.assertEqual(reply.status, 400)  # Tornado does not accept chunk extensions.
        data = head + chunk(b"ab") + chunk(b"cde") + b"0\r\n\r\n"
        reply, _, stays = self.exchange(*[data[index : index + 1] for index in range(len(data))])
        self.assertEqual((reply.status, self.worker.requests[-1].body, stays), (200, b"abcde", True))

    def test_caller_that_expects_100_continue(self) -> None:
        async def run() -> Reply:
            caller = await self.path.send(request("/plain", body=b"hello", Expect="100-continue")[:-5])
            self.assertIn(b" 100 ", await caller.stream.read_until(b"\r\n\r\n"))
            caller.send(b"hello")
            return await caller.reply()

        self.assertEqual(self.world.complete(run()).status, 200)
        self.assertIsNone(self.worker.requests[0].header("Expect"))

    def test_request_ids(self) -> None:
        request_ids = [
            self.path.call("/plain", b"{}", X_Request_Id=name).headers["x-request-id"] for name in ("r 1", "r" * 200)
        ]
        self.assertTrue(all(len(name) == 16 for name in request_ids))
        self.assertEqual(self.path.call("/plain", b"{}", X_Request_Id="r-1").headers["x-request-id"], "r-1")

    def test_caller_disconnects_while_it_sends(self) -> None:
        async def run() -> None:
            caller = await self.path.send(request("/plain", body=b"x" * 9000)[:-10])
            await asyncio.sleep(0.1)
            caller.stream.close()
            await asyncio.sleep(0.1)

        self.world.complete(run())
        self.assertEqual((self.worker.connections, self.path.path._edge.state.buffered_body_bytes), (0, 0))
        self.assertEqual(self.path.path._edge.connections(), 0)


class CrowdedRouter(EdgeCase):
    """One tenant's flood must not keep out the calls of others."""

    def test_flooded_router_rejects_at_once_and_leaves_capacity_for_other_tenants(self) -> None:
        self.worker.script = sends(1.0, CHUNKED + chunk(b"data: [DONE]\n\n") + b"0\r\n\r\n")

        async def run() -> tuple[list[int], list[int]]:
            flood = [await self.path.send(request()) for _ in range(18)]
            await asyncio.sleep(0.2)
            others = [await self.path.send(request(Authorization=f"Bearer {OTHER_KEY}")) for _ in range(2)]
            replies = [await caller.reply() for caller in [*flood, *others]]
            return [reply.status for reply in replies[:18]], [reply.status for reply in replies[18:]]

        flood, others = self.world.complete(run())
        self.assertEqual((flood.count(200), flood.count(503)), (6, 12))
        self.assertEqual(others, [200, 200])

    def test_no_wait_before_a_rejection(self) -> None:
        self.worker.script = sends(5.0, OK + b"Content-Length: 0\r\n\r\n")

        async def run() -> float:
            for _ in range(6):
                await self.path.send(request("/plain"))
            await asyncio.sleep(0.1)
            started = self.world.now
            reply = await (await self.path.send(request("/plain"))).reply()
            self.assertEqual((reply.status, reply.json()["code"]), (503, "crowded"))
            self.assertEqual(reply.headers["retry-after"], "1")
            return self.world.now - started

        self.assertLess(self.world.complete(run()), 0.01)


class LifeCycle(EdgeCase):
    def test_drain_finishes_streams_and_rejects_new_calls(self) -> None:
        self.worker.script = streams(30, pause=0.1)

        async def run() -> tuple[Reply, Reply, Reply, float]:
            running = await self.path.send(request())
            idle = await self.path.connect()
            await asyncio.sleep(0.1)
            self.assertTrue(self.path.path.ready())
            drained = asyncio.ensure_future(self.path.path.drain())
            await asyncio.sleep(0.1)
            self.assertFalse(self.path.path.ready())
            self.worker.script = responds(b"late")
            early = await (await self.path.send(request("/plain"))).reply()
            await asyncio.sleep(0.5)
            with self.assertRaises(StreamClosedError):
                await idle.stream.read_bytes(1)
            self.assertLess(self.world.now, 1.5)
            complete = await running.reply()
            await drained
            return early, complete, early, self.world.now

        early, complete, _, now = self.world.complete(run())
        self.assertEqual((early.status, early.headers["connection"]), (200, "close"))
        self.assertTrue(complete.complete)
        self.assertLess(now, 4.0)

    def test_calls_that_arrive_while_a_draining_router_is_frozen_are_answered(self) -> None:
        self.world.spawn(self.path.router, self.path.path.drain(), "drain")
        self.world.run(0.01)
        self.world.freeze("router")
        caller = self.world.complete(self.path.send(request("/plain")))
        self.world.run(2.0)
        self.world.wake("router")
        self.assertEqual(self.world.complete(caller.reply()).status, 200)

    def test_drain_visibly_aborts_what_does_not_end_in_time(self) -> None:
        self.worker.script = streams(10_000, pause=0.1)

        async def run() -> tuple[Reply, float]:
            running = await self.path.send(request())
            await asyncio.sleep(0.1)
            await self.path.path.drain()
            drained = self.world.now
            return await running.reply(), drained

        reply, drained = self.world.complete(run())
        self.assertFalse(reply.complete)
        self.assertLess(drained, 5.3)
        self.world.run(0.2)
        self.assertEqual(self.path.path.in_flight(), 0)

    def test_call_without_answer_is_refused_when_the_router_stops(self) -> None:
        self.worker.script = sends(keep_open=True)
        self.path.bundle.bundle = bundle_of([msgspec.structs.replace(PLAIN, first_byte_timeout=Seconds(20.0))])

        async def run() -> Reply:
            running = await self.path.send(request("/plain"))
            await self.path.path.drain()
            return await running.reply()

        reply = self.world.complete(run())
        self.assertEqual((reply.status, reply.json()["code"], reply.json()["run"]), (503, "router-stopping", "unknown"))
        self.world.run(0.2)
        self.assertEqual((len(self.worker.closed_by_router), self.path.path.in_flight()), (1, 0))

    def test_caller_that_reads_nothing_does_not_hold_up_a_stop(self) -> None:
        """The rejection of one call waited for its caller's full connection, and all others had no answer."""
        service = msgspec.structs.replace(PLAIN, first_byte_timeout=Seconds(20.0), chunk_timeout=Seconds(30.0))
        self.path.bundle.bundle = bundle_of([service])
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"

        async def run() -> tuple[Reply, float]:
            self.worker.script = sends(head % 100_000, b"x" * 100_000)
            measured = await self.path.send(request("/plain"))
            unread = BUFFER_BYTES - len(await measured.stream.read_until(b"\r\n\r\n")) - 10
            self.worker.script = sends(head % unread, b"x" * unread)
            slow = await self.path.connect(reads_ahead=False)
            slow.send(request("/plain"))
            await asyncio.sleep(0.1)
            self.worker.script = sends(keep_open=True)
            slow.send(request("/plain"))
            await asyncio.sleep(0.1)
            other = await self.path.send(request("/plain"))
            await asyncio.sleep(0.1)
            self.assertEqual([self.path.path.in_flight(), len(self.worker.requests)], [2, 4])
            await asyncio.wait_for(self.path.path.drain(), 8.0)
            return await other.reply(), self.world.now

        reply, drained = self.world.complete(run())
        self.assertEqual((reply.status, reply.json()["code"]), (503, "router-stopping"))
        self.assertLess(drained, 6.0)

    def test_slow_shares_or_ledger_do_not_leave_callers_unanswered(self) -> None:
        for path, slow, run in (("/plain", self.path.limits, "not-run"), ("/cards", self.path.ledger, "unknown")):
            slow.delay = Seconds(30.0)
            reply = self.path.call(path, b"{}", Idempotency_Key="k")
            self.assertEqual((reply.status, reply.json()["code"], reply.json()["run"]), (504, "patience-passed", run))
            slow.delay = Seconds(0.0)
        self.assertLess(self.world.now, 8.0)
        self.world.run(60.0)
        self.assertEqual((self.worker.connections, self.path.ledger.table), (0, {}))
        self.assertEqual([line["status"] for line in self.path.log_lines()], [504, 504])

    def test_chain_is_described_and_each_call_is_logged_and_recorded(self) -> None:
        self.assertEqual(
            [name for name, _ in self.path.path.describe()],
            [
                "starting",
                "authentication",
                "draining",
                "patience",
                "paid-share",
                "admission",
                "at-most-once",
                "retry",
                "placement",
                "forwarding",
            ],
        )
        self.assertTrue(all(what for _, what in self.path.path.describe()))
        self.path.call("/plain?secret=1", b"the body", Prefix="shared/private-session")
        line = self.path.log_lines()[0]
        self.assertEqual((line["tenant"], line["service"], line["outcome"]), ("estate", "plain", "answered"))
        written = str(line) + self.path.recorded[0].decode()
        for secret in (KEY, "the body", "private-session", "secret=1"):
            self.assertNotIn(secret, written)
        self.assertIn('"body_bytes":8', written)
        self.assertEqual(
            self.path.metrics.get_sample_value("wingwood_calls_total", {"service": "plain", "outcome": "answered"}), 1
        )
