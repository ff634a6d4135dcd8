"""Tests of the formation of the first view."""

from __future__ import annotations

import unittest
from typing import Any

from ...context.protocols import Context
from ...transport.messenger import TcpMessenger
from ..core import ReplicatedCore
from .control_case import ControlCase
from .control_world import ControlWorld, make_core


class FormationTests(ControlCase):
    """A first view is formed only by all three empty seeds; otherwise wiped machines could lose a fleet's state."""

    def test_three_empty_seeds_form_one_fleet_and_the_first_leads(self) -> None:
        control = self.fleet()
        self.assertEqual(control.leader(), "c1")
        self.assertEqual([control.report(name).own_role for name in ("c2", "c3")], ["backup", "witness"])

    def test_the_order_of_the_seeds_in_the_settings_has_no_effect(self) -> None:
        def turned(context: Context, messenger: TcpMessenger, *rest: Any) -> ReplicatedCore:
            store, contents, register, seeds = rest
            turn = int(str(messenger.identity.name)[1]) % 3
            return make_core(context, messenger, store, contents, register, [*seeds[turn:], *seeds[:turn]])

        control = self.fleet(make=turned)
        self.assertEqual((control.leader(), control.epoch()), ("c1", 1))

    def test_two_empty_seeds_form_nothing(self) -> None:
        control = ControlWorld(1, start=("c1", "c2"))
        self.addCleanup(control.close)
        control.world.run(20.0)
        self.assertIsNone(control.leader())
        control.start("c3")
        self.assertTrue(control.world.wait_for(control.complete, 5.0))

    def test_nothing_is_formed_where_anyone_knows_of_history(self) -> None:
        control = ControlWorld(1, start=())
        self.addCleanup(control.close)
        for name in ("c1", "c2", "c3"):
            control.start(name)
        control.world.run(0.03)
        control.cores["c3"].monitor.knows_history = lambda: True
        control.world.run(20.0)
        self.assertIsNone(control.leader())

    def test_two_wiped_machines_beside_an_intact_one_form_no_new_fleet(self) -> None:
        control = self.fleet()
        for name in ("c1", "c2", "c3"):
            control.world.kill(name)
        control.world.wipe("c1")
        control.world.wipe("c2")
        for name in ("c1", "c2", "c3"):
            control.world.restart(name)
        control.world.run(30.0)
        self.assertIsNone(control.leader())


if __name__ == "__main__":
    unittest.main()
