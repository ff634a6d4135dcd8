from __future__ import annotations

import unittest
from random import Random

from wingwood.identifiers import Address, DaemonName, Incarnation, Zone
from wingwood.placement.session_map import OwnerRing
from wingwood.transport.frames import Identity


def router(number: int, life: int = 1) -> Identity:
    return Identity(
        name=DaemonName(f"router-{number}"),
        incarnation=Incarnation(f"{number}.{life}"),
        role="router",
        zone=Zone("a"),
        internal=Address("127.0.0.1", 24000 + number),
    )


RANDOM = Random(1)
KEYS = [RANDOM.getrandbits(64) for _ in range(5000)]


class KeeperRingTest(unittest.TestCase):
    def test_ring_changed_step_by_step_is_the_ring_made_at_once(self) -> None:
        random = Random(5)
        present = {number: router(number) for number in range(11)}
        ring = OwnerRing(list(present.values()))
        for step in range(12):
            if step % 3 == 0:
                present.pop(random.choice(sorted(present)))
            elif step % 3 == 1:
                present[20 + step] = router(20 + step)
            else:
                again = random.choice(sorted(present))
                present[again] = router(again, life=2 + step)
            routers = [present[number] for number in sorted(present)]
            ring = OwnerRing(routers, ring)
            anew = OwnerRing(routers)
            self.assertEqual([ring.pair(key) for key in KEYS[:300]], [anew.pair(key) for key in KEYS[:300]])

    def test_large_changes_too(self) -> None:
        few, many = [router(number) for number in range(3)], [router(number) for number in range(40)]
        for before, after in ((few, many), (many, few)):
            ring, anew = OwnerRing(after, OwnerRing(before)), OwnerRing(after)
            self.assertEqual([ring.pair(key) for key in KEYS[:300]], [anew.pair(key) for key in KEYS[:300]])

    def test_stand_in_takes_the_place_of_the_keeper_that_went(self) -> None:
        routers = [router(number) for number in range(11)]
        ring = OwnerRing(routers)
        for key in KEYS[:100]:
            owner, replica = ring.pair(key)
            self.assertNotEqual(owner, replica)
            left = OwnerRing([one for one in routers if one != owner], ring)
            self.assertEqual(left.pair(key)[0], replica)

    def test_shares_are_even_and_small_fleets_work(self) -> None:
        routers = [router(number) for number in range(11)]
        ring = OwnerRing(routers)
        shares = [sum(ring.pair(key)[0] == one for key in KEYS) / len(KEYS) for one in routers]
        self.assertLess(max(shares), 1.6 / 11)
        self.assertEqual(OwnerRing().pair(7), ())
        self.assertEqual(OwnerRing(routers[:1]).pair(7), (routers[0],))


if __name__ == "__main__":
    unittest.main()
