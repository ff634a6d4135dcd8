"""Prefill queues shared by all routers through queue owners (docs/DESIGN.md section 11.12)."""

from __future__ import annotations

import unittest
from collections import Counter
from collections.abc import Sequence
from functools import partial

import msgspec

from simulation.world import World
from wingwood.identifiers import PoolName, Seconds, WorkerInstance
from wingwood.placement.messages import JoinQueue, QueueEntry, QueueJoined, QueueOffer
from wingwood.placement.queue_owners import (
    ASK_TIMEOUT_S,
    OWNERS_ASKED,
    WORKERS_PER_GROUP,
    NoQueueOwners,
    PrefillQueueTimes,
    RouterQueueOwners,
)
from wingwood.registry.protocols import Worker
from wingwood.registry.tests.fleet import Fleet

from .one_router import POOL, SUMMARY, ManualClock, OneRouter, sized_turn

FIRST, SECOND = WorkerInstance("w0"), WorkerInstance("w1")
TURN_PREFILL_S = 0.03
"""Seconds that each turn of these tests takes to prefill."""


def question(*offers: tuple[WorkerInstance, float], risk_threshold: float = 0.05, pool: PoolName = POOL) -> JoinQueue:
    """Builds a question; each offer is a worker and its cost apart from wait and prefill."""
    return JoinQueue(
        pool=pool,
        offers=tuple(QueueOffer(worker, Seconds(TURN_PREFILL_S), other_cost) for worker, other_cost in offers),
        pressure=1.0,
        risk_threshold=Seconds(risk_threshold),
        risk_cost=8.0,
    )


class QueueTimesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.times = PrefillQueueTimes(self.clock)  # type: ignore[arg-type]

    def test_turns_queue_up_until_the_risk_is_worth_another_worker(self) -> None:
        """The second worker costs more, but two waiting turns put the objective at risk."""
        taken = [self.times.join(question((FIRST, 0.0), (SECOND, 0.15))).offer for _ in range(4)]
        self.assertEqual(taken, [0, 0, 1, 1])

    def test_without_a_risk_turns_stay_until_the_wait_itself_is_worth_it(self) -> None:
        taken = [self.times.join(question((FIRST, 0.0), (SECOND, 0.1), risk_threshold=1e6)).offer for _ in range(5)]
        self.assertEqual(taken, [0, 0, 0, 0, 1])

    def test_reservation_holds_against_a_cheaper_worker_until_its_queue_is_a_risk(self) -> None:
        asked = msgspec.structs.replace(
            question((FIRST, 0.01), (SECOND, 0.0), risk_threshold=0.07), first_is_reserved=True
        )
        taken = [self.times.join(asked).offer for _ in range(4)]
        self.assertEqual(taken, [0, 0, 1, 1])

    def test_reservation_whose_queue_is_a_risk_still_wins_where_all_others_cost_more(self) -> None:
        asked = msgspec.structs.replace(
            question((FIRST, 0.0), (SECOND, 9.0), risk_threshold=0.0), first_is_reserved=True
        )
        self.assertEqual(self.times.join(asked).offer, 0)

    def test_queue_shrinks_as_time_passes(self) -> None:
        for _ in range(3):
            self.times.join(question((FIRST, 0.0)))
        self.assertAlmostEqual(self.times.wait(FIRST), 3 * TURN_PREFILL_S)
        self.clock.now += 2 * TURN_PREFILL_S
        self.assertAlmostEqual(self.times.wait(FIRST), TURN_PREFILL_S)
        self.clock.now += 1.0
        self.assertEqual(self.times.wait(FIRST), 0.0)

    def test_turn_that_left_no_longer_counts_in_the_queue(self) -> None:
        self.times.join(question((FIRST, 0.0)))
        self.times.enter(QueueEntry(POOL, FIRST, Seconds(-TURN_PREFILL_S)))
        self.assertAlmostEqual(self.times.wait(FIRST), 0.0)


