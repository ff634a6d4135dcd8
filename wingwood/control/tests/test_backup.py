"""Tests of a backup: which batches and states it journals, and when it applies them."""

from __future__ import annotations

import unittest

from .member_case import MemberCase, X, Y


class BackupTests(MemberCase):
    def test_a_backup_accepts_batches_of_its_view_in_order_only(self) -> None:
        self.control.world.kill("c1")
        epoch, sequence = self.view.epoch, self.control.stores["c2"].sequence
        self.assertEqual(sequence, 3)
        self.assertFalse(self.replicate(epoch, 1))
        self.assertFalse(self.replicate(epoch, 4))
        self.assertFalse(self.replicate(epoch + 1, 3))
        self.assertFalse(self.replicate(epoch, 3, to=Y))
        self.assertFalse(self.replicate(epoch, 0, name="c3"), "a witness accepts none")
        self.assertTrue(self.replicate(epoch, 3))
        self.assertTrue(self.replicate(epoch, 3), "the same batch again")
        self.assertEqual(self.control.stores["c2"].sequence, 4)
        self.prepare("c2", epoch + 1)
        self.assertFalse(self.replicate(epoch, 4))

    def test_a_state_is_accepted_only_under_an_epoch_not_prepared_for_another(self) -> None:
        self.prepare("c2", 40)
        self.assertFalse(self.state(39, X))
        self.assertFalse(self.state(40, Y))
        self.assertFalse(self.state(41, X, to=Y))
        self.assertEqual(self.control.stores["c2"].sequence, 3)
        self.assertTrue(self.state(41, X))
        self.assertEqual(self.control.stores["c2"].sequence, 70)
        self.assertFalse(self.prepare("c2", 41, Y).granted)

    def test_a_journaled_batch_is_applied_only_when_it_is_committed(self) -> None:
        self.control.world.kill("c1")
        self.replicate(self.view.epoch, 3)
        core = self.control.cores["c2"]
        self.assertEqual((core.replica.applied, core.replica.committed), (3, 3))


if __name__ == "__main__":
    unittest.main()
