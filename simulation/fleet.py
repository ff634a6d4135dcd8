"""A simulated fleet of a deployment's shape, with its callers, operators and platform (docs/DESIGN.md section 16)."""

from __future__ import annotations

import asyncio
import functools
import importlib
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any, Protocol

import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from returns.result import Result, Success

from emulator.worker import WorkerOptions
from fleet.shape import Pool, Shape, read_shape
from wingwood.bundle.canonical import canonical_json
from wingwood.bundle.model import PriorityClass, Service, Tenant
from wingwood.bundle.route import Route
from wingwood.bundle.signing import public_hex
from wingwood.context.no_disk import NoDisk
from wingwood.context.protocols import Context
from wingwood.identifiers import (
    Address,
    ClassName,
    DaemonName,
    KeyDigest,
    PoolName,
    Seconds,
    ServiceName,
    SliceName,
    TenantName,
    Zone,
)
from wingwood.membership import rendezvous
from wingwood.settings.model import DaemonSettings

from .callers import CallerPlan, Callers, RouterEndpoint
from .history import Fault, History, ObservedPrimary, ObservedReady, ObservedStop, ObservedVersion, PaidShare
from .network import Cut, NetworkShape
from .operators import Operator, OperatorEndpoint, Slices, ask, digest_of_key
from .workers import ObservedWorker
from .world import Machine, Process, World, address_of, seeded

# Cached because it is a pure function that fourteen daemons in one process call with the same pairs.
rendezvous.weight = functools.lru_cache(maxsize=1_000_000)(rendezvous.weight)

ROUTER_PORTS = (7101, 7102, 8000)
CONTROL_PORTS = (7001, 7002)
WORKER_PORT = 9000
WATCH_INTERVAL_S = 0.5
READY_INTERVAL_S = 0.5
RESTART_DELAY_S = 1.0
CLOCK_DRIFT = 0.0005
"""The clock of each daemon runs faster or slower by up to this share."""


class Daemon(Protocol):
    """The interface of the daemons that ``wingwood.daemons.*.build`` returns."""

    async def start(self) -> Any: ...

    async def drain(self) -> None: ...

    def stop(self) -> None: ...


DaemonFactory = Callable[[Context, DaemonSettings], Daemon]


def shape_named(name: str) -> Shape:
    """Returns the shape of the deployment ``despensa`` or ``sabarmati``; raises ValueError when it can't be read."""
    read = read_shape(Path(__file__).parent.parent / "fleet" / f"{name}.toml")
    if not isinstance(read, Success):
        raise ValueError(str(read.failure()))
    shape: Shape = read.unwrap()
    return shape


def network_shape(shape: Shape) -> NetworkShape:
    """Returns the network delays of a deployment, whose shape gives them in milliseconds."""
    return NetworkShape(same_zone=shape.hops.within_zone / 1000.0, between_zones=shape.hops.between_zones / 1000.0)


class DaemonFactories:
    """The functions that create daemons; broken variants of the fleet replace them (test harness only)."""

    def __init__(self, router: DaemonFactory | None = None, control: DaemonFactory | None = None) -> None:
        self._router = router
        self._control = control

    def of(self, role: str) -> DaemonFactory:
        given = self._router if role == "router" else self._control
        if given is not None:
            return given
        build: DaemonFactory = importlib.import_module(f"wingwood.daemons.{role}").build
        return build


