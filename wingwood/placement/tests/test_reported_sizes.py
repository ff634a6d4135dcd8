"""The reservation policy with reported prompt parts, splits, urgency and deadlines; one router on a manual clock."""

from __future__ import annotations

import unittest
from collections import Counter

import msgspec

from wingwood.bundle.model import PoolShare, Service
from wingwood.identifiers import Instant, Seconds, ServiceName, WorkerInstance
from wingwood.placement.session_map import Entry, LocalMap, Unreachable
from wingwood.placement.session_recurrence import MIN_OBSERVED_TURNS, SAMPLED_ONE_IN
from wingwood.placement.worker_estimates import FULL_TURNS_PER_SLOT

from .one_router import OTHER_POOL, POOL, SUMMARY, OneRouter, sized_turn

HEAVY_PREFILL_FLOW = 250_000.0
"""Tokens per second that keep an engine of ``OneRouter.teach`` busy for five sixths of the time."""

LIGHT_PREFILL_FLOW = 120_000.0
"""Tokens per second that keep such an engine busy for two fifths of the time."""


class CountingMap(LocalMap):
    """A session map that counts lookups and records."""

    def __init__(self) -> None:
        super().__init__()
        self.lookups = 0
        self.recorded = 0

    async def find(self, key: int) -> Entry | Unreachable | None:
        self.lookups += 1
        return await super().find(key)

    def record(self, key: int, entry: Entry) -> None:
        self.recorded += 1
        super().record(key, entry)


class ReservationsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.router = OneRouter()
        self.router.teach()

    def test_next_turn_goes_to_the_reserved_worker_and_prefills_only_new_tokens(self) -> None:
        first = self.router.take(sized_turn("kind:2500 subject:3800", 3000))
        again = self.router.take(sized_turn("kind:2500 subject:3800", 1700))
        self.assertEqual((again.method, again.worker), ("award", first.worker))
        self.assertEqual((first.uncached_tokens, again.uncached_tokens), (9300, 1700))

    def test_all_routers_send_the_first_turns_of_a_prefix_to_one_worker(self) -> None:
        """Otherwise each router would have the same prefix prefilled at another worker."""
        for subject in ("s1", "s2", "s3", "s4"):
            chosen = set()
            for seed in range(6):
                router = OneRouter(seed=seed)
                chosen.add(router.choose(sized_turn(f"kind:2500 {subject}:3800")).worker.instance)
            self.assertEqual(len(chosen), 1)

    def test_subjects_spread_over_the_workers(self) -> None:
        counts = Counter(
            self.router.take(sized_turn(f"kind:2500 subject{number}:3800")).worker.instance for number in range(180)
        )
        self.assertEqual(len(counts), 9)
        self.assertLess(max(counts.values()), 45)

    def test_reservation_is_passed_over_if_another_worker_meets_the_objective(self) -> None:
        reserved_worker = self.router.take(sized_turn("kind:2500 subject:3800")).worker
        self.router.set_observed_load(reserved_worker.instance, 8.0, HEAVY_PREFILL_FLOW)
        choice_elsewhere = self.router.choose(sized_turn("kind:2500 subject:3800"))
        self.assertNotEqual((choice_elsewhere.method, choice_elsewhere.worker), ("award", reserved_worker))
        self.assertLess(choice_elsewhere.first_token, 0.1)

    def test_crowded_reserved_worker_gets_the_turn_if_all_workers_are_crowded_or_there_is_no_objective(self) -> None:
        reserved_worker = self.router.take(sized_turn("kind:2500 subject:3800")).worker
        self.router.set_observed_load_everywhere(8.0, HEAVY_PREFILL_FLOW)
        choice_at_reserved_worker = self.router.choose(sized_turn("kind:2500 subject:3800"))
        self.assertEqual(
            (choice_at_reserved_worker.method, choice_at_reserved_worker.worker), ("award", reserved_worker)
        )
        self.router.set_observed_load_everywhere()
        self.router.set_observed_load(reserved_worker.instance, 8.0, HEAVY_PREFILL_FLOW)
        service = msgspec.structs.replace(SUMMARY, latency_objective=None)
        without_objective = self.router.choose(sized_turn("kind:2500 subject:3800", service=service))
        self.assertEqual((without_objective.method, without_objective.worker), ("award", reserved_worker))

    def test_reservation_goes_to_another_worker_if_the_cache_worker_is_crowded_at_the_hint(self) -> None:
        """The comparison at the hint moves the session before its next turn arrives."""
        turn = sized_turn("kind:2500 subject:3800")
        choice = self.router.choose(turn)
        self.router.set_observed_load(choice.worker.instance, 8.0, HEAVY_PREFILL_FLOW)
        self.router.end(turn, choice)
        self.router.set_observed_load(choice.worker.instance)
        again = self.router.choose(sized_turn("kind:2500 subject:3800"))
        self.assertEqual(again.method, "award")
        self.assertNotEqual(again.worker, choice.worker)

    def test_reservation_stays_with_the_cache_worker_for_a_small_gain(self) -> None:
        """Moving for every small difference would prefill prompts again at each move."""
        for number in range(8):
            turn = sized_turn(f"kind:2500 subject{number}:3800")
            choice = self.router.choose(turn)
            self.router.set_observed_load(choice.worker.instance, 2.0, 60_000.0)
            self.router.end(turn, choice)
            next_turn = sized_turn(f"kind:2500 subject{number}:3800")
            again = self.router.choose(next_turn)
            self.assertEqual((again.method, again.worker), ("award", choice.worker))
            self.router.end(next_turn, again)
            self.router.set_observed_load_everywhere()

    def test_subject_in_high_demand_spreads_over_several_workers_and_is_prefilled_once_at_each(self) -> None:
        uncached: Counter[WorkerInstance] = Counter()
        counts: Counter[WorkerInstance] = Counter()
        for _ in range(80):
            choice = self.router.take(sized_turn("kind:2500 hot:3800"))
            counts[choice.worker.instance] += 1
            uncached[choice.worker.instance] += choice.uncached_tokens > 5000
            self.router.clock.now += 0.2
        self.assertGreaterEqual(sum(count >= 8 for count in counts.values()), 3)
        self.assertLessEqual(max(counts.values()), 40)
        self.assertLessEqual(len(counts), 6)
        self.assertLessEqual(max(uncached.values()), 1)

    def test_concurrent_turns_of_a_session_leave_its_reservation_unchanged(self) -> None:
        """Otherwise the first of several concurrent turns would void the reservation that the others need."""
        turn = sized_turn("kind:2500 subject:3800")
        cache_worker = self.router.choose(turn)
        self.router.set_observed_load(cache_worker.worker.instance, 8.0, HEAVY_PREFILL_FLOW)
        self.router.end(turn, cache_worker)
        self.router.set_observed_load(cache_worker.worker.instance)
        choices = [self.router.choose(sized_turn("kind:2500 subject:3800")) for _ in range(3)]
        self.assertEqual([choice.method for choice in choices], ["award"] * 3)
        self.assertEqual(len({choice.worker.instance for choice in choices} - {cache_worker.worker.instance}), 1)

    def test_part_that_the_engine_evicted_counts_as_uncached(self) -> None:
        turn = sized_turn("kind:2500 subject:3800")
        reserved_worker = self.router.take(turn).worker
        self.router.set_observed_load_everywhere(2.0, 90_000.0)
        self.router.clock.now += 30.0
        again = self.router.choose(sized_turn("kind:2500 subject:3800"))
        self.assertEqual(again.worker, reserved_worker)
        self.assertGreater(again.uncached_tokens, 2900 + 3700)

    def test_short_prompts_prefer_workers_of_the_own_zone(self) -> None:
        zones = Counter(self.router.take(sized_turn(f"chat:47 t{n}:30", 140)).worker.zone for n in range(60))
        self.assertGreater(zones["a"], 35)  # type: ignore[index]

    def test_short_prompts_avoid_crowded_workers(self) -> None:
        busy = {f"w{number}" for number in range(0, 9, 2)}
        for name in busy:
            self.router.set_observed_load(WorkerInstance(name), 6.0, HEAVY_PREFILL_FLOW)
        chosen = [self.router.choose(sized_turn(f"chat:47 t{n}:30", 140)).worker.instance for n in range(30)]
        self.assertLessEqual(sum(instance in busy for instance in chosen), 3)

    def test_removed_worker_is_forgotten(self) -> None:
        reserved_worker = self.router.take(sized_turn("kind:2500 subject:3800")).worker
        self.router.workers.remove(reserved_worker)
        self.router.changed(msgspec.structs.replace(reserved_worker, state="gone"))
        again = self.router.take(sized_turn("kind:2500 subject:3800"))
        self.assertEqual(again.uncached_tokens, 2900 + 6300)
        self.assertEqual(self.router.choose(sized_turn("kind:2500 subject:3800")).method, "award")


