"""Tests of the steps, the judgement and the runner of staged roll-outs (docs/DESIGN.md section 19)."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable, Sequence
from random import Random

import msgspec
from returns.result import Failure, Result, Success

from simulation.virtual_time import VirtualTimeLoop

from ...bundle.canonical import canonical_json
from ...bundle.model import OrderOutcome, Rollout
from ...bundle.parse import parse_bundle
from ...bundle.state import BundleState
from ...bundle.tests.samples import OPERATOR_KEYS, order_between, sample_slices, submit
from ...identifiers import Address, BundleVersion, DaemonName, Incarnation, Seconds, SliceName, Zone
from ...transport.frames import Identity
from ..plan import (
    Slices,
    Step,
    StepRefused,
    advance,
    begin_rollout,
    forget,
    preserve_rollouts,
    read_rollouts,
    read_stages,
    roll_back,
)
from ..runner import Ended, RolloutRunner, Unavailable, take_step
from ..watch import FleetStatus, RouterStatus, Verdict, judge, read_counts, summarize_calls

CHAT = SliceName("service/chat")
STAGES = ("zone=a", "share=50", "all")


def with_pool(pool: str, name: SliceName = CHAT) -> Step:
    def change(slices: Slices) -> Result[Slices, StepRefused]:
        return Success({**slices, name: canonical_json({**msgspec.json.decode(slices[name]), "pool": pool})})

    return change


def beginning(name: str = "bigger", change: Step | None = None, stages: Sequence[str] = STAGES) -> Step:
    return begin_rollout(name, change or with_pool("large"), stages, Seconds(10.0), 0.02, 0.05, 3)


def after(slices: Slices, *steps: Step) -> Slices:
    for step in steps:
        slices = step(slices).unwrap()
        checked = parse_bundle(order_between(0, {}, slices).manifest, slices)
        assert isinstance(checked, Success), checked
    return slices


def without_record(slices: Slices) -> Slices:
    return {name: data for name, data in slices.items() if not name.startswith("rollout/")}


class PlanTest(unittest.TestCase):
    """Guards against steps that skip a stage, overwrite another change or don't restore the bundle.

    They can arise when two operators act on the same roll-out, or when other orders come in between.
    """

    def test_stages_are_parsed_in_the_notation_of_operators(self) -> None:
        self.assertEqual(read_stages("zone=a, 25%").unwrap(), ("zone=a", "share=25", "all"))
        self.assertEqual(read_stages("100%").unwrap(), ("all",))
        for wrong in ("zone-a", "0%", "", "share=x"):
            self.assertIn("write zone=NAME", read_stages(wrong).failure().reason)

    def test_roll_back_restores_the_bundle_from_every_stage(self) -> None:
        first = sample_slices()
        steps = [beginning(), advance("bigger", 0, 3), advance("bigger", 1, 3), advance("bigger", 2, 3)]
        for taken in range(1, 5):
            reached = after(first, *steps[:taken])
            back = after(reached, roll_back("bigger", "slow"))
            self.assertEqual(without_record(back), first)
            self.assertEqual(read_rollouts(back)["bigger"].reason, "slow")
        self.assertEqual(without_record(reached), with_pool("large")(first).unwrap())
        self.assertEqual(read_rollouts(reached)["bigger"].state, "finished")
        self.assertEqual(after(back, forget("bigger")), first)

    def test_steps_from_another_stage_or_state_are_conflicts(self) -> None:
        reached = after(sample_slices(), beginning(), advance("bigger", 0, 3))
        for step, said in (
            (advance("bigger", 0, 3), "running at stage share=50: another operator took it on"),
            (advance("none", 0, 3), "there is no rollout/none"),
            (forget("bigger"), "roll it back or let it finish"),
            (beginning(), "is running already"),
            (beginning("other"), "service/chat is in rollout/bigger"),
        ):
            problem = step(reached).failure()
            self.assertEqual((problem.kind, said in problem.reason), ("conflict", True), problem.reason)
        self.assertIn(
            "nothing to roll back", roll_back("bigger", "")(after(reached, roll_back("bigger", ""))).failure().reason
        )
        finished = after(reached, advance("bigger", 1, 3), advance("bigger", 2, 3), with_pool("third"))
        self.assertIn("was changed since", roll_back("bigger", "")(finished).failure().reason)

    def test_changes_that_cannot_be_rolled_out_are_refused(self) -> None:
        slices = sample_slices()
        tenant, cards = SliceName("tenant/tenant-1"), SliceName("service/cards")
        richer = canonical_json({**msgspec.json.decode(slices[tenant]), "paid_rate": 99.0})
        variant = {**slices, SliceName("service/chat@zone=b"): slices[CHAT]}
        for held, wanted, said in (
            (slices, {**slices, tenant: richer}, "only services, routes and classes"),
            (slices, {name: data for name, data in slices.items() if name != cards}, "service/cards is taken out"),
            (slices, {**slices, SliceName("class/new"): b"{}"}, "class/new is new"),
            (slices, slices, "nothing differs"),
            (variant, with_pool("large")(variant).unwrap(), "has variants of its own"),
        ):
            outcome = beginning(change=lambda _, wanted=wanted: Success(wanted))(held)  # type: ignore[misc]
            self.assertIn(said, outcome.failure().reason)

    def test_pushing_a_source_preserves_a_running_rollout(self) -> None:
        held = after(sample_slices(), beginning())
        source = {**sample_slices(), SliceName("class/more"): b'{"name":"more","weight":1.0}'}
        pushed = preserve_rollouts(held, source)
        self.assertEqual(set(pushed) - set(held), {"class/more"})
        self.assertEqual(set(held) - set(pushed), set())
        self.assertEqual(without_record(after(pushed, roll_back("bigger", ""))), source)


def router(name: str, zone: str) -> Identity:
    address = Address("127.0.0.1", 1)
    return Identity(DaemonName(name), Incarnation("1"), "router", Zone(zone), address, address)


ROUTERS = tuple(router(f"{zone}-{number}", zone) for zone in "abc" for number in range(3))
A, B, C = (tuple(each.name for each in ROUTERS if each.zone == zone) for zone in "abc")


def fleet_status(
    counts: dict[str, dict[str, float]] | None = None,
    away: Sequence[str] = (),
    versions: dict[str, int] | None = None,
    lives: dict[str, str] | None = None,
) -> FleetStatus:
    """Builds an observation of all routers; ``counts`` has the outcomes of chat for each router of a zone.

    ``away`` names routers without an answer, ``versions`` routers with another bundle version than 7, and ``lives``
    routers with another incarnation than 1.
    """
    router_statuses: dict[DaemonName, RouterStatus | None] = {}
    for each in ROUTERS:
        found = {("chat", outcome): count for outcome, count in (counts or {}).get(each.zone, {}).items()}
        router_status = RouterStatus(
            incarnation=Incarnation((lives or {}).get(each.name, "1")),
            ready=True,
            version=BundleVersion((versions or {}).get(each.name, 7)),
            counts={**found, ("cards", "worker-broke"): 1000.0 if counts else 0.0},
        )
        router_statuses[each.name] = None if each.name in away else router_status
    return FleetStatus(
        members=tuple(each for each in ROUTERS if each.name not in away), router_statuses=router_statuses
    )


class JudgeTest(unittest.TestCase):
    """Guards against a bad change that advances, and against a rollback for a fault that the change did not cause."""

    def setUp(self) -> None:
        self.rollout: Rollout = read_rollouts(after(sample_slices(), beginning()))["bigger"]

    def judge(
        self, now: FleetStatus, watched: float = 11.0, unavailable_for: float = 0.0, before: FleetStatus | None = None
    ) -> Verdict:
        routers = {each.name: each for each in ROUTERS}
        return judge(
            self.rollout,
            BundleVersion(7),
            routers,
            before or fleet_status(),
            now,
            Seconds(watched),
            Seconds(unavailable_for),
            10,
        )

    def test_healthy_stage_advances_after_its_watch_time(self) -> None:
        good = {zone: {"answered": 100.0, "worker-broke": 1.0} for zone in "abc"}
        self.assertEqual(self.judge(fleet_status(good)).action, "go-on")
        self.assertEqual(self.judge(fleet_status(good), watched=9.0).action, "wait")
        few = self.judge(fleet_status({"a": {"answered": 3.0}}))
        self.assertEqual((few.action, "waiting for 10 calls" in few.reason), ("wait", True))
        behind = self.judge(fleet_status(good, versions={A[0]: 6}))
        self.assertEqual((behind.action, "a-0" in behind.reason), ("begin-anew", True))
        self.assertEqual(self.judge(fleet_status(good, versions={B[0]: 6})).action, "go-on")

    def test_too_many_bad_calls_roll_back_unless_the_entire_fleet_is_affected(self) -> None:
        for outcome, what in (
            ("worker-broke", "failed"),
            ("cut-worker-broke", "failed"),
            ("workers-all-full", "refused"),
        ):
            bad = {"answered": 90.0, outcome: 10.0}
            verdict = self.judge(fleet_status({"a": bad, "b": {"answered": 100.0}}), watched=1.0)
            self.assertEqual((verdict.action, what in verdict.reason), ("roll-back", True), verdict.reason)
            self.assertEqual(self.judge(fleet_status({zone: bad for zone in "abc"})).action, "begin-anew")
        callers_own = {"answered": 90.0, "key-unknown": 50.0, "share-exceeded": 50.0, "cut-caller-gone": 50.0}
        self.assertEqual(self.judge(fleet_status({"a": callers_own})).action, "go-on")
        self.assertEqual(self.judge(fleet_status({"a": {"answered": 3.0, "worker-broke": 1.0}})).action, "go-on")

    def test_unavailable_routers_roll_back_after_ten_seconds_unless_the_others_are_too(self) -> None:
        good = {zone: {"answered": 100.0} for zone in "abc"}
        self.assertEqual(self.judge(fleet_status(good, away=A[:1])).action, "go-on")
        for seconds, action in ((5.0, "begin-anew"), (11.0, "roll-back")):
            verdict = self.judge(fleet_status(good, away=A[:2]), unavailable_for=seconds)
            self.assertEqual((verdict.action, "a-0, a-1" in verdict.reason), (action, True))
        everywhere = self.judge(fleet_status(good, away=(*A[:2], *B, *C)), unavailable_for=11.0)
        self.assertEqual((everywhere.action, "so are 6 of the 6 others" in everywhere.reason), ("begin-anew", True))

    def test_counters_of_a_restarted_router_count_from_zero(self) -> None:
        before = fleet_status({"a": {"answered": 1000.0}})
        now = fleet_status({"a": {"answered": 20.0}}, lives={A[0]: "2"})
        self.assertEqual(summarize_calls(A[:1], before, now, frozenset(["chat"])).calls, 20.0)
        self.assertEqual(summarize_calls(A[:1], before, now, None).failures, 1000.0)

    def test_counts_are_read_from_metrics(self) -> None:
        text = '# TYPE wingwood_calls counter\nwingwood_calls_total{outcome="answered",service="chat"} 3.0\n'
        self.assertEqual(read_counts(text + 'other{a="b"} 1\n'), {("chat", "answered"): 3.0})


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
        self.away: tuple[DaemonName, ...] = ()
        self.put(sample_slices())

    def put(self, slices: Slices) -> OrderOutcome:
        version = self.state.version
        self.order_count += 1
        before = self.state.slices_at(version) or {}
        return submit(self.state, order_between(version, before, slices, f"order-{self.order_count}"))

    def slices(self) -> Slices:
        return self.state.slices_at(self.state.version) or {}

    async def latest(self) -> Result[tuple[BundleVersion, Slices], Unavailable]:
        if self.stale:
            return Success((BundleVersion(1), sample_slices()))
        return Success((self.state.version, self.slices()))

    async def submit(self, base: BundleVersion, before: Slices, after: Slices) -> Result[OrderOutcome, Unavailable]:
        if self.before_submit:
            self.before_submit.pop(0)()
        self.order_count += 1
        outcome = submit(self.state, order_between(base, before, after, f"order-{self.order_count}"))
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            return Failure(Unavailable("no daemon said what became of it"))
        return Success(outcome)

    async def observe(self) -> Result[FleetStatus, Unavailable]:
        now = asyncio.get_running_loop().time()
        counts = {zone: {"answered": now * 10} for zone in "abc"}
        if self.bad_zone:
            counts[self.bad_zone]["worker-broke"] = now * 5
        versions = {str(each.name): int(self.state.version) for each in ROUTERS}
        return Success(fleet_status(counts, away=self.away, versions=versions))


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
        self.access.put(after(self.access.slices(), beginning()))

    def rollout(self) -> Rollout:
        return read_rollouts(self.access.slices())["bigger"]

    def test_good_change_passes_all_stages_and_each_is_watched(self) -> None:
        self.begin()
        (ended,) = self.run_on_virtual_time(self.runner().run)
        self.assertEqual(ended, Ended("finished", "version 5"))
        self.assertIn(b"large", self.access.slices()[CHAT])
        self.assertEqual(sum("watching left" in line for line in self.messages), 30)

    def test_bad_change_is_rolled_back_as_a_new_version(self) -> None:
        self.begin()
        self.access.bad_zone = "a"
        (ended,) = self.run_on_virtual_time(self.runner().run)
        assert isinstance(ended, Ended)
        self.assertEqual((ended.result, self.access.state.version), ("rolled-back", 3))
        self.assertIn("calls failed", self.rollout().reason)
        self.assertEqual(without_record(self.access.slices()), sample_slices())

    def test_unavailable_routers_have_ten_seconds_to_return(self) -> None:
        self.begin()

        async def make_unavailable() -> None:
            await asyncio.sleep(2.5)
            self.access.away = A
            await asyncio.sleep(8.0)
            self.access.away = ()
            await asyncio.sleep(5.0)
            self.access.away = A
            await asyncio.sleep(9.0)
            self.assertEqual(self.rollout().state, "running")

        ended, _ = self.run_on_virtual_time(self.runner().run, make_unavailable)
        assert isinstance(ended, Ended)
        self.assertEqual((ended.result, self.rollout().stage), ("rolled-back", 0))
        self.assertIn("away or not ready: a-0, a-1, a-2", self.rollout().reason)

    def test_routers_that_leave_as_their_stage_begins_count_as_unavailable(self) -> None:
        self.access.put(after(self.access.slices(), beginning(stages=("zone=a", "zone=b", "all"))))
        self.access.before_submit.append(lambda: setattr(self.access, "away", B))
        (ended,) = self.run_on_virtual_time(self.runner().run)
        assert isinstance(ended, Ended)
        self.assertEqual((ended.result, self.rollout().stage), ("rolled-back", 1))
        self.assertIn("3 of 6 routers of the stage are away or not ready: 3 that control", ended.reason)

    def test_new_runner_knows_how_many_routers_the_stage_had(self) -> None:
        stages = ("zone=a", "zone=b", "all")
        self.access.put(after(self.access.slices(), beginning(stages=stages), advance("bigger", 0, 6)))
        self.access.away = B
        (ended,) = self.run_on_virtual_time(self.runner().run)
        assert isinstance(ended, Ended)
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
        self.assertEqual([each.result for each in ended if isinstance(each, Ended)], ["finished", "finished"])
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
        self.assertEqual(ended, Ended("finished", "version 5"))

    def test_outdated_version_from_a_partitioned_daemon_is_ignored(self) -> None:
        self.begin()

        async def serve_outdated_version() -> None:
            await asyncio.sleep(3.5)
            self.access.stale = True
            await asyncio.sleep(5.0)
            self.access.stale = False

        ended, _ = self.run_on_virtual_time(self.runner().run, serve_outdated_version)
        self.assertEqual(ended, Ended("finished", "version 5"))

    def test_run_ends_at_the_stage_when_all_routers_stay_unavailable(self) -> None:
        self.begin()
        self.access.away = tuple(each.name for each in ROUTERS)
        (ended,) = self.run_on_virtual_time(self.runner(30.0).run)
        assert isinstance(ended, Ended)
        self.assertEqual((ended.result, self.rollout().state), ("lost", "running"))

    def test_step_is_computed_again_after_a_conflict(self) -> None:
        other = SliceName("class/gold")
        richer = canonical_json({"name": "gold", "weight": 9.0})
        self.access.before_submit.append(lambda: self.access.put({**self.access.slices(), other: richer}))
        (outcome,) = self.run_on_virtual_time(lambda: take_step(self.access, beginning()))
        assert isinstance(outcome, Success)
        self.assertEqual((self.access.state.version, self.access.slices()[other]), (3, richer))
        self.access.before_submit.append(lambda: self.access.put(after(self.access.slices(), advance("bigger", 0, 3))))
        (outcome,) = self.run_on_virtual_time(lambda: take_step(self.access, advance("bigger", 0, 3)))
        assert isinstance(outcome, Failure)
        self.assertEqual(self.rollout().stage, 1)
