"""Broken variants of the control core, used by tests only; the random walks must catch each of them."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping, Sequence

import msgspec

from ...context.protocols import Context
from ...identifiers import Address, Epoch, Incarnation, Seconds
from ...transport.frames import Identity
from ...transport.messenger import TcpMessenger
from ..core import ReplicatedCore
from ..leadership import Leadership as _Lead
from ..messages import ControlConfirm, ControlConfirmed, ControlPrepare, ControlPrepared, ControlReplicate
from ..planning import ViewPlan as _Plan
from ..store import Contents, ControlStore, decode_batch
from ..views import View, ViewMember
from .control_world import SIX, MakeCore, Register, core_maker


class AcknowledgesBeforeBackup(ReplicatedCore):
    """A primary that answers before the backups have journaled the batch."""

    async def _replicate(self, leadership: _Lead, epoch: Epoch, before: int, entry: bytes) -> bool:
        self._context.tasks.spawn("late", self._late(leadership, epoch, before, entry))
        return True

    async def _late(self, leadership: _Lead, epoch: Epoch, before: int, entry: bytes) -> None:
        if not await super()._replicate(leadership, epoch, before, entry):
            leadership.in_sync = False


class BackupIgnoresPromise(ReplicatedCore):
    """A backup that journals batches of a former primary, as long as the sequence fits."""

    async def _journal_batch(self, message: ControlReplicate) -> str | None:
        if message.before == self._store.sequence and message.entry and self._disk_fault is None and not self._stale:
            await self._store.append_batch(message.entry, message.before + 1)
            self._replica.receive(decode_batch(message.entry))
            return None
        return await super()._journal_batch(message)


class ViewBeforeTransfer(ReplicatedCore):
    """A primary that chooses a view before its new backups have received the state."""

    async def _send_state(self, leadership: _Lead, member: ViewMember) -> bool:
        self._context.tasks.spawn("late", self._late_state(leadership, member))
        return True

    async def _late_state(self, leadership: _Lead, member: ViewMember) -> None:
        await asyncio.sleep(0.3)
        if self._leadership is leadership and self._replica.applied == self._store.sequence:
            await super()._send_state(leadership, member)

    def _in_sync(self, view: View, sequences: Mapping[Incarnation, int]) -> bool:
        return True


class AnyGranteeMayWin(ReplicatedCore):
    """Witnesses become candidates too, and no member checks whether the winner confirmed the state."""

    async def _may_be_candidate(self, view: View) -> bool:
        newest = self._store.view
        if newest is not None:
            self._store.view = View(newest.epoch, newest.primary, newest.backups, newest.members, newest.incarnations())
        return await super()._may_be_candidate(view)

    async def _run_election(self, plan: _Plan | None) -> View | None:
        ask = self._ask

        async def forget_holders(
            member: ViewMember,
            message: msgspec.Struct,
            reply_type: type[msgspec.Struct],
            timeout: Seconds | None = None,
        ) -> msgspec.Struct | None:
            reply = await ask(member, message, reply_type, timeout)
            if isinstance(reply, ControlPrepared) and isinstance(message, ControlPrepare) and reply.view is not None:
                view = reply.view
                everyone = View(view.epoch, view.primary, view.backups, view.members, view.incarnations())
                return ControlPrepared(reply.by, reply.granted, reply.prepared_epoch, everyone, 0, reply.empty)
            return reply

        self._ask = forget_holders  # type: ignore[method-assign, assignment]
        try:
            return await super()._run_election(plan)
        finally:
            self._ask = ask  # type: ignore[method-assign]


class AnswersWhenCutOff(ReplicatedCore):
    """A former primary that does not notice that no member answers, and continues alone."""

    def leads(self) -> bool:
        return self._leadership is not None

    def _maintain_leadership(self, leadership: _Lead) -> None:
        leadership.confirmed = self._now()
        super()._maintain_leadership(leadership)

    def _desired_view(self, leadership: _Lead) -> _Plan | None:
        alone = not any(self._member_is_live(leadership, member) for member in self._other_members(leadership.view))
        return None if alone else super()._desired_view(leadership)

    async def _replicate(self, leadership: _Lead, epoch: Epoch, before: int, entry: bytes) -> bool:
        replicating = asyncio.get_running_loop().create_task(super()._replicate(leadership, epoch, before, entry))
        await asyncio.wait((replicating,), timeout=0.1)
        return True


class ProvesWithoutAsking(ReplicatedCore):
    """A primary that claims a proof without asking any member."""

    async def _proof_round(self, leadership: _Lead) -> bool:
        return self._leadership is leadership


with_core = core_maker


def identity_survives_wipe(
    context: Context,
    messenger: TcpMessenger,
    store: ControlStore,
    contents: Contents,
    register: Register,
    seeds: Sequence[Address],
) -> ReplicatedCore:
    """A core whose incarnation is the address of its machine, so that a wiped machine counts as the old member."""
    identity = messenger.identity
    store.incarnation = Incarnation(f"at {identity.internal}")
    messenger.identity = Identity(identity.name, store.incarnation, "control", identity.zone, identity.internal)
    return with_core(ReplicatedCore)(context, messenger, store, contents, register, seeds)


class ForgetsFormerMembers(ReplicatedCore):
    """A primary that, on the second attempt for a view with other members, asks only the new members."""

    async def _change_view(self, leadership: _Lead, plan: _Plan) -> None:
        plan.former = ()
        await super()._change_view(leadership, plan)


class OneBackupIsEnough(ReplicatedCore):
    """A primary that answers when the first of two backups has journaled the batch."""

    async def _replicate(self, leadership: _Lead, epoch: Epoch, before: int, entry: bytes) -> bool:
        backups = [member for member in leadership.view.members if member.incarnation in leadership.view.backups]
        replicating = {
            asyncio.get_running_loop().create_task(self._replicate_to(leadership, member, epoch, before, entry))
            for member in backups
        }
        while replicating:
            done, replicating = await asyncio.wait(replicating, return_when=asyncio.FIRST_COMPLETED)
            if any(task.result() for task in done):
                return True
        return False


class TakesBackupsForInSync(ReplicatedCore):
    """A primary that sends the state to newcomers only and does not check what the other backups have."""

    async def _sync_backups(self, leadership: _Lead, backups: Sequence[ViewMember]) -> bool:
        newcomers = [member for member in backups if leadership.view.member(member.incarnation) is None]
        return await super()._sync_backups(leadership, newcomers)

    def _in_sync(self, view: View, sequences: Mapping[Incarnation, int]) -> bool:
        return True


class ProvesWithOneMember(ReplicatedCore):
    """A primary that claims a proof when one other member confirms, which of five members is no majority."""

    async def _proof_round(self, leadership: _Lead) -> bool:
        view = leadership.view
        answers = await self._gather(
            [
                self._ask(member, ControlConfirm(member.incarnation, view.epoch), ControlConfirmed)
                for member in self._other_members(view)
            ],
            lambda found: any(answer.confirmed for answer in found),
            self._options.call_timeout,
        )
        return (
            any(answer.confirmed for answer in answers) and self._leadership is leadership and leadership.commit_known
        )


class Mutant(msgspec.Struct, frozen=True):
    """A broken core, with the faults and the machines of the walks that catch it."""

    make: MakeCore
    faults: tuple[str, ...]
    names: tuple[str, ...] = ("c1", "c2", "c3")
    failures_tolerated: int = 1


def _for_two(core_type: type[ReplicatedCore], *faults: str) -> Mutant:
    return Mutant(core_maker(core_type, failures_tolerated=2), faults, SIX, 2)


MUTANTS: dict[str, Mutant] = {
    "acknowledges before backup": Mutant(
        with_core(AcknowledgesBeforeBackup),
        ("slow_wire", "slow_wire", "kill_primary", "heal_partitions"),
    ),
    "identity survives wipe": Mutant(identity_survives_wipe, ("lose_then_kill", "nothing")),
    "view before transfer": Mutant(with_core(ViewBeforeTransfer), ("second_loss", "pause_operators", "nothing")),
    "any grantee may win": Mutant(with_core(AnyGranteeMayWin), ("cut_off", "cut", "freeze_primary", "heal_partitions")),
    "proves without asking": Mutant(
        with_core(ProvesWithoutAsking), ("cut_off", "heal_partitions", "freeze_primary", "nothing")
    ),
    "answers when cut off": Mutant(with_core(AnswersWhenCutOff), ("cut_off", "heal_partitions", "nothing")),
    "forgets former members": Mutant(
        with_core(ForgetsFormerMembers), ("cut_in_replacement", "heal_partitions", "nothing"), ("c1", "c2", "c3", "c4")
    ),
    "acknowledges before backups, two losses": _for_two(AcknowledgesBeforeBackup, "lose_behind_slow_wire", "nothing"),
    "one backup is enough, two losses": _for_two(OneBackupIsEnough, "lose_behind_slow_wire", "nothing"),
    "view before transfer, two losses": _for_two(ViewBeforeTransfer, "second_loss", "pause_operators", "nothing"),
    "takes backups for in sync, two losses": _for_two(
        TakesBackupsForInSync, "second_loss", "lose", "kill", "pause_operators"
    ),
    "any grantee may win, two losses": _for_two(AnyGranteeMayWin, "split", "freeze_primary", "heal_partitions"),
    "proves with one member, two losses": _for_two(ProvesWithOneMember, "cut_minority", "heal_partitions", "nothing"),
}
"""``BackupIgnoresPromise`` is not listed here; test_core catches it."""
