"""Balancing policies without reservations, and the choice of the policy by settings (docs/DESIGN.md section 11.6)."""

from __future__ import annotations

import unittest
from collections.abc import Sequence
from typing import cast

import msgspec
from returns.result import Success

from simulation.world import World
from wingwood.identifiers import Seconds, WorkerInstance
from wingwood.placement.plain_policies import LeastLoaded, RoundRobin, StickyByHash
from wingwood.placement.policies import create_placement
from wingwood.placement.protocols import Choice, NoWorker, Placement, Turn
from wingwood.registry.tests.fleet import POOL, Fleet
from wingwood.settings.model import DaemonSettings

from .test_reservation_placement import turn_of


class PlainPoliciesTest(unittest.TestCase):
    def placements(self, balancing: str, routers: int = 1) -> tuple[Fleet, dict[str, Placement]]:
        fleet = Fleet(self.enterContext(World(3)), routers, zones=("a",))
        self.workers = [fleet.start_worker(f"w{number}", slots=2) for number in range(3)]
        placements: dict[str, Placement] = {}
        for name, router in sorted(fleet.routers.items()):
            settings = DaemonSettings(
                name=router.identity.name,
                role="router",
                zone=router.identity.zone,
                internal=router.identity.internal,
                operator=router.identity.internal,
                seeds=(),
                fleet_key=b"key",
                operator_keys=(),
                balancing=balancing,  # type: ignore[arg-type]
            )
            placements[name] = create_placement(
                router.context, router.messenger, router.membership, router.registry, settings
            )
        for worker in self.workers:
            fleet.announce(worker)
        fleet.world.run(0.5)
        return fleet, placements

    def choose(self, fleet: Fleet, placement: Placement, turn: Turn, excluded: Sequence[WorkerInstance] = ()) -> Choice:
        chosen = fleet.inside("r0", lambda: placement.choose(turn, excluded))
        self.assertIsInstance(chosen, Success)
        choice: Choice = chosen.unwrap()
        return choice

    def take(self, fleet: Fleet, placement: Placement, session: str, excluded: Sequence[WorkerInstance] = ()) -> str:
        """Places a turn that finishes at once and returns its worker."""
        turn = turn_of(session)
        choice = self.choose(fleet, placement, turn, excluded)
        self.finish(fleet, placement, turn, choice)
        return choice.worker.instance

    def finish(self, fleet: Fleet, placement: Placement, turn: Turn, choice: Choice) -> None:
        async def finish() -> bool:
            placement.finished(turn, choice, "whole", 10, Seconds(0.1))
            return True

        fleet.inside("r0", finish)

    def test_settings_name_the_policy(self) -> None:
        for balancing, kind in (("round-robin", RoundRobin), ("least-loaded", LeastLoaded), ("sticky", StickyByHash)):
            self.assertIsInstance(self.placements(balancing)[1]["r0"], kind)

    def test_round_robin_uses_all_workers_in_turn(self) -> None:
        fleet, placements = self.placements("round-robin")
        seen = [self.choose(fleet, placements["r0"], turn_of("s")).worker.instance for _ in range(6)]
        self.assertEqual(seen[:3], seen[3:])
        self.assertEqual(len(set(seen)), 3)
        placement = cast(RoundRobin, placements["r0"])
        order = placement._order(turn_of("s"), fleet.routers["r0"].registry.ready(POOL))
        self.assertEqual(len({worker.instance for worker in order}), 3, "the others follow in case the first fails")

    def test_least_loaded_fills_evenly_and_uses_a_freed_slot_first(self) -> None:
        fleet, placements = self.placements("least-loaded")
        placement = placements["r0"]
        turns = [turn_of("s") for _ in range(6)]
        choices = [self.choose(fleet, placement, turn) for turn in turns]
        counts = [sum(choice.worker.instance == worker.instance for choice in choices) for worker in self.workers]
        self.assertEqual(counts, [2, 2, 2])
        self.finish(fleet, placement, turns[3], choices[3])
        self.assertEqual(self.choose(fleet, placement, turn_of("s")).worker, choices[3].worker)

    def test_sticky_agrees_at_every_router_and_moves_only_sessions_of_an_excluded_worker(self) -> None:
        """Sessions of the other workers would lose their cached prefixes if they moved too."""
        fleet, placements = self.placements("sticky", routers=2)
        sessions = [f"s{number}" for number in range(30)]
        before = {name: self.take(fleet, placements["r0"], name) for name in sessions}
        self.assertEqual(len(set(before.values())), 3)
        left_out = WorkerInstance(before["s0"])
        for name in sessions:
            self.assertEqual(self.take(fleet, placements["r1"], name), before[name])
            after = self.take(fleet, placements["r1"], name, (left_out,))
            self.assertEqual(after == before[name], before[name] != left_out)

    def test_refusals_distinguish_full_from_missing_workers(self) -> None:
        fleet, placements = self.placements("round-robin")
        for _ in range(24):
            self.choose(fleet, placements["r0"], turn_of("s"))
        full = fleet.inside("r0", lambda: placements["r0"].choose(turn_of("s"), ())).failure()
        self.assertEqual(full.reason, "all-full")
        everyone = tuple(WorkerInstance(worker.instance) for worker in self.workers)
        none = fleet.inside("r0", lambda: placements["r0"].choose(turn_of("s"), everyone)).failure()
        self.assertEqual(none, NoWorker("none-ready", Seconds(1.0)))

    def test_reservation_policy_places_turns_of_pools_without_caches_by_load(self) -> None:
        """There is no cached prefix in such a pool, so turns with a session must not stick to one worker."""
        fleet, placements = self.placements("award")
        for worker in self.workers:
            worker.options = msgspec.structs.replace(worker.options, cache_tokens=0)
            worker.restart_empty()
            fleet.announce(worker)
        fleet.world.run(0.1)
        choices = [self.choose(fleet, placements["r0"], turn_of("s/x")) for _ in range(6)]
        self.assertEqual({choice.method for choice in choices}, {"policy"})
        counts = [sum(choice.worker.instance == worker.instance for choice in choices) for worker in self.workers]
        self.assertEqual(counts, [2, 2, 2])
        self.assertEqual(choices[0].worker.pool, POOL)

    def test_idle_workers_of_a_plain_pool_share_the_calls(self) -> None:
        """Breaking ties by name gave nearly all calls of a pool with little load to its first worker."""
        fleet, placements = self.placements("award")
        for worker in self.workers:
            worker.options = msgspec.structs.replace(worker.options, cache_tokens=0)
            worker.restart_empty()
            fleet.announce(worker)
        fleet.world.run(0.1)
        taken = [self.take(fleet, placements["r0"], "s/x") for _ in range(90)]
        for worker in self.workers:
            self.assertGreater(taken.count(worker.instance), 15)


if __name__ == "__main__":
    unittest.main()
