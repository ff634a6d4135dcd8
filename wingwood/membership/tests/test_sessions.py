"""Membership sessions under kills, suspensions and network partitions, on the simulator (docs/DESIGN.md section 8)."""

from __future__ import annotations

import unittest

from simulation import World

from ...distribution.tests.small_fleet import ControlParts, SmallFleet
from ...identifiers import Address, DaemonName, Epoch
from ..membership_options import MembershipOptions
from ..singleton_roles import EpochGate, first_live


class SessionsTest(unittest.TestCase):
    fleet = SmallFleet

    def record_views(self, fleet: SmallFleet, names: tuple[str, ...] = ()) -> list[tuple[float, str, tuple[str, ...]]]:
        """Records each change of each router's view: the time, the router's name and its members."""
        seen: list[tuple[float, str, tuple[str, ...]]] = []
        for name, parts in fleet.routers.items():
            if not names or name in names:
                parts.client.on_change(
                    lambda name=name: seen.append((fleet.world.now, name, tuple(fleet.view_of(name))))  # type: ignore[misc]
                )
        return seen

    def assert_all_seen(self, fleet: SmallFleet, within: float, apart_from: tuple[str, ...] = ()) -> None:
        """Asserts that within the time all running routers see all members except ``apart_from``."""
        expected = [name for name in fleet.everybody() if name not in apart_from]
        done = fleet.world.wait_for(lambda: fleet.all_see(expected, apart_from), within)
        views = {name: fleet.view_of(name) for name in fleet.versions()}
        self.assertTrue(done, f"expected {expected}, saw {views}")
        self.assertEqual(fleet.world.broken_invariants, [])

    def test_killed_router_leaves_and_joins_again_after_restart(self) -> None:
        """A killed router must leave within the session timeout, and its restarted process must join again."""
        with World(seed=1) as world:
            fleet = self.fleet(world)
            fleet.settle()
            world.kill("r05")
            self.assert_all_seen(fleet, 3.2, ("r05",))
            world.restart("r05")
            self.assert_all_seen(fleet, 1.5)

    def test_restarted_router_replaces_its_previous_process_at_once(self) -> None:
        """A restart must not leave the session of the previous process in the lists until its timeout."""
        with World(seed=2) as world:
            fleet = self.fleet(world)
            fleet.settle()
            world.restart("r05")
            world.run(2.0)
            ids = {parts.client.members() for name, parts in fleet.routers.items()}
            self.assertEqual(len(ids), 1)
            self.assert_all_seen(fleet, 0.1)
            self.assertTrue(all(len(parts.client.member_list) == 14 for parts in fleet.routers.values()))

    def test_suspended_router_leaves_and_learns_that_its_session_was_lost(self) -> None:
        """A router that resumes after a suspension must learn exactly once, and soon, that others saw it leave."""
        for seed in range(4):
            with self.subTest(seed=seed), World(seed) as world:
                fleet = self.fleet(world)
                fleet.settle()
                lost: list[float] = []
                fleet.routers["r02"].client.on_session_lost(lambda: lost.append(world.now))  # noqa: B023
                world.freeze("r02")
                self.assert_all_seen(fleet, 3.2, ("r02",))
                resumed_at = world.now
                world.wake("r02")
                self.assert_all_seen(fleet, 1.5)
                self.assertEqual(len(lost), 1)
                self.assertLess(lost[0] - resumed_at, 1.0)

    def test_router_partitioned_in_one_direction_leaves_and_rejoins(self) -> None:
        """A router whose heartbeats arrive but that receives no answers, or the reverse, must not remain a member.

        Until the network heals it retains its last view.
        """
        for seed, inward in ((1, True), (2, False), (3, True), (4, False)):
            with self.subTest(seed=seed, inward=inward), World(seed) as world:
                fleet = self.fleet(world)
                fleet.settle()
                cut = world.cut_off("r07", inward=inward, outward=not inward)
                self.assert_all_seen(fleet, 3.7, ("r07",))
                world.run(5.0)
                self.assertEqual(fleet.view_of("r07"), fleet.everybody(), "a partitioned router retains its last view")
                world.heal(cut)
                self.assert_all_seen(fleet, 3.5)

    def test_no_member_flaps_when_a_control_daemon_fails(self) -> None:
        """The sessions of a failed coordinator must move to others without any router being seen to leave."""
        for seed, fault in ((1, "kill"), (2, "freeze"), (3, "power"), (4, "kill")):
            with self.subTest(seed=seed, fault=fault), World(seed) as world:
                fleet = self.fleet(world)
                fleet.settle()
                seen = self.record_views(fleet)
                {"kill": world.kill, "freeze": world.freeze, "power": world.power_off}[fault]("c2")
                self.assert_all_seen(fleet, 3.5, ("c2",))
                world.run(4.0)
                missing = [view for view in seen if set(fleet.routers) - set(view[2])]
                self.assertEqual(missing, [])
                if fault == "power":
                    world.power_on("c2")
                else:
                    world.wake("c2") if fault == "freeze" else world.restart("c2")
                self.assert_all_seen(fleet, 3.0)
                world.run(4.0)
                self.assertEqual([view for view in seen if set(fleet.routers) - set(view[2])], [])
                self.assert_all_seen(fleet, 0.1)

    def test_control_daemon_restarted_at_once_loses_no_member(self) -> None:
        """Other coordinators receive reports of the new process before its daemons have renewed their sessions there.

        The missing sessions must not be taken for departures.
        """
        for seed in range(6):
            with self.subTest(seed=seed), World(seed) as world:
                fleet = self.fleet(world)
                fleet.settle()
                seen = self.record_views(fleet)
                for name in ("c2", "c3", "c1"):
                    world.restart(name)
                    world.run(4.0)
                self.assertEqual([view for view in seen if set(fleet.routers) - set(view[2])], [])
                self.assert_all_seen(fleet, 0.1)

    def test_no_member_is_lost_when_all_control_daemons_restart(self) -> None:
        """Without coordinators the routers must retain their last list.

        Restarted coordinators hold no sessions at first; their empty lists must not remove members.
        """
        for seed in range(3):
            with self.subTest(seed=seed), World(seed) as world:
                fleet = self.fleet(world)
                fleet.settle()
                seen = self.record_views(fleet)
                for name in ("c1", "c2", "c3"):
                    world.kill(name)
                world.run(20.0)
                self.assertEqual(seen, [], "without control daemons the last list is retained")
                for name, delay in (("c3", 0.0), ("c1", 1.0), ("c2", 4.0)):
                    world.run(delay)
                    world.restart(name)
                self.assert_all_seen(fleet, 4.0)
                world.run(5.0)
                self.assertEqual([view for view in seen if set(fleet.routers) - set(view[2])], [])

    def test_members_that_failed_with_all_control_daemons_leave_after_restart(self) -> None:
        """A router that fails together with all coordinators must not remain in the retained lists for ever."""
        with World(seed=9) as world:
            fleet = self.fleet(world)
            fleet.settle()
            for name in ("c1", "c2", "c3", "r04"):
                world.kill(name)
            world.run(5.0)
            for name in ("c1", "c2", "c3"):
                world.restart(name)
            self.assert_all_seen(fleet, 5.0, ("r04",))

    def test_partitioned_control_daemons_receive_sessions_by_relay(self) -> None:
        """Two coordinators that cannot reach each other must receive each other's sessions through the third one."""
        for seed, one_way in ((1, False), (2, True), (3, True)):
            with self.subTest(seed=seed, one_way=one_way), World(seed) as world:
                fleet = self.fleet(world)
                fleet.settle()
                seen = self.record_views(fleet)
                cut = world.cut("c1", "c2", both_ways=not one_way)
                world.run(10.0)
                self.assertEqual(seen, [])
                world.kill("r03")
                self.assert_all_seen(fleet, 4.5, ("r03",))
                world.restart("r03")
                self.assert_all_seen(fleet, 2.5)
                world.heal(cut)
                world.run(5.0)
                self.assert_all_seen(fleet, 0.1)

    def test_lists_transferred_in_small_chunks_converge(self) -> None:
        """Lists must converge when an answer has only three members.

        This covers a new router, a move to another coordinator, and a restart of all coordinators.
        """
        with World(seed=12) as world:
            fleet = self.fleet_with_small_answers(world)
            fleet.settle(8.0)
            fleet.start_router("r12", "a")
            world.run(0.1)
            self.assert_all_seen(fleet, 3.0)
            world.kill("c1")
            world.run(3.0)
            world.kill("r02")
            self.assert_all_seen(fleet, 4.0, ("c1", "r02"))
            for name in ("c1", "c2", "c3"):
                world.restart(name)
            self.assert_all_seen(fleet, 6.0, ("r02",))

    def fleet_with_small_answers(self, world: World) -> SmallFleet:
        """Returns a fleet whose coordinators send at most three members in one answer."""

        class Control(ControlParts):
            membership_options = MembershipOptions(max_members_per_answer=3)

        class Fleet(self.fleet):  # type: ignore[name-defined,misc]
            control_parts = Control

        fleet: SmallFleet = Fleet(world)
        return fleet

    def test_move_to_a_formerly_isolated_coordinator_loses_no_member(self) -> None:
        """A coordinator that was just isolated has an old list; a router that moves to it must not drop members."""
        for seed in range(6):
            with self.subTest(seed=seed), World(seed) as world:
                fleet = self.fleet(world)
                fleet.settle()
                router = next(name for name, coordinator in self.coordinators(fleet) if coordinator != fleet.seeds[2])
                seen = self.record_views(fleet, (router,))
                cut = world.cut_off("c3")
                world.run(3.2)
                world.heal(cut)
                world.cut(router, "c1"), world.cut(router, "c2")
                self.assertTrue(world.wait_for(lambda: dict(self.coordinators(fleet))[router] == fleet.seeds[2], 3.0))  # noqa: B023
                world.run(4.0)
                self.assertEqual([view for view in seen if set(fleet.routers) - set(view[2])], [])
                self.assert_all_seen(fleet, 1.0)

    def coordinators(self, fleet: SmallFleet) -> list[tuple[str, Address | None]]:
        """Returns each router's name with the address of its coordinator."""
        return [(name, parts.client.coordinator()) for name, parts in sorted(fleet.routers.items())]

    def test_routers_move_away_from_an_isolated_coordinator(self) -> None:
        """Routers that still reach an isolated coordinator must move to another one, and must not see anybody leave."""
        for seed in range(4):
            with self.subTest(seed=seed), World(seed) as world:
                fleet = self.fleet(world)
                fleet.settle()
                seen = self.record_views(fleet)
                world.cut("c3", "c1"), world.cut("c3", "c2")
                world.run(6.0)
                self.assertEqual([view for view in seen if set(fleet.routers) - set(view[2])], [])
                self.assertNotIn(fleet.seeds[2], dict(self.coordinators(fleet)).values())

    def test_last_coordinator_still_removes_failed_members(self) -> None:
        """A coordinator that remains alone must not treat its list as incomplete for ever."""
        with World(seed=2) as world:
            fleet = self.fleet(world)
            fleet.settle()
            for name in ("c1", "c2", "r05"):
                world.power_off(name)
            self.assert_all_seen(fleet, 16.0, ("c1", "c2", "r05"))

    def test_new_coordinator_learns_sessions_of_one_it_never_reached(self) -> None:
        """A new coordinator that cannot reach another one must receive its sessions by relay from the start."""
        with World(seed=3) as world:
            fleet = self.fleet(world)
            fleet.settle()
            world.machine("c4", "a")
            world.cut("c4", "c1")
            fleet.start_control("c4", "a")
            world.run(3.0)
            for name in fleet.routers:
                world.cut(name, "c2"), world.cut(name, "c3")
            self.assert_all_seen(fleet, 4.0)
            world.run(4.0)
            self.assert_all_seen(fleet, 0.1)

    def test_flapping_link_of_one_router_does_not_affect_others(self) -> None:
        """Repeated short partitions of one router must not make any other router leave a view."""
        with World(seed=3) as world:
            fleet = self.fleet(world)
            fleet.settle()
            seen = self.record_views(fleet)
            for _ in range(10):
                cut = world.cut_off("r06")
                world.run(0.4)
                world.heal(cut)
                world.run(0.4)
            self.assert_all_seen(fleet, 3.0)
            others = set(fleet.everybody()) - {"r06"}
            self.assertEqual([view for view in seen if others - set(view[2])], [])

    def test_replaced_control_machines_are_found_by_all(self) -> None:
        """All daemons must find new control machines, also when all control daemons of the seeds have been replaced."""
        with World(seed=4) as world:
            fleet = self.fleet(world)
            fleet.settle()
            world.power_off("c3")
            world.run(1.0)
            fleet.start_control("c4", "c")
            world.run(0.1)
            self.assert_all_seen(fleet, 4.0, ("c3",))
            del fleet.controls["c3"]
            world.power_off("c2")
            world.run(1.0)
            fleet.start_control("c5", "b")
            world.run(0.1)
            self.assert_all_seen(fleet, 5.0, ("c2",))
            del fleet.controls["c2"]
            world.power_off("c1")
            self.assert_all_seen(fleet, 5.0, ("c1",))
            used = {parts.client.coordinator() for parts in fleet.routers.values()}
            self.assertLessEqual(used, {parts.messenger.identity.internal for parts in fleet.controls.values()})

    def test_router_that_stops_on_purpose_leaves_at_once(self) -> None:
        """A router that ends its session must leave without the session timeout."""
        with World(seed=5) as world:
            fleet = self.fleet(world)
            fleet.settle()

            async def stop() -> None:
                fleet.routers["r01"].client.stop()

            world.spawn(world.processes["r01"], stop(), "stop")
            world.run(0.8)
            self.assertNotIn("r01", fleet.view_of("r02"))

    def test_wiped_coordinators_learn_that_a_core_was_formed(self) -> None:
        """Coordinators that lost their disks must learn from routers that a core was formed; in a new fleet none was.

        While warming up they must not decide that none was.
        """
        with World(seed=7) as world:
            fleet = self.fleet(world)
            fleet.epoch = 0
            world.run(1.0)
            knows = {name: parts.coordinator.core_may_exist for name, parts in fleet.controls.items()}
            self.assertTrue(
                all(fleet.inside(name, knows[name]) for name in knows), "while warming up, a former core is assumed"
            )
            world.run(3.0)
            self.assertFalse(any(fleet.inside(name, knows[name]) for name in knows))
            fleet.commit()
            world.run(2.0)
            for name in ("c1", "c2", "c3"):
                world.wipe(name)
                world.restart(name)
            world.run(4.0)
            knows = {name: parts.coordinator.core_may_exist for name, parts in fleet.controls.items()}
            self.assertTrue(any(fleet.inside(name, knows[name]) for name in knows))

    def test_duty_is_performed_by_first_live_daemon_under_an_epoch(self) -> None:
        """The next daemon in order must take over a duty, and commands of a lower epoch must be refused."""
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
        """Runs of the simulator with one seed must be identical, also when sessions move."""

        def run() -> str:
            with World(seed=6) as world:
                fleet = self.fleet(world)
                fleet.settle()
                world.kill("c1")
                world.run(3.0)
                return world.digest()

        self.assertEqual(run(), run())
