"""Sessions under kills, freezes and cuts, on the simulator (docs/DESIGN.md section 8)."""

from __future__ import annotations

import unittest

from simulation import World

from ...distribution.tests.small_fleet import ControlParts, SmallFleet
from ...identifiers import Address, DaemonName, Epoch
from ..duties import EpochGate, first_live
from ..limits import SessionTimes


class SessionsTest(unittest.TestCase):
    fleet = SmallFleet

    def watch(self, fleet: SmallFleet, names: tuple[str, ...] = ()) -> list[tuple[float, str, tuple[str, ...]]]:
        """Notes each change of each router's view."""
        seen: list[tuple[float, str, tuple[str, ...]]] = []
        for name, parts in fleet.routers.items():
            if not names or name in names:
                parts.client.on_change(
                    lambda name=name: seen.append((fleet.world.now, name, tuple(fleet.view_of(name))))  # type: ignore[misc]
                )
        return seen

    def everybody_seen(self, fleet: SmallFleet, within: float, apart_from: tuple[str, ...] = ()) -> None:
        expected = [name for name in fleet.everybody() if name not in apart_from]
        done = fleet.world.wait_for(lambda: fleet.all_see(expected, apart_from), within)
        views = {name: fleet.view_of(name) for name in fleet.versions()}
        self.assertTrue(done, f"expected {expected}, saw {views}")
        self.assertEqual(fleet.world.broken_invariants, [])

    def test_killed_router_leaves_and_its_next_life_joins(self) -> None:
        with World(seed=1) as world:
            fleet = self.fleet(world)
            fleet.settle()
            world.kill("r05")
            self.everybody_seen(fleet, 3.2, ("r05",))
            world.restart("r05")
            self.everybody_seen(fleet, 1.5)

    def test_restarted_router_takes_its_place_at_once(self) -> None:
        with World(seed=2) as world:
            fleet = self.fleet(world)
            fleet.settle()
            world.restart("r05")
            world.run(2.0)
            ids = {parts.client.members() for name, parts in fleet.routers.items()}
            self.assertEqual(len(ids), 1)
            self.everybody_seen(fleet, 0.1)
            self.assertTrue(all(len(parts.client._list) == 14 for parts in fleet.routers.values()))

    def test_frozen_router_leaves_and_learns_that_its_session_was_lost(self) -> None:
        for seed in range(4):
            with self.subTest(seed=seed), World(seed) as world:
                fleet = self.fleet(world)
                fleet.settle()
                lost: list[float] = []
                fleet.routers["r02"].client.on_session_lost(lambda: lost.append(world.now))  # noqa: B023
                world.freeze("r02")
                self.everybody_seen(fleet, 3.2, ("r02",))
                woken = world.now
                world.wake("r02")
                self.everybody_seen(fleet, 1.5)
                self.assertEqual(len(lost), 1)
                self.assertLess(lost[0] - woken, 1.0)

    def test_router_cut_off_in_one_direction_leaves_and_comes_back(self) -> None:
        for seed, inward in ((1, True), (2, False), (3, True), (4, False)):
            with self.subTest(seed=seed, inward=inward), World(seed) as world:
                fleet = self.fleet(world)
                fleet.settle()
                cut = world.cut_off("r07", inward=inward, outward=not inward)
                self.everybody_seen(fleet, 3.7, ("r07",))
                world.run(5.0)
                self.assertEqual(fleet.view_of("r07"), fleet.everybody(), "a cut-off router keeps its last view")
                world.heal(cut)
                self.everybody_seen(fleet, 3.5)

    def test_no_member_flaps_when_a_control_daemon_dies(self) -> None:
        for seed, way in ((1, "kill"), (2, "freeze"), (3, "power"), (4, "kill")):
            with self.subTest(seed=seed, way=way), World(seed) as world:
                fleet = self.fleet(world)
                fleet.settle()
                seen = self.watch(fleet)
                {"kill": world.kill, "freeze": world.freeze, "power": world.power_off}[way]("c2")
                self.everybody_seen(fleet, 3.5, ("c2",))
                world.run(4.0)
                missing = [view for view in seen if set(fleet.routers) - set(view[2])]
                self.assertEqual(missing, [])
                if way == "power":
                    world.power_on("c2")
                else:
                    world.wake("c2") if way == "freeze" else world.restart("c2")
                self.everybody_seen(fleet, 3.0)
                world.run(4.0)
                self.assertEqual([view for view in seen if set(fleet.routers) - set(view[2])], [])
                self.everybody_seen(fleet, 0.1)

    def test_control_daemon_restarted_at_once_loses_nobody(self) -> None:
        """Others hear its new life before its daemons have found it again."""
        for seed in range(6):
            with self.subTest(seed=seed), World(seed) as world:
                fleet = self.fleet(world)
                fleet.settle()
                seen = self.watch(fleet)
                for name in ("c2", "c3", "c1"):
                    world.restart(name)
                    world.run(4.0)
                self.assertEqual([view for view in seen if set(fleet.routers) - set(view[2])], [])
                self.everybody_seen(fleet, 0.1)

    def test_all_control_daemons_killed_and_started_empty_of_sessions(self) -> None:
        for seed in range(3):
            with self.subTest(seed=seed), World(seed) as world:
                fleet = self.fleet(world)
                fleet.settle()
                seen = self.watch(fleet)
                for name in ("c1", "c2", "c3"):
                    world.kill(name)
                world.run(20.0)
                self.assertEqual(seen, [], "without control the last list is kept")
                for name, pause in (("c3", 0.0), ("c1", 1.0), ("c2", 4.0)):
                    world.run(pause)
                    world.restart(name)
                self.everybody_seen(fleet, 4.0)
                world.run(5.0)
                self.assertEqual([view for view in seen if set(fleet.routers) - set(view[2])], [])

    def test_members_that_died_with_all_control_daemons_leave_after_their_return(self) -> None:
        with World(seed=9) as world:
            fleet = self.fleet(world)
            fleet.settle()
            for name in ("c1", "c2", "c3", "r04"):
                world.kill(name)
            world.run(5.0)
            for name in ("c1", "c2", "c3"):
                world.restart(name)
            self.everybody_seen(fleet, 5.0, ("r04",))

    def test_control_daemons_cut_from_each_other_still_see_each_others_sessions(self) -> None:
        for seed, one_way in ((1, False), (2, True), (3, True)):
            with self.subTest(seed=seed, one_way=one_way), World(seed) as world:
                fleet = self.fleet(world)
                fleet.settle()
                seen = self.watch(fleet)
                cut = world.cut("c1", "c2", both_ways=not one_way)
                world.run(10.0)
                self.assertEqual(seen, [])
                world.kill("r03")
                self.everybody_seen(fleet, 4.5, ("r03",))
                world.restart("r03")
                self.everybody_seen(fleet, 2.5)
                world.heal(cut)
                world.run(5.0)
                self.everybody_seen(fleet, 0.1)

    def test_lists_told_in_small_pieces_grow_together(self) -> None:
        """Three members at a time: a new router, a move to another keeper, and after all keepers' restart."""
        with World(seed=12) as world:
            fleet = self.in_pieces(world)
            fleet.settle(8.0)
            fleet.start_router("r12", "a")
            world.run(0.1)
            self.everybody_seen(fleet, 3.0)
            world.kill("c1")
            world.run(3.0)
            world.kill("r02")
            self.everybody_seen(fleet, 4.0, ("c1", "r02"))
            for name in ("c1", "c2", "c3"):
                world.restart(name)
            self.everybody_seen(fleet, 6.0, ("r02",))

    def in_pieces(self, world: World) -> SmallFleet:
        class Control(ControlParts):
            times = SessionTimes(told_at_once=3)

        class Fleet(self.fleet):  # type: ignore[name-defined,misc]
            control_parts = Control

        fleet: SmallFleet = Fleet(world)
        return fleet

    def test_router_that_moves_to_a_keeper_just_back_from_isolation_misses_nobody(self) -> None:
        for seed in range(6):
            with self.subTest(seed=seed), World(seed) as world:
                fleet = self.fleet(world)
                fleet.settle()
                mover = next(name for name, keeper in self.keepers(fleet) if keeper != fleet.seeds[2])
                seen = self.watch(fleet, (mover,))
                cut = world.cut_off("c3")
                world.run(3.2)
                world.heal(cut)
                world.cut(mover, "c1"), world.cut(mover, "c2")
                self.assertTrue(world.wait_for(lambda: dict(self.keepers(fleet))[mover] == fleet.seeds[2], 3.0))  # noqa: B023
                world.run(4.0)
                self.assertEqual([view for view in seen if set(fleet.routers) - set(view[2])], [])
                self.everybody_seen(fleet, 1.0)

    def keepers(self, fleet: SmallFleet) -> list[tuple[str, Address | None]]:
        return [(name, parts.client.keeper()) for name, parts in sorted(fleet.routers.items())]

    def test_keeper_cut_off_from_the_others_loses_its_routers_to_them(self) -> None:
        """Its routers still reach it, and see nobody leave."""
        for seed in range(4):
            with self.subTest(seed=seed), World(seed) as world:
                fleet = self.fleet(world)
                fleet.settle()
                seen = self.watch(fleet)
                world.cut("c3", "c1"), world.cut("c3", "c2")
                world.run(6.0)
                self.assertEqual([view for view in seen if set(fleet.routers) - set(view[2])], [])
                self.assertNotIn(fleet.seeds[2], dict(self.keepers(fleet)).values())

    def test_last_keeper_alone_still_lets_the_dead_go(self) -> None:
        with World(seed=2) as world:
            fleet = self.fleet(world)
            fleet.settle()
            for name in ("c1", "c2", "r05"):
                world.power_off(name)
            self.everybody_seen(fleet, 16.0, ("c1", "c2", "r05"))

    def test_new_keeper_hears_of_one_that_it_never_reached(self) -> None:
        with World(seed=3) as world:
            fleet = self.fleet(world)
            fleet.settle()
            world.machine("c4", "a")
            world.cut("c4", "c1")
            fleet.start_control("c4", "a")
            world.run(3.0)
            for name in fleet.routers:
                world.cut(name, "c2"), world.cut(name, "c3")
            self.everybody_seen(fleet, 4.0)
            world.run(4.0)
            self.everybody_seen(fleet, 0.1)

    def test_flapping_link_of_a_router_does_not_make_others_flap(self) -> None:
        with World(seed=3) as world:
            fleet = self.fleet(world)
            fleet.settle()
            seen = self.watch(fleet)
            for _ in range(10):
                cut = world.cut_off("r06")
                world.run(0.4)
                world.heal(cut)
                world.run(0.4)
            self.everybody_seen(fleet, 3.0)
            others = set(fleet.everybody()) - {"r06"}
            self.assertEqual([view for view in seen if others - set(view[2])], [])

    def test_empty_control_machine_at_a_new_address_is_learnt_by_all(self) -> None:
        with World(seed=4) as world:
            fleet = self.fleet(world)
            fleet.settle()
            world.power_off("c3")
            world.run(1.0)
            fleet.start_control("c4", "c")
            world.run(0.1)
            self.everybody_seen(fleet, 4.0, ("c3",))
            del fleet.controls["c3"]
            world.power_off("c2")
            world.run(1.0)
            fleet.start_control("c5", "b")
            world.run(0.1)
            self.everybody_seen(fleet, 5.0, ("c2",))
            del fleet.controls["c2"]
            world.power_off("c1")
            self.everybody_seen(fleet, 5.0, ("c1",))
            held = {parts.client.keeper() for parts in fleet.routers.values()}
            self.assertLessEqual(held, {parts.messenger.identity.internal for parts in fleet.controls.values()})

    def test_router_that_stops_on_purpose_leaves_at_once(self) -> None:
        with World(seed=5) as world:
            fleet = self.fleet(world)
            fleet.settle()

            async def stop() -> None:
                fleet.routers["r01"].client.stop()

            world.spawn(world.processes["r01"], stop(), "stop")
            world.run(0.8)
            self.assertNotIn("r01", fleet.view_of("r02"))

    def test_history_is_known_to_wiped_keepers_and_unknown_to_a_new_fleet(self) -> None:
        with World(seed=7) as world:
            fleet = self.fleet(world)
            fleet.epoch = 0
            world.run(1.0)
            knows = {name: parts.coordinator.knows_of_history for name, parts in fleet.controls.items()}
            self.assertTrue(all(fleet.inside(name, knows[name]) for name in knows), "settling: not sure yet")
            world.run(3.0)
            self.assertFalse(any(fleet.inside(name, knows[name]) for name in knows))
            fleet.commit()
            world.run(2.0)
            for name in ("c1", "c2", "c3"):
                world.wipe(name)
                world.restart(name)
            world.run(4.0)
            knows = {name: parts.coordinator.knows_of_history for name, parts in fleet.controls.items()}
            self.assertTrue(any(fleet.inside(name, knows[name]) for name in knows))

    def test_duty_is_done_by_the_first_live_one_under_an_epoch(self) -> None:
        with World(seed=8) as world:
            fleet = self.fleet(world)
            fleet.settle()
            order = [DaemonName(name) for name in ("r09", "r03", "r01")]
            membership = fleet.routers["r05"].client
            self.assertEqual(getattr(first_live(order, membership), "name", None), "r09")
            world.kill("r09")
            world.run(3.0)
            self.assertEqual(getattr(first_live(order, membership), "name", None), "r03")
            self.assertIsNone(first_live([DaemonName("r99")], membership))
            gate = EpochGate()
            admitted = [gate.admit(Epoch(number)) for number in (3, 3, 2, 5, 4)]
            self.assertEqual(admitted, [True, True, False, True, False])

    def test_same_seed_gives_the_same_run(self) -> None:
        def run() -> str:
            with World(seed=6) as world:
                fleet = self.fleet(world)
                fleet.settle()
                world.kill("c1")
                world.run(3.0)
                return world.digest()

        self.assertEqual(run(), run())
