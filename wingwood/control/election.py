"""Elections of a primary and its view: the prepare phase and the accept phase (docs/DESIGN.md section 7.2)."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from ..context.protocols import Context
from ..identifiers import Epoch, Incarnation, Seconds
from .guarded_store import GuardedStore
from .member_state import MemberState
from .messages import ControlAccept, ControlAccepted, ControlPrepare, ControlPrepared
from .peer_client import PeerClient
from .planning import ViewPlan
from .views import PreparedEpoch, View, ViewMember

PREPARE_LINGER_S = Seconds(0.1)
"""Further answers to the prepare phase are awaited for this long after a quorum.

They may show a newer view, or a holder with more batches.
"""
DEFERENCE_BACKOFF_S = 1.0
"""Time for which a candidate starts no other election, so that a holder with more batches may win."""


class Election:
    """The prepare phase under one epoch: who prepared it, and the latest view that any of them accepted."""

    def __init__(self, own: Incarnation, epoch: Epoch, latest: View) -> None:
        self.epoch = epoch
        self.latest = latest
        self.granted: dict[Incarnation, ControlPrepared] = {}
        """By acceptor: its answer, if it prepared the epoch for this candidate."""
        self._own_incarnation = own
        self._asked = {own}

    def next_acceptors(self) -> list[ViewMember]:
        """Returns the acceptors of the latest view that have not been asked yet, and records that they are asked."""
        acceptors = [member for member in self.latest.acceptors() if member.incarnation not in self._asked]
        self._asked.update(member.incarnation for member in acceptors)
        return acceptors

    def has_quorum(self, more: Sequence[ControlPrepared] = ()) -> bool:
        """Whether a quorum of the latest view prepared the epoch, counting us and the answers in ``more``."""
        return self.latest.quorum(
            {self._own_incarnation, *self.granted, *(answer.by for answer in more if answer.granted)}
        )

    def add(self, answer: ControlPrepared) -> None:
        """Counts an answer, and takes over the view that it shows if that is newer."""
        if not answer.granted:
            return
        self.granted[answer.by] = answer
        if answer.view is not None and answer.view.supersedes(self.latest):
            self.latest = answer.view

    def another_holder_has_more(self, sequence: int) -> bool:
        """Whether another holder of the latest view has journaled batches above ``sequence``."""
        holders = self.latest.holders
        return any(by in holders and answer.sequence > sequence for by, answer in self.granted.items())


class Candidate:
    """Runs elections for a new epoch, either to fail over or to change the view that this member leads.

    The own prepared epoch and the own accepted view are written under the lock of the store, after a check that
    no higher epoch was prepared for another candidate since the election began.
    """

    def __init__(self, context: Context, guarded: GuardedStore, state: MemberState, peers: PeerClient) -> None:
        self._context = context
        self._guarded = guarded
        self._store = guarded.store
        self._state = state
        self._peers = peers
        self._own_incarnation = state.own.incarnation

    async def run_election(self, plan: ViewPlan | None) -> View | None:
        """Runs one election; without a plan it is a failover.

        Returns the chosen view, or None when the election was lost. In either case this member may have
        prepared a higher epoch for itself.
        """
        election = await self._open_election()
        if election is None:
            return None
        await self._run_prepare_phase(election)
        self._state.observe_view(election.latest)
        if not self._may_continue(election) or (plan is None and self._defers_to_another_holder(election)):
            return None
        view = self._proposed_view(election, plan)
        if not await self.run_accept_phase(view, everyone=False):
            self._context.log.event("election-lost", epoch=election.epoch, reason="not accepted by a majority")
            return None
        return await self._record_chosen(view)

    # -- prepare

    async def _open_election(self) -> Election | None:
        """Prepares a new epoch for ourselves; returns None when the store may not be used or the write fails."""
        async with self._guarded.lock:
            view = self._store.view
            if self._guarded.fault is not None or view is None:
                return None
            epoch = self._state.claim_next_epoch(self._store.prepared)
            prepared = PreparedEpoch(epoch, self._own_incarnation)
            if not self._guarded.write_succeeded(await self._store.record_prepared(prepared, False)):
                return None
            return Election(self._own_incarnation, epoch, view)

    async def _run_prepare_phase(self, election: Election) -> None:
        """Asks the acceptors of the latest view to prepare, and those of any newer view that an answer shows."""
        while acceptors := election.next_acceptors():
            calls = [
                self._peers.ask(
                    member, ControlPrepare(member.incarnation, self._own_incarnation, election.epoch), ControlPrepared
                )
                for member in acceptors
            ]
            for answer in await self._peers.gather(calls, election.has_quorum, linger=PREPARE_LINGER_S):
                self._state.observe_epoch(answer.prepared_epoch)
                election.add(answer)

    def _may_continue(self, election: Election) -> bool:
        epoch, latest = election.epoch, election.latest
        if not election.has_quorum():
            self._context.log.event(
                "election-lost", epoch=epoch, granted=len(election.granted), highest_epoch=self._state.highest_epoch
            )
            return False
        if self._own_incarnation not in latest.holders:
            self._log_abandoned(election, "not a holder of the latest view")
            return False
        return True

    def _defers_to_another_holder(self, election: Election) -> bool:
        if not election.another_holder_has_more(self._store.sequence):
            return False
        self._log_abandoned(election, "another holder has journaled more batches")
        self._state.defer_election(DEFERENCE_BACKOFF_S)
        return True

    def _log_abandoned(self, election: Election, reason: str) -> None:
        self._context.log.event(
            "election-abandoned", epoch=election.epoch, latest_epoch=election.latest.epoch, reason=reason
        )

    def _proposed_view(self, election: Election, plan: ViewPlan | None) -> View:
        """Returns the planned view if it may be built on the latest one, else the latest one without backups."""
        epoch, own, latest = election.epoch, self._own_incarnation, election.latest
        view = View(epoch, own, (), latest.members, latest.holders, latest.former)
        if plan is not None:
            if latest in plan.bases:
                view = View(epoch, own, plan.backups, plan.members, (own, *plan.backups), plan.former)
            plan.bases.append(view)
        return view

    # -- accept

    async def run_accept_phase(self, view: View, everyone: bool) -> bool:
        """Returns whether the view was accepted here and by a quorum, with all its backups in sync.

        With ``everyone``, all members must accept it instead.
        """
        if not await self._accept_own(view):
            return False

        def chosen(answers: list[ControlAccepted]) -> bool:
            sequences = {answer.by: answer.sequence for answer in answers if answer.accepted}
            accepted_by = {self._own_incarnation, *sequences}
            if everyone:
                return len(accepted_by) == len(view.members)
            return self.backups_in_sync(view, sequences) and view.quorum(accepted_by)

        others = [member for member in view.acceptors() if member.incarnation != self._own_incarnation]
        calls = [self._peers.ask(member, ControlAccept(member.incarnation, view), ControlAccepted) for member in others]
        answers = await self._peers.gather(calls, chosen)
        for answer in answers:
            self._state.observe_epoch(answer.prepared_epoch)
        return chosen(answers) and self._may_write(view.epoch)

    def backups_in_sync(self, view: View, sequences: Mapping[Incarnation, int]) -> bool:
        """Whether each backup has journaled exactly what we have, whatever became of the state that we sent it."""
        return all(sequences.get(backup) == self._store.sequence for backup in view.backups)

    def _may_write(self, epoch: Epoch) -> bool:
        """Whether the epoch is still prepared for this member, and the disk works."""
        return self._store.prepared == PreparedEpoch(epoch, self._own_incarnation) and self._guarded.fault is None

    async def _record_chosen(self, view: View) -> View | None:
        """Journals that the view is chosen, so that its former members no longer count.

        The other members learn this with the heartbeats. Returns None when the write failed or a higher
        epoch was prepared meanwhile.
        """
        if not view.former:
            return view
        chosen = view.as_chosen()
        return chosen if await self._accept_own(chosen) else None

    async def _accept_own(self, view: View) -> bool:
        """Journals a view of ours, unless a higher epoch was prepared meanwhile; returns whether it was journaled."""
        async with self._guarded.lock:
            if not self._may_write(view.epoch):
                return False
            return self._guarded.write_succeeded(await self._store.record_view(view))
