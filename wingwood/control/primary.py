"""The work of a primary: heartbeats, and changes of the view that it leads (docs/DESIGN.md sections 7.2 and 7.4)."""

from __future__ import annotations

from returns.result import Success

from ..identifiers import Instant
from .candidate import Candidate
from .commands import deliver_all
from .leadership import Leadership
from .member import MemberSetup
from .messages import ControlAccept, ControlAccepted, ControlHeartbeat, ControlHeartbeatAnswer
from .planning import ViewPlan, ViewPlanner
from .replicator import Replicator
from .views import View, ViewMember

VIEW_CHANGE_ATTEMPTS = 3


class Primary(Candidate, Replicator):
    """Leads a chosen view, and changes it until it has the wanted members and backups."""

    def __init__(self, setup: MemberSetup) -> None:
        super().__init__(setup)
        self._planner = ViewPlanner(
            self._own_member, self._options, self._desired_backup_count, self._desired_member_count
        )

    def _begin_leadership(self, view: View) -> None:
        leadership = Leadership(view, self._now())
        self._replica.apply_up_to(None)
        self._leadership = leadership
        self._note_view(view)
        self._set_view(leadership, view)
        self._changed()

    def _set_view(self, leadership: Leadership, view: View) -> None:
        """Starts to lead a chosen view of which we are the primary."""
        leadership.view = view
        leadership.confirmed = self._now()
        leadership.failing_backups.clear()
        leadership.epoch_superseded = False
        self._released_epoch = None
        self._note_view(view)
        self._log(
            "leading",
            epoch=view.epoch,
            backups=",".join(view.backups),
            members=",".join(str(member.name) for member in view.members),
            sequence=self._store.sequence,
        )
        if len(view.backups) >= self._desired_backup_count:
            self._note_in_sync(leadership)
        leadership.next_heartbeat.clear()
        for member in self._other_members(view):
            self._start_heartbeat(leadership, member)
        self._changed()

    def _note_in_sync(self, leadership: Leadership) -> None:
        """Records that the backups are in sync, and commits all batches journaled here.

        All wanted backups have accepted the view and have all of these batches.
        """
        backups, sequence = leadership.view.backups, self._store.sequence
        leadership.answered.update(dict.fromkeys(backups, self._now()))
        leadership.synced = dict.fromkeys(backups, sequence)
        leadership.in_sync = True
        leadership.commit_known = True
        self._replica.commit(sequence)
        deliver_all(leadership.take_pending(), self._now())
        self._announce_commit(leadership)

    def _maintain_leadership(self, leadership: Leadership) -> None:
        """Called at each tick of a primary.

        Steps down if no majority answers, sends heartbeats, and changes the view if it is not as wanted.
        """
        if (
            self._now() - leadership.confirmed > self._options.leadership_abandoned_after
            and not leadership.changing_view
        ):
            self._step_down("no member answers")
            return
        for member in self._other_members(leadership.view):
            self._start_heartbeat(leadership, member)
        if not leadership.changing_view:
            plan = self._desired_view(leadership)
            if plan is not None:
                leadership.changing_view = True
                self._context.tasks.spawn("control view change", self._change_view(leadership, plan))

    # -- heartbeats

    def _start_heartbeat(self, leadership: Leadership, member: ViewMember) -> None:
        now = self._now()
        if member.incarnation in leadership.heartbeats_in_flight or now < leadership.next_heartbeat.get(
            member.incarnation, now
        ):
            return
        leadership.heartbeats_in_flight.add(member.incarnation)
        leadership.next_heartbeat[member.incarnation] = Instant(
            now + self._options.heartbeat_interval - self._options.tick_interval / 2
        )
        self._context.tasks.spawn(
            f"heartbeat {member.name}", self._send_heartbeat(leadership, member, leadership.view, now)
        )

    async def _send_heartbeat(self, leadership: Leadership, member: ViewMember, view: View, started: Instant) -> None:
        committed = self._replica.committed if leadership.commit_known else 0
        message = ControlHeartbeat(member.incarnation, self._own_incarnation, view.epoch, committed)
        outcome = await self._messenger.call(
            member.address, message, ControlHeartbeatAnswer, self._options.call_timeout
        )
        leadership.heartbeats_in_flight.discard(member.incarnation)
        if not isinstance(outcome, Success) or self._leadership is not leadership:
            return
        answer = outcome.unwrap()
        if (
            not answer.accepted
            and answer.prepared_epoch <= view.epoch
            and leadership.view is view
            and not leadership.changing_view
        ):
            await self._send_view(leadership, member, view, answer)
        if answer.by == member.incarnation and self._leadership is leadership:
            await self._note_heartbeat_answer(leadership, member, view, started, answer)

    async def _send_view(
        self, leadership: Leadership, member: ViewMember, view: View, answer: ControlHeartbeatAnswer
    ) -> None:
        """Sends the view to a member that missed it.

        The address may also be used by another incarnation now, which learns from the view whom to ask for
        membership.
        """
        acceptance = await self._ask(member, ControlAccept(member.incarnation, view), ControlAccepted)
        if (
            acceptance is not None
            and not acceptance.accepted
            and acceptance.prepared_epoch >= view.epoch
            and answer.healthy
        ):
            # It promised the same epoch to another candidate, or to itself when it became one meanwhile.
            leadership.epoch_superseded = True

    async def _note_heartbeat_answer(
        self, leadership: Leadership, member: ViewMember, view: View, started: Instant, answer: ControlHeartbeatAnswer
    ) -> None:
        self._note_epoch(answer.prepared_epoch)
        if answer.unpacks:
            leadership.unpacks.add(member.incarnation)
        if answer.accepted and not self.leads():
            self._wakeup.set()
        if answer.healthy:
            leadership.record_answered(member.incarnation, started)
        if answer.accepted:
            leadership.record_accepted(member.incarnation, started)
            await self._note_chosen(leadership, member, view, answer.knows_chosen)
        elif leadership.view is view and answer.prepared_epoch > view.epoch and not leadership.changing_view:
            leadership.epoch_superseded = True

    async def _note_chosen(self, leadership: Leadership, member: ViewMember, view: View, knows_chosen: bool) -> None:
        if not knows_chosen:
            acceptance = await self._ask(member, ControlAccept(member.incarnation, view), ControlAccepted)
            knows_chosen = acceptance is not None and acceptance.accepted
        if knows_chosen:
            leadership.chosen_epochs[member.incarnation] = view.epoch

    # -- other backups and members

    def _desired_view(self, leadership: Leadership) -> ViewPlan | None:
        """Returns the plan of the next view, or None when the current one is as wanted."""
        return self._planner.plan(leadership, self._now())

    async def _change_view(self, leadership: Leadership, plan: ViewPlan) -> None:
        """Changes the view by rule 4 of section 7.2: stop deciding, send the state, then run the two rounds."""
        started = self._now()
        try:
            async with leadership.batch_lock:
                if self._leadership is not leadership:
                    return
                leadership.in_sync = False
                if await self._sync_backups(leadership, plan.backup_members):
                    await self._choose_planned(leadership, plan, started)
        finally:
            leadership.changing_view = False

    async def _choose_planned(self, leadership: Leadership, plan: ViewPlan, started: Instant) -> None:
        for _ in range(VIEW_CHANGE_ATTEMPTS):
            if self._leadership is not leadership:
                return
            view = await self._run_election(plan)
            if self._leadership is not leadership:
                return
            if view is not None:
                self._set_view(leadership, view)
                self._log("view-changed", epoch=view.epoch, took=self._now() - started)
                return
        self._step_down("no majority for a new view")
