"""Tests of relays: control daemons without a disk (docs/DESIGN.md section 7.12).

They guard against a relay that acts as a member of the core, or returns old data when it is cut off.
"""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable
from typing import TypeVar, cast

from returns.result import Success

from simulation.fleet import Fleet, network_shape, shape_named
from simulation.history import ObservedOrder
from simulation.operators import put_slice
from simulation.world import World

from ...control.messages import (
    ControlAccept,
    ControlAccepted,
    ControlPrepare,
    ControlPrepared,
    ControlReplicate,
    ControlReplicated,
)
from ...control.views import View
from ...distribution.messages import BundleChunk, FetchBundle
from ...identifiers import BundleVersion, Epoch, Seconds
from ...operator_api.reading import HealthReport
from ..control import ControlDaemon, ControlParts

Value = TypeVar("Value")
RELAYS = ("relay-1", "relay-2", "relay-3")


class RelayTest(unittest.TestCase):
    def setUp(self) -> None:
        shape = shape_named("demo")
        self.world = World(1, network_shape(shape))
        self.world.__enter__()
        self.addCleanup(self.world.close)
        self.fleet = Fleet(self.world, shape, supervised=False)
        self.fleet.start()
        seeds = self.fleet.settings["control-1"].seeds
        for number, name in enumerate(RELAYS):
            machine = self.world.machine(f"small-{number + 1}", shape.zones[number % len(shape.zones)])
            self.fleet.start_control(name, machine.name, seeds, relay=True)
        self.fleet.put_in_force()

    def parts(self, name: str) -> ControlParts:
        parts = cast(ControlDaemon, self.fleet.daemons[name])._parts
        assert parts is not None
        return parts

    def inside(self, name: str, question: Callable[[], Awaitable[Value]], within: float = 6.0) -> Value:
        results: list[Value] = []

        async def run() -> None:
            results.append(await question())

        self.world.spawn(self.world.processes[name], run(), "test")
        self.assertTrue(self.world.wait_for(lambda: bool(results), within, every=0.01))
        return results[0]

    def health(self, name: str) -> HealthReport:
        async def look() -> HealthReport:
            return self.parts(name).health()

        return self.inside(name, look)

    def history_through(self, name: str) -> int:
        """Returns the latest version according to a read through that daemon; -1 when the read fails."""

        async def read() -> int:
            outcome = await self.parts(name).history(1)
            return outcome.unwrap().latest if isinstance(outcome, Success) else -1

        return self.inside(name, read)

    def test_relays_are_ready_without_view_membership_and_without_files(self) -> None:
        self.world.run(2.0)
        for name in RELAYS:
            report = self.health(name)
            assert report.control is not None
            self.assertTrue(report.ready, report)
            self.assertEqual((report.control.own_role, len(report.control.members)), ("relay", 3))
            self.assertNotIn(report.incarnation, report.control.members)
            self.assertEqual(self.world.processes[name].machine.disk.visible, {})

    def test_relay_does_not_replace_a_lost_view_member(self) -> None:
        self.world.power_off(self.world.processes["control-3"].machine.name)
        self.world.run(10.0)
        report = self.health("control-1").control
        assert report is not None
        self.assertTrue(report.accepts_orders)
        self.assertFalse(report.complete)
        names = {self.health(name).incarnation for name in RELAYS}
        self.assertFalse(names & set(report.members))
        self.assertFalse(any(self.parts(name).core.leads() for name in RELAYS))

    def test_commands_and_reads_pass_through_a_relay_across_a_take_over(self) -> None:
        first = self.history_through("relay-1")
        self.assertEqual(first, self.history_through("control-1"))
        self.assertGreaterEqual(first, 1)
        self.assertEqual(self.push_through("relay-1", "before"), "accepted")
        self.assertEqual(self.history_through("relay-1"), first + 1)
        primary = next(name for name in self.fleet.names("control") if self.parts(name).core.leads())
        self.world.kill(primary)
        self.world.run(3.0)
        self.assertEqual(self.push_through("relay-1", "after"), "accepted")
        self.assertEqual(self.history_through("relay-1"), first + 2)

    def push_through(self, relay: str, name: str) -> str:
        """Returns the outcome of an order that is sent only to the operator address of that daemon."""
        operator, seen = self.fleet.operators["operator-1"], list[ObservedOrder]()

        async def push() -> None:
            change = put_slice(f"class/{name}", {"name": name, "weight": 2.0})
            seen.append(await operator.push(change, name, via=relay))

        self.fleet.by_operator("operator-1", push())
        self.assertTrue(self.world.wait_for(lambda: bool(seen), 6.0, every=0.05))
        return str(seen[0].answers[-1].outcome)

    def test_cut_off_relay_returns_no_old_data(self) -> None:
        relay = self.world.processes["relay-1"].machine.name
        self.world.cut_off(relay)
        self.world.run(6.0)
        self.assertFalse(self.health("relay-1").ready)
        self.assertEqual(self.history_through("relay-1"), -1)

        async def fetch() -> BundleChunk:
            parts = self.parts("relay-1")
            return await parts.publisher._on_fetch(parts.messenger.identity, FetchBundle(BundleVersion(0)))

        self.assertFalse(self.inside("relay-1", fetch).found)

    def test_relay_does_not_answer_core_messages(self) -> None:
        parts = self.parts("relay-1")
        view = View(Epoch(90), parts._identity.incarnation, (), (), ())
        incarnation = parts._identity.incarnation
        requests = (
            (ControlPrepare(incarnation, incarnation, Epoch(90)), ControlPrepared),
            (ControlAccept(incarnation, view), ControlAccepted),
            (ControlReplicate(incarnation, Epoch(90), 0, 0, b""), ControlReplicated),
        )
        for message, reply_type in requests:

            async def ask(message: object = message, reply_type: object = reply_type) -> object:
                messenger = self.parts("control-1").messenger
                return await messenger.call(parts._identity.internal, message, reply_type, Seconds(0.6))  # type: ignore[arg-type]

            self.assertNotIsInstance(self.inside("control-1", ask), Success)
        self.assertLess(parts.core.epoch(), 90)


if __name__ == "__main__":
    unittest.main()
