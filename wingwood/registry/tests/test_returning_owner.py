"""A cut-off owner that still considers itself the owner must not mislead its followers when it returns.

It has missed renewals and marked workers as unrenewed (docs/DESIGN.md section 10.2).
"""

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

    def announce_for(self, seconds: int, announced_to: str) -> None:
        for _ in range(seconds):
            self.fleet.announce(self.worker, announced_to)
            self.world.run(1.0)

    def test_followers_apply_its_renewed_flags_again_once_it_is_synced(self) -> None:
        owner = self.fleet.owner("b")
        announced_to = next(name for name in self.fleet.routers if name != owner)
        self.announce_for(2, announced_to)
        cuts = [self.world.cut(owner, name) for name in self.fleet.routers if name != owner]
        router = self.fleet.routers[owner]
        own_view = Roster()
        own_view.identities = dict(self.fleet.roster.identities)
        router.membership.roster = own_view
        self.fleet.roster.remove(owner)
        self.announce_for(6, announced_to)
        self.assertEqual(self.fleet.ready_at(owner), [], "an owner that receives no renewals marks its workers")
        for cut in cuts:
            self.world.heal(cut)
        self.fleet.roster.put(router.identity)
        self.announce_for(5, announced_to)
        for name in self.fleet.routers:
            self.assertEqual(self.fleet.ready_at(name), [self.worker.instance], name)

    def test_delayed_push_excludes_no_renewed_worker(self) -> None:
        """A push that was delayed in the buffers of a cut connection is older than what the follower knows."""
        owner = self.fleet.owner("b")
        follower = next(
            name for name, router in self.fleet.routers.items() if name != owner and router.identity.zone == "b"
        )
        registry = self.fleet.routers[follower].registry
        received_pushes: list[FeedPush] = []
        apply_push = registry._receiver._on_push

        def record_push(peer: Identity, push: FeedPush) -> None:
            received_pushes.append(push)
            apply_push(peer, push)

        self.fleet.routers[follower].messenger.on_post(FeedPush, record_push)
        self.announce_for(2, owner)
        self.world.run(4.0)
        self.assertEqual(self.fleet.ready_at(follower), [])
        delayed = next(push for push in received_pushes if not all(entry.renewed for entry in push.entries))
        self.announce_for(2, owner)
        self.assertEqual(self.fleet.ready_at(follower), [self.worker.instance])
        apply_push(self.fleet.routers[owner].identity, delayed)
        self.assertEqual(self.fleet.ready_at(follower), [self.worker.instance])
