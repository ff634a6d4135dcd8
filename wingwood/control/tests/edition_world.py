"""Control daemons that accept orders with the operator's own edition numbers, and an observer of the answers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

import msgspec
from returns.result import Failure, Result, Success

from ...bundle.model import EditionChange, OrderOutcome
from ...bundle.reading import LocalBundleReader, RemoteBundleReader
from ...bundle.state import BundleState
from ...bundle.tests.samples import OPERATOR_KEYS, SIGNING_KEY, edition_change, sample_slices
from ...context.protocols import Context
from ...identifiers import Address, Seconds
from ...operator_api.editions import EditionClient
from ...transport.messenger import TcpMessenger
from ..bundle_source import CommittedBundles
from ..client import ControlClient
from ..core import ReplicatedCore
from ..errors import CommandFailure
from ..store import Contents, ControlStore
from .control_world import WALK_OPTIONS, ControlWorld, Register

MakeState = Callable[[], BundleState]
MakeClient = Callable[[ControlClient, LocalBundleReader, RemoteBundleReader, Context], EditionClient]
Answer = Result[OrderOutcome, CommandFailure]


def signing_state() -> BundleState:
    return BundleState(OPERATOR_KEYS, signing_key=SIGNING_KEY)


def edition_client(
    control: ControlClient, local: LocalBundleReader, remote: RemoteBundleReader, context: Context
) -> EditionClient:
    return EditionClient(control, (local, remote), context.clock, Seconds(3.0))


class EditionWorld(ControlWorld):
    """``editions`` has, by name of control daemon, the client through which it serves its operators."""

    def __init__(
        self, seed: int, make_state: MakeState = signing_state, make_client: MakeClient = edition_client
    ) -> None:
        self.make_state = make_state
        self.make_client = make_client
        self.editions: dict[str, EditionClient] = {}
        super().__init__(seed, self.make_daemon)

    def make_daemon(
        self,
        context: Context,
        messenger: TcpMessenger,
        store: ControlStore,
        contents: Contents,
        register: Register,
        seeds: Sequence[Address],
    ) -> ReplicatedCore:
        state = self.make_state()
        core = ReplicatedCore(context, messenger, store, contents, [register, state], seeds, options=WALK_OPTIONS)
        source = CommittedBundles(core, state)
        local = LocalBundleReader(state, lambda: source.version)
        local.serve(messenger)

        def primary() -> Sequence[Address]:
            address = core.primary_address()
            return () if address is None else (address,)

        control = ControlClient(context, messenger, core.control_addresses)
        remote = RemoteBundleReader(messenger, primary)
        self.editions[str(messenger.identity.name)] = self.make_client(control, local, remote, context)
        return core

    def submit(self, name: str, change: EditionChange, timeout: float = 5.0) -> Answer | None:
        """Sends the change to that daemon and waits for the answer; None means that there was none."""
        answers = self.start_submit(name, change)
        self.world.wait_for(lambda: bool(answers), timeout, every=0.005)
        return answers[0] if answers else None

    def start_submit(self, name: str, change: EditionChange) -> list[Answer]:
        answers: list[Answer] = []

        async def run() -> None:
            answers.append(await self.editions[name].submit(change))

        self.world.spawn(self.world.processes[name], run(), "submit")
        return answers

    def newest_number(self, name: str) -> int | None:
        """Returns the latest edition number as that daemon reads it back; None if it answers that it cannot."""
        answers: list[int | None] = []

        async def run() -> None:
            match await self.editions[name].latest():
                case Success(None):
                    answers.append(0)
                case Success(newest):
                    answers.append(newest.number)
                case Failure():
                    answers.append(None)

        self.world.spawn(self.world.processes[name], run(), "read")
        self.world.wait_for(lambda: bool(answers), 8.0, every=0.005)
        return answers[0] if answers else None


class EditionObserver(msgspec.Struct):
    """Checks the answers to operators. ``faults`` lists observations that must never occur."""

    faults: list[str] = []
    accepted: dict[str, EditionChange] = {}
    winners: dict[int, str] = {}
    """By base: the order that was accepted on it."""
    newest: int = 0
    unclear: list[EditionChange] = []

    def answered(self, change: EditionChange, answer: Answer) -> None:
        match answer:
            case Success(OrderOutcome(outcome="accepted")):
                winner = self.winners.setdefault(change.base, change.order)
                if winner != change.order:
                    self.faults.append(f"{winner} and {change.order} were both accepted on {change.base}")
                self.accepted[change.order] = change
                self.newest = max(self.newest, change.number)
            case Success(OrderOutcome() as refused):
                if change.order in self.accepted:
                    self.faults.append(f"{change.order} was accepted, then {refused.outcome}: {refused.reason}")
            case Failure():
                self.unclear.append(change)


class EditionWalk:
    """Operators that send, resend and read at random daemons while daemons fail and come back."""

    def __init__(
        self, seed: int, make_state: MakeState = signing_state, make_client: MakeClient = edition_client
    ) -> None:
        self.world = EditionWorld(seed, make_state, make_client)
        self.observer = EditionObserver()
        self.slices = sample_slices()
        self.sent: list[EditionChange] = []
        self.reads = 0

    def run(self, seconds: float) -> list[str]:
        """Runs the walk, closes the world, and returns the faults found."""
        try:
            assert self.world.world.wait_for(self.world.complete, 5.0)
            for number in range(3):
                self._spawn_operator(number)
            end = self.world.world.now + seconds
            while self.world.world.now < end:
                self.world.world.run(1.5)
                self._disturb()
            self.world.world.run(6.0)
            return [*self.observer.faults, *self.world.world.broken_invariants]
        finally:
            self.world.close()

    def _disturb(self) -> None:
        world, random = self.world.world, self.world.world.random
        victim = random.choice(("c1", "c2", "c3"))
        kind = random.choice(("kill", "freeze", "cut", "nothing"))
        if kind == "kill":
            world.kill(victim)
            world.run(random.uniform(0.0, 1.5))
            world.restart(victim)
        elif kind == "freeze":
            world.freeze(victim)
            world.run(random.uniform(0.5, 2.0))
            world.wake(victim)
        elif kind == "cut":
            cut = world.cut_off(victim, inward=random.random() < 0.7, outward=True)
            world.run(random.uniform(0.5, 3.0))
            world.heal(cut)
        world.wait_for(self.world.complete, 4.0)

    def _spawn_operator(self, number: int) -> None:
        name = f"operator-{number}"

        async def main(context: Context) -> None:
            while True:
                await asyncio.sleep(self.world.world.random.uniform(0.02, 0.2))
                target = self.world.world.random.choice(("c1", "c2", "c3"))
                if self.world.alive(target):
                    await self._act(target)

        self.world.world.start(name, main)

    async def _act(self, target: str) -> None:
        """Performs one action in the process of the daemon, with which the action may end."""
        done = asyncio.Event()
        choice = self.world.world.random.random()

        async def act() -> None:
            if choice < 0.3:
                await self._read(target)
            else:
                change = self._choose(choice)
                self.observer.answered(change, await self.world.editions[target].submit(change))
            done.set()

        self.world.world.spawn(self.world.world.processes[target], act(), "act")
        try:
            async with asyncio.timeout(2.0):
                await done.wait()
        except TimeoutError:
            pass

    async def _read(self, target: str) -> None:
        known = self.observer.newest
        match await self.world.editions[target].latest():
            case Success(newest):
                self.reads += 1
                number = 0 if newest is None else newest.number
                if number < known:
                    self.observer.faults.append(f"{target} read {number}, but {known} was acknowledged before")

    def _choose(self, choice: float) -> EditionChange:
        """Returns a new change on the latest acknowledged edition or one beside it, or a change sent before."""
        random = self.world.world.random
        if self.sent and choice < 0.6:
            return random.choice(self.sent[-8:])
        base = max(0, self.observer.newest + random.choice((0, 0, 0, -1, 1)))
        number = base + random.choice((1, 2, 3))
        change = edition_change(base, number, self.slices, f"order-{len(self.sent)}")
        self.sent.append(change)
        return change
