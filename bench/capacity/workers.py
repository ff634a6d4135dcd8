"""Measures worker states: the cost of renewals at the edge, at the owner of a pool and at its followers.

The probe runs real registries on real messengers over loopback, in one zone unless it measures zones. The edge is the
router that accepts the announcements of workers, an owner holds the worker list of a pool, and a follower only receives
it. ``python -m bench.capacity.workers serve ...`` runs one of the processes.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Sequence

import click
import msgspec
from returns.result import Success

from wingwood.identifiers import Address, PoolName, WorkerInstance, Zone
from wingwood.membership.rendezvous import ranked
from wingwood.operator_api.server import OperatorServer
from wingwood.registry.protocols import Worker, WorkerLoad
from wingwood.registry.worker_registry import WorkerRegistry
from wingwood.transport.frames import Identity
from wingwood.transport.messenger import TcpMessenger

from ..hollow_daemons import answer_parent, own_report
from .common import KEY, Child, FixedMembership, Row, per_second, real_quiet_context, routers
from .members import settings

PORT = 32300
OPERATOR_PORT = 32290
POOL_WORKERS = 308
"""12,000 workers in 39 pools."""
MEASURED_SECONDS = 8.0


def registry_of(own: Identity, members: Sequence[Identity]) -> tuple[TcpMessenger, WorkerRegistry]:
    """Returns the started messenger and worker registry of a router."""
    context = real_quiet_context()
    messenger = TcpMessenger(context, own, KEY)
    registry = WorkerRegistry(
        context, messenger, FixedMembership(members), msgspec.structs.replace(settings(), zone=own.zone)
    )
    assert isinstance(messenger.start(), Success)
    registry.start()
    return messenger, registry


def owners_in(zones: int) -> list[Identity]:
    """Returns the edge, which is in the first zone, and one further router in each zone."""
    edge, *others = routers(1 + zones, first_port=PORT)
    in_zones = [msgspec.structs.replace(other, zone=Zone(f"zone-{number}")) for number, other in enumerate(others)]
    return [edge, *in_zones]


def pools_owned_by(owner: Identity, members: Sequence[Identity], count: int) -> list[PoolName]:
    """Returns ``count`` names of pools whose owner among ``members`` is the given router."""
    found: list[PoolName] = []
    number = 0
    while len(found) < count:
        pool = PoolName(f"pool-{number}")
        number += 1
        if ranked(f"workers/{pool}", members, lambda router: router.name)[0] == owner:
            found.append(pool)
    return found


def fake_worker(pool: PoolName, number: int, load: WorkerLoad | None) -> Worker:
    return Worker(
        instance=WorkerInstance(f"{pool}-{number:05d}-12345678"),
        address=Address(f"10.{len(pool)}.{number // 250}.{number % 250 + 1}", 7000),
        pool=pool,
        zone=Zone("zone-0"),
        slots=8,
        cache_tokens=120_000,
        load=load,
    )


@click.group()
def main() -> None:
    """Child processes of the probes of worker states."""


@main.command()
@click.option("--members", type=int, required=True)
@click.option("--first", type=int, required=True)
@click.option("--count", type=int, default=1)
@click.option("--pools", default="", help="Pools that the routers watch from the start, separated by commas.")
@click.option("--operator/--no-operator", default=False)
@click.option(
    "--zones", type=int, default=0, help="Number of zones with one router each; 0 puts all routers into one zone."
)
def serve(members: int, first: int, count: int, pools: str, operator: bool, zones: int) -> None:
    """Runs ``count`` routers, beginning with the router number ``first``."""

    async def run() -> None:
        all_routers = owners_in(zones) if zones else routers(members, first_port=PORT)
        started_routers = [registry_of(all_routers[number], all_routers) for number in range(first, first + count)]
        for _, registry in started_routers:
            for pool in pools.split(",") if pools else ():
                registry.watch(PoolName(pool))
        if operator:
            server = OperatorServer(real_quiet_context())
            started_routers[0][1].add_routes(server)
            assert isinstance(server.start(Address("127.0.0.1", OPERATOR_PORT)), Success)
        await answer_parent(
            lambda: (
                own_report([messenger for messenger, _ in started_routers])
                | {
                    "ready": min(
                        sum(len(registry.ready(pool)) for pool in registry.pools()) for _, registry in started_routers
                    )
                }
            )
        )

    asyncio.run(run())


async def _announce(registry: WorkerRegistry, workers: Sequence[tuple[PoolName, int]], seconds: float) -> None:
    """Announces each worker once per second with a new load, spread evenly over the second."""
    started = time.monotonic()
    done = 0
    while (passed := time.monotonic() - started) < seconds:
        due = int(passed * len(workers))
        for step in range(done, due):
            pool, number = workers[step % len(workers)]
            load = WorkerLoad(step // len(workers) % 8, number % 3, 1000 * (step // len(workers)))
            await registry.announcements.accept_announcement(fake_worker(pool, number, load))
        done = max(done, due)
        await asyncio.sleep(0.01)


async def _measure_pools(pools_count: int, pool_workers: int, followers: int, announced: bool = True) -> Row:
    """Measures with this process as the edge, one child as the owner of all pools, and another with all followers."""
    members = routers(2 + followers, first_port=PORT)
    pools = pools_owned_by(members[1], members, pools_count)
    listed = ",".join(pools)
    common = ("--members", str(len(members)), "--pools", listed)
    owner = Child("bench.capacity.workers", "serve", "--first", "1", *common)
    follower_process = Child("bench.capacity.workers", "serve", "--first", "2", "--count", str(followers), *common)
    try:
        owner.report(), follower_process.report()
        messenger, registry = registry_of(members[0], members)
        workers = [(pool, number) for number in range(pool_workers) for pool in pools]
        started = time.monotonic()
        for pool, number in workers:
            await registry.announcements.accept_announcement(fake_worker(pool, number, None))
        while follower_process.report()["ready"] < len(workers):
            if time.monotonic() - started > 60:
                raise TimeoutError(
                    f"after 60 s the followers know only {follower_process.report()['ready']} of {len(workers)}"
                )
            await _announce(registry, workers, 1.0)
        formed = time.monotonic() - started
        await _announce(registry, workers, 4.0)
        before = [owner.report(), follower_process.report()]
        if announced:
            await _announce(registry, workers, MEASURED_SECONDS)
        else:
            await asyncio.sleep(MEASURED_SECONDS)
        after = [owner.report(), follower_process.report()]
        messenger.stop()
        return {
            "pools": pools_count,
            "workers": len(workers),
            "followers": followers,
            "formed_s": formed,
            "ready_after": after[1]["ready"],
            "home_core": per_second(before[0], after[0], "processor"),
            "home_bytes": per_second(before[0], after[0], "messenger_bytes"),
            "home_memory_mb": after[0]["memory"] / 1e6,
            "follower_core": per_second(before[1], after[1], "processor") / followers,
            "follower_bytes": per_second(before[1], after[1], "messenger_bytes") / followers,
            "follower_memory_mb": after[1]["memory"] / 1e6,
        }
    finally:
        owner.end()
        follower_process.end()


def measure_workers() -> list[Row]:
    """Measures a single follower, with 12 workers up to 12,012 workers in 39 pools."""
    sizes = ((1, 12), (1, 120), (1, POOL_WORKERS), (4, POOL_WORKERS), (13, POOL_WORKERS), (39, POOL_WORKERS))
    return [asyncio.run(_measure_pools(pools, workers, 1)) for pools, workers in sizes]


def measure_followers() -> list[Row]:
    """Measures an owner of one pool of 308 workers with a rising number of followers."""
    return [asyncio.run(_measure_pools(1, POOL_WORKERS, followers)) for followers in (2, 10, 30, 70)]


async def _measure_zone_count(zones: int) -> Row:
    """Measures an edge with 12 workers of 12 pools, and one owner of all pools per zone; the owners share a process."""
    members = owners_in(zones)
    pools = pools_owned_by(members[1], members[:2], 12)
    common = ("--members", str(len(members)), "--pools", ",".join(pools))
    owners = Child(
        "bench.capacity.workers", "serve", "--first", "1", "--count", str(zones), "--zones", str(zones), *common
    )
    try:
        owners.report()
        messenger, registry = registry_of(members[0], members)
        workers = [(pool, 0) for pool in pools]
        await _announce(registry, workers, 5.0)
        before, own = owners.report(), own_report([messenger])
        await _announce(registry, workers, MEASURED_SECONDS)
        after, own_after = owners.report(), own_report([messenger])
        messenger.stop()
        return {
            "zones": zones,
            "renewals_per_second": len(workers),
            "ready_after": after["ready"],
            "edge_core": per_second(own, own_after, "processor"),
            "edge_bytes": per_second(own, own_after, "messenger_bytes"),
            "edge_wire_bytes": per_second(own, own_after, "wire_bytes"),
            "home_core": per_second(before, after, "processor") / zones,
            "home_bytes": per_second(before, after, "messenger_bytes") / zones,
        }
    finally:
        owners.end()


def measure_zones() -> list[Row]:
    return [asyncio.run(_measure_zone_count(zones)) for zones in (1, 3, 7, 14)]


async def _http_worker(number: int, pool: PoolName, until: float, counters: list[int]) -> None:
    """Announces one worker once per second; ``counters`` holds the failed and all announcements."""
    reader, writer = await asyncio.open_connection("127.0.0.1", OPERATOR_PORT)
    await asyncio.sleep(number % 97 / 97)
    step = 0
    while time.monotonic() < until:
        step += 1
        body = json.dumps(
            {
                "instance": f"model-{number:05d}-12345678",
                "address": f"10.9.{number // 250}.{number % 250 + 1}:7000",
                "pool": pool,
                "zone": "zone-0",
                "slots": 8,
                "cache_tokens": 120_000,
                "load": {"running": step % 8, "waiting": number % 3, "cache_tokens_used": 1000 * step},
            }
        ).encode()
        started = time.monotonic()
        writer.write(
            b"POST /workers/v1/announce HTTP/1.1\r\nHost: bench\r\nContent-Type: application/json\r\n"
            b"Content-Length: %d\r\n\r\n" % len(body) + body
        )
        head = await reader.readuntil(b"\r\n\r\n")
        length = next(
            int(line.split(b":")[1]) for line in head.split(b"\r\n") if line.lower().startswith(b"content-length")
        )
        await reader.readexactly(length)
        counters[0] += b" 200 " not in head[:20]
        counters[1] += 1
        await asyncio.sleep(max(0.0, started + 1.0 - time.monotonic()))
    writer.close()


async def _measure_edge_workers(workers: int) -> Row:
    members = routers(2, first_port=PORT)
    pool = pools_owned_by(members[1], members, 1)[0]
    common = ("--members", "2", "--pools", pool)
    owner = Child("bench.capacity.workers", "serve", "--first", "1", *common)
    edge = Child("bench.capacity.workers", "serve", "--first", "0", "--operator", *common)
    try:
        owner.report(), edge.report()
        counters = [0, 0]
        until = time.monotonic() + MEASURED_SECONDS + 4.0
        tasks = [asyncio.create_task(_http_worker(number, pool, until, counters)) for number in range(workers)]
        await asyncio.sleep(3.0)
        before, count = [edge.report(), owner.report()], counters[1]
        await asyncio.sleep(MEASURED_SECONDS)
        after, count = [edge.report(), owner.report()], counters[1] - count
        await asyncio.gather(*tasks)
        passed = after[0]["at"] - before[0]["at"]
        return {
            "workers": workers,
            "renewals_per_second": count / passed,
            "failed": counters[0],
            "edge_core": per_second(before[0], after[0], "processor"),
            "edge_bytes_to_home": per_second(before[0], after[0], "messenger_bytes"),
            "home_core": per_second(before[1], after[1], "processor"),
            "edge_memory_mb": after[0]["memory"] / 1e6,
        }
    finally:
        owner.end()
        edge.end()


def measure_edge() -> list[Row]:
    """Measures workers that announce over HTTP on connections that stay open."""
    return [asyncio.run(_measure_edge_workers(workers)) for workers in (12, 120, 400)]


if __name__ == "__main__":
    main()
