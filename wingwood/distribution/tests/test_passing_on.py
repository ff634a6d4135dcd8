"""Pieces given away while the rest of their delta is still coming in."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Coroutine
from typing import Any

from simulation import World

from ...context.protocols import Context
from ...identifiers import BundleVersion, Seconds
from ..messages import BundleChunk, FetchBundle
from ..passing_on import PassingOn

NOTHING, NEWEST = BundleVersion(0), BundleVersion(7)


def piece_at(offset: int, data: bytes = b"x" * 10) -> BundleChunk:
    return BundleChunk(True, NEWEST, 30, offset, data)


def asked_at(offset: int, to: BundleVersion = NOTHING, since: BundleVersion = NOTHING) -> FetchBundle:
    return FetchBundle(since, to, offset, unpacks=True, wanted=NEWEST)


class PassingOnTest(unittest.TestCase):
    def run_in_world(self, main: Any) -> None:
        """``main(context, passing_on)`` in a process of its own."""
        done: list[bool] = []

        async def process(context: Context) -> None:
            await main(context, PassingOn(context.clock))
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
        async def main(context: Context, passing_on: PassingOn) -> None:
            passing_on.add(passing_on.begin(NOTHING, NEWEST), piece_at(0))
            self.assertEqual(await passing_on.piece(asked_at(0), Seconds(0.0)), piece_at(0))
            self.assertEqual(await passing_on.piece(asked_at(0, to=NEWEST), Seconds(0.0)), piece_at(0))

        self.run_in_world(main)

    def test_an_asker_waits_for_a_fetch_to_begin_and_for_its_next_piece(self) -> None:
        async def main(context: Context, passing_on: PassingOn) -> None:
            async def begin() -> None:
                incoming = passing_on.begin(NOTHING, NEWEST)
                passing_on.add(incoming, piece_at(0))
                await context.clock.sleep(Seconds(0.2))
                passing_on.add(incoming, piece_at(10))

            begun = context.clock.monotonic()
            context.tasks.spawn("begin", self.later(context, 0.1, begin()))
            self.assertEqual(await passing_on.piece(asked_at(0), Seconds(1.0)), piece_at(0))
            self.assertAlmostEqual(context.clock.monotonic() - begun, 0.1, places=3)
            self.assertEqual(await passing_on.piece(asked_at(10, to=NEWEST), Seconds(1.0)), piece_at(10))
            self.assertAlmostEqual(context.clock.monotonic() - begun, 0.3, places=3)

        self.run_in_world(main)

    def test_nothing_is_given_once_the_time_is_over(self) -> None:
        async def main(context: Context, passing_on: PassingOn) -> None:
            passing_on.add(passing_on.begin(NOTHING, NEWEST), piece_at(0))
            begun = context.clock.monotonic()
            self.assertIsNone(await passing_on.piece(asked_at(10, to=NEWEST), Seconds(0.5)))
            self.assertAlmostEqual(context.clock.monotonic() - begun, 0.5, places=3)

        self.run_in_world(main)

    def test_who_has_pieces_of_a_fetch_that_ended_learns_so_at_once(self) -> None:
        async def main(context: Context, passing_on: PassingOn) -> None:
            incoming = passing_on.begin(NOTHING, NEWEST)

            async def end() -> None:
                passing_on.end(incoming)

            begun = context.clock.monotonic()
            context.tasks.spawn("end", self.later(context, 0.1, end()))
            self.assertIsNone(await passing_on.piece(asked_at(10, to=NEWEST), Seconds(1.0)))
            self.assertAlmostEqual(context.clock.monotonic() - begun, 0.1, places=3)

        self.run_in_world(main)

    def test_pieces_of_another_delta_are_not_given(self) -> None:
        async def main(context: Context, passing_on: PassingOn) -> None:
            passing_on.add(passing_on.begin(NOTHING, NEWEST), piece_at(0))
            others = (asked_at(0, since=BundleVersion(3)), asked_at(0, to=BundleVersion(8)))
            given = await asyncio.gather(*(passing_on.piece(asked, Seconds(0.1)) for asked in others))
            self.assertEqual(given, [None, None])

        self.run_in_world(main)

    def test_the_end_of_an_earlier_fetch_does_not_end_the_present_one(self) -> None:
        async def main(context: Context, passing_on: PassingOn) -> None:
            former = passing_on.begin(NOTHING, NEWEST)
            passing_on.add(passing_on.begin(NOTHING, NEWEST), piece_at(0))
            passing_on.end(former)
            self.assertEqual(await passing_on.piece(asked_at(0), Seconds(0.0)), piece_at(0))

        self.run_in_world(main)
