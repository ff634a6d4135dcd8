"""Accuracy of tenants' paid shares over a simulated fleet: ``python -m bench.limits_bench [--seeds N]``.

Columns: accepted/paid over the whole time, in the worst second, refused part, longest wait of a call.
"""

from __future__ import annotations

from collections.abc import Callable

import click

from simulation import World
from wingwood.bundle.model import Tenant
from wingwood.limits.tests.share_fleet import Load, ShareFleet, tenant

ROUTERS = 11
Fault = Callable[[World, ShareFleet], None]
START = 1.0
"""Load begins after the first heartbeats."""


def even(rate: float) -> Load:
    return lambda router, now: rate / ROUTERS if now >= START and router < ROUTERS else 0.0


def one(rate: float, chosen: int = 3) -> Load:
    return lambda router, now: rate if router == chosen and now >= START else 0.0


def roaming(rate: float) -> Load:
    """All calls land on one router, another one each second."""
    return lambda router, now: rate if now >= START and int(now) * 7 % ROUTERS == router else 0.0


def nothing(world: World, fleet: ShareFleet) -> None:
    pass


def at_five(act: Callable[[World, ShareFleet, str], None]) -> Fault:
    def plan(world: World, fleet: ShareFleet) -> None:
        world.at(5.0, lambda: act(world, fleet, fleet.keeper()))

    return plan


def kill(world: World, fleet: ShareFleet, keeper: str) -> None:
    fleet.mark_lost(keeper)
    world.kill(keeper)


def freeze(world: World, fleet: ShareFleet, keeper: str) -> None:
    fleet.mark_lost(keeper)
    world.freeze(keeper)
    world.at(11.0, lambda: fleet.mark_well(keeper))
    world.at(11.0, lambda: world.wake(keeper))


def cut(world: World, fleet: ShareFleet, keeper: str) -> None:
    fleet.mark_lost(keeper)
    wires = world.cut_off(keeper)
    world.at(11.0, lambda: fleet.mark_well(keeper))
    world.at(11.0, lambda: world.heal(wires))


def control_down(world: World, fleet: ShareFleet, keeper: str) -> None:
    fleet.control_down = True


def join(world: World, fleet: ShareFleet, keeper: str) -> None:
    for number in range(ROUTERS, ROUTERS + 5):
        fleet.join(number)


def halve(world: World, fleet: ShareFleet, keeper: str) -> None:
    fleet.change(tenant(fleet.tenant.paid_rate / 2))


CASES: list[tuple[str, float, Load, Fault]] = [
    ("even, 0.9 of paid", 100, even(90), nothing),
    ("even, 2 x paid", 100, even(200), nothing),
    ("one router, 0.9 of paid", 100, one(90), nothing),
    ("one router, 2 x paid", 100, one(200), nothing),
    ("roaming, 0.9 of paid", 100, roaming(90), nothing),
    ("roaming, 2 x paid", 100, roaming(200), nothing),
    ("crowd, 20 x paid, even", 100, even(2000), nothing),
    ("small tenant, 0.9 of 2/s", 2, even(1.8), nothing),
    ("small tenant, 3 x 2/s", 2, even(6), nothing),
    ("large tenant, 2 x 1000/s", 1000, even(2000), nothing),
    ("keeper killed, 0.9", 100, even(90), at_five(kill)),
    ("keeper killed, 2 x", 100, even(200), at_five(kill)),
    ("keeper killed, one router, 0.9", 100, one(90), at_five(kill)),
    ("keeper frozen 6 s, 2 x", 100, even(200), at_five(freeze)),
    ("keeper frozen 6 s, 0.9", 100, even(90), at_five(freeze)),
    ("keeper cut off 6 s, 2 x", 100, even(200), at_five(cut)),
    ("keeper cut off 6 s, 0.9", 100, even(90), at_five(cut)),
    ("control down, one router, 0.9", 100, one(90), at_five(control_down)),
    ("control down, 2 x", 100, even(200), at_five(control_down)),
    ("five join, 2 x", 100, even(200), at_five(join)),
    ("five join, 0.9", 100, even(90), at_five(join)),
    ("paid rate halved, 2 x", 100, even(200), at_five(halve)),
]


def run_case(seed: int, paid: float, load: Load, fault: Fault, seconds: float) -> ShareFleet:
    with World(seed) as world:
        most = max(load(router, START + tenth / 10) for router in range(ROUTERS) for tenth in range(int(seconds * 10)))
        share: Tenant = tenant(paid)
        fleet = ShareFleet(world, ROUTERS, share, load, most)
        fault(world, fleet)
        world.run(seconds)
        if world.broken_invariants:
            raise AssertionError(world.broken_invariants[0])
        return fleet


@click.command()
@click.option("--seeds", default=3, show_default=True)
@click.option("--seconds", default=16.0, show_default=True, help="Virtual seconds of each run.")
@click.option("--only", default="", help="Cases whose name contains this.")
def main(seeds: int, seconds: float, only: str) -> None:
    titles = f"{'case':34} {'seed':>4} {'all':>6} {'1st s':>6} {'worst s':>7} {'refused':>8} {'longest wait':>12}"
    click.echo(titles + "  refused by second")
    for name, paid, load, fault in CASES:
        for seed in range(seeds) if only in name else ():
            fleet = run_case(seed, paid, load, fault, seconds)
            wait = max((call[3] for call in fleet.calls), default=0.0)
            click.echo(
                f"{name:34} {seed:4} {fleet.of_paid(START, seconds):6.3f} {fleet.of_paid(START, START + 1):6.2f}"
                f" {fleet.worst_window(START, seconds, 1.0):7.2f} {fleet.refused_part(START, seconds):8.3f}"
                f" {wait * 1000:9.1f} ms  "
                + " ".join(f"{fleet.refused_part(second, second + 1):.2f}" for second in range(1, int(seconds)))
            )


if __name__ == "__main__":
    main()
