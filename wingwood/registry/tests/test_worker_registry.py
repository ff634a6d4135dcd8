"""Announcements, drains and counts must reach every router, also while owners fail (docs/DESIGN.md section 10).

The tests run routers in three zones on the simulator; owners freeze, die, are cut off or miss messages.
"""

from __future__ import annotations

import unittest
from functools import partial

import msgspec
from returns.result import Failure

from simulation.world import World
from wingwood.identifiers import PoolName, WorkerInstance
from wingwood.registry.feed_timing import FEED_INTERVAL_S
from wingwood.registry.messages import ObservedState, WorkerStateReport
from wingwood.registry.protocols import ObservedLoad
from wingwood.registry.worker_announcements import read_announcement

from .fleet import POOL, Fleet, Roster


class WorkerRegistryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world = World(7)
        self.world.__enter__()
        self.addCleanup(self.world.close)
        self.fleet = Fleet(self.world)
        self.worker = self.fleet.start_worker("w0")
        self.addCleanup(self.check_invariants)

    def check_invariants(self) -> None:
        self.assertEqual(self.world.broken_invariants, [])

    def announce_worker(self) -> str:
        reply = self.fleet.announce(self.worker)
        self.assertEqual(reply.status, 200)
        self.world.run(1.0)
        self.fleet.announce(self.worker)
        return str(self.worker.instance)

    def other_routers(self, *names: str) -> list[str]:
        return [name for name in sorted(self.fleet.routers) if name not in names]

    def test_announcement_at_one_daemon_reaches_every_router(self) -> None:
        self.fleet.announce(self.worker)
        self.world.run(0.05)
        for name in self.fleet.routers:
            self.assertEqual(self.fleet.ready_at(name), [self.worker.instance])
        self.world.run(1.0)
        for name in self.fleet.routers:
            self.assertLess(self.fleet.feed_age(name), 2 * FEED_INTERVAL_S + 0.05)

    def test_malformed_announcements_are_answered_400(self) -> None:
        changes: tuple[dict[str, object], ...] = (
            {"address": "localhost:1"},
            {"slots": 0},
            {"state": "asleep"},
            {"instance": ""},
            {"cache_tokens": 10**30},
            {"load": {"running": 10**30}},
            {"load": {"running": 1, "waiting": -1}},
        )
        for change in changes:
            self.assertEqual(self.fleet.announce(self.worker, "r0", **change).status, 400, change)
        for body in (b"", b"\xff", b"[]", b'{"x":' + b"[" * 100_000):
            self.assertIsInstance(read_announcement(body), Failure)

    def test_worker_that_changes_its_pool_stays_known(self) -> None:
        self.fleet.announce(self.worker, pool="other")
        self.world.run(2.0)
        for second in range(130):
            self.fleet.announce(self.worker)
            self.world.run(1.0)
            self.assertTrue(self.fleet.confirmed("r3", self.worker.instance), f"second {second}")
        self.world.run(4.0)
        self.fleet.announce(self.worker)
        self.world.run(1.0)
        for name in self.fleet.routers:
            self.assertEqual(self.fleet.ready_at(name), [self.worker.instance])
            found = self.fleet.routers[name].registry.find(self.worker.instance)  # type: ignore[arg-type]
            self.assertEqual(found and found.pool, POOL)

    def test_draining_reaches_every_router_and_is_final(self) -> None:
        instance = self.announce_worker()
        self.assertEqual(self.fleet.announce(self.worker, state="draining").status, 200)
        self.world.run(0.05)
        for name in self.fleet.routers:
            self.assertEqual(self.fleet.ready_at(name), [])
        reply = self.fleet.announce(self.worker, "r4", state="ready")
        self.assertEqual((reply.status, reply.body["code"]), (409, "instance-over"))  # type: ignore[index, call-overload]
        self.world.run(1.0)
        self.assertFalse(any(self.fleet.confirmed(name, instance) for name in self.fleet.routers))

    def test_restart_at_the_same_address_ends_the_older_instance(self) -> None:
        old = self.announce_worker()
        self.worker.restart_empty()
        self.fleet.announce(self.worker, "r3")
        self.world.run(0.05)
        for name in self.fleet.routers:
            self.assertEqual(self.fleet.ready_at(name), [self.worker.instance])
            found = self.fleet.routers[name].registry.find(old)  # type: ignore[arg-type]
            self.assertEqual(found and found.state, "gone")

    def test_unrenewed_worker_is_not_ready_after_three_seconds_and_returns_with_its_renewal(self) -> None:
        self.announce_worker()
        self.world.run(2.5)
        self.assertEqual(self.fleet.ready_at("r5"), [self.worker.instance])
        self.world.run(1.2)
        for name in self.fleet.routers:
            self.assertEqual(self.fleet.ready_at(name), [])
        self.fleet.announce(self.worker, "r2")
        self.world.run(0.5)
        for name in self.fleet.routers:
            self.assertEqual(self.fleet.ready_at(name), [self.worker.instance])

    def drain_with_faulty_owner(self, fault: str) -> None:
        """Announces a drain at the moment when zone b's owner freezes or is killed."""
        instance = self.announce_worker()
        owner = self.fleet.owner("b")
        announced_to = self.other_routers(owner)[0]
        self.worker.state = "draining"
        (self.world.freeze if fault == "freeze" else self.world.kill)(owner)
        asked = self.world.now
        self.assertEqual(self.fleet.announce(self.worker, announced_to, state="draining").status, 200)
        self.assertLess(self.world.now - asked, 0.2, "two of three owners have it, which suffices")
        self.world.run(0.05)
        for name in self.other_routers(owner):
            self.assertFalse(self.fleet.confirmed(name, instance), name)
        self.world.run(0.8)
        for name in self.other_routers(owner):
            self.assertFalse(self.fleet.confirmed(name, instance), name)
        if fault == "freeze":
            self.world.wake(owner)
            self.assertFalse(self.fleet.confirmed(owner, instance))

    def test_drain_while_the_owner_freezes(self) -> None:
        self.drain_with_faulty_owner("freeze")

    def test_zone_of_a_frozen_owner_learns_of_a_drain_before_the_owner_times_out(self) -> None:
        """The daemon that received the drain sends it to the zone's routers before the call to the owner times out."""
        instance = self.announce_worker()
        owner = self.fleet.owner("b")
        announced_to = self.other_routers(owner)[0]
        self.world.freeze(owner)
        registry = self.fleet.routers[announced_to].registry
        request = self.fleet.request(self.worker, state="draining")

        async def announce() -> None:
            await registry.announcements.handle_announcement(request)

        self.world.spawn(self.world.processes[announced_to], announce(), "announce")
        self.world.run(0.15)
        for name in self.other_routers(owner):
            self.assertNotIn(instance, self.fleet.ready_at(name), name)

    def test_drain_while_the_owner_is_killed(self) -> None:
        self.drain_with_faulty_owner("kill")

    def test_owner_killed_after_its_acknowledgement_and_before_its_push(self) -> None:
        """The other routers of the zone must learn of the drain although the owner never sent its push."""
        instance = self.announce_worker()
        owner = self.fleet.owner("b")
        self.fleet.routers[owner].registry._feed_publisher.publish = lambda *_: None  # type: ignore[method-assign]
        reply = self.fleet.announce(self.worker, self.other_routers(owner)[0], state="draining")
        self.assertEqual(reply.status, 200)
        self.world.kill(owner)
        self.worker.state = "draining"
        other = next(name for name in self.other_routers(owner) if self.fleet.routers[name].identity.zone == "b")
        self.world.run(1.05)
        self.assertFalse(self.fleet.confirmed(other, instance))

    def test_partitioned_router_asks_the_worker_itself(self) -> None:
        instance = self.announce_worker()
        owner = self.fleet.owner("b")
        follower = next(name for name in self.other_routers(owner) if self.fleet.routers[name].identity.zone == "b")
        for name in self.other_routers(follower):
            self.world.cut(follower, name)
        self.world.run(1.2)
        self.assertTrue(self.fleet.confirmed(follower, instance))
        self.worker.state = "draining"
        self.world.run(0.5)
        self.assertFalse(self.fleet.confirmed(follower, instance))

    def test_owner_without_confirmed_membership_confirms_nothing_to_followers(self) -> None:
        """Such an owner may have been replaced and miss announcements without noticing."""
        self.announce_worker()
        owner = self.fleet.owner("b")
        membership = self.fleet.routers[owner].membership
        membership.cut_off_at = membership.context.clock.monotonic()
        follower = next(name for name in self.other_routers(owner) if self.fleet.routers[name].identity.zone == "b")
        for zone in "ac":
            self.world.cut(follower, self.fleet.owner(zone))
        self.world.run(2.9)
        self.assertGreater(self.fleet.feed_age(follower), 1.0)
        self.assertGreater(self.fleet.feed_age(owner), 1.0)

    def test_owner_partitioned_from_other_zones_does_not_trust_itself_despite_its_membership(self) -> None:
        """It may lack states that the other zones' owners have acknowledged as a majority."""
        instance = self.announce_worker()
        self.world.run(0.5)
        owner = self.fleet.owner("b")
        follower = next(name for name in self.other_routers(owner) if self.fleet.routers[name].identity.zone == "b")
        for name in self.other_routers(owner):
            if self.fleet.routers[name].identity.zone != "b":
                self.world.cut(owner, name)
                self.world.cut(follower, name)
        self.worker.state = "draining"
        self.assertEqual(self.fleet.announce(self.worker, self.fleet.owner("a")).status, 200)
        self.world.run(0.95)
        self.assertFalse(self.fleet.confirmed(owner, instance))
        self.assertGreater(self.fleet.feed_age(follower), 1.0, "a follower's knowledge is no newer than its owner's")

    def test_follower_of_a_partitioned_owner_gets_updates_from_another_zones_owner(self) -> None:
        instance = self.announce_worker()
        self.world.run(0.5)
        owner = self.fleet.owner("b")
        follower = next(name for name in self.other_routers(owner) if self.fleet.routers[name].identity.zone == "b")
        for name in self.other_routers(owner):
            if self.fleet.routers[name].identity.zone != "b":
                self.world.cut(owner, name)
        self.fleet.routers[follower].messenger.on_post(ObservedState, lambda *_: None)
        self.worker.state = "draining"
        self.assertEqual(self.fleet.announce(self.worker, self.fleet.owner("a")).status, 200)
        self.world.run(1.2)
        self.assertEqual(self.fleet.ready_at(follower), [])
        self.assertLess(self.fleet.feed_age(follower), 1.0)
        self.assertFalse(self.fleet.confirmed(owner, instance))

    def test_owner_that_wakes_does_not_mark_workers_whose_renewals_it_missed(self) -> None:
        """While it was frozen, the renewals went to another owner."""
        instance = self.announce_worker()
        owner = self.fleet.owner("b")
        announced_to = self.other_routers(owner)[0]
        identity, callbacks = self.fleet.roster.identities[owner], self.fleet.roster.callbacks.pop(owner)
        self.world.freeze(owner)
        self.fleet.roster.remove(owner)
        for _ in range(5):
            self.fleet.announce(self.worker, announced_to)
            self.world.run(0.9)
        self.fleet.roster.put(identity)
        self.fleet.roster.callbacks[owner] = callbacks
        self.world.wake(owner)
        for _ in range(8):
            self.world.run(0.1)
            for name in self.fleet.routers:
                self.assertEqual(self.fleet.ready_at(name), [instance], name)

    def test_router_that_starts_while_its_owner_is_frozen_asks_another_zones_owner(self) -> None:
        instance = self.announce_worker()
        owner = self.fleet.owner("b")
        follower = next(name for name in self.other_routers(owner) if self.fleet.routers[name].identity.zone == "b")
        self.world.freeze(owner)
        self.world.restart(follower)
        self.world.run(0.1)

        async def watch() -> None:
            self.fleet.routers[follower].registry.watch(POOL)

        self.fleet.inside(follower, watch)
        self.world.run(1.5)
        self.assertEqual(self.fleet.ready_at(follower), [instance])
        self.assertLess(self.fleet.feed_age(follower), 1.0)

    def test_owner_that_missed_announcements_while_frozen_does_not_trust_itself(self) -> None:
        """While it was frozen and not a member, a drain was acknowledged without it."""
        instance = self.announce_worker()
        self.world.run(0.5)
        owner = self.fleet.owner("b")
        identity, callbacks = self.fleet.roster.identities[owner], self.fleet.roster.callbacks.pop(owner)
        self.world.freeze(owner)
        self.fleet.roster.remove(owner)
        self.world.run(2.0)
        self.worker.state = "draining"
        self.assertEqual(self.fleet.announce(self.worker, self.other_routers(owner)[0]).status, 200)
        self.fleet.roster.put(identity)
        self.fleet.roster.callbacks[owner] = callbacks
        self.world.wake(owner)
        self.assertFalse(self.fleet.confirmed(owner, instance))

    def test_new_owner_confirms_nothing_before_the_other_zones_owners_have_replied(self) -> None:
        self.announce_worker()
        owner_a, owner = self.fleet.owner("a"), self.fleet.owner("b")
        follower = next(name for name in self.other_routers(owner) if self.fleet.routers[name].identity.zone == "b")
        cut = self.world.cut(follower, owner_a)
        self.world.kill(owner)
        self.fleet.roster.remove(owner)
        self.world.run(3.0)
        self.assertGreater(self.fleet.feed_age(follower), 1.0)
        self.world.heal(cut)
        self.world.run(2.0)
        self.assertLess(self.fleet.feed_age(follower), FEED_INTERVAL_S + 0.05)

    def test_router_that_was_owner_while_partitioned_learns_of_renewals_in_between(self) -> None:
        """Alone it considered itself the owner and marked the worker, whose renewals it could not receive."""
        instance = self.announce_worker()
        owner = self.fleet.owner("b")
        follower = next(name for name in self.other_routers(owner) if self.fleet.routers[name].identity.zone == "b")
        announced_to = self.other_routers(follower)[0]
        router = self.fleet.routers[follower]
        cuts = [self.world.cut(follower, name) for name in self.other_routers(follower)]
        alone = Roster()
        alone.identities = {follower: router.identity}
        alone.callbacks = {follower: self.fleet.roster.callbacks[follower]}
        router.membership.roster = alone
        alone.changed()
        for _ in range(6):
            self.fleet.announce(self.worker, announced_to)
            self.world.run(0.9)
        self.assertEqual(self.fleet.ready_at(follower), [])
        router.membership.roster = self.fleet.roster
        self.fleet.roster.changed()
        for cut in cuts:
            self.world.heal(cut)
        for _ in range(3):
            self.fleet.announce(self.worker, announced_to)
            self.world.run(0.9)
        self.assertEqual(self.fleet.ready_at(follower), [instance])

    def test_new_owner_pulls_the_records_of_the_others(self) -> None:
        instance = self.announce_worker()
        owner = self.fleet.owner("b")
        self.world.kill(owner)
        self.fleet.roster.remove(owner)
        self.world.run(1.2)
        new = self.fleet.owner("b")
        self.assertNotEqual(new, owner)
        self.assertEqual(self.fleet.ready_at(new), [instance])
        self.assertLess(self.fleet.feed_age(new), FEED_INTERVAL_S + 0.05)
        self.fleet.announce(self.worker, "r0", state="gone")
        self.world.run(0.1)
        self.assertEqual(self.fleet.ready_at(new), [])

    def test_owners_do_not_depend_on_the_order_of_member_changes(self) -> None:
        registry = self.fleet.routers["r0"].registry
        pools = [PoolName(f"pool-{number}") for number in range(12)]
        removed = [self.fleet.roster.identities[name] for name in ("r1", "r4", "r5")]
        for step, identity in enumerate(removed):
            for pool in pools[: 4 * step]:
                registry.pool_owners.by_zone(pool)
            self.fleet.roster.remove(identity.name)
        for step, identity in enumerate(removed):
            for pool in pools[8 - 4 * step :]:
                registry.pool_owners.by_zone(pool)
            self.fleet.roster.put(identity)
        late = Fleet(self.enterContext(World(9))).routers["r0"].registry
        for pool in pools:
            names = {zone: owner.name for zone, owner in registry.pool_owners.by_zone(pool).items()}
            self.assertEqual(names, {zone: owner.name for zone, owner in late.pool_owners.by_zone(pool).items()})

    def test_restarted_owner_learns_final_states_from_its_followers(self) -> None:
        """Its new incarnation starts with empty tables, and in a single zone no other owner has the state."""
        for zones in (("a", "b", "c"), ("a",)):
            with self.subTest(zones=zones):
                self.fleet = Fleet(self.enterContext(World(8)), zones=zones)
                self.world = self.fleet.world
                self.worker = self.fleet.start_worker("w0")
                instance = self.announce_worker()
                self.fleet.announce(self.worker, state="draining")
                self.world.run(0.5)
                owner = self.fleet.owner("a")
                self.world.restart(owner)
                self.world.run(1.0)
                found = self.fleet.routers[owner].registry.find(instance)  # type: ignore[arg-type]
                self.assertEqual(found and found.state, "draining")

    def test_forgotten_worker_is_announced_in_full_by_its_renewals(self) -> None:
        """The receiving daemon still takes the announcement for a renewal of a worker that the owners have removed."""
        for count in (6, 1):
            with self.subTest(routers=count):
                self.fleet = Fleet(self.enterContext(World(8)), count)
                self.world = self.fleet.world
                self.worker = self.fleet.start_worker("w0")
                instance = self.announce_worker()
                self.world.run(130.0)
                self.assertIsNone(self.fleet.routers["r0"].registry.find(instance))  # type: ignore[arg-type]
                for _ in range(2):
                    self.fleet.announce(self.worker)
                    self.world.run(0.9)
                for name in self.fleet.routers:
                    self.assertEqual(self.fleet.ready_at(name), [instance])

    def test_owner_that_missed_a_state_learns_it_from_the_other_owners(self) -> None:
        instance = self.announce_worker()
        owner_a, owner_b = self.fleet.owner("a"), self.fleet.owner("b")
        worker = self.fleet.routers[owner_a].registry.find(instance)  # type: ignore[arg-type]
        assert worker is not None
        drained = msgspec.structs.replace(worker, state="draining")
        messenger = self.fleet.routers["r0"].messenger
        self.fleet.inside(
            owner_a,
            lambda: self.fleet.routers[owner_a].registry._ownership._on_state_report(
                messenger.identity, WorkerStateReport(drained)
            ),
        )
        self.world.run(0.8)
        self.assertEqual(self.fleet.ready_at(owner_b), [])

    def test_suspected_worker_is_excluded_until_it_answers_its_health_check(self) -> None:
        instance = self.announce_worker()
        self.fleet.world.freeze("w0")
        self.fleet.routers["r1"].registry.suspect(self.worker.instance)  # type: ignore[arg-type]
        self.assertEqual(self.fleet.ready_at("r1"), [])
        self.fleet.announce(self.worker)
        self.world.run(1.0)
        self.assertEqual(self.fleet.ready_at("r1"), [])
        self.assertEqual(self.fleet.ready_at("r2"), [instance])
        self.fleet.world.wake("w0")
        self.world.run(1.5)
        self.assertEqual(self.fleet.ready_at("r1"), [instance])

    def test_loads_and_running_turns_are_reported(self) -> None:
        instance = WorkerInstance(self.worker.instance)

        def observed_loads(turns: float, pool: PoolName) -> dict[WorkerInstance, ObservedLoad]:
            return {instance: ObservedLoad(turns, 2 * turns, 1000 * turns)}

        for number, name in enumerate(sorted(self.fleet.routers)):
            count = partial(observed_loads, 1.0 + number)
            self.fleet.routers[name].registry.register_counter(count)
        self.announce_worker()
        self.fleet.announce(self.worker, load={"running": 5, "waiting": 2})
        self.world.run(1.5)
        for number, name in enumerate(sorted(self.fleet.routers)):
            registry = self.fleet.routers[name].registry
            others = 21.0 - (1.0 + number)
            self.assertEqual(
                registry.observed_load_of_others(instance), ObservedLoad(others, 2 * others, 1000 * others)
            )
            load = registry.ready(POOL)[0].load
            self.assertEqual(load and (load.running, load.waiting), (5, 2))


if __name__ == "__main__":
    unittest.main()
