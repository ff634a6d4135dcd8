"""Tests of bundle distribution on the simulator (docs/DESIGN.md section 9).

They guard against a version that is not in force on all reachable routers within 2 s, against work that grows with
the rate of changes, and against routers that serve on a version that is too old.
"""

from __future__ import annotations

import unittest
from collections.abc import Callable
from random import Random
from typing import Any

from simulation import NetworkShape, World

from ...bundle.route import Route
from ...bundle.tests.samples import slice_of
from ...identifiers import BundleVersion, Seconds, ServiceName, SliceName
from ...membership.rendezvous import ranked
from ..chunk_server import decompress_chunk
from ..distribution_tree import TREE_ROOTS
from ..messages import BundleChunk
from ..publisher import BundlePublisher
from .small_fleet import SmallFleet

# ruff: noqa: B023

IN_FORCE_TIMEOUT_S = 2.0


def tree_root_of(zone: str, names: list[str], fleet: SmallFleet, rank: int = 0) -> str:
    local = [name for name in names if fleet.world.machine(name).zone == zone]
    return ranked("home/bundle", local, str)[rank]


def many_routes(count: int) -> dict[SliceName, bytes]:
    """Returns routes of about 1 KB each, because of annotations as an operator's own formats add them."""
    random = Random(count)
    return dict(
        slice_of(
            Route(
                name=f"route-{number}",
                path_prefix=f"/v1/{random.getrandbits(32):08x}",
                service=ServiceName("chat"),
                annotations={"written": "x" * 700 + random.randbytes(50).hex()},
            )
        )
        for number in range(count)
    )


class PropagationTest(unittest.TestCase):
    """Each acknowledged version is in force on all reachable routers within 2 s, also while daemons fail."""

    fleet = SmallFleet

    def in_force(self, fleet: SmallFleet, version: int, apart_from: tuple[str, ...] = ()) -> float:
        committed = fleet.committed_at[version]  # type: ignore[index]
        left = committed + IN_FORCE_TIMEOUT_S - fleet.world.now
        done = fleet.world.wait_for(lambda: fleet.all_in_force(version, apart_from), left, every=0.01)  # type: ignore[arg-type]
        self.assertTrue(done, f"version {version} expected, in force {fleet.versions()}\n{fleet.world.timeline(60)}")
        self.assertEqual(fleet.world.broken_invariants, [])
        return fleet.world.now - committed

    def test_change_reaches_all_routers_through_the_tree_roots(self) -> None:
        with World(seed=1) as world:
            fleet = self.fleet(world)
            fleet.settle()
            for _ in range(20):
                self.assertLess(self.in_force(fleet, fleet.commit()), 0.2)
                world.run(0.35)

    def test_faulty_tree_root_does_not_delay_a_change(self) -> None:
        for seed, fault in enumerate(("kill", "freeze", "power", "inward", "outward") * 2):
            with self.subTest(seed=seed, fault=fault), World(seed) as world:
                fleet = self.fleet(world)
                fleet.settle()
                zone = "abc"[seed % 3]
                tree_root = tree_root_of(zone, sorted(fleet.routers), fleet)
                if seed % 2:
                    version = fleet.commit()
                match fault:
                    case "kill":
                        world.kill(tree_root)
                    case "freeze":
                        world.freeze(tree_root)
                    case "power":
                        world.power_off(tree_root)
                    case _:
                        world.cut_off(tree_root, inward=fault == "inward", outward=fault == "outward")
                if not seed % 2:
                    version = fleet.commit()
                self.in_force(fleet, version, (tree_root,))
                world.run(0.2)
                self.in_force(fleet, fleet.commit(), (tree_root,))

    def test_both_tree_roots_and_a_control_daemon_frozen_together(self) -> None:
        with World(seed=5) as world:
            fleet = self.fleet(world)
            fleet.settle()
            both = [tree_root_of("b", sorted(fleet.routers), fleet, rank) for rank in (0, 1)]
            for name in (*both, "c2"):
                world.freeze(name)
            self.in_force(fleet, fleet.commit(), tuple(both))
            world.run(5.0)
            for name in (*both, "c2"):
                world.wake(name)
            self.assertTrue(world.wait_for(lambda: fleet.all_in_force(fleet.orders.version), 1.0))

    def test_fifty_changes_per_second(self) -> None:
        with World(seed=2) as world:
            fleet = self.fleet(world)
            fleet.settle()
            started_at = world.now
            latest = 0.0
            for number in range(250):
                version = fleet.commit()
                if number == 100:
                    world.freeze(tree_root_of("a", sorted(fleet.routers), fleet))
                world.run_until(started_at + (number + 1) / 50)
                due = [past for past, at in fleet.committed_at.items() if world.now - at > IN_FORCE_TIMEOUT_S]
                if due:
                    self.assertTrue(fleet.all_in_force(max(due)), fleet.versions())
            latest = self.in_force(fleet, version)
            self.assertLess(latest, 1.5)
            activations = sum(1 for name, _ in fleet.in_force_at if name == "r01")
            self.assertLess(activations, 5 * 12 + 10, "the number of versions put in force per second is bounded")

    def test_router_that_missed_many_versions_catches_up_when_it_wakes(self) -> None:
        with World(seed=3) as world:
            fleet = self.fleet(world)
            fleet.settle()
            world.freeze("r04")
            for _ in range(40):
                fleet.commit()
                world.run(0.1)
            world.wake("r04")
            self.assertTrue(world.wait_for(lambda: fleet.all_in_force(fleet.orders.version), 1.0))

    def test_new_empty_control_daemon_serves_bundles_after_two_losses(self) -> None:
        with World(seed=4) as world:
            fleet = self.fleet(world)
            fleet.settle()
            world.power_off("c1")
            fleet.fail_over("c2", "c3", ["c2", "c3"])
            self.in_force(fleet, fleet.commit())
            fleet.start_control("c4", "a")
            world.run(3.0)
            world.power_off("c2")
            fleet.fail_over("c3", "c4", ["c3", "c4"])
            self.in_force(fleet, fleet.commit())
            world.power_off("c3")
            fleet.start_control("c5", "b")
            world.run(0.1)
            fleet.fail_over("c4", "c5", ["c4", "c5"])
            self.in_force(fleet, fleet.commit())

    def test_restarted_router_fetches_the_latest_bundle_from_peers_without_control(self) -> None:
        """It does so also with a bound on removed keys, but then it does not serve, because it has no confirmation."""
        for bound in (None, Seconds(5.0)):
            with self.subTest(bound=bound), World(seed=6) as world:
                fleet = self.fleet(world, bound=bound)
                fleet.seeds.append(fleet.router_address("r01"))
                fleet.settle()
                for name in ("c1", "c2", "c3"):
                    world.kill(name)
                world.restart("r05")
                self.assertTrue(world.wait_for(lambda: fleet.versions()["r05"] == fleet.orders.version, 6.0))
                world.run(6.0)
                self.assertEqual(fleet.routers["r05"].bundle.may_serve(), bound is None)


