"""Broken variants of the control core for the protocol model, built on its public interface and its messages."""

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
from .control_world import WALK_OPTIONS, MakeCore, Put, PutOutcome, Register, core_maker

Handler = Callable[[Identity, Any], Awaitable[msgspec.Struct]]
Tamper = Callable[[Context, Handler], Handler]
LATE_WRITE_DELAY_S = 1.5
"""Longer than a failover."""


def _prepared(prepare: Callable[[Context, TcpMessenger, Register], None], failures_tolerated: int) -> MakeCore:
    """Makes a core after ``prepare`` has changed the parts that it is built from."""
    inner = core_maker(failures_tolerated=failures_tolerated)

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


def _tampered(tampers: dict[type[msgspec.Struct], Tamper], failures_tolerated: int) -> MakeCore:
    """Makes a core whose handlers of the given messages are replaced."""

    def prepare(context: Context, messenger: TcpMessenger, _: Register) -> None:
        on_call = messenger.on_call

        def tampered(message_type: Any, handler: Handler) -> None:
            tamper = tampers.get(message_type)
            on_call(message_type, handler if tamper is None else tamper(context, handler))

        messenger.on_call = tampered  # type: ignore[method-assign]

    return _prepared(prepare, failures_tolerated)


def answers_before_it_has_written(failures_tolerated: int = 1) -> MakeCore:
    """Makes a core that, as a backup, confirms a batch at once and writes it ``LATE_WRITE_DELAY_S`` later."""

    def tamper(context: Context, handler: Handler) -> Handler:
        async def late(peer: Identity, message: ControlReplicate) -> None:
            await asyncio.sleep(LATE_WRITE_DELAY_S)
            await handler(peer, message)

        async def answer(peer: Identity, message: ControlReplicate) -> msgspec.Struct:
            if not message.entry:
                return await handler(peer, message)
            context.tasks.spawn("late", late(peer, message))
            return ControlReplicated(by=message.to, synced=True, prepared_epoch=message.epoch)

        return answer

    return _tampered({ControlReplicate: tamper}, failures_tolerated)


class _ForgetfulRegister(Register):
    """Treats an order that it has seen as a new one."""

    def decide(self, command: msgspec.Struct) -> tuple[bytes | None, msgspec.Struct]:
        assert isinstance(command, Put)
        accepted = command.base == self.stored.version
        outcome = PutOutcome(command.order, accepted, self.stored.version + accepted)
        return msgspec.msgpack.encode((outcome, command.filler)), outcome


def forgets_order_ids(failures_tolerated: int = 1) -> MakeCore:
    """Makes a core whose applier does not recognise repeated orders."""

    def prepare(_: Context, __: TcpMessenger, register: Register) -> None:
        register.__class__ = _ForgetfulRegister

    return _prepared(prepare, failures_tolerated)


class _ConfirmsByOwnRole(ReplicatedCore):
    """Claims a confirmation whenever it is primary in its own view."""

    async def confirm_leadership(self) -> bool:
        return self.report().own_role == "primary"


def confirms_without_asking(failures_tolerated: int = 1) -> MakeCore:
    """Makes a core that confirms leadership without asking another member."""
    return core_maker(_ConfirmsByOwnRole, WALK_OPTIONS, failures_tolerated)
