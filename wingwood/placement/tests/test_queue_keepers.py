"""Prefill queues that all routers see alike (docs/DESIGN.md section 11.12)."""

from __future__ import annotations

import unittest
from collections import Counter
from collections.abc import Sequence
from functools import partial

import msgspec

from simulation.world import World
from wingwood.identifiers import PoolName, Seconds, WorkerInstance
from wingwood.placement.messages import JoinQueue, QueueEntry, QueueJoined, QueueOffer
from wingwood.placement.queue_keepers import (
    ASK_TIMEOUT,
    GROUP_WORKERS,
    KEEPERS_ASKED,
    NoQueueKeepers,
    PrefillQueueTimes,
    RouterQueueKeepers,
)
from wingwood.registry.protocols import Worker
from wingwood.registry.tests.fleet import Fleet

from .one_router import POOL, SUMMARY, ManualClock, OneRouter, told_turn

FIRST, SECOND = WorkerInstance("w0"), WorkerInstance("w1")
A_TURN = 0.03
"""Seconds of prefill."""


def question(*offers: tuple[WorkerInstance, float], risked_from: float = 0.05, pool: PoolName = POOL) -> JoinQueue:
    """Each offer with what it costs beside wait and prefill."""
    return JoinQueue(
        pool=pool,
        offers=tuple(QueueOffer(worker, Seconds(A_TURN), beside) for worker, beside in offers),
        pressure=1.0,
        risked_from=Seconds(risked_from),
        risk_cost=8.0,
    )


class QueueTimesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.times = PrefillQueueTimes(self.clock)  # type: ignore[arg-type]

    def test_turns_queue_up_until_the_risk_is_worth_another_worker(self) -> None:
        taken = [self.times.join(question((FIRST, 0.0), (SECOND, 0.15))).offer for _ in range(4)]
        self.assertEqual(taken, [0, 0, 1, 1])

    def test_without_a_risk_turns_stay_until_the_wait_itself_is_worth_it(self) -> None:
        taken = [self.times.join(question((FIRST, 0.0), (SECOND, 0.1), risked_from=1e6)).offer for _ in range(5)]
        self.assertEqual(taken, [0, 0, 0, 0, 1])

    def test_award_stands_beside_a_cheaper_worker_until_its_queue_is_a_risk(self) -> None:
        asked = msgspec.structs.replace(question((FIRST, 0.01), (SECOND, 0.0), risked_from=0.07), awarded=True)
        taken = [self.times.join(asked).offer for _ in range(4)]
        self.assertEqual(taken, [0, 0, 1, 1])

    def test_award_whose_queue_is_a_risk_still_wins_where_all_others_cost_more(self) -> None:
        asked = msgspec.structs.replace(question((FIRST, 0.0), (SECOND, 9.0), risked_from=0.0), awarded=True)
        self.assertEqual(self.times.join(asked).offer, 0)

    def test_queue_is_worked_off_with_time(self) -> None:
        for _ in range(3):
            self.times.join(question((FIRST, 0.0)))
        self.assertAlmostEqual(self.times.wait(FIRST), 3 * A_TURN)
        self.clock.now += 2 * A_TURN
        self.assertAlmostEqual(self.times.wait(FIRST), A_TURN)
        self.clock.now += 1.0
        self.assertEqual(self.times.wait(FIRST), 0.0)

    def test_turn_that_left_is_no_longer_waited_for(self) -> None:
        self.times.join(question((FIRST, 0.0)))
        self.times.enter(QueueEntry(POOL, FIRST, Seconds(-A_TURN)))
        self.assertAlmostEqual(self.times.wait(FIRST), 0.0)


class FleetOfKeepers(Fleet):
    def __init__(self, world: World, count: int = 6) -> None:
        super().__init__(world, count)
        self.keepers: dict[str, RouterQueueKeepers] = {}
        for name in sorted(self.routers):
            self.inside(name, partial(self.make, name))
        world.run(1.0)

    async def make(self, name: str) -> bool:
        router = self.routers[name]
        self.keepers[name] = RouterQueueKeepers(router.context, router.messenger, router.membership)
        return True

    def join(self, router: str, asked: JoinQueue) -> QueueJoined | None:
        joined: QueueJoined | None = self.inside(router, lambda: self.keepers[router].join(asked))
        return joined

    def keeper_of(self, worker: WorkerInstance) -> str:
        return str(self.keepers["r0"]._keepers_of(POOL, worker)[0].name)


