"""Broken variants of the control core; each must be caught by the walks. Only the test harness has them."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import msgspec

from ...context.protocols import Context
from ...identifiers import Address, Epoch, Incarnation, Seconds
from ...transport.frames import Identity
from ...transport.messenger import TcpMessenger
from ..core import ReplicatedCore, _Lead, _Plan
from ..limits import ControlLimits
from ..messages import ControlGrant, ControlPromise, ControlReplicate, Seat, View
from ..store import Contents, ControlStore, decode_batch
from .control_world import WALK_LIMITS, MakeCore, Register


class AcknowledgesBeforeBackup(ReplicatedCore):
    async def _replicate(self, lead: _Lead, epoch: Epoch, before: int, entry: bytes) -> bool:
        self._context.tasks.spawn("late", self._late(lead, epoch, before, entry))
        return True

    async def _late(self, lead: _Lead, epoch: Epoch, before: int, entry: bytes) -> None:
        if not await super()._replicate(lead, epoch, before, entry):
            lead.backup_failed = True


class BackupIgnoresPromise(ReplicatedCore):
    """Journals what any former primary sends, as long as the numbers fit."""

    async def _replicate_here(self, message: ControlReplicate) -> str | None:
        if message.before == self._store.sequence and message.entry and self._sick is None and not self._stale:
            await self._store.append_batch(message.entry, message.before + 1)
            self._replica.receive(decode_batch(message.entry))
            return None
        return await super()._replicate_here(message)


class ViewBeforeTransfer(ReplicatedCore):
    async def _send_state(self, lead: _Lead, seat: Seat) -> bool:
        self._context.tasks.spawn("late", self._late_state(lead, seat))
        return True

    async def _late_state(self, lead: _Lead, seat: Seat) -> None:
        await asyncio.sleep(0.3)
        if self._lead is lead and self._replica.applied == self._store.sequence:
            await super()._send_state(lead, seat)


class AnyGranteeMayWin(ReplicatedCore):
    """Witnesses stand too, and nobody asks whether the winner holds the state."""

    async def _may_stand(self, view: View) -> bool:
        newest = self._store.view
        if newest is not None:
            self._store.view = View(newest.epoch, newest.primary, newest.backup, newest.members, newest.incarnations())
        return await super()._may_stand(view)

    async def _stand(self, plan: _Plan | None) -> View | None:
        ask = self._ask

        async def forget_holders(
            seat: Seat, message: msgspec.Struct, reply_type: type[msgspec.Struct], timeout: Seconds | None = None
        ) -> msgspec.Struct | None:
            reply = await ask(seat, message, reply_type, timeout)
            if isinstance(reply, ControlGrant) and isinstance(message, ControlPromise) and reply.view is not None:
                view = reply.view
                everyone = View(view.epoch, view.primary, view.backup, view.members, view.incarnations())
                return ControlGrant(reply.by, reply.granted, reply.promised, everyone, 0, reply.empty)
            return reply

        self._ask = forget_holders  # type: ignore[method-assign, assignment]
        try:
            return await super()._stand(plan)
        finally:
            self._ask = ask  # type: ignore[method-assign]


class AnswersWhenCutOff(ReplicatedCore):
    """A former primary that doesn't notice: whoever doesn't answer, it goes on alone."""

    def leads(self) -> bool:
        return self._lead is not None

    def _tend(self, lead: _Lead) -> None:
        lead.confirmed = self._now()
        super()._tend(lead)

    def _wanted(self, lead: _Lead) -> _Plan | None:
        alone = not any(self._live(lead, seat) for seat in self._others(lead.view))
        return None if alone else super()._wanted(lead)

    async def _replicate(self, lead: _Lead, epoch: Epoch, before: int, entry: bytes) -> bool:
        replicating = asyncio.get_running_loop().create_task(super()._replicate(lead, epoch, before, entry))
        await asyncio.wait((replicating,), timeout=0.1)
        return True


class ProvesWithoutAsking(ReplicatedCore):
    async def _proof_round(self, lead: _Lead) -> bool:
        return self._lead is lead


def with_core(core_type: type[ReplicatedCore], limits: ControlLimits = WALK_LIMITS) -> MakeCore:
    def make(
        context: Context,
        messenger: TcpMessenger,
        store: ControlStore,
        contents: Contents,
        register: Register,
        seeds: Sequence[Address],
    ) -> ReplicatedCore:
        return core_type(context, messenger, store, contents, [register], seeds, limits=limits)

    return make


def identity_survives_wipe(
    context: Context,
    messenger: TcpMessenger,
    store: ControlStore,
    contents: Contents,
    register: Register,
    seeds: Sequence[Address],
) -> ReplicatedCore:
    """The incarnation is the machine's address, and an empty folder passes for one that forgot nothing."""
    identity = messenger.identity
    store.incarnation = Incarnation(f"at {identity.internal}")
    messenger.identity = Identity(identity.name, store.incarnation, "control", identity.zone, identity.internal)
    return with_core(ReplicatedCore)(context, messenger, store, contents, register, seeds)


MUTANTS: dict[str, tuple[MakeCore, tuple[str, ...]]] = {
    "acknowledges before backup": (
        with_core(AcknowledgesBeforeBackup),
        ("slow_wire", "slow_wire", "kill_primary", "heal_cuts"),
    ),
    "identity survives wipe": (identity_survives_wipe, ("lose_then_kill", "nothing")),
    "view before transfer": (with_core(ViewBeforeTransfer), ("second_loss", "hush", "nothing")),
    "any grantee may win": (with_core(AnyGranteeMayWin), ("cut_off", "cut", "freeze_primary", "heal_cuts")),
    "proves without asking": (with_core(ProvesWithoutAsking), ("cut_off", "heal_cuts", "freeze_primary", "nothing")),
    "answers when cut off": (with_core(AnswersWhenCutOff), ("cut_off", "heal_cuts", "nothing")),
}
"""The core, and the faults of the walks that catch it. (A backup that ignores its promise: see test_core.)"""
