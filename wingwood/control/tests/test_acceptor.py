"""Tests of the acceptor: epochs are prepared once, and views are accepted under them only."""

from __future__ import annotations

import unittest

from ...identifiers import Epoch, Incarnation
from ..messages import (
    ControlConfirm,
    ControlConfirmed,
    ControlPrepare,
)
from .control_world import ControlWorld
from .member_case import MemberCase, X, Y


class AcceptorTests(MemberCase):
    def test_an_epoch_is_prepared_once_and_never_lowered(self) -> None:
        self.assertTrue(self.prepare("c3", 40).granted)
        self.assertTrue(self.prepare("c3", 40).granted, "the same candidate may ask again")
        self.assertFalse(self.prepare("c3", 40, Y).granted)
        self.assertFalse(self.prepare("c3", 39).granted)
        self.assertEqual(self.prepare("c3", 41, Y).view, self.view)
        self.assertFalse(self.prepare("c3", 50, to=Y).granted)
        self.assertEqual(self.control.stores["c3"].prepared.epoch, 41)

    def test_a_prepared_epoch_outlives_a_restart_and_a_rewrite(self) -> None:
        self.prepare("c3", 40)
        self.prepare("c2", 60)
        self.assertTrue(self.state(61, X))
        self.assertEqual(self.control.stores["c2"].prepared.epoch, 61)
        for name in ("c2", "c3"):
            self.control.world.restart(name)
        self.control.world.run(0.05)
        self.assertGreaterEqual(self.control.stores["c3"].prepared.epoch, 40)
        self.assertGreaterEqual(self.control.stores["c2"].prepared.epoch, 61)
        self.assertEqual((self.view_of("c2").epoch, self.control.stores["c2"].sequence), (self.view.epoch, 70))

    def test_a_primary_that_prepares_another_epoch_stops_leading_at_once(self) -> None:
        self.assertTrue(self.control.leads("c1"))
        self.assertTrue(self.prepare("c1", 40).granted)
        self.assertFalse(self.control.leads("c1"))

    def test_views_below_the_prepared_epoch_or_of_another_candidate_are_rejected(self) -> None:
        self.prepare("c3", 40)
        self.assertFalse(self.accept("c3", self.new_view(39, X)))
        self.assertFalse(self.accept("c3", self.new_view(40, Y)))
        self.assertFalse(self.accept("c3", self.new_view(41, X), to=Y))
        self.assertEqual(self.view_of("c3"), self.view)
        self.assertTrue(self.accept("c3", self.new_view(40, X)))
        self.assertEqual(self.view_of("c3"), self.new_view(40, X))
        self.assertEqual(self.prepare("c3", 41, Y).view, self.new_view(40, X))

    def test_leadership_is_confirmed_unless_a_higher_epoch_was_prepared(self) -> None:
        def confirm(epoch: int, to: Incarnation | None = None) -> bool:
            message = ControlConfirm(to or self.incarnation_of("c3"), Epoch(epoch))
            return self.ask("c3", message, ControlConfirmed).confirmed

        self.assertTrue(confirm(self.view.epoch))
        self.assertFalse(confirm(self.view.epoch, to=Y))
        self.prepare("c3", 40)
        self.assertFalse(confirm(self.view.epoch))
        self.assertTrue(confirm(40))


class EmptyAcceptorTests(unittest.TestCase):
    def test_a_machine_that_prepared_an_ordinary_epoch_forms_no_fleet(self) -> None:
        control = ControlWorld(1, start=("c1",))
        self.addCleanup(control.close)
        control.world.run(0.05)
        core, granted = control.cores["c1"], list[bool]()

        async def run() -> None:
            for epoch, forming in ((5, True), (6, False), (7, True)):
                prepare = ControlPrepare(control.stores["c1"].incarnation, X, Epoch(epoch), forming)
                granted.append((await core.acceptor.prepare(prepare)).granted)

        control.world.spawn(control.world.processes["c1"], run(), "promise")
        control.world.run(0.1)
        self.assertEqual(granted, [True, True, False])


if __name__ == "__main__":
    unittest.main()
