"""Base of the tests of the rules of a member, message by message (docs/DESIGN.md section 7.2)."""

from __future__ import annotations

import unittest
from typing import TypeVar

import msgspec
from returns.result import Success

from ...identifiers import Epoch, Incarnation, Seconds
from ..journal_entries import SnapshotEntry, StateRecord
from ..messages import (
    ControlAccept,
    ControlAccepted,
    ControlPrepare,
    ControlPrepared,
    ControlReplicate,
    ControlReplicated,
    ControlStateChunk,
)
from ..store import encode_batch
from ..views import View
from .control_world import ControlWorld

Reply = TypeVar("Reply", bound=msgspec.Struct)
X, Y = Incarnation("x"), Incarnation("y")


class MemberCase(unittest.TestCase):
    """``c1`` leads, ``c2`` is the backup, ``c3`` the witness; tests send messages to them in place of a member."""

    def setUp(self) -> None:
        self.control = ControlWorld(1)
        self.addCleanup(self.control.close)
        self.control.operator()
        self.assertTrue(self.control.world.wait_for(self.control.complete, 5.0))
        for _ in range(3):
            self.assertIsNotNone(self.control.send())
        self.view = self.view_of("c1")

    def view_of(self, name: str) -> View:
        view = self.control.stores[name].view
        assert view is not None
        return view

    def incarnation_of(self, name: str) -> Incarnation:
        return self.control.stores[name].incarnation

    def ask(self, name: str, message: msgspec.Struct, reply_type: type[Reply]) -> Reply:
        answers: list[Reply] = []
        client = self.control.clients["operator"]
        address = next(member.address for member in self.view.members if str(member.name) == name)

        async def run() -> None:
            match await client._messenger.call(address, message, reply_type, Seconds(1.0)):
                case Success(reply):
                    answers.append(reply)

        self.control.world.spawn(self.control.world.processes["operator"], run(), "ask")
        self.assertTrue(self.control.world.wait_for(lambda: bool(answers), 1.1, every=0.001), str(message))
        return answers[0]

    def prepare(
        self, name: str, epoch: int, candidate: Incarnation = X, to: Incarnation | None = None
    ) -> ControlPrepared:
        return self.ask(name, ControlPrepare(to or self.incarnation_of(name), candidate, Epoch(epoch)), ControlPrepared)

    def accept(self, name: str, view: View, to: Incarnation | None = None) -> bool:
        return self.ask(name, ControlAccept(to or self.incarnation_of(name), view), ControlAccepted).accepted

    def replicate(self, epoch: int, before: int, to: Incarnation | None = None, name: str = "c2") -> bool:
        entry = encode_batch(before + 1, Epoch(epoch), [StateRecord("register", msgspec.msgpack.encode((None, b"")))])
        message = ControlReplicate(to or self.incarnation_of(name), Epoch(epoch), before, 0, entry)
        return self.ask(name, message, ControlReplicated).synced

    def state(self, epoch: int, sender: Incarnation, to: Incarnation | None = None, name: str = "c2") -> bool:
        data = msgspec.msgpack.encode(SnapshotEntry(70, {}))
        message = ControlStateChunk(to or self.incarnation_of(name), sender, Epoch(epoch), 1, 0, 1, data)
        return self.ask(name, message, ControlReplicated).synced

    def new_view(self, epoch: int, primary: Incarnation) -> View:
        return View(Epoch(epoch), primary, (), self.view.members, self.view.holders)
