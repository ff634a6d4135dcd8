"""Unexpected errors while one call is handled: the router's other calls are answered (docs/DESIGN.md section 15.4).

Guards against routers that end, or leave callers waiting, because of one call. Each test raises an error at one stage
of one call among concurrent ones; the error comes before or after the method that is patched has run.
"""

from __future__ import annotations

import asyncio
import inspect
import itertools
import unittest
from collections.abc import Callable, Sequence
from typing import Any, Final
from unittest import mock

import msgspec
from tornado.iostream import BaseIOStream, StreamClosedError

from simulation import World
from simulation.world import SimulatedClock

from ...context.pooled_client import PooledHttpClient
from ...context.protocols import HttpClient, Network, Tasks
from ...identifiers import Seconds, ServiceName
from ...limits.protocols import CallRejection
from ..attempt.classifier import AttemptClassifier
from ..attempt.connection import WorkerConnection
from ..attempt.forwarding_attempt import ForwardingAttempt
from ..attempt.relay import ResponseRelay
from ..attempt.timers import AttemptTimers
from ..call_log import CallLog
from ..forward_options import AttemptOptions, ForwardOptions
from ..policies.authentication import AuthenticationPolicy
from ..policies.forwarding import ForwardingPolicy
from ..policies.placement import PlacementPolicy
from ..policies.retry import RetryPolicy
from ..recording import CallRecorder
from ..request_reader import RequestReader
from ..router_responses import RouterResponses
from .fakes import (
    CARDS,
    CHAT,
    CHUNKED,
    DONE,
    PLAIN,
    FakeLedger,
    FakeLimits,
    FakeOutcomes,
    FakePlacement,
    PathWorld,
    Request,
    bundle_of,
    chunk,
    request,
)

POISON: Final = "poison"
UNREACHED: Final = msgspec.structs.replace(PLAIN, name=ServiceName("unreached"))
CALLS_PER_SERVICE: Final = 3
BODY: Final = b"x" * 1000
EVENT: Final = b"data: event\n\n"
WORKER_PAUSE_S: Final = 0.12
"""Between the parts of a worker's answer; above the time for which a head is held."""
ANSWERED_WITHIN_S: Final = 3.0

Patched = tuple[type, str, Callable[..., object]]
"""A class, the name of one of its methods, and a function of the method's arguments that returns the call's path."""


def _call_of(part: Any, *_: object) -> object:
    return part._call.request.path


def _second(_: object, call: Any, *__: object) -> object:
    return call.request.path


STAGES: Final[dict[str, Sequence[Patched]]] = {
    "reading": (
        (RequestReader, "headers_received", lambda _, start_line, __: start_line.path),
        (RequestReader, "data_received", lambda reader, _: reader._start_line.path),
        (RequestReader, "finish", lambda reader: reader._start_line.path),
    ),
    "authentication": ((AuthenticationPolicy, "apply", _second), (AuthenticationPolicy, "still_accepted", _second)),
    "placement": ((PlacementPolicy, "apply", _second), (PlacementPolicy, "_make_turn", _second)),
    "retry": ((RetryPolicy, "apply", _second),),
    "attempt": (
        (ForwardingPolicy, "_new_attempt", _second),
        (ForwardingAttempt, "run", _call_of),
        (WorkerConnection, "_request", lambda connection: connection._parameters.call.request.path),
        (AttemptTimers, "prepare", _call_of),
        (AttemptTimers, "_reached_limit", _call_of),
        (AttemptTimers, "response_started", _call_of),
    ),
    "relay": (
        (ResponseRelay, "begin", _call_of),
        (ResponseRelay, "take", _call_of),
        (ResponseRelay, "write", _call_of),
        (ResponseRelay, "send_head", _call_of),
        (ResponseRelay, "finish", _call_of),
    ),
    "reporting": (
        (AttemptClassifier, "report_response", _call_of),
        (AttemptClassifier, "completed", _call_of),
    ),
    "recording": ((CallLog, "add", _second), (CallRecorder, "record", _second)),
}
SHARED: Final = (
    (FakePlacement, "choose", "placement"),
    (FakePlacement, "finished", "placement"),
    (FakePlacement, "confirm", "registry"),
    (FakeOutcomes, "begin", "registry"),
    (FakeOutcomes, "succeeded", "registry"),
    (FakeLimits, "take_share", "limits"),
    (FakeLimits, "record_call", "limits"),
    (FakeLedger, "claim", "ledger"),
    (PooledHttpClient, "start", "HTTP client"),
)
"""Methods of components that all calls share, with the name of the component."""


