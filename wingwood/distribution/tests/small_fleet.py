"""A simulated fleet of control daemons and routers without callers, for tests of membership and distribution."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import TypeVar

from returns.result import Success

from simulation import Process, World, address_of

from ...bundle.commands import SubmitOrder
from ...bundle.state import BundleState
from ...bundle.tests.samples import OPERATOR_KEYS
from ...bundle.variants import VariantTarget
from ...context.protocols import Context
from ...identifiers import Address, BundleVersion, DaemonName, Incarnation, Seconds, SliceName, Zone
from ...membership.client import MembershipClient
from ...membership.coordinator import MembershipCoordinator
from ...membership.membership_options import MembershipOptions
from ...transport.frames import Identity
from ...transport.messenger import TcpMessenger
from ..applied_bundle import AppliedBundle
from ..distribution_options import DistributionOptions
from ..follower import BundleFollower
from ..freshness_confirmation import FreshnessConfirmer
from ..publisher import BundlePublisher
from .fakes import FakeBundleSource, FakeControlCore, Orders, empty_disk

KEY = b"k" * 32
PORT = 26000
Part = TypeVar("Part")


class ControlParts:
    """The parts of one incarnation of a control daemon; faulty variants of the fleet replace some class here."""

    coordinator_class = MembershipCoordinator
    confirmer_class = FreshnessConfirmer
    membership_options = MembershipOptions()
    options = DistributionOptions()

    def __init__(self, context: Context, identity: Identity, seeds: Sequence[Address], disk: BundleState) -> None:
        self.messenger = TcpMessenger(context, identity, KEY)
        self.core = FakeControlCore(self.messenger, tuple(seeds))
        self.source = FakeBundleSource(disk)
        self.coordinator = self.coordinator_class(context, self.messenger, seeds, self.membership_options)
        self.freshness = self.confirmer_class(
            context, self.messenger, self.core, self.source, self.coordinator, self.options
        )
        self.publisher = BundlePublisher(
            context, self.messenger, self.core, self.source, self.coordinator, self.options
        )
        self.coordinator.set_update_source(self.freshness.membership_update)


class RouterParts:
    """The parts of one incarnation of a router; faulty variants of the fleet replace some class here."""

    client_class = MembershipClient
    bundle_class = AppliedBundle
    follower_class = BundleFollower
    membership_options = MembershipOptions()
    options = DistributionOptions()

    def __init__(self, context: Context, identity: Identity, seeds: Sequence[Address], bound: Seconds | None) -> None:
        self.messenger = TcpMessenger(context, identity, KEY)
        self.client = self.client_class(context, self.messenger, seeds, self.membership_options)
        place = VariantTarget(identity.zone, identity.name)
        self.bundle = self.bundle_class(context, place, OPERATOR_KEYS, bound, self.options)
        self.follower = self.follower_class(context, self.messenger, self.client, self.bundle, self.options)


class SmallFleet:
    """Three control daemons c1 to c3 (c1 is primary, c2 backup) and routers r01, r02 and so on over three zones."""

    router_parts = RouterParts
    control_parts = ControlParts

    def __init__(self, world: World, routers: int = 11, bound: Seconds | None = None) -> None:
        self.world = world
        self.bound = bound
        self.orders = Orders()
        self.disks: dict[str, BundleState] = {}
        self.controls: dict[str, ControlParts] = {}
        self.routers: dict[str, RouterParts] = {}
        self.epoch = 1
        self.primary, self.backup = "c1", "c2"
        self.committed_at: dict[BundleVersion, float] = {}
        self.in_force_at: dict[tuple[str, BundleVersion], float] = {}
        names = ("c1", "c2", "c3")
        self.seeds = [address_of(world.machine(name, "abc"[index]), PORT) for index, name in enumerate(names)]
        for name in names:
            self.start_control(name)
        for number in range(routers):
            self.start_router(f"r{number + 1:02}", "abc"[number % 3])

    # -- processes

    def _identity(self, name: str, role: str, incarnation: str) -> Identity:
        machine = self.world.machine(name)
        return Identity(
            DaemonName(name),
            Incarnation(incarnation),
            "control" if role == "control" else "router",
            Zone(machine.zone),
            address_of(machine, PORT),
        )

    def start_control(self, name: str, zone: str = "a") -> Process:
        """Starts a control daemon with an empty disk on a machine of that name."""
        self.world.machine(name, zone)
        self.disks[name] = empty_disk()

        async def main(context: Context) -> None:
            identity = self._identity(name, "control", f"{name}-disk")
            parts = self.control_parts(context, identity, self.seeds, self.disks[name])
            self.controls[name] = parts
            assert isinstance(parts.messenger.start(), Success)
            parts.core.set_primary(self.epoch, address_of(self.world.machine(self.primary), PORT))
            parts.coordinator.start()
            parts.freshness.start()
            parts.publisher.start()

        return self.world.start(name, main)

    def start_router(self, name: str, zone: str = "a") -> Process:
        self.world.machine(name, zone)

        async def main(context: Context) -> None:
            identity = self._identity(name, "router", f"{name}-{context.random.getrandbits(32):08x}")
            parts = self.router_parts(context, identity, self.seeds, self.bound)
            self.routers[name] = parts
            parts.bundle.on_change(lambda bundle: self._in_force(name, bundle.version))
            assert isinstance(parts.messenger.start(), Success)
            parts.client.start()
            parts.follower.start()

        return self.world.start(name, main)

    def _in_force(self, name: str, version: BundleVersion) -> None:
        earlier = self.in_force_at.setdefault((name, version), self.world.now)
        assert earlier == self.world.now or self.world.processes[name].incarnation_number > 1

    # -- control core, steered by the test

    def commit(self, added: Mapping[SliceName, bytes] | None = None) -> BundleVersion:
        """Makes the next order (or one that adds slices) durable on primary and backup and acknowledges it.

        Returns its version.
        """
        order = self.orders.next(added)
        record, reply = self.disks[self.primary].decide(SubmitOrder(order))
        assert record is not None, reply
        for name in (self.primary, self.backup):
            self.disks[name].apply(record)
            if self.world.processes[name].alive:
                self.world.spawn(self.world.processes[name], self._committed(name), "committed")
        self.committed_at[order.manifest.version] = self.world.now
        return order.manifest.version

    async def _committed(self, name: str) -> None:
        self.controls[name].source.committed()

    def fail_over(self, primary: str, backup: str, informed: Sequence[str]) -> None:
        """Installs a new view, which only the control daemons in ``informed`` learn of."""
        self.epoch += 1
        self.primary, self.backup = primary, backup
        if self.disks[primary].version > self.disks[backup].version:
            self.disks[backup].restore(self.disks[primary].snapshot())
        for name in informed:
            self.world.spawn(self.world.processes[name], self._inform_control(name, self.epoch), "inform")

    async def _inform_control(self, name: str, epoch: int) -> None:
        self.controls[name].core.set_primary(epoch, address_of(self.world.machine(self.primary), PORT))

    # -- observing

    def inside(self, name: str, look: Callable[[], Part]) -> Part:
        """Returns the value that ``look`` has inside the process, on the clock of that process."""
        loop = self.world.loop
        before, loop.running_incarnation = loop.running_incarnation, self.world.processes[name].incarnation
        try:
            return look()
        finally:
            loop.running_incarnation = before

    def serving(self) -> list[str]:
        return [name for name in self.versions() if self.inside(name, self.routers[name].bundle.may_serve)]

    def confirmation_age(self, name: str) -> float | None:
        context, bundle = self.world.processes[name].context, self.routers[name].bundle
        confirmed_at = bundle.confirmed_latest_at()
        assert context is not None
        return None if confirmed_at is None else self.inside(name, context.clock.monotonic) - confirmed_at

    def router_address(self, name: str) -> Address:
        return address_of(self.world.machine(name), PORT)

    def versions(self) -> dict[str, BundleVersion]:
        return {name: parts.bundle.version() for name, parts in sorted(self.routers.items()) if self._runs(name)}

    def _runs(self, name: str) -> bool:
        process = self.world.processes[name]
        return process.alive and not process.frozen

    def all_in_force(self, version: BundleVersion, apart_from: Sequence[str] = ()) -> bool:
        return all(applied >= version for name, applied in self.versions().items() if name not in apart_from)

    def view_of(self, router: str) -> list[str]:
        return [member.name for member in self.routers[router].client.members()]

    def all_see(self, names: Sequence[str], apart_from: Sequence[str] = ()) -> bool:
        """Whether the members known to each running router are exactly ``names``."""
        return all(self.view_of(name) == sorted(names) for name in self.versions() if name not in apart_from)

    def everybody(self) -> list[str]:
        return sorted([*self.controls, *self.routers])

    def settle(self, seconds: float = 5.0) -> None:
        """Runs until the fleet has formed and version 1 is in force on all routers."""
        self.world.run(0.2)
        version = self.commit()
        assert self.world.wait_for(lambda: self.all_in_force(version), seconds), self.world.timeline(80)
        assert self.world.wait_for(lambda: self.all_see(self.everybody()), seconds), self.world.timeline(80)
        self.world.run(3.0)
