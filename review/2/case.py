"""Requests at a slow worker, which gives up at the deadline that it was handed, never get an answer.

Machines: six, each with a router, three with a disk and a member of the control core. Workers: seven of one service; a
request takes 300 ms. One worker after the other is slow for five seconds: it needs four times as long, which is more
than the route's ``timeout_ms`` of 1,000. A worker stops working at the value of ``Deadline-Ms`` that it is handed and
answers 504. Clients wait longer than the route's time. Without the disruption no worker is slow.
"""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from fleet import (
    ZONES,
    Fleet,
    Operator,
    Record,
    Request,
    Worker,
    answer_plainly,
    configuration,
    read_answer,
    route,
    seal_headers,
    service,
    tenant,
    wait_ready,
)

BROKEN = 3
"""Exit code for a broken rule; an error of the script itself ends Python with 1."""
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WORKERS = 7
WORK_S = 0.3
SLOW_FACTOR = 4
SLOW_FOR_S = 5.0
TIMEOUT_S = 1.0
"""``timeout_ms`` of the route."""
GRACE_S = 0.5
CLIENT_DEADLINE_S = 3.0
REQUEST_INTERVAL_S = 0.03
CONTACT_S = 3.0
EXACT_WAIT_S = 0.003
MIN_UNANSWERED = 8
MAX_UNANSWERED_SHARE = 0.25


async def wait_exactly(seconds: float) -> None:
    """Waits, and ends at the very time: the event loop's own timers are up to a millisecond late."""
    until = time.monotonic() + seconds
    await asyncio.sleep(max(0.0, seconds - EXACT_WAIT_S))
    while time.monotonic() < until:
        pass


class Workers:
    """What all workers share: which one is slow."""

    def __init__(self) -> None:
        self.slow: str | None = None

    async def handle(self, worker: Worker, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Works for the time that the request needs, at most until the deadline that the worker was handed."""
        if request.path in ("/health", "/v1/report"):
            return await answer_plainly(worker, request, writer)
        if request.header("Target-Instance") not in (None, worker.instance):
            return await answer_plainly(worker, request, writer)
        worker.ran(request)
        needed = WORK_S * (SLOW_FACTOR if self.slow == worker.instance else 1)
        left = int(request.header("Deadline-Ms") or 0) / 1000
        if needed <= left:
            await asyncio.sleep(needed)
        else:
            await wait_exactly(left)
        if needed > left:
            worker.record.write(f"worker {worker.instance} answers 504 to {request.header('Attempt-Id')}")
            head = f"HTTP/1.1 504 Gateway Timeout\r\n{seal_headers(worker, request)}Content-Length: 0\r\n\r\n"
            writer.write(head.encode())
            return True
        body = f"done {request.header('Attempt-Id')}".encode()
        head = f"HTTP/1.1 200 OK\r\n{seal_headers(worker, request)}Content-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        return True


class Answers:
    """When each request was answered, in seconds after it was sent."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.after: dict[str, float | None] = {}

    async def ask(self, attempt: str, address: str) -> None:
        """Sends one request on a connection of its own and waits as long as a client does."""
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = (
            f"POST /sheet/1 HTTP/1.1\r\nHost: ficu.example\r\nAttempt-Id: {attempt}\r\nX-Api-Key: key-1\r\n"
            f"Deadline-Ms: {int(1000 * CLIENT_DEADLINE_S)}\r\nContent-Length: 2\r\n\r\nhi"
        )
        sent = time.monotonic()
        writer.write(head.encode())
        self.after[attempt] = None
        try:
            async with asyncio.timeout(CLIENT_DEADLINE_S):
                answer = await read_answer(reader)
            self.after[attempt] = time.monotonic() - sent
            if answer.status != 200:
                self.record.write(f"client {attempt}: {answer.status} after {self.after[attempt]:.4f} s")
        except TimeoutError:
            self.record.write(f"client {attempt}: no answer within {CLIENT_DEADLINE_S:g} s, connection open")
        except OSError as problem:
            self.after[attempt] = time.monotonic() - sent
            self.record.write(f"client {attempt}: connection ended ({problem})")
        finally:
            writer.close()


async def run_case(fleet: Fleet, record: Record) -> int:
    """Runs the case; returns the exit code."""
    fleet.start()
    operator = Operator(fleet, record)
    timeout_ms = int(1000 * TIMEOUT_S)
    routes: list[object] = [
        route("r-sheet", "/sheet/", "non_idempotent", "catalogue", timeout_ms=timeout_ms, target_latency_ms=400)
    ]
    order = configuration(1, routes, [service("catalogue", False)], [tenant("tenant-1", ["key-1"])])
    taken = await operator.send("Replace", order, 0)
    if taken is None or taken.status != 200:
        record.write("the first configuration was not acknowledged")
        return 2
    shared = Workers()
    workers = [
        Worker(fleet, record, f"i-{n}", "catalogue", f"{fleet.net}.{100 + n}:9000", ZONES[n % 3], shared.handle)
        for n in range(WORKERS)
    ]
    for worker in workers:
        await worker.start()
    if not await wait_ready(fleet):
        record.write("the routers did not become ready")
        return 2
    await asyncio.sleep(CONTACT_S + 1.0)  # All machines are in touch from here on.
    answers = Answers(record)
    asking: list[asyncio.Task[None]] = []
    for turn in range(int(WORKERS * SLOW_FOR_S / REQUEST_INTERVAL_S)):
        slow = f"i-{int(turn * REQUEST_INTERVAL_S / SLOW_FOR_S)}"
        if TROUBLE and shared.slow != slow:
            shared.slow = slow
            record.write(f"worker {slow} is slow from here on")
        machine = fleet.machines[turn % len(fleet.machines)]
        asking.append(asyncio.create_task(answers.ask(f"a{turn}", machine.address(fleet.front_port))))
        await asyncio.sleep(REQUEST_INTERVAL_S)
    await asyncio.gather(*asking)
    return judge(record, answers, fleet.exits())


def judge(record: Record, answers: Answers, ended: list[str]) -> int:
    """Applies the rule: of the requests that last longer than the route's time, too many have no answer 0.5 s later."""
    lasting = {attempt: after for attempt, after in answers.after.items() if after is None or after > TIMEOUT_S}
    unanswered = [attempt for attempt, after in lasting.items() if after is None or after > TIMEOUT_S + GRACE_S]
    never = [attempt for attempt, after in lasting.items() if after is None]
    record.write(f"requests: {len(answers.after)}; longer than the route's time: {len(lasting)}")
    record.write(f"no final answer 0.5 s after it: {len(unanswered)}; none at all: {len(never)} {never}")
    record.write(f"processes that ended by themselves: {ended}")
    if len(unanswered) >= MIN_UNANSWERED and len(unanswered) > MAX_UNANSWERED_SHARE * len(lasting):
        record.write("CONFIG: broken")
        return BROKEN
    if TROUBLE and not lasting:
        record.write("no request lasted longer than the route's time")
        return 2
    record.write("held")
    return 0


async def main() -> int:
    """Runs the case and ends all processes."""
    record = Record(Path(__file__).with_name("record.txt"))
    fleet = Fleet(machines=6)
    try:
        async with asyncio.timeout(110):
            return await run_case(fleet, record)
    except TimeoutError:
        record.write("the case took too long")
        return 2
    finally:
        fleet.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