class InjectedError(Exception):
    """The error that a test raises."""


def raising(owner: type, name: str, is_target: Callable[..., bool], after: bool) -> Any:
    """Patches a method to raise, before or after it has run, where ``is_target`` says so of its arguments."""
    original = getattr(owner, name)

    def check(arguments: tuple[object, ...]) -> None:
        if is_target(*arguments):
            raise InjectedError(name)

    def patched(*arguments: object) -> object:
        if not after:
            check(arguments)
        result = original(*arguments)
        if after:
            check(arguments)
        return result

    async def patched_coroutine(*arguments: object) -> object:
        if not after:
            check(arguments)
        result = await original(*arguments)
        if after:
            check(arguments)
        return result

    return mock.patch.object(owner, name, patched_coroutine if inspect.iscoroutinefunction(original) else patched)


class Answer(msgspec.Struct):
    """What one caller got: a complete answer, or the end of its connection; neither if it was left waiting."""

    path: str
    status: int = 0
    complete: bool = False
    closed: bool = False
    body: bytes = b""


class ConcurrentCalls:
    """A router with one poisoned call of each service among others."""

    def __init__(self, test: unittest.TestCase) -> None:
        self.world = World(seed=31).__enter__()
        test.addCleanup(self.world.close)
        self.clients: list[PooledHttpClient] = []
        self.world.http_client = self._new_client
        options = ForwardOptions(attempt=AttemptOptions(reuse_connections=True))
        self.path = PathWorld(self.world, options)
        services = [msgspec.structs.replace(each, first_byte_timeout=Seconds(2.0)) for each in (CHAT, CARDS, PLAIN)]
        self.path.bundle.bundle = bundle_of(services)
        self.worker = self.path.worker("w1", self._answer)
        self.worker.keep_alive = True

    def run(self) -> list[Answer]:
        """Makes all calls at once; returns the answers after ``ANSWERED_WITHIN_S``."""
        answers: list[Answer] = []
        for service in ("chat", "cards", "plain"):
            paths = [f"/{service}/{POISON}", *(f"/{service}/{number}" for number in range(CALLS_PER_SERVICE))]
            answers += [Answer(path) for path in paths]
        for answer in answers:
            self.world.loop.create_task(self.ask(answer), name=answer.path)
        self.world.run(ANSWERED_WITHIN_S)
        return answers

    def _new_client(self, network: Network, tasks: Tasks) -> HttpClient:
        client = PooledHttpClient(network, SimulatedClock(self.world), tasks)
        self.clients.append(client)
        return client

    async def ask(self, answer: Answer) -> None:
        caller = await self.path.send(request(answer.path, BODY, Idempotency_Key=answer.path, X_Request_Id=answer.path))
        try:
            reply = await caller.reply()
        except StreamClosedError:
            answer.closed = True
            return
        answer.status, answer.complete, answer.body = reply.status, reply.complete, reply.body()
        answer.closed = caller.stream.closed()

    async def _answer(self, stream: BaseIOStream, received: Request) -> None:
        await asyncio.sleep(WORKER_PAUSE_S)
        if " /chat/" in received.head:
            await stream.write(CHUNKED + chunk(EVENT))
            await asyncio.sleep(WORKER_PAUSE_S)
            await stream.write(chunk(EVENT + DONE) + b"0\r\n\r\n")
            return
        await stream.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BODY))
        await asyncio.sleep(WORKER_PAUSE_S)
        await stream.write(BODY)


