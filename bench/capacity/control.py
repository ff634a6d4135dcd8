"""Measures the control state against the number of changes in it, and restarts of real control processes.

The figures of the state are the times of deciding, applying, snapshot and restore, the memory and the sizes. The
probe of restarts also measures the rate of orders, the journal and the time until the control daemons answer again.
"""

from __future__ import annotations

import asyncio
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import msgspec

from wingwood.bundle.commands import SubmitOrder
from wingwood.bundle.state import BundleState
from wingwood.control.client import ControlClient
from wingwood.daemons.process import real_context
from wingwood.identifiers import DaemonName, Incarnation, Zone
from wingwood.transport.frames import Identity
from wingwood.transport.messenger import TcpMessenger

from .. import control_bench
from .common import Row, cpu_seconds, processor_seconds_of, resident_bytes

CHANGES = (1_000, 10_000, 28_000)
FIRST_PORT = 32200


def use_own_ports() -> None:
    """Replaces the first port of ``control_bench`` with the one of this module."""
    own: dict[str, Any] = {"FIRST_PORT": FIRST_PORT}
    for name, value in own.items():
        setattr(control_bench, name, value)


def measure_state() -> list[Row]:
    """Measures one state of 2,500 tenants; signing is done by the operator and is not counted."""
    operator = control_bench.Operator(None)  # type: ignore[arg-type]
    state = BundleState(control_bench.settings_of(9, None).operator_keys)
    empty = resident_bytes()
    rows: list[Row] = []
    deciding = applying = 0.0
    record_bytes = counted_changes = 0
    order = operator.initial_order()
    while True:
        started = time.process_time()
        record, _ = state.decide(SubmitOrder(order))
        deciding += time.process_time() - started
        assert record is not None
        started = time.process_time()
        state.apply(record)
        applying += time.process_time() - started
        operator.version = order.manifest.version
        if operator.version > 1:
            record_bytes += len(record)
            counted_changes += 1
        if operator.version in CHANGES:
            snapshots: list[bytes] = []
            snapshot_seconds = cpu_seconds(lambda: snapshots.append(state.snapshot()))  # noqa: B023
            resident = resident_bytes()
            fresh = BundleState(control_bench.settings_of(9, None).operator_keys)
            restore_seconds = cpu_seconds(lambda: fresh.restore(snapshots[0]))  # noqa: B023
            rows.append(
                {
                    "changes": operator.version,
                    "decide_ms": deciding / (counted_changes + 1) * 1e3,
                    "apply_ms": applying / (counted_changes + 1) * 1e3,
                    "record_bytes": record_bytes / counted_changes,
                    "snapshot_mb": len(snapshots[0]) / 1e6,
                    "snapshot_ms": snapshot_seconds * 1e3,
                    "restore_ms": restore_seconds * 1e3,
                    "resident_mb": (resident - empty) / 1e6,
                    "order_bytes": len(msgspec.msgpack.encode(order)),
                }
            )
            if operator.version == CHANGES[-1]:
                return rows
        order = operator.change()


class _Fleet(control_bench.ControlProcesses):
    def start(self, number: int) -> None:
        (self.folder / f"c{number + 1}").mkdir(parents=True, exist_ok=True)
        with (self.folder / f"c{number + 1}.log").open("ab") as log:
            self.children[number] = subprocess.Popen(
                [
                    *(sys.executable, "-m", "bench.capacity.control", "serve"),
                    *("--number", str(number), "--folder", str(self.folder)),
                ],
                stderr=log,
            )

    def processor(self) -> list[float]:
        return [processor_seconds_of(child.pid) for child in self.children.values()]

    def resident(self) -> list[int]:
        return [resident_bytes(child.pid) for child in self.children.values()]


async def _restarts(fleet: _Fleet) -> list[Row]:
    for number in range(3):
        fleet.start(number)
    settings = control_bench.settings_of(9, None)
    context = real_context(settings, lambda reason: None)
    identity = Identity(DaemonName("bench"), Incarnation("bench"), "tool", Zone("a"), settings.internal)
    messenger = TcpMessenger(context, identity, control_bench.KEY)
    operator = control_bench.Operator(ControlClient(context, messenger, control_bench.seeds))
    await operator.send(operator.initial_order())
    rows: list[Row] = []
    for target_version in CHANGES:
        first = operator.version
        before, started = fleet.processor(), time.monotonic()
        order_seconds = sorted([await operator.send(operator.change()) for _ in range(target_version - first)])
        used_seconds = sorted(
            after_seconds - before_seconds
            for before_seconds, after_seconds in zip(before, fleet.processor(), strict=True)
        )
        row: Row = {
            "changes": target_version,
            "orders_per_second": (target_version - first) / (time.monotonic() - started),
            "p50_ms": order_seconds[len(order_seconds) // 2] * 1e3,
            "p99_ms": order_seconds[int(len(order_seconds) * 0.99)] * 1e3,
            "journal_mb": fleet.journal_bytes() / 1e6,
            "order_core_ms": [share / (target_version - first) * 1e3 for share in used_seconds],
            "resident_mb": [pages / 1e6 for pages in fleet.resident()],
        }
        opened = len(fleet.logged_values("opened", "took"))
        fleet.kill_all()
        order = operator.change()
        started = time.monotonic()
        for number in (2, 0, 1):
            fleet.start(number)
        await operator.send(order)
        row["restart_s"] = time.monotonic() - started
        row["journal_read_s"] = max(fleet.logged_values("opened", "took")[opened - 3 :] or [0.0])
        row["restart_processor_s"] = max(fleet.processor())
        rows.append(row)
    rewrites = fleet.logged_values("journal-rewritten", "took")
    rows[-1] |= {"rewrites": len(rewrites), "longest_rewrite_s": max(rewrites, default=0.0)}
    return rows


def measure_restarts() -> list[Row]:
    use_own_ports()
    with tempfile.TemporaryDirectory() as folder:
        fleet = _Fleet(Path(folder))
        try:
            return asyncio.run(_restarts(fleet))
        finally:
            fleet.kill_all()


if __name__ == "__main__":
    use_own_ports()
    control_bench.main()
