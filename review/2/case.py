"""A worker that crashes in the middle of a resumable stream ends the router, with all calls that it has taken.

Machines: three, each with a router and a member of the control core. Workers: two of the model service, one sound
worker of the catalogue. Four clients keep a connection to one router each and send non-idempotent requests, one
after the other. Another client sends one stream of a route with ``stream_resume`` to the same router. The worker
that runs the stream answers with a length, as it has the whole answer, sends half of the events and crashes (its
connections are reset). Without the disruption the worker sends the whole answer.
"""

from __future__ import annotations

import asyncio
import os
import socket
import struct
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from fleet import (  # noqa: E402
    ZONES,
    Fleet,
    Operator,
    Record,
    Request,
    Worker,
    answer_plainly,
    call,
    configuration,
    read_answer,
    route,
    seal_headers,
    service,
    tenant,
    wait_ready,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EVENTS = 6
CRASH_AFTER_EVENTS = 3
CATALOGUE_WORK_S = 0.045
KEPT_CONNECTIONS = 8
LOST_BOUND = 3
"""LOST: "closes that connection without an answer, more than three times"."""
CONTACT_S = 3.0


class Client:
    """A client with one kept connection, which sends non-idempotent requests one after the other."""

    def __init__(self, number: int, address: str, record: Record) -> None:
        self.number, self.address, self.record = number, address, record
        self.answered = 0
        self.lost: list[str] = []

    async def run(self, until: float) -> None:
        """Sends requests until the time, or until the connection ends."""
        host, _, port = self.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        sent = 0
        while time.monotonic() < until:
            attempt = f"kept{self.number}x{sent}"
            sent += 1
            head = (
                f"POST /sheet/1 HTTP/1.1\r\nHost: ficu.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 1000\r\n"
                "X-Api-Key: key-1\r\nContent-Length: 2\r\n\r\nhi"
            )
            try:
                writer.write(head.encode())
                answer = await read_answer(reader)
            except OSError as problem:
                self.record.write(f"client {attempt}: connection ended without an answer ({problem})")
                self.lost.append(attempt)
                break
            if not answer.complete:
                self.record.write(f"client {attempt}: {answer.status}, incomplete")
                self.lost.append(attempt)
                break
            self.answered += 1
            if self.answered <= 2 or answer.status != 200:
                self.record.write(f"client {attempt}: {answer.status}")
        writer.close()


def text_of(event: int, resumed: bool) -> str:
    """Returns the text of an event; a run that continues generates other words than the run that crashed."""
    words = "the tower's lift is repaired on the ninth" if resumed else "the lift is repaired"
    return f"id: {event}\ndata: {words} ({event})\n\n"


class ModelWorkers:
    """The workers of the model service; the first run of a stream crashes while it is sent."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.crashed: set[str] = set()

    async def handle(self, worker: Worker, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Answers one request with events, in a body of a known length."""
        if request.path in ("/health", "/v1/report"):
            return await answer_plainly(worker, request, writer)
        if request.header("Target-Instance") not in (None, worker.instance):
            return await answer_plainly(worker, request, writer)
        worker.ran(request)
        last = int(request.header("Last-Event-Id") or 0)
        events = [text_of(number, last > 0) for number in range(last + 1, EVENTS + 1)]
        body = "".join(events).encode()
        writer.write(
            f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{seal_headers(worker, request)}"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
        )
        for number, event in enumerate(events, 1):
            writer.write(event.encode())
            await writer.drain()
            await asyncio.sleep(0.03)
            if TROUBLE and last == 0 and number == CRASH_AFTER_EVENTS:
                self.record.write(f"worker {worker.instance} crashes after {number} of {EVENTS} events")
                await worker.stop()
                reset = struct.pack("ii", 1, 0)
                writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
                writer.transport.abort()
                return False
        return True


async def catalogue(worker: Worker, request: Request, writer: asyncio.StreamWriter) -> bool:
    """A sound worker: works for 45 ms and answers."""
    if request.path in ("/health", "/v1/report") or request.header("Target-Instance") not in (None, worker.instance):
        return await answer_plainly(worker, request, writer)
    worker.ran(request)
    await asyncio.sleep(CATALOGUE_WORK_S)
    body = f"done {request.header('Attempt-Id')}".encode()
    writer.write(
        f"HTTP/1.1 200 OK\r\n{seal_headers(worker, request)}Content-Length: {len(body)}\r\n\r\n".encode() + body
    )
    return True


async def run_case(fleet: Fleet, record: Record) -> int:
    """Runs the case; returns the exit code."""
    fleet.start()
    operator = Operator(fleet, record)
    routes: list[object] = [
        route("r-chat", "/chat/", "streaming", "model", stream_resume=True, timeout_ms=15000, target_latency_ms=150),
        route("r-sheet", "/sheet/", "non_idempotent", "catalogue", timeout_ms=1000),
    ]
    services: list[object] = [service("model", True), service("catalogue", False)]
    taken = await operator.send("Replace", configuration(1, routes, services, [tenant("tenant-1", ["key-1"])]), 0)
    if taken is None or taken.status != 200:
        record.write("the first configuration was not acknowledged")
        return 2
    models = ModelWorkers(record)
    workers = [
        Worker(fleet, record, f"i-model-{n}", "model", f"{fleet.net}.{100 + n}:9000", ZONES[n], models.handle)
        for n in range(2)
    ]
    workers.append(Worker(fleet, record, "i-cat-0", "catalogue", f"{fleet.net}.110:9000", ZONES[2], catalogue))
    for worker in workers:
        await worker.start()
    if not await wait_ready(fleet):
        record.write("the routers did not become ready")
        return 2
    await asyncio.sleep(CONTACT_S + 1.0)  # All machines are in touch from here on.
    router = fleet.machines[0].address(fleet.front_port)
    until = time.monotonic() + 6.0
    clients = [Client(number, router, record) for number in range(KEPT_CONNECTIONS)]
    running = [asyncio.create_task(client.run(until)) for client in clients]
    await asyncio.sleep(1.0)
    headers = {
        "Host": "ficu.example", "Attempt-Id": "stream-1", "X-Api-Key": "key-1", "Deadline-Ms": "15000", "Model": "m",
        "Token-Counts": "220,80", "Prompt-Prefix": "5c1e07a2:79,91bd3f06:141",
    }
    record.write("client stream-1: sent")
    answer = await call(router, "POST", "/chat/1", headers, b"hi", timeout=5.0)
    shown = "no answer" if answer is None else f"{answer.status}, {'complete' if answer.complete else 'incomplete'}"
    record.write(f"client stream-1: {shown}, {0 if answer is None else answer.body.count(b'data:')} events")
    await asyncio.gather(*running)
    await asyncio.sleep(1.0)
    ended = fleet.exits()
    lost = [attempt for client in clients for attempt in client.lost]
    passed_on = {attempt for worker in workers for _, attempt in worker.runs}
    broken = [attempt for attempt in lost if attempt in passed_on]
    record.write(f"answered on kept connections: {sum(client.answered for client in clients)}")
    record.write(f"passed on to the sound worker, connection closed without an answer: {len(broken)} {broken}")
    record.write(f"processes that ended by themselves: {ended}")
    if len(broken) > LOST_BOUND or ended:
        record.write("LOST: broken")
        return 1
    if TROUBLE and not any("stream-1" == attempt for worker in workers for _, attempt in worker.runs):
        record.write("the stream reached no worker")
        return 2
    record.write("held")
    return 0


async def main() -> int:
    """Runs the case and ends all processes."""
    record = Record(Path(__file__).with_name("record.txt"))
    fleet = Fleet(machines=3)
    try:
        async with asyncio.timeout(100):
            return await run_case(fleet, record)
    except TimeoutError:
        record.write("the case took too long")
        return 2
    finally:
        fleet.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
