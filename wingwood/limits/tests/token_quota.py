"""Simulated runs of a fleet with token quotas: loads, faults, and the check of use in sliding windows."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random
from typing import Any

import msgspec
from returns.result import Failure

from simulation import World
from wingwood.bundle.model import Tenant
from wingwood.identifiers import Address, ClassName, Seconds, TenantName
from wingwood.limits.tolerance import QuotaTolerance
from wingwood.transport.errors import TransportFailure

from .share_fleet import Load, ShareFleet

ROUTERS = 11
START_AT = 4.0
"""Time at which traffic starts, in seconds of simulated time."""
FAULT_AT = 16.0
RUN_SECONDS = 34.0
WINDOW = 8.0
MEAN_COST = 6_500.0
"""Approximate mean of ``call_cost``, used only to compute loads."""
Fault = Callable[[World, ShareFleet], None]


def token_tenant(rate: float, burst: float = 1.0) -> Tenant:
    return Tenant(
        name=TenantName("austral"),
        priority_class=ClassName("gold"),
        paid_rate=rate,
        burst=Seconds(burst),
        unit="tokens",
        plain_tokens=200,
    )


def tolerance(slack: float) -> QuotaTolerance:
    return QuotaTolerance(window=Seconds(WINDOW), over=0.1, slack=slack)


def bound(rate: float, slack: float, burst: float = 1.0) -> float:
    """Returns the use that the quota rule allows in any window of ``WINDOW`` seconds."""
    return (rate * WINDOW + rate * burst) * 1.1 + slack


def call_cost(random: Random) -> int:
    """Draws the tokens of a call: three quarters are long prompts of up to 40,000, the rest chats and plain calls."""
    kind = random.random()
    if kind < 0.76:
        return min(40_000, int(4_000 + random.expovariate(1 / 4_200)))
    return 3_300 if kind < 0.8 else 200


class Case(msgspec.Struct, frozen=True):
    """Parameters of one run.

    The load is ``offered_fraction`` of the paid rate, and ``flood`` times that between ``flood_from`` and
    ``flood_until``.
    """

    fault: str = "none"
    """A key of FAULTS."""
    rate: float = 150_000.0
    slack: float = 72_000.0
    routers: int = ROUTERS
    offered_fraction: float = 0.77
    flood: float = 1.0
    flood_from: float = 12.0
    flood_until: float = 26.0
    arrival: str = "even"


def load_of(case: Case) -> tuple[Load, float]:
    """Returns the load at each router in calls per second, and its maximum."""
    calls = case.offered_fraction * case.rate / MEAN_COST

    def at(router: int, now: float) -> float:
        if now < START_AT or router >= case.routers:
            return 0.0
        times = case.flood if case.flood_from <= now < case.flood_until else 1.0
        if case.arrival == "one":
            return calls * times if router == 3 else 0.0
        if case.arrival == "uneven":
            return calls * times * 2.0 * (router + 1) / (case.routers * (case.routers + 1))
        return calls * times / case.routers

    return at, calls * case.flood


class Outcome(msgspec.Struct, frozen=True):
    """Measurements of one run."""

    fraction_of_bound: float
    """Highest use in any window, divided by the bound; the quota rule holds up to 1."""
    refused: float
    """Fraction of the calls after ``START_AT`` that were refused."""
    refused_within_bucket: float
    """Fraction of tokens refused among those that a bucket of rate and burst admits when fed all calls."""
    flood_used_fraction: float
    """Use during the flood, divided by what the paid rate allows in that time."""
    max_wait: float


def run_case(case: Case, seed: int) -> Outcome:
    load, most = load_of(case)
    with World(seed) as world:
        fleet = ShareFleet(
            world, case.routers, token_tenant(case.rate), load, most, None, tolerance(case.slack), call_cost
        )
        world.at(FAULT_AT, lambda: FAULTS[case.fault](world, fleet))
        world.run(RUN_SECONDS)
        if world.broken_invariants:
            raise AssertionError(world.broken_invariants[0])
        return Outcome(
            fleet.max_used(WINDOW) / bound(case.rate, case.slack),
            fleet.refused_fraction(START_AT, RUN_SECONDS),
            refused_within_bucket(fleet, case.rate),
            sum(cost for at, cost in fleet.uses if case.flood_from <= at < case.flood_until)
            / (case.rate * (case.flood_until - case.flood_from)),
            max((call[3] for call in fleet.calls), default=0.0),
        )


def refused_within_bucket(fleet: ShareFleet, rate: float) -> float:
    """Returns the fraction of tokens that the fleet refused among those admitted by a bucket of rate and burst.

    The burst is one second of the rate.
    """
    level, at, within_bucket = rate, 0.0, 0
    for started_at, cost in fleet.offered_uses:
        level = min(rate, level + (started_at - at) * rate)
        at = started_at
        if level >= cost:
            level -= cost
            within_bucket += cost
    used = sum(cost for _, cost in fleet.uses)
    return max(0.0, 1.0 - used / within_bucket) if within_bucket else 0.0


def nothing(world: World, fleet: ShareFleet) -> None:
    pass


def kill(name: str, down: float = 3.0) -> Fault:
    def apply_fault(world: World, fleet: ShareFleet) -> None:
        router = _named(fleet, name)
        fleet.mark_unreachable(router)
        world.kill(router)
        world.at(world.now + down, lambda: world.restart(router))

    return apply_fault


def power_off(name: str, down: float = 3.5) -> Fault:
    def apply_fault(world: World, fleet: ShareFleet) -> None:
        router = _named(fleet, name)
        fleet.mark_unreachable(router)
        world.power_off(router)
        world.at(world.now + down, lambda: world.power_on(router))

    return apply_fault


def freeze(*names: str, frozen: float = 4.0) -> Fault:
    def apply_fault(world: World, fleet: ShareFleet) -> None:
        for router in [_named(fleet, name) for name in names]:
            fleet.mark_unreachable(router)
            world.freeze(router)
            world.at(world.now + frozen, lambda router=router: _wake(world, fleet, router))  # type: ignore[misc]

    return apply_fault


def cut_off(*names: str, cut: float = 6.0) -> Fault:
    """Partitions each router off from the other routers and control, but not from its callers and workers."""

    def apply_fault(world: World, fleet: ShareFleet) -> None:
        for router in [_named(fleet, name) for name in names]:
            fleet.mark_unreachable(router)
            wires = world.cut_off(router)
            world.at(world.now + cut, lambda router=router, wires=wires: _heal(world, fleet, router, wires))  # type: ignore[misc]

    return apply_fault


def split(first: Sequence[int], cut: float = 8.0) -> Fault:
    """Partitions the routers with these numbers off from control and the other routers, but not from each other."""

    def apply_fault(world: World, fleet: ShareFleet) -> None:
        names = sorted(fleet.shares)
        isolated = [f"r{number}" for number in first]
        cuts = [world.cut(one, other) for one in isolated for other in names if other not in isolated]
        for router in isolated:
            fleet.mark_unreachable(router)

        def heal() -> None:
            for wires in cuts:
                world.heal(wires)
            for router in isolated:
                fleet.mark_recovered(router)

        world.at(world.now + cut, heal)

    return apply_fault


def cut_from_some(world: World, fleet: ShareFleet) -> None:
    """Partitions the allocator from its standby and four other routers; all remain members."""
    allocator, standby = fleet.allocator(), fleet.standby()
    others = [name for name in sorted(fleet.shares) if name not in (allocator, standby)]
    cuts = [world.cut(allocator, name) for name in (standby, *others[:4])]
    for wires in cuts:
        world.at(world.now + 8.0, lambda wires=wires: world.heal(wires))  # type: ignore[misc]


def refused_at_some(world: World, fleet: ShareFleet) -> None:
    """Makes the allocator refuse connections from its standby and one other router, as a partition with resets does."""
    allocator, standby = fleet.allocator(), fleet.standby()
    other = next(name for name in sorted(fleet.shares) if name not in (allocator, standby))
    address = fleet.identities[allocator].internal
    until = world.now + 5.5
    for name in (standby, other):
        messenger: Any = fleet.messengers[name]
        usual = messenger.call

        async def call(to: Address, *asked: Any, usual: Any = usual) -> Any:
            if to == address and world.now < until:
                return Failure(TransportFailure("unreachable", False, "refused by a cut"))
            return await usual(to, *asked)

        messenger.call = call


def kill_all(world: World, fleet: ShareFleet) -> None:
    for router in sorted(fleet.shares):
        fleet.mark_unreachable(router)
        world.kill(router)
        world.at(world.now + 1.3, lambda router=router: world.restart(router))  # type: ignore[misc]


def restart_in_turn(world: World, fleet: ShareFleet) -> None:
    for number, router in enumerate(sorted(fleet.shares)):
        world.at(world.now + 1.2 * number, lambda router=router: kill(router, 0.8)(world, fleet))  # type: ignore[misc]


def control_down(world: World, fleet: ShareFleet) -> None:
    fleet.control_down = True

    def up() -> None:
        fleet.control_down = False

    world.at(world.now + 6.0, up)


def lower_limit(world: World, fleet: ShareFleet) -> None:
    """Lowers the rate to seven tenths; a tenant that used half of the old limit stays below the new one."""
    fleet.change_tenant(token_tenant(0.7 * fleet.tenant.paid_rate))


def _named(fleet: ShareFleet, name: str) -> str:
    roles = {"allocator": fleet.allocator, "standby": fleet.standby}
    return roles[name]() if name in roles else name


def _wake(world: World, fleet: ShareFleet, router: str) -> None:
    fleet.mark_recovered(router)
    world.wake(router)


def _heal(world: World, fleet: ShareFleet, router: str, wires: object) -> None:
    fleet.mark_recovered(router)
    world.heal(wires)  # type: ignore[arg-type]


FAULTS: dict[str, Fault] = {
    "none": nothing,
    "allocator killed": kill("allocator"),
    "standby killed": kill("standby"),
    "allocator without power": power_off("allocator"),
    "allocator frozen": freeze("allocator"),
    "allocator frozen briefly": freeze("allocator", frozen=0.6),
    "allocator and standby frozen": freeze("allocator", "standby"),
    "allocator cut off": cut_off("allocator"),
    "allocator and another cut off for long": cut_off("allocator", "r1", cut=10.0),
    "two others cut off": cut_off("r4", "r8", cut=10.0),
    "split 4 to 7": split((1, 2, 3, 4)),
    "split 8 to 3, the fewer with control": split((1, 2, 3, 4, 5, 6, 7, 8)),
    "allocator cut from some": cut_from_some,
    "allocator refuses some": refused_at_some,
    "all killed": kill_all,
    "restarts in turn": restart_in_turn,
    "control down": control_down,
    "limit lowered": lower_limit,
}
