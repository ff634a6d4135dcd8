"""Many calls to a worker that misbehaves at random, with checks on each call (docs/DESIGN.md section 12.2).

The checks find requests that are sent twice, answers given to the wrong call, truncated answers reported as complete,
and received requests reported as unsent. Clients that are broken on purpose show that the checks detect such faults.
"""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable
from random import Random
from unittest import mock

from returns.result import Failure, Result

from ...identifiers import Seconds
from ..connection_pool import ConnectionLimits
from ..pooled_client import PooledHttpClient
from ..pooled_connection import PooledConnection
from ..protocols import HttpExchange, HttpFault, HttpHead, HttpRequest
from ..response_parser import ResponseParser
from .scripted_worker import (
    ECHO,
    Outcome,
    ReceivedRequest,
    ScriptedWorker,
    Testbed,
    read_answer,
    run_in_simulation,
    run_on_loopback,
)

CALLERS = 6
CALLS = 40
SEEDS = range(8)


class MisbehavingWorker:
    """A worker script that mostly answers correctly. Its stray data is a complete answer to another request."""

    def __init__(self, random: Random) -> None:
        self._random = random

    async def __call__(self, received_request: ReceivedRequest) -> None:
        random = self._random
        if received_request.number > 1 and random.random() < 0.05:
            await received_request.send(received_request.answer(b"body of earlier", id="earlier"))
        await asyncio.sleep(random.choice([0.0, 0.0, 0.001, 0.005]))
        behaviour = random.choices(
            [
                "complete",
                "chunks",
                "no length",
                "truncated",
                "reset",
                "close without answer",
                "stray",
                "close",
                "garbage",
                "early",
            ],
            [50, 15, 4, 4, 4, 4, 5, 5, 2, 2],
        )[0]
        answer = received_request.answer(self.body(received_request.id), "Keep-Alive: timeout=1")
        match behaviour:
            case "complete":
                await received_request.send(answer)
            case "chunks":
                await self._send_chunks(received_request)
            case "stray":
                await received_request.send(answer)
                await asyncio.sleep(random.choice([0.0, 0.001, 0.01]))
                await received_request.send(received_request.answer(b"body of stray", id="stray"))
            case "close":
                await received_request.send(
                    received_request.answer(self.body(received_request.id), "Connection: close")
                )
            case "garbage":
                await received_request.send(random.randbytes(300))
            case _:
                await self._end_connection(received_request, behaviour, answer)

    async def _end_connection(self, received_request: ReceivedRequest, behaviour: str, answer: bytes) -> None:
        match behaviour:
            case "no length":
                head = f"HTTP/1.1 200 OK\r\n{ECHO}: {received_request.id}\r\n\r\n".encode()
                await received_request.send(head + self.body(received_request.id))
                received_request.stream.close()
            case "truncated":
                await received_request.send(answer[: self._random.randint(1, len(answer) - 1)])
                received_request.stream.close()
            case "reset":
                await received_request.send(answer[: self._random.randint(1, len(answer) - 1)])
                received_request.reset()
            case "close without answer":
                received_request.stream.close()
            case "early":
                await received_request.send(answer)
                received_request.reset()
            case _:
                raise AssertionError(behaviour)

    @staticmethod
    def body(id: str) -> bytes:
        return f"body of {id}".encode() * 3

    async def _send_chunks(self, received_request: ReceivedRequest) -> None:
        await received_request.send(
            f"HTTP/1.1 200 OK\r\n{ECHO}: {received_request.id}\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
        )
        for chunk in (self.body(received_request.id)[:5], self.body(received_request.id)[5:]):
            await asyncio.sleep(0.0005)
            await received_request.send(f"{len(chunk):x}\r\n".encode() + chunk + b"\r\n")
        await received_request.send(b"0\r\n\r\n")


def soak(seed: int, make_client: Callable[[Testbed], None] | None = None, on_loopback: bool = False) -> Counts:
    """Runs the callers against the worker; raises AssertionError if a check fails for any call."""
    random = Random(seed)
    worker = ScriptedWorker(MisbehavingWorker(Random(seed + 1000)))
    counts = Counts()

    async def caller(testbed: Testbed, name: str) -> None:
        for number in range(CALLS):
            identifier = f"{name}-{number}"
            within = Seconds(0.02) if random.random() < 0.3 else None
            exchange = testbed.start(b"x" * random.choice([0, 100, 55_000]), id=identifier, reuse_within=within)
            try:
                async with asyncio.timeout(2.0):
                    outcome = await read_answer(exchange)
            except TimeoutError:
                exchange.cancel()
                outcome = await read_answer(exchange)
            check_outcome(identifier, outcome, worker)
            counts.add(outcome)
            await asyncio.sleep(random.choice([0.0, 0.001, 0.004, 0.02]))

    async def scenario(testbed: Testbed) -> None:
        if make_client is not None:
            make_client(testbed)
        async with asyncio.TaskGroup() as group:
            for number in range(CALLERS):
                group.create_task(caller(testbed, f"caller-{number}"))
        pool = testbed.client.pool
        assert pool.open_connections() == pool.idle_connections(), "a reserved place was not released"
        assert testbed.client.calls() == 0
        counts.reused = testbed.client.counts.reused

    limits = ConnectionLimits(per_address=CALLERS)
    if on_loopback:
        run_on_loopback(scenario, worker, limits)
    else:
        run_in_simulation(scenario, worker, limits, seed)
    twice = [identifier for identifier, times in worker.received.items() if times > 1]
    assert not twice, f"sent twice: {twice}"
    return counts