class FleetOfOwners(Fleet):
    def __init__(self, world: World, count: int = 6) -> None:
        super().__init__(world, count)
        self.owners: dict[str, RouterQueueOwners] = {}
        for name in sorted(self.routers):
            self.inside(name, partial(self.make, name))
        world.run(1.0)

    async def make(self, name: str) -> bool:
        router = self.routers[name]
        self.owners[name] = RouterQueueOwners(router.context, router.messenger, router.membership)
        return True

    def join(self, router: str, asked: JoinQueue) -> QueueJoined | None:
        joined: QueueJoined | None = self.inside(router, lambda: self.owners[router].join(asked))
        return joined

    def owner_of(self, worker: WorkerInstance) -> str:
        return str(self.owners["r0"]._owners_of(POOL, worker)[0].name)


class QueueOwnersTest(unittest.TestCase):
    def fleet(self) -> FleetOfOwners:
        world = World(11)
        world.__enter__()
        self.addCleanup(world.close)
        return FleetOfOwners(world)

    def test_all_routers_see_one_queue(self) -> None:
        fleet = self.fleet()
        answers = [fleet.join(f"r{number}", question((FIRST, 0.0), (SECOND, 0.1))) for number in range(4)]
        taken = Counter(-1 if answer is None else answer.offer for answer in answers)
        self.assertEqual(taken[-1], 0)
        self.assertGreaterEqual(taken[1], 1)

    def test_replica_answers_for_a_failed_owner_and_is_then_asked_first(self) -> None:
        """Otherwise each turn would wait for the timeout of the failed owner."""
        fleet = self.fleet()
        owner = fleet.owner_of(FIRST)
        asker = next(name for name in sorted(fleet.routers) if name != owner)
        fleet.world.kill(owner)
        started = fleet.world.now
        self.assertIsNotNone(fleet.join(asker, question((FIRST, 0.0))))
        self.assertLess(fleet.world.now - started, 2 * ASK_TIMEOUT_S)
        started = fleet.world.now
        self.assertIsNotNone(fleet.join(asker, question((FIRST, 0.0))))
        self.assertLess(fleet.world.now - started, ASK_TIMEOUT_S)

    def test_join_gives_up_in_bounded_time_when_no_owner_answers(self) -> None:
        """The router must then place the turn by its own estimates."""
        fleet = self.fleet()
        owners = [str(router.name) for router in fleet.owners["r0"]._owners_of(POOL, FIRST)]
        asker = next(name for name in sorted(fleet.routers) if name not in owners)
        for name in owners:
            fleet.world.freeze(name)
        started = fleet.world.now
        self.assertIsNone(fleet.join(asker, question((FIRST, 0.0))))
        self.assertLess(fleet.world.now - started, OWNERS_ASKED * ASK_TIMEOUT_S + 0.01)

    def test_workers_of_large_pools_are_divided_among_owners(self) -> None:
        fleet = self.fleet()
        workers = [
            msgspec.structs.replace(OneRouter().workers[0], instance=WorkerInstance(f"w{number}"))
            for number in range(20 * WORKERS_PER_GROUP)
        ]
        owners = fleet.owners["r0"]
        group = owners.group(workers[0], workers, len(workers))
        self.assertIn(workers[0], group)
        self.assertLess(len(group), 2 * WORKERS_PER_GROUP)
        self.assertEqual(
            owners.group(workers[0], workers[:WORKERS_PER_GROUP], WORKERS_PER_GROUP), workers[:WORKERS_PER_GROUP]
        )
        # The number of groups follows from the size of the pool, not from the workers that a turn may be sent to.
        self.assertEqual(owners.group(workers[0], workers[:1], len(workers)), workers[:1])
        self.assertEqual(owners._group_counts[POOL], 20)


