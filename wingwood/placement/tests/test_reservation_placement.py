"""The reservation policy over several simulated routers (docs/DESIGN.md section 11)."""

from __future__ import annotations

import itertools
import unittest
from collections.abc import Sequence
from typing import Any

import msgspec
from returns.result import Success

from emulator.worker import EmulatedWorker
from simulation.world import World
from wingwood.bundle.model import Service
from wingwood.identifiers import PoolName, RequestId, Seconds, ServiceName, SessionId, TenantName, WorkerInstance
from wingwood.placement.messages import SessionRecord, StoreSessionRecords
from wingwood.placement.protocols import Choice, NoWorker, Turn
from wingwood.placement.reservation_placement import ReservationPlacement
from wingwood.placement.session_map import DistributedMap, Entry, session_key
from wingwood.placement.settings import CandidateSettings, CostSettings, PlacementSettings, ReservationSettings
from wingwood.registry.protocols import ObservedLoad
from wingwood.registry.tests.fleet import POOL, Fleet

SERVICE = Service(name=ServiceName("chat"), pool=POOL)
REQUESTS = itertools.count()


def turn_of(prefix: str, tokens: int = 2000, weight: float = 1.0) -> Turn:
    return Turn(
        request=RequestId(f"q{next(REQUESTS)}"),
        service=SERVICE,
        tenant=TenantName("t"),
        weight=weight,
        prefix=tuple(prefix.split("/")) if prefix else (),
        prompt_tokens=tokens,
    )


class PlacementFleet(Fleet):
    """Routers with the reservation policy over their registries; workers renew each second until they are stopped."""

    def __init__(
        self, world: World, count: int = 6, workers: int = 4, settings: PlacementSettings | None = None
    ) -> None:
        super().__init__(world, count)
        self.placements: dict[str, ReservationPlacement] = {}
        self.maps: dict[str, DistributedMap] = {}
        self.renewing: dict[str, EmulatedWorker] = {}
        for name, router in sorted(self.routers.items()):
            self.place(name, settings)
            router.registry.watch(POOL)
        for number in range(workers):
            self.renewing[f"w{number}"] = self.start_worker(f"w{number}")
        self.run(1.0)

    def place(self, name: str, settings: PlacementSettings | None) -> None:
        router = self.routers[name]

        async def make() -> bool:
            session_map = self.maps[name] = DistributedMap(router.context, router.messenger, router.membership)
            self.placements[name] = ReservationPlacement(
                router.context, router.membership, router.registry, router.registry, session_map, settings
            )
            session_map.on_entry_stored = self.placements[name].entry_stored
            return True

        self.inside(name, make)

    def run(self, seconds: float) -> None:
        """Lets time pass while the workers renew at the first router that is alive."""
        edge = next(name for name in sorted(self.roster.identities) if self.world.processes[name].alive)
        while seconds > 0:
            for _, worker in sorted(self.renewing.items()):
                self.announce(worker, edge)
            self.world.run(min(seconds, 0.9))
            seconds -= 0.9

    def choose(self, router: str, turn: Turn, excluded: Sequence[WorkerInstance] = ()) -> Choice | NoWorker:
        outcome = self.inside(router, lambda: self.placements[router].choose(turn, excluded))
        found: Choice | NoWorker = outcome.unwrap() if isinstance(outcome, Success) else outcome.failure()
        return found

    def finish(self, router: str, turn: Turn, choice: Choice, outcome: Any = "whole", generated: int = 100) -> None:
        async def end() -> bool:
            self.placements[router].finished(turn, choice, outcome, generated, Seconds(0.4))
            return True

        self.inside(router, end)

    def take(self, router: str, prefix: str, tokens: int = 2000, weight: float = 1.0, outcome: Any = "whole") -> Choice:
        turn = turn_of(prefix, tokens, weight)
        choice = self.choose(router, turn)
        assert isinstance(choice, Choice), choice
        self.finish(router, turn, choice, outcome)
        self.world.run(0.02)
        return choice

    def owners(self, prefix: str) -> list[str]:
        key = session_key(POOL, turn_of(prefix).session or "")  # type: ignore[arg-type]
        session_map = next(self.maps[name] for name in sorted(self.maps) if name in self.roster.identities)
        return [str(identity.name) for identity in session_map._owners_of(key)]

    def expect_sessions(self, router: str, instance: WorkerInstance, count: int) -> None:
        """Counts this many more sessions as reserved at the worker; the next call moves them to its worker."""
        workload = self.placements[router]._workload

        async def expect() -> bool:
            now = self.routers[router].context.clock.monotonic()
            for key in range(count):
                workload.expect(-key - 1, instance, now)
            return True

        self.inside(router, expect)

    async def elsewhere(self, router: str, instance: WorkerInstance) -> ObservedLoad:
        return self.routers[router].registry.observed_load_of_others(instance)

    def others_than(self, *names: str) -> list[str]:
        return [name for name in sorted(self.roster.identities) if name not in names]

    def lose(self, name: str) -> None:
        self.world.kill(name)
        self.roster.remove(name)


