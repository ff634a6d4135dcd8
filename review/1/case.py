"""A router ends by itself when another router stalls for some 20 ms and is then killed.

Machines: seven, each with a router; the first three have a disk and a member of the control core. Clients keep
connections to the routers of the first three machines, which nothing disturbs. Again and again the router of one of
the other four machines stands still for a moment and is killed; it is started again at once. Without the disruption
nothing is stopped and nothing killed.

The workers and the clients run in processes of their own (modes ``worker`` and ``client``).
"""

from __future__ import annotations

import asyncio
import os
import random
import re
import signal
import subprocess
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
    route,
    seal_headers,
    service,
    tenant,
    wait_ready,
)

BROKEN = 3
"""Exit code for a broken rule; an error of the script itself ends Python with 1."""
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CORE = 3
MACHINES = 7
WORKERS = 3
KEPT_CONNECTIONS = 50
"""Of the clients of each undisturbed router."""
WORK_S = 0.02
STALL_S = (0.014, 0.034)
PAUSE_S = 0.7
CONTACT_S = 3.0
TROUBLE_FOR_S = 85.0
CALM_RUN_S = 30.0
LOST_BOUND = 3
"""LOST: "closes that connection without an answer, more than three times"."""
EVENTS = "id: 1\ndata: the lift\n\nid: 2\ndata: is repaired\n\n"


async def answer_stream(worker: Worker, request: Request, writer: asyncio.StreamWriter) -> bool:
    """A sound worker: works for 20 ms and answers with two events."""
    if request.path in ("/health", "/v1/report") or request.header("Target-Instance") not in (None, worker.instance):
        return await answer_plainly(worker, request, writer)
    worker.record.write(f"runs {request.header('Attempt-Id')}")
    await asyncio.sleep(WORK_S)
    writer.write(
        f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{seal_headers(worker, request)}"
        f"Keep-Alive: timeout=9\r\nTransfer-Encoding: chunked\r\n\r\n{len(EVENTS):x}\r\n{EVENTS}\r\n0\r\n\r\n".encode()
    )
    return True


class _Machine:
    """What a worker needs to know of a machine that serves ``control``."""

    control = True

    def __init__(self, ip: str) -> None:
        self.ip = ip

    def address(self, port: int) -> str:
        return f"{self.ip}:{port}"


class _Controls:
    """What a worker needs to know of the fleet."""

    heartbeat_ms = 1200

    def __init__(self, net: str, control_port: int) -> None:
        self.control_port = control_port
        self.machines = [_Machine(f"{net}.{10 + index}") for index in range(CORE)]


async def worker_main(number: int, net: str, control_port: int, folder: str) -> None:
    """Serves as one worker until it is ended."""
    record = Record(Path(folder) / f"worker-{number}.txt")
    fleet = _Controls(net, control_port)
    worker = Worker(
        fleet,
        record,
        f"i-{number}",
        "model",
        f"{net}.{100 + number}:9000",
        ZONES[number],
        answer_stream,  # type: ignore[arg-type]
    )
    await worker.start()
    await asyncio.sleep(130)


async def client_main(number: int, ip: str, port: int, folder: str) -> None:
    """Sends requests on kept connections until it is ended."""
    record = Record(Path(folder) / f"client-{number}.txt")
    answered = 0

    async def keep_asking(connection: int) -> None:
        nonlocal answered
        sent = 0
        reader, writer = await asyncio.open_connection(ip, port)
        while True:
            sent += 1
            attempt = f"c{number}x{connection}x{sent}"
            session = random.randrange(4000)
            writer.write(
                f"POST /chat/1 HTTP/1.1\r\nHost: ficu.example\r\nAttempt-Id: {attempt}\r\nX-Api-Key: key-1\r\n"
                f"Deadline-Ms: 2000\r\nModel: m\r\nToken-Counts: 90,80\r\n"
                f"Prompt-Prefix: {session % 20:x}:60,{session + 1000:x}:30\r\nContent-Length: 2\r\n\r\nhi".encode()
            )
            try:
                head = await reader.readuntil(b"\r\n\r\n")
                if b"chunked" in head:
                    await reader.readuntil(b"0\r\n\r\n")
                else:
                    found = re.search(rb"Content-Length: (\d+)", head)
                    await reader.readexactly(int(found[1]) if found else 0)
            except (OSError, asyncio.IncompleteReadError) as problem:
                record.write(f"lost {attempt} {type(problem).__name__}")
                return
            answered += 1
            if head[9:12] != b"200":
                record.write(f"answered {attempt} {head[9:12].decode()}")

    tasks = [asyncio.create_task(keep_asking(connection)) for connection in range(KEPT_CONNECTIONS)]
    while True:
        await asyncio.sleep(1.0)
        record.write(f"total {answered}")
        if all(task.done() for task in tasks):
            await asyncio.sleep(130)


