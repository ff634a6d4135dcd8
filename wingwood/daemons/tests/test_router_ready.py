"""Tests that a router which reports ready can serve (docs/DESIGN.md section 15).

A restarted router that reported ready before it knew the workers of every pool would refuse calls.
"""

from __future__ import annotations

import unittest
from typing import cast

from simulation.fleet import Fleet, network_shape, shape_named
from simulation.world import World

from ..router import RouterDaemon


class RouterReadyTest(unittest.TestCase):
    def test_restarted_router_is_ready_only_with_workers_of_every_pool(self) -> None:
        shape = shape_named("demo")
        for seed in range(3):
            with World(seed, network_shape(shape)) as world:
                fleet = Fleet(world, shape)
                fleet.start()
                fleet.put_in_force()
                fleet.set_traffic(0.0)
                world.run(3.0)
                for number in range(1, shape.routers + 1):
                    name = f"router-{number}"
                    world.kill(name)
                    world.run(3.0)
                    world.restart(name)

                    def is_ready(name: str = name) -> bool:
                        return cast(RouterDaemon, fleet.daemons[name]).health().ready  # noqa: B023

                    previous_daemon = fleet.daemons[name]
                    world.wait_for(lambda: fleet.daemons[name] is not previous_daemon, 1.0, every=0.001)  # noqa: B023
                    self.assertTrue(world.wait_for(is_ready, 10.0, every=0.002), (seed, name))
                    registry = cast(RouterDaemon, fleet.daemons[name]).registry
                    known = {pool.name: len(registry.ready(pool.name)) for pool in shape.pools}  # type: ignore[arg-type]
                    self.assertEqual(known, {pool.name: pool.workers for pool in shape.pools}, (seed, name))
