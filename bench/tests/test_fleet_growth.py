"""Tests that the growth bench counts the traffic of daemons of both roles.

A counter read from the wrong messenger would show no traffic, or the same traffic with and without calls.
"""

from __future__ import annotations

import unittest

from ..fleet_growth import measure


class FleetGrowthTest(unittest.TestCase):
    def test_idle_fleet_sends_little_and_calls_add_traffic(self) -> None:
        idle = measure(routers=6, traffic=0.0, seconds=2.0, seed=1)
        busy = measure(routers=6, traffic=0.5, seconds=2.0, seed=1)
        for growth in (idle, busy):
            for role in (growth.router, growth.control):
                self.assertGreater(role.bytes_mean, 0.0)
                self.assertLessEqual(role.bytes_mean, role.bytes_max)
                self.assertLessEqual(role.messages_mean, role.messages_max)
        self.assertLess(idle.router.bytes_mean, 10_000.0)
        self.assertGreater(busy.router.bytes_mean, idle.router.bytes_mean)


if __name__ == "__main__":
    unittest.main()