class SlowLinksTest(unittest.TestCase):
    """Large bundles arrive in time over slow links (docs/DESIGN.md section 9.2).

    The links of routers carry 5 Mbit/s and those of control daemons ten times as much.
    """

    ROUTER_LINK = 625_000.0
    CONTROL_LINK = 6_250_000.0

    def slow_fleet(self, world: World, routers: int) -> SmallFleet:
        fleet = SmallFleet(world, routers=routers)
        for machine in world.machines.values():
            world.network.bandwidth[machine.name] = self.CONTROL_LINK if machine.name in "c1c2c3" else self.ROUTER_LINK
        return fleet

    def wait_in_force(self, fleet: SmallFleet, version: BundleVersion, within: float) -> None:
        done = fleet.world.wait_for(lambda: fleet.all_in_force(version), within, every=0.01)
        applied = sorted(fleet.versions().values())
        self.assertTrue(done, f"version {version} expected, in force {applied}\n{fleet.world.timeline(20)}")

    def test_new_routers_get_a_bundle_of_400_routes(self) -> None:
        with World(seed=11) as world:
            fleet = self.slow_fleet(world, routers=30)
            world.run(0.2)
            fleet.commit()
            version = fleet.commit(many_routes(400))
            self.wait_in_force(fleet, version, within=5.0)

    def test_200_empty_routers_get_a_bundle_of_1600_routes_in_time(self) -> None:
        """This is the state after a power failure of the whole fleet: control needs a second until it has a primary.

        Only the tree roots fetch from control, whose links would be saturated otherwise.
        """
        with World(seed=5) as world:
            fleet = self.slow_fleet(world, routers=200)
            world.run(1.0)
            served = self.count_full_bundles_served(fleet)
            fleet.commit()
            version = fleet.commit(many_routes(1600))
            self.wait_in_force(fleet, version, within=IN_FORCE_TIMEOUT_S)
            tree_roots = TREE_ROOTS * 3
            self.assertLessEqual(served(), 2 * tree_roots)

    def count_full_bundles_served(self, fleet: SmallFleet) -> Callable[[], int]:
        """Returns a function that returns how many last chunks of a fetch the control daemons have served since."""
        served: list[BundleChunk] = []

        def count_served_chunks(publisher: BundlePublisher) -> None:
            answer = publisher._chunks.chunk

            def chunk(*asked: Any) -> BundleChunk:
                found = answer(*asked)
                chunk_data = decompress_chunk(found) if found.found else None
                if chunk_data is not None and found.offset + len(chunk_data) >= found.total:
                    served.append(found)
                return found

            publisher._chunks.chunk = chunk  # type: ignore[method-assign, assignment]

        for parts in fleet.controls.values():
            count_served_chunks(parts.publisher)
        return lambda: len(served)

    def test_tree_root_lost_while_relaying_delays_no_router(self) -> None:
        for seed in range(4):
            with self.subTest(seed=seed), World(seed=30 + seed) as world:
                fleet = self.slow_fleet(world, routers=60)
                fleet.settle()
                tree_root = tree_root_of("a", sorted(fleet.routers), fleet)
                version = fleet.commit(many_routes(1600))
                world.run(0.1 + 0.05 * seed)
                world.power_off(tree_root)
                self.wait_in_force(fleet, version, within=IN_FORCE_TIMEOUT_S)

    def test_change_of_1400_routes_is_in_force_in_time(self) -> None:
        with World(seed=12) as world:
            fleet = self.slow_fleet(world, routers=60)
            fleet.settle()
            version = fleet.commit(many_routes(1400))
            self.wait_in_force(fleet, version, within=IN_FORCE_TIMEOUT_S)
            self.assertEqual(len([name for name in fleet.everybody() if name.startswith("r")]), 60)


