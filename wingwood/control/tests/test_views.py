"""Tests of views: majorities of their members."""

from __future__ import annotations

import unittest

from .control_world import ControlWorld
from .member_case import X, Y


class MajorityTests(unittest.TestCase):
    def test_only_members_count(self) -> None:
        control = ControlWorld(1)
        self.addCleanup(control.close)
        self.assertTrue(control.world.wait_for(control.complete, 5.0))
        view = control.stores["c1"].view
        assert view is not None
        one, two, three = view.incarnations()
        self.assertTrue(view.majority({one, two}))
        self.assertTrue(view.majority({one, two, three}))
        self.assertFalse(view.majority({one, X, Y}))
        self.assertFalse(view.majority(set()))


if __name__ == "__main__":
    unittest.main()
