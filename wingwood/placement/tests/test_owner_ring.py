"""Owners of session keys on the ring of routers (docs/DESIGN.md section 11.2)."""

from __future__ import annotations

import unittest
from random import Random

from wingwood.identifiers import Address, DaemonName, Incarnation, Zone
from wingwood.placement.session_map import OwnerRing
from wingwood.transport.frames import Identity


def router(number: int, start: int = 1) -> Identity:
    return Identity(
        name=DaemonName(f"router-{number}"),
        incarnation=Incarnation(f"{number}.{start}"),
        role="router",
        zone=Zone("a"),
        internal=Address("127.0.0.1", 24000 + number),
    )


RANDOM = Random(1)
KEYS = [RANDOM.getrandbits(64) for _ in range(5000)]


class OwnerRingTest(unittest.TestCase):
    def test_ring_changed_incrementally_equals_a_new_ring(self) -> None:
        """Otherwise routers that saw different sequences of changes would disagree on the owners of a key."""
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
                present[again] = router(again, start=2 + step)
            routers = [present[number] for number in sorted(present)]
            ring = OwnerRing(routers, ring)
            rebuilt = OwnerRing(routers)
            self.assertEqual([ring.pair(key) for key in KEYS[:300]], [rebuilt.pair(key) for key in KEYS[:300]])

    def test_ring_after_a_large_change_equals_a_new_ring(self) -> None:
        """A change of more routers than are changed one by one rebuilds the ring."""
        few, many = [router(number) for number in range(3)], [router(number) for number in range(40)]
        for before, after in ((few, many), (many, few)):
            ring, rebuilt = OwnerRing(after, OwnerRing(before)), OwnerRing(after)
            self.assertEqual([ring.pair(key) for key in KEYS[:300]], [rebuilt.pair(key) for key in KEYS[:300]])

    def test_replica_becomes_owner_when_the_owner_departs(self) -> None:
        """Only then does the new owner already store the records of the departed one."""
        routers = [router(number) for number in range(11)]
        ring = OwnerRing(routers)
        for key in KEYS[:100]:
            owner, replica = ring.pair(key)
            self.assertNotEqual(owner, replica)
            remaining = OwnerRing([identity for identity in routers if identity != owner], ring)
            self.assertEqual(remaining.pair(key)[0], replica)

    def test_shares_are_even_and_fleets_of_one_or_no_router_work(self) -> None:
        """An uneven ring would give one router far more sessions than the others."""
        routers = [router(number) for number in range(11)]
        ring = OwnerRing(routers)
        shares = [sum(ring.pair(key)[0] == identity for key in KEYS) / len(KEYS) for identity in routers]
        self.assertLess(max(shares), 1.6 / 11)
        self.assertEqual(OwnerRing().pair(7), ())
        self.assertEqual(OwnerRing(routers[:1]).pair(7), (routers[0],))


if __name__ == "__main__":
    unittest.main()
