"""The ledger in the real control core, under faults of control machines and routers (docs/DESIGN.md section 13).

Kills, freezes, power failures and partitions change the primary while calls are claimed. No call may run
twice, and no key that nobody runs may stay blocked.
"""

from __future__ import annotations

import unittest
from collections.abc import Sequence
from typing import Any

from simulation import address_of

from ...context.protocols import Context
from ...control.client import ControlClient
from ...control.control_options import ControlOptions, JournalOptions
from ...control.core import ReplicatedCore
from ...control.replicator import Replicator
from ...control.store import Contents, ControlStore
from ...control.tests.control_world import KEY, PORT, ControlWorld, Register
from ...control.tests.mutants import core_with
from ...identifiers import Address, DaemonName, Incarnation, Zone
from ...transport.frames import Identity
from ...transport.messenger import TcpMessenger
from ..client import DecideClient
from ..state import LedgerState
from .ledger_world import RETENTION, LedgerRouters

CONTROLS = ("c1", "c2", "c3")


class LedgerFleet:
    """Three control daemons with the ledger, and routers that call them over the simulated network."""

    def __init__(self, seed: int, routers: int = 4, core_type: type[ReplicatedCore] = ReplicatedCore) -> None:
        self.routers: LedgerRouters | None = None
        self.core_type = core_type
        self.control = ControlWorld(seed, self._make_core)
        self.world = self.control.world
        self.world.wait_for(self.control.complete, 10.0)
        self.routers = LedgerRouters(self.world, routers, self._client)

    def _make_core(
        self,
        context: Context,
        messenger: TcpMessenger,
        store: ControlStore,
        contents: Contents,
        _: Register,
        seeds: Sequence[Address],
    ) -> ReplicatedCore:
        ledger = LedgerState(context.clock, RETENTION, self._is_member)
        options = ControlOptions(chunk_bytes=16_384, journal=JournalOptions(rewrite_bytes=50_000))
        return self.core_type(context, messenger, store, contents, [ledger], seeds, options=options)

    def _is_member(self, router: Incarnation) -> bool:
        return self.routers is not None and self.routers.is_member(router)

    def _client(self, context: Context, name: str) -> DecideClient:
        address = address_of(self.world.machines[name], PORT)
        identity = Identity(DaemonName(name), Incarnation(name), "router", Zone("a"), address)
        return ControlClient(context, TcpMessenger(context, identity, KEY), lambda: self.control.seeds)

    def inject_fault(self) -> None:
        """Injects one random fault of a control machine or a router, which ends within seconds."""
        world, random = self.world, self.world.random
        assert self.routers is not None
        choice, control = random.random(), random.choice(CONTROLS)
        later = world.now + random.uniform(0.3, 4.0)
        if choice < 0.15:
            world.restart(control)
        elif choice < 0.3:
            world.freeze(control)
            world.at(later, lambda: world.wake(control))
        elif choice < 0.4:
            world.power_off(control)
            world.at(later, lambda: world.power_on(control))
        elif choice < 0.45:
            for name in CONTROLS:
                world.restart(name)
        elif choice < 0.6:
            partition = world.cut(
                control, random.choice([name for name in CONTROLS if name != control]), random.random() < 0.5
            )
            world.at(later, lambda: world.heal(partition))
        elif choice < 0.75:
            isolation = world.cut_off(random.choice([control, *self.routers.names]), inward=random.random() < 0.7)
            world.at(later, lambda: world.heal(isolation))
        elif choice < 0.85:
            self.routers.kill_router(random.choice(self.routers.names))
        else:
            router = random.choice(self.routers.names)
            world.freeze(router)
            world.at(later, lambda: world.wake(router))

    def run_random_faults(self, seconds: float, max_interval: float = 4.0) -> list[int]:
        """Injects faults under load, then lets the fleet recover; returns the keys that stay blocked."""
        assert self.routers is not None
        world = self.world
        self.routers.start_callers(8)
        end = world.now + seconds
        while world.now < end:
            world.run(world.random.uniform(0.1, max_interval))
            if all(machine.powered for machine in world.machines.values()):
                self.inject_fault()
        world.run(4.1)
        for name in (*self.routers.names, *CONTROLS):
            world.wake(name)
        claimed = self.routers.observer.claimed
        if not world.wait_for(lambda: self.routers is not None and self.routers.observer.claimed > claimed, 12.0):
            self.routers.observer.faults.append("no claim was granted within 12 s of the last fault")
        for task in world.loop_tasks():
            if task.get_name() == "caller":
                task.cancel()
        world.run(20.0)
        blocked = self.routers.blocked_keys()
        self.routers.observer.faults += world.broken_invariants
        self.control.close()
        return blocked


class LedgerInCoreTest(unittest.TestCase):
    def test_nothing_runs_twice_and_nothing_stays_blocked(self) -> None:
        for seed in (1, 2):
            with self.subTest(seed=seed):
                fleet = LedgerFleet(seed)
                blocked = fleet.run_random_faults(30.0)
                assert fleet.routers is not None
                self.assertEqual(fleet.routers.observer.faults, [])
                self.assertEqual(blocked, [])
                self.assertGreater(fleet.routers.observer.claimed, 100)

    def test_a_core_that_answers_before_its_backup_has_the_record_is_detected(self) -> None:
        def faults(seed: int) -> list[str]:
            fleet = LedgerFleet(seed, core_type=EarlyAcknowledgingCore)
            fleet.run_random_faults(20.0, 1.0)
            assert fleet.routers is not None
            return fleet.routers.observer.faults

        self.assertTrue(any(any("twice" in fault for fault in faults(seed)) for seed in range(8)))


class EarlyReplicator(Replicator):
    """Reports each batch as replicated without sending it."""

    async def replicate(self, *arguments: Any) -> bool:
        return True


EarlyAcknowledgingCore = core_with(replicator=EarlyReplicator)
