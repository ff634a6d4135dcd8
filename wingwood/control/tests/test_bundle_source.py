"""Tests that distribution sees only bundles that are durable on the primary and the backup."""

from __future__ import annotations

import unittest
from collections.abc import Sequence

from returns.result import Success

from ...bundle.commands import SubmitOrder
from ...bundle.model import OrderOutcome
from ...bundle.state import BundleState
from ...bundle.tests.samples import OPERATOR_KEYS, order_between, sample_slices
from ...context.protocols import Context
from ...identifiers import Address, BundleVersion, Seconds, SliceName
from ...transport.messenger import TcpMessenger
from ..bundle_source import CommittedBundles
from ..core import ReplicatedCore
from ..store import Contents, ControlStore
from .control_world import WALK_OPTIONS, ControlWorld, Register


class CommittedBundlesTests(unittest.TestCase):
    def setUp(self) -> None:
        self.sources: dict[str, CommittedBundles] = {}
        self.announced: list[tuple[str, int]] = []
        self.control = ControlWorld(1, self.make)
        self.addCleanup(self.control.close)
        self.control.operator()
        self.slices: dict[SliceName, bytes] = {}
        self.version = 0
        self.assertTrue(self.control.world.wait_for(self.control.complete, 5.0))

    def make(
        self,
        context: Context,
        messenger: TcpMessenger,
        store: ControlStore,
        contents: Contents,
        register: Register,
        seeds: Sequence[Address],
    ) -> ReplicatedCore:
        name, state = str(messenger.identity.name), BundleState(OPERATOR_KEYS)
        core = ReplicatedCore(context, messenger, store, contents, [register, state], seeds, options=WALK_OPTIONS)
        source = self.sources[name] = CommittedBundles(core, state)
        source.on_committed(lambda manifest: self.announced.append((name, manifest.version)))
        return core

    def start_order(self, tenants: int) -> list[object]:
        """Sends an order for the next version; the returned list receives the outcome."""
        after = sample_slices(tenants)
        order = order_between(self.version, self.slices, after)
        answers: list[object] = []

        async def run() -> None:
            answers.append(await self.control.clients["operator"].submit(SubmitOrder(order), Seconds(8.0)))

        self.slices, self.version = after, self.version + 1
        self.control.world.spawn(self.control.world.processes["operator"], run(), "order")
        return answers

    def order(self, tenants: int) -> None:
        answers = self.start_order(tenants)
        self.assertTrue(self.control.world.wait_for(lambda: bool(answers), 9.0, every=0.002))
        match answers[0]:
            case Success(OrderOutcome(outcome="accepted")):
                pass
            case other:
                self.fail(str(other))

    def versions(self) -> dict[str, int]:
        return {name: source.version for name, source in self.sources.items()}

    def test_primary_and_backup_show_the_acknowledged_version_and_the_witness_none(self) -> None:
        self.order(3)
        self.order(4)
        self.control.world.run(0.01)
        self.assertEqual(self.versions(), {"c1": 2, "c2": 2, "c3": 0})
        delta = self.sources["c2"].delta_since(BundleVersion(1))
        assert delta is not None
        self.assertEqual((delta.manifest.version, list(delta.changed)), (2, [SliceName("tenant/tenant-3")]))
        self.assertIsNone(self.sources["c1"].delta_since(BundleVersion(2)))

    def test_a_version_without_a_backup_does_not_show_anywhere_until_it_has_one(self) -> None:
        self.order(3)
        partitions = [self.control.world.cut("c1", name) for name in ("c2", "c3")]
        answers = self.start_order(4)
        self.control.world.run(0.5)
        state = self.sources["c1"].state
        self.assertEqual((state.version, answers), (2, []))
        self.assertEqual(self.sources["c1"].version, 1)
        self.assertIsNone(self.sources["c1"].delta_since(BundleVersion(1)))
        complete_delta = self.sources["c1"].delta_since(BundleVersion(0))
        assert complete_delta is not None
        self.assertEqual(complete_delta.manifest.version, 1)
        for cut in partitions:
            self.control.world.heal(cut)
        self.assertTrue(self.control.world.wait_for(lambda: bool(answers), 9.0))
        self.assertTrue(self.control.world.wait_for(self.control.complete, 9.0))
        leader = self.control.leader()
        assert leader is not None
        self.assertEqual(self.sources[leader].version, 2)

    def test_the_latest_version_shows_again_after_a_failover_and_a_restart_of_all(self) -> None:
        for tenants in (3, 4, 5):
            self.order(tenants)
        self.control.world.kill("c1")
        self.order(6)
        for name in ("c2", "c3"):
            self.control.world.kill(name)
        for name in ("c1", "c2", "c3"):
            self.control.world.restart(name)
        self.assertTrue(self.control.world.wait_for(self.control.complete, 12.0))
        self.control.world.run(0.5)
        leader = self.control.leader()
        assert leader is not None
        self.assertEqual(self.sources[leader].version, 4)
        self.assertEqual(sorted(self.versions().values()), [0, 4, 4])
        for name in ("c1", "c2", "c3"):
            lives = [version for announced, version in self.announced if announced == name]
            self.assertLessEqual(max(lives, default=0), 4)


if __name__ == "__main__":
    unittest.main()
