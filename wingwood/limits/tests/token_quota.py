"""Token quotas of a fleet under faults: loads, faults and a checker of windows (for tests and the bench)."""

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
from wingwood.transport.messenger import TransportFault

from .share_fleet import Load, ShareFleet

ROUTERS = 11
START_AT = 4.0
"""Traffic starts."""
FAULT_AT = 16.0
RUN_SECONDS = 34.0
WINDOW = 8.0
MEAN_COST = 6_500.0
"""Of ``call_cost``, roughly; only loads are made from it."""
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
    """What the users' rule allows in any window."""
    return (rate * WINDOW + rate * burst) * 1.1 + slack


def call_cost(random: Random) -> int:
    """Three quarters are long prompts, some of 40,000 tokens; the rest are chats and plain calls."""
    kind = random.random()
    if kind < 0.76:
        return min(40_000, int(4_000 + random.expovariate(1 / 4_200)))
    return 3_300 if kind < 0.8 else 200


class Case(msgspec.Struct, frozen=True):
    """One run; ``offered_fraction`` of the paid rate is offered, and ``flood`` times that for a while."""

    fault: str = "none"
    """One of FAULTS."""
    rate: float = 150_000.0
    slack: float = 72_000.0
    routers: int = ROUTERS
    offered_fraction: float = 0.77
    flood: float = 1.0
    flood_from: float = 12.0
    flood_until: float = 26.0
    landing: str = "even"


def load_of(case: Case) -> tuple[Load, float]:
    """Calls per second at each router, and the most of it."""
    calls = case.offered_fraction * case.rate / MEAN_COST

    def at(router: int, now: float) -> float:
        if now < START_AT or router >= case.routers:
            return 0.0
        times = case.flood if case.flood_from <= now < case.flood_until else 1.0
        if case.landing == "one":
            return calls * times if router == 3 else 0.0
        if case.landing == "uneven":
            return calls * times * 2.0 * (router + 1) / (case.routers * (case.routers + 1))
        return calls * times / case.routers

    return at, calls * case.flood


class Outcome(msgspec.Struct, frozen=True):
    fraction_of_bound: float
    """Highest use in a window as a part of the bound; the rule holds up to 1."""
    refused: float
    """Part of the calls after START that were refused."""
    refused_within_bucket: float
    """Part of the owed calls, as a bucket of rate and burst reckons them over all calls, that were refused."""
    flood_used_fraction: float
    """Use during the flood as a part of the paid rate."""
    longest_wait: float


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
    """What a bucket of the rate and one second's burst would have let in and the fleet did not, in tokens."""
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
    """Each alone: from the others and from control, but not from its callers and workers."""

    def apply_fault(world: World, fleet: ShareFleet) -> None:
        for router in [_named(fleet, name) for name in names]:
            fleet.mark_unreachable(router)
            wires = world.cut_off(router)
            world.at(world.now + cut, lambda router=router, wires=wires: _heal(world, fleet, router, wires))  # type: ignore[misc]

    return apply_fault


def split(first: Sequence[int], cut: float = 8.0) -> Fault:
    """The routers of these numbers lose control and all others, but not one another."""

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
    """The keeper is cut from its deputy and four others; all remain members."""
    allocator, deputy = fleet.allocator(), fleet.deputy()
    others = [name for name in sorted(fleet.shares) if name not in (allocator, deputy)]
    cuts = [world.cut(allocator, name) for name in (deputy, *others[:4])]
    for wires in cuts:
        world.at(world.now + 8.0, lambda wires=wires: world.heal(wires))  # type: ignore[misc]


def refused_at_some(world: World, fleet: ShareFleet) -> None:
    """A cut that answers with resets stands between the keeper and two others, its deputy among them."""
    allocator, deputy = fleet.allocator(), fleet.deputy()
    other = next(name for name in sorted(fleet.shares) if name not in (allocator, deputy))
    address = fleet.identities[allocator].internal
    until = world.now + 5.5
    for name in (deputy, other):
        messenger: Any = fleet.messengers[name]
        usual = messenger.call

        async def call(to: Address, *asked: Any, usual: Any = usual) -> Any:
            if to == address and world.now < until:
                return Failure(TransportFault("unreachable", False, "refused by a cut"))
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
    """To seven tenths; a tenant that used half of the old limit stays below the new one."""
    fleet.change(token_tenant(0.7 * fleet.tenant.paid_rate))


def _named(fleet: ShareFleet, name: str) -> str:
    return {"allocator": fleet.allocator, "deputy": fleet.deputy}[name]() if name in ("allocator", "deputy") else name


def _wake(world: World, fleet: ShareFleet, router: str) -> None:
    fleet.mark_recovered(router)
    world.wake(router)


def _heal(world: World, fleet: ShareFleet, router: str, wires: object) -> None:
    fleet.mark_recovered(router)
    world.heal(wires)  # type: ignore[arg-type]


FAULTS: dict[str, Fault] = {
    "none": nothing,
    "allocator killed": kill("allocator"),
    "deputy killed": kill("deputy"),
    "allocator without power": power_off("allocator"),
    "allocator frozen": freeze("allocator"),
    "allocator frozen briefly": freeze("allocator", frozen=0.6),
    "allocator and deputy frozen": freeze("allocator", "deputy"),
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
