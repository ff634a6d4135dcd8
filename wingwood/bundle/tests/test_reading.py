"""Tests of reading stored bundles from control daemons (docs/DESIGN.md section 5.5)."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable

from returns.result import Success

from simulation import World, address_of
from wingwood.context.protocols import Context

from ...identifiers import Address, BundleVersion, DaemonName, Incarnation, Zone
from ...transport.frames import Identity
from ...transport.messenger import TcpMessenger
from ..reading import LocalBundleReader, RemoteBundleReader
from ..state import BundleState
from .samples import OPERATOR_KEYS, order_between, sample_slices, submit


class ReadingTest(unittest.TestCase):
    """Guards against answers that are wrong for the fleet.

    They arise when a daemon answers that stores no or only old bundles (a spare, a former backup), or a primary that
    has just taken over and does not know yet which versions are durable.
    """

    def test_second_control_daemon_is_asked_when_the_first_is_unreachable(self) -> None:
        state, slices = BundleState(OPERATOR_KEYS), sample_slices()
        submit(state, order_between(0, {}, slices))
        submit(state, order_between(1, slices, slices))
        found: list[object] = []

        with World(1) as world:
            addresses = [address_of(world.machine(name), 7000) for name in ("away", "c2", "r1")]

            def messenger(context: Context, name: str, address: Address) -> TcpMessenger:
                identity = Identity(DaemonName(name), Incarnation("1"), "router", Zone("a"), address)
                made = TcpMessenger(context, identity, b"key")
                assert isinstance(made.start(), Success)
                return made

            async def control(context: Context) -> None:
                LocalBundleReader(state, lambda: BundleVersion(1)).serve(messenger(context, "c2", addresses[1]))

            async def router(context: Context) -> None:
                reader = RemoteBundleReader(messenger(context, "r1", addresses[2]), lambda: addresses[:2])
                found.append((await reader.bundle(BundleVersion(0))).unwrap())
                found.append((await reader.bundle(BundleVersion(2))).unwrap())
                found.append((await reader.history(10)).unwrap())
                found.append((await RemoteBundleReader(reader._messenger, list).history(10)).failure())

            world.start("c2", control)
            world.run(0.01)
            world.start("r1", router)
            world.run(5.0)
            self.assertEqual(world.broken_invariants, [])
        reader = LocalBundleReader(state, lambda: BundleVersion(1))
        self.assertEqual(found[0], reader.read_bundle(BundleVersion(1)))
        self.assertEqual(found[1], reader.read_bundle(BundleVersion(2)))
        self.assertIsNone(reader.read_bundle(BundleVersion(2)).view)
        self.assertEqual(found[2], reader.read_history(10))
        self.assertIn("none is known", str(found[3]))

    def test_new_primary_without_commits_gives_no_authoritative_answer(self) -> None:
        state, slices = BundleState(OPERATOR_KEYS), sample_slices()
        nothing = LocalBundleReader(state, lambda: BundleVersion(0))
        self.assertTrue(nothing.read_bundle(BundleVersion(0)).authoritative)
        submit(state, order_between(0, {}, slices))
        self.assertFalse(nothing.read_bundle(BundleVersion(0)).authoritative)
        self.assertFalse(nothing.read_history(10).authoritative)
        self.assertTrue(LocalBundleReader(state, lambda: BundleVersion(1)).read_bundle(BundleVersion(0)).authoritative)

    def test_only_daemons_that_store_the_bundles_are_authoritative(self) -> None:
        state, slices = BundleState(OPERATOR_KEYS), sample_slices()
        submit(state, order_between(0, {}, slices))
        older = BundleState(OPERATOR_KEYS)
        submit(older, order_between(0, {}, slices))
        submit(state, order_between(1, slices, slices))
        readers = {
            "spare": LocalBundleReader(BundleState(OPERATOR_KEYS), lambda: BundleVersion(0), lambda: False),
            "once backup": LocalBundleReader(older, lambda: BundleVersion(1), lambda: False),
            "c2": LocalBundleReader(state, lambda: BundleVersion(2)),
        }
        found: list[object] = []

        with World(1) as world:
            addresses = {name: address_of(world.machine(name), 7000) for name in ("spare", "once backup", "c2", "r1")}

            def messenger(context: Context, name: str) -> TcpMessenger:
                identity = Identity(DaemonName(name), Incarnation("1"), "router", Zone("a"), addresses[name])
                made = TcpMessenger(context, identity, b"key")
                assert isinstance(made.start(), Success)
                return made

            def control(name: str) -> Callable[[Context], Awaitable[None]]:
                async def main(context: Context) -> None:
                    readers[name].serve(messenger(context, name))

                return main

            async def router(context: Context) -> None:
                link = messenger(context, "r1")
                both = RemoteBundleReader(link, lambda: [addresses[name] for name in readers])
                found.append((await both.bundle(BundleVersion(0))).unwrap().latest)
                found.append((await both.history(10)).unwrap().latest)
                alone = RemoteBundleReader(link, lambda: [addresses["spare"]])
                found.append(str((await alone.bundle(BundleVersion(0))).failure()))

            for name in readers:
                world.start(name, control(name))
            world.run(0.01)
            world.start("r1", router)
            world.run(5.0)
            self.assertEqual(world.broken_invariants, [])
        self.assertEqual(found[:2], [2, 2])
        self.assertIn("does not keep them", str(found[2]))
