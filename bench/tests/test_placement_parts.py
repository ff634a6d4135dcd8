"""Tests the fakes that placement is measured with.

A fake registry that drops a count of the other routers would let the benches place on too low loads.
"""

from __future__ import annotations

import unittest

from wingwood.identifiers import WorkerInstance
from wingwood.registry.protocols import ObservedLoad

from ..placement_parts import BenchRegistry

WORKER = WorkerInstance("w0")


class BenchRegistryTest(unittest.TestCase):
    def test_observed_load_of_other_routers_is_summed_in_every_field(self) -> None:
        registries: list[BenchRegistry] = []
        for _ in range(3):
            BenchRegistry(lambda: (), registries)
        for number, registry in enumerate(registries):
            part = ObservedLoad(running=1.0, expected=2.0, prefill=3.0, streams=float(number))
            registry.register_counter(lambda pool, part=part: {WORKER: part})  # type: ignore[misc]
        registries[0].refresh_running()
        self.assertEqual(registries[0].observed_load_of_others(WORKER), ObservedLoad(2.0, 4.0, 6.0, 3.0))


if __name__ == "__main__":
    unittest.main()