class KeepersTest(unittest.TestCase):
    def fleet(self) -> FleetOfKeepers:
        world = World(11)
        world.__enter__()
        self.addCleanup(world.close)
        return FleetOfKeepers(world)

    def test_all_routers_see_one_queue(self) -> None:
        fleet = self.fleet()
        answers = [fleet.join(f"r{number}", question((FIRST, 0.0), (SECOND, 0.1))) for number in range(4)]
        taken = Counter(-1 if answer is None else answer.offer for answer in answers)
        self.assertEqual(taken[-1], 0)
        self.assertGreaterEqual(taken[1], 1)

    def test_stand_in_answers_for_a_keeper_that_is_gone_and_then_is_asked_first(self) -> None:
        fleet = self.fleet()
        keeper = fleet.keeper_of(FIRST)
        asker = next(name for name in sorted(fleet.routers) if name != keeper)
        fleet.world.kill(keeper)
        begun = fleet.world.now
        self.assertIsNotNone(fleet.join(asker, question((FIRST, 0.0))))
        self.assertLess(fleet.world.now - begun, 2 * ASK_TIMEOUT)
        begun = fleet.world.now
        self.assertIsNotNone(fleet.join(asker, question((FIRST, 0.0))))
        self.assertLess(fleet.world.now - begun, ASK_TIMEOUT)

    def test_no_keeper_answers_in_bounded_time(self) -> None:
        fleet = self.fleet()
        keepers = [str(router.name) for router in fleet.keepers["r0"]._keepers_of(POOL, FIRST)]
        asker = next(name for name in sorted(fleet.routers) if name not in keepers)
        for name in keepers:
            fleet.world.freeze(name)
        begun = fleet.world.now
        self.assertIsNone(fleet.join(asker, question((FIRST, 0.0))))
        self.assertLess(fleet.world.now - begun, KEEPERS_ASKED * ASK_TIMEOUT + 0.01)

    def test_large_pools_are_shared_out_among_keepers(self) -> None:
        fleet = self.fleet()
        workers = [
            msgspec.structs.replace(OneRouter().workers[0], instance=WorkerInstance(f"w{number}"))
            for number in range(20 * GROUP_WORKERS)
        ]
        keepers = fleet.keepers["r0"]
        group = keepers.group(workers[0], workers, len(workers))
        self.assertIn(workers[0], group)
        self.assertLess(len(group), 2 * GROUP_WORKERS)
        self.assertEqual(keepers.group(workers[0], workers[:GROUP_WORKERS], GROUP_WORKERS), workers[:GROUP_WORKERS])
        # How many groups there are does not follow from which of its workers a turn may go to.
        self.assertEqual(keepers.group(workers[0], workers[:1], len(workers)), workers[:1])
        self.assertEqual(keepers._groups[POOL], 20)


class HalfOfThem(NoQueueKeepers):
    """A group is the workers whose number is even, or odd; notes what is asked."""

    def __init__(self) -> None:
        self.asked: list[JoinQueue] = []

    def group(self, worker: Worker, ready: Sequence[Worker], pool_size: int) -> Sequence[Worker]:
        return [other for other in ready if (_number(other) - _number(worker)) % 2 == 0]

    async def join(self, question: JoinQueue) -> QueueJoined | None:
        self.asked.append(question)
        return QueueJoined(0, Seconds(0.0))


def _number(worker: Worker) -> int:
    return int(worker.instance.removeprefix("w"))


