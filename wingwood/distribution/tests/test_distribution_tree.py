"""Tests of the distribution tree over the routers of a zone (docs/DESIGN.md section 9.1).

They guard against routers that get no changes, and against a tree that is too deep or loads one router too much.
"""

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
    def test_every_router_is_below_the_tree_roots_and_has_few_children(self) -> None:
        for count in (1, 2, 3, 11, 31, 71, 200):
            routers = [router(number) for number in range(count)] + [router(1, Zone("b"))]
            ranking = ranked_routers(BUNDLE_SERVICE, ZONE, routers)
            upstream = {member.incarnation: upstream_in(ranking, member.incarnation) for member in ranking}
            self.assertEqual([member for member in ranking if upstream[member.incarnation] is None], ranking[:1])
            children = Counter(member.incarnation for member in upstream.values() if member is not None)
            self.assertLessEqual(max(children.values(), default=0), FAN_OUT + 1)
            for member in ranking:
                depth, ancestor = 0, upstream[member.incarnation]
                while ancestor is not None:
                    depth, ancestor = depth + 1, upstream[ancestor.incarnation]
                self.assertLessEqual(depth, 1 + (count // TREE_ROOTS).bit_length())

    def test_first_ranked_routers_are_the_tree_roots(self) -> None:
        routers = [router(number) for number in range(31)]
        ranking = ranked_routers(BUNDLE_SERVICE, ZONE, routers)
        self.assertEqual(tree_roots_of(BUNDLE_SERVICE, ZONE, routers), ranking[:TREE_ROOTS])
        self.assertEqual(upstream_in(ranking, ranking[TREE_ROOTS].incarnation), ranking[0])
        self.assertEqual(upstream_in(ranking, ranking[TREE_ROOTS + FAN_OUT].incarnation), ranking[1])

    def test_router_outside_the_ranking_is_below_the_first_tree_root(self) -> None:
        routers = [router(number) for number in range(5)]
        ranking = ranked_routers(BUNDLE_SERVICE, ZONE, routers)
        self.assertEqual(upstream_in(ranking, Incarnation("newcomer")), ranking[0])
        self.assertIsNone(upstream_in([], Incarnation("newcomer")))
