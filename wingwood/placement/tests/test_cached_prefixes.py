"""Shared prefixes and the eviction model, where callers report no sizes (docs/DESIGN.md section 11.3)."""

from __future__ import annotations

import unittest

from wingwood.identifiers import Instant, PoolName, WorkerInstance
from wingwood.placement.cached_prefixes import EvictionModel, SharedPrefixes

POOL = PoolName("chat")
LONG_AGO = Instant(-1e9)
WORKER, OTHER = WorkerInstance("w1"), WorkerInstance("w2")


class SharedPrefixesTest(unittest.TestCase):
    def test_size_of_a_shared_part_is_the_smallest_prompt_of_at_least_two_sessions(self) -> None:
        """A prefix seen with a single session may be that session's own text."""
        shared = SharedPrefixes()
        shared.sent(POOL, ("lease", "a"), 1, 3400, WORKER, Instant(0.0))
        self.assertEqual(shared.tokens(POOL, ("lease", "b")), 0)
        shared.sent(POOL, ("lease", "b"), 2, 3100, WORKER, Instant(1.0))
        self.assertEqual(shared.tokens(POOL, ("lease", "c")), 3100)
        self.assertEqual(shared.tokens(POOL, ("other", "c")), 0)

    def test_part_is_cached_where_it_was_sent_until_the_model_counts_it_as_evicted(self) -> None:
        """A longer prefix falls back to its longest part that was sent to the same worker."""
        shared = SharedPrefixes()
        for key, session in enumerate("ab"):
            shared.sent(POOL, ("root", "lease", session), key, 3000, WORKER, Instant(5.0))
        self.assertEqual(shared.cached_tokens(POOL, ("root", "lease", "c"), WORKER, LONG_AGO), 3000)
        self.assertEqual(shared.cached_tokens(POOL, ("root", "x", "c"), WORKER, LONG_AGO), 3000)
        self.assertEqual(shared.cached_tokens(POOL, ("root", "lease", "c"), OTHER, LONG_AGO), 0)
        self.assertEqual(shared.cached_tokens(POOL, ("root", "lease", "c"), WORKER, Instant(6.0)), 0)
        shared.remove_worker(WORKER)
        self.assertEqual(shared.cached_tokens(POOL, ("root", "lease", "c"), WORKER, LONG_AGO), 0)

    def test_demand_decays(self) -> None:
        shared = SharedPrefixes()
        for step in range(400):
            shared.sent(POOL, ("lease", str(step)), step, 3000, WORKER, Instant(step * 0.25))
        at_end = shared.demand(POOL, ("lease", "x"), Instant(100.0))
        self.assertAlmostEqual(at_end, 4.0, delta=0.4)
        self.assertAlmostEqual(shared.demand(POOL, ("lease", "x"), Instant(110.0)), at_end / 2, delta=0.1)


class EvictionModelTest(unittest.TestCase):
    def test_least_recently_used_sessions_are_evicted_first(self) -> None:
        model = EvictionModel()
        for step in range(10):
            model.record_use(POOL, step, 100, Instant(step), 1000.0)
        self.assertLess(model.cached_since(POOL), 0.0)
        model.record_use(POOL, 0, 100, Instant(10.0), 1000.0)
        self.assertLess(model.cached_since(POOL), 0.0)
        model.record_use(POOL, 11, 250, Instant(11.0), 1000.0)
        self.assertEqual(model.cached_since(POOL), 3.0)
        self.assertLess(model.cached_since(PoolName("other")), 0.0)


if __name__ == "__main__":
    unittest.main()
