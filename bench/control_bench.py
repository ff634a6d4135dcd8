"""Measures the control core on real disks and loopback: latency, throughput, restart, journal rewrites (section 7).

``python -m bench.control_bench run --folder DIR`` starts three control cores as child processes with data folders
below DIR, sends them signed orders and ledger batches, kills and restarts them, and prints a table. It ends only its
own children, by their process ids.
"""

from __future__ import annotations

import asyncio
import re
import shutil
import subprocess
import sys
import time
from collections.abc import Sequence
from pathlib import Path

import click
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from returns.result import Failure, Success

from wingwood.bundle.canonical import canonical_json
from wingwood.bundle.commands import SubmitOrder
from wingwood.bundle.model import Order, OrderOutcome, PriorityClass, Tenant
from wingwood.bundle.orders import make_order
from wingwood.bundle.signing import public_hex
from wingwood.bundle.state import BundleState
from wingwood.control.client import ControlClient
from wingwood.control.core import ReplicatedCore
from wingwood.control.store import open_store
from wingwood.daemons.process import real_context
from wingwood.identifiers import (
    Address,
    BundleVersion,
    ClassName,
    DaemonName,
    Incarnation,
    KeyDigest,
    OrderId,
    Seconds,
    SliceName,
    TenantName,
    WallTime,
    Zone,
)
from wingwood.ledger.commands import ClaimRequest, LedgerAnswers, LedgerBatch
from wingwood.ledger.state import LedgerState
from wingwood.settings.model import DaemonSettings
from wingwood.transport.frames import Identity
from wingwood.transport.messenger import TcpMessenger

KEY = b"control bench"
OPERATOR = Ed25519PrivateKey.from_private_bytes(b"\x07" * 32)
TENANTS = 2500
FIRST_PORT = 21100


def seeds() -> tuple[Address, ...]:
    return tuple(Address("127.0.0.1", FIRST_PORT + number) for number in range(3))


def settings_of(number: int, folder: Path | None) -> DaemonSettings:
    return DaemonSettings(
        name=DaemonName(f"c{number + 1}"),
        role="control",
        zone=Zone("a"),
        internal=Address("127.0.0.1", FIRST_PORT + number),
        operator=Address("127.0.0.1", FIRST_PORT + 50 + number),
        seeds=seeds(),
        data_folder=str(folder / f"c{number + 1}") if folder is not None else None,
        fleet_key=KEY,
        operator_keys=(public_hex(OPERATOR),),
    )


@click.group()
def main() -> None:
    """Measures the control core."""


@main.command()
@click.option("--number", type=int, required=True)
@click.option("--folder", type=click.Path(path_type=Path), required=True)
def serve(number: int, folder: Path) -> None:
    """Runs one control core; ``run`` starts it as a child process."""
    asyncio.run(_serve(settings_of(number, folder)))


async def _serve(settings: DaemonSettings) -> None:
    stopped = asyncio.Event()
    context = real_context(settings, lambda reason: stopped.set())
    started_at = time.monotonic()
    match await open_store(context):
        case Success((store, contents)):
            pass
        case Failure(fault):
            raise SystemExit(fault.detail)
    context.log.event("opened", took=time.monotonic() - started_at)
    identity = Identity(settings.name, store.incarnation, "control", settings.zone, settings.internal)
    messenger = TcpMessenger(context, identity, settings.fleet_key)
    appliers = (BundleState(settings.operator_keys), LedgerState(context.clock, Seconds(1800.0)))
    core = ReplicatedCore(context, messenger, store, contents, appliers, settings.seeds)
    core.start()
    messenger.start()
    await stopped.wait()


class ControlProcesses:
    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.children: dict[int, subprocess.Popen[bytes]] = {}

    def start(self, number: int) -> None:
        (self.folder / f"c{number + 1}").mkdir(parents=True, exist_ok=True)
        with (self.folder / f"c{number + 1}.log").open("ab") as log:
            self.children[number] = subprocess.Popen(
                [
                    *(sys.executable, "-m", "bench.control_bench", "serve"),
                    *("--number", str(number), "--folder", str(self.folder)),
                ],
                stderr=log,
            )

    def kill(self, number: int) -> None:
        child = self.children.pop(number)
        child.kill()
        child.wait()

    def kill_all(self) -> None:
        for number in list(self.children):
            self.kill(number)

    def logged_values(self, event: str, field: str) -> list[float]:
        """Returns the values of ``field`` of all events named ``event`` in the logs of the children."""
        found: list[float] = []
        for log in sorted(self.folder.glob("c*.log")):
            for line in log.read_text().splitlines():
                if f" event={event} " in line and (match := re.search(rf" {field}=(\S+)", line)):
                    found.append(float(match[1]))
        return found

    def journal_bytes(self) -> int:
        return max(path.stat().st_size for path in self.folder.glob("c*/control.journal"))


