from __future__ import annotations

import unittest

from wingwood.identifiers import Instant, PoolName, Seconds, WorkerInstance
from wingwood.placement.sent_chains import SentChains, chains

from .one_router import parts_of

POOL = PoolName("model")
WORKER, OTHER = WorkerInstance("w1"), WorkerInstance("w2")
KIND = parts_of("kind:2500")
FULL_PROMPT = parts_of("kind:2500 subject:3800")
SIBLING = parts_of("kind:2500 another:4000")
SAME_PART_ELSEWHERE = parts_of("form:700 subject:3800")


class ToldPartsTest(unittest.TestCase):
    def kept(
        self, told: SentChains, parts: str, instance: WorkerInstance, at: float, cache_retention: float = 5.0
    ) -> float:
        known = told.known(POOL, parts_of(parts), Instant(at))
        return known.cached_tokens(instance, Seconds(cache_retention), 10 / 9)

    def test_chains_are_the_beginnings_of_a_prompt(self) -> None:
        self.assertEqual(list(chains(FULL_PROMPT)), [(("kind",), 2500), (("kind", "subject"), 6300)])

    def test_part_counts_as_kept_only_after_the_same_parts(self) -> None:
        told = SentChains()
        told.sent(POOL, FULL_PROMPT, WORKER, Instant(10.0))
        self.assertEqual(self.kept(told, "kind:2500 subject:3800", WORKER, 11.0), 6300)
        self.assertEqual(self.kept(told, "kind:2500 another:4000", WORKER, 11.0), 2500)
        self.assertEqual(self.kept(told, "form:700 subject:3800", WORKER, 11.0), 0)
        self.assertEqual(self.kept(told, "kind:2500 subject:3800", OTHER, 11.0), 0)

    def test_unused_part_is_kept_only_so_long(self) -> None:
        told = SentChains()
        told.sent(POOL, FULL_PROMPT, WORKER, Instant(10.0))
        told.sent(POOL, SIBLING, WORKER, Instant(14.0))
        self.assertEqual(self.kept(told, "kind:2500 subject:3800", WORKER, 14.9), 6300)
        self.assertEqual(self.kept(told, "kind:2500 subject:3800", WORKER, 16.0), 2500)
        self.assertEqual(self.kept(told, "kind:2500 subject:3800", WORKER, 20.0), 0)

    def test_chain_in_great_demand_is_probably_kept_where_others_sent_it(self) -> None:
        told = SentChains()
        for step in range(40):
            told.sent(POOL, FULL_PROMPT, WORKER, Instant(10.0 + step * 0.25))
        self.assertGreater(self.kept(told, "kind:2500 subject:3800", OTHER, 20.0), 6000)
        self.assertAlmostEqual(told.demand(POOL, FULL_PROMPT, Instant(20.0)), 3.0, delta=0.5)
        self.assertEqual(told.demand(POOL, SIBLING, Instant(20.0)), 0.0)

    def test_dead_worker_keeps_nothing(self) -> None:
        told = SentChains()
        told.sent(POOL, FULL_PROMPT, WORKER, Instant(10.0))
        told.forget(WORKER)
        self.assertEqual(self.kept(told, "kind:2500 subject:3800", WORKER, 10.1), 0)

    def test_chains_sent_longest_ago_are_forgotten_first(self) -> None:
        told = SentChains(max_chains=3)
        told.sent(POOL, FULL_PROMPT, WORKER, Instant(10.0))
        told.sent(POOL, KIND, WORKER, Instant(10.1))
        told.sent(POOL, SAME_PART_ELSEWHERE, WORKER, Instant(10.2))
        self.assertEqual(self.kept(told, "kind:2500 subject:3800", WORKER, 10.3), 2500)
        self.assertEqual(self.kept(told, "form:700 subject:3800", WORKER, 10.3), 4500)


if __name__ == "__main__":
    unittest.main()
