"""Measures how soon a draining worker receives no more turns: ``python -m bench.drains`` (docs/MEASUREMENTS.md).

A real fleet runs under load; short calls of one tenant are added so that each worker receives many turns a second. In
each round the tool announces in the name of a model worker that the worker drains. The worker itself does not know and
accepts every turn, so each late turn runs and is seen; a worker that knew would refuse them. (A router whose feed is
older than a second asks the worker, which then answers that it is ready: the method of this tool is the stricter one.)
Times count from the acknowledgement of the announcement: to the arrival of the last new turn at the worker, and to the
first list of each router that shows the worker as draining.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import click
import msgspec

from fleet.http import JsonClient
from fleet.launcher import Fleet, open_shape, push_bundle
from fleet.plan import DaemonPlan, WorkerPlan
from fleet.shape import Shape
from fleet.waiting import FleetError, wait_until

from .load.run import new_run_name, run_load
from .load.target import read_target
from .load.traffic import Callers, LoadOptions
from .roll_outs import percentiles_ms

WATCH_SECONDS = 2.5
"""How long turns are counted after the acknowledgement."""
MAX_TURN_DELAY_SECONDS = 2.0
"""No turn may arrive at the worker later than this after the acknowledgement."""
WARM_UP_SECONDS = 5.0
POLL_INTERVAL_SECONDS = 0.02
LISTING_TIMEOUT_SECONDS = 5.0


class Measure:
    def __init__(self, fleet: Fleet, http: JsonClient) -> None:
        self._fleet = fleet
        self._http = http
        self.acknowledgement_times: list[float] = []
        """Seconds from sending each announcement to its acknowledgement."""
        self.last_turn_delays: list[float] = []
        """Seconds from the acknowledgement to the arrival of the last turn, for each round that had a late turn."""
        self.late_turns = 0
        self.turns_before: list[float] = []
        """Turns that arrived at the worker in the second before the acknowledgement, one count for each round."""
        self.listing_times: list[float] = []
        self.last_listing_times: list[float] = []
        self.problems: list[str] = []

    async def round(self, number: int, worker: WorkerPlan) -> None:
        health = await self._http.get(worker.address, "/health")
        instance = str(health.body["instance"])
        daemons = list(self._fleet.daemons.values())
        daemon = daemons[number % len(daemons)]
        announcement = {
            "instance": instance,
            "address": worker.address,
            "pool": worker.pool.name,
            "zone": worker.zone,
            "slots": worker.pool.slots,
            "cache_tokens": worker.pool.cache_tokens,
            "state": "draining",
        }
        sent = time.monotonic()
        reply = await self._http.post(daemon.operator, "/workers/v1/announce", announcement)
        acknowledged_at = time.monotonic()
        if not reply.succeeded:
            self.problems.append(f"{daemon.name} answered {reply.status} {reply.body}")
            return
        self.acknowledgement_times.append(acknowledged_at - sent)
        waits = await asyncio.gather(
            *(self._time_until_listed(router, instance, acknowledged_at) for router in self._fleet.routers())
        )
        seen = [wait for wait in waits if wait is not None]
        self.listing_times += seen
        if len(seen) == len(waits):
            self.last_listing_times.append(max(seen))
        else:
            self.problems.append(f"{len(waits) - len(seen)} routers did not list {instance} as draining")
        await asyncio.sleep(max(0.0, acknowledged_at + WATCH_SECONDS - time.monotonic()))
        await self._count_turns(worker, instance, acknowledged_at)
        await self._restart_worker(worker, instance)

    async def _time_until_listed(self, router: DaemonPlan, instance: str, since: float) -> float | None:
        while time.monotonic() < since + LISTING_TIMEOUT_SECONDS:
            reply = await self._http.get(router.operator, "/control/v1/workers")
            if reply.succeeded and not any(
                each["instance"] == instance and each["state"] == "ready" for each in reply.body
            ):
                return time.monotonic() - since
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        return None

    async def _count_turns(self, worker: WorkerPlan, instance: str, acknowledged_at: float) -> None:
        reply = await self._http.get(worker.address, "/runs", timeout=20.0)
        arrivals = [run["arrived"] for run in reply.body["runs"] if run["request"] and run["instance"] == instance]
        self.turns_before.append(sum(acknowledged_at - 1.0 < arrived <= acknowledged_at for arrived in arrivals))
        late = [arrived - acknowledged_at for arrived in arrivals if arrived > acknowledged_at]
        self.late_turns += len(late)
        if late:
            self.last_turn_delays.append(max(late))

    async def _restart_worker(self, worker: WorkerPlan, instance: str) -> None:
        """Restarts the idle worker with an empty cache and waits until all routers list its new instance as ready."""

        async def idle() -> bool:
            health = await self._http.get(worker.address, "/health")
            return health.succeeded and not health.body["running"] and not health.body["waiting"]

        await wait_until(f"{worker.name} is idle", idle)
        await self._http.post(worker.address, "/faults", {"fault": "restart-empty"})

        async def is_listed_again() -> bool:
            for router in self._fleet.routers():
                reply = await self._http.get(router.operator, "/control/v1/workers")
                ready = (
                    {each["instance"] for each in reply.body if each["state"] == "ready"} if reply.succeeded else set()
                )
                if not any(each != instance and each.rpartition("-")[0] == worker.name for each in ready):
                    return False
            return True

        await wait_until(f"{worker.name} is back", is_listed_again)

    def report(self) -> dict[str, Any]:
        rounds = len(self.acknowledgement_times)
        return {
            "rounds": rounds,
            "announcement_acknowledged_after": percentiles_ms(self.acknowledgement_times),
            "turns_a_second_before": round(sum(self.turns_before) / max(1, len(self.turns_before)), 2),
            "late_turns": self.late_turns,
            "rounds_with_late_turns": len(self.last_turn_delays),
            "last_late_turn": percentiles_ms(self.last_turn_delays),
            "listed_as_draining_each_router": percentiles_ms(self.listing_times),
            "listed_as_draining_last_router": percentiles_ms(self.last_listing_times),
            "problems": self.problems,
        }


async def _run(shape: Shape, folder: Path, rounds: int, scale: float, flood: float) -> dict[str, Any]:
    tenant = shape.tenants[0].name
    paid = tuple(
        msgspec.structs.replace(each, paid_rate=each.paid_rate + 2 * flood) if each.name == tenant else each
        for each in shape.tenants
    )
    http = JsonClient()
    async with Fleet(msgspec.structs.replace(shape, tenants=paid), folder) as fleet:
        await fleet.start()
        await wait_until("control is complete", fleet.control_complete)
        await push_bundle(fleet)
        await fleet.wait_until_ready()
        started: list[Callers] = []
        options = LoadOptions(
            seconds=3600.0,
            scale=scale,
            direct_share=0.0,
            flood_tenant=tenant,
            flood_rate=flood,
            run_name=new_run_name(),
        )
        target = read_target(fleet.folder / "fleet.json")
        load = asyncio.create_task(run_load(target, options, quiet=True, on_start=started.append))
        measure = Measure(fleet, http)
        workers = [worker for worker in fleet.workers.values() if worker.pool.kind == "model"]
        try:
            await asyncio.sleep(WARM_UP_SECONDS)
            before = os.getloadavg()
            for number in range(rounds):
                await measure.round(number, workers[number % len(workers)])
            after = os.getloadavg()
        finally:
            for callers in started:
                callers.stop()
            result = (await load)[0]
            http.close()
        caller_results = {
            name: result[name] for name in ("calls", "calls_per_second", "outcomes", "refusals", "problems")
        }
        return {
            "shape": shape.name,
            "load_average": before,
            "load_average_end": after,
            **measure.report(),
            "callers": caller_results,
        }


@click.command()
@click.option("--shape", type=click.Path(path_type=Path), default=Path("despensa"), show_default=True)
@click.option("--rounds", default=27, show_default=True)
@click.option("--scale", default=1.0, show_default=True, help="Factor on the call rates of the shape.")
@click.option("--flood", default=60.0, show_default=True, help="Additional short calls per second.")
def main(shape: Path, rounds: int, scale: float, flood: float) -> None:
    """Prints the results as JSON.

    The exit code is 1 after a turn later than 2 s or another problem, and 2 when the fleet failed.
    """
    try:
        with tempfile.TemporaryDirectory(prefix="wingwood-drains-") as folder:
            found = asyncio.run(_run(open_shape(shape), Path(folder), rounds, scale, flood))
    except FleetError as problem:
        click.echo(f"error: {problem}", err=True)
        sys.exit(2)
    click.echo(json.dumps(found, indent=1))
    too_late = found["last_late_turn"].get("max", 0.0) > MAX_TURN_DELAY_SECONDS * 1000
    sys.exit(1 if too_late or found["problems"] else 0)


if __name__ == "__main__":
    main()
