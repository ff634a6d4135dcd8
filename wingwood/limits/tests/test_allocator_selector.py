"""Selection of allocators and standbys (docs/DESIGN.md section 14)."""

from __future__ import annotations

import unittest

from ...identifiers import Address, DaemonName, Incarnation, Instant, TenantName, Zone
from ...membership.rendezvous import ranked
from ...transport.frames import Identity
from ..allocator_selector import AllocatorSelector
from .share_fleet import FakeMembership


class AllocatorSelectorTest(unittest.TestCase):
    def test_incremental_updates_select_the_same_routers_as_a_full_ranking(self) -> None:
        membership = FakeMembership()
        selector = AllocatorSelector(membership)
        tenants = [TenantName(f"tenant {number}") for number in range(50)]
        self.assertIsNone(selector.allocator(tenants[0]))
        for members in ((1, 2, 3), (1, 3, 4, 5), (4, 5), (1, 2, 3, 4, 5, 6, 7), (7,)):
            routers = [router(number) for number in members]
            membership.learn(routers, Instant(0.0))
            for name in tenants:
                expected = ranked(name, routers, lambda each: f"{each.name}/{each.incarnation}")
                self.assertEqual(selector.allocator(name), expected[0])
                self.assertEqual(selector.standby(name), expected[1] if len(expected) > 1 else None)


def router(number: int) -> Identity:
    return Identity(DaemonName(f"r{number}"), Incarnation("i"), "router", Zone("a"), Address("127.0.0.1", number))