class FreshnessTest(unittest.TestCase):
    """With a bound on removed keys no router serves later than 5 s after a version that it lacks was acknowledged.

    The deployment Despensa sets this bound.
    """

    fleet = SmallFleet

    def no_stale_service(self, fleet: SmallFleet, seconds: float) -> None:
        """Runs the fleet while an observer that knows all acknowledgements checks every serving router."""
        until = fleet.world.now + seconds
        while fleet.world.now < until:
            fleet.world.run(0.02)
            for name in fleet.serving():
                version = fleet.routers[name].bundle.version()
                missed = fleet.committed_at.get(version + 1)  # type: ignore[call-overload]
                if missed is not None:
                    self.assertLess(fleet.world.now - missed, 5.0, f"{name} serves on version {version}")

    def test_all_routers_serve_and_confirmations_stay_recent_without_faults(self) -> None:
        with World(seed=1) as world:
            fleet = self.fleet(world, bound=Seconds(5.0))
            fleet.settle()
            ages = []
            for _ in range(200):
                world.run(0.05)
                self.assertEqual(len(fleet.serving()), 11)
                for name in fleet.routers:
                    age = fleet.confirmation_age(name)
                    assert age is not None
                    ages.append(age)
            self.assertLess(max(ages), 1.4)

    def test_cut_off_routers_stop_serving_in_time_and_resume(self) -> None:
        for seed, inward in ((1, True), (2, False)):
            with self.subTest(inward=inward), World(seed) as world:
                fleet = self.fleet(world, bound=Seconds(5.0))
                fleet.settle()
                cut = world.cut_off("r03", inward=inward, outward=not inward)
                world.run(0.05)
                fleet.commit()
                self.no_stale_service(fleet, 8.0)
                self.assertNotIn("r03", fleet.serving())
                world.heal(cut)
                self.assertTrue(world.wait_for(lambda: len(fleet.serving()) == 11, 4.0))

    def test_frozen_router_does_not_serve_on_a_buffered_answer(self) -> None:
        """The router freezes while a heartbeat is in flight, so the answer waits in a buffer and is read 6 s later."""
        for seed in range(4):
            with self.subTest(seed=seed), World(seed, NetworkShape(between_zones=0.05, same_zone=0.05)) as world:
                fleet = self.fleet(world, bound=Seconds(5.0))
                fleet.settle()
                world.run(0.07 * seed)
                links = fleet.routers["r02"].messenger._links
                coordinator = fleet.routers["r02"].client.coordinator()
                assert coordinator is not None
                self.assertTrue(world.wait_for(lambda: bool(links[coordinator].pending_calls), 2.0, every=0.01))
                world.freeze("r02")
                world.run(0.3)
                world.cut_off("r02")
                fleet.commit()
                world.run(5.5)
                world.wake("r02")
                self.no_stale_service(fleet, 2.0)
                self.assertNotIn("r02", fleet.serving())

    def test_router_that_cannot_fetch_an_announced_version_stops_serving(self) -> None:
        """The router reaches only its coordinator, which has no bundles but sends recent confirmations."""
        with World(seed=5) as world:
            fleet = self.fleet(world, bound=Seconds(5.0))
            fleet.settle()
            coordinators = {name: parts.client.coordinator() for name, parts in sorted(fleet.routers.items())}
            alone = next(name for name, coordinator in coordinators.items() if coordinator == fleet.seeds[2])
            cuts = [world.cut(alone, other) for other in fleet.everybody() if other not in (alone, "c3")]
            fleet.commit()
            self.no_stale_service(fleet, 7.0)
            self.assertNotIn(alone, fleet.serving())
            for cut in cuts:
                world.heal(cut)
            self.assertTrue(world.wait_for(lambda: len(fleet.serving()) == 11, 4.0))

    def test_coordinator_without_the_primary_forwards_the_confirmation_of_another(self) -> None:
        for seed in range(3):
            with self.subTest(seed=seed), World(seed) as world:
                fleet = self.fleet(world, bound=Seconds(5.0))
                fleet.settle()
                world.cut("c3", "c1", both_ways=seed != 1)
                for _ in range(160):
                    world.run(0.05)
                    self.assertEqual(len(fleet.serving()), 11)

    def test_slow_and_fast_clocks_stay_within_the_margin(self) -> None:
        with World(seed=6) as world:
            fleet = self.fleet(world, bound=Seconds(5.0))
            for number, process in enumerate(world.processes.values()):
                process.clock_rate = 0.99 if number % 2 else 1.01
                world.restart(process)
            fleet.settle()
            for name in ("r01", "r02", "r03", "r04"):
                world.cut_off(name)
            fleet.commit()
            self.no_stale_service(fleet, 7.0)
            self.assertEqual(len(fleet.serving()), 7)

    def test_partitioned_former_primary_confirms_nothing(self) -> None:
        """c1 is partitioned with some routers; control fails over to c2, while c1 still believes it is primary."""
        for seed in range(3):
            with self.subTest(seed=seed), World(seed) as world:
                fleet = self.fleet(world, bound=Seconds(5.0))
                fleet.settle()
                inside = ["c1", "r01", "r02", "r04"]
                outside = [name for name in fleet.everybody() if name not in inside]
                cuts = [world.cut(one, other) for one in inside for other in outside]
                world.run(1.0)
                fleet.fail_over("c2", "c3", ["c2", "c3"])
                fleet.commit()
                self.no_stale_service(fleet, 12.0)
                self.assertEqual(fleet.serving(), [name for name in outside if name.startswith("r")])
                for cut in cuts:
                    world.heal(cut)
                world.spawn(world.processes["c1"], fleet._inform_control("c1", fleet.epoch), "inform")
                self.assertTrue(world.wait_for(lambda: len(fleet.serving()) == 11, 5.0))

    def test_resumed_control_daemon_does_not_forward_an_old_confirmation(self) -> None:
        for seed in range(4):
            with self.subTest(seed=seed), World(seed) as world:
                fleet = self.fleet(world, bound=Seconds(5.0))
                fleet.settle()
                for name in ("c1", "c2", "c3"):
                    world.freeze(name)
                world.run(0.5)
                fleet.committed_at[fleet.orders.version + 1] = world.now  # type: ignore[index]
                world.run(3.0)
                world.cut("c3", "c1"), world.cut("c3", "c2")
                world.wake("c3")
                self.no_stale_service(fleet, 4.0)
                self.assertEqual(fleet.serving(), [])

    def test_failover_within_two_and_a_half_seconds_interrupts_no_router(self) -> None:
        for seed in range(4):
            with self.subTest(seed=seed), World(seed) as world:
                fleet = self.fleet(world, bound=Seconds(5.0))
                fleet.settle()
                world.kill("c1")
                world.run(2.5)
                fleet.fail_over("c2", "c3", ["c2", "c3"])
                for _ in range(40):
                    world.run(0.05)
                    self.assertEqual(len(fleet.serving()), 11)

    def test_cut_off_routers_keep_serving_without_a_bound_on_removed_keys(self) -> None:
        with World(seed=8) as world:
            fleet = self.fleet(world)
            fleet.settle()
            world.cut_off("r03")
            world.run(30.0)
            self.assertEqual(len(fleet.serving()), 11)
