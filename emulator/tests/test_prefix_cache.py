"""Tests which parts of prompts the cache of an emulated worker holds (docs/DESIGN.md section 17.1)."""

from __future__ import annotations

import unittest

from ..prefix_cache import PrefixCache, PromptPart


def prompt(*parts: tuple[str, int]) -> list[PromptPart]:
    return [PromptPart(name, tokens) for name, tokens in parts]


class CachedTokens(unittest.TestCase):
    def test_a_part_counts_only_after_completely_cached_parts(self) -> None:
        cache = PrefixCache(1000)
        cache.store(prompt(("shared", 100), ("session", 50)))
        self.assertEqual(cache.cached_tokens(prompt(("shared", 100), ("session", 60))), 150)
        self.assertEqual(cache.cached_tokens(prompt(("shared", 120), ("session", 50))), 100)
        self.assertEqual(cache.cached_tokens(prompt(("other", 100), ("session", 50))), 0)

    def test_later_parts_are_evicted_before_the_earlier_parts_they_need(self) -> None:
        cache = PrefixCache(160)
        cache.store(prompt(("shared", 100), ("one", 50)))
        cache.store(prompt(("apart", 40)))
        self.assertEqual(cache.cached_tokens(prompt(("shared", 100), ("one", 50))), 100)
        self.assertEqual((cache.used, cache.evicted), (140, 50))

    def test_each_use_renews_a_part(self) -> None:
        cache = PrefixCache(100)
        for name in ("one", "two", "one", "three"):
            cache.store(prompt((name, 40)))
        self.assertEqual([cache.cached_tokens(prompt((name, 40))) for name in ("one", "two", "three")], [40, 0, 40])
