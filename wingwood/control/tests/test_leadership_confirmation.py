"""Tests of confirmations of leadership, on which reads rely."""

from __future__ import annotations

import unittest

import msgspec

from ...identifiers import Instant
from ..leadership import Leadership
from ..messages import (
    ControlConfirmed,
)
from ..views import ViewMember
from .control_case import ControlCase
from .election_case import ElectionCase


class NewPrimaryTests(ElectionCase):
    def test_a_new_primary_confirms_nothing_before_it_has_a_backup(self) -> None:
        """Its predecessor may have acknowledged batches that it does not know to be committed."""
        self.granting = {self.three.incarnation: self.view}
        self.acceptors = {self.three.incarnation}
        view = self.run_election()
        assert view is not None
        confirmations: list[bool] = []

        async def confirm(member: ViewMember, message: msgspec.Struct, *_: object) -> msgspec.Struct | None:
            return ControlConfirmed(member.incarnation, True, view.epoch)

        self.core.peers.ask = confirm  # type: ignore[method-assign, assignment]

        async def run() -> None:
            leadership = Leadership(view, Instant(self.control.world.now))
            self.core.leadership.begin(leadership)
            confirmations.append(await self.core.confirmation.majority_confirms(leadership))
            leadership.commit_known = True
            confirmations.append(await self.core.confirmation.majority_confirms(leadership))

        self.control.world.spawn(self.control.world.processes["c2"], run(), "prove")
        self.control.world.run(0.05)
        self.assertEqual(confirmations, [False, True])


class PollTests(ControlCase):
    def test_a_confirmation_never_comes_from_a_poll_started_before_the_request(self) -> None:
        control = self.fleet()
        leader = control.name_with_role("primary")
        core, rounds = control.cores[leader], [0]
        seen: list[tuple[int, int]] = []
        real = core.confirmation.majority_confirms

        async def counted(leadership: object) -> bool:
            rounds[0] += 1
            return await real(leadership)  # type: ignore[arg-type]

        core.confirmation.majority_confirms = counted  # type: ignore[method-assign]

        async def prove() -> None:
            before = rounds[0]
            if await core.confirm_leadership():
                seen.append((before, rounds[0]))

        for number in range(50):
            control.world.at(control.world.now + number * 0.0002, lambda: self.spawn(control, leader, prove))
        control.world.run(1.0)
        self.assertEqual(len(seen), 50)
        self.assertTrue(all(after > before for before, after in seen))
        self.assertLess(rounds[0], 50)


if __name__ == "__main__":
    unittest.main()
