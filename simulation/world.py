"""A simulated world of machines and processes on virtual time (docs/DESIGN.md section 16)."""

from __future__ import annotations

import asyncio
import contextlib
import contextvars
import gc
import hashlib
import sys
import traceback
import warnings
from collections.abc import Awaitable, Callable, Coroutine
from random import Random
from types import TracebackType
from typing import Any, TypeVar

import msgspec
from tornado.ioloop import IOLoop

from wingwood.context.logs import format_line
from wingwood.context.protocols import Context, HttpClient, Network, Tasks
from wingwood.context.stream_client import StreamHttpClient
from wingwood.identifiers import Address, Instant, Seconds, WallTime

from .disk import MachineDisk, SimulatedDisk
from .network import Cut, NetworkShape, SimulatedNetwork, SimulatedNetworkCore
from .virtual_time import INCARNATION, Arrangement, Incarnation, VirtualTask, VirtualTimeLoop, attach_tornado

Value = TypeVar("Value")
Main = Callable[[Context], Awaitable[None]]
START_OF_WALL_TIME = 1_800_000_000.0
FAULT_EVENTS = frozenset({"call-failed", "call-left-unanswered", "callback-failed"})
"""Log events of errors that a daemon survives; in a simulated run they count as broken invariants."""


def seeded(seed: int, *names: object) -> Random:
    """Returns a random source derived from the seed and the names; it is the same in every run and interpreter."""
    text = "/".join([str(seed), *(str(name) for name in names)])
    return Random(int.from_bytes(hashlib.blake2b(text.encode(), digest_size=16).digest(), "big"))


class WorldEvent(msgspec.Struct, frozen=True):
    """A log event of a process, or an action of the harness (source ``world``)."""

    at: float
    source: str
    name: str
    fields: dict[str, object]

    def line(self) -> str:
        return f"{self.at:10.4f} {self.source:<14} {format_line({'event': self.name, **self.fields})}"


class Machine:
    """A machine with an IP address, a zone and a disk."""

    def __init__(self, world: World, name: str, zone: str, host: str) -> None:
        self.world = world
        self.name = name
        self.zone = zone
        self.host = host
        self.powered = True
        self.disk = MachineDisk(world.loop, seeded(world.seed, "disk", name))


class Process:
    """A program on a machine; every start of it is a new incarnation."""

    def __init__(self, world: World, name: str, machine: Machine, main: Main, tags: dict[str, str]) -> None:
        self.world = world
        self.name = name
        self.machine = machine
        self.main = main
        self.tags = tags
        self.incarnation_number = 0
        self.incarnation: Incarnation | None = None
        self.context: Context | None = None
        self.stopped_because: str | None = None
        self.clock_rate = 1.0

    @property
    def alive(self) -> bool:
        return self.incarnation is not None and not self.incarnation.dead

    @property
    def frozen(self) -> bool:
        return self.incarnation is not None and self.incarnation.frozen


class SimulatedClock:
    """The clock of the running process (``Context.clock``), with its own offset and rate."""

    def __init__(self, world: World) -> None:
        self._loop = world.loop

    def monotonic(self) -> Instant:
        return Instant(self._loop.time())

    def wall(self) -> WallTime:
        return WallTime(START_OF_WALL_TIME + self._loop.now)

    async def sleep(self, seconds: Seconds) -> None:
        await asyncio.sleep(seconds)


class SimulatedLog:
    """The log of one process (``Context.log``); its events become events of the world."""

    def __init__(self, world: World, source: str) -> None:
        self._world = world
        self._source = source

    def event(self, name: str, **fields: object) -> None:
        self._world.note(self._source, name, **fields)
        if name in FAULT_EVENTS:
            self._world.broken_invariants.append(f"{self._world.now:.4f} {self._source} {name} {fields}")


