"""Pieces given away while the rest of their delta is still coming in."""

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

NOTHING, NEWEST = BundleVersion(0), BundleVersion(7)


def piece_at(offset: int, data: bytes = b"x" * 10) -> BundleChunk:
    return BundleChunk(True, NEWEST, 30, offset, data)


def asked_at(offset: int, to: BundleVersion = NOTHING, since: BundleVersion = NOTHING) -> FetchBundle:
    return FetchBundle(since, to, offset, accepts_compressed=True, latest_known=NEWEST)


class ChunkRelayTest(unittest.TestCase):
    def run_in_world(self, main: Any) -> None:
        """``main(context, chunk_relay)`` in a process of its own."""
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

    def test_a_piece_that_is_here_is_given_at_once(self) -> None:
        async def main(context: Context, chunk_relay: ChunkRelay) -> None:
            chunk_relay.add(chunk_relay.start(NOTHING, NEWEST), piece_at(0))
            self.assertEqual(await chunk_relay.wait_for_chunk(asked_at(0), Seconds(0.0)), piece_at(0))
            self.assertEqual(await chunk_relay.wait_for_chunk(asked_at(0, to=NEWEST), Seconds(0.0)), piece_at(0))

        self.run_in_world(main)

    def test_an_asker_waits_for_a_fetch_to_begin_and_for_its_next_piece(self) -> None:
        async def main(context: Context, chunk_relay: ChunkRelay) -> None:
            async def begin() -> None:
                incoming = chunk_relay.start(NOTHING, NEWEST)
                chunk_relay.add(incoming, piece_at(0))
                await context.clock.sleep(Seconds(0.2))
                chunk_relay.add(incoming, piece_at(10))

            started_at = context.clock.monotonic()
            context.tasks.spawn("begin", self.later(context, 0.1, begin()))
            self.assertEqual(await chunk_relay.wait_for_chunk(asked_at(0), Seconds(1.0)), piece_at(0))
            self.assertAlmostEqual(context.clock.monotonic() - started_at, 0.1, places=3)
            self.assertEqual(await chunk_relay.wait_for_chunk(asked_at(10, to=NEWEST), Seconds(1.0)), piece_at(10))
            self.assertAlmostEqual(context.clock.monotonic() - started_at, 0.3, places=3)

        self.run_in_world(main)

    def test_nothing_is_given_once_the_time_is_over(self) -> None:
        async def main(context: Context, chunk_relay: ChunkRelay) -> None:
            chunk_relay.add(chunk_relay.start(NOTHING, NEWEST), piece_at(0))
            started_at = context.clock.monotonic()
            self.assertIsNone(await chunk_relay.wait_for_chunk(asked_at(10, to=NEWEST), Seconds(0.5)))
            self.assertAlmostEqual(context.clock.monotonic() - started_at, 0.5, places=3)

        self.run_in_world(main)

    def test_who_has_pieces_of_a_fetch_that_ended_learns_so_at_once(self) -> None:
        async def main(context: Context, chunk_relay: ChunkRelay) -> None:
            incoming = chunk_relay.start(NOTHING, NEWEST)

            async def end() -> None:
                chunk_relay.end(incoming)

            started_at = context.clock.monotonic()
            context.tasks.spawn("end", self.later(context, 0.1, end()))
            self.assertIsNone(await chunk_relay.wait_for_chunk(asked_at(10, to=NEWEST), Seconds(1.0)))
            self.assertAlmostEqual(context.clock.monotonic() - started_at, 0.1, places=3)

        self.run_in_world(main)

    def test_pieces_of_another_delta_are_not_given(self) -> None:
        async def main(context: Context, chunk_relay: ChunkRelay) -> None:
            chunk_relay.add(chunk_relay.start(NOTHING, NEWEST), piece_at(0))
            others = (asked_at(0, since=BundleVersion(3)), asked_at(0, to=BundleVersion(8)))
            given = await asyncio.gather(*(chunk_relay.wait_for_chunk(asked, Seconds(0.1)) for asked in others))
            self.assertEqual(given, [None, None])

        self.run_in_world(main)

    def test_the_end_of_an_earlier_fetch_does_not_end_the_present_one(self) -> None:
        async def main(context: Context, chunk_relay: ChunkRelay) -> None:
            former = chunk_relay.start(NOTHING, NEWEST)
            chunk_relay.add(chunk_relay.start(NOTHING, NEWEST), piece_at(0))
            chunk_relay.end(former)
            self.assertEqual(await chunk_relay.wait_for_chunk(asked_at(0), Seconds(0.0)), piece_at(0))

        self.run_in_world(main)
