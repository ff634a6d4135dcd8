"""Tests of primaries that were deposed."""

from __future__ import annotations

import asyncio
import unittest
from functools import partial

from returns.result import Success

from ...identifiers import Epoch, Incarnation
from ..core import ReplicatedCore
from ..errors import CommandFailure
from ..messages import (
    ControlPrepare,
)
from .control_case import LONG_TIMEOUTS, LONGEST_GAP_S, ControlCase
from .control_world import ControlWorld, MakeCore, Put
from .mutants import BackupIgnoresPreparedEpoch, with_core


class DeposedPrimaryTests(ControlCase):
    """A former primary that was paused or partitioned acknowledges and confirms nothing after its successor leads."""

    def late_batch(self, make: MakeCore, seed: int) -> tuple[ControlWorld, str, list[object]]:
        """Freezes the primary while its batch is delayed on the way to the backup, which takes over with the witness.

        The old primary continues with the answer of the backup, if there is one, already in its buffers.
        Returns the world, the old primary, and the answers that it then gives.
        """
        control = self.fleet(seed, make)
        old, backup = control.name_with_role("primary"), control.name_with_role("backup")
        control.world.run(0.5)
        cut = control.world.cut(old, backup, both_ways=False)
        given_answers: list[object] = []
        self.spawn(control, old, partial(self.put_at, control, old, Put(999, control.observer.newest), given_answers))
        control.world.run(0.02)
        control.world.freeze(old)
        self.assertTrue(control.world.wait_for(lambda: control.leader() == backup, LONGEST_GAP_S))
        control.world.heal(cut)
        control.world.run(0.9)
        control.world.wake(old)
        control.world.run(0.5)
        return control, old, given_answers

    def test_a_primary_acknowledges_nothing_after_a_freeze(self) -> None:
        for seed in range(8):
            with self.subTest(seed=seed):
                control, old, given_answers = self.late_batch(with_core(ReplicatedCore, LONG_TIMEOUTS), seed)
                self.assertFalse(control.leads(old))
                self.assertEqual([answer.failure().kind for answer in given_answers], ["unknown"])  # type: ignore[attr-defined]
                self.assert_nothing_lost(control)

    async def put_at(self, control: ControlWorld, name: str, put: Put, given_answers: list[object]) -> None:
        given_answers.append(await control.cores[name].decide("register", put))

    def test_a_backup_that_ignores_its_prepared_epoch_is_caught(self) -> None:
        given_answers = [
            self.late_batch(with_core(BackupIgnoresPreparedEpoch, LONG_TIMEOUTS), seed)[2] for seed in range(8)
        ]
        self.assertTrue(any(isinstance(answer, Success) for answers in given_answers for answer in answers))

    def test_primaries_that_are_partitioned_report_it_and_confirm_nothing(self) -> None:
        for inward, outward in ((True, True), (True, False), (False, True)):
            with self.subTest(inward=inward, outward=outward):
                control = self.fleet()
                old = control.name_with_role("primary")
                core = control.cores[old]
                self.assertEqual(self.ask(control, old, core.confirm_leadership), [True])
                cut = control.world.cut_off(old, inward, outward)
                control.world.run(0.02)
                self.assertEqual(self.ask(control, old, core.confirm_leadership), [False])
                control.world.run(2.0)
                self.assertFalse(control.leads(old))
                answers = self.ask(control, old, partial(core.decide, "register", Put(1000, 0)))
                fault = answers[0].failure()  # type: ignore[attr-defined]
                self.assertIsInstance(fault, CommandFailure)
                self.assertEqual(fault.kind, "not-leading")
                self.assertNotIn(control.leader(), (None, old))
                control.world.heal(cut)
                self.assert_nothing_lost(control)

    def test_what_was_decided_but_not_journaled_is_discarded_with_the_leadership(self) -> None:
        """Another candidate's request to prepare comes between decision and append; then the daemon leads again."""
        control = self.fleet()
        core = control.cores["c1"]
        prepare = ControlPrepare(control.stores["c1"].incarnation, Incarnation("failed"), Epoch(40))

        async def prepare_before_append() -> None:
            await core.guarded.lock.acquire()
            preparing = asyncio.ensure_future(core.acceptor.prepare(prepare))
            deciding = asyncio.ensure_future(core.decide("register", Put(999, 5)))
            await asyncio.sleep(0.001)
            core.guarded.lock.release()
            await asyncio.gather(preparing, deciding)

        self.spawn(control, "c1", prepare_before_append)
        control.world.run(0.02)
        control.world.kill("c2")
        self.assertTrue(control.world.wait_for(lambda: control.leader() == "c1", 6.0), control.world.timeline(20))
        self.assert_nothing_lost_without(control, "c2")

    def assert_nothing_lost_without(self, control: ControlWorld, name: str) -> None:
        self.assertIsNotNone(control.send())
        control.world.restart(name)
        self.assert_nothing_lost(control)


if __name__ == "__main__":
    unittest.main()
