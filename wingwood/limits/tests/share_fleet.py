"""Routers that run only the paid shares, in simulated time under Poisson load (for tests and bench/limits_bench.py)."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

from simulation import World, address_of
from wingwood.bundle.model import Tenant
from wingwood.context.protocols import Context
from wingwood.identifiers import ClassName, DaemonName, Incarnation, Instant, Seconds, TenantName, Zone
from wingwood.limits.share_options import ShareOptions
from wingwood.limits.shares import FleetShares
from wingwood.limits.tolerance import QuotaTolerance
from wingwood.transport.frames import Identity
from wingwood.transport.messenger import TcpMessenger

PORT = 7000
REMOVED_AFTER_S = 2.0
"""A router that does not reach control is removed from the membership after this long."""
CallCost = Callable[[Random], int]
"""Draws the cost of one call."""
Load = Callable[[int, float], float]
"""Returns the offered calls per second for a router's number and a time of the simulated world."""


class FakeMembership:
    """A fake membership that is set by ``ShareFleet`` with every heartbeat."""

    def __init__(self) -> None:
        self._members: list[Identity] = []
        self._confirmed_at: Instant | None = None
        self._callbacks: list[Callable[[], None]] = []

    def learn(self, members: Sequence[Identity], now: Instant) -> None:
        changed = list(members) != self._members
        self._members, self._confirmed_at = list(members), now
        for callback in self._callbacks if changed else ():
            callback()

    def members(self) -> Sequence[Identity]:
        return self._members

    def routers(self) -> Sequence[Identity]:
        return self._members

    def controls(self) -> Sequence[Identity]:
        return []

    def is_member(self, incarnation: Incarnation) -> bool:
        return any(member.incarnation == incarnation for member in self._members)

    def session_confirmed_at(self) -> Instant | None:
        return self._confirmed_at

    def on_change(self, callback: Callable[[], None]) -> None:
        self._callbacks.append(callback)


