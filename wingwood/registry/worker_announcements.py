"""The product's own announcement format: names, paths, bodies and status codes (docs/DESIGN.md section 10.1).

A worker sends ``POST /workers/v1/announce`` to the operator address of any daemon, about once a
second and immediately when its state changes, and answers ``GET /health`` itself.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Literal

import msgspec
from returns.result import Failure, Result, Success

from ..context.protocols import HttpClient, HttpRequest
from ..identifiers import Address, PoolName, Seconds, WorkerInstance, Zone, parse_address
from ..operator_api.protocols import OperatorReply, OperatorRequest
from .announcements import Announcement, AnnouncementRoute, Departure
from .protocols import Worker, WorkerLoad

ANNOUNCE_PATH = "/workers/v1/announce"
LIST_PATH = "/workers/v1/list"
HEALTH_PATH = "/health"
MAX_FIGURE = 10**12
"""Largest number accepted in an announcement."""
MAX_HEALTH_BYTES = 16 * 1024
"""Limit on the body of a health reply."""


class _LoadBody(msgspec.Struct):
    """Load figures in the body of an announcement."""

    running: int
    waiting: int = 0
    cache_tokens_used: int = 0


class _AnnouncementBody(msgspec.Struct):
    """JSON body of an announcement."""

    instance: str
    address: str
    pool: str
    zone: str = ""
    slots: int = 1
    cache_tokens: int = 0
    state: Literal["ready", "draining", "gone"] = "ready"
    load: _LoadBody | None = None


class HealthReply(msgspec.Struct, frozen=True):
    """A worker's reply to its health check."""

    instance: WorkerInstance
    state: Literal["ready", "draining", "gone"] = "ready"
    running: int = 0
    waiting: int = 0


def read_announcement(body: bytes) -> Result[Worker, str]:
    """Returns the announced worker, or a text that says what is wrong with the body."""
    try:
        read = msgspec.json.decode(body, type=_AnnouncementBody)
        address = parse_address(read.address)
    except (msgspec.MsgspecError, ValueError, RecursionError) as problem:
        return Failure(str(problem))
    for name, text in (("instance", read.instance), ("pool", read.pool)):
        if not 0 < len(text) <= 200 or not text.isprintable():
            return Failure(f"{name} must be 1 to 200 printable characters")
    if not 0 < read.slots <= 100_000 or len(read.zone) > 200:
        return Failure("slots must be 1 to 100000, zone at most 200 characters")
    figures = (0, 0, 0) if read.load is None else (read.load.running, read.load.waiting, read.load.cache_tokens_used)
    if not all(0 <= number <= MAX_FIGURE for number in (read.cache_tokens, *figures)):
        return Failure(f"cache_tokens and the figures of load must be 0 to {MAX_FIGURE}")
    load = None if read.load is None else WorkerLoad(*figures)
    return Success(
        Worker(
            instance=WorkerInstance(read.instance),
            address=address,
            pool=PoolName(read.pool),
            zone=Zone(read.zone),
            slots=read.slots,
            cache_tokens=read.cache_tokens,
            state=read.state,
            load=load,
        )
    )


class DefaultAnnouncementFormat:
    """Implements ``AnnouncementFormat`` with the product's own format."""

    routes = (AnnouncementRoute("POST", ANNOUNCE_PATH),)

    def read(self, request: OperatorRequest) -> Result[Announcement | Departure, str]:
        """Returns the announcement; this format has no departures that name only the instance."""
        return read_announcement(request.body).map(Announcement)

    def malformed(self, problem: str) -> OperatorReply:
        """Returns a 400; ``problem`` names the field."""
        return OperatorReply(status=400, body={"code": "malformed", "reason": problem})

    def acknowledged(self, worker: Worker) -> OperatorReply:
        """Returns a 200."""
        return OperatorReply(body={"code": "taken", "instance": worker.instance, "state": worker.state})

    def departure_acknowledged(self, instance: WorkerInstance) -> OperatorReply:
        """Returns a 200."""
        return OperatorReply(body={"code": "taken", "instance": instance, "state": "gone"})

    def instance_ended(self, worker: Worker) -> OperatorReply:
        """Returns a 409: a worker that starts again needs a new instance id."""
        body: dict[str, object] = {"code": "instance-over", "instance": worker.instance, "state": worker.state}
        return OperatorReply(status=409, body=body)

    def try_another_daemon(self, reason: str) -> OperatorReply:
        """Returns a 503; the worker should announce to another daemon."""
        return OperatorReply(status=503, body={"code": "tell-another", "reason": reason})


class ListedWorker(msgspec.Struct, frozen=True):
    """A worker of the list for operators, with what this daemon thinks of it."""

    worker: Worker
    renewed: bool
    suspected: bool


def worker_list_reply(workers: Sequence[ListedWorker]) -> OperatorReply:
    """Returns the list of workers for operators."""
    entries: list[object] = [
        {
            "instance": listed.worker.instance,
            "address": str(listed.worker.address),
            "pool": listed.worker.pool,
            "zone": listed.worker.zone,
            "slots": listed.worker.slots,
            "cache_tokens": listed.worker.cache_tokens,
            "state": listed.worker.state,
            "renewed": listed.renewed,
            "suspected": listed.suspected,
            "load": None if listed.worker.load is None else msgspec.to_builtins(listed.worker.load),
        }
        for listed in workers
    ]
    return OperatorReply(body={"workers": entries})


async def ask_health(http: HttpClient, address: Address, timeout: Seconds) -> HealthReply | None:
    """Asks the worker for its health; returns None if it does not answer properly within the timeout."""
    exchange = http.start(HttpRequest("GET", address, HEALTH_PATH, connect_timeout=timeout))
    try:
        async with asyncio.timeout(timeout):
            head = await exchange.head()
            if not isinstance(head, Success) or head.unwrap().status != 200:
                return None
            body = b""
            while len(body) <= MAX_HEALTH_BYTES:
                chunk = await exchange.next_chunk()
                if not isinstance(chunk, Success):
                    return None
                data = chunk.unwrap()
                if data is None:
                    return msgspec.json.decode(body, type=HealthReply)
                body += data
            return None
    except (TimeoutError, msgspec.MsgspecError, RecursionError):
        return None
    finally:
        exchange.cancel()
