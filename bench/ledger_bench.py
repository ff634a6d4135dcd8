"""Measures claims through the real control core on loopback, and the size of ledger entries.

``python -m bench.ledger_bench claims`` starts three control daemons as child processes (ended by their process ids)
and claims and settles through them from this process; ``entries`` fills a ledger in memory; ``takeover`` loses control
machines on simulated time.
"""

from __future__ import annotations

import asyncio
import gc
import random
import resource
import subprocess
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Sequence
from pathlib import Path

import click
from returns.result import Success

from wingwood.context.protocols import Context
from wingwood.context.real import RealClock, RealDisk, RealNetwork, RealTasks
from wingwood.control.client import ControlClient
from wingwood.control.core import ReplicatedCore
from wingwood.control.store import open_store
from wingwood.identifiers import (
    Address,
    DaemonName,
    IdempotencyKey,
    Incarnation,
    Seconds,
    ServiceName,
    TenantName,
    Zone,
)
from wingwood.ledger.client import RouterLedger
from wingwood.ledger.commands import ClaimRequest, LedgerBatch, OutcomeReport, call_digest
from wingwood.ledger.protocols import CallKey, Claimed
from wingwood.ledger.state import LedgerState
from wingwood.ledger.tests.test_core import CONTROLS, LedgerFleet
from wingwood.transport.frames import Identity
from wingwood.transport.messenger import TcpMessenger

KEY = b"ledger bench's key, of no worth"
FIRST_PORT = 30100
SEEDS = tuple(Address("127.0.0.1", FIRST_PORT + number) for number in range(3))
RETENTION = Seconds(1800.0)


class InvariantLog:
    def event(self, name: str, **fields: object) -> None:
        if name == "invariant-broken":
            print(name, fields, file=sys.stderr, flush=True)


def make_context(folder: Path) -> Context:
    log = InvariantLog()
    return Context(
        clock=RealClock(),
        network=RealNetwork(),
        disk=RealDisk(folder),
        http=None,  # type: ignore[arg-type]
        random=random.Random(),
        log=log,
        tasks=RealTasks(log, sys.exit),
    )


def call_key(number: int) -> CallKey:
    return CallKey(TenantName("bench"), ServiceName("cards"), IdempotencyKey(f"order {number}"))


@click.group()
def main() -> None:
    """Measures the at-most-once ledger."""


@main.command()
@click.option("--number", type=int, required=True)
@click.option("--folder", type=click.Path(path_type=Path), required=True)
def control(number: int, folder: Path) -> None:
    """Runs one control daemon until its standard input ends."""

    async def run() -> None:
        context = make_context(folder)
        opened = await open_store(context)
        assert isinstance(opened, Success), opened
        store, contents = opened.unwrap()
        identity = Identity(DaemonName(f"c{number}"), store.incarnation, "control", Zone("a"), SEEDS[number])
        messenger = TcpMessenger(context, identity, KEY)
        core = ReplicatedCore(context, messenger, store, contents, [LedgerState(context.clock, RETENTION)], SEEDS)
        core.start()
        assert isinstance(messenger.start(), Success)
        reader = asyncio.StreamReader()
        loop = asyncio.get_running_loop()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        while await reader.readline():
            usage = resource.getrusage(resource.RUSAGE_SELF)
            journal = sum(path.stat().st_size for path in folder.iterdir())
            print(usage.ru_utime + usage.ru_stime, core.report().own_role, journal, flush=True)

    asyncio.run(run())


class ControlChild:
    def __init__(self, number: int, folder: Path) -> None:
        command = [sys.executable, "-m", "bench.ledger_bench", "control", "--number", str(number)]
        self._process = subprocess.Popen(
            [*command, "--folder", str(folder)], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )

    def report(self) -> tuple[float, str, int]:
        assert self._process.stdin is not None and self._process.stdout is not None
        self._process.stdin.write("\n")
        self._process.stdin.flush()
        processor, role, journal = self._process.stdout.readline().split()
        return float(processor), role, int(journal)

    def end(self) -> None:
        self._process.terminate()
        self._process.wait()


