"""Shared parts of the placement benches: routers without sockets on virtual time, and the table of results."""

from __future__ import annotations

import asyncio
import json
import statistics
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping, Sequence
from pathlib import Path
from random import Random
from typing import Any, cast

import click
import msgspec
from returns.result import Failure, Success

from simulation.virtual_time import VirtualTimeLoop
from wingwood.context.protocols import Context
from wingwood.identifiers import (
    Address,
    DaemonName,
    Incarnation,
    Instant,
    PoolName,
    Seconds,
    WorkerInstance,
    Zone,
)
from wingwood.placement.plain_policies import LeastLoaded, RoundRobin, StickyByHash
from wingwood.placement.protocols import Placement
from wingwood.placement.session_map import Entry, Unreachable
from wingwood.registry.protocols import ObservedLoad, Worker
from wingwood.transport.errors import TransportFailure
from wingwood.transport.frames import Identity

POOL = PoolName("model")
ZONES = (Zone("a"), Zone("b"), Zone("c"))

Figures = Mapping[str, float]


class BenchClock:
    def __init__(self, loop: VirtualTimeLoop) -> None:
        self._loop = loop

    def monotonic(self) -> Instant:
        return Instant(self._loop.now)

    async def sleep(self, seconds: Seconds) -> None:
        await asyncio.sleep(seconds)


class BenchTasks:
    def __init__(self, loop: VirtualTimeLoop) -> None:
        self._loop = loop

    def spawn(self, name: str, coroutine: Any) -> Any:
        return self._loop.create_task(coroutine, name=name)


class BenchNetwork:
    """Connects the messengers of all routers by address, with a fixed delay, and counts messages and bytes."""

    def __init__(self, loop: VirtualTimeLoop, delay: float) -> None:
        self.loop = loop
        self.delay = delay
        self.messengers: dict[Address, BenchMessenger] = {}
        self.unreachable: set[Address] = set()
        self.messages = 0
        self.bytes = 0


class BenchMessenger:
    def __init__(self, network: BenchNetwork, identity: Identity) -> None:
        self.identity = identity
        self._network = network
        self._calls: dict[type, Callable[[Identity, Any], Awaitable[msgspec.Struct]]] = {}
        self._posts: dict[type, Callable[[Identity, Any], None]] = {}
        network.messengers[identity.internal] = self

    def on_call(self, message_type: type, handler: Any) -> None:
        self._calls[message_type] = handler

    def on_post(self, message_type: type, handler: Any) -> None:
        self._posts[message_type] = handler

    def _count(self, message: msgspec.Struct) -> None:
        self._network.messages += 1
        self._network.bytes += len(msgspec.msgpack.encode(message)) + 30

    async def call(self, address: Address, message: msgspec.Struct, reply_type: type, timeout: Seconds) -> Any:
        self._count(message)
        if address in self._network.unreachable:
            await asyncio.sleep(timeout)
            return Failure(TransportFailure("timeout", True))
        await asyncio.sleep(self._network.delay)
        reply = await self._network.messengers[address]._calls[type(message)](self.identity, message)
        self._count(reply)
        await asyncio.sleep(self._network.delay)
        return Success(reply)

    def post(self, address: Address, message: msgspec.Struct) -> None:
        self._count(message)
        if address not in self._network.unreachable:
            handler = self._network.messengers[address]._posts[type(message)]
            self._network.loop.call_later(self._network.delay, handler, self.identity, message)


class BenchMembership:
    def __init__(self, routers: list[Identity]) -> None:
        self.all = routers
        self.callbacks: list[Callable[[], None]] = []

    def routers(self) -> Sequence[Identity]:
        return tuple(self.all)

    def on_change(self, callback: Callable[[], None]) -> None:
        self.callbacks.append(callback)


class BenchRegistry:
    """The worker feed of one router; loads are up to 1 s old, the turns of other routers up to a third of a second."""

    def __init__(self, announced: Callable[[], tuple[Worker, ...]], registries: list[BenchRegistry]) -> None:
        """``announced`` returns the current announcements of the available workers; ``registries`` are all routers'."""
        self._announced = announced
        self._registries = registries
        self.count: Callable[[PoolName], dict[WorkerInstance, ObservedLoad]] = lambda pool: {}
        self._observed_load_of_others: dict[WorkerInstance, ObservedLoad] = {}
        self._ready: tuple[Worker, ...] = ()
        registries.append(self)
        self.refresh_loads()

    def refresh_loads(self) -> None:
        self._ready = self._announced()

    def refresh_running(self) -> None:
        totals: dict[WorkerInstance, ObservedLoad] = {}
        for other in self._registries:
            if other is not self:
                for instance, part in other.count(POOL).items():
                    totals[instance] = totals.get(instance, ObservedLoad()).plus(part)
        self._observed_load_of_others = totals

    def ready(self, pool: PoolName) -> Sequence[Worker]:
        return self._ready

    async def confirm(self, worker: Worker) -> bool:
        return True

    def on_change(self, callback: Any) -> None:
        pass

    def register_counter(self, count: Callable[[PoolName], dict[WorkerInstance, ObservedLoad]]) -> None:
        self.count = count

    def observed_load_of_others(self, instance: WorkerInstance) -> ObservedLoad:
        return self._observed_load_of_others.get(instance, ObservedLoad())


