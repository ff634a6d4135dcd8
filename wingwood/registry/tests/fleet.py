"""A simulated fleet of routers that each have a registry; a roster replaces the membership."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, Literal

import msgspec

from emulator.worker import EmulatedWorker, WorkerOptions
from simulation.world import Process, World
from wingwood.context.protocols import Context
from wingwood.identifiers import Address, DaemonName, Incarnation, Instant, PoolName, Seconds, Zone
from wingwood.operator_api.protocols import OperatorReply, OperatorRequest
from wingwood.registry.worker_registry import WorkerRegistry
from wingwood.settings.model import DaemonSettings
from wingwood.transport.frames import Identity
from wingwood.transport.messenger import TcpMessenger

ZONES = ("a", "b", "c")
POOL = PoolName("chat")


class Roster:
    """The members as set by the test; every daemon is notified of a change immediately."""

    def __init__(self) -> None:
        self.identities: dict[str, Identity] = {}
        self.callbacks: dict[str, list[Callable[[], None]]] = {}

    def put(self, identity: Identity) -> None:
        self.identities[identity.name] = identity
        self.changed()

    def remove(self, name: str) -> None:
        del self.identities[name]
        self.changed()

    def changed(self) -> None:
        for _, callbacks in sorted(self.callbacks.items()):
            for callback in callbacks:
                callback()


class RosterMembership:
    """A fake membership of one daemon that reads the roster."""

    def __init__(self, roster: Roster, context: Context, name: str) -> None:
        self.roster = roster
        self.context = context
        self.name = name
        self.cut_off_at: Instant | None = None
        roster.callbacks[name] = []

    def members(self) -> Sequence[Identity]:
        return tuple(identity for _, identity in sorted(self.roster.identities.items()))

    def routers(self) -> Sequence[Identity]:
        return tuple(identity for identity in self.members() if identity.role == "router")

    def controls(self) -> Sequence[Identity]:
        return tuple(identity for identity in self.members() if identity.role == "control")

    def is_member(self, incarnation: Incarnation) -> bool:
        return any(identity.incarnation == incarnation for identity in self.members())

    def session_confirmed_at(self) -> Instant | None:
        return self.context.clock.monotonic() if self.cut_off_at is None else self.cut_off_at

    def on_change(self, callback: Callable[[], None]) -> None:
        self.roster.callbacks[self.name].append(callback)


class Router:
    """Messenger and registry of one router."""

    def __init__(self, fleet: Fleet, context: Context, name: str, zone: str) -> None:
        process = fleet.world.processes[name]
        self.context = context
        self.identity = Identity(
            name=DaemonName(name),
            incarnation=Incarnation(f"{name}.{process.incarnation_number}"),
            role="router",
            zone=Zone(zone),
            internal=Address(process.machine.host, 24000),
        )
        self.messenger = TcpMessenger(context, self.identity, b"key")
        self.membership = RosterMembership(fleet.roster, context, name)
        settings = DaemonSettings(
            name=DaemonName(name),
            role="router",
            zone=Zone(zone),
            internal=self.identity.internal,
            operator=Address(process.machine.host, 24001),
            seeds=(),
            fleet_key=b"key",
            operator_keys=(),
            worker_check=fleet.worker_check,
            worker_unrenewed_after=fleet.unrenewed_after,
        )
        self.registry = WorkerRegistry(context, self.messenger, self.membership, settings)
        self.messenger.start().unwrap()
        self.registry.start()


class Fleet:
    """``count`` routers distributed over the zones in turn."""

    def __init__(
        self,
        world: World,
        count: int = 6,
        zones: Sequence[str] = ZONES,
        worker_check: Literal["health", "trial"] = "health",
    ) -> None:
        self.world = world
        self.worker_check = worker_check
        self.unrenewed_after = Seconds(3.0 if worker_check == "health" else 4.0)
        self.roster = Roster()
        self.routers: dict[str, Router] = {}
        self.workers: dict[str, EmulatedWorker] = {}
        for number in range(count):
            self.start_router(f"r{number}", zones[number % len(zones)])
        world.run(0.01)

    def start_router(self, name: str, zone: str) -> Process:
        async def main(context: Context) -> None:
            router = self.routers[name] = Router(self, context, name, zone)
            self.roster.put(router.identity)

        return self.world.start(name, main, zone=zone)

    def start_worker(self, name: str, cache_tokens: int = 120_000, slots: int = 8) -> EmulatedWorker:
        async def main(context: Context) -> None:
            host = self.world.processes[name].machine.host
            options = WorkerOptions(name=name, address=Address(host, 24100), cache_tokens=cache_tokens, slots=slots)
            worker = self.workers[name] = EmulatedWorker(context, options)
            worker.start().unwrap()

        self.world.start(name, main)
        self.world.run(0.01)
        return self.workers[name]

    def body(self, worker: EmulatedWorker, **changes: object) -> bytes:
        announcement: dict[str, object] = {
            "instance": worker.instance,
            "address": str(worker.options.address),
            "pool": POOL,
            "zone": worker.options.zone,
            "slots": worker.options.slots,
            "cache_tokens": worker.options.cache_tokens,
            "state": worker.state,
        }
        return msgspec.json.encode({**announcement, **changes})

    def request(self, worker: EmulatedWorker, **changes: object) -> OperatorRequest:
        return OperatorRequest(
            method="POST",
            path="/workers/v1/announce",
            query={},
            headers={},
            body=self.body(worker, **changes),
            peer=Address("10.0.0.1", 1),
        )

    def announce(self, worker: EmulatedWorker, router: str = "r0", **changes: object) -> OperatorReply:
        request = self.request(worker, **changes)
        reply: OperatorReply = self.inside(
            router, lambda: self.routers[router].registry.announcements.handle_announcement(request)
        )
        return reply

    def inside(self, router: str, work: Callable[[], Any], within: float = 5.0) -> Any:
        """Runs a coroutine in the router's process and returns its result; raises TimeoutError after ``within`` s."""
        results: list[Any] = []

        async def run() -> None:
            results.append(await work())

        self.world.spawn(self.world.processes[router], run(), "test")
        if not self.world.wait_for(lambda: bool(results), within, every=0.005):
            raise TimeoutError(f"no answer within {within} s")
        return results[0]

    def feed_age(self, router: str) -> float:
        async def age() -> float:
            return self.routers[router].registry.feed_age(POOL)

        return float(self.inside(router, age))

    def ready_at(self, router: str) -> list[str]:
        return [worker.instance for worker in self.routers[router].registry.ready(POOL)]

    def confirmed(self, router: str, instance: str) -> bool:
        registry = self.routers[router].registry
        worker = next((worker for worker in registry.ready(POOL) if worker.instance == instance), None)
        return worker is not None and bool(self.inside(router, lambda: registry.confirm(worker)))

    def owner(self, zone: str) -> str:
        found = self.routers["r0"].registry.pool_owners.by_zone(POOL)[Zone(zone)]
        return str(found.name)