class LookupsTest(unittest.TestCase):
    def test_sessions_that_never_recur_are_rarely_looked_up_or_recorded(self) -> None:
        """Each lookup and record costs messages to other routers, which are useless for such sessions."""
        session_map = CountingMap()
        router = OneRouter(session_map=session_map)
        for number in range(MIN_OBSERVED_TURNS + 400):
            if number == MIN_OBSERVED_TURNS:
                session_map.lookups = session_map.recorded = 0
            router.take(sized_turn(f"kind:2500 own{number}:2900", 0))
        self.assertLess(session_map.lookups, 400 / SAMPLED_ONE_IN * 1.6)
        self.assertGreater(session_map.lookups, 400 / SAMPLED_ONE_IN * 0.5)
        self.assertLess(session_map.recorded, 2 * 400 / SAMPLED_ONE_IN * 1.6)

    def test_sessions_that_recur_are_looked_up_each_time(self) -> None:
        session_map = CountingMap()
        router = OneRouter(session_map=session_map)
        for number in range(300):
            router.take(sized_turn(f"kind:2500 subject{number % 100}:3800"))
        self.assertEqual(session_map.lookups, 300)

    def test_sessions_that_start_to_recur_are_tracked_again(self) -> None:
        """A sample of the sessions stays tracked so that the router notices the change."""
        router = OneRouter(session_map=CountingMap())
        for number in range(MIN_OBSERVED_TURNS + 100):
            router.take(sized_turn(f"kind:2500 own{number}:2900", 0))
        self.assertFalse(router.placement._recurrence.sessions_recur(SUMMARY.name))
        for number in range(1200):
            router.take(sized_turn(f"kind:2500 again{number % 40}:2900", 0))
        self.assertTrue(router.placement._recurrence.sessions_recur(SUMMARY.name))

    def test_turns_that_share_all_but_the_last_part_go_to_one_worker_before_recurrence_is_known(self) -> None:
        """While the last part counted, turns with the same shared parts went to as many workers as there were turns."""
        for subject in ("s1", "s2", "s3", "s4"):
            chosen = set()
            for seed in range(6):
                router = OneRouter(seed=seed)
                router.teach()
                choice = router.choose(sized_turn(f"kind:2500 {subject}:3800 own{seed}:2900", 0))
                chosen.add(choice.worker.instance)
            self.assertEqual(len(chosen), 1)

    def test_shared_part_is_not_prefilled_again_elsewhere_because_of_a_short_wait(self) -> None:
        """A short wait costs less than evicting another part from a second worker's cache."""
        workers = set()
        for seed in range(6):
            router = OneRouter(seed=seed)
            router.teach()
            first_choice = router.choose(sized_turn("kind:2500 subject:3800 own:2900", 0)).worker
            router.set_observed_load(first_choice.instance, 2.0, LIGHT_PREFILL_FLOW)
            workers.add(router.choose(sized_turn("kind:2500 subject:3800 other:2900", 0)).worker.instance)
        self.assertEqual(len(workers), 1)

    def test_parts_of_a_single_request_do_not_count_as_cached(self) -> None:
        """Each request's own last part is never prompted again."""
        router = OneRouter()
        for number in range(MIN_OBSERVED_TURNS + 100):
            router.take(sized_turn(f"kind:2500 own{number}:2900", 0))
        turn = sized_turn("kind:2500 fresh:2900", 0)
        self.assertLess(abs(router.choose(turn).uncached_tokens - 2900), 600)


class SplitsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.router = OneRouter()
        for number in (6, 7, 8):
            self.router.workers[number] = msgspec.structs.replace(self.router.workers[number], pool=OTHER_POOL)
        self.service = msgspec.structs.replace(SUMMARY, split=(PoolShare(POOL, 75), PoolShare(OTHER_POOL, 25)))

    def turn(self, number: int) -> str:
        return f"kind:2500 subject{number}:3800"

    def test_calls_go_to_pools_by_weight_and_sessions_return_to_their_worker(self) -> None:
        pools: Counter[str] = Counter()
        for number in range(200):
            first = self.router.take(sized_turn(self.turn(number), service=self.service))
            again = self.router.take(sized_turn(self.turn(number), service=self.service))
            pools[first.worker.pool] += 1
            self.assertEqual((again.method, again.worker), ("award", first.worker))
        self.assertAlmostEqual(pools[OTHER_POOL] / 200, 0.25, delta=0.08)

    def test_pool_without_a_ready_worker_is_skipped(self) -> None:
        del self.router.workers[6:]
        for number in range(20):
            choice = self.router.choose(sized_turn(self.turn(number), service=self.service))
            self.assertEqual(choice.worker.pool, POOL)

    def test_full_pool_is_skipped_and_the_refusal_says_full_rather_than_none_ready(self) -> None:
        """A refusal for a pool without ready workers would hide when it is worth retrying."""
        for worker in self.router.workers[:6]:
            self.router.set_observed_load(worker.instance, FULL_TURNS_PER_SLOT * worker.slots)
        for number in range(20):
            choice = self.router.choose(sized_turn(self.turn(number), service=self.service))
            self.assertEqual(choice.worker.pool, OTHER_POOL)
        del self.router.workers[6:]
        for number in range(20):
            self.assertEqual(
                self.router.refusal(sized_turn(self.turn(number), service=self.service)).reason, "all-full"
            )

    def test_second_attempt_goes_to_another_worker_of_any_pool(self) -> None:
        pools: Counter[str] = Counter()
        for number in range(100):
            turn = sized_turn(self.turn(number), service=self.service)
            first = self.router.choose(turn)
            second = self.router.choose(turn, (first.worker.instance,))
            self.assertNotEqual(first.worker, second.worker)
            pools[second.worker.pool] += 1
        self.assertGreater(min(pools[POOL], pools[OTHER_POOL]), 8)

    def test_session_moves_when_its_service_changes_pools(self) -> None:
        first = self.router.take(sized_turn(self.turn(1)))
        moved = msgspec.structs.replace(SUMMARY, pool=OTHER_POOL)
        choice = self.router.choose(sized_turn(self.turn(1), service=moved))
        self.assertEqual((first.worker.pool, choice.worker.pool), (POOL, OTHER_POOL))
        self.assertNotEqual(choice.method, "award")


class RefusalsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.router = OneRouter()
        self.router.teach()

    def deadline_in(self, seconds: float) -> Instant:
        return Instant(self.router.clock.now + seconds)

    def test_turn_that_cannot_meet_its_deadline_is_refused_when_workers_are_busy(self) -> None:
        self.router.set_observed_load_everywhere(120.0, 900_000.0)
        refusal = self.router.refusal(sized_turn("kind:2500 s:3800", deadline=self.deadline_in(0.5)))
        self.assertEqual(refusal.reason, "all-full")
        self.assertGreater(refusal.retry_after, 0.1)

    def test_turn_that_only_misses_its_objective_is_served(self) -> None:
        self.router.set_observed_load_everywhere(20.0, 400_000.0)
        choice = self.router.choose(sized_turn("kind:2500 s:3800", deadline=self.deadline_in(2.0)))
        self.assertGreater(choice.first_token, 0.2)

    def test_nothing_is_refused_while_less_than_half_of_the_slots_are_taken(self) -> None:
        self.router.set_observed_load_everywhere(10.0, 900_000.0)
        choice = self.router.choose(sized_turn("kind:2500 s:3800", deadline=self.deadline_in(0.1)))
        self.assertGreater(choice.first_token, 0.1)

    def test_less_urgent_turns_are_refused_first(self) -> None:
        chat = Service(name=ServiceName("chat"), pool=POOL, latency_objective=Seconds(0.15))
        self.router.set_observed_load_everywhere(0.9 * FULL_TURNS_PER_SLOT * 32)
        self.assertIn("w", self.router.choose(sized_turn("c:47 t:30", 140, chat, urgency=2)).worker.instance)
        self.assertEqual(self.router.refusal(sized_turn("kind:2500 s:3800", urgency=6)).reason, "all-full")
        self.router.set_observed_load_everywhere(FULL_TURNS_PER_SLOT * 32)
        self.assertEqual(self.router.refusal(sized_turn("c:47 t:30", 140, chat, urgency=2)).reason, "all-full")

    def test_turns_of_a_single_urgency_may_use_all_capacity(self) -> None:
        """Capacity is reserved only while more urgent turns occur."""
        self.router.set_observed_load_everywhere(0.9 * FULL_TURNS_PER_SLOT * 32)
        self.router.choose(sized_turn("kind:2500 s:3800"))


class PlainPoolTest(unittest.TestCase):
    def setUp(self) -> None:
        self.router = OneRouter(workers=3, cache_tokens=0)
        self.service = Service(name=ServiceName("status"), pool=POOL, kind="plain", streaming=False)

    def choose(self, excluded: tuple[WorkerInstance, ...] = ()) -> str:
        return self.router.choose(sized_turn("", 150, self.service), excluded).worker.instance

    def test_own_zone_is_preferred_between_equal_loads(self) -> None:
        self.assertEqual([self.choose() for _ in range(1)], ["w0"])

    def test_another_zone_is_used_as_soon_as_its_load_is_lower(self) -> None:
        counts = Counter(self.choose() for _ in range(9))
        self.assertEqual(counts, {"w0": 3, "w1": 3, "w2": 3})

    def test_full_worker_gets_no_turn_while_another_has_capacity(self) -> None:
        self.router = OneRouter(workers=8, cache_tokens=0)
        for number in range(7):
            self.router.set_observed_load(WorkerInstance(f"w{number}"), 6.0)
        self.assertEqual([self.choose() for _ in range(6)], ["w7"] * 6)

    def test_excluded_worker_is_never_chosen(self) -> None:
        for _ in range(10):
            self.assertNotEqual(self.choose((WorkerInstance("w0"),)), "w0")


if __name__ == "__main__":
    unittest.main()
