"""A primary's own work: heartbeats, and changes of the view that it leads (docs/DESIGN.md sections 7.2 and 7.4)."""

from __future__ import annotations

from returns.result import Success

from ..identifiers import Instant
from .candidate import Candidate
from .commands import deliver_all
from .lead import Lead
from .member import MemberSetup
from .messages import ControlAccept, ControlAccepted, ControlHeartbeat, ControlHeartbeatAnswer, Seat, View
from .planning import ViewPlan, ViewPlanner
from .replicator import Replicator

TRIES_OF_A_CHANGE = 3


class Primary(Candidate, Replicator):
    """Leads a view that was chosen, and keeps its members and backups as wanted."""

    def __init__(self, setup: MemberSetup) -> None:
        super().__init__(setup)
        self._planner = ViewPlanner(self._seat, self._limits, self._backups_wanted, self._members_wanted)

    def _begin_lead(self, view: View) -> None:
        lead = Lead(view, self._now())
        self._replica.apply_up_to(None)
        self._lead = lead
        self._note_view(view)
        self._set_view(lead, view)
        self._changed()

    def _set_view(self, lead: Lead, view: View) -> None:
        """The view is chosen and we are its primary."""
        lead.view = view
        lead.confirmed = self._now()
        lead.failing.clear()
        lead.outbid = False
        self._gave_way = None
        self._note_view(view)
        self._log(
            "leading",
            epoch=view.epoch,
            backups=",".join(view.backups),
            members=",".join(str(seat.name) for seat in view.members),
            sequence=self._store.sequence,
        )
        if len(view.backups) >= self._backups_wanted:
            self._note_in_sync(lead)
        lead.next_call.clear()
        for seat in self._others(view):
            self._heartbeat(lead, seat)
        self._changed()

    def _note_in_sync(self, lead: Lead) -> None:
        """All wanted backups have accepted the view with all that is journaled here, so that is committed."""
        backups, sequence = lead.view.backups, self._store.sequence
        lead.answered.update(dict.fromkeys(backups, self._now()))
        lead.synced = dict.fromkeys(backups, sequence)
        lead.in_sync = True
        lead.settled = True
        self._replica.commit(sequence)
        deliver_all(lead.take_pending(), self._now())
        self._tell_commit(lead)

    def _tend(self, lead: Lead) -> None:
        """Each tick of a primary: heartbeats, its own clock, and whether the view is as wanted."""
        if self._now() - lead.confirmed > self._limits.lead_abandoned and not lead.changing:
            self._step_down("no member answers")
            return
        for seat in self._others(lead.view):
            self._heartbeat(lead, seat)
        if not lead.changing:
            plan = self._wanted(lead)
            if plan is not None:
                lead.changing = True
                self._context.tasks.spawn("control view change", self._change_view(lead, plan))

    # -- heartbeats

    def _heartbeat(self, lead: Lead, seat: Seat) -> None:
        now = self._now()
        if seat.incarnation in lead.calls or now < lead.next_call.get(seat.incarnation, now):
            return
        lead.calls.add(seat.incarnation)
        lead.next_call[seat.incarnation] = Instant(now + self._limits.heartbeat - self._limits.tick / 2)
        self._context.tasks.spawn(f"heartbeat {seat.name}", self._beat(lead, seat, lead.view, now))

    async def _beat(self, lead: Lead, seat: Seat, view: View, begun: Instant) -> None:
        committed = self._replica.committed if lead.settled else 0
        message = ControlHeartbeat(seat.incarnation, self._me, view.epoch, committed)
        outcome = await self._messenger.call(seat.address, message, ControlHeartbeatAnswer, self._limits.call)
        lead.calls.discard(seat.incarnation)
        if not isinstance(outcome, Success) or self._lead is not lead:
            return
        answer = outcome.unwrap()
        if not answer.accepted and answer.promised <= view.epoch and lead.view is view and not lead.changing:
            await self._tell_view(lead, seat, view, answer)
        if answer.by == seat.incarnation and self._lead is lead:
            await self._note_beat(lead, seat, view, begun, answer)

    async def _tell_view(self, lead: Lead, seat: Seat, view: View, answer: ControlHeartbeatAnswer) -> None:
        """It missed the view, or it is another incarnation and learns from it whom to ask for a seat."""
        told = await self._ask(seat, ControlAccept(seat.incarnation, view), ControlAccepted)
        if told is not None and not told.accepted and told.promised >= view.epoch and answer.healthy:
            lead.outbid = True  # It promised the same epoch to another (to itself, when it stood meanwhile).

    async def _note_beat(
        self, lead: Lead, seat: Seat, view: View, begun: Instant, answer: ControlHeartbeatAnswer
    ) -> None:
        self._note_epoch(answer.promised)
        if answer.unpacks:
            lead.unpacks.add(seat.incarnation)
        if answer.accepted and not self.leads():
            self._turn.set()
        if answer.healthy:
            lead.note_answered(seat.incarnation, begun)
        if answer.accepted:
            lead.note_accepted(seat.incarnation, begun)
            await self._note_settled(lead, seat, view, answer.settled)
        elif lead.view is view and answer.promised > view.epoch and not lead.changing:
            lead.outbid = True

    async def _note_settled(self, lead: Lead, seat: Seat, view: View, settled: bool) -> None:
        if not settled:
            told = await self._ask(seat, ControlAccept(seat.incarnation, view), ControlAccepted)
            settled = told is not None and told.accepted
        if settled:
            lead.current[seat.incarnation] = view.epoch

    # -- other backups and members

    def _wanted(self, lead: Lead) -> ViewPlan | None:
        """The view that this primary wants next; None when the one it has is as wanted."""
        return self._planner.plan(lead, self._now())

    async def _change_view(self, lead: Lead, plan: ViewPlan) -> None:
        """Rule 4 of section 7.2: stop deciding, send the state, then the two rounds."""
        begun = self._now()
        try:
            async with lead.batch:
                if self._lead is not lead:
                    return
                lead.in_sync = False
                if await self._recruit(lead, plan.seats):
                    await self._choose_planned(lead, plan, begun)
        finally:
            lead.changing = False

    async def _choose_planned(self, lead: Lead, plan: ViewPlan, begun: Instant) -> None:
        for _ in range(TRIES_OF_A_CHANGE):
            if self._lead is not lead:
                return
            view = await self._stand(plan)
            if self._lead is not lead:
                return
            if view is not None:
                self._set_view(lead, view)
                self._log("view-changed", epoch=view.epoch, took=self._now() - begun)
                return
        self._step_down("no majority for a new view")
