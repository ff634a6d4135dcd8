"""The two rounds of an election: promises, then acceptances (docs/DESIGN.md sections 7.2.3 and 7.2.4)."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from ..identifiers import Epoch, Incarnation, Instant, Seconds
from .messages import ControlAccept, ControlAccepted, ControlPrepare, ControlPrepared
from .planning import ViewPlan
from .store_guard import StoreGuard
from .views import PreparedEpoch, View, ViewMember

PREPARE_LINGER_S = Seconds(0.1)
"""Further grants are awaited for this long after a quorum.

They may show a newer view, or a holder with more batches.
"""
DEFERENCE_BACKOFF_S = 1.0
"""Time for which a candidate does not stand again, so that a holder with more batches may win."""


class Election:
    """The promises asked for under one epoch, and the latest view accepted by any member that granted one."""

    def __init__(self, me: Incarnation, epoch: Epoch, latest: View) -> None:
        self.epoch = epoch
        self.latest = latest
        self.grants: dict[Incarnation, ControlPrepared] = {}
        self._own_incarnation = me
        self._asked = {me}

    def next_acceptors(self) -> list[ViewMember]:
        """Returns the acceptors of the latest view that have not been asked yet, and marks them as asked."""
        acceptors = [member for member in self.latest.acceptors() if member.incarnation not in self._asked]
        self._asked.update(member.incarnation for member in acceptors)
        return acceptors

    def has_quorum(self, more: Sequence[ControlPrepared] = ()) -> bool:
        """Whether a quorum of the latest view has granted, counting us and the answers in ``more``."""
        return self.latest.quorum(
            {self._own_incarnation, *self.grants, *(answer.by for answer in more if answer.granted)}
        )

    def add(self, grant: ControlPrepared) -> None:
        if not grant.granted:
            return
        self.grants[grant.by] = grant
        if grant.view is not None and grant.view.supersedes(self.latest):
            self.latest = grant.view

    def another_holder_has_more(self, sequence: int) -> bool:
        """Whether another holder of the latest view has journaled batches above ``sequence``."""
        holders = self.latest.holders
        return any(by in holders and grant.sequence > sequence for by, grant in self.grants.items())


class Candidate(StoreGuard):
    """Runs elections for a new epoch, either to take over or to change the view that this member leads."""

    async def _run_election(self, plan: ViewPlan | None) -> View | None:
        """Runs one election; without a plan it is a take-over.

        Returns the chosen view, or None when the election was lost. In either case this member may have
        promised itself a higher epoch.
        """
        election = await self._open_election()
        if election is None:
            return None
        await self._collect_grants(election)
        self._note_view(election.latest)
        if not self._may_continue(election) or (plan is None and self._defers_to_another_holder(election)):
            return None
        view = self._proposed_view(election, plan)
        if not await self._accept_round(view, everyone=False):
            self._log("candidacy-lost", epoch=election.epoch, reason="not accepted by a majority")
            return None
        return await self._record_chosen(view)

    # -- promises

    async def _open_election(self) -> Election | None:
        """Promises a new epoch to ourselves; returns None when the store may not be used or the write fails."""
        async with self._lock:
            if self._disk_fault is not None or self._store.view is None:
                return None
            epoch = Epoch(max(self._highest_epoch, self._store.prepared.epoch) + 1)
            self._highest_epoch = epoch
            if not self._write_succeeded(
                await self._store.record_prepared(PreparedEpoch(epoch, self._own_incarnation), False)
            ):
                return None
            return Election(self._own_incarnation, epoch, self._store.view)

    async def _collect_grants(self, election: Election) -> None:
        """Asks the acceptors of the latest view for promises, and those of any newer view that a grant shows."""
        while acceptors := election.next_acceptors():
            work = [
                self._ask(
                    member, ControlPrepare(member.incarnation, self._own_incarnation, election.epoch), ControlPrepared
                )
                for member in acceptors
            ]
            for grant in await self._gather(
                work, election.has_quorum, self._options.call_timeout, linger=PREPARE_LINGER_S
            ):
                self._note_epoch(grant.prepared_epoch)
                election.add(grant)

    def _may_continue(self, election: Election) -> bool:
        epoch, latest = election.epoch, election.latest
        if not election.has_quorum():
            self._log("candidacy-lost", epoch=epoch, granted=len(election.grants), highest=self._highest_epoch)
            return False
        if self._own_incarnation not in latest.holders:
            self._log("candidacy-given-up", epoch=epoch, newest=latest.epoch, reason="not a holder of the latest view")
            return False
        return True

    def _defers_to_another_holder(self, election: Election) -> bool:
        if not election.another_holder_has_more(self._store.sequence):
            return False
        reason = "another holder has journaled more batches"
        self._log("candidacy-given-up", epoch=election.epoch, newest=election.latest.epoch, reason=reason)
        self._no_election_before = Instant(self._now() + DEFERENCE_BACKOFF_S)
        return True

    def _proposed_view(self, election: Election, plan: ViewPlan | None) -> View:
        """Returns the planned view if it may be built on the latest one, else the latest one without backups."""
        epoch, latest = election.epoch, election.latest
        view = View(epoch, self._own_incarnation, (), latest.members, latest.holders, latest.former)
        if plan is not None:
            if latest in plan.bases:
                view = View(
                    epoch,
                    self._own_incarnation,
                    plan.backups,
                    plan.members,
                    (self._own_incarnation, *plan.backups),
                    plan.former,
                )
            plan.bases.append(view)
        return view

    # -- acceptances

    async def _accept_round(self, view: View, everyone: bool) -> bool:
        """Returns whether the view was accepted here and by a quorum, with all its backups in sync.

        With ``everyone``, all members must accept it instead.
        """
        if not await self._accept_own(view):
            return False

        def chosen(answers: list[ControlAccepted]) -> bool:
            accepted = {answer.by: answer.sequence for answer in answers if answer.accepted}
            who = {self._own_incarnation, *accepted}
            if everyone:
                return len(who) == len(view.members)
            return self._in_sync(view, accepted) and view.quorum(who)

        others = [member for member in view.acceptors() if member.incarnation != self._own_incarnation]
        work = [self._ask(member, ControlAccept(member.incarnation, view), ControlAccepted) for member in others]
        answers = await self._gather(work, chosen, self._options.call_timeout)
        for answer in answers:
            self._note_epoch(answer.prepared_epoch)
        return (
            chosen(answers)
            and self._store.prepared == PreparedEpoch(view.epoch, self._own_incarnation)
            and self._disk_fault is None
        )

    def _in_sync(self, view: View, sequences: Mapping[Incarnation, int]) -> bool:
        """Whether each backup has journaled exactly what we have, whatever became of the state that we sent it."""
        return all(sequences.get(backup) == self._store.sequence for backup in view.backups)

    async def _record_chosen(self, view: View) -> View | None:
        """Journals that the view is chosen, so that its former members no longer count.

        The other members learn this with the heartbeats. Returns None when the write failed or a higher
        epoch was promised meanwhile.
        """
        if not view.former:
            return view
        chosen = view.as_chosen()
        return chosen if await self._accept_own(chosen) else None

    async def _accept_own(self, view: View) -> bool:
        """Journals a view of ours, unless a higher epoch was promised meanwhile; returns whether it was journaled."""
        async with self._lock:
            if self._disk_fault is not None or self._store.prepared != PreparedEpoch(view.epoch, self._own_incarnation):
                return False
            return self._write_succeeded(await self._store.record_view(view))
