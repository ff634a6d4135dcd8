"""The two rounds of an election: promises, then acceptances (docs/DESIGN.md sections 7.2.3 and 7.2.4)."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from ..identifiers import Epoch, Incarnation, Instant, Seconds
from .messages import ControlAccept, ControlAccepted, ControlGrant, ControlPromise, Promise, View, ViewMember
from .planning import ViewPlan
from .store_guard import StoreGuard

GRANT_LINGER_S = Seconds(0.1)
"""Further grants are awaited for this long after a quorum.

They may show a newer view, or a holder with more batches.
"""
PAUSE_FOR_FULLER_HOLDER_S = 1.0
"""Time for which a candidate does not stand again, so that a holder with more batches may win."""


class Ballot:
    """The promises asked for under one epoch, and the latest view accepted by any member that granted one."""

    def __init__(self, me: Incarnation, epoch: Epoch, latest: View) -> None:
        self.epoch = epoch
        self.latest = latest
        self.grants: dict[Incarnation, ControlGrant] = {}
        self._own_incarnation = me
        self._asked = {me}

    def next_voters(self) -> list[ViewMember]:
        """Returns the voters of the latest view that have not been asked yet, and marks them as asked."""
        voters = [member for member in self.latest.voters() if member.incarnation not in self._asked]
        self._asked.update(member.incarnation for member in voters)
        return voters

    def has_quorum(self, more: Sequence[ControlGrant] = ()) -> bool:
        """Whether a quorum of the latest view has granted, counting us and the answers in ``more``."""
        return self.latest.quorum(
            {self._own_incarnation, *self.grants, *(answer.by for answer in more if answer.granted)}
        )

    def add(self, grant: ControlGrant) -> None:
        if not grant.granted:
            return
        self.grants[grant.by] = grant
        if grant.view is not None and grant.view.supersedes(self.latest):
            self.latest = grant.view

    def holder_has_more(self, sequence: int) -> bool:
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
        ballot = await self._open_ballot()
        if ballot is None:
            return None
        await self._collect_grants(ballot)
        self._note_view(ballot.latest)
        if not self._may_continue(ballot) or (plan is None and self._defers_to_another_holder(ballot)):
            return None
        view = self._proposed_view(ballot, plan)
        if not await self._accept_round(view, everyone=False):
            self._log("candidacy-lost", epoch=ballot.epoch, reason="not accepted by a majority")
            return None
        return await self._record_chosen(view)

    # -- promises

    async def _open_ballot(self) -> Ballot | None:
        """Promises a new epoch to ourselves; returns None when the store may not be used or the write fails."""
        async with self._lock:
            if self._disk_fault is not None or self._store.view is None:
                return None
            epoch = Epoch(max(self._highest_epoch, self._store.promise.epoch) + 1)
            self._highest_epoch = epoch
            if not self._write_succeeded(
                await self._store.record_promise(Promise(epoch, self._own_incarnation), False)
            ):
                return None
            return Ballot(self._own_incarnation, epoch, self._store.view)

    async def _collect_grants(self, ballot: Ballot) -> None:
        """Asks the voters of the latest view for promises, and those of any newer view that a grant shows."""
        while voters := ballot.next_voters():
            work = [
                self._ask(member, ControlPromise(member.incarnation, self._own_incarnation, ballot.epoch), ControlGrant)
                for member in voters
            ]
            for grant in await self._gather(work, ballot.has_quorum, self._limits.call_timeout, linger=GRANT_LINGER_S):
                self._note_epoch(grant.promised)
                ballot.add(grant)

    def _may_continue(self, ballot: Ballot) -> bool:
        epoch, latest = ballot.epoch, ballot.latest
        if not ballot.has_quorum():
            self._log("candidacy-lost", epoch=epoch, granted=len(ballot.grants), highest=self._highest_epoch)
            return False
        if self._own_incarnation not in latest.holders:
            self._log("candidacy-given-up", epoch=epoch, newest=latest.epoch, reason="not a holder of the latest view")
            return False
        return True

    def _defers_to_another_holder(self, ballot: Ballot) -> bool:
        if not ballot.holder_has_more(self._store.sequence):
            return False
        reason = "another holder has journaled more batches"
        self._log("candidacy-given-up", epoch=ballot.epoch, newest=ballot.latest.epoch, reason=reason)
        self._no_candidacy_before = Instant(self._now() + PAUSE_FOR_FULLER_HOLDER_S)
        return True

    def _proposed_view(self, ballot: Ballot, plan: ViewPlan | None) -> View:
        """Returns the planned view if it may be built on the latest one, else the latest one without backups."""
        epoch, latest = ballot.epoch, ballot.latest
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

        others = [member for member in view.voters() if member.incarnation != self._own_incarnation]
        work = [self._ask(member, ControlAccept(member.incarnation, view), ControlAccepted) for member in others]
        answers = await self._gather(work, chosen, self._limits.call_timeout)
        for answer in answers:
            self._note_epoch(answer.promised)
        return (
            chosen(answers)
            and self._store.promise == Promise(view.epoch, self._own_incarnation)
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
            if self._disk_fault is not None or self._store.promise != Promise(view.epoch, self._own_incarnation):
                return False
            return self._write_succeeded(await self._store.record_view(view))