class GroupTest(unittest.TestCase):
    def test_drawn_workers_are_of_the_first_ones_group(self) -> None:
        router = OneRouter(workers=20)
        router.teach()
        keepers = router.placement._told._keepers = HalfOfThem()
        for number in range(20):
            router.choose(told_turn(f"kind:2500 subject{number}:3800 own{number}:2900", 0))
        for question in keepers.asked:
            self.assertEqual(len({int(offer.worker[1:]) % 2 for offer in question.offers}), 1)
            self.assertGreaterEqual(len(question.offers), 2)


class KeptHere(NoQueueKeepers):
    """As if this router kept all queues."""

    def __init__(self, clock: ManualClock) -> None:
        self.times = PrefillQueueTimes(clock)  # type: ignore[arg-type]

    async def join(self, question: JoinQueue) -> QueueJoined | None:
        return self.times.join(question)

    def entered(self, entry: QueueEntry) -> None:
        self.times.enter(entry)


class PlacementTest(unittest.TestCase):
    def setUp(self) -> None:
        self.router = OneRouter()
        self.router.teach()
        self.kept = KeptHere(self.router.clock)
        self.router.placement._told._keepers = self.kept
        self.turn = told_turn("kind:2500 subject:3800 own:2900", 0)
        self.home = self.router.choose(self.turn)

    def test_prompts_of_other_routers_send_a_turn_elsewhere(self) -> None:
        before = self.router.choose(told_turn("kind:2500 subject:3800 own1:2900", 0))
        self.assertEqual(before.worker, self.home.worker)
        self.kept.entered(QueueEntry(POOL, self.home.worker.instance, Seconds(0.2)))
        elsewhere = self.router.choose(told_turn("kind:2500 subject:3800 own2:2900", 0))
        self.assertNotEqual(elsewhere.worker, self.home.worker)
        self.assertLess(elsewhere.first_token, 0.1)

    def test_forecast_holds_the_wait_that_the_keeper_told(self) -> None:
        for worker in self.router.workers:
            self.kept.entered(QueueEntry(POOL, worker.instance, Seconds(0.2)))
        self.assertGreater(self.router.choose(told_turn("kind:2500 subject:3800 own1:2900", 0)).first_token, 0.2)

    def test_refused_turn_leaves_the_queue(self) -> None:
        wait = self.kept.times.wait(self.home.worker.instance)
        self.assertGreater(wait, 0.0)
        self.router.placement.finished(self.turn, self.home, "refused", 0, None)
        self.assertAlmostEqual(self.kept.times.wait(self.home.worker.instance), 0.0)

    def test_award_counts_at_the_keeper(self) -> None:
        service = msgspec.structs.replace(SUMMARY, latency_objective=None)
        first = self.router.take(told_turn("kind:2500 chat:3800", 2900, service=service))
        self.router.clock.now += 1.0
        again = self.router.choose(told_turn("kind:2500 chat:3800", 2900, service=service))
        self.assertEqual((again.how, again.worker), ("award", first.worker))
        self.assertGreater(self.kept.times.wait(first.worker.instance), 0.005)

    def test_award_is_passed_over_behind_a_queue_that_only_the_keeper_sees(self) -> None:
        first = self.router.take(told_turn("kind:2500 chat:3800", 2900))
        self.router.clock.now += 1.0
        self.kept.entered(QueueEntry(POOL, first.worker.instance, Seconds(0.3)))
        again = self.router.choose(told_turn("kind:2500 chat:3800", 2900))
        self.assertNotEqual(again.worker, first.worker)
        self.assertEqual(again.how, "bid")
        self.assertLess(again.first_token, 0.1)

    def test_award_stands_behind_a_short_queue(self) -> None:
        first = self.router.take(told_turn("kind:2500 chat:3800", 2900))
        self.router.clock.now += 1.0
        self.kept.entered(QueueEntry(POOL, first.worker.instance, Seconds(0.02)))
        again = self.router.choose(told_turn("kind:2500 chat:3800", 2900))
        self.assertEqual((again.how, again.worker), ("award", first.worker))

    def test_short_prompts_ask_nobody(self) -> None:
        self.router.choose(told_turn("chat:47 t:30", 140))
        self.assertEqual(len(self.router.placement._told._entered), 1)
