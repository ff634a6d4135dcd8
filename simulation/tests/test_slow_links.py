"""A fleet whose routers have slow links becomes ready in time (docs/DESIGN.md section 10.4).

The test guards against reports of workers that are repeated so often that they fill a slow link.
"""

from __future__ import annotations

import unittest

import msgspec

from simulation.fleet import Fleet, network_shape, shape_named
from simulation.world import World

RUN_EACH_ALONE = True
ROUTERS, CONTROLS, WORKERS = 100, 10, 24
FAST_MACHINES = 5
FAST_LINK, SLOW_LINK = 12_500_000.0, 450_000.0
"""Bytes a second; repeated worker lists between the routers of a zone once needed more than the slow link has."""
FORMED_WITHIN = 16.0
"""Seconds from the start of the machines until the fleet must be ready for traffic."""


class SlowLinksTest(unittest.TestCase):
    def test_a_hundred_routers_know_their_workers_in_time(self) -> None:
        usual = shape_named("despensa")
        pools = tuple(
            msgspec.structs.replace(pool, workers=WORKERS if pool.kind == "model" else 5) for pool in usual.pools
        )
        shape = msgspec.structs.replace(
            usual, zones=("a", "b", "c", "d", "e"), routers=ROUTERS, controls=CONTROLS, pools=pools
        )
        with World(1, network_shape(shape)) as world:
            fleet = Fleet(world, shape)
            fleet.start()
            for number in range(1, ROUTERS + 1):
                fast = number <= FAST_MACHINES
                world.network.bandwidth[f"front-{number}"] = FAST_LINK if fast else SLOW_LINK
            fleet.put_in_force(FORMED_WITHIN)
            self.assertEqual(world.broken_invariants, [])
