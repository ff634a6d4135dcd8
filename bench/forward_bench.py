"""Measures the cost of the request path: calls through a router compared with calls straight to the worker.

Three processes run on loopback: a bare worker, a router (real sockets, curl client, fakes for the other modules), and
this process with bare callers. ``python -m bench.forward_bench --help`` shows the options.

Latency per call is measured with callers in a closed loop, few enough that nothing queues. For the latency per chunk
the worker stamps each event with the machine's monotonic clock, and callers subtract the stamp from their own time.
Cost is the processor time of the router process divided by calls and chunks. Direct and routed calls alternate within
one run.
"""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import subprocess
import sys
import time
from collections.abc import Callable

import click

ROUTER_PORT = 23901
WORKER_PORT = 23902
COST_PORT = 23903
KEY = "bench-key"
EVENT_BYTES = 120
Numbers = list[float]


class BareWorker(asyncio.Protocol):
    """Answers ``POST /plain`` at once; streams ``X-Events`` events, one each ``X-Pace`` seconds, for ``POST /chat``."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]
        self.received = b""
        self.timer: asyncio.TimerHandle | None = None

    def data_received(self, data: bytes) -> None:
        self.received += data
        head, separator, body = self.received.partition(b"\r\n\r\n")
        if not separator or len(body) < int(_header(head, b"content-length") or b"0"):
            return
        self.received = b""
        if head.startswith(b"POST /plain"):
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}")
            return
        self.remaining_events = int(_header(head, b"x-events"))
        self.pace = float(_header(head, b"x-pace"))
        self.transport.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        self.next_event_at = asyncio.get_running_loop().time()
        self.send_event()

    def send_event(self) -> None:
        if self.transport.is_closing():
            return
        if self.remaining_events == 0:
            self.transport.write(b"e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n")
            return
        self.remaining_events -= 1
        event = b"data: %d " % time.monotonic_ns()
        event += b"x" * (EVENT_BYTES - len(event) - 2) + b"\n\n"
        self.transport.write(b"%x\r\n%s\r\n" % (len(event), event))
        loop = asyncio.get_running_loop()
        self.next_event_at += self.pace
        loop.call_at(self.next_event_at, self.send_event)


def _header(head: bytes, name: bytes) -> bytes:
    for line in head.split(b"\r\n"):
        key, _, value = line.partition(b":")
        if key.lower() == name:
            return value.strip()
    return b""


async def run_worker() -> None:
    loop = asyncio.get_running_loop()
    await loop.create_server(BareWorker, "127.0.0.1", WORKER_PORT, backlog=1024)
    print("ready", flush=True)
    await asyncio.Event().wait()


async def run_router(profile: str | None) -> None:
    """Runs the request path with fakes of the other modules that answer at once, until SIGTERM."""
    from pathlib import Path  # noqa: PLC0415
    from random import Random  # noqa: PLC0415

    from prometheus_client import CollectorRegistry  # noqa: PLC0415

    from emulator.router_fakes import FixedBundle, GrantingLedger, OpenAdmission, ReadyWorkers, UnlimitedShares  # noqa: PLC0415
    from wingwood.context.curl_client import CurlHttpClient  # noqa: PLC0415
    from wingwood.context.logs import EliotLog  # noqa: PLC0415
    from wingwood.context.protocols import Context  # noqa: PLC0415
    from wingwood.context.real import RealClock, RealDisk, RealNetwork, RealTasks  # noqa: PLC0415
    from wingwood.forward.metrics import RequestMetrics  # noqa: PLC0415
    from wingwood.forward.request_path import RequestPath  # noqa: PLC0415
    from wingwood.identifiers import Address, DaemonName, Zone  # noqa: PLC0415
    from wingwood.settings.model import DaemonSettings  # noqa: PLC0415

    from .forward_bundle import bench_bundle, bench_worker  # noqa: PLC0415

    log = EliotLog(DaemonName("bench"), open(os.devnull, "w"))  # noqa: SIM115
    context = Context(
        clock=RealClock(),
        network=RealNetwork(),
        disk=RealDisk(Path(".")),
        http=CurlHttpClient(),
        random=Random(1),
        log=log,
        tasks=RealTasks(log, lambda reason: os._exit(1)),
    )
    settings = DaemonSettings(
        name=DaemonName("bench"),
        role="router",
        zone=Zone("a"),
        internal=Address("127.0.0.1", 1),
        operator=Address("127.0.0.1", 2),
        caller=Address("127.0.0.1", ROUTER_PORT),
        seeds=(),
        fleet_key=b"",
        operator_keys=(),
    )
    one_worker, limits = ReadyWorkers([bench_worker(Address("127.0.0.1", WORKER_PORT))]), OpenAdmission()
    path = RequestPath(
        context,
        settings,
        FixedBundle(bench_bundle(KEY)),
        UnlimitedShares(),
        limits,
        GrantingLedger(),
        one_worker,
        one_worker,
        limits,
        RequestMetrics(CollectorRegistry()),
    )
    path.start().unwrap()

    async def report_cost(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        used = resource.getrusage(resource.RUSAGE_SELF)
        cost = {"processor": used.ru_utime + used.ru_stime, "memory": _resident_bytes()}
        writer.write(json.dumps(cost).encode() + b"\n")
        await writer.drain()
        writer.close()

    await asyncio.start_server(report_cost, "127.0.0.1", COST_PORT)
    ended = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, ended.set)
    if profile:
        import cProfile  # noqa: PLC0415

        profiler = cProfile.Profile()
        profiler.enable()
    print("ready", flush=True)
    await ended.wait()
    if profile:
        profiler.disable()
        profiler.dump_stats(profile)


def _resident_bytes() -> int:
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


async def router_cost() -> dict[str, float]:
    reader, writer = await asyncio.open_connection("127.0.0.1", COST_PORT)
    cost: dict[str, float] = json.loads(await reader.readline())
    writer.close()
    return cost


class BareCaller(asyncio.Protocol):
    """Calls over one keep-alive connection and records the age of each event in milliseconds."""

    def __init__(self, events: Numbers) -> None:
        self.events = events
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.failed = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]

    def call(self, data: bytes, streams: bool) -> asyncio.Future[None]:
        self.done = asyncio.get_running_loop().create_future()
        self.end = b"0\r\n\r\n" if streams else b"{}"
        self.tail = b""
        self.transport.write(data)
        return self.done

    def data_received(self, data: bytes) -> None:
        if self.end != b"{}":
            now = time.monotonic_ns()
            at = data.find(b"data: ")
            while at >= 0:
                stamp = data[at + 6 : at + 26].split(b" ", 1)[0]
                if stamp.isdigit():
                    self.events.append((now - int(stamp)) / 1e6)
                at = data.find(b"data: ", at + 6)
        self.tail = (self.tail + data)[-16:]
        if data.startswith(b"HTTP/1.1 ") and not data.startswith(b"HTTP/1.1 200"):
            self.failed += 1
            self.finish()
        elif self.tail.endswith(self.end):
            self.finish()

    def connection_lost(self, problem: Exception | None) -> None:
        if not self.done.done():
            self.failed += 1
        self.finish()

    def finish(self) -> None:
        if not self.done.done():
            self.done.set_result(None)


def request_bytes(path: str, **headers: object) -> bytes:
    body = b'{"messages": []}'
    lines = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in headers.items())
    return (
        f"POST {path} HTTP/1.1\r\nHost: bench\r\nAuthorization: Bearer {KEY}\r\nContent-Type: application/json\r\n"
        f"Prefix: shared/session\r\n{lines}Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


async def closed_loop(port: int, callers: int, seconds: float, data: bytes, streams: bool) -> dict[str, Numbers]:
    """Runs callers that each send the next call when the previous one has ended.

    Returns the durations of calls and the ages of events in milliseconds.
    """
    loop = asyncio.get_running_loop()
    calls: Numbers = []
    events: Numbers = []
    deadline = time.monotonic() + seconds
    failed = 0

    async def caller(number: int) -> None:
        nonlocal failed
        await asyncio.sleep(0.05 * number / callers)  # Otherwise the events of all streams coincide.
        while time.monotonic() < deadline:
            # Each stream has its own connection to the worker too, since the router opens one for each call.
            _, protocol = await loop.create_connection(lambda: BareCaller(events), "127.0.0.1", port)
            while time.monotonic() < deadline and not protocol.transport.is_closing():
                started_at = time.monotonic()
                await protocol.call(data, streams)
                calls.append((time.monotonic() - started_at) * 1e3)
            failed += protocol.failed
            protocol.transport.close()

    await asyncio.gather(*(caller(number) for number in range(callers)))
    if failed:
        raise SystemExit(f"{failed} calls failed")
    return {"calls": calls, "events": events}


def quantiles(numbers: Numbers) -> dict[str, float]:
    ordered = sorted(numbers)
    return {
        name: round(ordered[min(len(ordered) - 1, int(part * len(ordered)))], 3)
        for name, part in (("p50", 0.5), ("p95", 0.95), ("p99", 0.99), ("max", 1.0))
    }


async def measure(seconds: float, streams: int, pace: float) -> dict[str, object]:
    plain, chat = request_bytes("/plain"), request_bytes("/chat", X_Events=100, X_Pace=pace)
    report: dict[str, object] = {}
    for name, port in (("direct", WORKER_PORT), ("router", ROUTER_PORT)) * 2:
        one = await closed_loop(port, 1, seconds / 2, plain, streams=False)
        report[f"call ms, one caller, {name}"] = quantiles(one["calls"])
        many = await closed_loop(port, streams, seconds / 2, chat, streams=True)
        report[f"piece ms, {streams} streams, {name}"] = quantiles(many["events"])
    before = await router_cost()
    started_at = time.monotonic()
    full = await closed_loop(ROUTER_PORT, 32, seconds, plain, streams=False)
    after, took = await router_cost(), time.monotonic() - started_at
    used = after["processor"] - before["processor"]
    report["calls/s, 32 callers"] = round(len(full["calls"]) / took)
    report["calls per processor second"] = round(len(full["calls"]) / used)
    report["call ms, 32 callers, router"] = quantiles(full["calls"])
    fast = request_bytes("/chat", X_Events=1000, X_Pace=0.002)
    before = await router_cost()
    started_at = time.monotonic()
    flood = await closed_loop(ROUTER_PORT, 16, seconds, fast, streams=True)
    after, took = await router_cost(), time.monotonic() - started_at
    used = after["processor"] - before["processor"]
    report["pieces/s, 16 streams"] = round(len(flood["events"]) / took)
    report["pieces per processor second"] = round(len(flood["events"]) / used)
    report["piece ms, 16 fast streams, router"] = quantiles(flood["events"])
    report["memory per open stream"] = await memory_per_stream(500)
    return report


async def memory_per_stream(count: int) -> int:
    """Returns the resident bytes of the router for each of ``count`` slow open streams."""
    loop = asyncio.get_running_loop()
    data = request_bytes("/chat", X_Events=2, X_Pace=4.0)
    before = await router_cost()
    callers = [
        (await loop.create_connection(lambda: BareCaller([]), "127.0.0.1", ROUTER_PORT))[1] for _ in range(count)
    ]
    ends = [caller.call(data, streams=True) for caller in callers]
    await asyncio.sleep(2.0)
    after = await router_cost()
    await asyncio.gather(*ends)
    for caller in callers:
        caller.transport.close()
    return int((after["memory"] - before["memory"]) / count)


def _child(*arguments: str) -> subprocess.Popen[str]:
    command = [sys.executable, "-m", "bench.forward_bench", *arguments]
    child = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    assert child.stdout is not None
    if child.stdout.readline().strip() != "ready":
        raise SystemExit(f"the {arguments[1]} process did not start")
    return child


@click.command()
@click.option(
    "--role",
    type=click.Choice(["all", "worker", "router"]),
    default="all",
    help="Process to run; all starts the others.",
)
@click.option("--seconds", default=4.0, help="Length of each measurement.")
@click.option("--streams", default=50, help="Concurrent streams for the latency per chunk.")
@click.option("--pace", default=0.03, help="Seconds between two events of a stream.")
@click.option("--profile", default=None, help="File for a profile of the router (slows it down).")
def main(role: str, seconds: float, streams: int, pace: float, profile: str | None) -> None:
    """Measures added latency and cost of the request path; prints JSON."""
    if role == "worker":
        asyncio.run(run_worker())
        return
    if role == "router":
        asyncio.run(run_router(profile))
        return
    children: list[subprocess.Popen[str]] = []
    start: Callable[..., subprocess.Popen[str]] = _child
    try:
        children.append(start("--role", "worker"))
        children.append(start("--role", "router", *(("--profile", profile) if profile else ())))
        print(json.dumps(asyncio.run(measure(seconds, streams, pace)), indent=1))
    finally:
        for child in children:
            child.terminate()
            child.wait()


if __name__ == "__main__":
    main()
