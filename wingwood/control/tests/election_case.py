"""Base of the tests of elections (docs/DESIGN.md sections 7.2.3 and 7.2.4)."""

from __future__ import annotations

import msgspec

from ...identifiers import Incarnation
from ..messages import (
    ControlAccept,
    ControlAccepted,
    ControlPrepare,
    ControlPrepared,
    ControlReplicated,
    ControlStateChunk,
)
from ..planning import ViewPlan
from ..views import View, ViewMember
from .member_case import MemberCase


class ElectionCase(MemberCase):
    """``c2``, the backup of the view, is a candidate; the test supplies the answers of the others."""

    def setUp(self) -> None:
        super().setUp()
        for name in ("c1", "c3"):
            self.control.world.kill(name)
        self.core = self.control.cores["c2"]
        self.one, self.two, self.three = self.view.members
        self.granting: dict[Incarnation, View | None] = {}
        """The members that prepare the epoch, and the view that each reports."""
        self.acceptors: set[Incarnation] = set()
        self.sequences: dict[Incarnation, int] = {}
        """How many batches an acceptor has, if not 3 as the candidate has."""
        self.asked: list[tuple[str, Incarnation]] = []
        self.core.peers.ask = self.answer  # type: ignore[method-assign, assignment]

    async def answer(
        self, member: ViewMember, message: msgspec.Struct, _: object, __: object = None
    ) -> msgspec.Struct | None:
        self.asked.append((type(message).__name__, member.incarnation))
        match message:
            case ControlPrepare(epoch=epoch) if member.incarnation in self.granting:
                return ControlPrepared(member.incarnation, True, epoch, self.granting[member.incarnation])
            case ControlAccept(view=view) if member.incarnation in self.acceptors:
                return ControlAccepted(member.incarnation, True, view.epoch, self.sequences.get(member.incarnation, 3))
            case ControlStateChunk(epoch=epoch):
                return ControlReplicated(member.incarnation, True, epoch)
        return None

    def run_election(self, plan: ViewPlan | None = None) -> View | None:
        views: list[View | None] = []

        async def run() -> None:
            views.append(await self.core.candidate.run_election(plan))

        self.control.world.spawn(self.control.world.processes["c2"], run(), "stand")
        self.assertTrue(self.control.world.wait_for(lambda: bool(views), 3.0, every=0.01))
        return views[0]