class SimulatedTasks:
    """The tasks of one incarnation (``Context.tasks``); an unhandled exception in a task stops the process."""

    def __init__(self, world: World, process: Process, incarnation: Incarnation) -> None:
        self._world = world
        self._process = process
        self._life = incarnation

    def spawn(self, name: str, coroutine: Coroutine[Any, Any, None]) -> VirtualTask:
        task = self._world.loop.create_task(coroutine, name=name)
        task.add_done_callback(self._done)
        return task

    def _done(self, task: Any) -> None:
        if not task.cancelled() and (problem := task.exception()) is not None:
            trace = "".join(traceback.format_exception(problem))
            self._world.invariant_broken(self._process, task.get_name(), trace)
            self.stop_process(f"{task.get_name()}: {problem!r}")

    def stop_process(self, reason: str) -> None:
        if not self._life.dead:
            self._process.stopped_because = reason
            self._world.note(self._process.name, "process-stopped", reason=reason)
            self._world.kill(self._process)


class World:
    """A simulated world, used as a context manager: it owns all state of a run, and none of it outlives the world."""

    def __init__(self, seed: int, shape: NetworkShape | None = None, keep_events: int = 200_000) -> None:
        self.seed = seed
        self.loop = VirtualTimeLoop(seeded(seed, "wake"))
        self.io_loop: IOLoop | None = None
        self.network = SimulatedNetworkCore(self.loop, seeded(seed, "network"), shape or NetworkShape())
        self.random = seeded(seed, "world")
        self.machines: dict[str, Machine] = {}
        self.processes: dict[str, Process] = {}
        self.events: list[WorldEvent] = []
        self.broken_invariants: list[str] = []
        """Unhandled exceptions of simulated processes, with their tracebacks."""
        self.http_client: Callable[[Network, Tasks], HttpClient] = StreamHttpClient
        """Creates Context.http: by default the HTTP client of the daemons, on the simulated network."""
        self._digest = hashlib.blake2b(digest_size=16)
        self._keep_events = keep_events
        self._hosts_of_zone: dict[str, int] = {}
        self._zones: list[str] = []
        self._incarnations: list[Incarnation] = []
        self._end: list[Callable[[], None]] = []
        self.loop.on_unhandled = self._unhandled

    # -- start and end of the world

    def __enter__(self) -> World:
        self.io_loop = attach_tornado(self.loop)
        self._gc_was_on = gc.isenabled()
        gc.disable()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, value: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()

    def close(self) -> None:
        """Ends the run without running simulated code: no ``finally`` block of it has a visible effect."""
        for incarnation in self._incarnations:
            self.loop.kill(incarnation)
        for task in self.loop_tasks():
            task._log_destroy_pending = False  # type: ignore[attr-defined]
        self.loop.on_unhandled = None
        IOLoop._ioloop_for_asyncio.pop(self.loop, None)
        hook = sys.unraisablehook
        sys.unraisablehook = lambda _: None
        try:
            with warnings.catch_warnings():
                warnings.simplefilter("ignore")
                self.loop.close()
                for incarnation in self._incarnations:
                    incarnation.retained_after_death.clear()
                self.processes.clear()
                gc.collect()
        finally:
            sys.unraisablehook = hook
            if self._gc_was_on:
                gc.enable()

    def loop_tasks(self) -> list[VirtualTask]:
        tasks = [task for task in asyncio.all_tasks(self.loop) if isinstance(task, VirtualTask)]
        return sorted(tasks, key=lambda task: task.number)

    def run(self, seconds: float) -> None:
        """Advances virtual time by this many seconds."""
        self.run_until(self.loop.now + seconds)

    def run_until(self, time: float) -> None:
        self.loop.limit = time
        self.loop.run_forever()

    def wait_for(self, condition: Callable[[], bool], within: float, every: float = 0.05) -> bool:
        """Runs until the condition holds; returns False when it does not hold within ``within`` virtual seconds."""
        until = self.loop.now + within
        while not condition():
            if self.loop.now >= until - 1e-9:
                return False
            self.run_until(min(until, self.loop.now + every))
        return True

    def complete(self, coroutine: Coroutine[Any, Any, Value], within: float = 60.0) -> Value:
        """Runs a coroutine of the test, outside all processes, to its end and returns its result.

        Raises TimeoutError when it is not done within ``within`` virtual seconds."""
        task = self.loop.create_task(coroutine, name="test")
        if not self.wait_for(task.done, within, every=0.01):
            task.cancel()
            self.run(0.001)
            raise TimeoutError(f"the coroutine was not done within {within} virtual seconds")
        result: Value = task.result()
        return result

    @property
    def now(self) -> float:
        return self.loop.now

    def at(self, time: float, action: Callable[[], object]) -> None:
        """Runs an action of the harness at a virtual time."""
        self.loop.kernel_at(time, action)

    # -- machines and processes

    def machine(self, name: str, zone: str = "a") -> Machine:
        """Returns the machine of this name and creates it when there is none."""
        found = self.machines.get(name)
        if found is None:
            if zone not in self._zones:
                self._zones.append(zone)
            number = self._hosts_of_zone[zone] = self._hosts_of_zone.get(zone, 0) + 1
            host = f"10.{self._zones.index(zone) + 1}.{number // 250}.{number % 250 + 1}"
            found = self.machines[name] = Machine(self, name, zone, host)
            self.network.machines[host] = found
        return found

    def start(
        self,
        name: str,
        main: Main,
        zone: str = "a",
        machine: str | None = None,
        tags: dict[str, str] | None = None,
        clock_rate: float = 1.0,
    ) -> Process:
        """Starts ``main(context)`` as a process on the named machine, by default one of the process's own name."""
        if name in self.processes:
            raise ValueError(f"a process named {name!r} exists already")
        process = Process(self, name, self.machine(machine or name, zone), main, tags or {})
        process.clock_rate = clock_rate
        self.processes[name] = process
        self._begin(process)
        return process

    def _begin(self, process: Process) -> None:
        if not process.machine.powered:
            raise ValueError(f"machine {process.machine.name} is powered off")
        process.incarnation_number += 1
        process.stopped_because = None
        random = seeded(self.seed, "process", process.name, process.incarnation_number)
        incarnation = Incarnation(
            f"{process.name}#{process.incarnation_number}",
            offset=random.uniform(0.0, 50_000.0),
            rate=process.clock_rate,
        )
        process.incarnation = incarnation
        self._incarnations.append(incarnation)
        network = SimulatedNetwork(self.network, process.machine)
        tasks = SimulatedTasks(self, process, incarnation)
        process.context = Context(
            clock=SimulatedClock(self),
            network=network,
            disk=SimulatedDisk(process.machine.disk),
            http=self.http_client(network, tasks),
            random=random,
            log=SimulatedLog(self, process.name),
            tasks=tasks,
        )
        self.spawn(process, process.main(process.context), "main")

    def spawn(self, process: Process, awaitable: Awaitable[None], name: str) -> None:
        """Runs an awaitable as a task of the process."""
        assert process.incarnation is not None and process.context is not None
        process_context, tasks = contextvars.Context(), process.context.tasks
        process_context.run(INCARNATION.set, process.incarnation)

        async def run() -> None:
            await awaitable

        def begin() -> None:
            tasks.spawn(name, run())

        self.loop.call_soon(begin, context=process_context)

    def context_for(self, process: Process) -> Context:
        assert process.context is not None
        return process.context

    def kill(self, process: Process | str) -> None:
        """Ends the process as SIGKILL does: none of its code runs any more, and the kernel closes its connections."""
        process = self._process(process)
        incarnation = process.incarnation
        if incarnation is None or incarnation.dead:
            return
        self.note("world", "kill", process=process.name)
        self.loop.kill(incarnation)
        self.network.process_ended(incarnation)
        process.machine.disk.process_ended(incarnation)

    def restart(self, process: Process | str) -> None:
        """Kills the process when it runs, and starts a new incarnation."""
        process = self._process(process)
        self.kill(process)
        self.note("world", "start", process=process.name)
        self._begin(process)

    def freeze(self, process: Process | str) -> None:
        """Stops the process as SIGSTOP does, until ``wake``; its connections stay open."""
        process = self._process(process)
        if process.alive:
            self.note("world", "freeze", process=process.name)
            assert process.incarnation is not None
            self.loop.freeze(process.incarnation)

    def wake(self, process: Process | str, arrange: Arrangement | None = None) -> None:
        """Continues a frozen process; ``arrange`` orders the callbacks that became due meanwhile."""
        process = self._process(process)
        if process.alive and process.frozen:
            self.note("world", "wake", process=process.name)
            assert process.incarnation is not None
            self.loop.wake(process.incarnation, arrange)

    def power_off(self, machine: Machine | str) -> None:
        """Cuts the machine's power: its peers get no reset or end of stream, and unsynced data is lost."""
        machine = self._machine(machine)
        self.note("world", "power-off", machine=machine.name)
        machine.powered = False
        self.network.machine_powered_off(machine)
        for process in self.processes.values():
            if process.machine is machine and process.alive:
                assert process.incarnation is not None
                self.loop.kill(process.incarnation)
                machine.disk.process_ended(process.incarnation)
        machine.disk.power_lost()

    def power_on(self, machine: Machine | str, start_processes: bool = True) -> None:
        """Boots a machine that was powered off and, by default, starts its processes."""
        machine = self._machine(machine)
        if machine.powered:
            return
        self.note("world", "power-on", machine=machine.name)
        machine.powered = True
        self.network.resume()
        if start_processes:
            for process in self.processes.values():
                if process.machine is machine:
                    self._begin(process)

    def wipe(self, machine: Machine | str) -> None:
        """Empties the machine's disk while its processes go on running."""
        machine = self._machine(machine)
        self.note("world", "wipe", machine=machine.name)
        machine.disk.wipe()

    # -- network partitions

    def cut(self, one: str, other: str, both_ways: bool = True) -> Cut:
        """Blocks all traffic from machine ``one`` to ``other``, and back with ``both_ways``, until ``heal``."""
        self.note("world", "cut", one=one, other=other, both_ways=both_ways)
        return self.network.cut([(one, other), (other, one)] if both_ways else [(one, other)])

    def cut_off(self, machine: str, inward: bool = True, outward: bool = True) -> Cut:
        """Blocks traffic that enters the machine, traffic that leaves it, or both, until ``heal``."""
        self.note("world", "cut-off", machine=machine, inward=inward, outward=outward)
        others = [name for name in self.machines if name != machine]
        pairs = [(name, machine) for name in others if inward] + [(machine, name) for name in others if outward]
        return self.network.cut(pairs)

    def heal(self, cut: Cut) -> None:
        if not cut.healed:
            self.note("world", "heal", pairs=len(cut.pairs))
            self.network.heal(cut)

    # -- events

    def note(self, source: str, name: str, **fields: object) -> None:
        """Records an event and adds it to the digest of the run."""
        event = WorldEvent(round(self.loop.now, 6), source, name, fields)
        self._digest.update(event.line().encode())
        self.events.append(event)
        if len(self.events) > self._keep_events:
            del self.events[: self._keep_events // 2]

    def digest(self) -> str:
        """Returns a digest of all events and the numbers of delivered bytes, connections and callbacks so far."""
        copy = self._digest.copy()
        copy.update(
            f"{self.network.bytes_delivered} {self.network.connections_made} {self.loop.callbacks_run}".encode()
        )
        return copy.hexdigest()

    def timeline(self, last: int = 200, names: set[str] | None = None) -> str:
        """Returns the last events, one a line, of all names or of the given ones."""
        chosen = [event for event in self.events if names is None or event.name in names]
        return "\n".join(event.line() for event in chosen[-last:])

    def invariant_broken(self, process: Process, where: str, trace: str) -> None:
        self.broken_invariants.append(f"{self.loop.now:.4f} {process.name} {where}\n{trace}")
        self.note(process.name, "invariant-broken", where=where, trace=trace.strip().splitlines()[-1])

    def _unhandled(self, incarnation: Incarnation | None, details: dict[str, Any]) -> None:
        problem = details.get("exception")
        trace = "".join(traceback.format_exception(problem)) if problem is not None else str(details.get("message"))
        name = incarnation.name if incarnation is not None else "world"
        self.broken_invariants.append(f"{self.loop.now:.4f} {name} unhandled: {details.get('message')}\n{trace}")
        with contextlib.suppress(IndexError):
            self.note(name, "unhandled-exception", trace=trace.strip().splitlines()[-1])

    def _process(self, process: Process | str) -> Process:
        return self.processes[process] if isinstance(process, str) else process

    def _machine(self, machine: Machine | str) -> Machine:
        return self.machines[machine] if isinstance(machine, str) else machine


def address_of(machine: Machine, port: int) -> Address:
    """Returns the address of a port on a machine."""
    return Address(machine.host, port)
