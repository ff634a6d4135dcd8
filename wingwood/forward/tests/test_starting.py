"""Calls at a router that can not serve yet (docs/DESIGN.md section 12.4).

While most of a fleet starts, calls reach routers without bundle or workers. They must wait a little, but neither so
long that the caller has no time left nor when the router has been up for long.
"""

from __future__ import annotations

import asyncio
import unittest

import msgspec

from simulation import World

from ...identifiers import Seconds
from ..caller_format import DefaultCallerFormat
from ..calls import CallerRequest
from ..formats import CallerFormat, Formats
from ..forward_options import ForwardOptions
from ..policies.starting import SERVING_RESERVE_SECONDS, STARTUP_SECONDS
from ..worker_format import DefaultWorkerFormat
from .fakes import CHAT, Caller, PathWorld, Reply, bundle_of, request, responds

WAIT = ForwardOptions().startup_wait


class CallersWithTimeout(DefaultCallerFormat):
    """A format in which every caller states the same timeout."""

    def __init__(self, timeout: Seconds) -> None:
        self._timeout = timeout

    def caller_timeout(self, request: CallerRequest) -> Seconds | None:
        return self._timeout


class StartingTest(unittest.TestCase):
    def start(self, caller_format: CallerFormat | None = None) -> PathWorld:
        """Starts a router whose bundle is not confirmed, and a worker that answers."""
        world = World(seed=21).__enter__()
        self.addCleanup(world.close)
        formats = Formats(caller=caller_format or DefaultCallerFormat(), worker=DefaultWorkerFormat())
        path = PathWorld(world, ForwardOptions(), formats=formats)
        path.bundle.serving = False
        path.worker("w1", responds(b"answer"))
        return path

    def reply_and_time(self, path: PathWorld, serves_after: float | None = None) -> tuple[Reply, float]:
        world = path.world

        async def run() -> tuple[Reply, float]:
            started = world.now
            caller = await path.send(request())
            if serves_after is not None:
                await asyncio.sleep(serves_after)
                path.bundle.serving = True
            reply = await caller.reply()
            return reply, reply.at - started

        return world.complete(run())

    def test_a_call_is_served_once_the_bundle_is_confirmed(self) -> None:
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

    def test_a_caller_with_little_time_is_refused_while_it_can_still_try_another_router(self) -> None:
        timeout = Seconds(1.0)
        reply, seconds = self.reply_and_time(self.start(CallersWithTimeout(timeout)))
        self.assertEqual(reply.status, 503)
        self.assertAlmostEqual(seconds, timeout - SERVING_RESERVE_SECONDS, delta=0.05)

    def test_a_call_does_not_wait_beyond_its_service_s_deadline(self) -> None:
        """A route's time limit was unknown to the wait for workers: its calls were held for 1.5 s (CONFIG)."""
        deadline = Seconds(0.6)
        path = self.start()
        path.bundle.bundle = bundle_of([msgspec.structs.replace(CHAT, deadline=deadline)])
        path.bundle.serving = True
        path.placement.workers = []
        reply, seconds = self.reply_and_time(path)
        self.assertEqual((reply.status, reply.json()["run"]), (503, "not-run"))
        self.assertAlmostEqual(seconds, deadline - SERVING_RESERVE_SECONDS, delta=0.05)

    def test_a_router_that_has_been_up_for_long_refuses_at_once(self) -> None:
        path = self.start()
        path.world.run(STARTUP_SECONDS + 0.1)
        reply, seconds = self.reply_and_time(path)
        self.assertEqual(reply.status, 503)
        self.assertLess(seconds, 0.05)

    def test_a_confirmation_that_is_lost_later_is_not_waited_for(self) -> None:
        path = self.start()
        path.bundle.serving = True
        self.assertEqual(path.call().status, 200)
        path.bundle.serving = False
        reply, seconds = self.reply_and_time(path)
        self.assertEqual(reply.status, 503)
        self.assertLess(seconds, 0.05)

    def test_a_call_ends_when_its_caller_disconnects(self) -> None:
        path = self.start()

        async def run() -> Caller:
            return await path.send(request())

        caller = path.world.complete(run())
        path.world.run(0.1)
        self.assertEqual(path.path.in_flight(), 1)
        caller.stream.close()
        path.world.run(0.1)
        self.assertEqual(path.path.in_flight(), 0)
        self.assertEqual(path.outcomes.reported, [])
