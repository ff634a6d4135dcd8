"""A home that was cut off, and kept its duty in its own eyes, comes back (docs/DESIGN.md section 10.2)."""

from __future__ import annotations

import unittest

from simulation.world import World
from wingwood.registry.messages import FeedPush
from wingwood.transport.frames import Identity

from .fleet import Fleet, Roster


class ReturningOwnerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world = self.enterContext(World(5))
        self.fleet = Fleet(self.world)
        self.worker = self.fleet.start_worker("w0")

    def announce_for(self, seconds: int, edge: str) -> None:
        for _ in range(seconds):
            self.fleet.announce(self.worker, edge)
            self.world.run(1.0)

    def test_followers_take_its_word_anew_once_it_has_settled(self) -> None:
        owner = self.fleet.owner("b")
        edge = next(name for name in self.fleet.routers if name != owner)
        self.announce_for(2, edge)
        cuts = [self.world.cut(owner, name) for name in self.fleet.routers if name != owner]
        router = self.fleet.routers[owner]
        own_view = Roster()
        own_view.identities = dict(self.fleet.roster.identities)
        router.membership.roster = own_view
        self.fleet.roster.remove(owner)
        self.announce_for(6, edge)
        self.assertEqual(self.fleet.ready_at(owner), [], "a home that hears no renewals takes its workers out")
        for cut in cuts:
            self.world.heal(cut)
        self.fleet.roster.put(router.identity)
        self.announce_for(5, edge)
        for name in self.fleet.routers:
            self.assertEqual(self.fleet.ready_at(name), [self.worker.instance], name)

    def test_a_push_that_comes_late_takes_no_renewed_worker_out(self) -> None:
        """A push that lay in the buffers of a cut connection is older than what the follower knows."""
        owner = self.fleet.owner("b")
        follower = next(
            name for name, router in self.fleet.routers.items() if name != owner and router.identity.zone == "b"
        )
        registry = self.fleet.routers[follower].registry
        heard: list[FeedPush] = []
        take = registry._handle_push

        def listen(peer: Identity, push: FeedPush) -> None:
            heard.append(push)
            take(peer, push)

        self.fleet.routers[follower].messenger.on_post(FeedPush, listen)
        self.announce_for(2, owner)
        self.world.run(4.0)
        self.assertEqual(self.fleet.ready_at(follower), [])
        late = next(push for push in heard if not all(entry.renewed for entry in push.entries))
        self.announce_for(2, owner)
        self.assertEqual(self.fleet.ready_at(follower), [self.worker.instance])
        take(self.fleet.routers[owner].identity, late)
        self.assertEqual(self.fleet.ready_at(follower), [self.worker.instance])
