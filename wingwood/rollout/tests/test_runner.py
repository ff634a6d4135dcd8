"""Tests of the runner of staged roll-outs (docs/DESIGN.md section 19.4)."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable
from random import Random

from returns.result import Failure, Result, Success

from simulation.virtual_time import VirtualTimeLoop

from ...bundle.canonical import canonical_json
from ...bundle.model import OrderOutcome, Rollout
from ...bundle.state import BundleState
from ...bundle.tests.samples import OPERATOR_KEYS, order_between, sample_slices, submit
from ...identifiers import BundleVersion, DaemonName, Seconds, SliceName
from ..errors import FleetUnavailableError
from ..fleet_status import FleetStatus
from ..plan import Slices, advance, read_rollouts
from ..runner import RolloutEnd, RolloutRunner, take_step
from .rollout_samples import CHAT, ROUTERS, A, B, after, fleet_status, started, without_record


class FakeFleetAccess:
    """Fake fleet with the real bundle state, whose routers apply each version at once.

    Routers of ``bad_zone`` fail a third of their calls. ``before_submit`` holds functions of which one runs before
    each order, and ``answers_to_lose`` is the number of orders that are decided without an answer.
    """

    def __init__(self) -> None:
        self.state = BundleState(OPERATOR_KEYS)
        self.order_count = 0
        self.before_submit: list[Callable[[], object]] = []
        self.answers_to_lose = 0
        self.stale = False
        self.bad_zone = ""
        self.unavailable: tuple[DaemonName, ...] = ()
        self.put(sample_slices())

    def put(self, slices: Slices) -> OrderOutcome:
        version = self.state.version
        self.order_count += 1
        before = self.state.slices_at(version) or {}
        return submit(self.state, order_between(version, before, slices, f"order-{self.order_count}"))

    def slices(self) -> Slices:
        return self.state.slices_at(self.state.version) or {}

    async def latest(self) -> Result[tuple[BundleVersion, Slices], FleetUnavailableError]:
        if self.stale:
            return Success((BundleVersion(1), sample_slices()))
        return Success((self.state.version, self.slices()))

    async def submit(
        self, base: BundleVersion, before: Slices, after: Slices
    ) -> Result[OrderOutcome, FleetUnavailableError]:
        if self.before_submit:
            self.before_submit.pop(0)()
        self.order_count += 1
        outcome = submit(self.state, order_between(base, before, after, f"order-{self.order_count}"))
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            return Failure(FleetUnavailableError("no daemon reason_part what became of it"))
        return Success(outcome)

    async def observe(self) -> Result[FleetStatus, FleetUnavailableError]:
        now = asyncio.get_running_loop().time()
        counts = {zone: {"answered": now * 10} for zone in "abc"}
        if self.bad_zone:
            counts[self.bad_zone]["worker-broke"] = now * 5
        versions = {str(each.name): int(self.state.version) for each in ROUTERS}
        return Success(fleet_status(counts, unavailable=self.unavailable, versions=versions))


class RunnerTest(unittest.TestCase):
    """Guards against a runner that skips a stage, ignores a bad one or acts on outdated state.

    They can arise when orders of others come in between, when answers are lost, when routers vanish, or when a
    partitioned daemon answers with an older version.
    """

    def setUp(self) -> None:
        self.access = FakeFleetAccess()
        self.messages: list[str] = []

    def run_on_virtual_time(self, *works: Callable[[], object]) -> list[object]:
        loop = VirtualTimeLoop(Random(1))

        async def all_of_them() -> list[object]:
            return list(await asyncio.gather(*(work() for work in works)))  # type: ignore[call-overload]

        try:
            return loop.run_until_complete(all_of_them())
        finally:
            loop.close()

    def runner(self, stage_timeout: float = 100.0) -> RolloutRunner:
        return RolloutRunner(self.access, "bigger", self.messages.append, stage_timeout=Seconds(stage_timeout))

    def begin(self) -> None:
        self.access.put(after(self.access.slices(), started()))

    def rollout(self) -> Rollout:
        return read_rollouts(self.access.slices())["bigger"]

    def test_good_change_passes_all_stages_and_each_is_watched(self) -> None:
        self.begin()
        (ended,) = self.run_on_virtual_time(self.runner().run)
        self.assertEqual(ended, RolloutEnd("finished", "version 5"))
        self.assertIn(b"large", self.access.slices()[CHAT])
        self.assertEqual(sum("watching left" in line for line in self.messages), 30)

    def test_bad_change_is_rolled_back_as_a_new_version(self) -> None:
        self.begin()
        self.access.bad_zone = "a"
        (ended,) = self.run_on_virtual_time(self.runner().run)
        assert isinstance(ended, RolloutEnd)
        self.assertEqual((ended.result, self.access.state.version), ("rolled-back", 3))
        self.assertIn("calls failed", self.rollout().reason)
        self.assertEqual(without_record(self.access.slices()), sample_slices())

    def test_unavailable_routers_have_ten_seconds_to_return(self) -> None:
        self.begin()

        async def make_unavailable() -> None:
            await asyncio.sleep(2.5)
            self.access.unavailable = A
            await asyncio.sleep(8.0)
            self.access.unavailable = ()
            await asyncio.sleep(5.0)
            self.access.unavailable = A
            await asyncio.sleep(9.0)
            self.assertEqual(self.rollout().state, "running")

        ended, _ = self.run_on_virtual_time(self.runner().run, make_unavailable)
        assert isinstance(ended, RolloutEnd)
        self.assertEqual((ended.result, self.rollout().stage), ("rolled-back", 0))
        self.assertIn("away or not ready: a-0, a-1, a-2", self.rollout().reason)

    def test_routers_that_leave_as_their_stage_begins_count_as_unavailable(self) -> None:
        self.access.put(after(self.access.slices(), started(stages=("zone=a", "zone=b", "all"))))
        self.access.before_submit.append(lambda: setattr(self.access, "unavailable", B))
        (ended,) = self.run_on_virtual_time(self.runner().run)
        assert isinstance(ended, RolloutEnd)
        self.assertEqual((ended.result, self.rollout().stage), ("rolled-back", 1))
        self.assertIn("3 of 6 routers of the stage are away or not ready: 3 that control", ended.reason)

    def test_new_runner_knows_how_many_routers_the_stage_had(self) -> None:
        stages = ("zone=a", "zone=b", "all")
        self.access.put(after(self.access.slices(), started(stages=stages), advance("bigger", 0, 6)))
        self.access.unavailable = B
        (ended,) = self.run_on_virtual_time(self.runner().run)
        assert isinstance(ended, RolloutEnd)
        self.assertEqual((ended.result, self.rollout().stage), ("rolled-back", 1))
        self.assertIn("3 of 6 routers of the stage are away or not ready: 3 that control no longer lists", ended.reason)

    def test_two_concurrent_runners_skip_no_stage(self) -> None:
        self.begin()
        for _ in range(2):
            # Other orders are decided first at times.
            self.access.before_submit.append(lambda: None)
            self.access.before_submit.append(
                lambda: self.access.put({**self.access.slices(), SliceName("class/x"): b'{"name":"x","weight":1.0}'})
            )
        ended = self.run_on_virtual_time(self.runner().run, self.runner().run)
        self.assertEqual([each.result for each in ended if isinstance(each, RolloutEnd)], ["finished", "finished"])
        seen = []
        for version in range(2, self.access.state.version + 1):
            found = read_rollouts(self.access.state.slices_at(BundleVersion(version)) or {})["bigger"]
            seen.append((found.stage, found.state))
        self.assertEqual(list(dict.fromkeys(seen)), [(0, "running"), (1, "running"), (2, "running"), (2, "finished")])
        self.assertGreater(len(seen), 4, "no other order came between")

    def test_lost_answers_to_orders_do_not_stop_the_rollout(self) -> None:
        self.begin()
        self.access.answers_to_lose = 2
        (ended,) = self.run_on_virtual_time(self.runner().run)
        self.assertEqual(ended, RolloutEnd("finished", "version 5"))

    def test_outdated_version_from_a_partitioned_daemon_is_ignored(self) -> None:
        self.begin()

        async def serve_outdated_version() -> None:
            await asyncio.sleep(3.5)
            self.access.stale = True
            await asyncio.sleep(5.0)
            self.access.stale = False

        ended, _ = self.run_on_virtual_time(self.runner().run, serve_outdated_version)
        self.assertEqual(ended, RolloutEnd("finished", "version 5"))

    def test_run_ends_at_the_stage_when_all_routers_stay_unavailable(self) -> None:
        self.begin()
        self.access.unavailable = tuple(each.name for each in ROUTERS)
        (ended,) = self.run_on_virtual_time(self.runner(30.0).run)
        assert isinstance(ended, RolloutEnd)
        self.assertEqual((ended.result, self.rollout().state), ("lost", "running"))

    def test_step_is_computed_again_after_a_conflict(self) -> None:
        other = SliceName("class/gold")
        richer = canonical_json({"name": "gold", "weight": 9.0})
        self.access.before_submit.append(lambda: self.access.put({**self.access.slices(), other: richer}))
        (outcome,) = self.run_on_virtual_time(lambda: take_step(self.access, started()))
        assert isinstance(outcome, Success)
        self.assertEqual((self.access.state.version, self.access.slices()[other]), (3, richer))
        self.access.before_submit.append(lambda: self.access.put(after(self.access.slices(), advance("bigger", 0, 3))))
        (outcome,) = self.run_on_virtual_time(lambda: take_step(self.access, advance("bigger", 0, 3)))
        assert isinstance(outcome, Failure)
        self.assertEqual(self.rollout().stage, 1)
