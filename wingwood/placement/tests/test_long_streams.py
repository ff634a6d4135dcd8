"""Separation of long streams from long prompts; routers run on manual clocks (docs/DESIGN.md section 11.11)."""

from __future__ import annotations

import unittest
from collections import Counter

from wingwood.identifiers import Seconds, WorkerInstance
from wingwood.placement.long_streams import DEDICATION_PERIOD_S, MAX_STREAM_SLOT_SHARE, TARGET_STREAM_SLOT_SHARE
from wingwood.placement.protocols import Choice, Turn
from wingwood.placement.settings import PlacementSettings
from wingwood.registry.protocols import ObservedLoad

from .one_router import POOL, OneRouter, sized_turn

SLOTS = 32


def chat(number: int) -> Turn:
    return sized_turn(f"chat:47 thread{number}:30", 140, generate_tokens=3000)


def summary(number: int) -> Turn:
    return sized_turn(f"kind{number % 4}:2500 subject{number}:3800")


class LongStreamsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.router = OneRouter()
        self.router.teach()

    def start(self, count: int) -> list[tuple[Turn, Choice]]:
        """Starts chats whose streams continue."""
        started = []
        for number in range(count):
            turn = chat(number)
            started.append((turn, self.router.choose(turn)))
            self.router.placement.first_token_received(*started[-1], Seconds(0.02))
        return started

    def test_long_streams_share_as_few_workers_as_they_need(self) -> None:
        capacity = int(MAX_STREAM_SLOT_SHARE * SLOTS)
        workers = Counter(choice.worker.instance for _, choice in self.start(capacity + 3))
        self.assertEqual(len(workers), 2)
        self.assertLessEqual(max(workers.values()), capacity)
        few = OneRouter()
        self.assertEqual(
            len({few.choose(chat(number)).worker.instance for number in range(int(TARGET_STREAM_SLOT_SHARE * SLOTS))}),
            1,
        )

    def test_concurrent_streams_from_many_routers_exceed_no_workers_slots(self) -> None:
        """Counts of other routers are outdated when they are read.

        If each router filled the first worker that has capacity, thirty streams that start at once would all go there.
        """
        routers = [OneRouter(workers=30, seed=seed) for seed in range(30)]
        order = routers[0].placement._long_streams._orders.order(POOL, ("long streams",), routers[0].workers)
        streams = Counter({worker.instance: 20 for worker in order[:5]})
        for router in routers:
            for instance, count in streams.items():
                router.reported[instance] = ObservedLoad(count, 0.0, 0.0, count)
        streams.update([router.choose(chat(number)).worker.instance for number, router in enumerate(routers)])
        self.assertEqual(len(streams), 5)
        self.assertLessEqual(max(streams.values()), SLOTS)

    def test_reservation_of_a_long_stream_holds_while_its_worker_has_capacity(self) -> None:
        for worker in self.router.workers:
            self.router.reported[worker.instance] = ObservedLoad(9.0, 0.0, 0.0, 9.0)
        first = chat(1)
        self.router.end(first, self.router.choose(first))
        reserved_worker = self.router.choose(chat(1))
        self.assertEqual(reserved_worker.method, "award")
        self.router.reported[reserved_worker.worker.instance] = ObservedLoad(24.0, 0.0, 0.0, 24.0)
        self.assertNotEqual(self.router.choose(chat(1)).worker, reserved_worker.worker)

    def test_all_routers_fill_the_same_worker_first(self) -> None:
        chosen = {OneRouter(seed=seed).choose(chat(1)).worker.instance for seed in range(8)}
        self.assertEqual(len(chosen), 1)

    def test_long_prompts_avoid_the_workers_of_long_streams(self) -> None:
        """A steady flow of long prompts makes the streams on the same worker stall longer than callers accept."""
        streaming = {choice.worker.instance for _, choice in self.start(int(MAX_STREAM_SLOT_SHARE * SLOTS) + 3)}
        for worker in self.router.workers:
            if worker.instance not in streaming:
                # With equal load, prompts do not avoid the workers of long streams because of their load.
                self.router.set_observed_load(worker.instance, 26.0)
        taken = {self.router.take(summary(number)).worker.instance for number in range(120)}
        self.assertEqual(taken & streaming, set())
        self.assertEqual(len(taken), 9 - len(streaming))

    def test_streams_announced_by_other_routers_count(self) -> None:
        first = self.router.choose(chat(1)).worker.instance
        self.router.reported[first] = ObservedLoad(24.0, 0.0, 0.0, 24.0)
        self.assertNotEqual(self.router.choose(chat(2)).worker.instance, first)

    def test_long_prompts_return_some_time_after_the_last_long_stream(self) -> None:
        (turn, choice), *_ = self.start(1)
        self.router.end(turn, choice)
        self.router.clock.now += DEDICATION_PERIOD_S + 1.0
        taken = {self.router.take(summary(number)).worker.instance for number in range(120)}
        self.assertIn(choice.worker.instance, taken)

    def test_overload_of_all_other_workers_opens_the_dedicated_workers(self) -> None:
        """Reserved workers must not stay idle while long prompts wait everywhere else."""
        streaming = self.start(3)[0][1].worker.instance
        for worker in self.router.workers:
            if worker.instance != streaming:
                self.router.set_observed_load(worker.instance, 30.0, 400_000.0)
        chosen = Counter(self.router.choose(summary(number)).worker.instance for number in range(60))
        self.assertGreater(chosen[streaming], 10)

    def test_most_workers_stay_open_to_other_turns(self) -> None:
        """A few long streams at every worker must not reserve the full pool."""
        for worker in self.router.workers:
            self.router.reported[worker.instance] = ObservedLoad(2.0, 0.0, 0.0, 2.0)
        self.start(1)
        taken = {self.router.take(summary(number)).worker.instance for number in range(200)}
        self.assertGreaterEqual(len(taken), 9 - int(PlacementSettings().capacity.max_dedicated_share * 9))

    def test_worker_with_a_long_prefill_queue_gets_no_long_stream(self) -> None:
        first = self.router.choose(chat(1)).worker.instance
        self.router.set_observed_load(first, 8.0, 350_000.0)
        self.assertNotEqual(self.router.choose(chat(2)).worker.instance, first)

    def test_excluded_and_missing_workers_are_skipped_in_the_same_order(self) -> None:
        """Routers with different ready workers must still agree on where the streams go."""
        first = self.router.choose(chat(1)).worker.instance
        second = self.router.choose(chat(1), [first]).worker.instance
        self.router.workers = [worker for worker in self.router.workers if worker.instance != first]
        self.assertEqual(self.router.choose(chat(3)).worker.instance, second)

    def test_counts_are_announced_and_end_with_the_stream(self) -> None:
        (turn, choice), *_ = self.start(1)
        reported: dict[WorkerInstance, ObservedLoad] = self.router.count(choice.worker.pool)
        self.assertEqual(reported[choice.worker.instance].streams, 1.0)
        self.router.placement.finished(turn, choice, "broken", 0, None)
        self.assertEqual(self.router.count(choice.worker.pool).get(choice.worker.instance, ObservedLoad()).streams, 0.0)
