"""Measures tenants' paid shares: ``python -m bench.limits_bench accuracy|cost``.

``accuracy`` runs on a simulated fleet, ``cost`` on loopback.

Columns of ``accuracy``: accepted divided by paid over the whole time, in the first second and in the worst second, the
refused part of the calls, and the longest wait of a call.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

import click
import msgspec
from returns.result import Success

from simulation import World
from wingwood.bundle.model import Tenant
from wingwood.context.real import RealClock
from wingwood.identifiers import Address, DaemonName, Incarnation, Instant, Seconds, TenantName, Zone
from wingwood.limits.messages import LeaseGrant, LeaseRequest
from wingwood.limits.shares import FleetShares
from wingwood.limits.tests.share_fleet import Load, ShareFleet, tenant
from wingwood.transport.frames import Identity
from wingwood.transport.messenger import TcpMessenger

from .ledger_bench import make_context

ROUTERS = 11
Fault = Callable[[World, ShareFleet], None]
START_SECONDS = 1.0
"""Load starts after the first heartbeats."""


def even(rate: float) -> Load:
    return lambda router, now: rate / ROUTERS if now >= START_SECONDS and router < ROUTERS else 0.0


def one_router(rate: float, chosen: int = 3) -> Load:
    return lambda router, now: rate if router == chosen and now >= START_SECONDS else 0.0


def roaming(rate: float) -> Load:
    """Sends all calls to one router, a different one each second."""
    return lambda router, now: rate if now >= START_SECONDS and int(now) * 7 % ROUTERS == router else 0.0


def no_fault(world: World, fleet: ShareFleet) -> None:
    pass


def at_five_seconds(act: Callable[[World, ShareFleet, str], None]) -> Fault:
    def plan(world: World, fleet: ShareFleet) -> None:
        world.at(5.0, lambda: act(world, fleet, fleet.allocator()))

    return plan


def kill(world: World, fleet: ShareFleet, allocator: str) -> None:
    fleet.mark_unreachable(allocator)
    world.kill(allocator)


def freeze(world: World, fleet: ShareFleet, allocator: str) -> None:
    fleet.mark_unreachable(allocator)
    world.freeze(allocator)
    world.at(11.0, lambda: fleet.mark_recovered(allocator))
    world.at(11.0, lambda: world.wake(allocator))


def cut(world: World, fleet: ShareFleet, allocator: str) -> None:
    fleet.mark_unreachable(allocator)
    links = world.cut_off(allocator)
    world.at(11.0, lambda: fleet.mark_recovered(allocator))
    world.at(11.0, lambda: world.heal(links))


def cut_from_standby(world: World, fleet: ShareFleet, allocator: str) -> None:
    """Cuts only the link between the allocator and its standby, the next router in order; both remain members."""
    links = world.cut(allocator, fleet.standby())
    world.at(11.0, lambda: world.heal(links))


def control_down(world: World, fleet: ShareFleet, allocator: str) -> None:
    fleet.control_down = True


def join(world: World, fleet: ShareFleet, allocator: str) -> None:
    for number in range(ROUTERS, ROUTERS + 5):
        fleet.join(number)


def halve(world: World, fleet: ShareFleet, allocator: str) -> None:
    fleet.change_tenant(tenant(fleet.tenant.paid_rate / 2))


CASES: list[tuple[str, float, Load, Fault]] = [
    ("even, 0.9 of paid", 100, even(90), no_fault),
    ("even, 2 x paid", 100, even(200), no_fault),
    ("one router, 0.9 of paid", 100, one_router(90), no_fault),
    ("one router, 2 x paid", 100, one_router(200), no_fault),
    ("roaming, 0.9 of paid", 100, roaming(90), no_fault),
    ("roaming, 2 x paid", 100, roaming(200), no_fault),
    ("crowd, 20 x paid, even", 100, even(2000), no_fault),
    ("small tenant, 0.9 of 2/s", 2, even(1.8), no_fault),
    ("small tenant, 3 x 2/s", 2, even(6), no_fault),
    ("large tenant, 2 x 1000/s", 1000, even(2000), no_fault),
    ("keeper killed, 0.9", 100, even(90), at_five_seconds(kill)),
    ("keeper killed, 2 x", 100, even(200), at_five_seconds(kill)),
    ("keeper killed, one router, 0.9", 100, one_router(90), at_five_seconds(kill)),
    ("keeper frozen 6 s, 2 x", 100, even(200), at_five_seconds(freeze)),
    ("keeper frozen 6 s, 0.9", 100, even(90), at_five_seconds(freeze)),
    ("keeper cut off 6 s, 2 x", 100, even(200), at_five_seconds(cut)),
    ("keeper cut off 6 s, 0.9", 100, even(90), at_five_seconds(cut)),
    ("keeper cut from its standby, 2 x", 100, even(200), at_five_seconds(cut_from_standby)),
    ("keeper cut from its standby, 0.9", 100, even(90), at_five_seconds(cut_from_standby)),
    ("small, keeper killed, 4 of 8/s", 8, even(4), at_five_seconds(kill)),
    ("small, keeper frozen, 4 of 8/s", 8, even(4), at_five_seconds(freeze)),
    ("small, keeper killed, 16 of 8/s", 8, even(16), at_five_seconds(kill)),
    ("control down, one router, 0.9", 100, one_router(90), at_five_seconds(control_down)),
    ("control down, 2 x", 100, even(200), at_five_seconds(control_down)),
    ("five join, 2 x", 100, even(200), at_five_seconds(join)),
    ("five join, 0.9", 100, even(90), at_five_seconds(join)),
    ("paid rate halved, 2 x", 100, even(200), at_five_seconds(halve)),
]


def run_case(seed: int, paid: float, load: Load, fault: Fault, seconds: float) -> ShareFleet:
    with World(seed) as world:
        max_rate = max(
            load(router, START_SECONDS + tenth / 10) for router in range(ROUTERS) for tenth in range(int(seconds * 10))
        )
        share: Tenant = tenant(paid)
        fleet = ShareFleet(world, ROUTERS, share, load, max_rate)
        fault(world, fleet)
        world.run(seconds)
        if world.broken_invariants:
            raise AssertionError(world.broken_invariants[0])
        return fleet


@click.group()
def main() -> None:
    """Measures tenants' paid shares."""