class Fleet:
    """A fleet of simulated daemons and workers, with the history of its run and the faults that tests inject."""

    def __init__(
        self, world: World, shape: Shape, factories: DaemonFactories | None = None, supervised: bool = True
    ) -> None:
        self.world = world
        self.shape = shape
        self.factories = factories or DaemonFactories()
        self.history = History()
        self.supervised = supervised
        self.daemons: dict[str, Daemon] = {}
        self.settings: dict[str, DaemonSettings] = {}
        self.workers: dict[str, ObservedWorker] = {}
        self.callers: dict[str, Callers] = {}
        self.operators: dict[str, Operator] = {}
        self.caller_keys: dict[str, str] = {}
        self.readiness: dict[str, bool] = {}
        """The last answer of each router to the platform's readiness check."""
        self._fleet_key = seeded(world.seed, "fleet key").randbytes(16)
        self._operator_keys = {
            name: Ed25519PrivateKey.from_private_bytes(seeded(world.seed, name).randbytes(32))
            for name in ("operator-1", "operator-2")
        }
        self._random = seeded(world.seed, "fleet")
        self._machines_made = 0
        self._stopping: set[str] = set()
        self._watched: set[str] = set()

    # -- starting daemons, workers, callers and operators

    def start(self) -> None:
        """Starts all processes; ``put_in_force`` then pushes the first bundle."""
        zones, shape = self.shape.zones, self.shape
        for number in range(max(shape.routers, shape.controls)):
            self._front_machine(zones[number % len(zones)])
        seeds = tuple(
            address_of(self.world.machines[f"front-{number + 1}"], CONTROL_PORTS[0]) for number in range(shape.controls)
        )[:3]
        for number in range(shape.controls):
            self.start_control(f"control-{number + 1}", f"front-{number + 1}", seeds)
        for number in range(shape.routers):
            self.start_router(f"router-{number + 1}", f"front-{number + 1}", seeds)
        for pool in shape.pools:
            for number in range(pool.workers):
                self.start_worker(f"{pool.name}-{number + 1}", pool, zones[number % len(zones)])
        for number, name in enumerate(self._operator_keys):
            self._start_operator(name, zones[number % len(zones)])
        for number, tenant in enumerate(shape.tenants):
            key = f"key-{tenant.name}-{seeded(self.world.seed, 'key', tenant.name).getrandbits(64):016x}"
            self.caller_keys[tenant.name] = key
            plan = CallerPlan(tenant=tenant, key=key, machine=f"callers-{tenant.name}")
            self._start_callers(plan, zones[number % len(zones)])
        self.world.start("platform", self._platform, zone=zones[0])
        self.world.start("watch", self._watch, zone=zones[-1])

    def _front_machine(self, zone: str) -> Machine:
        self._machines_made += 1
        return self.world.machine(f"front-{self._machines_made}", zone)

    def start_control(self, name: str, machine_name: str, seeds: tuple[Address, ...], relay: bool = False) -> None:
        machine = self.world.machines[machine_name]
        self.settings[name] = DaemonSettings(
            name=DaemonName(name),
            role="control",
            zone=Zone(machine.zone),
            internal=address_of(machine, CONTROL_PORTS[0]),
            operator=address_of(machine, CONTROL_PORTS[1]),
            seeds=seeds,
            data_folder=None if relay else "data",
            fleet_key=self._fleet_key,
            operator_keys=self._public_keys(),
            removed_key_bound=self._removed_key_bound(),
        )
        self._start_daemon(name, machine)

    def start_router(self, name: str, machine_name: str, seeds: tuple[Address, ...]) -> None:
        machine = self.world.machines[machine_name]
        self.settings[name] = DaemonSettings(
            name=DaemonName(name),
            role="router",
            zone=Zone(machine.zone),
            internal=address_of(machine, ROUTER_PORTS[0]),
            operator=address_of(machine, ROUTER_PORTS[1]),
            caller=address_of(machine, ROUTER_PORTS[2]),
            seeds=seeds,
            fleet_key=self._fleet_key,
            operator_keys=self._public_keys(),
            removed_key_bound=self._removed_key_bound(),
            balancing=self.shape.balancing,
        )
        self._start_daemon(name, machine)

    def _public_keys(self) -> tuple[str, ...]:
        return tuple(public_hex(key) for key in self._operator_keys.values())

    def _removed_key_bound(self) -> Seconds | None:
        bound = self.shape.removed_key_bound
        return None if bound is None else Seconds(bound)

    def _start_daemon(self, name: str, machine: Machine) -> None:
        settings = self.settings[name]

        async def main(context: Context) -> None:
            if settings.role == "control" and settings.data_folder is None:
                context = msgspec.structs.replace(context, disk=NoDisk())
            daemon = self.factories.of(settings.role)(context, settings)
            self.daemons[name] = daemon
            started = await daemon.start()
            if isinstance(started, Result) and not isinstance(started, Success):
                context.log.event("start-failed", reason=str(started.failure()))
                context.tasks.stop_process(f"not started: {started.failure()}")

        drift = 1.0 + self._random.uniform(-CLOCK_DRIFT, CLOCK_DRIFT)
        self.world.start(name, main, machine=machine.name, tags={"role": settings.role}, clock_rate=drift)

    def start_worker(self, name: str, pool: Pool, zone: str) -> None:
        machine = self.world.machine(name, zone)

        async def main(context: Context) -> None:
            options = WorkerOptions(
                name=name,
                address=address_of(machine, WORKER_PORT),
                announce=tuple(self._some_operator_addresses(context)),
                pool=pool.name,
                zone=zone,
                kind=pool.kind,
                slots=pool.slots,
                cache_tokens=pool.cache_tokens,
                prefill_per_token=Seconds(pool.prefill_per_token),
                decode_per_token=Seconds(pool.decode_per_token),
                decode_per_other_stream=Seconds(pool.decode_per_other_stream),
                plain_seconds=Seconds(pool.plain_seconds),
                tells_load=pool.tells_load,
            )
            worker = ObservedWorker(context, options, self.history, lambda: self.world.now)
            self.workers[name] = worker
            started = worker.start()
            assert isinstance(started, Success), started

        self.world.start(name, main, machine=machine.name, tags={"role": "worker", "pool": pool.name})

    def _some_operator_addresses(self, context: Context) -> Sequence[Address]:
        names = [name for name, settings in self.settings.items() if settings.role == "router"]
        return [self.settings[name].operator for name in context.random.sample(names, min(4, len(names)))]

    def _start_operator(self, name: str, zone: str) -> None:
        async def main(context: Context) -> None:
            self.operators[name] = Operator(
                context, name, self._operator_keys[name], self.history, lambda: self.world.now, self.operator_endpoints
            )

        self.world.start(name, main, zone=zone)

    def _start_callers(self, plan: CallerPlan, zone: str) -> None:
        async def main(context: Context) -> None:
            callers = Callers(context, self.history, lambda: self.world.now, self.ready_routers, self.shape, plan)
            callers.traffic_factor = 0.0
            self.callers[plan.tenant.name] = callers
            callers.start_traffic()

        self.world.start(plan.machine, main, zone=zone)

    def operator_endpoints(self) -> list[OperatorEndpoint]:
        """Returns the operator endpoints of all daemons that were started and not replaced."""
        return [OperatorEndpoint(name, settings.operator) for name, settings in self.settings.items()]

    def ready_routers(self) -> list[RouterEndpoint]:
        """Returns the routers to which the platform sends clients now."""
        found = []
        for name, settings in self.settings.items():
            if settings.caller is not None and self.readiness.get(name):
                found.append(RouterEndpoint(name, settings.caller))
        return found

    def names(self, role: str) -> list[str]:
        return [name for name, settings in self.settings.items() if settings.role == role]

    # -- the platform's readiness checks and the polls of versions

    async def _platform(self, context: Context) -> None:
        while True:
            for name in list(self.settings):
                if self.settings[name].role == "router":
                    context.tasks.spawn(f"ready {name}", self._poll_ready(context, name))
            await asyncio.sleep(READY_INTERVAL_S)

    async def _poll_ready(self, context: Context, name: str) -> None:
        asked_at = self.world.now
        answer = await ask(context, "GET", self.settings[name].operator, "/ready", b"", READY_INTERVAL_S * 0.9)
        ready = answer is not None and answer[0] == 200
        self.history.ready.append(ObservedReady(asked_at, name, ready))
        if ready != self.readiness.get(name, False):
            context.log.event("door-ready" if ready else "door-not-ready", router=name)
        self.readiness[name] = ready

    async def _watch(self, context: Context) -> None:
        watcher = Operator(
            context,
            "watch",
            self._operator_keys["operator-1"],
            self.history,
            lambda: self.world.now,
            self.operator_endpoints,
        )
        while True:
            for name in list(self.settings):
                if name not in self._watched:
                    self._watched.add(name)
                    context.tasks.spawn(f"watch {name}", self._watch_one(context, watcher, name))
            await asyncio.sleep(WATCH_INTERVAL_S)

    async def _watch_one(self, context: Context, watcher: Operator, name: str) -> None:
        endpoint = OperatorEndpoint(name, self.settings[name].operator)
        while True:
            asked_at = self.world.now
            incarnation = self.world.processes[name].incarnation_number
            health = await watcher.health_at(endpoint, 1.0)
            if name not in self.settings:
                return  # the daemon was replaced in the meantime
            if health is not None:
                seen = ObservedVersion(asked_at, self.world.now, name, incarnation, int(health.get("version", 0)))
                if self.settings[name].role == "router":
                    self.history.versions.append(seen)
                report = health.get("control") or {}
                if report.get("own_role") == "primary" and report.get("accepts_orders"):
                    self.history.primaries.append(ObservedPrimary(asked_at, name, int(report.get("epoch", 0))))
            await asyncio.sleep(WATCH_INTERVAL_S)

    # -- orders and traffic

    def first_slices(self) -> Slices:
        """Returns the slices of the deployment's first bundle."""
        slices: Slices = {}
        for service in self.shape.services:
            slices[SliceName(f"service/{service.name}")] = canonical_json(
                Service(
                    name=ServiceName(service.name),
                    pool=PoolName(service.pool),
                    kind=service.kind,
                    repeatable=service.repeatable,
                    streaming=service.streaming,
                    deadline=Seconds(service.deadline),
                    first_byte_timeout=Seconds(service.first_byte_patience),
                    retry_share=service.retry_share,
                )
            )
            slices[SliceName(f"route/{service.name}")] = canonical_json(
                Route(name=service.name, path_prefix=service.path, service=ServiceName(service.name))
            )
        for each in self.shape.classes:
            slices[SliceName(f"class/{each.name}")] = canonical_json(
                PriorityClass(name=ClassName(each.name), weight=each.weight)
            )
        for tenant in self.shape.tenants:
            slices[SliceName(f"tenant/{tenant.name}")] = canonical_json(
                Tenant(
                    name=TenantName(tenant.name),
                    priority_class=ClassName(tenant.priority_class),
                    paid_rate=tenant.paid_rate,
                    keys=(KeyDigest(digest_of_key(self.caller_keys[tenant.name])),),
                )
            )
        return slices

    def put_in_force(self, within: float = 12.0) -> float:
        """Pushes the first bundle, waits until every router shows it, and returns the seconds that this took.

        Raises TimeoutError when a router does not show it, or is not ready, within ``within`` seconds.
        """
        started = self.world.now
        self.world.run(1.0)
        operator = self.operators["operator-1"]
        slices = self.first_slices()
        self.by_operator("operator-1", operator.push(lambda _: slices, "first bundle"))
        routers = self.names("router")

        def in_force() -> bool:
            seen = {version.daemon for version in self.history.versions if version.version >= 1}
            return seen.issuperset(routers) and len(self.ready_routers()) == len(routers)

        if not self.world.wait_for(in_force, within):
            raise TimeoutError(
                f"the first bundle is not in force everywhere after {within} s: ready routers "
                f"{[endpoint.name for endpoint in self.ready_routers()]}, orders {self.history.orders}"
            )
        for tenant in self.shape.tenants:
            self.history.first_shares[tenant.name] = PaidShare(tenant.paid_rate)
        return self.world.now - started

    def by_operator(self, name: str, work: Awaitable[Any]) -> None:
        """Runs work as a task of an operator's process; a time-out is recorded as an event."""

        async def run() -> None:
            try:
                await work
            except TimeoutError as late:
                self.world.note(name, "operator-gave-up", reason=str(late))

        self.world.spawn(self.world.processes[name], run(), "operator's work")

    def set_traffic(self, factor: float) -> None:
        """Sets the traffic of all callers as a multiple of the shape's traffic."""
        self.world.note("world", "traffic", factor=factor)
        for callers in self.callers.values():
            callers.traffic_factor = factor

    # -- faults by name of a process, machine or group; each is recorded in the history

    def processes_named(self, name: str) -> list[Process]:
        """Returns the processes of a process name, a machine name or a group.

        The groups are ``all daemons``, ``all controls``, ``all routers`` and ``all workers``. Raises ValueError for
        an unknown name.
        """
        world = self.world
        if name in world.processes:
            return [world.processes[name]]
        if name in world.machines:
            return [process for process in world.processes.values() if process.machine.name == name]
        groups = {
            "all daemons": ("control", "router"),
            "all controls": ("control",),
            "all routers": ("router",),
            "all workers": ("worker",),
        }
        if name in groups:
            return [process for process in world.processes.values() if process.tags.get("role") in groups[name]]
        raise ValueError(f"there is no process, machine or group {name!r}")

    def machines_named(self, name: str) -> list[str]:
        return sorted({process.machine.name for process in self.processes_named(name)})

    def fault(self, kind: str, name: str, ended: bool = False, description: str = "") -> Fault:
        """Records a fault of the named processes and their machines in the history."""
        processes = self.processes_named(name)
        targets = {process.name for process in processes} | {process.machine.name for process in processes}
        fault = Fault(kind=kind, targets=tuple(sorted(targets)), started_at=self.world.now, description=description)
        if ended:
            fault.ended_at = self.world.now
        self.history.faults.append(fault)
        return fault

    def end_fault(self, fault: Fault) -> None:
        if fault.ended_at is None:
            fault.ended_at = self.world.now

    def kill(self, name: str, down_for: float = RESTART_DELAY_S) -> None:
        """Kills the processes with SIGKILL; the supervisor restarts them after ``down_for`` seconds."""
        fault = self.fault("kill", name)
        for process in self.processes_named(name):
            self.world.kill(process)
        self.world.at(self.world.now + down_for, lambda: self.restart_stopped(name, fault))

    def restart_stopped(self, name: str, fault: Fault | None = None) -> None:
        for process in self.processes_named(name):
            if not process.alive and process.machine.powered:
                self.world.restart(process)
        if fault is not None:
            self.end_fault(fault)

    def freeze(self, name: str, seconds: float) -> None:
        fault = self.fault("freeze", name)
        processes = self.processes_named(name)
        for process in processes:
            self.world.freeze(process)

        def wake() -> None:
            for process in processes:
                self.world.wake(process)
            self.end_fault(fault)

        self.world.at(self.world.now + seconds, wake)

    def power_off(self, name: str, seconds: float | None) -> None:
        fault = self.fault("power-off", name)
        machines = self.machines_named(name)
        for machine in machines:
            self.world.power_off(machine)
        if seconds is not None:

            def power_on() -> None:
                for machine in machines:
                    self.world.power_on(machine)
                self.end_fault(fault)

            self.world.at(self.world.now + seconds, power_on)

    def cut(self, one: str, other: str, seconds: float, both_ways: bool = True) -> None:
        ones, others = self.machines_named(one), self.machines_named(other)
        pairs = [(near, far) for near in ones for far in others if near != far]
        if both_ways:
            pairs += [(far, near) for near, far in pairs]
        fault = self.fault("cut", one)
        fault.targets = tuple(sorted(set(fault.targets) | set(self.fault_targets(other))))
        self.world.note("world", "cut", one=one, other=other, both_ways=both_ways)
        cut = self.world.network.cut(pairs)
        self._heal_later(cut, fault, seconds)

    def cut_off(self, name: str, seconds: float, direction: str = "both", workers: bool = True) -> None:
        """Cuts machines off from all other daemons and, with ``workers``, from workers.

        Callers, operators and the platform still reach them.
        """
        own = set(self.machines_named(name))
        roles = ("router", "control", "worker") if workers else ("router", "control")
        inside = sorted(
            {process.machine.name for process in self.world.processes.values() if process.tags.get("role") in roles}
            - own
        )
        pairs = []
        for machine in sorted(own):
            for other in inside:
                if direction in ("both", "in"):
                    pairs.append((other, machine))
                if direction in ("both", "out"):
                    pairs.append((machine, other))
        fault = self.fault("cut-off", name)
        self.world.note("world", "cut-off", target=name, direction=direction)
        self._heal_later(self.world.network.cut(pairs), fault, seconds)

    def isolate(self, name: str, seconds: float) -> None:
        """Cuts machines off from all others, callers and operators included."""
        own = set(self.machines_named(name))
        others = sorted(set(self.world.machines) - own)
        pairs = [(machine, other) for machine in sorted(own) for other in others]
        fault = self.fault("isolate", name)
        self.world.note("world", "isolate", target=name)
        self._heal_later(self.world.network.cut(pairs + [(b, a) for a, b in pairs]), fault, seconds)

    def slow(self, name: str, by: float, seconds: float) -> None:
        """Delays all traffic of the machines by ``by`` seconds without blocking it."""
        own = self.machines_named(name)
        pairs = [(near, far) for near in own for far in self.world.machines if far != near]
        pairs += [(far, near) for near, far in pairs]
        fault = self.fault("slow", name)
        self.world.note("world", "slow", target=name, by=by)
        slowness = self.world.network.slowness
        for pair in pairs:
            slowness[pair] = slowness.get(pair, 0.0) + by

        def back() -> None:
            for pair in pairs:
                slowness[pair] -= by
                if slowness[pair] < 1e-9:
                    del slowness[pair]
            self.end_fault(fault)

        self.world.at(self.world.now + seconds, back)

    def _heal_later(self, cut: Cut, fault: Fault, seconds: float) -> None:
        def heal() -> None:
            self.world.heal(cut)
            self.end_fault(fault)

        self.world.at(self.world.now + seconds, heal)

    def fault_targets(self, name: str) -> list[str]:
        processes = self.processes_named(name)
        return sorted({process.name for process in processes} | {process.machine.name for process in processes})

    def disk(self, name: str, mode: Any, seconds: float) -> None:
        fault = self.fault(f"disk-{mode}", name)
        disks = [self.world.machines[machine].disk for machine in self.machines_named(name)]
        self.world.note("world", "disk", target=name, mode=mode)
        for disk in disks:
            disk.set_mode(mode)

        def restore() -> None:
            for disk in disks:
                disk.set_mode("well")
            self.world.note("world", "disk", target=name, mode="well")
            self.end_fault(fault)

        self.world.at(self.world.now + seconds, restore)

    def wipe(self, name: str, kill: bool = True, down_for: float = RESTART_DELAY_S) -> None:
        """Empties the disks; with ``kill`` the processes are killed as well and restart on empty disks."""
        if kill:
            self.kill(name, down_for)
        else:
            self.fault("wipe", name, ended=True)
        for machine in self.machines_named(name):
            self.world.wipe(machine)

    def replace_control(self, name: str) -> str:
        """Replaces the machine of a control daemon by an empty one at a new address; returns the new daemon's name."""
        old = self.world.processes[name]
        self.fault("replace", old.machine.name, ended=False)
        if old.machine.powered:
            self.world.power_off(old.machine)
        routers = [
            process.name
            for process in self.world.processes.values()
            if process.machine is old.machine and process.tags.get("role") == "router"
        ]
        seeds = self.settings[name].seeds
        present = [each.internal for other, each in self.settings.items() if each.role == "control" and other != name]
        if not set(seeds) & set(present):
            # An operator who sets up a new machine names running daemons as seeds and keeps all other settings.
            seeds = (*present[:2], seeds[0])
        machine = self._front_machine(old.machine.zone)
        new_name = self._next_name("control")
        self._remove_daemon(name)
        self.start_control(new_name, machine.name, seeds)
        for router in routers:
            self._remove_daemon(router)
            self.start_router(self._next_name("router"), machine.name, seeds)
        self.world.note("world", "replaced", old=name, new=new_name)
        return new_name

    def _remove_daemon(self, name: str) -> None:
        self.settings.pop(name, None)
        self.readiness.pop(name, None)
        self.daemons.pop(name, None)

    def _next_name(self, role: str) -> str:
        used = [int(name.rpartition("-")[2]) for name in self.world.processes if name.startswith(f"{role}-")]
        return f"{role}-{max(used) + 1}"

    def terminate(self, name: str, down_for: float = RESTART_DELAY_S) -> None:
        """Sends SIGTERM: the daemons drain, stop and exit, and are restarted after ``down_for`` seconds."""
        for process in self.processes_named(name):
            fault = self.fault("terminate", process.name)
            self.world.note("world", "terminate", process=process.name)
            stop = self._record_stop(process)

            async def leave(process: Process = process, fault: Fault = fault, stop: ObservedStop = stop) -> None:
                daemon = self.daemons[process.name]
                await daemon.drain()
                daemon.stop()
                stop.ended_at = self.world.now
                self.world.kill(process)
                self.world.at(self.world.now + down_for, lambda: self.restart_stopped(process.name, fault))

            if process.alive:
                self.world.spawn(process, leave(), "terminate")

    def _record_stop(self, process: Process) -> ObservedStop:
        """Records a SIGTERM; a second one to the same incarnation returns the record of the first."""
        for stop in self.history.stops:
            if stop.daemon == process.name and stop.incarnation == process.incarnation_number and process.alive:
                return stop
        stop = ObservedStop(daemon=process.name, incarnation=process.incarnation_number, asked_at=self.world.now)
        if process.alive:
            self.history.stops.append(stop)
        return stop

    def supervise(self) -> None:
        """Restarts daemons and workers that stopped by themselves, after a delay."""
        if not self.supervised:
            return
        for process in self.world.processes.values():
            if (
                process.tags.get("role") in ("router", "control", "worker")
                and process.stopped_because is not None
                and not process.alive
                and process.machine.powered
                and process.name not in self._stopping
            ):
                self._stopping.add(process.name)

                def again(process: Process = process) -> None:
                    self._stopping.discard(process.name)
                    if not process.alive and process.machine.powered:
                        self.world.restart(process)

                self.world.at(self.world.now + RESTART_DELAY_S, again)

    def run(self, seconds: float) -> None:
        """Advances virtual time while the supervisor runs every 0.5 s."""
        until = self.world.now + seconds
        while self.world.now < until - 1e-9:
            self.world.run_until(min(until, self.world.now + 0.5))
            self.supervise()

    # -- the end of a run

    def read_back(self) -> None:
        """Reads the version in force at each daemon and the bundle histories, as operators do at the end."""
        operator = self.operators["operator-1"]

        async def read() -> None:
            for endpoint in self.operator_endpoints():
                version = await operator.version_at(endpoint)
                if version is not None:
                    self.history.final_versions[endpoint.name] = version
            for endpoint in self.operator_endpoints():
                if self.settings[endpoint.name].role == "control":
                    entries = await operator.read_history(endpoint)
                    if entries is not None:
                        self.history.final_history[endpoint.name] = entries

        self.by_operator("operator-1", read())
        self.world.run(8.0)