class ReservationPlacementTest(unittest.TestCase):
    def fleet(self, settings: PlacementSettings | None = None) -> PlacementFleet:
        world = World(11)
        world.__enter__()
        self.addCleanup(world.close)
        self.addCleanup(lambda: self.assertEqual(world.broken_invariants, []))
        return PlacementFleet(world, settings=settings)

    def test_next_turn_goes_to_the_reserved_worker_at_any_router(self) -> None:
        fleet = self.fleet()
        for session in range(6):
            first = fleet.take("r0", f"s{session}")
            self.assertEqual(first.method, "bid")
            for router in ("r1", "r4", "r0"):
                again = fleet.take(router, f"s{session}", 2100)
                self.assertEqual((again.method, again.worker.instance), ("award", first.worker.instance))
            self.assertLess(again.uncached_tokens, 200)

    def test_reservation_is_void_when_its_worker_drains_restarts_or_is_excluded(self) -> None:
        """A restarted worker has an empty cache, although it may be the cheapest again."""
        for change in ("drain", "restart", "exclude"):
            with self.subTest(change):
                fleet = self.fleet()
                reserved_worker = fleet.take("r0", "s").worker
                worker = next(w for w in fleet.workers.values() if w.instance == reserved_worker.instance)
                if change == "drain":
                    worker.state = "draining"
                elif change == "restart":
                    worker.restart_empty()
                fleet.run(0.5)
                turn = turn_of("s", 2100)
                choice = fleet.choose("r3", turn, (reserved_worker.instance,) if change == "exclude" else ())
                assert isinstance(choice, Choice)
                self.assertNotEqual((choice.method, choice.worker.instance), ("award", reserved_worker.instance))
                self.assertGreater(choice.uncached_tokens, 2000)
                if change != "restart":
                    self.assertNotEqual(choice.worker.instance, reserved_worker.instance)

    def test_reservation_expires_and_leaves_a_claim(self) -> None:
        """The worker may still cache the prefix after the reservation has expired."""
        fleet = self.fleet(PlacementSettings(reservations=ReservationSettings(lifetime=Seconds(5.0))))
        reserved_worker = fleet.take("r0", "s").worker
        fleet.run(6.3)
        for router in fleet.others_than():
            again = fleet.choose(router, turn_of("s", 2100))
            assert isinstance(again, Choice)
            self.assertEqual((again.method, again.worker.instance), ("claim", reserved_worker.instance))

    def test_session_moves_only_for_a_gain_above_the_margin(self) -> None:
        for gain, stays in ((0.5, True), (0.0, False)):
            settings = PlacementSettings(
                candidates=CandidateSettings(min_move_gain=Seconds(gain)), costs=CostSettings(next_turn_wait_weight=1.0)
            )
            fleet = self.fleet(settings)
            first = fleet.take("r0", "s", 200).worker.instance
            first_choice = fleet.choose("r0", turn := turn_of("s", 300))
            assert isinstance(first_choice, Choice)
            fleet.expect_sessions("r0", first_choice.worker.instance, 20)
            fleet.finish("r0", turn, first_choice, generated=1)
            fleet.world.run(0.02)
            after = fleet.choose("r1", turn_of("s", 400))
            assert isinstance(after, Choice)
            self.assertEqual(after.worker.instance == first, stays)

    def test_worker_that_refused_a_turn_is_avoided_for_a_moment(self) -> None:
        fleet = self.fleet()
        reserved_worker = fleet.take("r0", "s").worker.instance
        fleet.take("r1", "s", 2100, outcome="refused")
        self.assertNotEqual(fleet.take("r1", "s", 2100, outcome="refused").worker.instance, reserved_worker)
        at_other = fleet.take("r2", "s", 2100)
        self.assertEqual(
            (at_other.method, at_other.worker.instance),
            ("award", reserved_worker),
            "a refused turn must not change the reservation",
        )
        for _ in fleet.renewing:
            fleet.take("r3", "t", outcome="refused")
        self.assertIsInstance(fleet.choose("r3", turn_of("t")), Choice, "a worker that refused is better than none")

    def test_turn_that_admission_refused_leaves_no_claim(self) -> None:
        """A claim would send later turns to a worker that never received the prefix."""
        fleet = self.fleet()
        placement = fleet.placements["r0"]
        turn = turn_of("s")

        async def refused_by_admission() -> bool:
            placement.finished(turn, (await placement.choose(turn, ())).unwrap(), "cancelled", 0, None)
            return True

        fleet.inside("r0", refused_by_admission)
        fleet.world.run(0.1)
        choice = fleet.choose("r1", turn_of("s"))
        assert isinstance(choice, Choice)
        self.assertEqual((choice.method, choice.uncached_tokens), ("bid", 2000))

    def test_reservation_is_passed_over_when_its_worker_would_exceed_the_callers_timeout(self) -> None:
        fleet = self.fleet()
        reserved_worker = fleet.take("r0", "s").worker.instance
        for turns, method in ((10, "award"), (21, "bid")):
            for _ in range(turns):
                fleet.placements["r1"]._workload.begin(reserved_worker)
            choice = fleet.choose("r1", turn_of("s", 2100))
            assert isinstance(choice, Choice)
            self.assertEqual((choice.method, choice.worker.instance == reserved_worker), (method, method == "award"))

    def test_prefix_that_the_model_counts_as_evicted_is_uncached(self) -> None:
        fleet = self.fleet()
        fleet.take("r0", "s", 2000)
        cached = fleet.choose("r1", turn_of("s", 2100))
        placement = fleet.placements["r1"]

        async def use_other_sessions() -> bool:
            now = fleet.routers["r1"].context.clock.monotonic()
            for key in range(100):
                placement.entry_stored(
                    key, Entry(pool=POOL, cache_worker=WorkerInstance("x"), tokens=0, own_tokens=4000, last_used_at=now)
                )
            return True

        fleet.inside("r1", use_other_sessions)
        evicted = fleet.choose("r1", turn_of("s", 2100))
        assert isinstance(cached, Choice) and isinstance(evicted, Choice)
        self.assertEqual((cached.uncached_tokens, evicted.uncached_tokens), (0, 2100))

    def test_older_record_never_replaces_a_newer_one(self) -> None:
        """Records of several routers may arrive out of order."""
        fleet = self.fleet()
        reserved_worker = fleet.take("r0", "s").worker.instance
        key = session_key(POOL, SessionId("s"))
        old = SessionRecord(
            key, POOL, WorkerInstance("old"), 100, 100, Seconds(9.0), WorkerInstance("old"), Seconds(99.0)
        )
        for name in fleet.owners("s"):
            fleet.maps[name]._on_store_records(fleet.routers["r0"].identity, StoreSessionRecords((old,)))
        choice = fleet.choose("r2", turn_of("s", 2100))
        assert isinstance(choice, Choice)
        self.assertEqual((choice.method, choice.worker.instance), ("award", reserved_worker))

    def test_newer_local_record_takes_precedence_over_the_owners(self) -> None:
        """The post to the owners may be lost, so that they answer with an older reservation."""
        fleet = self.fleet()
        reserved_worker = fleet.take("r0", "s").worker.instance
        router = fleet.others_than(*fleet.owners("s"))[0]
        fleet.routers[router].messenger.post = lambda *_: None  # type: ignore[method-assign]
        turn = turn_of("s", 2100)
        moved = fleet.choose(router, turn, (reserved_worker,))
        assert isinstance(moved, Choice)
        fleet.finish(router, turn, moved)
        again = fleet.choose(router, turn_of("s", 2200))
        assert isinstance(again, Choice)
        self.assertEqual((again.method, again.worker.instance), ("award", moved.worker.instance))

    def test_turn_without_a_hint_follows_the_claim(self) -> None:
        """A broken answer gives no hint and therefore no reservation, but the prefix was sent to the worker."""
        fleet = self.fleet()
        first = fleet.take("r0", "s", outcome="broken")
        again = fleet.take("r1", "s", 2100)
        self.assertEqual((again.method, again.worker.instance), ("claim", first.worker.instance))

    def test_replica_answers_for_a_frozen_owner(self) -> None:
        fleet = self.fleet()
        reserved_worker = fleet.take("r0", "s").worker
        owner, replica = fleet.owners("s")
        fleet.world.freeze(owner)
        asker = fleet.others_than(owner, replica)[0]
        before = fleet.world.now
        again = fleet.take(asker, "s", 2100)
        self.assertEqual((again.method, again.worker.instance), ("award", reserved_worker.instance))
        self.assertLess(fleet.world.now - before, 0.1)

    def test_all_routers_agree_when_no_owner_answers(self) -> None:
        """Otherwise turns of one session would be spread over all workers while the owners fail."""
        fleet = self.fleet()
        pair = fleet.owners("fresh")
        for name in pair:
            fleet.world.freeze(name)
        chosen = [fleet.choose(name, turn_of("fresh")) for name in fleet.others_than(*pair)]
        self.assertEqual({choice.method for choice in chosen if isinstance(choice, Choice)}, {"hash"})
        self.assertEqual(len({choice.worker.instance for choice in chosen if isinstance(choice, Choice)}), 1)

    def test_two_frozen_owners_delay_only_the_first_turn_by_their_timeouts(self) -> None:
        """The owners that did not answer are skipped for a while afterwards."""
        fleet = self.fleet()
        pair = fleet.owners("fresh")
        for name in pair:
            fleet.world.freeze(name)
        asker = fleet.others_than(*pair)[0]
        times = []
        for _ in range(2):
            before = fleet.world.now
            fleet.choose(asker, turn_of("fresh"))
            times.append(fleet.world.now - before)
        self.assertLess(times[0], 0.041)
        self.assertLess(times[1], 0.011, "owners that did not answer must be skipped")

    def test_reservations_survive_the_loss_of_owner_after_owner(self) -> None:
        """Each remaining owner hands its records over to the new one."""
        fleet = self.fleet()
        reserved_workers = {
            f"s{number}": fleet.take(f"r{number % 6}", f"s{number}").worker.instance for number in range(12)
        }
        for _ in range(3):
            lost = fleet.owners("s0")[0]
            fleet.lose(lost)
            fleet.run(1.0)
        for session, reserved_worker in reserved_workers.items():
            for router in fleet.others_than():
                choice = fleet.choose(router, turn_of(session, 2100))
                assert isinstance(choice, Choice)
                self.assertEqual((choice.method, choice.worker.instance), ("award", reserved_worker))

    def test_restarted_owner_without_records_does_not_hide_known_reservations(self) -> None:
        """The restarted owner answers that it has no record; the lookup must go on to the replica."""
        fleet = self.fleet()
        reserved_worker = fleet.take("r0", "s").worker.instance
        owner, replica = fleet.owners("s")
        fleet.world.restart(owner)
        fleet.world.run(0.01)
        fleet.place(owner, None)
        fleet.routers[owner].registry.watch(POOL)
        for router in fleet.others_than(owner, replica):
            choice = fleet.choose(router, turn_of("s", 2100))
            assert isinstance(choice, Choice)
            self.assertEqual((choice.method, choice.worker.instance), ("award", reserved_worker))

    def test_class_that_pays_less_leaves_a_crowded_worker_first(self) -> None:
        """The same crowd at the cache worker moves the session of the lower class only."""
        fleet = self.fleet()
        stayed = {}
        for name, weight in (("paid", 4.0), ("free", 1.0)):
            fleet.take("r0", name, 3000, weight)
            first_choice = fleet.choose("r0", turn := turn_of(name, 3100, weight))
            assert isinstance(first_choice, Choice)
            fleet.expect_sessions("r0", first_choice.worker.instance, 200)
            fleet.finish("r0", turn, first_choice)
            fleet.expect_sessions("r0", WorkerInstance("nobody"), 200)
            fleet.world.run(0.02)
            after = fleet.choose("r1", turn_of(name, 3200, weight))
            assert isinstance(after, Choice)
            stayed[name] = after.worker.instance == first_choice.worker.instance
        self.assertEqual(stayed, {"paid": True, "free": False})

    def test_shared_prefix_in_high_demand_spreads_over_several_workers(self) -> None:
        fleet = self.fleet()
        counts: dict[str, int] = {}
        for number in range(24):
            turn = turn_of(f"lease/s{number}", 3000)
            choice = fleet.choose(f"r{number % 6}", turn)
            assert isinstance(choice, Choice)
            counts[choice.worker.instance] = counts.get(choice.worker.instance, 0) + 1
            fleet.run(0.4)
        self.assertGreaterEqual(len(counts), 3)
        self.assertLessEqual(max(counts.values()), 12)

    def test_prefix_in_demand_gets_more_workers_before_they_are_full(self) -> None:
        fleet = self.fleet()
        sizes = []
        for interval_s in (5.0, 0.05):
            for number in range(12):
                fleet.take("r0", f"lease/{interval_s}-{number}", 3000, outcome="broken")
                fleet.run(interval_s)
            placement = fleet.placements["r0"]
            ready = fleet.routers["r0"].registry.ready(POOL)

            async def candidates() -> list[object]:
                return list(placement._estimated_size_costs.prefix_candidates(turn_of("lease/new"), ready))  # noqa: B023

            sizes.append(len(fleet.inside("r0", candidates)))
        self.assertEqual(sizes, [2, 4])

    def test_shared_prefix_in_low_demand_stays_where_it_is_cached(self) -> None:
        fleet = self.fleet()
        workers = set()
        for number in range(10):
            choice = fleet.take("r0", f"lease/s{number}", 3000)
            workers.add(choice.worker.instance)
            fleet.run(5.0)
        self.assertLessEqual(len(workers), 2)
        self.assertEqual(choice.method, "claim")
        self.assertLess(choice.uncached_tokens, 1000)

    def test_refusals_distinguish_full_from_missing_workers(self) -> None:
        fleet = self.fleet()
        for worker in fleet.renewing.values():
            for _ in range(4 * worker.options.slots):
                fleet.placements["r0"]._workload.begin(WorkerInstance(worker.instance))
        full = fleet.choose("r0", turn_of("s"))
        assert isinstance(full, NoWorker)
        self.assertEqual(full.reason, "all-full")
        self.assertGreater(full.retry_after, 0.1)
        missing = fleet.choose(
            "r0", msgspec.structs.replace(turn_of("s"), service=Service(name=ServiceName("x"), pool=PoolName("none")))
        )
        self.assertEqual(missing, NoWorker("none-ready", Seconds(1.0)))

    def test_reserved_sessions_count_at_the_reserved_worker_until_their_next_reservation_or_expiry(self) -> None:
        """Counting a session at several routers or for ever would make its worker look loaded."""
        fleet = self.fleet(PlacementSettings(reservations=ReservationSettings(expected_turn_lifetime=Seconds(5.0))))
        owner = fleet.owners("s")[0]
        reserved_worker = fleet.take("r0", "s").worker.instance
        self.assertEqual(fleet.placements[owner]._workload.own(reserved_worker).expected, 1.0)
        fleet.take("r1", "s", 2100)
        fleet.run(1.5)
        expected = [fleet.placements[name]._workload.own(reserved_worker).expected for name in fleet.others_than()]
        self.assertEqual(sum(expected), 1.0)
        other = fleet.others_than(owner)[0]
        self.assertEqual(fleet.inside(other, lambda: fleet.elsewhere(other, reserved_worker)).expected, 1.0)
        fleet.run(4.0)
        number = next(n for n in range(999) if fleet.owners(f"t{n}")[0] == owner)
        gone = fleet.take("r0", f"t{number}").worker.instance
        self.assertEqual(
            fleet.placements[owner]._workload.own(reserved_worker).expected, float(gone == reserved_worker)
        )

    def test_other_routers_see_the_counts_of_a_router(self) -> None:
        fleet = self.fleet()
        choice = fleet.choose("r0", turn_of("s"))
        assert isinstance(choice, Choice)
        fleet.run(1.2)
        for name in fleet.others_than("r0"):
            self.assertGreaterEqual(fleet.placements[name]._workload.load(choice.worker), 1.0)


if __name__ == "__main__":
    unittest.main()
