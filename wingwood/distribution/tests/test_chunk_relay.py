"""Tests that chunks are relayed while the rest of their delta is still being received.

They guard against requests that wait longer than they should, and against chunks of the wrong delta.
"""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Coroutine
from typing import Any

from simulation import World

from ...context.protocols import Context
from ...identifiers import BundleVersion, Seconds
from ..chunk_relay import ChunkRelay
from ..messages import BundleChunk, FetchBundle

NOTHING, LATEST = BundleVersion(0), BundleVersion(7)


def chunk_at(offset: int, data: bytes = b"x" * 10) -> BundleChunk:
    return BundleChunk(True, LATEST, 30, offset, data)


def request_at(offset: int, to: BundleVersion = NOTHING, since: BundleVersion = NOTHING) -> FetchBundle:
    return FetchBundle(since, to, offset, accepts_compressed=True, latest_known=LATEST)


class ChunkRelayTest(unittest.TestCase):
    def run_in_world(self, main: Any) -> None:
        """Runs ``main(context, chunk_relay)`` in a simulated process and checks that it ends."""
        done: list[bool] = []

        async def process(context: Context) -> None:
            await main(context, ChunkRelay(context.clock))
            done.append(True)

        with World(seed=1) as world:
            world.machine("r1", "a")
            world.start("r1", process)
            world.run(10.0)
        self.assertEqual(done, [True])

    async def later(self, context: Context, seconds: float, step: Coroutine[Any, Any, None]) -> None:
        await context.clock.sleep(Seconds(seconds))
        await step

    def test_stored_chunk_is_returned_at_once(self) -> None:
        async def main(context: Context, chunk_relay: ChunkRelay) -> None:
            chunk_relay.add(chunk_relay.start(NOTHING, LATEST), chunk_at(0))
            self.assertEqual(await chunk_relay.wait_for_chunk(request_at(0), Seconds(0.0)), chunk_at(0))
            self.assertEqual(await chunk_relay.wait_for_chunk(request_at(0, to=LATEST), Seconds(0.0)), chunk_at(0))

        self.run_in_world(main)

    def test_request_waits_for_a_fetch_to_start_and_for_its_next_chunk(self) -> None:
        async def main(context: Context, chunk_relay: ChunkRelay) -> None:
            async def begin() -> None:
                incoming = chunk_relay.start(NOTHING, LATEST)
                chunk_relay.add(incoming, chunk_at(0))
                await context.clock.sleep(Seconds(0.2))
                chunk_relay.add(incoming, chunk_at(10))

            started_at = context.clock.monotonic()
            context.tasks.spawn("begin", self.later(context, 0.1, begin()))
            self.assertEqual(await chunk_relay.wait_for_chunk(request_at(0), Seconds(1.0)), chunk_at(0))
            self.assertAlmostEqual(context.clock.monotonic() - started_at, 0.1, places=3)
            self.assertEqual(await chunk_relay.wait_for_chunk(request_at(10, to=LATEST), Seconds(1.0)), chunk_at(10))
            self.assertAlmostEqual(context.clock.monotonic() - started_at, 0.3, places=3)

        self.run_in_world(main)

    def test_request_returns_nothing_after_its_timeout(self) -> None:
        async def main(context: Context, chunk_relay: ChunkRelay) -> None:
            chunk_relay.add(chunk_relay.start(NOTHING, LATEST), chunk_at(0))
            started_at = context.clock.monotonic()
            self.assertIsNone(await chunk_relay.wait_for_chunk(request_at(10, to=LATEST), Seconds(0.5)))
            self.assertAlmostEqual(context.clock.monotonic() - started_at, 0.5, places=3)

        self.run_in_world(main)

    def test_request_for_a_later_chunk_of_an_ended_fetch_returns_at_once(self) -> None:
        async def main(context: Context, chunk_relay: ChunkRelay) -> None:
            incoming = chunk_relay.start(NOTHING, LATEST)

            async def end() -> None:
                chunk_relay.end(incoming)

            started_at = context.clock.monotonic()
            context.tasks.spawn("end", self.later(context, 0.1, end()))
            self.assertIsNone(await chunk_relay.wait_for_chunk(request_at(10, to=LATEST), Seconds(1.0)))
            self.assertAlmostEqual(context.clock.monotonic() - started_at, 0.1, places=3)

        self.run_in_world(main)

    def test_chunks_of_another_delta_are_not_returned(self) -> None:
        async def main(context: Context, chunk_relay: ChunkRelay) -> None:
            chunk_relay.add(chunk_relay.start(NOTHING, LATEST), chunk_at(0))
            others = (request_at(0, since=BundleVersion(3)), request_at(0, to=BundleVersion(8)))
            given = await asyncio.gather(*(chunk_relay.wait_for_chunk(request, Seconds(0.1)) for request in others))
            self.assertEqual(given, [None, None])

        self.run_in_world(main)

    def test_end_of_an_earlier_fetch_does_not_end_the_current_one(self) -> None:
        async def main(context: Context, chunk_relay: ChunkRelay) -> None:
            former = chunk_relay.start(NOTHING, LATEST)
            chunk_relay.add(chunk_relay.start(NOTHING, LATEST), chunk_at(0))
            chunk_relay.end(former)
            self.assertEqual(await chunk_relay.wait_for_chunk(request_at(0), Seconds(0.0)), chunk_at(0))

        self.run_in_world(main)
