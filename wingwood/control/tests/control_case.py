"""Base of the tests of the control core on simulated time."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from typing import ClassVar

from ...identifiers import Seconds
from ..control_options import ControlOptions
from .control_world import ControlWorld, MakeCore, make_core

LONGEST_GAP_S = 3.0
SERVICE_BACK_S = 12.0
BACK_AFTER_RESTART_S = 0.55
"""Restarted members accept orders again within this time; a primary is given up only after 1 s without a message."""
LONG_TIMEOUTS = ControlOptions(replicate_timeout=Seconds(6.0), decide_timeout=Seconds(8.0))
"""Timeouts so long that only the rules of the protocol keep a primary from acknowledging after a process pause."""


class ControlCase(unittest.TestCase):
    """Tests of daemons that have formed a fleet and acknowledged some orders."""

    service_back_s: ClassVar[float] = SERVICE_BACK_S
    """Longest time until the fleet is complete again."""

    def fleet(self, seed: int = 1, make: MakeCore = make_core, orders: int = 5) -> ControlWorld:
        """Returns three daemons that have formed a fleet and acknowledged some orders."""
        control = ControlWorld(seed, make)
        self.addCleanup(control.close)
        control.operator()
        self.assertTrue(control.world.wait_for(control.complete, 5.0))
        for _ in range(orders):
            self.assertIsNotNone(control.send())
        return control

    def assert_nothing_lost(self, control: ControlWorld) -> None:
        """Checks that the fleet is complete again and that all acknowledged orders are still there."""
        self.assertTrue(control.world.wait_for(control.complete, self.service_back_s), control.world.timeline(60))
        self.assertIsNotNone(control.send())
        leader = control.leader()
        assert leader is not None
        stored = control.registers[leader].stored.outcomes
        for order, outcome in control.observer.outcomes.items():
            self.assertEqual(stored.get(order), outcome)
        self.assertEqual(control.observer.faults, [])
        self.assertEqual(control.world.broken_invariants, [])

    def seconds_until_served(self, control: ControlWorld) -> float:
        started = control.world.now
        while control.send() is None:
            self.assertLess(control.world.now - started, 30.0, control.world.timeline(60))
        return control.world.now - started

    def ask(self, control: ControlWorld, name: str, question: Callable[[], object]) -> list[object]:
        answers: list[object] = []

        async def run() -> None:
            answers.append(await question())  # type: ignore[misc]

        control.world.spawn(control.world.processes[name], run(), "ask")
        control.world.wait_for(lambda: bool(answers), 5.0, every=0.01)
        return answers

    def spawn(self, control: ControlWorld, name: str, work: Callable[[], object]) -> None:
        control.world.spawn(control.world.processes[name], work(), "prove")  # type: ignore[arg-type]
