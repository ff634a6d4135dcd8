"""Measures the traffic and processor time of one daemon of an emulated fleet as the fleet grows.

``python -m bench.fleet_growth --routers 11 --routers 79 --routers 300`` runs complete fleets (six control daemons, 33
workers, the daemons' own code) on simulated time in one process, idle and with the same traffic at each router. Bytes
and messages are those of the daemons' own connections. The processor time includes the simulated network, so it
shows how the cost grows but not its absolute size.
"""

from __future__ import annotations

import time
from typing import Any

import click
import msgspec

from fleet.shape import Shape
from simulation.fleet import Fleet, network_shape, shape_named
from simulation.world import World
from wingwood.transport.messenger import TcpMessenger

CONTROLS = 6
MODEL_WORKERS = 30
PLAIN_WORKERS = 3
REFERENCE_ROUTERS = 11
FORMATION_TIMEOUT_SECONDS = 30.0
WARM_UP_SECONDS = 6.0


class DaemonTraffic(msgspec.Struct, frozen=True):
    """Bytes and messages per second of the daemons of one role: their mean, and the highest of any daemon."""

    bytes_mean: float
    bytes_max: float
    messages_mean: float
    messages_max: float


class Growth(msgspec.Struct, frozen=True):
    routers: int
    processor_ms: float
    """Processor time per daemon and second in milliseconds, including that of the simulator."""
    router: DaemonTraffic
    control: DaemonTraffic


def shape_of(routers: int) -> Shape:
    shape = shape_named("despensa")
    pools = tuple(
        msgspec.structs.replace(pool, workers=MODEL_WORKERS if pool.kind == "model" else PLAIN_WORKERS)
        for pool in shape.pools
    )
    return msgspec.structs.replace(shape, routers=routers, controls=CONTROLS, pools=pools)


def messengers_of(fleet: Fleet, role: str) -> dict[str, TcpMessenger]:
    found: dict[str, TcpMessenger] = {}
    for name in fleet.names(role):
        daemon: Any = fleet.daemons[name]
        found[name] = daemon.messenger if role == "router" else daemon._parts.messenger
    return found


def traffic_counters(messengers: dict[str, TcpMessenger]) -> dict[str, tuple[int, int]]:
    """Returns for each daemon the bytes received and sent, and the messages sent, so far."""
    return {
        name: (messenger.traffic.bytes_in + messenger.traffic.bytes_out, messenger.traffic.messages_out)
        for name, messenger in messengers.items()
    }


def traffic_per_second(
    before: dict[str, tuple[int, int]], after: dict[str, tuple[int, int]], seconds: float
) -> DaemonTraffic:
    sizes = [(after[name][0] - before[name][0]) / seconds for name in before]
    messages = [(after[name][1] - before[name][1]) / seconds for name in before]
    return DaemonTraffic(sum(sizes) / len(sizes), max(sizes), sum(messages) / len(messages), max(messages))


def measure(routers: int, traffic: float, seconds: float, seed: int) -> Growth:
    """Runs one fleet and returns its figures.

    ``traffic`` is a factor on the traffic that each router of the reference deployment has; 0 gives an idle fleet.
    """
    shape = shape_of(routers)
    with World(seed, network_shape(shape)) as world:
        fleet = Fleet(world, shape, supervised=False)
        fleet.start()
        fleet.put_in_force(FORMATION_TIMEOUT_SECONDS)
        fleet.set_traffic(traffic * routers / REFERENCE_ROUTERS)
        world.run(WARM_UP_SECONDS)
        roles = {role: messengers_of(fleet, role) for role in ("router", "control")}
        before = {role: traffic_counters(found) for role, found in roles.items()}
        cpu_seconds = time.process_time()
        world.run(seconds)
        cpu_seconds = time.process_time() - cpu_seconds
        figures = {
            role: traffic_per_second(before[role], traffic_counters(found), seconds) for role, found in roles.items()
        }
    return Growth(
        routers=routers,
        processor_ms=1000 * cpu_seconds / seconds / (routers + CONTROLS),
        router=figures["router"],
        control=figures["control"],
    )


@click.command()
@click.option("--routers", "sizes", multiple=True, type=int, default=(11, 40, 79, 150, 300), show_default=True)
@click.option("--traffic", "loads", multiple=True, type=float, default=(0.0, 0.5), show_default=True)
@click.option("--seconds", default=10.0, show_default=True)
@click.option("--seed", default=3, show_default=True)
def main(sizes: tuple[int, ...], loads: tuple[float, ...], seconds: float, seed: int) -> None:
    """Prints a row for each size and load, with the mean and the busiest daemon of each role."""
    click.echo("routers traffic | ms/s a daemon | router B/s mean, most | msg/s mean, most | control B/s | msg/s")
    for traffic in loads:
        for routers in sizes:
            growth = measure(routers, traffic, seconds, seed)
            router, control = growth.router, growth.control
            click.echo(
                f"{routers:>7} {traffic:>7} | {growth.processor_ms:>13.2f} "
                f"| {router.bytes_mean:>10.0f} {router.bytes_max:>10.0f} "
                f"| {router.messages_mean:>8.1f} {router.messages_max:>7.1f} "
                f"| {control.bytes_mean:>6.0f} {control.bytes_max:>6.0f} "
                f"| {control.messages_mean:>6.1f} {control.messages_max:>6.1f}"
            )


if __name__ == "__main__":
    main()
