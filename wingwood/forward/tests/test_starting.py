"""Calls at a router that may not serve yet (docs/DESIGN.md section 12.4)."""

from __future__ import annotations

import asyncio
import unittest

from simulation import World

from ...identifiers import Seconds
from ..caller_format import OwnCallerFormat
from ..formats import CallerFormat, Formats
from ..limits import PathLimits
from ..policies.starting import STARTING, TIME_TO_SERVE
from ..protocols import IncomingCall
from ..worker_format import OwnWorkerFormat
from .stand_ins import Caller, PathWorld, Reply, request, says

WAIT = PathLimits().starting_wait


class PatientCallers(OwnCallerFormat):
    """Callers that tell how long they wait."""

    def __init__(self, patience: Seconds) -> None:
        self._patience = patience

    def patience(self, call: IncomingCall) -> Seconds | None:
        return self._patience


class StartingTest(unittest.TestCase):
    def start(self, caller_format: CallerFormat | None = None) -> PathWorld:
        """A router without a bundle, and a worker that answers."""
        world = World(seed=21).__enter__()
        self.addCleanup(world.close)
        formats = Formats(caller=caller_format or OwnCallerFormat(), worker=OwnWorkerFormat())
        path = PathWorld(world, PathLimits(), formats=formats)
        path.bundle.serving = False
        path.worker("w1", says(b"answer"))
        return path

    def reply_and_time(self, path: PathWorld, serves_after: float | None = None) -> tuple[Reply, float]:
        world = path.world

        async def run() -> tuple[Reply, float]:
            begun = world.now
            caller = await path.send(request())
            if serves_after is not None:
                await asyncio.sleep(serves_after)
                path.bundle.serving = True
            reply = await caller.reply()
            return reply, reply.at - begun

        return world.complete(run())

    def test_a_call_is_served_once_the_bundle_is_proven(self) -> None:
        reply, seconds = self.reply_and_time(self.start(), serves_after=0.8)
        self.assertEqual((reply.status, reply.body()), (200, b"answer"))
        self.assertLess(seconds, 0.9)

    def test_a_call_waits_for_the_first_workers_too(self) -> None:
        path = self.start()
        path.bundle.serving = True
        known, path.placement.workers = path.placement.workers, []
        world = path.world

        async def run() -> Reply:
            caller = await path.send(request())
            await asyncio.sleep(0.3)
            path.placement.workers = known
            return await caller.reply()

        self.assertEqual(world.complete(run()).status, 200)

    def test_a_call_is_refused_as_not_run_when_the_bundle_does_not_come(self) -> None:
        reply, seconds = self.reply_and_time(self.start())
        self.assertEqual((reply.status, reply.json()["code"]), (503, "bundle-not-proven"))
        self.assertEqual(reply.json()["run"], "not-run")
        self.assertAlmostEqual(seconds, WAIT, delta=0.05)

    def test_a_caller_with_little_time_is_told_while_it_can_still_go_elsewhere(self) -> None:
        patience = Seconds(1.0)
        reply, seconds = self.reply_and_time(self.start(PatientCallers(patience)))
        self.assertEqual(reply.status, 503)
        self.assertAlmostEqual(seconds, patience - TIME_TO_SERVE, delta=0.05)

    def test_a_router_that_has_been_up_for_long_refuses_at_once(self) -> None:
        path = self.start()
        path.world.run(STARTING + 0.1)
        reply, seconds = self.reply_and_time(path)
        self.assertEqual(reply.status, 503)
        self.assertLess(seconds, 0.05)

    def test_a_proof_that_is_lost_later_is_not_waited_for(self) -> None:
        path = self.start()
        path.bundle.serving = True
        self.assertEqual(path.call().status, 200)
        path.bundle.serving = False
        reply, seconds = self.reply_and_time(path)
        self.assertEqual(reply.status, 503)
        self.assertLess(seconds, 0.05)

    def test_a_caller_that_leaves_is_forgotten(self) -> None:
        path = self.start()

        async def run() -> Caller:
            return await path.send(request())

        caller = path.world.complete(run())
        path.world.run(0.1)
        self.assertEqual(path.path.in_flight(), 1)
        caller.stream.close()
        path.world.run(0.1)
        self.assertEqual(path.path.in_flight(), 0)
        self.assertEqual(path.outcomes.told, [])
