"""Calls whose router handles several events in one iteration of its event loop, in any order.

The router is frozen around a moment at which these events are due. When it continues, the callbacks that became due
meanwhile run in the order under test, within one iteration or in two consecutive ones. The edge, the chain, the
attempts and the HTTP client are those of the product, on simulated connections.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections.abc import Awaitable, Callable, Iterator, Sequence
from http import HTTPStatus
from typing import Final, Literal

import msgspec
from tornado.iostream import BaseIOStream, StreamClosedError

from simulation import NetworkShape, World
from simulation.virtual_time import VirtualHandle
from simulation.world import SimulatedClock

from ...bundle.model import Service
from ...context.pooled_client import PooledHttpClient
from ...context.protocols import HttpClient, Network, Tasks
from ...context.socket_options import close_with_reset
from ...identifiers import PoolName, Seconds, ServiceName
from ..formats import Formats
from ..forward_options import ForwardOptions
from ..request_path import DEFAULT_FORMATS
from .fakes import (
    CHUNKED,
    DONE,
    Caller,
    PathWorld,
    Reply,
    Request,
    ScriptedWorker,
    bundle_of,
    chunk,
    request,
)

FREEZE_BEFORE_S: Final = 0.005
"""How long before the moment the router is frozen: everything in flight arrives within this time."""
SEND_BEFORE_S: Final = 0.002
"""How long before the moment workers, callers and operators act, so that it arrives before the moment."""
DRAIN_STARTS_AFTER_S: Final = 0.03
"""A drain whose time is over at the moment starts so long after the receipt of the call."""
ANSWER_WITHIN_S: Final = 0.5
"""A caller has its answer, or a closed connection, this long after the deadline of its call (CONFIG)."""
SETTLE_S: Final = 15.0
"""Time after the deadline until nothing of the call may be left."""
MAX_PERMUTED: Final = 5
"""Callbacks up to which all orders are played; with more, each pair of callbacks is played in both orders."""

Order = tuple[tuple[int, ...], ...]
"""Indexes of the callbacks, grouped by iteration."""


EVENTS: Final = b"id: 1\ndata: a\n\n"
LAST_EVENT: Final = b"id: 2\ndata: b\n\n"
SECOND_BODY: Final = b"second"
SECOND_ANSWER: Final = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n" + SECOND_BODY
SECOND_STREAM: Final = CHUNKED + chunk(EVENTS + LAST_EVENT + DONE) + b"0\r\n\r\n"
"""What the second worker answers."""


class Script(msgspec.Struct, frozen=True, kw_only=True):
    """What a worker sends: ``before`` at once, ``at_moment`` so that it arrives at the moment, then an end."""

    before: bytes = b""
    at_moment: bytes = b""
    end: Literal["open", "close", "reset"] = "open"
    body: bytes = b""
    """The body of the complete answer, without its transfer encoding."""
    not_run: bool = False
    """Whether the worker states that it did not run the call."""


class Case(msgspec.Struct, frozen=True, kw_only=True):
    """A call, what its first worker sends, and what else happens at the moment."""

    name: str
    service: Service
    options: ForwardOptions
    formats: Formats = DEFAULT_FORMATS
    moment: Seconds
    """When the events are due, counted from the receipt of the call."""
    script: Script
    retry: Literal["none", "answers", "silent"] = "none"
    """What a second worker does; there is none with ``none``."""
    caller: Literal["stays", "leaves", "resets", "slow"] = "stays"
    router: Literal["serves", "drains", "stops"] = "serves"
    """Whether at the moment the time of a drain is over, or all connections are closed (``stops``)."""
    arrival: Literal["before", "whole", "end of head", "end of body"] = "before"
    """What of the call arrives at the moment, over a connection that was used before; ``before``: it came earlier."""
    stall: Seconds = Seconds(0.01)
    """How long after the moment the router continues."""
    share_wait: Seconds = Seconds(0.0)
    ledger_wait: Seconds = Seconds(0.0)
    confirm_wait: Seconds = Seconds(0.0)
    placement_wait: Seconds = Seconds(0.0)
    retry_placement_wait: Seconds = Seconds(0.0)


class Outcome(msgspec.Struct, kw_only=True):
    """What the caller got and what is left in the router."""

    callbacks: list[str]
    """What became due while the router was frozen."""
    reply: Reply | None = None
    runs: int = 0
    """How many workers received the call, without those that reported that they did not run it."""
    problems: list[str] = []


def orders(count: int, two_iterations: bool) -> Iterator[Order]:
    """Returns all orders of so many callbacks, with ``two_iterations`` also each division into two iterations."""
    if count <= MAX_PERMUTED:
        permutations: list[tuple[int, ...]] = list(itertools.permutations(range(count)))
    else:
        natural = tuple(range(count))
        permutations = [natural, natural[::-1]]
        for moved, place in itertools.product(range(count), range(count)):
            rest = [index for index in natural if index != moved]
            permutations.append((*rest[:place], moved, *rest[place:]))
        permutations = list(dict.fromkeys(permutations))
    for permutation in permutations:
        yield (permutation,)
        if two_iterations:
            for middle in range(1, count):
                yield (permutation[:middle], permutation[middle:])


class IterationWorld:
    """One run of a case with one order."""

    def __init__(self, case: Case, order: Order | None) -> None:
        self._case = case
        self._order = order
        self._callbacks: list[str] = []
        self._received_at = 0.0
        self._moment = 0.0
        self._caller: Caller
        self._reply: Reply | None = None
        self._clients: list[PooledHttpClient] = []

    def play(self) -> Outcome:
        """Plays the case and returns what the caller got; ``problems`` names the rules that were broken."""
        case = self._case
        shape = NetworkShape(split_chance=0.0, jitter=0.0)
        with World(seed=1, shape=shape) as world:
            self._world = world
            world.http_client = self._new_client
            drain_time = max(0.1, case.moment - DRAIN_STARTS_AFTER_S)
            self._path = PathWorld(world, case.options, stop_within=drain_time, formats=case.formats)
            self._path.bundle.bundle = bundle_of([case.service])
            self._path.limits.delay = case.share_wait
            self._path.ledger.delay = case.ledger_wait
            self._path.placement.confirm_wait = case.confirm_wait
            self._path.placement.waits = [case.placement_wait, case.retry_placement_wait]
            first = self._path.worker("w1", self._worker_script(case.script))
            workers = [first]
            if case.retry != "none":
                workers.append(self._path.worker("w2", self._second_script()))
            self._received_at = world.now + 0.01
            self._moment = self._received_at + case.moment
            world.at(self._received_at - 0.001, self._send)
            if case.router == "drains":
                world.at(self._moment - drain_time, self._drain)
            world.at(self._moment - FREEZE_BEFORE_S, lambda: world.freeze("router"))
            world.at(self._moment - SEND_BEFORE_S, self._act)
            world.at(self._moment + case.stall, lambda: world.wake("router", self._arrange))
            arrives_at = self._received_at if case.arrival == "before" else self._moment
            world.run_until(arrives_at + case.service.deadline + ANSWER_WITHIN_S)
            outcome = Outcome(callbacks=self._callbacks, problems=[])
            self._judge_caller(outcome)
            world.run(SETTLE_S)
            self._judge_rest(outcome, workers)
            return outcome

    def _new_client(self, network: Network, tasks: Tasks) -> HttpClient:
        client = PooledHttpClient(network, SimulatedClock(self._world), tasks)
        self._clients.append(client)
        return client

    def _arrange(self, handles: Sequence[VirtualHandle]) -> Sequence[Sequence[VirtualHandle]]:
        self._callbacks = [_name_of(handle) for handle in handles]
        order: Order = (tuple(range(len(handles))),) if self._order is None else self._order
        assert sorted(itertools.chain(*order)) == list(range(len(handles))), "the run is deterministic"
        return [[handles[index] for index in iteration] for iteration in order]

    def _send(self) -> None:
        async def run() -> None:
            call = request(f"/{self._case.service.name}", Idempotency_Key="k")
            if self._case.arrival == "before":
                self._caller = await self._path.send(call, reads_ahead=self._case.caller != "slow")
            else:
                self._caller = await self._path.send(request("/unknown"))
                await self._caller.reply()
            if self._case.caller == "slow":
                await asyncio.sleep(self._case.service.deadline + ANSWER_WITHIN_S / 2)
            with contextlib.suppress(StreamClosedError):
                if self._case.arrival != "before":
                    await self._send_late(call)
                self._reply = await self._caller.reply()

        self._world.loop.create_task(run(), name="caller")

    async def _send_late(self, call: bytes) -> None:
        """Sends ``call`` at the moment over a connection on which another one was rejected, or only the end of it."""
        before = {"whole": 0, "end of head": call.index(b"\r\n\r\n") + 3, "end of body": len(call) - 1}[
            self._case.arrival
        ]
        if before:
            self._caller.send(call[:before])
        await asyncio.sleep(self._moment - SEND_BEFORE_S - self._world.now)
        self._caller.head_at = None
        self._caller.send(call[before:])

    def _act(self) -> None:
        """Does what the caller and the operator do at the moment."""
        case = self._case
        if case.caller == "leaves":
            self._caller.stream.close()
        elif case.caller == "resets":
            close_with_reset(self._caller.stream)
        if case.router == "stops":
            self._world.spawn(self._path.router, _async(self._path.path.stop), "stop")

    def _drain(self) -> None:
        self._world.spawn(self._path.router, self._path.path.drain(), "drain")

    def _worker_script(self, script: Script) -> Callable[[BaseIOStream, Request], Awaitable[None]]:
        async def run(stream: BaseIOStream, _: Request) -> None:
            if script.before:
                await stream.write(script.before)
            await asyncio.sleep(max(0.0, self._moment - SEND_BEFORE_S - self._world.now))
            if script.at_moment:
                await stream.write(script.at_moment)
            if script.end == "open":
                await stream.read_until_close()
            elif script.end == "reset":
                close_with_reset(stream)

        return run

    def _second_script(self) -> Callable[[BaseIOStream, Request], Awaitable[None]]:
        async def run(stream: BaseIOStream, _: Request) -> None:
            if self._case.retry == "silent":
                await stream.read_until_close()
            await stream.write(SECOND_STREAM if self._case.service.streaming else SECOND_ANSWER)

        return run

    # Judgement.

    def _judge_caller(self, outcome: Outcome) -> None:
        """A caller that stays has one complete answer, or a closed connection if a part of one was sent before."""
        outcome.reply = self._reply
        if self._case.caller in ("leaves", "resets"):
            return
        reply = self._reply
        if reply is not None and reply.complete:
            outcome.problems += _problems_of(reply, self._case)
        elif not self._caller.stream.closed():
            outcome.problems.append("the caller is left waiting")
        elif self._caller.head_at is None and self._case.router == "serves" and self._case.arrival == "before":
            outcome.problems.append("the connection was closed before any answer")

    def _judge_rest(self, outcome: Outcome, workers: Sequence[ScriptedWorker]) -> None:
        """Nothing of the call is left, and a call that may not be repeated has run once at most."""
        path, world = self._path, self._world
        outcome.problems += [f"broken invariant: {each}" for each in world.broken_invariants]
        if path.path.in_flight():
            outcome.problems.append("the call is still in progress")
        if sum(client.calls() for client in self._clients):
            outcome.problems.append("an exchange is still in progress")
        if path.placement.running:
            outcome.problems.append("the turn still counts as running")
        expected_lines = (1,) if self._case.arrival == "before" else (1, 2)
        if len(path.log_lines()) not in expected_lines:
            outcome.problems.append(f"{len(path.log_lines())} log lines")
        outcome.runs = sum(len(worker.requests) for worker in workers) - self._case.script.not_run
        if outcome.runs > 1 and not self._case.service.repeatable:
            outcome.problems.append("the call ran twice")


def _problems_of(reply: Reply, case: Case) -> list[str]:
    """Returns what is wrong with an answer that looks complete: a success is a worker's complete body."""
    if reply.status >= HTTPStatus.BAD_REQUEST:
        return []
    complete_bodies = [case.script.body, SECOND_BODY, EVENTS + LAST_EVENT + DONE]
    if reply.body() in complete_bodies:
        return []
    return [f"a success with a body that no worker sent: {reply.body()[:60]!r}"]


def _name_of(handle: VirtualHandle) -> str:
    callback = handle._callback
    return getattr(callback, "__qualname__", repr(callback))


async def _async(action: Callable[[], None]) -> None:
    action()


def service_of(name: str, **changes: object) -> Service:
    """Returns a service whose calls need no idempotency key."""
    service = Service(name=ServiceName(name), pool=PoolName("model"), idempotency_keys=False)
    return msgspec.structs.replace(service, **changes)
