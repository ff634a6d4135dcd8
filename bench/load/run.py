"""Runs load once against a running fleet."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

import click

from fleet.caller import Caller
from fleet.http import JsonClient
from wingwood.context.curl_client import CurlHttpClient
from wingwood.context.real import RealClock

from .measure import Measurements
from .processes import ProcessMonitor, usage_by_kind
from .report import build_result
from .target import RouterAddresses, Target
from .traffic import Callers, LoadOptions
from .workers import WorkerMonitor

PROGRESS_INTERVAL_S = 2.0


class ReadinessPoller:
    """Polls which routers report that they are ready; callers use only these, as behind the platform."""

    def __init__(self, target: Target, http: JsonClient) -> None:
        self._target = target
        self._http = http
        self.ready: Sequence[RouterAddresses] = target.routers

    async def poll(self) -> None:
        while True:
            replies = await asyncio.gather(
                *(self._http.get(router.operator, "/ready", timeout=1.0) for router in self._target.routers)
            )
            self.ready = tuple(
                router for router, reply in zip(self._target.routers, replies, strict=True) if reply.succeeded
            )
            await asyncio.sleep(0.5)


async def run_load(
    target: Target,
    options: LoadOptions,
    quiet: bool = False,
    on_start: Callable[[Callers], None] | None = None,
    processes: Mapping[str, int] | None = None,
) -> tuple[dict[str, Any], Callers]:
    """Runs the load and returns the result and the callers with their records.

    ``on_start`` is called with the callers when they start. ``processes`` lists by name the ids of the processes whose
    processor time and memory are to be reported.
    """
    clock = RealClock()
    http = JsonClient()
    curl = CurlHttpClient()
    callers = Callers(target, options, Caller(curl, clock), clock, Measurements())
    poller = ReadinessPoller(target, http)
    callers.ready_routers = lambda: poller.ready
    worker_monitor = WorkerMonitor(target, http)
    await worker_monitor.record_baseline()
    background_tasks = [asyncio.create_task(worker_monitor.sample()), asyncio.create_task(poller.poll())]
    if not quiet:
        background_tasks.append(asyncio.create_task(_print_progress(callers, options)))
    process_monitor = ProcessMonitor(processes or {})
    if on_start is not None:
        on_start(callers)
    try:
        await callers.run()
        elapsed = callers.elapsed()
        processes_usage = process_monitor.report(elapsed)
    finally:
        for task in background_tasks:
            task.cancel()
    pools = await worker_monitor.report()
    curl.close()
    http.close()
    return {
        **build_result(callers, options, pools, elapsed),
        "processes": processes_usage,
        "kinds": usage_by_kind(processes_usage),
    }, callers


async def _print_progress(callers: Callers, options: LoadOptions) -> None:
    while True:
        await asyncio.sleep(PROGRESS_INTERVAL_S)
        measured = callers.measurements
        first = measured.timings["first_token"]
        click.echo(
            f"{callers.elapsed():6.1f}/{options.seconds:.0f} s  calls {sum(measured.outcomes.values()):>6}"
            f"  under way {callers.open_sessions:>4}  whole {measured.outcomes['whole']:>6}"
            f"  refused {sum(measured.refusals.values()):>5}  pieces {measured.events:>8}"
            f"  first token p50 {first.percentile(50):7.1f} p95 {first.percentile(95):7.1f} ms"
            f"  problems {sum(measured.problems.values())}",
            err=True,
        )


def new_run_name() -> str:
    return f"{random.SystemRandom().getrandbits(24):06x}"


def result_files(folder: Path, name: str) -> tuple[Path, Path]:
    """Creates the folder, and returns the paths of the JSON document and of the picture."""
    folder.mkdir(parents=True, exist_ok=True)
    return folder / f"{name}.json", folder / f"{name}.png"
