"""The control core's protocol as a state machine that hypothesis drives (docs/DESIGN.md section 7.10).

The machine causes faults, lets time pass, and sends competing and repeated orders in addition to those that two
operators send all the time. The daemons are the real classes on simulated time. Unlike in the random walks,
hypothesis chooses each step, so a failing run is shortened and printed as the steps that lead to the failure.
The core is used only through its public interface and the messages between members.

Checked after every step: an acknowledged order keeps its outcome, no two orders win the same version, and a
reader with a confirmation of leadership never sees an older version than one that was acknowledged, or read with
a confirmation, before it asked. At the end all faults but the lost disks end; service must return, and every
acknowledged order must be there and be acknowledged again when it is repeated.
"""

from __future__ import annotations

import contextlib
from collections.abc import Sequence
from typing import ClassVar

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from ...context.protocols import Context
from ...identifiers import Address
from ...transport.messenger import TcpMessenger
from ..core import ReplicatedCore
from ..store import Contents, ControlStore
from .control_world import MakeCore, Put, Register, core_maker
from .walk import Walk

OPERATORS = ("oa", "ob")
ORDER_PAUSE_S = 0.08
"""The approximate pause between two orders of an operator."""
READ_INTERVAL_S = 0.15
ORDER_TIMEOUT_S = 2.0
LONGEST_START_S = 5.0

whom = st.integers(0, 6)
"""0 is the current primary; higher numbers are machines."""
a_while = st.sampled_from((0.05, 0.4, 1.3, 2.5, 6.0))
then = st.sampled_from((0.01, 0.1, 0.4, 1.3, 2.5))
"""Seconds from a fault to the next step."""


class Fleet:
    """What is run: the core, its machines, and how many disks may be lost at the same time."""

    def __init__(self, make: MakeCore, names: Sequence[str], failures_tolerated: int) -> None:
        self.make = make
        self.names = names
        self.failures_tolerated = failures_tolerated