@main.command()
@click.option("--seconds", default=4.0, show_default=True, help="Length of each load.")
def claims(seconds: float) -> None:
    """Claims and settles with several numbers of callers, and at the current production rate of 30 calls a second."""
    with tempfile.TemporaryDirectory() as folder:
        children = [ControlChild(number, Path(folder) / f"c{number}") for number in range(3)]
        try:
            asyncio.run(_claims(children, seconds))
        finally:
            for child in children:
                child.end()


async def _claims(children: Sequence[ControlChild], seconds: float) -> None:
    context = make_context(Path("."))
    address = Address("127.0.0.1", FIRST_PORT + 10)
    identity = Identity(DaemonName("bench"), Incarnation("bench"), "router", Zone("a"), address)
    messenger = TcpMessenger(context, identity, KEY)
    ledger = RouterLedger(context, Incarnation("bench"), ControlClient(context, messenger, lambda: SEEDS))
    number = 0

    async def claim_once() -> tuple[bool, float]:
        nonlocal number
        number += 1
        key = call_key(number)
        started_at = time.perf_counter()
        answer = await ledger.claim(key, Seconds(5.0))
        took = time.perf_counter() - started_at
        if isinstance(answer, Claimed):
            ledger.report_outcome_soon(key, answer.ticket, "ran")
        return isinstance(answer, Claimed), took

    for _ in range(100):
        if (await claim_once())[0]:
            break
        await asyncio.sleep(0.1)
    titles = f"{'load':>16} {'claims/s':>9} {'p50 ms':>7} {'p99 ms':>7} {'max ms':>7} {'failed':>6}"
    click.echo(titles + "  primary, backup: core share, journal bytes a call")
    for callers, pace in ((1, 30.0), (1, 0.0), (16, 0.0), (64, 0.0), (256, 0.0)):
        before = [child.report() for child in children]
        times: list[float] = []
        started_at, failed = time.perf_counter(), 0

        async def caller(pace: float, times: list[float], until: float) -> None:
            nonlocal failed
            while time.perf_counter() < until:
                granted, took = await claim_once()
                failed += not granted
                times.append(took)
                if pace:
                    await asyncio.sleep(max(0.0, 1 / pace - took))

        await asyncio.gather(*(caller(pace, times, started_at + seconds) for _ in range(callers)))
        took = time.perf_counter() - started_at
        times.sort()
        shares = sorted(
            ((role, (processor - earlier[0]) / took, (journal - earlier[2]) / len(times)))
            for earlier, (processor, role, journal) in zip(before, (child.report() for child in children), strict=True)
            if role in ("primary", "backup")
        )
        load = f"{callers} callers" + (f" {pace:.0f}/s" if pace else "")
        click.echo(
            f"{load:>16} {len(times) / took:9.0f} {times[len(times) // 2] * 1e3:7.2f}"
            f" {times[int(len(times) * 0.99)] * 1e3:7.2f} {times[-1] * 1e3:7.2f} {failed:6}  "
            + ", ".join(f"{role} {share:.2f} {journal:.0f}" for role, share, journal in reversed(shares))
        )


