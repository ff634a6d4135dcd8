"""The order of pools for services that split their calls (docs/DESIGN.md section 11.9)."""

from __future__ import annotations

import unittest
from collections import Counter

import msgspec

from wingwood.bundle.model import PoolShare
from wingwood.identifiers import PoolName, RequestId
from wingwood.placement.pool_choice import pool_order

from .one_router import OTHER_POOL, POOL, SUMMARY, sized_turn

SPLIT = msgspec.structs.replace(SUMMARY, split=(PoolShare(POOL, 90), PoolShare(OTHER_POOL, 10)))


class PoolChoiceTest(unittest.TestCase):
    def test_service_without_a_split_uses_its_own_pool(self) -> None:
        self.assertEqual(pool_order(sized_turn("a:1"), 3), (POOL,))

    def test_pools_come_first_in_proportion_to_their_weights(self) -> None:
        firsts = Counter(pool_order(sized_turn(f"k:1 s{n}:1", service=SPLIT), 0)[0] for n in range(4000))
        self.assertAlmostEqual(firsts[OTHER_POOL] / 4000, 0.1, delta=0.02)
        calls = Counter(pool_order(sized_turn("", service=SPLIT), 0)[0] for _ in range(4000))
        self.assertAlmostEqual(calls[OTHER_POOL] / 4000, 0.1, delta=0.02)

    def test_order_contains_every_pool_with_a_weight_and_no_other(self) -> None:
        third = PoolName("third")
        service = msgspec.structs.replace(SPLIT, split=(*SPLIT.split, PoolShare(third, 0)))
        for number in range(50):
            order = pool_order(sized_turn(f"s{number}:1", service=service), 0)
            self.assertEqual(sorted(order), sorted((POOL, OTHER_POOL)))

    def test_first_attempts_of_a_session_agree_and_each_later_attempt_draws_again(self) -> None:
        """Turns of a session in different pools would find no cached prefix; a retry must be able to change pools."""
        turns = [sized_turn("k:1 s:1", service=SPLIT) for _ in range(200)]
        self.assertEqual(len({pool_order(turn, 0) for turn in turns}), 1)
        self.assertEqual(len({pool_order(turn, 1) for turn in turns}), 2)
        same = msgspec.structs.replace(turns[0], request=RequestId("q"))
        self.assertEqual(pool_order(same, 1), pool_order(same, 1))


if __name__ == "__main__":
    unittest.main()
