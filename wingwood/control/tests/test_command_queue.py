"""Tests of the answers to commands whose deadline passes or whose backup is lost."""

from __future__ import annotations

import unittest
from functools import partial

import msgspec
from returns.result import Result, Success

from ...identifiers import Seconds
from ..errors import CommandFailure
from .control_case import ControlCase
from .control_world import Put
from .member_case import MemberCase


class DeadlineTests(MemberCase):
    def test_a_late_answer_is_unknown(self) -> None:
        """The process is frozen past the deadline while the answer is ready to be delivered."""
        core, given_answers = self.control.cores["c1"], list[Result[msgspec.Struct, CommandFailure]]()

        async def run() -> None:
            given_answers.append(await core.decide("register", Put(500, 3), Seconds(0.5)))

        core.on_commit(lambda: self.control.world.freeze("c1"))
        self.control.world.spawn(self.control.world.processes["c1"], run(), "late")
        self.control.world.run(0.9)
        self.assertEqual(given_answers, [])
        self.control.world.wake("c1")
        self.control.world.run(0.1)
        self.assertEqual([answer.failure().kind for answer in given_answers], ["unknown"])


class LostBackupTests(ControlCase):
    def test_an_order_under_way_when_the_backup_is_lost_is_answered_once_there_is_another(self) -> None:
        control = self.fleet()
        old, backup = control.name_with_role("primary"), control.name_with_role("backup")
        control.world.freeze(backup)
        answers = self.ask(control, old, partial(control.cores[old].decide, "register", Put(999, 5)))
        self.assertIsInstance(answers[0], Success)


if __name__ == "__main__":
    unittest.main()
