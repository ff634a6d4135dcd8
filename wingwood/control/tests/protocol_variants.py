"""Broken variants of the control core for the protocol's model; they use its public interface and its messages only."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import msgspec

from ...context.protocols import Context
from ...identifiers import Address
from ...transport.frames import Identity
from ...transport.messenger import TcpMessenger
from ..core import ReplicatedCore
from ..messages import ControlReplicate, ControlReplicated
from ..store import Contents, ControlStore
from .control_world import WALK_LIMITS, MakeCore, Put, PutOutcome, Register, core_maker

Handler = Callable[[Identity, Any], Awaitable[msgspec.Struct]]
Tamper = Callable[[Context, Handler], Handler]
LATE_WRITE_DELAY_S = 1.5
"""Longer than a take-over takes."""


def _prepared(prepare: Callable[[Context, TcpMessenger, Register], None], losses_borne: int) -> MakeCore:
    """A core that is made after ``prepare`` has spoilt what it is made of."""
    inner = core_maker(losses_borne=losses_borne)

    def make(
        context: Context,
        messenger: TcpMessenger,
        store: ControlStore,
        contents: Contents,
        register: Register,
        seeds: Sequence[Address],
    ) -> ReplicatedCore:
        prepare(context, messenger, register)
        return inner(context, messenger, store, contents, register, seeds)

    return make


def _tampered(tampers: dict[type[msgspec.Struct], Tamper], losses_borne: int) -> MakeCore:
    """A core whose answers to some messages of other members are not its own."""

    def prepare(context: Context, messenger: TcpMessenger, _: Register) -> None:
        on_call = messenger.on_call

        def tampered(message_type: Any, handler: Handler) -> None:
            tamper = tampers.get(message_type)
            on_call(message_type, handler if tamper is None else tamper(context, handler))

        messenger.on_call = tampered  # type: ignore[method-assign]

    return _prepared(prepare, losses_borne)


def answers_before_it_has_written(losses_borne: int = 1) -> MakeCore:
    """A backup says that a batch is on its disk, and writes it later."""

    def tamper(context: Context, handler: Handler) -> Handler:
        async def late(peer: Identity, message: ControlReplicate) -> None:
            await asyncio.sleep(LATE_WRITE_DELAY_S)
            await handler(peer, message)

        async def answer(peer: Identity, message: ControlReplicate) -> msgspec.Struct:
            if not message.entry:
                return await handler(peer, message)
            context.tasks.spawn("late", late(peer, message))
            return ControlReplicated(by=message.to, synced=True, promised=message.epoch)

        return answer

    return _tampered({ControlReplicate: tamper}, losses_borne)


class _ForgetfulRegister(Register):
    """Takes an order that it has seen for a new one."""

    def decide(self, command: msgspec.Struct) -> tuple[bytes | None, msgspec.Struct]:
        assert isinstance(command, Put)
        accepted = command.base == self.stored.version
        outcome = PutOutcome(command.order, accepted, self.stored.version + accepted)
        return msgspec.msgpack.encode((outcome, command.filler)), outcome


def forgets_order_ids(losses_borne: int = 1) -> MakeCore:
    def prepare(_: Context, __: TcpMessenger, register: Register) -> None:
        register.__class__ = _ForgetfulRegister

    return _prepared(prepare, losses_borne)


class _ProvesByOwnRole(ReplicatedCore):
    async def prove_leadership(self) -> bool:
        return self.report().own_role == "primary"


def proves_without_asking(losses_borne: int = 1) -> MakeCore:
    return core_maker(_ProvesByOwnRole, WALK_LIMITS, losses_borne)