class NoSessionMap:
    """A session map without entries: routers fall back to the choice on which all agree without communication."""

    async def find(self, key: int) -> Entry | Unreachable | None:
        return Unreachable()

    def record(self, key: int, entry: Entry) -> None:
        pass

    def owns(self, key: int) -> bool:
        return False


def router_identities(count: int) -> list[Identity]:
    """Returns the identities of routers that are spread over the zones."""
    return [
        Identity(
            name=DaemonName(f"r{number}"),
            incarnation=Incarnation(f"r{number}.1"),
            role="router",
            zone=ZONES[number % len(ZONES)],
            internal=Address("127.0.0.1", 24000 + number),
        )
        for number in range(count)
    ]


def plain_policy(name: str, context: Context, registry: BenchRegistry) -> Placement | None:
    """Returns the policy of that name that uses only workers and their loads, or None if there is none."""
    match name:
        case "round-robin":
            return RoundRobin(context, cast(Any, registry), registry)
        case "least-loaded":
            return LeastLoaded(context, cast(Any, registry), registry)
        case "sticky":
            return StickyByHash(context, cast(Any, registry), registry)
    return None


class VirtualRun:
    """A run on virtual time; the first unhandled error ends it and is raised."""

    def __init__(self, seed: int) -> None:
        self.loop = VirtualTimeLoop(Random(seed))
        self.random = Random(seed)
        self.placements: list[Placement] = []
        self._error: BaseException | None = None
        self.loop.on_unhandled = lambda _, details: self._failed(details)
        asyncio.set_event_loop(self.loop)

    def _failed(self, details: dict[str, Any]) -> None:
        self._error = details.get("exception") or RuntimeError(str(details))
        self.loop.limit = 0.0

    def context(self, random: Random) -> Context:
        """Returns the context of one router, without network, disk and log."""
        return Context(
            clock=cast(Any, BenchClock(self.loop)),
            network=cast(Any, None),
            disk=cast(Any, None),
            http=cast(Any, None),
            random=random,
            log=cast(Any, None),
            tasks=cast(Any, BenchTasks(self.loop)),
        )

    def run_for(self, seconds: float) -> None:
        """Runs the started tasks for ``seconds`` of virtual time and discards those that have not ended."""
        self.loop.limit = seconds
        self.loop.run_forever()
        if self._error is not None:
            raise self._error
        for task in asyncio.all_tasks(self.loop):
            task._log_destroy_pending = False  # type: ignore[attr-defined]
        self.close()

    def close(self) -> None:
        self.loop.on_unhandled = None
        self.loop.close()

    def reservation_figures(self, calls: int) -> dict[str, float]:
        """Returns the share of calls that were placed by a reservation, and the share of reservations moved."""
        counts: Counter[str] = Counter()
        for placement in self.placements:
            counts.update(getattr(placement, "counts", {}))
        return {
            "award_share": counts["award"] / max(1, calls),
            "moves": counts["moves"] / max(1, counts["awards"]),
        }


class Table:
    """Prints the means over the seeds, a row for each variant, and stores the figures of all printed tables."""

    def __init__(self, columns: Sequence[str], seeds: int) -> None:
        self._columns = columns
        self._seeds = seeds
        self._results: dict[str, dict[str, Figures]] = {}

    def print(self, name: str, title: str, rows: Mapping[str, Callable[[int], Figures]]) -> None:
        """``rows`` has a function for each variant that returns its figures for a seed."""
        label = max(len(row) for row in rows) + 2
        widths = [max(9, len(column) + 2) for column in self._columns]
        heads = (f"{column:>{width}}" for column, width in zip(self._columns, widths, strict=True))
        click.echo(f"\n{title}")
        click.echo(" " * label + "".join(heads))
        for row, run in rows.items():
            mean = self._mean([run(seed) for seed in range(1, self._seeds + 1)])
            self._results.setdefault(name, {})[row] = mean
            cells = (f"{mean[column]:>{width}.3f}" for column, width in zip(self._columns, widths, strict=True))
            click.echo(f"{row:<{label}}" + "".join(cells))

    def _mean(self, reports: Sequence[Figures]) -> Figures:
        return {key: statistics.fmean(report[key] for report in reports) for key in reports[0]}

    def write(self, path: Path) -> None:
        path.write_text(json.dumps(self._results, indent=1) + "\n")
