"""Tests of staged roll-outs on simulated fleets with faults during the roll-out (docs/DESIGN.md section 19.5)."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from typing import Any, cast

import msgspec
from returns.result import Failure, Result, Success

from simulation import World
from simulation.fleet import Fleet, network_shape, shape_named
from simulation.observer import judge
from simulation.operators import Operator, ask, put_slice, set_field
from simulation.scenario import bounds_for, topology_of

from ...bundle.canonical import canonical_json
from ...bundle.model import OrderOutcome, Rollout
from ...bundle.variants import share_bucket
from ...identifiers import Address, BundleVersion, DaemonName, Seconds, SliceName
from ...operator_api.reading import HealthReport
from ...transport.frames import Identity
from ..errors import FleetUnavailableError, StepRejectedError
from ..fleet_status import FleetStatus, RouterStatus, read_counts
from ..plan import Slices, Step, read_rollouts, roll_back
from ..runner import RolloutEnd, RolloutRunner, take_step
from ..start import start_rollout

RUN_EACH_ALONE = True


class SimulatedAccess:
    """``FleetAccess`` of a simulated operator, whose orders and answers are recorded in the history."""

    def __init__(self, operator: Operator) -> None:
        self._operator = operator

    async def latest(self) -> Result[tuple[BundleVersion, Slices], FleetUnavailableError]:
        try:
            version, slices = await self._operator.latest()
            return (
                Success((version, slices))
                if version
                else Failure(FleetUnavailableError("that daemon knows of no bundle"))
            )
        except TimeoutError as late:
            return Failure(FleetUnavailableError(str(late)))

    async def submit(
        self, base: BundleVersion, before: Slices, after: Slices
    ) -> Result[OrderOutcome, FleetUnavailableError]:
        seen, order = self._operator.prepare(base, before, after, "roll-out")
        await self._operator.send(seen, order)
        if not seen.answers or seen.answers[-1].outcome not in ("accepted", "conflict", "invalid"):
            return Failure(FleetUnavailableError("no daemon said what became of it"))
        answer = seen.answers[-1]
        return Success(
            OrderOutcome(
                order=order.manifest.order,
                outcome=cast(Any, answer.outcome),
                version=BundleVersion(answer.version),
                reason=answer.reason,
            )
        )

    async def observe(self) -> Result[FleetStatus, FleetUnavailableError]:
        found: tuple[Identity, ...] = ()
        for endpoint in self._operator.operator_endpoints()[:5]:
            answer = await self._get(endpoint.address, "/control/v1/members")
            members = () if answer is None else tuple(msgspec.json.decode(answer, type=list[Identity]))
            found = max(found, members, key=len)
        if not found:
            return Failure(FleetUnavailableError("no daemon answered"))
        router_statuses: dict[DaemonName, RouterStatus | None] = {}
        for member in found:
            if member.role == "router" and member.operator is not None:
                router_statuses[member.name] = await self._router_status(member.operator)
        return Success(FleetStatus(members=found, router_statuses=router_statuses))

    async def _router_status(self, address: Address) -> RouterStatus | None:
        health, metrics = await self._get(address, "/control/v1/health"), await self._get(address, "/metrics")
        if health is None or metrics is None:
            return None
        report = msgspec.json.decode(health, type=HealthReport)
        counts = read_counts(metrics.decode())
        return RouterStatus(incarnation=report.incarnation, ready=report.ready, version=report.version, counts=counts)

    async def _get(self, address: Address, path: str) -> bytes | None:
        answer = await ask(self._operator.context, "GET", address, path, b"", 0.5)
        return bytes(answer[1]) if answer is not None and answer[0] == 200 else None


class FleetCase(unittest.TestCase):
    """Starts a simulated fleet with traffic and with its first bundle in force."""

    def setUp(self) -> None:
        shape = shape_named("despensa")
        self.world = World(7, network_shape(shape))
        self.world.__enter__()
        self.addCleanup(self.world.__exit__, None, None, None)
        self.fleet = Fleet(self.world, shape)
        self.fleet.start()
        self.fleet.put_in_force()
        self.fleet.set_traffic(0.25)
        self.zone = shape.zones[0]
        self.summary = SliceName("service/order-summary")
        self.ended: dict[str, RolloutEnd] = {}
        self.messages: list[str] = []

    def change(self, **fields: object) -> Step:
        def change(slices: Slices) -> Result[Slices, StepRejectedError]:
            held = msgspec.json.decode(slices[self.summary])
            return Success({**slices, self.summary: canonical_json({**held, **fields})})

        return change

    def start(self, change: Step, *stages: str) -> None:
        step = start_rollout("trial", change, stages, Seconds(6.0), 0.02, 0.05, len(self.in_zone()))
        self.take("operator-1", step)

    def take(self, name: str, step: Step) -> None:
        done: list[object] = []

        async def work() -> None:
            done.append(await take_step(SimulatedAccess(self.fleet.operators[name]), step))

        self.fleet.by_operator(name, work())
        self.wait(lambda: bool(done), 10.0)
        self.assertIsInstance(done[0], Success, done[0])

    def run_by(self, name: str) -> None:
        def report_progress(text: str) -> None:
            self.messages.append(f"{self.world.now:.1f} {name}: {text}")

        runner = RolloutRunner(
            SimulatedAccess(self.fleet.operators[name]), "trial", report_progress, stage_timeout=Seconds(120.0)
        )

        async def work() -> None:
            self.ended[name] = await runner.run()

        self.fleet.by_operator(name, work())

    def wait(self, condition: Callable[[], bool], within: float) -> None:
        until = self.world.now + within
        while not condition():
            self.assertLess(self.world.now, until, "\n".join(self.messages))
            self.fleet.run(0.5)

    def acting(self, field: str, value: object) -> set[str]:
        """Returns the running routers whose bundle in force has this value for a field of the service."""
        found = set()
        for name in self.fleet.names("router"):
            bundle = cast(Any, self.fleet.daemons[name]).bundle.current()
            if self.world.processes[name].alive and bundle is not None:
                service = bundle.services["order-summary"]
                found |= {name} if getattr(service, field) == value else set()
        return found

    def in_zone(self) -> set[str]:
        return {name for name in self.fleet.names("router") if self.fleet.settings[name].zone == self.zone}

    def rollout(self) -> Rollout:
        found: list[Rollout] = []

        async def work() -> None:
            _, slices = await self.fleet.operators["operator-2"].latest()
            found.append(read_rollouts(slices)["trial"])

        self.fleet.by_operator("operator-2", work())
        self.wait(lambda: bool(found), 5.0)
        return found[0]

    def judge(self) -> None:
        self.fleet.run(20.0)
        self.fleet.set_traffic(0.0)
        for callers in self.fleet.callers.values():
            callers.stopped = True
        self.fleet.run(4.0)
        self.fleet.read_back()
        violations = judge(self.fleet.history, topology_of(self.fleet), bounds_for(self.fleet), self.world.now)
        self.assertEqual([str(each) for each in violations], [])
        self.assertEqual(self.world.broken_invariants, [])
        self.assertGreater(sum(call.succeeded for call in self.fleet.history.calls), 300)


class RolloutOnFleetTest(FleetCase):
    """Guards against roll-outs that stop, skip a stage or harm calls outside their stage under faults.

    The faults are restarted routers, a partitioned zone, an operator's client that is lost for good, and other
    orders that conflict with those of the roll-out.
    """

    def test_rollout_finishes_although_routers_a_zone_and_an_operator_are_lost(self) -> None:
        routers = set(self.fleet.names("router"))
        half = {name for name in routers if share_bucket(DaemonName(name)) < 50}
        self.assertTrue(half - self.in_zone() and routers - half - self.in_zone())
        self.start(self.change(first_byte_patience=3.5), f"zone={self.zone}", "share=50", "all")
        self.run_by("operator-1")
        self.fleet.run(2.0)
        self.assertEqual(self.acting("first_byte_timeout", 3.5), self.in_zone())
        self.fleet.kill("router-4", 3.0)
        self.fleet.kill("router-5", 3.0)
        self.wait(lambda: self.acting("first_byte_timeout", 3.5) == self.in_zone() | half, 60.0)
        # The client of the first operator is lost for good, and the zone of the stage is partitioned for 9 s.
        self.world.kill("operator-1")
        here = {self.fleet.world.processes[name].machine.name for name in self.in_zone()}
        for one in sorted(here):
            for other in sorted({self.world.processes[name].machine.name for name in routers} - here):
                self.fleet.cut(one, other, 9.0)
        # A removed key must work on no router after 5 s, even if partitioned or in the stage; the observer checks it.
        removed = self.fleet.operators["operator-2"].push(
            set_field("tenant/riders.keys", []), "remove key", removed_keys=(self.fleet.caller_keys["riders"],)
        )
        self.fleet.by_operator("operator-2", removed)
        self.fleet.run(2.0)
        self.run_by("operator-2")
        self.wait(lambda: "operator-2" in self.ended, 120.0)
        self.assertEqual(self.ended["operator-2"].result, "finished", "\n".join(self.messages))
        self.assertIn("away or not ready", "\n".join(self.messages))
        self.assertEqual(self.acting("first_byte_timeout", 3.5), routers)
        # A finished roll-out can be rolled back too, as a new version.
        latest = max(version.version for version in self.fleet.history.versions)
        self.take("operator-2", roll_back("trial", "by hand"))
        self.fleet.run(3.0)
        self.assertEqual(self.acting("first_byte_timeout", 3.5), set())
        self.assertGreater(max(version.version for version in self.fleet.history.versions), latest)
        self.world.restart("operator-1")
        self.fleet.run(1.0)
        self.judge()

    async def storm(self, seconds: float) -> None:
        """Sends ordinary orders one after another as fast as they are answered; each conflicts with the roll-out's."""
        until, number = self.world.now + seconds, 0
        while self.world.now < until:
            number += 1
            value: dict[str, object] = {"name": "storm", "weight": 1.0 + number % 9}
            await self.fleet.operators["operator-1"].push(
                put_slice("class/storm", value), "storm", on_conflict_again=True
            )

    def test_harmful_change_is_rolled_back_before_it_leaves_its_zone(self) -> None:
        fault = self.fleet.fault("bad roll-out", "all routers")
        self.start(self.change(pool="nowhere"), f"zone={self.zone}", "all")
        self.run_by("operator-2")
        self.fleet.by_operator("operator-1", self.storm(20.0))
        self.wait(lambda: "operator-2" in self.ended, 60.0)
        self.fleet.end_fault(fault)
        self.assertEqual(self.ended["operator-2"].result, "rolled-back", "\n".join(self.messages))
        self.assertIn("calls refused", self.rollout().reason)
        self.assertGreater(len(self.fleet.history.orders), 30)
        self.fleet.run(3.0)
        self.assertEqual(self.acting("pool", "nowhere"), set())
        refused = {each.router for each in self.fleet.history.attempts() if each.code == "workers-none-ready"}
        self.assertTrue(refused and refused <= self.in_zone(), refused)
        self.judge()
