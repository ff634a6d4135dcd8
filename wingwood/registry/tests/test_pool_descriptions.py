"""A bundle's cache size must apply to exactly the workers that do not announce their own."""

from __future__ import annotations

import unittest

from ...bundle.model import PoolShare, Service
from ...daemons.router import pools_of
from ...identifiers import Address, Instant, PoolName, ServiceName, WorkerInstance, Zone
from ..pool_table import PoolTable
from ..protocols import Worker

POOL = PoolName("model")


def worker(name: str, cache_tokens: int = 0) -> Worker:
    return Worker(
        instance=WorkerInstance(name),
        address=Address("10.0.0.1", 8000 + len(name)),
        pool=POOL,
        zone=Zone("a"),
        slots=12,
        cache_tokens=cache_tokens,
    )


class PoolDescriptionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = PoolTable(POOL)
        self.table.apply_announcement(worker("w"), Instant(1.0))
        self.table.apply_announcement(worker("announced", 5_000), Instant(1.0))

    def caches(self) -> dict[str, int]:
        return {str(each.instance): each.cache_tokens for each in self.table.ready()}

    def test_cache_size_comes_from_the_pool_unless_the_worker_announces_its_own(self) -> None:
        self.assertEqual(self.caches(), {"announced": 5_000, "w": 0})
        self.table.set_default_cache_tokens(232_000)
        self.assertEqual(self.caches(), {"announced": 5_000, "w": 232_000})
        self.assertEqual({each.cache_tokens for each in self.table.active()}, {5_000, 232_000})

    def test_later_bundle_changes_the_cache_size(self) -> None:
        self.table.set_default_cache_tokens(232_000)
        self.table.set_default_cache_tokens(872_000)
        self.assertEqual(self.caches()["w"], 872_000)

    def test_pools_in_the_split_of_a_service_are_followed(self) -> None:
        split = (PoolShare(POOL, 9), PoolShare(PoolName("canary"), 1))
        services = [
            Service(name=ServiceName("chat"), pool=POOL, split=split),
            Service(name=ServiceName("card"), pool=PoolName("cards")),
        ]
        self.assertEqual(pools_of(services), ["canary", "cards", "model"])
