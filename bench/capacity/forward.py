"""Measures forwarding: processor time of a router against calls and chunks per second, memory against open streams.

``python -m bench.capacity.forward --role worker|router`` runs one of the child processes.
"""

from __future__ import annotations

import asyncio
import subprocess
import sys
import time
from typing import Any

from .. import forward_bench
from ..forward_bench import BareCaller, closed_loop, quantiles, request_bytes, router_cost
from .common import Row

PORT = 32400
STREAM_COUNTS = (10, 50, 200)
CALLER_COUNTS = (2, 10, 40)
CALLS_PER_SECOND_PER_CALLER = 10.0
"""The rate is well below the capacity of the router, so that the router sustains it and the rate is known."""
OPEN_STREAM_COUNTS = (100, 300, 600)
EVENT_INTERVAL_S = 0.032
"""The time between two events of a stream."""
MEASURED_SECONDS = 6.0


def use_own_ports() -> None:
    """Replaces the ports of ``forward_bench`` with those of this module."""
    own: dict[str, Any] = {"ROUTER_PORT": PORT, "WORKER_PORT": PORT + 1, "COST_PORT": PORT + 2}
    for name, value in own.items():
        setattr(forward_bench, name, value)


def _start_child(role: str) -> subprocess.Popen[str]:
    command = [sys.executable, "-m", "bench.capacity.forward", "--role", role]
    child = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    assert child.stdout is not None and child.stdout.readline().strip() == "ready", role
    return child


def _with_router(measure: Any) -> list[Row]:
    """Runs the measurement against a worker and a router that run as child processes."""
    use_own_ports()
    children = [_start_child("worker"), _start_child("router")]
    try:
        rows: list[Row] = asyncio.run(measure())
        return rows
    finally:
        for child in children:
            child.terminate()
            child.wait()


async def _measure_closed_loop(callers: int, data: bytes, streams: bool) -> Row:
    before, started = await router_cost(), time.monotonic()
    found = await closed_loop(PORT, callers, MEASURED_SECONDS, data, streams)
    after, elapsed = await router_cost(), time.monotonic() - started
    row: Row = {
        "callers": callers,
        "calls_per_second": len(found["calls"]) / elapsed,
        "pieces_per_second": len(found["events"]) / elapsed,
        "core": (after["processor"] - before["processor"]) / elapsed,
    }
    quantile = quantiles(found["events" if streams else "calls"])
    return row | {f"{name}_ms": value for name, value in quantile.items()}


async def _calls() -> list[Row]:
    """Measures short calls without a stream, at a known rate, on connections that stay open."""
    loop = asyncio.get_running_loop()
    data = request_bytes("/plain")
    rows: list[Row] = []
    for callers in CALLER_COUNTS:
        took_ms: list[float] = []
        before, started = await router_cost(), time.monotonic()

        async def call_on(number: int, callers: int, started: float, took_ms: list[float]) -> int:
            _, protocol = await loop.create_connection(lambda: BareCaller([]), "127.0.0.1", PORT)
            due = started + number / callers / CALLS_PER_SECOND_PER_CALLER
            while due < started + MEASURED_SECONDS:
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                sent = time.monotonic()
                await protocol.call(data, False)
                took_ms.append((time.monotonic() - sent) * 1e3)
                due += 1 / CALLS_PER_SECOND_PER_CALLER
            protocol.transport.close()
            return protocol.failed

        failed = sum(await asyncio.gather(*(call_on(number, callers, started, took_ms) for number in range(callers))))
        after, elapsed = await router_cost(), time.monotonic() - started
        row: Row = {
            "callers": callers,
            "calls_per_second": len(took_ms) / elapsed,
            "failed": failed,
            "core": (after["processor"] - before["processor"]) / elapsed,
        }
        rows.append(row | {f"{name}_ms": value for name, value in quantiles(took_ms).items()})
    return rows


async def _streams() -> list[Row]:
    data = request_bytes("/chat", X_Events=100, X_Pace=EVENT_INTERVAL_S)
    return [await _measure_closed_loop(streams, data, True) for streams in STREAM_COUNTS]


async def _open() -> list[Row]:
    """Measures the memory of a router with a number of slow streams open at once.

    The numbers increase, so that a larger number cannot run entirely in memory left over from the one before.
    """
    loop = asyncio.get_running_loop()
    data = request_bytes("/chat", X_Events=2, X_Pace=5.0)
    rows: list[Row] = [{"streams": 0, "resident_mb": (await router_cost())["memory"] / 1e6}]
    for count in OPEN_STREAM_COUNTS:
        callers = [(await loop.create_connection(lambda: BareCaller([]), "127.0.0.1", PORT))[1] for _ in range(count)]
        answers = [caller.call(data, streams=True) for caller in callers]
        await asyncio.sleep(2.5)
        rows.append({"streams": count, "resident_mb": (await router_cost())["memory"] / 1e6})
        await asyncio.gather(*answers)
        for caller in callers:
            caller.transport.close()
    return rows


def measure_calls() -> list[Row]:
    return _with_router(_calls)


def measure_streams() -> list[Row]:
    return _with_router(_streams)


def measure_open() -> list[Row]:
    return _with_router(_open)


if __name__ == "__main__":
    use_own_ports()
    forward_bench.main()
