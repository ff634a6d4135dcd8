"""Tests that a router's metrics contain its state and its placement decisions (docs/DESIGN.md section 15.4)."""

from __future__ import annotations

import unittest
from typing import cast

from prometheus_client import generate_latest

from simulation.fleet import Fleet, network_shape, shape_named
from simulation.world import World

from ..router import RouterDaemon


class RouterMetricsTest(unittest.TestCase):
    def test_scrape_contains_the_state_and_the_placements(self) -> None:
        shape = shape_named("demo")
        with World(2, network_shape(shape)) as world:
            fleet = Fleet(world, shape)
            fleet.start()
            fleet.put_in_force()
            fleet.set_traffic(1.0)
            world.run(12.0)
            scraped: dict[str, str] = {}

            async def scrape(name: str) -> None:
                scraped[name] = generate_latest(cast(RouterDaemon, fleet.daemons[name]).metrics).decode()

            for name in fleet.names("router"):
                world.spawn(world.processes[name], scrape(name), "test")
            self.assertTrue(world.wait_for(lambda: len(scraped) == shape.routers, 1.0))
        values = [
            dict(line.rsplit(" ", 1) for line in text.splitlines() if line[0] != "#") for text in scraped.values()
        ]
        for metrics in values:
            self.assertEqual(float(metrics["wingwood_ready"]), 1.0)
            self.assertEqual(float(metrics["wingwood_bundle_version"]), 1.0)
            self.assertLess(float(metrics["wingwood_bundle_proof_age_seconds"]), 2.0)
            self.assertEqual(float(metrics["wingwood_members"]), shape.routers + shape.controls)
        self.assertGreater(
            sum(float(metrics.get('wingwood_placement_total{what="award"}', 0)) for metrics in values), 0
        )
