"""Broken variants of the control core, used by tests only; the random walks must catch each of them."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping, Sequence

import msgspec

from ...context.protocols import Context
from ...identifiers import Address, Epoch, Incarnation, Instant, Seconds
from ...transport.frames import Identity
from ...transport.messenger import TcpMessenger
from ..backup import Backup, Rejection
from ..core import ReplicatedCore
from ..election import Candidate
from ..failover import Failover
from ..leadership import Leadership
from ..leadership_confirmation import LeadershipConfirmation
from ..messages import ControlConfirm, ControlConfirmed, ControlPrepare, ControlPrepared, ControlReplicate
from ..own_leadership import OwnLeadership
from ..planning import ViewPlan, ViewPlanner
from ..primary import Primary
from ..replicator import Replicator
from ..store import Contents, ControlStore, decode_batch
from ..views import View, ViewMember
from .control_world import SIX, MakeCore, Register, core_maker


def core_with(**part_types: type[object]) -> type[ReplicatedCore]:
    """Returns a core in which the parts of these names are replaced by broken subclasses before the start."""

    class BrokenCore(ReplicatedCore):
        def start(self) -> None:
            for name, part_type in part_types.items():
                getattr(self, name).__class__ = part_type
            super().start()

    return BrokenCore


class EarlyReplicator(Replicator):
    """Reports batches as replicated before the backups have journaled them."""

    async def replicate(self, leadership: Leadership, epoch: Epoch, before: int, entry: bytes) -> bool:
        self._context.tasks.spawn("late", self._late(leadership, epoch, before, entry))
        return True

    async def _late(self, leadership: Leadership, epoch: Epoch, before: int, entry: bytes) -> None:
        if not await super().replicate(leadership, epoch, before, entry):
            leadership.in_sync = False


AcknowledgesBeforeBackup = core_with(replicator=EarlyReplicator)
"""A primary that answers before the backups have journaled the batch."""


class ObedientBackup(Backup):
    """Journals batches of a former primary, as long as the sequence fits."""

    async def journal_batch(self, message: ControlReplicate) -> Rejection | None:
        usable = self._guarded.fault is None and not self._replica.needs_load
        if message.before == self._store.sequence and message.entry and usable:
            await self._store.append_batch(message.entry, message.before + 1)
            self._replica.receive(decode_batch(message.entry))
            return None
        return await super().journal_batch(message)


BackupIgnoresPreparedEpoch = core_with(backup=ObedientBackup)


class LateStateReplicator(Replicator):
    """Reports a state as sent before it is."""

    async def send_state(self, leadership: Leadership, member: ViewMember) -> bool:
        self._context.tasks.spawn("late", self._late_state(leadership, member))
        return True

    async def _late_state(self, leadership: Leadership, member: ViewMember) -> None:
        await asyncio.sleep(0.3)
        if self._leadership.current is leadership and self._replica.applied == self._store.sequence:
            await super().send_state(leadership, member)


class CandidateWithoutSyncCheck(Candidate):
    """Takes all backups of a view for in sync."""

    def backups_in_sync(self, view: View, sequences: Mapping[Incarnation, int]) -> bool:
        return True


ViewBeforeTransfer = core_with(replicator=LateStateReplicator, candidate=CandidateWithoutSyncCheck)
"""A primary that chooses a view before its new backups have received the state."""


class FailoverOfWitnesses(Failover):
    """Takes all members for holders of the state."""

    async def may_be_candidate(self, view: View) -> bool:
        latest = self._store.view
        if latest is not None:
            self._store.view = View(latest.epoch, latest.primary, latest.backups, latest.members, latest.incarnations())
        return await super().may_be_candidate(view)


class CandidateWithoutHolders(Candidate):
    """Does not check whether the winner has the state."""

    async def run_election(self, plan: ViewPlan | None) -> View | None:
        ask = self._peers.ask

        async def ask_without_holders(
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

        self._peers.ask = ask_without_holders  # type: ignore[method-assign, assignment]
        try:
            return await super().run_election(plan)
        finally:
            self._peers.ask = ask  # type: ignore[method-assign]


AnyAcceptorMayWin = core_with(failover=FailoverOfWitnesses, candidate=CandidateWithoutHolders)
"""Witnesses become candidates too, and no member checks whether the winner has the state."""


class UnconditionalLeadership(OwnLeadership):
    """Leads although no member answers."""

    def leads(self) -> bool:
        return self.current is not None


class SelfConfirmingPrimary(Primary):
    """Counts its own tick as a confirmation of its leadership."""

    def maintain(self, leadership: Leadership) -> None:
        leadership.confirmed = self._now()
        super().maintain(leadership)


class ResignedPlanner(ViewPlanner):
    """Plans no other view while no member answers."""

    def plan(self, leadership: Leadership, now: Instant) -> ViewPlan | None:
        others = leadership.view.others(self._own.incarnation)
        alone = not any(leadership.is_live(member.incarnation, now, self._options.member_timeout) for member in others)
        return None if alone else super().plan(leadership, now)


class ImpatientReplicator(Replicator):
    """Reports batches as replicated after 0.1 s."""

    async def replicate(self, leadership: Leadership, epoch: Epoch, before: int, entry: bytes) -> bool:
        replicating = asyncio.get_running_loop().create_task(super().replicate(leadership, epoch, before, entry))
        await asyncio.wait((replicating,), timeout=0.1)
        return True


AnswersWhenPartitioned = core_with(
    leadership=UnconditionalLeadership,
    primary=SelfConfirmingPrimary,
    planner=ResignedPlanner,
    replicator=ImpatientReplicator,
)
"""A former primary that does not notice that no member answers, and continues alone."""


class ConfirmationByNobody(LeadershipConfirmation):
    """Asks no member."""

    async def majority_confirms(self, leadership: Leadership) -> bool:
        return self._leadership.current is leadership


ConfirmsWithoutAsking = core_with(confirmation=ConfirmationByNobody)
"""A primary that claims a confirmation without asking any member."""


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


class PrimaryWithoutFormerMembers(Primary):
    """Removes the former members from its plans."""

    async def change_view(self, leadership: Leadership, plan: ViewPlan) -> None:
        plan.former = ()
        await super().change_view(leadership, plan)


ForgetsFormerMembers = core_with(primary=PrimaryWithoutFormerMembers)
"""A primary that, on the second attempt for a view with other members, asks only the new members."""


class FirstBackupReplicator(Replicator):
    """Reports a batch as replicated when the first backup has journaled it."""

    async def replicate(self, leadership: Leadership, epoch: Epoch, before: int, entry: bytes) -> bool:
        backups = [member for member in leadership.view.members if member.incarnation in leadership.view.backups]
        replicating = {
            asyncio.get_running_loop().create_task(self.replicate_to(leadership, member, epoch, before, entry))
            for member in backups
        }
        while replicating:
            done, replicating = await asyncio.wait(replicating, return_when=asyncio.FIRST_COMPLETED)
            if any(task.result() for task in done):
                return True
        return False


OneBackupIsEnough = core_with(replicator=FirstBackupReplicator)
"""A primary that answers when the first of two backups has journaled the batch."""


class JoiningOnlyReplicator(Replicator):
    """Sends the state to joining members only."""

    async def sync_backups(self, leadership: Leadership, backups: Sequence[ViewMember]) -> bool:
        joining = [member for member in backups if leadership.view.member(member.incarnation) is None]
        return await super().sync_backups(leadership, joining)


TakesBackupsForInSync = core_with(replicator=JoiningOnlyReplicator, candidate=CandidateWithoutSyncCheck)
"""A primary that sends the state to joining members only and does not check what the other backups have."""


class ConfirmationByOne(LeadershipConfirmation):
    """Takes the confirmation of one other member for that of a majority, which it is not among five members."""

    async def majority_confirms(self, leadership: Leadership) -> bool:
        view = leadership.view
        answers = await self._peers.gather(
            [
                self._peers.ask(member, ControlConfirm(member.incarnation, view.epoch), ControlConfirmed)
                for member in view.others(self._own_incarnation)
            ],
            lambda answers: any(answer.confirmed for answer in answers),
        )
        one_confirmed = any(answer.confirmed for answer in answers)
        return one_confirmed and self._leadership.current is leadership and leadership.commit_known


ConfirmsWithOneMember = core_with(confirmation=ConfirmationByOne)
"""A primary that claims a confirmation when one other member confirms."""


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
    "any acceptor may win": Mutant(
        with_core(AnyAcceptorMayWin), ("cut_off", "cut", "freeze_primary", "heal_partitions")
    ),
    "confirms without asking": Mutant(
        with_core(ConfirmsWithoutAsking), ("cut_off", "heal_partitions", "freeze_primary", "nothing")
    ),
    "answers when cut off": Mutant(with_core(AnswersWhenPartitioned), ("cut_off", "heal_partitions", "nothing")),
    "forgets former members": Mutant(
        with_core(ForgetsFormerMembers), ("cut_in_replacement", "heal_partitions", "nothing"), ("c1", "c2", "c3", "c4")
    ),
    "acknowledges before backups, two losses": _for_two(AcknowledgesBeforeBackup, "lose_behind_slow_wire", "nothing"),
    "one backup is enough, two losses": _for_two(OneBackupIsEnough, "lose_behind_slow_wire", "nothing"),
    "view before transfer, two losses": _for_two(ViewBeforeTransfer, "second_loss", "pause_operators", "nothing"),
    "takes backups for in sync, two losses": _for_two(
        TakesBackupsForInSync, "second_loss", "lose", "kill", "pause_operators"
    ),
    "any acceptor may win, two losses": _for_two(AnyAcceptorMayWin, "split", "freeze_primary", "heal_partitions"),
    "confirms with one member, two losses": _for_two(
        ConfirmsWithOneMember, "cut_minority", "heal_partitions", "nothing"
    ),
}
"""``BackupIgnoresPreparedEpoch`` is not listed here; test_core catches it."""
