"""Tests the engine model of the placement benches: its cache, its slots, and the delay that prefills cause.

A model that prefilled cached parts again, or ran more turns than it has slots, would make the compared policies look
better or worse than they are.
"""

from __future__ import annotations

import asyncio
import itertools
import unittest
from random import Random

from simulation.virtual_time import VirtualTimeLoop
from wingwood.identifiers import Zone
from wingwood.placement.protocols import PromptPart

from ..engine_model import Engine, EngineWorker, Stream

SHARED = (PromptPart("kind", 2500), PromptPart("subject", 3800))
ENGINE = Engine(
    slots=4, cache_tokens=30_000, step_seconds=0.001, step_seconds_per_stream=0.0, prefill_seconds_per_token=1 / 100_000
)


class EngineModelTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = VirtualTimeLoop(Random(1))
        asyncio.set_event_loop(self.loop)
        self.addCleanup(self.loop.close)
        self.worker = EngineWorker(0, ENGINE, Zone("a"))

    def run_one(self, parts: tuple[PromptPart, ...], prompt: int, generate: int = 34) -> tuple[float, Stream]:
        """Runs one turn to its end and returns the seconds to its first event, and the stream."""
        started_at = self.loop.time()
        stream = self.worker.submit(parts, prompt, generate)
        self.loop.run_until_complete(stream.end)
        return stream.events[0] - started_at, stream

    def test_cached_parts_are_not_prefilled_again(self) -> None:
        cold, _ = self.run_one(SHARED, 8300)
        warm, stream = self.run_one(SHARED, 8300)
        self.assertEqual(stream.cached, 6300)
        self.assertAlmostEqual(cold - warm, 6300 / 100_000, delta=0.005)
        _, sibling = self.run_one((SHARED[0], PromptPart("another", 100)), 2700)
        self.assertEqual(sibling.cached, 2500)
        _, elsewhere = self.run_one((PromptPart("form", 10), SHARED[1]), 3900)
        self.assertEqual(elsewhere.cached, 0)

    def test_least_recently_used_parts_are_evicted_first(self) -> None:
        for number in range(3):
            self.run_one((PromptPart(f"p{number}", 9000),), 9000)
        self.run_one((PromptPart("p0", 9000),), 9000)
        self.run_one((PromptPart("p3", 9000),), 9000)
        self.assertEqual(self.worker.cached((PromptPart("p0", 9000),)), 9000)
        self.assertEqual(self.worker.cached((PromptPart("p1", 9000),)), 0)

    def test_prefills_delay_running_streams(self) -> None:
        stream = self.worker.submit((), 10, 340)
        self.loop.run_until_complete(stream.first)
        self.loop.run_until_complete(self.worker.submit((), 10_000, 1).end)
        self.loop.run_until_complete(stream.end)
        gaps = [after - before for before, after in itertools.pairwise(stream.events)]
        self.assertAlmostEqual(max(gaps), 0.034 + 0.1, delta=0.01)
        self.assertAlmostEqual(min(gaps), 0.034, delta=0.005)
        self.assertEqual(len(stream.events), 10)

    def test_no_more_streams_run_than_there_are_slots(self) -> None:
        streams = [self.worker.submit((), 100, 34) for _ in range(5)]
        self.assertEqual(self.worker.stream_count, 5)
        self.loop.run_until_complete(streams[-1].end)
        self.assertGreater(streams[4].events[0], streams[3].events[0] + 0.03)

    def test_frozen_worker_continues_its_stream_after_resuming(self) -> None:
        self.worker.up = False
        stream = self.worker.submit((), 100, 34)
        self.loop.run_until_complete(asyncio.sleep(3.0))
        self.assertFalse(stream.first.done())
        self.worker.resume()
        self.loop.run_until_complete(stream.end)


if __name__ == "__main__":
    unittest.main()
