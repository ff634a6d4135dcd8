"""Chains of prompt parts and the workers that probably cache them (docs/DESIGN.md section 11.3)."""

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


class SentChainsTest(unittest.TestCase):
    def cached(
        self, sent_chains: SentChains, parts: str, instance: WorkerInstance, at: float, cache_retention: float = 5.0
    ) -> float:
        known = sent_chains.known(POOL, parts_of(parts), Instant(at))
        return known.cached_tokens(instance, Seconds(cache_retention), 10 / 9)

    def test_chains_are_the_beginnings_of_a_prompt(self) -> None:
        self.assertEqual(list(chains(FULL_PROMPT)), [(("kind",), 2500), (("kind", "subject"), 6300)])

    def test_part_counts_as_cached_only_after_the_same_preceding_parts(self) -> None:
        """The same part id after other parts stands for other text, which no cache holds."""
        sent_chains = SentChains()
        sent_chains.sent(POOL, FULL_PROMPT, WORKER, Instant(10.0))
        self.assertEqual(self.cached(sent_chains, "kind:2500 subject:3800", WORKER, 11.0), 6300)
        self.assertEqual(self.cached(sent_chains, "kind:2500 another:4000", WORKER, 11.0), 2500)
        self.assertEqual(self.cached(sent_chains, "form:700 subject:3800", WORKER, 11.0), 0)
        self.assertEqual(self.cached(sent_chains, "kind:2500 subject:3800", OTHER, 11.0), 0)

    def test_unused_part_is_cached_only_for_the_retention_time(self) -> None:
        """A part that is used again through a sibling stays cached longer than the part after it."""
        sent_chains = SentChains()
        sent_chains.sent(POOL, FULL_PROMPT, WORKER, Instant(10.0))
        sent_chains.sent(POOL, SIBLING, WORKER, Instant(14.0))
        self.assertEqual(self.cached(sent_chains, "kind:2500 subject:3800", WORKER, 14.9), 6300)
        self.assertEqual(self.cached(sent_chains, "kind:2500 subject:3800", WORKER, 16.0), 2500)
        self.assertEqual(self.cached(sent_chains, "kind:2500 subject:3800", WORKER, 20.0), 0)

    def test_chain_in_high_demand_is_probably_cached_at_workers_that_other_routers_chose(self) -> None:
        """This router does not see what other routers send, so it infers that from its own rate."""
        sent_chains = SentChains()
        for step in range(40):
            sent_chains.sent(POOL, FULL_PROMPT, WORKER, Instant(10.0 + step * 0.25))
        self.assertGreater(self.cached(sent_chains, "kind:2500 subject:3800", OTHER, 20.0), 6000)
        self.assertAlmostEqual(sent_chains.demand(POOL, FULL_PROMPT, Instant(20.0)), 3.0, delta=0.5)
        self.assertEqual(sent_chains.demand(POOL, SIBLING, Instant(20.0)), 0.0)

    def test_removed_worker_caches_nothing(self) -> None:
        sent_chains = SentChains()
        sent_chains.sent(POOL, FULL_PROMPT, WORKER, Instant(10.0))
        sent_chains.remove_worker(WORKER)
        self.assertEqual(self.cached(sent_chains, "kind:2500 subject:3800", WORKER, 10.1), 0)

    def test_least_recently_sent_chains_are_dropped_first(self) -> None:
        sent_chains = SentChains(max_chains=3)
        sent_chains.sent(POOL, FULL_PROMPT, WORKER, Instant(10.0))
        sent_chains.sent(POOL, KIND, WORKER, Instant(10.1))
        sent_chains.sent(POOL, SAME_PART_ELSEWHERE, WORKER, Instant(10.2))
        self.assertEqual(self.cached(sent_chains, "kind:2500 subject:3800", WORKER, 10.3), 2500)
        self.assertEqual(self.cached(sent_chains, "form:700 subject:3800", WORKER, 10.3), 4500)


if __name__ == "__main__":
    unittest.main()
