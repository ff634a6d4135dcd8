"""Control daemons in a simulated world, operators that send orders, and an observer that checks the answers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import TypeVar

import msgspec
from returns.result import Failure, Success

from simulation import World, address_of
from simulation.world import Process

from ...context.protocols import Context
from ...identifiers import Address, DaemonName, Epoch, Incarnation, Seconds, Zone
from ...transport.frames import Identity
from ...transport.messenger import TcpMessenger
from ..client import ControlClient, ControlClientOptions
from ..control_options import ControlOptions, JournalOptions
from ..core import ReplicatedCore
from ..protocols import ViewReport
from ..store import Contents, ControlStore, open_store

Value = TypeVar("Value")
KEY = b"control tests"
WALK_OPTIONS = ControlOptions(chunk_bytes=4096, journal=JournalOptions(rewrite_bytes=20_000))
PORT = 7000


class Put(msgspec.Struct, frozen=True):
    """Command that sets the next version if ``base`` is the latest one."""

    order: int
    base: int
    filler: bytes = b""


class PutOutcome(msgspec.Struct, frozen=True):
    order: int
    accepted: bool
    version: int


class _RegisterState(msgspec.Struct):
    version: int = 0
    outcomes: dict[int, PutOutcome] = {}
    filler: dict[int, bytes] = {}


class Register:
    """A small applier: versions change by compare-and-set, and outcomes are stored for ever."""

    kind = "register"
    command_type = Put

    def __init__(self) -> None:
        self.stored = _RegisterState()

    def decide(self, command: msgspec.Struct) -> tuple[bytes | None, msgspec.Struct]:
        assert isinstance(command, Put)
        known = self.stored.outcomes.get(command.order)
        if known is not None:
            return None, known
        accepted = command.base == self.stored.version
        outcome = PutOutcome(command.order, accepted, self.stored.version + accepted)
        return msgspec.msgpack.encode((outcome, command.filler)), outcome

    def apply(self, record: bytes) -> None:
        outcome, filler = msgspec.msgpack.decode(record, type=tuple[PutOutcome, bytes])
        self.stored.version = outcome.version
        self.stored.outcomes[outcome.order] = outcome
        self.stored.filler[outcome.version % 16] = filler

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode(self.stored)

    def restore(self, snapshot: bytes | None) -> None:
        self.stored = _RegisterState() if snapshot is None else msgspec.msgpack.decode(snapshot, type=_RegisterState)


MakeCore = Callable[[Context, TcpMessenger, ControlStore, Contents, Register, Sequence[Address]], ReplicatedCore]


def core_maker(
    core_type: type[ReplicatedCore] = ReplicatedCore,
    options: ControlOptions = WALK_OPTIONS,
    failures_tolerated: int = 1,
) -> MakeCore:
    def make(
        context: Context,
        messenger: TcpMessenger,
        store: ControlStore,
        contents: Contents,
        register: Register,
        seeds: Sequence[Address],
    ) -> ReplicatedCore:
        return core_type(
            context,
            messenger,
            store,
            contents,
            [register],
            seeds,
            options=options,
            failures_tolerated=failures_tolerated,
        )

    return make


make_core = core_maker()
make_core_for_two_losses = core_maker(failures_tolerated=2)
SIX = ("c1", "c2", "c3", "c4", "c5", "c6")


class Observer:
    """Sees only the answers to operators and the confirmations of leadership.

    ``faults`` lists observations that must never occur.
    """

    def __init__(self) -> None:
        self.faults: list[str] = []
        self.outcomes: dict[int, PutOutcome] = {}
        self.winners: dict[int, int] = {}
        self.newest = 0
        self.first_sent: dict[int, int] = {}
        """By order: the latest acknowledged version when the order was sent for the first time."""
        self.acknowledged = 0
        self.confirmations = 0
        self.last_acknowledged = 0.0

    def answered(self, now: float, outcome: PutOutcome, newest_when_first_sent: int) -> None:
        self.acknowledged += 1
        self.last_acknowledged = now
        known = self.outcomes.setdefault(outcome.order, outcome)
        if known != outcome:
            self.faults.append(f"{now:.3f} order {outcome.order}: {outcome} after {known}")
        if outcome.accepted:
            winner = self.winners.setdefault(outcome.version, outcome.order)
            if winner != outcome.order:
                self.faults.append(f"{now:.3f} version {outcome.version}: won by {winner} and {outcome.order}")
        elif known is outcome and outcome.version < newest_when_first_sent:
            self.faults.append(
                f"{now:.3f} order {outcome.order}: {outcome}, but {newest_when_first_sent} was acknowledged"
            )
        self.newest = max(self.newest, outcome.version)


class ControlWorld:
    """``c1`` to ``c3`` are the seeds; more daemons may be started on new machines with the same settings."""

    def __init__(self, seed: int, make: MakeCore = make_core, start: Sequence[str] = ("c1", "c2", "c3")) -> None:
        self.world = World(seed)
        self.world.__enter__()
        self.make = make
        zones = {"c1": "a", "c2": "b", "c3": "c"}
        self.seeds = tuple(address_of(self.world.machine(name, zones[name]), PORT) for name in zones)
        self.cores: dict[str, ReplicatedCore] = {}
        self.registers: dict[str, Register] = {}
        self.stores: dict[str, ControlStore] = {}
        self.observer = Observer()
        self.clients: dict[str, ControlClient] = {}
        self.orders = 0
        self.begin_empty: set[str] = set()
        """Daemons whose operator allows them to start empty when their journal is damaged."""
        self.quiet_until = 0.0
        """Operators send nothing before this time."""
        for name in start:
            self.start(name)

    def start(self, name: str, seeds: Sequence[str] = ()) -> Process:
        """Starts a daemon. ``seeds`` are the machines named in its settings (default: the first three)."""
        addresses = tuple(address_of(self.world.machine(seed), PORT) for seed in seeds) or self.seeds
        address = address_of(self.world.machine(name, "a"), PORT)

        async def main(context: Context) -> None:
            self.cores.pop(name, None)
            match await open_store(context, name in self.begin_empty, retry_backoff=Seconds(0.5)):
                case Failure(fault):
                    context.log.event("store-fault", kind=fault.kind, detail=fault.detail)
                    return
                case Success((store, contents)):
                    pass
            identity = Identity(DaemonName(name), store.incarnation, "control", Zone("a"), address)
            messenger = TcpMessenger(context, identity, KEY)
            register = Register()
            core = self.make(context, messenger, store, contents, register, addresses)
            core.start()
            assert isinstance(messenger.start(), Success)
            self.cores[name], self.registers[name], self.stores[name] = core, register, store

        return self.world.start(name, main)

    def close(self) -> None:
        self.world.close()

    # -- roles

    def alive(self, name: str) -> bool:
        process = self.world.processes.get(name)
        return process is not None and process.alive and not process.frozen and name in self.cores

    def report(self, name: str) -> ViewReport:
        """Returns the report of the daemon, made on its own clock."""
        return self.run_in_process(name, self.cores[name].report)

    def leads(self, name: str) -> bool:
        return self.run_in_process(name, self.cores[name].leads)

    def run_in_process(self, name: str, question: Callable[[], Value]) -> Value:
        self.world.loop.running_incarnation = self.world.processes[name].incarnation
        try:
            return question()
        finally:
            self.world.loop.running_incarnation = None

    def leader(self) -> str | None:
        """Returns a live daemon that accepts orders now, or None."""
        return next((name for name in self.cores if self.alive(name) and self.report(name).accepts_orders), None)

    def complete(self) -> bool:
        leader = self.leader()
        return leader is not None and self.report(leader).complete

    def epoch(self) -> Epoch:
        return max((core.epoch() for core in self.cores.values()), default=Epoch(0))

    def name_with_role(self, role: str) -> str:
        """Returns the live daemon that reports this role."""
        return next(name for name in self.cores if self.alive(name) and self.report(name).own_role == role)

    # -- operators

    def operator(self, name: str = "operator", zone: str = "a", options: ControlClientOptions | None = None) -> None:
        """Starts a process that can send orders; it stores no state."""

        async def main(context: Context) -> None:
            address = address_of(self.world.machine(name, zone), PORT)
            identity = Identity(DaemonName(name), Incarnation(name), "tool", Zone(zone), address)
            messenger = TcpMessenger(context, identity, KEY)
            learnt = [address_of(self.world.machine(other), PORT) for other in self.world.processes if other[0] in "cs"]
            self.clients[name] = ControlClient(context, messenger, lambda: [*self.seeds, *learnt], options)

        self.world.start(name, main, zone)
        self.world.run(0.01)

    async def put(self, client: ControlClient, put: Put, timeout: float = 4.0) -> PutOutcome | None:
        newest = self.observer.first_sent.setdefault(put.order, self.observer.newest)
        match await client.decide("register", put, PutOutcome, Seconds(timeout)):
            case Success(outcome):
                self.observer.answered(self.world.now, outcome, newest)
                found: PutOutcome = outcome
                return found
        return None

    def send(self, name: str = "operator", filler: bytes = b"", timeout: float = 4.0) -> PutOutcome | None:
        """Sends one order based on the latest acknowledged version, and waits for its outcome."""
        answers: list[PutOutcome | None] = []
        self.orders += 1
        put = Put(self.orders, self.observer.newest, filler)

        async def run() -> None:
            answers.append(await self.put(self.clients[name], put, timeout))

        self.world.spawn(self.world.processes[name], run(), "send")
        self.world.wait_for(lambda: bool(answers), timeout + 1.0, every=0.005)
        return answers[0] if answers else None

    def keep_sending(self, name: str, pause: float = 0.05) -> None:
        """Sends orders without end: most on the latest version, some on an older one; repeats unanswered ones."""
        client, random = self.clients[name], self.world.random

        async def run() -> None:
            unanswered: list[Put] = []
            answered: list[Put] = []
            while True:
                while self.world.now < self.quiet_until:
                    await asyncio.sleep(0.05)
                choice = random.random()
                if unanswered and choice < 0.3:
                    put = unanswered.pop(0)
                elif answered and choice < 0.35:
                    put = random.choice(answered[-50:])
                else:
                    self.orders += 1
                    base = self.observer.newest - (choice > 0.9)
                    put = Put(self.orders, base, b"f" * random.randrange(400))
                if await self.put(client, put, random.choice((0.3, 1.0, 3.0))) is None:
                    unanswered.append(put)
                else:
                    answered.append(put)
                await asyncio.sleep(pause * random.random() * 2)

        self.world.spawn(self.world.processes[name], run(), "orders")