class ShareFleet:
    """Routers ``r0``, ``r1``... that charge one tenant's calls to its paid share.

    ``calls`` holds (time, router, accepted, seconds waited) for every call.
    """

    def __init__(
        self,
        world: World,
        routers: int,
        tenant: Tenant,
        load: Load,
        max_rate: float,
        options: ShareOptions | None = None,
        tolerance: QuotaTolerance | None = None,
        cost: CallCost = lambda _: 1,
    ) -> None:
        self.options = options
        self.tolerance = tolerance
        self.cost = cost
        self.uses: list[tuple[float, int]] = []
        """(time, cost) of each accepted call, in time order."""
        self.offered_uses: list[tuple[float, int]] = []
        """(time, cost) of each offered call, including refused ones."""
        self.world = world
        self.tenant = tenant
        self.rates = [(0.0, tenant.paid_rate)]
        self.load = load
        self.max_rate = max_rate
        self.calls: list[tuple[float, int, bool, float]] = []
        self.identities: dict[str, Identity] = {}
        self.unreachable_since: dict[str, float] = {}
        """Time since which a router does not reach control, because it is killed, frozen or partitioned off."""
        self.control_down = False
        self.shares: dict[str, FleetShares] = {}
        self.messengers: dict[str, TcpMessenger] = {}
        for number in range(routers):
            self.join(number)

    def join(self, number: int) -> None:
        name = f"r{number}"
        machine = self.world.machine(name, "abc"[number % 3])

        async def main(context: Context) -> None:
            identity = Identity(
                DaemonName(name),
                Incarnation(f"{name}-{context.random.randrange(1 << 32):08x}"),
                "router",
                Zone(machine.zone),
                address_of(machine, PORT),
            )
            messenger = TcpMessenger(context, identity, b"fleet key")
            messenger.start()
            self.messengers[name] = messenger
            membership = FakeMembership()
            self.shares[name] = FleetShares(
                context, messenger, membership, lambda _: self.tenant, self.options, self.tolerance
            )
            self.unreachable_since.pop(name, None)
            self.identities[name] = identity
            context.tasks.spawn("heartbeat", self._heartbeat(context, name, membership))
            context.tasks.spawn("load", self._offer(context, number, self.shares[name]))

        self.world.start(name, main, zone=machine.zone)

    def allocator(self) -> str:
        """Returns the name of the tenant's share allocator according to a healthy router."""
        healthy = next(name for name in sorted(self.shares) if name not in self.unreachable_since)
        found = self.shares[healthy].allocator_of(self.tenant.name)
        assert found is not None
        return found.name

    def standby(self) -> str:
        """Returns the name of the allocator's standby according to a healthy router."""
        healthy = next(name for name in sorted(self.shares) if name not in self.unreachable_since)
        found = self.shares[healthy].standby_of(self.tenant.name)
        assert found is not None
        return found.name

    def mark_unreachable(self, name: str) -> None:
        self.unreachable_since[name] = self.world.now

    def mark_recovered(self, name: str) -> None:
        self.unreachable_since.pop(name, None)

    async def _heartbeat(self, context: Context, name: str, membership: FakeMembership) -> None:
        while True:
            if name not in self.unreachable_since and not self.control_down:
                now = self.world.now
                members = [
                    self.identities[other]
                    for other in sorted(self.identities)
                    if now - self.unreachable_since.get(other, now) <= REMOVED_AFTER_S
                ]
                membership.learn(members, context.clock.monotonic())
            await context.clock.sleep(Seconds(context.random.uniform(0.4, 0.6)))

    async def _offer(self, context: Context, number: int, shares: FleetShares) -> None:
        while True:
            await context.clock.sleep(Seconds(context.random.expovariate(self.max_rate)))
            if context.random.random() * self.max_rate < self.load(number, self.world.now):
                context.tasks.spawn("call", self._call(number, shares, self.cost(context.random)))

    async def _call(self, number: int, shares: FleetShares, cost: int = 1) -> None:
        started_at = self.world.now
        self.offered_uses.append((started_at, cost))
        refused = await shares.take(self.tenant, cost)
        if refused is None:
            self.uses.append((self.world.now, cost))
        self.calls.append((started_at, number, refused is None, self.world.now - started_at))

    def accepted(self, start: float, end: float) -> int:
        return sum(1 for at, _, accepted, _ in self.calls if accepted and start <= at < end)

    def offered(self, start: float, end: float) -> int:
        return sum(1 for at, _, _, _ in self.calls if start <= at < end)

    def paid_ratio(self, start: float, end: float) -> float:
        """Returns the accepted calls divided by the calls paid for in that time."""
        return self.accepted(start, end) / self.paid(start, end)

    def change_tenant(self, tenant: Tenant) -> None:
        """Puts a tenant with another paid rate into force, as a new bundle does."""
        self.tenant = tenant
        self.rates.append((self.world.now, tenant.paid_rate))

    def paid(self, start: float, end: float) -> float:
        ends = [*(since for since, _ in self.rates[1:]), end]
        return sum(
            rate * max(0.0, min(end, until) - max(start, since))
            for (since, rate), until in zip(self.rates, ends, strict=True)
        )

    def refused_fraction(self, start: float, end: float) -> float:
        offered = self.offered(start, end)
        return 1.0 - self.accepted(start, end) / offered if offered else 0.0

    def max_used(self, window: float, start: float = 0.0) -> int:
        """Returns the highest use, over all routers, in any sliding window after ``start``."""
        most = used = oldest = 0
        uses = [(at, cost) for at, cost in self.uses if at >= start]
        for at, cost in uses:
            used += cost
            while uses[oldest][0] < at - window:
                used -= uses[oldest][1]
                oldest += 1
            most = max(most, used)
        return most

    def max_paid_ratio(self, start: float, end: float, width: float) -> float:
        """Returns the highest ``paid_ratio`` of any window of that width, in steps of a tenth of the width."""
        steps = int((end - start - width) / (width / 10)) + 1
        return max(
            self.paid_ratio(start + step * width / 10, start + step * width / 10 + width) for step in range(steps)
        )


def tenant(paid_rate: float, burst: float = 1.0) -> Tenant:
    return Tenant(
        name=TenantName("austral"), priority_class=ClassName("gold"), paid_rate=paid_rate, burst=Seconds(burst)
    )