def spawn(fleet: Fleet, *words: object) -> subprocess.Popen[bytes]:
    """Starts a stand-in as a process of its own."""
    return subprocess.Popen([sys.executable, __file__, *map(str, words), str(fleet.folder)], stderr=subprocess.DEVNULL)


async def trouble(fleet: Fleet, record: Record) -> list[str]:
    """Stalls and kills routers of the last machines, one after the other; returns the processes that ended."""
    until = time.monotonic() + TROUBLE_FOR_S
    turn = 0
    while time.monotonic() < until:
        machine = fleet.machines[CORE + turn % (MACHINES - CORE)]
        turn += 1
        stall = random.uniform(*STALL_S)
        machine.signal("router", signal.SIGSTOP)
        time.sleep(stall)
        machine.kill("router")
        record.write(f"{machine.name}: router stood still for {1000 * stall:.0f} ms, then killed ({turn})")
        await asyncio.sleep(0.2)
        ended = fleet.exits()
        if ended:
            return ended
        machine.start("router")
        await asyncio.sleep(PAUSE_S - 0.2)
    return fleet.exits()


async def run_case(fleet: Fleet, record: Record, others: list[subprocess.Popen[bytes]]) -> int:
    """Runs the case; returns the exit code."""
    fleet.start()
    operator = Operator(fleet, record)
    routes: list[object] = [
        route("r-chat", "/chat/", "streaming", "model", stream_resume=True, timeout_ms=2000, target_latency_ms=200)
    ]
    taken = await operator.send(
        "Replace",
        configuration(1, routes, [service("model", True)], [tenant("tenant-1", ["key-1"], 10**8)]),
        0,
    )
    if taken is None or taken.status != 200:
        record.write("the first configuration was not acknowledged")
        return 2
    others += [spawn(fleet, "worker", number, fleet.net, fleet.control_port) for number in range(WORKERS)]
    if not await wait_ready(fleet):
        record.write("the routers did not become ready")
        return 2
    await asyncio.sleep(CONTACT_S + 1.0)
    others += [spawn(fleet, "client", number, fleet.machines[number].ip, fleet.front_port) for number in range(CORE)]
    await asyncio.sleep(2.0)
    if TROUBLE:
        ended = await trouble(fleet, record)
    else:
        await asyncio.sleep(CALM_RUN_S)
        ended = fleet.exits()
    await asyncio.sleep(2.0)
    return judge(fleet, record, ended)


def judge(fleet: Fleet, record: Record, ended: list[str]) -> int:
    """Counts the requests that a worker ran and whose kept connection was closed without an answer."""
    ran: set[str] = set()
    for number in range(WORKERS):
        ran.update(re.findall(r"runs (\S+)", (fleet.folder / f"worker-{number}.txt").read_text()))
    lost_by_router: dict[str, list[str]] = {}
    for number in range(CORE):
        text = (fleet.folder / f"client-{number}.txt").read_text()
        totals = re.findall(r"total (\d+)", text)
        record.write(f"{fleet.machines[number].name}: {totals[-1] if totals else 0} requests answered")
        lost_by_router[fleet.machines[number].name] = [each for each in re.findall(r"lost (\S+)", text) if each in ran]
    record.write(f"requests that a worker ran: {len(ran)}")
    for name, lost in lost_by_router.items():
        record.write(f"{name}: passed on, and connection closed without an answer: {len(lost)} {lost}")
    record.write(f"processes that ended by themselves: {ended}")
    if any(len(lost) > LOST_BOUND for lost in lost_by_router.values()):
        for machine in fleet.machines:
            for line in (machine.folder / "router.log").read_text().splitlines():
                if "event=stopped" in line and "Error" in line:
                    record.write(f"log of {machine.name}: {line}")
        record.write("LOST: broken")
        return BROKEN
    if not ran:
        record.write("no request reached a worker")
        return 2
    record.write("held")
    return 0


async def main() -> int:
    """Runs the case and ends all processes."""
    record = Record(Path(__file__).with_name("record.txt"))
    fleet = Fleet(machines=MACHINES)
    others: list[subprocess.Popen[bytes]] = []
    try:
        async with asyncio.timeout(112):
            return await run_case(fleet, record, others)
    except TimeoutError:
        record.write("the case took too long")
        return 2
    finally:
        for process in others:
            process.kill()
            process.wait()
        fleet.close()


if __name__ == "__main__":
    if sys.argv[1:2] == ["worker"]:
        asyncio.run(worker_main(int(sys.argv[2]), sys.argv[3], int(sys.argv[4]), sys.argv[5]))
    elif sys.argv[1:2] == ["client"]:
        asyncio.run(client_main(int(sys.argv[2]), sys.argv[3], int(sys.argv[4]), sys.argv[5]))
    else:
        sys.exit(asyncio.run(main()))
