"""Measures the ledger: memory by the number of entries, and claims at rising rates through three control processes."""

from __future__ import annotations

import asyncio
import gc
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from wingwood.context.real import RealClock
from wingwood.control.client import ControlClient
from wingwood.identifiers import Address, DaemonName, Incarnation, Seconds, Zone
from wingwood.ledger.client import RouterLedger
from wingwood.ledger.protocols import Claimed
from wingwood.ledger.state import LedgerState
from wingwood.transport.frames import Identity
from wingwood.transport.messenger import TcpMessenger

from .. import ledger_bench
from .common import Row, cpu_seconds, processor_seconds, real_quiet_context

SIZES = (10_000, 100_000, 1_000_000)
RATES = (30, 300, 1000, 2000)
FIRST_PORT = 32100


def use_own_ports() -> None:
    own: dict[str, Any] = {
        "FIRST_PORT": FIRST_PORT,
        "SEEDS": tuple(Address("127.0.0.1", FIRST_PORT + number) for number in range(3)),
    }
    for name, value in own.items():
        setattr(ledger_bench, name, value)


def measure_entries() -> list[Row]:
    """Measures memory, claim time, snapshot and restore of one ledger state at each number of entries."""
    rows = []
    for size in SIZES:
        weights = []
        for settled in (True, False):
            gc.collect()
            tracemalloc.start()
            state = LedgerState(RealClock(), ledger_bench.RETENTION)
            # Tracing slows the filling, and a quarter of the largest size is enough to give the memory of one entry.
            traced_entries = size if size <= 100_000 else size // 4
            ledger_bench._fill_ledger(state, traced_entries, settled)
            gc.collect()
            weights.append(tracemalloc.get_traced_memory()[0] / traced_entries)
            tracemalloc.stop()
        state = LedgerState(RealClock(), ledger_bench.RETENTION)
        fill_seconds = cpu_seconds(lambda: ledger_bench._fill_ledger(state, size, True))  # noqa: B023
        snapshot = b""

        def take_snapshot() -> None:
            nonlocal snapshot
            snapshot = state.snapshot()  # noqa: B023

        snapshot_seconds = cpu_seconds(take_snapshot)
        restore_seconds = cpu_seconds(lambda: LedgerState(RealClock(), ledger_bench.RETENTION).restore(snapshot))  # noqa: B023
        rows.append(
            {
                "entries": size,
                "ran_bytes": weights[0],
                "running_bytes": weights[1],
                "rules_us": fill_seconds / size * 1e6,
                "snapshot_bytes": len(snapshot) / size,
                "snapshot_ms": snapshot_seconds * 1e3,
                "restore_ms": restore_seconds * 1e3,
            }
        )
    return rows


class _ControlChild(ledger_bench.ControlChild):
    def __init__(self, number: int, folder: Path) -> None:
        import subprocess  # noqa: PLC0415

        self._process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "bench.capacity.ledger",
                "control",
                "--number",
                str(number),
                "--folder",
                str(folder),
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )


async def _claims(children: Sequence[_ControlChild], seconds: float) -> list[Row]:
    context = real_quiet_context()
    identity = Identity(
        DaemonName("bench"), Incarnation("bench"), "router", Zone("a"), Address("127.0.0.1", FIRST_PORT + 10)
    )
    messenger = TcpMessenger(context, identity, ledger_bench.KEY)
    seeds = ledger_bench.SEEDS
    ledger = RouterLedger(context, Incarnation("bench"), ControlClient(context, messenger, lambda: seeds))
    number = 0
    rows = []

    async def claim_and_report(times: list[float]) -> bool:
        nonlocal number
        number += 1
        key = ledger_bench.call_key(number)
        started = time.perf_counter()
        answer = await ledger.claim(key, Seconds(5.0))
        if isinstance(answer, Claimed):
            ledger.report_outcome_soon(key, answer.ticket, "ran")
            times.append(time.perf_counter() - started)
        return isinstance(answer, Claimed)

    for _ in range(200):
        if await claim_and_report([]):
            break
        await asyncio.sleep(0.1)
    for rate in RATES:
        times: list[float] = []
        before, own = [child.report() for child in children], processor_seconds()
        started = time.perf_counter()
        tasks: list[asyncio.Task[bool]] = []
        while (passed := time.perf_counter() - started) < seconds:
            while len(tasks) < passed * rate:
                tasks.append(asyncio.create_task(claim_and_report(times)))
            await asyncio.sleep(0.005)
        failed = sum(not granted for granted in await asyncio.gather(*tasks))
        await asyncio.sleep(0.3)
        took, spent = time.perf_counter() - started, processor_seconds() - own
        times.sort()
        row: Row = {"rate": len(tasks) / took, "wanted_rate": rate, "failed": failed, "router_core": spent / took}
        for (early, _, bytes_early), child in zip(before, children, strict=True):
            late, role, bytes_late = child.report()
            row[f"{role}_core"] = (late - early) / took
            row[f"{role}_journal_bytes"] = (bytes_late - bytes_early) / len(tasks)
        row["p50_ms"], row["p99_ms"] = (1e3 * times[int(len(times) * traced_entries)] for traced_entries in (0.5, 0.99))
        rows.append(row)
    return rows


def measure_claims() -> list[Row]:
    """Measures claims of one router at each rate, against three control processes."""
    use_own_ports()
    with tempfile.TemporaryDirectory() as folder:
        children = [_ControlChild(number, Path(folder) / f"c{number}") for number in range(3)]
        try:
            return asyncio.run(_claims(children, 6.0))
        finally:
            for child in children:
                child.end()


if __name__ == "__main__":
    use_own_ports()
    ledger_bench.main()