@main.command()
@click.option("--sizes", default="10000,54000,200000,1000000", show_default=True)
def entries(sizes: str) -> None:
    """Measures bytes per entry (settled and running calls), snapshot size, and processor time of the ledger state."""
    titles = f"{'entries':>9} {'ran B':>6} {'held B':>6} {'snapshot B':>10} {'snapshot ms':>11}"
    click.echo(titles + f" {'restore ms':>10} {'µs a call':>9}")
    for size in (int(text) for text in sizes.split(",")):
        bytes_per_entry = []
        for settled in (True, False):
            gc.collect()
            tracemalloc.start()
            state = LedgerState(RealClock(), RETENTION)
            before = tracemalloc.get_traced_memory()[0]
            _fill_ledger(state, size, settled)
            gc.collect()
            bytes_per_entry.append((tracemalloc.get_traced_memory()[0] - before) / size)
            tracemalloc.stop()
        state = LedgerState(RealClock(), RETENTION)
        started_at = time.perf_counter()
        _fill_ledger(state, size, True)
        fill_seconds = time.perf_counter() - started_at
        started_at = time.perf_counter()
        snapshot = state.snapshot()
        snapshot_seconds = time.perf_counter() - started_at
        started_at = time.perf_counter()
        LedgerState(RealClock(), RETENTION).restore(snapshot)
        restore_seconds = time.perf_counter() - started_at
        click.echo(
            f"{size:9} {bytes_per_entry[0]:6.0f} {bytes_per_entry[1]:6.0f} {len(snapshot) / size:10.1f}"
            f" {snapshot_seconds * 1e3:11.1f}"
            f" {restore_seconds * 1e3:10.1f} {fill_seconds / size * 1e6:9.1f}"
        )


@main.command()
@click.option("--seeds", default=6, show_default=True)
def takeover(seeds: int) -> None:
    """Makes 30 claims a second on simulated time while a control machine is lost; prints refusals and longest wait."""
    click.echo(f"{'lost':>10} {'claims':>7} {'refused':>8} {'longest granted':>16}")
    for loss in ("primary killed", "primary frozen", "primary dark", "backup killed", "all restarted"):
        claims = refused = 0
        longest = 0.0
        for seed in range(seeds):
            answers = _claims_during_loss(seed, loss)
            claims += len(answers)
            refused += sum(not granted for granted, _ in answers)
            longest = max(longest, *(took for granted, took in answers if granted))
        click.echo(f"{loss:>14} {claims:>7} {refused:>8} {longest:>14.2f} s")


def _claims_during_loss(seed: int, loss: str) -> list[tuple[bool, float]]:
    """Returns for each claim started within 5 s after the loss whether it was granted, and after how many seconds."""
    fleet = LedgerFleet(seed, routers=2)
    assert fleet.routers is not None
    world, ledger = fleet.world, fleet.routers.ledgers["r0"]
    context = world.context_for(world.processes["r0"])
    answers: list[tuple[bool, float]] = []

    async def claim_once(number: int) -> None:
        started_at = world.now
        answer = await ledger.claim(call_key(number), Seconds(2.0))
        answers.append((isinstance(answer, Claimed), world.now - started_at))
        if isinstance(answer, Claimed):
            ledger.report_outcome_soon(call_key(number), answer.ticket, "ran")

    async def load() -> None:
        for number in range(150):
            context.tasks.spawn("claim", claim_once(number))
            await context.clock.sleep(Seconds(1 / 30))

    world.run(2.0)
    primary = fleet.control.leader()
    assert primary is not None
    world.spawn(world.processes["r0"], load(), "load")
    world.run(0.01)
    if loss == "primary killed":
        world.kill(primary)
    elif loss == "primary frozen":
        world.freeze(primary)
    elif loss == "primary dark":
        world.power_off(primary)
    elif loss == "backup killed":
        world.kill(fleet.control.name_with_role("backup"))
    else:
        for name in CONTROLS:
            world.restart(name)
    world.run(8.0)
    fleet.control.close()
    return answers


def _fill_ledger(state: LedgerState, size: int, settled: bool) -> None:
    """Adds ``size`` entries, one claim in each batch; with ``settled`` each batch reports the previous call as ran."""
    previous_outcome: tuple[OutcomeReport, ...] = ()
    for number in range(1, size + 1):
        key = call_digest(call_key(number))
        record, _ = state.decide(
            LedgerBatch(Incarnation("bench"), number, (ClaimRequest(number, key),), previous_outcome)
        )
        assert record is not None
        state.apply(record)
        previous_outcome = (OutcomeReport(number, key, "ran"),) if settled else ()


if __name__ == "__main__":
    main()
