"""The tree over a zone's routers (docs/DESIGN.md section 9.1)."""

from __future__ import annotations

import unittest
from collections import Counter

from ...identifiers import Address, DaemonName, Incarnation, Zone
from ...transport.frames import Identity
from ..distribution_tree import BUNDLE_SERVICE, FAN_OUT, TREE_ROOTS, ranked_routers, tree_roots_of, upstream_in

ZONE = Zone("a")


def router(number: int, zone: Zone = ZONE) -> Identity:
    name = f"router-{zone}-{number}"
    return Identity(DaemonName(name), Incarnation(name), "router", zone, Address(f"10.0.0.{number}", 1))


class UpstreamTest(unittest.TestCase):
    def test_every_router_hangs_below_the_homes_and_none_has_many_below_it(self) -> None:
        for count in (1, 2, 3, 11, 31, 71, 200):
            routers = [router(number) for number in range(count)] + [router(1, Zone("b"))]
            ranking = ranked_routers(BUNDLE_SERVICE, ZONE, routers)
            above = {each.incarnation: upstream_in(ranking, each.incarnation) for each in ranking}
            self.assertEqual([each for each in ranking if above[each.incarnation] is None], ranking[:1])
            below = Counter(each.incarnation for each in above.values() if each is not None)
            self.assertLessEqual(max(below.values(), default=0), FAN_OUT + 1)
            for each in ranking:
                depth, at = 0, above[each.incarnation]
                while at is not None:
                    depth, at = depth + 1, above[at.incarnation]
                self.assertLessEqual(depth, 1 + (count // TREE_ROOTS).bit_length())

    def test_homes_are_the_roots(self) -> None:
        routers = [router(number) for number in range(31)]
        ranking = ranked_routers(BUNDLE_SERVICE, ZONE, routers)
        self.assertEqual(tree_roots_of(BUNDLE_SERVICE, ZONE, routers), ranking[:TREE_ROOTS])
        self.assertEqual(upstream_in(ranking, ranking[TREE_ROOTS].incarnation), ranking[0])
        self.assertEqual(upstream_in(ranking, ranking[TREE_ROOTS + FAN_OUT].incarnation), ranking[1])

    def test_router_that_the_members_lack_is_told_by_the_home(self) -> None:
        routers = [router(number) for number in range(5)]
        ranking = ranked_routers(BUNDLE_SERVICE, ZONE, routers)
        self.assertEqual(upstream_in(ranking, Incarnation("newcomer")), ranking[0])
        self.assertIsNone(upstream_in([], Incarnation("newcomer")))