class Counts:
    def __init__(self) -> None:
        self.complete = 0
        self.faults: dict[str, int] = {}
        self.on_reused = 0
        self.reused = 0

    def add(self, outcome: Outcome) -> None:
        if outcome.fault is None:
            self.complete += 1
        else:
            self.faults[outcome.fault.kind] = self.faults.get(outcome.fault.kind, 0) + 1
            self.on_reused += outcome.fault.on_reused_connection


def check_outcome(identifier: str, outcome: Outcome, worker: ScriptedWorker) -> None:
    expected = MisbehavingWorker.body(identifier)
    assert expected.startswith(outcome.body), f"{identifier} got {outcome.body!r}"
    if outcome.fault is None:
        assert outcome.body == expected, f"{identifier} ended with {outcome.body!r}"
        times = worker.received[identifier]
        assert times == 1, f"{identifier} sent twice" if times else f"{identifier} answered and never received"
    elif not outcome.fault.request_sent:
        assert worker.received[identifier] == 0, f"{identifier} was received, but reported as unsent"
    if outcome.fault is not None and outcome.fault.on_reused_connection:
        assert outcome.head is None and outcome.fault.kind == "broken"


class Soak(unittest.TestCase):
    def test_in_simulation(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                counts = soak(seed)
                self.assertGreater(counts.complete, CALLERS * CALLS // 2)
                self.assertGreater(counts.reused, CALLERS * CALLS // 4)
                self.assertGreater(counts.faults["broken"], 0)

    def test_on_loopback(self) -> None:
        counts = soak(1, on_loopback=True)
        self.assertGreater(counts.complete, CALLERS * CALLS // 2)
        self.assertGreater(counts.reused, CALLERS * CALLS // 4)


class ResendingExchange(HttpExchange):
    """Broken on purpose: resends a request that broke on a reused connection, as client libraries do."""

    def __init__(self, client: PooledHttpClient, request: HttpRequest) -> None:
        self._client = client
        self._request = request
        self._exchange = client.start(request)

    async def head(self) -> Result[HttpHead, HttpFault]:
        head = await self._exchange.head()
        if isinstance(head, Failure) and head.failure().on_reused_connection:
            self._exchange = self._client.start(self._request)
            head = await self._exchange.head()
        return head

    async def next_chunk(self) -> Result[bytes | None, HttpFault]:
        return await self._exchange.next_chunk()

    def cancel(self) -> None:
        self._exchange.cancel()

    def request_sent(self) -> bool:
        return self._exchange.request_sent()

    def ended(self) -> bool:
        return self._exchange.ended()


class BrokenVariants(unittest.TestCase):
    def count_objections(self, expected_text: str, make_client: Callable[[Testbed], None] | None = None) -> int:
        """Returns in how many seeds a check fails; each failure must contain the expected text."""
        objections = 0
        for seed in SEEDS:
            try:
                soak(seed, make_client)
            except AssertionError as objection:
                self.assertIn(expected_text, str(objection))
                objections += 1
        return objections

    def test_resending_is_caught(self) -> None:
        def make(testbed: Testbed) -> None:
            testbed.start = lambda body=b"", **more: ResendingExchange(testbed.client, testbed.request(body, **more))  # type: ignore[method-assign]

        self.assertGreater(self.count_objections("sent twice", make), len(SEEDS) // 2)

    def test_skipping_the_echo_check_is_caught(self) -> None:
        with mock.patch.object(ResponseParser, "_is_foreign", lambda self, echoed: False):
            self.assertGreater(self.count_objections(" got b'body of"), len(SEEDS) // 2)

    def test_reusing_ended_or_stray_connections_is_caught(self) -> None:
        """Half of the connections end while they are idle, the other half receive a stray answer."""

        async def answer(received_request: ReceivedRequest) -> None:
            await received_request.send(received_request.answer(MisbehavingWorker.body(received_request.id)))
            await asyncio.sleep(0.001)
            if received_request.connection % 2:
                received_request.stream.close()
            else:
                await received_request.send(received_request.answer(b"stray", id="stray"))

        def count_faults() -> int:
            faults: list[HttpFault] = []

            async def scenario(testbed: Testbed) -> None:
                for _ in range(10):
                    outcome = await testbed.call()
                    faults.extend([outcome.fault] if outcome.fault is not None else [])
                    await asyncio.sleep(0.02)

            run_in_simulation(scenario, ScriptedWorker(answer))
            return len(faults)

        self.assertEqual(count_faults(), 0)
        with (
            mock.patch.object(PooledConnection, "is_reusable", _always_usable),
            mock.patch.object(PooledConnection, "_on_events", _watch_only_in_use(PooledConnection._on_events)),
        ):
            self.assertEqual(count_faults(), 5)


def _always_usable(connection: PooledConnection) -> bool:
    connection.resume_reading()
    return True


def _watch_only_in_use(
    original: Callable[[PooledConnection, object, int], None],
) -> Callable[[PooledConnection, object, int], None]:
    def take(connection: PooledConnection, source: object, events: int) -> None:
        if connection.user is None:
            connection._watch(0)
        else:
            original(connection, source, events)

    return take