class ControlProtocol(RuleBasedStateMachine):
    """The state machine. Subclasses set ``fleet``, and in ``only`` the rules to use (empty: all)."""

    fleet: ClassVar[Fleet] = Fleet(core_maker(), ("c1", "c2", "c3", "c4"), 1)
    only: ClassVar[frozenset[str]] = frozenset()

    def __init__(self) -> None:
        super().__init__()
        self.walk: Walk
        self.failed = False
        self.committed: dict[str, int] = {}
        """By daemon: the latest committed version, which is what distribution would show."""
        self.newest_read = 0

    @initialize(seed=st.integers(0, 15))
    def start(self, seed: int) -> None:
        fleet = self.fleet
        self.walk = Walk(seed, self._make, operators=(), names=fleet.names, failures_tolerated=fleet.failures_tolerated)
        self.control, self.world = self.walk.control, self.walk.world
        self.walk.operators = OPERATORS
        for name, zone in zip(OPERATORS, "ab", strict=True):
            self.control.operator(name, zone)
            self.control.keep_sending(name, ORDER_PAUSE_S)
        self.world.wait_for(self.control.complete, LONGEST_START_S)

    def _make(
        self,
        context: Context,
        messenger: TcpMessenger,
        store: ControlStore,
        contents: Contents,
        register: Register,
        seeds: Sequence[Address],
    ) -> ReplicatedCore:
        core = self.fleet.make(context, messenger, store, contents, register, seeds)
        name = str(messenger.identity.name)
        self.committed[name] = 0

        def note() -> None:
            self.committed[name] = register.stored.version

        core.on_commit(note)
        return core

    # -- orders and readers

    @rule()
    def race(self) -> None:
        """Sends two orders on the same version at the same time, then each again through the other operator."""
        puts = [self._new_order() for _ in OPERATORS]
        for name, put in zip(OPERATORS, puts, strict=True):
            self._send(name, put)
        self._pass(0.05)
        for name, put in zip(OPERATORS, reversed(puts), strict=True):
            self._send(name, put)

    def read(self, name: str) -> None:
        """Reads the committed version from a member if that confirms that it leads."""
        if not self.control.alive(name):
            return
        core, observer = self.control.cores[name], self.control.observer
        least = max(observer.newest, self.newest_read)

        async def ask() -> None:
            if not await core.confirm_leadership():
                return
            version = self.committed[name]
            observer.confirmations += 1
            self.newest_read = max(self.newest_read, version)
            if version < least:
                observer.faults.append(
                    f"{self.world.now:.3f} {name} shows {version} with a confirmation, after {least}"
                )

        self.world.spawn(self.world.processes[name], ask(), "read")

    # -- time and faults

    @precondition(lambda self: self._may("kill"))
    @rule(who=whom, seconds=a_while, then=then)
    def kill(self, who: int, seconds: float, then: float) -> None:
        name = self._named(who)
        if self.world.processes[name].alive:
            self.walk.kill(name)
            self.walk.down[name] = self.world.now + seconds
        self._pass(then)

    @precondition(lambda self: self._may("freeze"))
    @rule(who=whom, seconds=a_while, then=then)
    def freeze(self, who: int, seconds: float, then: float) -> None:
        name = self._named(who)
        if self.world.processes[name].alive and name not in self.walk.frozen:
            self.walk.freeze(name)
            self.walk.frozen[name] = self.world.now + seconds
        self._pass(then)

    @precondition(lambda self: self._may("kill_all"))
    @rule(seconds=st.sampled_from((0.05, 0.4, 1.3)), then=then)
    def kill_all(self, seconds: float, then: float) -> None:
        for name in self.walk.up():
            self.walk.kill(name)
            self.walk.down[name] = self.world.now + seconds
        self._pass(then)

    @precondition(lambda self: self._may("cut"))
    @rule(one=whom, other=st.integers(1, 6), both=st.booleans(), then=then)
    def cut(self, one: int, other: int, both: bool, then: float) -> None:
        near, far = self._named(one), self._named(other)
        if near != far:
            self.walk.log_step(f"cut {near} {far} both={both}")
            self.walk.partitions.append(self.world.cut(near, far, both))
        self._pass(then)

    @precondition(lambda self: self._may("cut_off"))
    @rule(who=whom, friend=st.sampled_from(OPERATORS), with_member=st.sampled_from((0, 0, 1, 2, 3)), then=then)
    def cut_off(self, who: int, friend: str, with_member: int, then: float) -> None:
        """Cuts off a member, with one operator and perhaps another member, from all others."""
        others = {self._named(with_member)} if with_member else set()
        self.walk.cut_apart(sorted({self._named(who), friend} | others))
        self._pass(then)

    @precondition(lambda self: self._may("slow_wire"))
    @rule(one=whom, other=whom, seconds=st.sampled_from((0.01, 0.1, 0.4)), then=then)
    def slow_wire(self, one: int, other: int, seconds: float, then: float) -> None:
        near, far = self._named(one), self._named(other)
        if near != far:
            self.walk.log_step(f"slow wire from {near} to {far}")
            self.world.network.slowness[near, far] = seconds
        self._pass(then)

    @precondition(lambda self: self._may("heal"))
    @rule(then=then)
    def heal(self, then: float) -> None:
        self.walk.heal_partitions()
        self._pass(then)

    @precondition(lambda self: self._may("break_disk"))
    @rule(who=whom, mode=st.sampled_from(("slow", "stalled", "full", "failing")), seconds=a_while, then=then)
    def break_disk(self, who: int, mode: str, seconds: float, then: float) -> None:
        name = self._named(who)
        self.walk.log_step(f"disk of {name} {mode}")
        self.world.machines[name].disk.set_mode(mode)  # type: ignore[arg-type]
        self.walk.failed_disks[name] = self.world.now + seconds
        self._pass(then)

    @precondition(lambda self: self._may("lose_disks") and self.walk.loss_can_be_tolerated())
    @rule(first=whom, second=whom, killed=st.booleans(), seconds=a_while, then=then)
    def lose_disks(self, first: int, second: int, killed: bool, seconds: float, then: float) -> None:
        """Wipes up to ``failures_tolerated`` disks, while their processes run or after killing them."""
        chosen = list(dict.fromkeys((self._named(first), self._named(second))))
        for name in chosen[: self.fleet.failures_tolerated]:
            self.walk.log_step(f"wipe {name}")
            self.walk.losses += 1
            if killed and self.world.processes[name].alive:
                self.walk.kill(name)
                self.walk.down[name] = self.world.now + seconds
            self.world.wipe(name)
        self._pass(then)

    @precondition(lambda self: self._may("lose_then_kill") and self.walk.loss_can_be_tolerated())
    @rule(who=st.integers(1, 6), seconds=a_while, then=then)
    def lose_then_kill(self, who: int, seconds: float, then: float) -> None:
        """Restarts a machine at once with an empty disk, then kills the primary."""
        name, leader = self._named(who), self.control.leader()
        if leader is None or name == leader:
            return
        self.control.quiet_until = self.world.now + 1.0
        self.lose_disks(who, who, killed=True, seconds=0.05, then=0.1)
        self.walk.kill(leader)
        self.walk.down[leader] = self.world.now + seconds
        self._pass(then)

    @precondition(lambda self: self._may("replace_backups") and self.control.leader() is not None)
    @rule(seconds=a_while, then=then)
    def replace_backups(self, seconds: float, then: float) -> None:
        """Freezes the backups until others have replaced them; when they continue, kills the primary."""
        leader = self.control.leader()
        assert leader is not None
        before = self.control.report(leader).backups
        for name in [name for name in self.walk.up() if self.walk.incarnation_on_disk(name) in before]:
            self.walk.freeze(name)
            self.walk.frozen[name] = self.world.now + LONGEST_START_S

        def replaced() -> bool:
            if not self.control.alive(leader):
                return True
            report = self.control.report(leader)
            return report.accepts_orders and not set(before) & set(report.backups)

        self.world.wait_for(replaced, LONGEST_START_S, every=0.05)
        self._pass(0.2)
        for name in list(self.walk.frozen):
            self.world.wake(name)
        self.walk.frozen.clear()
        if self.world.processes[leader].alive:
            self.walk.kill(leader)
            self.walk.down[leader] = self.world.now + seconds
        self._pass(then)

    @precondition(lambda self: self._may("wait_until_whole"))
    @rule()
    def wait_until_whole(self) -> None:
        """Waits until the fleet is complete again; from that moment the next loss must be survived."""
        self.world.wait_for(lambda: self._recovered() and self.control.complete(), 8.0, every=0.01)

    # -- checks

    @invariant()
    def nothing_contradicts(self) -> None:
        walk = getattr(self, "walk", None)
        faults = [] if walk is None else [*walk.control.observer.faults, *walk.world.broken_invariants]
        if walk is not None and faults:
            self.failed = True
            raise AssertionError("\n".join([*faults, *walk.steps]))

    def teardown(self) -> None:
        if getattr(self, "walk", None) is None:
            return
        try:
            if not self.failed:
                self._end()
        finally:
            self.control.close()

    def _end(self) -> None:
        """Ends all faults but the lost disks, and checks the result."""
        self.walk.end()
        self.nothing_contradicts()

    # -- helpers

    def _may(self, name: str) -> bool:
        return not self.only or name in self.only

    def _named(self, number: int) -> str:
        leader = self.control.leader() if number == 0 else None
        return leader or self.walk.names[(number - 1) % len(self.walk.names)]

    def _new_order(self) -> Put:
        self.control.orders += 1
        return Put(self.control.orders, self.control.observer.newest)

    def _send(self, by: str, put: Put) -> None:
        sending = self.control.put(self.control.clients[by], put, ORDER_TIMEOUT_S)
        self.world.spawn(self.world.processes[by], _ignore_answer(sending), "order")

    def _recovered(self) -> bool:
        self.walk.recover_due()
        return True

    def _pass(self, seconds: float) -> None:
        """Lets time pass; stopped or frozen daemons and failed disks recover when they are due."""
        until = self.world.now + seconds
        while self.world.now < until - 1e-9:
            self.world.run(min(READ_INTERVAL_S, until - self.world.now))
            self.walk.recover_due()
            for name in self.walk.names:
                self.read(name)


async def _ignore_answer(sending: object) -> None:
    with contextlib.suppress(TimeoutError):
        await sending  # type: ignore[misc]