@main.command()
@click.option("--seeds", default=3, show_default=True)
@click.option("--seconds", default=16.0, show_default=True, help="Virtual seconds of each run.")
@click.option("--only", default="", help="Cases whose name contains this.")
def accuracy(seeds: int, seconds: float, only: str) -> None:
    """Compares accepted with paid rates on simulated time."""
    titles = f"{'case':34} {'seed':>4} {'all':>6} {'1st s':>6} {'worst s':>7} {'refused':>8} {'longest wait':>12}"
    click.echo(titles + "  refused by second")
    for name, paid, load, fault in CASES:
        for seed in range(seeds) if only in name else ():
            fleet = run_case(seed, paid, load, fault, seconds)
            wait = max((call[3] for call in fleet.calls), default=0.0)
            click.echo(
                f"{name:34} {seed:4} {fleet.paid_ratio(START_SECONDS, seconds):6.3f}"
                f" {fleet.paid_ratio(START_SECONDS, START_SECONDS + 1):6.2f}"
                f" {fleet.max_paid_ratio(START_SECONDS, seconds, 1.0):7.2f}"
                f" {fleet.refused_fraction(START_SECONDS, seconds):8.3f}"
                f" {wait * 1000:9.1f} ms  "
                + " ".join(f"{fleet.refused_fraction(second, second + 1):.2f}" for second in range(1, int(seconds)))
            )


@main.command()
@click.option("--asks", default=20_000, show_default=True)
def cost(asks: int) -> None:
    """Measures processor time per call and per lease request, and bytes per request, of two routers on loopback."""
    asyncio.run(_cost(asks))


class _FixedMembership:
    def __init__(self, own: Identity, members: Sequence[Identity]) -> None:
        self._own = own
        self._members = members

    def members(self) -> Sequence[Identity]:
        return self._members

    routers = members

    def controls(self) -> Sequence[Identity]:
        return []

    def is_member(self, incarnation: Incarnation) -> bool:
        return True

    def session_confirmed_at(self) -> Instant | None:
        return RealClock().monotonic()

    def on_change(self, callback: Callable[[], None]) -> None: ...


async def _cost(asks: int) -> None:
    identities = [
        Identity(DaemonName(f"r{number}"), Incarnation("i"), "router", Zone("a"), Address("127.0.0.1", 30150 + number))
        for number in range(2)
    ]
    contexts = [make_context(Path(".")) for _ in identities]
    messengers = [
        TcpMessenger(context, identity, b"bench") for context, identity in zip(contexts, identities, strict=True)
    ]
    shares = [
        FleetShares(context, messenger, _FixedMembership(messenger.identity, identities))
        for context, messenger in zip(contexts, messengers, strict=True)
    ]
    for messenger in messengers:
        assert isinstance(messenger.start(), Success)
    tenants = [_named_tenant(f"t{number}", 1e6) for number in range(100)]
    remote_tenant, local_tenant = (
        next(each for each in tenants if shares[0].allocator_of(each.name) == identity)
        for identity in reversed(identities)
    )
    for each in (remote_tenant, local_tenant):
        for _ in range(50):
            await shares[0].take(each)
            await asyncio.sleep(0.01)

    async def timed(name: str, count: int, work: Callable[[int], Awaitable[object]]) -> None:
        before = sum(messenger.traffic.bytes_in + messenger.traffic.bytes_out for messenger in messengers)
        started_at = time.process_time()
        for number in range(count):
            await work(number)
        cpu_seconds = time.process_time() - started_at
        bytes_moved = sum(messenger.traffic.bytes_in + messenger.traffic.bytes_out for messenger in messengers) - before
        click.echo(
            f"{name:44} {cpu_seconds / count * 1e6:8.1f} µs  {bytes_moved / count:7.1f} bytes counted by the messengers"
        )

    await timed("call (with its part of the asks)", 10 * asks, lambda _: shares[0].take(remote_tenant))
    allocator = identities[1]
    request = LeaseRequest(
        remote_tenant.name, remote_tenant.paid_rate, remote_tenant.burst, remote_tenant.unit, 1 << 40, (1,)
    )

    async def one_request(number: int) -> object:
        numbered = msgspec.structs.replace(request, number=(1 << 40) + number)
        return await messengers[0].call(allocator.internal, numbered, LeaseGrant, Seconds(1.0))

    await timed("ask and answer, both ends", asks, one_request)
    encoded = len(msgspec.msgpack.encode(request))
    click.echo(f"an ask's own body: {encoded} bytes")
    for messenger in messengers:
        messenger.stop()


def _named_tenant(name: str, rate: float) -> Tenant:
    return msgspec.structs.replace(tenant(rate), name=TenantName(name))


if __name__ == "__main__":
    main()