class ErrorsOfOneCall(unittest.TestCase):
    def play(self, stage: str) -> None:
        for (owner, name, path_of), after in itertools.product(STAGES[stage], (False, True)):
            with self.subTest(stage=stage, method=f"{owner.__name__}.{name}", after=after):
                self.play_one(owner, name, path_of, after)

    def play_one(self, owner: type, name: str, path_of: Callable[..., object], after: bool) -> None:
        with raising(owner, name, lambda *arguments: POISON in str(path_of(*arguments)), after):
            calls = ConcurrentCalls(self)
            answers = calls.run()
        for answer in answers:
            if POISON in answer.path:
                self.assertTrue(answer.complete or answer.closed, answer)
            else:
                whole = EVENT + EVENT + DONE if answer.path.startswith("/chat") else BODY
                self.assertEqual((answer.status, answer.complete, answer.body), (200, True, whole), answer)
        self.assert_nothing_left(calls)

    def assert_nothing_left(self, calls: ConcurrentCalls) -> None:
        path = calls.path
        self.assertTrue(path.router.alive)
        self.assertEqual(path.path.in_flight(), 0)
        self.assertEqual(path.placement.running, 0)
        self.assertEqual(sum(client.calls() for client in calls.clients), 0)
        self.assertNotIn("running", path.ledger.table.values())
        targets = [received.head.split(" ")[1] for received in calls.worker.requests]
        self.assertEqual(len(targets), len(set(targets)), "no call ran twice")
        failed = [event.fields for event in calls.world.events if event.name == "call-failed"]
        self.assertGreater(len(failed), 0)
        self.assertEqual(path.metrics.get_sample_value("wingwood_calls_failed_total"), len(failed))
        self.assertTrue(all("InjectedError" in str(event["trace"]) for event in failed))
        self.assertEqual(len(calls.world.broken_invariants), len(failed), calls.world.broken_invariants)
        self.assertEqual(path.call("/plain", BODY).status, 200)

    def test_reading(self) -> None:
        self.play("reading")

    def test_authentication(self) -> None:
        self.play("authentication")

    def test_placement(self) -> None:
        self.play("placement")

    def test_retry(self) -> None:
        self.play("retry")

    def test_attempt(self) -> None:
        self.play("attempt")

    def test_relay(self) -> None:
        self.play("relay")

    def test_reporting(self) -> None:
        self.play("reporting")

    def test_recording(self) -> None:
        self.play("recording")

    def test_rejection(self) -> None:
        """The answer to a call that is rejected can't be made."""
        for after in (False, True):
            with raising(RouterResponses, "send", lambda _, call, __: POISON in call.request.path, after):
                calls = ConcurrentCalls(self)
                calls.path.bundle.bundle = bundle_of([CHAT, CARDS, PLAIN, UNREACHED])
                refused = Answer(f"/unreached/{POISON}")
                calls.path.limits.too_late = CallRejection(Seconds(1.0))
                calls.world.loop.create_task(calls.ask(refused), name="refused")
                calls.world.run(1.0)
                calls.path.limits.too_late = None
            self.assertTrue(refused.complete or refused.closed, refused)
            self.assert_nothing_left(calls)


class ErrorsOfSharedComponents(unittest.TestCase):
    def test_error_inside_a_shared_component_ends_the_process(self) -> None:
        """Its state may be half changed, so that the other calls can not rely on it any more."""
        for owner, name, component in SHARED:
            with self.subTest(component=component, method=f"{owner.__name__}.{name}"):
                left = [1]

                def once(*_: object, left: list[int] = left) -> bool:
                    return left.pop() == 1 if left else False

                with raising(owner, name, once, after=True):
                    calls = ConcurrentCalls(self)
                    answers = calls.run()
                self.assertFalse(calls.path.router.alive)
                self.assertIn(f"{component}: InjectedError", str(calls.path.router.stopped_because))
                self.assertTrue(all(answer.complete or answer.closed for answer in answers), answers)
                targets = [received.head.split(" ")[1] for received in calls.worker.requests]
                self.assertEqual(len(targets), len(set(targets)), "no call ran twice")