class Operator:
    """Builds signed orders, each of which changes the paid rate of one tenant, and sends them."""

    def __init__(self, client: ControlClient) -> None:
        self.client = client
        self.version = 0
        self.slices: dict[SliceName, bytes] = {}

    def initial_order(self) -> Order:
        gold = PriorityClass(name=ClassName("gold"))
        after = {SliceName("class/gold"): canonical_json(gold)}
        for number in range(TENANTS):
            after[SliceName(f"tenant/tenant-{number}")] = self.tenant(number, 10.0)
        return self.order(after)

    def tenant(self, number: int, rate: float) -> bytes:
        return canonical_json(
            Tenant(
                name=TenantName(f"tenant-{number}"),
                priority_class=ClassName("gold"),
                paid_rate=rate,
                keys=(KeyDigest(f"{number:064x}"),),
            )
        )

    def change(self) -> Order:
        number = self.version % TENANTS
        changed = {SliceName(f"tenant/tenant-{number}"): self.tenant(number, 11.0 + self.version)}
        return self.order({**self.slices, **changed})

    def order(self, after: dict[SliceName, bytes]) -> Order:
        identifier = OrderId(f"order-{self.version + 1}")
        order = make_order(BundleVersion(self.version), self.slices, after, OPERATOR, identifier, WallTime(time.time()))
        self.slices = after
        return order

    async def send(self, order: Order, within: float = 20.0) -> float:
        started_at = time.monotonic()
        match await self.client.submit(SubmitOrder(order), Seconds(within)):
            case Success(OrderOutcome(outcome="accepted")):
                self.version = order.manifest.version
                return time.monotonic() - started_at
            case other:
                raise SystemExit(f"order {order.manifest.order} was not accepted: {other}")


def percentiles(name: str, values: Sequence[float]) -> str:
    ordered = sorted(values)
    at = [ordered[min(len(ordered) - 1, int(len(ordered) * share))] for share in (0.5, 0.99)]
    return f"{name}: p50 {at[0] * 1000:.2f} ms, p99 {at[1] * 1000:.2f} ms, max {ordered[-1] * 1000:.1f} ms"


@main.command()
@click.option(
    "--folder", type=click.Path(path_type=Path), required=True, help="Folder for the data; removed before and after."
)
@click.option("--changes", default="1000,28000", show_default=True, help="Restart is timed at these numbers.")
def run(folder: Path, changes: str) -> None:
    """Starts three control cores, measures them, and removes their data folders."""
    shutil.rmtree(folder, ignore_errors=True)
    fleet = ControlProcesses(folder)
    try:
        asyncio.run(_run(fleet, [int(number) for number in changes.split(",")]))
    finally:
        fleet.kill_all()
        shutil.rmtree(folder, ignore_errors=True)


async def _run(fleet: ControlProcesses, changes: Sequence[int]) -> None:
    for number in range(3):
        fleet.start(number)
    settings = settings_of(9, None)
    context = real_context(settings, lambda reason: None)
    identity = Identity(DaemonName("bench"), Incarnation("bench"), "tool", Zone("a"), settings.internal)
    messenger = TcpMessenger(context, identity, KEY)
    operator = Operator(ControlClient(context, messenger, seeds))
    started_at = time.monotonic()
    await operator.send(operator.initial_order())
    click.echo(
        f"first bundle of {TENANTS} tenants, from the start of the processes: {time.monotonic() - started_at:.2f} s"
    )
    for goal in changes:
        latencies: list[float] = []
        while operator.version < goal:
            latencies.append(await operator.send(operator.change()))
            if len(latencies) % 2000 == 0:
                click.echo(f"  {operator.version} orders", err=True)
        click.echo(
            percentiles(f"orders one after another, up to {goal}", latencies)
            + f", {1 / (sum(latencies) / len(latencies)):.0f}/s"
        )
        click.echo(f"  journal {fleet.journal_bytes() / 1e6:.1f} MB")
        await _restart(fleet, operator, goal)
    rewrites = fleet.logged_values("journal-rewritten", "took")
    if rewrites:
        click.echo(
            f"journal rewrites: {len(rewrites)}, beside the orders, taking at most {max(rewrites) * 1000:.0f} ms"
        )
    for clients in (1, 16, 128):
        await _ledger(operator.client, clients)
    fleet.kill(0)
    click.echo(f"first control daemon killed, next order after {await operator.send(operator.change()):.2f} s")


async def _restart(fleet: ControlProcesses, operator: Operator, goal: int) -> None:
    """Kills all daemons after ``goal`` acknowledged orders and measures the restart up to the next acknowledgement."""
    before = len(fleet.logged_values("opened", "took"))
    fleet.kill_all()
    order = operator.change()
    started_at = time.monotonic()
    for number in (2, 0, 1):
        fleet.start(number)
    await operator.send(order)
    click.echo(
        f"all killed at {goal} orders: next order acknowledged {time.monotonic() - started_at:.2f} s after the start; "
        f"journal read in at most {max(fleet.logged_values('opened', 'took')[before - 3 :]):.2f} s"
    )


async def _ledger(client: ControlClient, clients: int) -> None:
    latencies: list[float] = []
    end = time.monotonic() + 4.0

    async def one(number: int) -> None:
        router, claim = Incarnation(f"router-{clients}-{number}"), 0
        while time.monotonic() < end:
            claim += 1
            key = claim.to_bytes(8, "big") + number.to_bytes(4, "big") + clients.to_bytes(4, "big")
            started_at = time.monotonic()
            batch = LedgerBatch(router, 0, claims=(ClaimRequest(claim, key),))
            match await client.decide("ledger", batch, LedgerAnswers, Seconds(5.0)):
                case Success(_):
                    latencies.append(time.monotonic() - started_at)
                case Failure(fault):
                    raise SystemExit(f"ledger claim failed: {fault}")

    await asyncio.gather(*(one(number) for number in range(clients)))
    click.echo(percentiles(f"ledger claims, {clients} at a time", latencies) + f", {len(latencies) / 4.0:.0f}/s")


if __name__ == "__main__":
    main()
