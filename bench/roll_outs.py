"""Measures how soon a bundle is in force (docs/MEASUREMENTS.md; docs/DESIGN.md section 17).

``python -m bench.roll_outs --help`` shows the options.

A real fleet is started; changes are made one after another, then as a storm. Each router is polled for
``/control/v1/health`` over one keep-alive connection. The measured time runs from the acknowledgement that the operator
received to the router's first answer with this version or a newer one; it is 0 where that answer came first.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile
import time
from bisect import bisect_left
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import click
import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from cryptography.hazmat.primitives.serialization import load_pem_private_key

from fleet.http import JsonClient
from fleet.launcher import Fleet, open_shape, push_bundle
from fleet.shape import Shape
from fleet.waiting import FleetError, wait_until
from wingwood.bundle.canonical import canonical_json
from wingwood.bundle.model import Order
from wingwood.bundle.orders import make_order
from wingwood.identifiers import BundleVersion, OrderId, SliceName, WallTime

from .load.run import new_run_name, run_load
from .load.target import read_target
from .load.traffic import Callers, LoadOptions

POLL_INTERVAL_SECONDS = 0.005
SETTLE_TIMEOUT_SECONDS = 15.0


class VersionObservation(msgspec.Struct, frozen=True):
    """The time ``at`` of the first answer that reported ``version``; the change itself may be older by one poll."""

    at: float
    version: int


class RouterWatch:
    """Polls one daemon for its version and records each increase."""

    def __init__(self, address: str) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self.observations: list[VersionObservation] = []
        self.regressions = 0
        """Number of answers with a version older than the highest seen; must stay 0."""
        self.poll_durations: list[float] = []
        """Duration of each poll; with ``POLL_INTERVAL_SECONDS`` it limits the resolution of the measured times."""

    @property
    def version(self) -> int:
        return self.observations[-1].version if self.observations else 0

    async def run(self) -> None:
        """Polls until it is cancelled; raises FleetError when the daemon closes the connection."""
        reader, writer = await asyncio.open_connection(self._host, self._port)
        request = f"GET /control/v1/health HTTP/1.1\r\nHost: {self._host}\r\n\r\n".encode()
        try:
            while True:
                started_at = time.monotonic()
                writer.write(request)
                head = await reader.readuntil(b"\r\n\r\n")
                body = await reader.readexactly(_length(head))
                now = time.monotonic()
                self.poll_durations.append(now - started_at)
                self.record_answer(now, int(json.loads(body)["version"]))
                await asyncio.sleep(POLL_INTERVAL_SECONDS)
        except (OSError, asyncio.IncompleteReadError) as problem:
            raise FleetError(f"{self._host}:{self._port} no longer answers: {problem}") from None
        finally:
            writer.close()

    def record_answer(self, at: float, version: int) -> None:
        if version < self.version:
            self.regressions += 1
        elif version > self.version:
            self.observations.append(VersionObservation(at, version))


def _length(head: bytes) -> int:
    fields = (line.partition(b":") for line in head.lower().split(b"\r\n"))
    return next(int(value) for name, _, value in fields if name == b"content-length")


def in_force_after(acknowledged: Mapping[int, float], observations: Sequence[VersionObservation]) -> list[float | None]:
    """Returns for each acknowledged version, in rising order, the seconds until one router reported it or a newer one.

    None stands for a version that was never reported.
    """
    versions = [observation.version for observation in observations]
    found: list[float | None] = []
    for version in sorted(acknowledged):
        index = bisect_left(versions, version)
        found.append(max(0.0, observations[index].at - acknowledged[version]) if index < len(versions) else None)
    return found


class Operator:
    """Signs one change after another on the latest version and records when each was acknowledged."""

    def __init__(self, fleet: Fleet, http: JsonClient) -> None:
        self._http = http
        self._control_address = fleet.controls()[-1].operator
        key = load_pem_private_key(fleet.operator_key_file.read_bytes(), None)
        assert isinstance(key, Ed25519PrivateKey)
        self._key = key
        self._class = SliceName(f"class/{fleet.shape.classes[-1].name}")
        self._slices: dict[SliceName, bytes] = {}
        self.version = 0
        self.acknowledged: dict[int, float] = {}
        self.latencies: list[float] = []
        """Seconds from sending an order to its acknowledgement."""
        self.other_outcomes: list[str] = []

    async def read(self) -> None:
        reply = await self._http.get(self._control_address, "/control/v1/bundle?newest=1")
        self.version = int(reply.body["version"])
        self._slices = {SliceName(name): canonical_json(value) for name, value in reply.body["slices"].items()}

    async def change(self) -> None:
        fields = json.loads(self._slices[self._class])
        fields["weight"] = float((self.version + 1) % 900 + 1)
        after = {**self._slices, self._class: canonical_json(fields)}
        identifier = OrderId(os.urandom(16).hex())
        signed_at = WallTime(time.time())
        order: Order = make_order(BundleVersion(self.version), self._slices, after, self._key, identifier, signed_at)
        started_at = time.monotonic()
        for _ in range(5):
            reply = await self._http.post(self._control_address, "/control/v1/orders", order, timeout=10.0)
            if reply.succeeded:
                break
            self.other_outcomes.append(f"{reply.status} {reply.body}")
        else:
            raise FleetError(f"order on version {self.version} failed 5 times, last with {self.other_outcomes[-1]}")
        now = time.monotonic()
        self.latencies.append(now - started_at)
        self.version, self._slices = int(reply.body["version"]), after
        self.acknowledged[self.version] = now


def percentiles_ms(values: Sequence[float]) -> dict[str, float]:
    """Returns the count, percentiles and maximum of times in seconds, as milliseconds."""
    if not values:
        return {"count": 0}
    ordered = sorted(values)
    shares = {"p50": 0.5, "p95": 0.95, "p99": 0.99}
    picked = {name: ordered[min(len(ordered) - 1, int(len(ordered) * share))] for name, share in shares.items()}
    return {
        "count": len(ordered),
        **{name: round(1000 * value, 2) for name, value in {**picked, "max": ordered[-1]}.items()},
    }


class Measure:
    def __init__(self, fleet: Fleet, http: JsonClient) -> None:
        self._fleet = fleet
        self.operator = Operator(fleet, http)
        self.watches = {router.name: RouterWatch(router.operator) for router in fleet.routers()}
        self.watch_tasks = [asyncio.create_task(watch.run()) for watch in self.watches.values()]

    async def settled(self) -> bool:
        """Returns whether all routers reach the latest acknowledged version within SETTLE_TIMEOUT_SECONDS."""
        deadline = time.monotonic() + SETTLE_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            for task in self.watch_tasks:
                if task.done():
                    task.result()
            if all(watch.version >= self.operator.version for watch in self.watches.values()):
                return True
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        return False

    async def one_after_another(self, times: int, pause: float) -> dict[str, Any]:
        """Makes ``times`` changes, each ``pause`` seconds after all routers have the one before.

        A short pause falls within the pause that daemons make between announcements (section 9.2).
        """
        for _ in range(times):
            await self.operator.change()
            await self.settled()
            await asyncio.sleep(pause)
        return self._report()

    async def storm(self, rate: float, seconds: float) -> dict[str, Any]:
        """Makes ``rate`` changes a second; each builds on the one before, so a late answer delays the next."""
        started_at = time.monotonic()
        for number in range(int(rate * seconds)):
            await asyncio.sleep(max(0.0, started_at + number / rate - time.monotonic()))
            await self.operator.change()
        elapsed = time.monotonic() - started_at
        settled = await self.settled()
        return {"changes_per_second": round(rate * seconds / elapsed, 1), "settled": settled, **self._report()}

    def _report(self) -> dict[str, Any]:
        acknowledged, self.operator.acknowledged = self.operator.acknowledged, {}
        latencies, self.operator.latencies = self.operator.latencies, []
        others, self.operator.other_outcomes = self.operator.other_outcomes, []
        each: list[float] = []
        last: list[float] = []
        never = 0
        by_router = {name: in_force_after(acknowledged, watch.observations) for name, watch in self.watches.items()}
        for times in zip(*by_router.values(), strict=True):
            seen = [value for value in times if value is not None]
            never += len(times) - len(seen)
            each += seen
            if len(seen) == len(times):
                last.append(max(seen))
        poll_durations = [duration for watch in self.watches.values() for duration in watch.poll_durations]
        return {
            "changes": len(acknowledged),
            "acknowledged_after": percentiles_ms(latencies),
            "in_force_each_router": percentiles_ms(each),
            "in_force_last_router": percentiles_ms(last),
            "never_seen": never,
            "went_back": sum(watch.regressions for watch in self.watches.values()),
            "other_outcomes": others,
            "look": percentiles_ms(poll_durations),
        }


async def _run(
    shape: Shape, folder: Path, times: int, pause: float, rate: float, seconds: float, scale: float
) -> dict[str, Any]:
    http = JsonClient()
    async with Fleet(shape, folder) as fleet:
        await fleet.start()
        await wait_until("control is complete", fleet.control_complete)
        await push_bundle(fleet)
        await fleet.wait_until_ready()
        started: list[Callers] = []
        options = LoadOptions(seconds=3600.0, scale=scale, direct_share=0.0, run_name=new_run_name())
        load = None
        if scale > 0:
            target = read_target(fleet.folder / "fleet.json")
            load = asyncio.create_task(run_load(target, options, quiet=True, on_start=started.append))
        measure = Measure(fleet, http)
        await measure.operator.read()
        try:
            await measure.settled()
            found = {
                "load_average": os.getloadavg(),
                "one_after_another": await measure.one_after_another(times, pause),
            }
            found["storm"] = await measure.storm(rate, seconds)
            found["load_average_end"] = os.getloadavg()
        finally:
            for task in measure.watch_tasks:
                task.cancel()
            for callers in started:
                callers.stop()
            result = (await load)[0] if load is not None else {}
            http.close()
        result_keys = ("calls", "outcomes", "refusals", "problems")
        return {"shape": shape.name, **found, "callers": {name: result[name] for name in result_keys if name in result}}


@click.command()
@click.option("--shape", type=click.Path(path_type=Path), default=Path("despensa"), show_default=True)
@click.option("--times", default=200, show_default=True, help="Number of changes made one after another.")
@click.option(
    "--pause", default=0.25, show_default=True, help="Seconds from the last router's activation to the next change."
)
@click.option("--rate", default=50.0, show_default=True, help="Changes a second in the storm.")
@click.option("--seconds", default=10.0, show_default=True, help="Length of the storm.")
@click.option(
    "--scale", default=0.0, show_default=True, help="Callers' load meanwhile, as a factor on the shape's rates."
)
def main(shape: Path, times: int, pause: float, rate: float, seconds: float, scale: float) -> None:
    """Prints the results as JSON.

    The exit code is 1 when a router went back or never had a version, and 2 when the fleet failed.
    """
    try:
        with tempfile.TemporaryDirectory(prefix="wingwood-roll-outs-") as folder:
            found = asyncio.run(_run(open_shape(shape), Path(folder), times, pause, rate, seconds, scale))
    except FleetError as problem:
        click.echo(f"error: {problem}", err=True)
        sys.exit(2)
    click.echo(json.dumps(found, indent=1))
    parts = (found["one_after_another"], found["storm"])
    sys.exit(1 if any(part["never_seen"] or part["went_back"] for part in parts) else 0)


if __name__ == "__main__":
    main()
