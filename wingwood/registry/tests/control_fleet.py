"""A simulated fleet of control daemons and routers with real membership, and workers that announce over HTTP.

Each daemon consists of its membership and its registry only. Every machine with a control daemon also runs a router.
Workers announce only to control daemons, every 1.2 s, and try the next daemon after 1 s without an answer.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import Literal

import msgspec
from returns.result import Success

from simulation.world import Machine, World, address_of
from wingwood.context.protocols import Context, HttpRequest
from wingwood.identifiers import Address, DaemonName, Incarnation, PoolName, Seconds, WorkerInstance, Zone
from wingwood.membership.client import MembershipClient
from wingwood.membership.coordinator import MembershipCoordinator
from wingwood.operator_api.protocols import OperatorReply
from wingwood.operator_api.server import OperatorServer
from wingwood.registry.worker_announcements import ANNOUNCE_PATH
from wingwood.registry.worker_registry import WorkerRegistry
from wingwood.settings.model import DaemonSettings
from wingwood.transport.frames import Identity
from wingwood.transport.messenger import TcpMessenger

ZONES = ("a", "b", "c")
MODEL = PoolName("model")
WEB = PoolName("web")
INTERNAL_PORTS = {"control": 7001, "router": 7101}
OPERATOR_PORT = 7002
ANNOUNCE_INTERVAL_S = 1.2
ANNOUNCE_TIMEOUT_S = 1.0
UNRENEWED_AFTER = Seconds(4.0)


class Daemon:
    """Membership and registry of a control daemon or a router."""

    def __init__(self, fleet: ControlFleet, context: Context, name: str, machine: Machine) -> None:
        role: Literal["router", "control"] = "control" if name.startswith("control") else "router"
        lives = fleet.world.processes[name].incarnation_number
        internal = address_of(machine, INTERNAL_PORTS[role])
        operator = address_of(machine, OPERATOR_PORT if role == "control" else OPERATOR_PORT + 100)
        self.context = context
        self.identity = Identity(
            name=DaemonName(name),
            incarnation=Incarnation(f"{name}.{lives}"),
            role=role,
            zone=Zone(machine.zone),
            internal=internal,
            operator=operator,
        )
        self.messenger = TcpMessenger(context, self.identity, b"key")
        settings = DaemonSettings(
            name=DaemonName(name),
            role=role,
            zone=Zone(machine.zone),
            internal=internal,
            operator=operator,
            seeds=fleet.seeds,
            fleet_key=b"key",
            operator_keys=(),
            worker_check=fleet.worker_check,
            worker_unrenewed_after=UNRENEWED_AFTER,
        )
        self.membership: MembershipCoordinator | MembershipClient = (
            MembershipCoordinator(context, self.messenger, fleet.seeds)
            if role == "control"
            else MembershipClient(context, self.messenger, fleet.seeds)
        )
        self.registry = WorkerRegistry(context, self.messenger, self.membership, settings)
        self.messenger.start().unwrap()
        if role == "control":
            server = OperatorServer(context)
            self.registry.add_routes(server)
            server.start(operator).unwrap()
        self.membership.start()
        self.registry.start()
        if role == "router":
            self.registry.watch(MODEL)
            self.registry.watch(WEB)


class AnnouncingWorker:
    """The part of a worker that sends announcements."""

    def __init__(self, fleet: ControlFleet, context: Context, name: str, pool: PoolName, address: Address) -> None:
        self.fleet = fleet
        self.context = context
        self.pool = pool
        self.zone = fleet.world.processes[name].machine.zone
        self.address = address
        self.instance = WorkerInstance(f"{name}.{fleet.world.processes[name].incarnation_number}")
        self.state = "ready"
        self.silent = False
        self.acknowledged_at: dict[str, float] = {}
        """Time of the first acknowledgement of each state."""
        self.asked = 0
        self.slowest = 0.0
        """The longest that a daemon took to answer."""
        self._next = context.random.randrange(8)
        self._changed = asyncio.Event()
        context.tasks.spawn("beats", self._announce_forever())

    def leave(self) -> None:
        self.state = "draining"
        self._changed.set()

    async def _announce_forever(self) -> None:
        await asyncio.sleep(self.context.random.random() * ANNOUNCE_INTERVAL_S)
        while True:
            self._changed.clear()
            if not self.silent:
                await self._announce()
            try:
                async with asyncio.timeout(ANNOUNCE_INTERVAL_S):
                    await self._changed.wait()
            except TimeoutError:
                continue

    async def _announce(self) -> None:
        state = self.state
        for _ in self.fleet.operators:
            if await self._announce_to(self.fleet.operators[self._next % len(self.fleet.operators)], state):
                self.acknowledged_at.setdefault(state, self.fleet.world.now)
                return
            self._next += 1

    async def _announce_to(self, address: Address, state: str) -> bool:
        announcement = {
            "instance": self.instance,
            "address": str(self.address),
            "pool": self.pool,
            "zone": self.zone,
            "slots": 12,
            "state": state,
        }
        self.asked += 1
        asked = self.fleet.world.now
        exchange = self.context.http.start(
            HttpRequest(
                "POST",
                address,
                ANNOUNCE_PATH,
                body=msgspec.json.encode(announcement),
                connect_timeout=Seconds(ANNOUNCE_TIMEOUT_S),
            )
        )
        try:
            async with asyncio.timeout(ANNOUNCE_TIMEOUT_S):
                head = await exchange.head()
                if not isinstance(head, Success):
                    return False
                self.slowest = max(self.slowest, self.fleet.world.now - asked)
                return bool(head.unwrap().status == 200)
        except TimeoutError:
            return False
        finally:
            exchange.cancel()


class ControlFleet:
    def __init__(
        self,
        world: World,
        routers: int = 11,
        model_workers: int = 9,
        web_workers: int = 3,
        worker_check: Literal["health", "trial"] = "trial",
    ) -> None:
        self.world = world
        self.worker_check = worker_check
        self.daemons: dict[str, Daemon] = {}
        self.workers: dict[str, AnnouncingWorker] = {}
        machines = [world.machine(f"front-{number}", ZONES[number % 3]) for number in range(routers)]
        self.seeds = tuple(address_of(machine, INTERNAL_PORTS["control"]) for machine in machines[:3])
        self.operators: Sequence[Address] = tuple(address_of(machine, OPERATOR_PORT) for machine in machines[:3])
        for number, machine in enumerate(machines):
            if number < 3:
                self.start_daemon(f"control-{number}", machine)
            self.start_daemon(f"router-{number}", machine)
        for number in range(model_workers):
            self.start_worker(f"model-{number}", MODEL, ZONES[number % 3])
        for number in range(web_workers):
            self.start_worker(f"web-{number}", WEB, ZONES[number % 3])

    def start_daemon(self, name: str, machine: Machine) -> None:
        async def main(context: Context) -> None:
            self.daemons[name] = Daemon(self, context, name, machine)

        self.world.start(name, main, machine=machine.name)

    def start_worker(self, name: str, pool: PoolName, zone: str) -> None:
        async def main(context: Context) -> None:
            address = Address(self.world.processes[name].machine.host, 24100)
            self.workers[name] = AnnouncingWorker(self, context, name, pool, address)

        self.world.start(name, main, zone=zone)

    def settle(self) -> None:
        """Runs the world until every router knows every worker; raises TimeoutError if that takes more than 20 s."""
        if not self.world.wait_for(self.all_known, 20.0):
            raise TimeoutError("not every router knows every worker")
        self.world.run(3.0)

    def routers(self) -> list[str]:
        return [
            name
            for name, process in sorted(self.world.processes.items())
            if name in self.daemons and name.startswith("router") and process.alive and not process.frozen
        ]

    def controls(self) -> list[str]:
        return [name for name in sorted(self.daemons) if name.startswith("control")]

    def all_known(self) -> bool:
        wanted = {worker.instance for worker in self.workers.values() if worker.state == "ready" and not worker.silent}
        return bool(wanted) and all(wanted <= self.ready_at(name) for name in self.routers())

    def ready_at(self, router: str) -> set[WorkerInstance]:
        registry = self.daemons[router].registry
        return {worker.instance for pool in (MODEL, WEB) for worker in registry.ready(pool)}

    def owner(self, zone: str, pool: PoolName = MODEL) -> str:
        return str(self.daemons["router-0"].registry.pool_owners.by_zone(pool)[Zone(zone)].name)

    def inside(self, daemon: str, work: Callable[[WorkerRegistry], Awaitable[OperatorReply]]) -> int:
        """Runs a call in the daemon's process and returns the status of the reply; raises TimeoutError after 2 s."""
        replies: list[OperatorReply] = []

        async def run() -> None:
            replies.append(await work(self.daemons[daemon].registry))

        self.world.spawn(self.world.processes[daemon], run(), "test")
        if not self.world.wait_for(lambda: bool(replies), 2.0, every=0.005):
            raise TimeoutError("no answer within 2 s")
        return replies[0].status

    def machine_of(self, name: str) -> str:
        return self.world.processes[name].machine.name

    def cut(self, machines: Sequence[str], others: Sequence[str]) -> None:
        for one in machines:
            for other in others:
                if one != other:
                    self.world.cut(one, other)

    def fronts(self, zone: str | None = None) -> list[str]:
        return [
            machine.name
            for _, machine in sorted(self.world.machines.items())
            if machine.name.startswith("front") and zone in (None, machine.zone)
        ]
