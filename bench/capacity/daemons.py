"""Measures memory and processor time of real router and control processes against the size of the bundle."""

from __future__ import annotations

import asyncio
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from returns.result import Success

from wingwood.bundle.commands import SubmitOrder
from wingwood.bundle.model import OrderOutcome, Tenant
from wingwood.bundle.tests.samples import OPERATOR_KEYS, order_between, sample_slices, slice_of
from wingwood.control.client import ControlClient
from wingwood.identifiers import (
    Address,
    BundleVersion,
    ClassName,
    DaemonName,
    Incarnation,
    Seconds,
    SliceName,
    TenantName,
    Zone,
)
from wingwood.transport.frames import Identity
from wingwood.transport.messenger import TcpMessenger

from .common import Row, processor_seconds_of, real_quiet_context, resident_bytes

FIRST_PORT = 32500
FLEET_KEY = "0123456789abcdef" * 4
SLICES = (0, 100, 1000, 2600)
CHANGES = 60
CHANGES_PER_SECOND = 6.0
IDLE_SECONDS = 8.0

IMPORTS = {
    "interpreter": "",
    "libraries": "import tornado.httpserver, tornado.curl_httpclient, msgspec, eliot, returns.result, "
    "voluptuous, click, cryptography.hazmat.primitives.asymmetric.ed25519, prometheus_client, toolz",
    "router": "import wingwood.command_line.main, wingwood.daemons.router",
    "control": "import wingwood.command_line.main, wingwood.daemons.control",
}


def measure_empty() -> list[Row]:
    """Measures the resident memory of an interpreter that only imports modules."""
    rows: list[Row] = []
    for name, imports in IMPORTS.items():
        program = f"{imports}\nprint(open('/proc/self/statm').read())"
        found = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True, check=True)
        resident, shared = (int(pages) * 4096 / 1e6 for pages in found.stdout.split()[1:3])
        # Pages that map files (programs, libraries) are shared by all processes of a machine.
        rows.append({"imports": name, "resident_mb": resident, "of_files_mb": shared})
    return rows


def _start(folder: Path, role: str, name: str, number: int) -> subprocess.Popen[bytes]:
    command = [sys.executable, "-m", "wingwood", role, "--name", name, "--zone", "a"]
    command += ["--internal", f"127.0.0.1:{FIRST_PORT + number}", "--operator", f"127.0.0.1:{FIRST_PORT + 20 + number}"]
    for seed in range(3):
        command += ["--seed", f"127.0.0.1:{FIRST_PORT + seed}"]
    command += ["--operator-key", OPERATOR_KEYS[0], "--fleet-key-file", str(folder / "key")]
    if role == "control":
        command += ["--data-folder", str(folder / name)]
    else:
        command += ["--caller", f"127.0.0.1:{FIRST_PORT + 40 + number}"]
    with (folder / f"{name}.log").open("ab") as log:
        return subprocess.Popen(command, stdout=log, stderr=log)


class _Operator:
    def __init__(self) -> None:
        own = Identity(
            DaemonName("bench"), Incarnation("bench"), "tool", Zone("a"), Address("127.0.0.1", FIRST_PORT + 60)
        )
        context = real_quiet_context()
        messenger = TcpMessenger(context, own, bytes.fromhex(FLEET_KEY))
        seeds = tuple(Address("127.0.0.1", FIRST_PORT + number) for number in range(3))
        self._client = ControlClient(context, messenger, lambda: seeds)
        self._slices: dict[SliceName, bytes] = {}
        self.version = BundleVersion(0)

    async def send(self, after: dict[SliceName, bytes]) -> None:
        order = order_between(self.version, self._slices, after)
        outcome = await self._client.decide("bundle", SubmitOrder(order), OrderOutcome, Seconds(20.0))
        assert isinstance(outcome, Success) and outcome.unwrap().outcome == "accepted", outcome
        self.version, self._slices = order.manifest.version, after

    async def change(self, tenants: int) -> None:
        tenant = Tenant(
            name=TenantName(f"tenant-{self.version % tenants}"),
            priority_class=ClassName("gold"),
            paid_rate=10.0 + self.version,
        )
        await self.send(self._slices | dict([slice_of(tenant)]))


async def _measure_slices(slices: int) -> Row:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        (folder / "key").write_text(FLEET_KEY)
        (folder / "key").chmod(0o600)
        children = [_start(folder, "control", f"c{number}", number) for number in range(3)]
        children.append(_start(folder, "router", "r0", 3))
        try:
            await asyncio.sleep(3.0)
            row: Row = {"slices": slices}
            operator = _Operator()
            if slices:
                started = time.monotonic()
                await operator.send(sample_slices(slices - 8))
                row["first_bundle_s"] = time.monotonic() - started
            await asyncio.sleep(4.0)
            assert all(child.poll() is None for child in children), "a daemon exited before the measurement"
            before, started = [processor_seconds_of(child.pid) for child in children], time.monotonic()
            await asyncio.sleep(IDLE_SECONDS)
            passed = time.monotonic() - started
            idle = [
                (processor_seconds_of(child.pid) - early) / passed
                for child, early in zip(children, before, strict=True)
            ]
            resident = [resident_bytes(child.pid) / 1e6 for child in children]
            row |= {
                "router_mb": resident[3],
                "control_mb": sorted(resident[:3]),
                "router_idle_core": idle[3],
                "control_idle_core": sorted(idle[:3]),
            }
            if slices:
                before, started = [processor_seconds_of(child.pid) for child in children], time.monotonic()
                for number in range(CHANGES):
                    await operator.change(slices - 8)
                    await asyncio.sleep(max(0.0, started + (number + 1) / CHANGES_PER_SECOND - time.monotonic()))
                await asyncio.sleep(1.0)
                passed = time.monotonic() - started
                spent = [
                    (processor_seconds_of(child.pid) - early - share * passed) / CHANGES * 1e3
                    for child, early, share in zip(children, before, idle, strict=True)
                ]
                row |= {
                    "changes": CHANGES,
                    "router_change_ms": spent[3],
                    "control_change_ms": sorted(spent[:3]),
                    "router_mb_after": resident_bytes(children[3].pid) / 1e6,
                    "control_mb_after": sorted(resident_bytes(child.pid) / 1e6 for child in children[:3]),
                }
            return row
        finally:
            for child in children:
                child.terminate()
            for child in children:
                child.wait(30)


def measure_daemons() -> list[Row]:
    return [asyncio.run(_measure_slices(slices)) for slices in SLICES]