class ParityGroups(NoQueueOwners):
    """Fake owners whose groups are the workers with even and with odd numbers; records the questions."""

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
    def test_all_offers_belong_to_the_group_of_the_first_worker(self) -> None:
        """An owner knows only the queues of its own group, so offers of another group would look idle."""
        router = OneRouter(workers=20)
        router.teach()
        owners = router.placement._reported_size_costs._queue_owners = ParityGroups()
        for number in range(20):
            router.choose(sized_turn(f"kind:2500 subject{number}:3800 own{number}:2900", 0))
        for question in owners.asked:
            self.assertEqual(len({int(offer.worker[1:]) % 2 for offer in question.offers}), 1)
            self.assertGreaterEqual(len(question.offers), 2)


class LocalQueueOwner(NoQueueOwners):
    """Fake owners: this router owns all queues."""

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
        self.owner = LocalQueueOwner(self.router.clock)
        self.router.placement._reported_size_costs._queue_owners = self.owner
        self.turn = sized_turn("kind:2500 subject:3800 own:2900", 0)
        self.first_choice = self.router.choose(self.turn)

    def test_prompts_of_other_routers_send_a_turn_elsewhere(self) -> None:
        """The router itself sees none of those prompts; only the queue owner counts them."""
        before = self.router.choose(sized_turn("kind:2500 subject:3800 own1:2900", 0))
        self.assertEqual(before.worker, self.first_choice.worker)
        self.owner.entered(QueueEntry(POOL, self.first_choice.worker.instance, Seconds(0.2)))
        elsewhere = self.router.choose(sized_turn("kind:2500 subject:3800 own2:2900", 0))
        self.assertNotEqual(elsewhere.worker, self.first_choice.worker)
        self.assertLess(elsewhere.first_token, 0.1)

    def test_forecast_includes_the_wait_that_the_owner_reported(self) -> None:
        for worker in self.router.workers:
            self.owner.entered(QueueEntry(POOL, worker.instance, Seconds(0.2)))
        self.assertGreater(self.router.choose(sized_turn("kind:2500 subject:3800 own1:2900", 0)).first_token, 0.2)

    def test_refused_turn_leaves_the_queue(self) -> None:
        """Otherwise its prefill would be waited for although it never happens."""
        wait = self.owner.times.wait(self.first_choice.worker.instance)
        self.assertGreater(wait, 0.0)
        self.router.placement.finished(self.turn, self.first_choice, "refused", 0, None)
        self.assertAlmostEqual(self.owner.times.wait(self.first_choice.worker.instance), 0.0)

    def test_turn_placed_by_reservation_is_counted_by_the_owner(self) -> None:
        """Otherwise turns placed by reservation would be missing in the shared queue."""
        service = msgspec.structs.replace(SUMMARY, latency_objective=None)
        first = self.router.take(sized_turn("kind:2500 chat:3800", 2900, service=service))
        self.router.clock.now += 1.0
        again = self.router.choose(sized_turn("kind:2500 chat:3800", 2900, service=service))
        self.assertEqual((again.method, again.worker), ("award", first.worker))
        self.assertGreater(self.owner.times.wait(first.worker.instance), 0.005)

    def test_reservation_is_passed_over_for_a_queue_that_only_the_owner_sees(self) -> None:
        first = self.router.take(sized_turn("kind:2500 chat:3800", 2900))
        self.router.clock.now += 1.0
        self.owner.entered(QueueEntry(POOL, first.worker.instance, Seconds(0.3)))
        again = self.router.choose(sized_turn("kind:2500 chat:3800", 2900))
        self.assertNotEqual(again.worker, first.worker)
        self.assertEqual(again.method, "bid")
        self.assertLess(again.first_token, 0.1)

    def test_reservation_holds_despite_a_short_queue(self) -> None:
        first = self.router.take(sized_turn("kind:2500 chat:3800", 2900))
        self.router.clock.now += 1.0
        self.owner.entered(QueueEntry(POOL, first.worker.instance, Seconds(0.02)))
        again = self.router.choose(sized_turn("kind:2500 chat:3800", 2900))
        self.assertEqual((again.method, again.worker), ("award", first.worker))

    def test_short_prompts_are_placed_without_the_owner(self) -> None:
        self.router.choose(sized_turn("chat:47 t:30", 140))
        self.assertEqual(len(self.router.placement._reported_size_costs._entered), 1)
