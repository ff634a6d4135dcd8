"""Tests of the answers to heartbeats."""

from __future__ import annotations

import unittest

from ...identifiers import Epoch, Incarnation
from ..messages import (
    ControlHeartbeat,
    ControlHeartbeatAnswer,
)
from .member_case import MemberCase, Y


class PrimaryMonitorTests(MemberCase):
    def test_a_heartbeat_is_accepted_under_the_accepted_view_only(self) -> None:
        def beat(epoch: int, to: Incarnation | None = None) -> bool:
            message = ControlHeartbeat(to or self.incarnation_of("c3"), self.incarnation_of("c1"), Epoch(epoch), 0)
            return self.ask("c3", message, ControlHeartbeatAnswer).accepted

        self.assertTrue(beat(self.view.epoch))
        self.assertFalse(beat(self.view.epoch + 1))
        self.assertFalse(beat(self.view.epoch, to=Y))
        self.prepare("c3", 40)
        self.assertFalse(beat(self.view.epoch))


if __name__ == "__main__":
    unittest.main()
