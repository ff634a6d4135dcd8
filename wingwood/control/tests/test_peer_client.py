"""Tests of the calls between members."""

from __future__ import annotations

import unittest

from ...identifiers import Epoch
from ..messages import (
    ControlConfirm,
    ControlConfirmed,
)
from .member_case import MemberCase, Y


class PeerClientTests(MemberCase):
    def test_answers_of_another_incarnation_are_ignored(self) -> None:
        core, member = self.control.cores["c1"], self.view.members[2]
        replaced = type(member)(Y, member.name, member.address)
        answers: list[object] = []

        async def run() -> None:
            answers.extend(
                [
                    await core.peers.ask(asked, ControlConfirm(asked.incarnation, Epoch(9)), ControlConfirmed)
                    for asked in (member, replaced)
                ]
            )

        self.control.world.spawn(self.control.world.processes["c1"], run(), "ask")
        self.control.world.run(0.1)
        self.assertIsInstance(answers[0], ControlConfirmed)
        self.assertIsNone(answers[1])


if __name__ == "__main__":
    unittest.main()
