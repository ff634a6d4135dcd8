"""The work of a primary: it leads a chosen view and changes it when needed (docs/DESIGN.md sections 7.2 and 7.4)."""

from __future__ import annotations

from ..context.protocols import Context
from ..identifiers import Instant
from .changes import ChangeSignal
from .commands import deliver_all
from .control_options import ControlOptions
from .election import Candidate
from .heartbeats import Heartbeats
from .leadership import Leadership
from .member_state import MemberState
from .own_leadership import OwnLeadership
from .planning import ViewPlan, ViewPlanner
from .replica import Replica
from .replicator import Replicator
from .store import ControlStore
from .views import View

VIEW_CHANGE_ATTEMPTS = 3


class Primary:
    """Leads a chosen view, and changes it until it has the desired members and backups."""

    def __init__(
        self,
        context: Context,
        options: ControlOptions,
        store: ControlStore,
        replica: Replica,
        state: MemberState,
        leadership: OwnLeadership,
        changes: ChangeSignal,
        candidate: Candidate,
        replicator: Replicator,
        heartbeats: Heartbeats,
        planner: ViewPlanner,
    ) -> None:
        self._context = context
        self._abandoned_after = options.leadership_abandoned_after
        self._store = store
        self._replica = replica
        self._state = state
        self._leadership = leadership
        self._changes = changes
        self._candidate = candidate
        self._replicator = replicator
        self._heartbeats = heartbeats
        self._planner = planner

    def _now(self) -> Instant:
        return self._context.clock.monotonic()

    def begin(self, view: View) -> None:
        """Starts to lead a chosen view of which this member is the primary."""
        leadership = Leadership(view, self._now())
        self._replica.apply_up_to(None)
        self._leadership.begin(leadership)
        self._state.observe_view(view)
        self._lead_view(leadership, view)
        self._changes.notify()

    def _lead_view(self, leadership: Leadership, view: View) -> None:
        leadership.change_view(view, self._now())
        self._state.leads_view()
        self._state.observe_view(view)
        self._context.log.event(
            "leadership-started",
            epoch=view.epoch,
            backups=",".join(view.backups),
            members=",".join(str(member.name) for member in view.members),
            sequence=self._store.sequence,
        )
        if self._planner.has_desired_backups(view):
            self._commit_journaled(leadership)
        self._heartbeats.send_due(leadership)
        self._changes.notify()

    def _commit_journaled(self, leadership: Leadership) -> None:
        """Commits all batches journaled here.

        All desired backups have accepted the view and have all of these batches.
        """
        leadership.backups_synced(self._store.sequence, self._now())
        self._replica.commit(self._store.sequence)
        deliver_all(leadership.take_pending(), self._now())
        self._replicator.announce_commit(leadership)

    def maintain(self, leadership: Leadership) -> None:
        """Does the work of one tick of a primary.

        Steps down if no majority answers, sends heartbeats, and changes the view if it is not as desired.
        """
        unconfirmed_for = self._now() - leadership.confirmed
        if unconfirmed_for > self._abandoned_after and not leadership.changing_view:
            self._leadership.step_down("no member answers")
            return
        self._heartbeats.send_due(leadership)
        if leadership.changing_view:
            return
        plan = self._planner.plan(leadership, self._now())
        if plan is not None:
            leadership.changing_view = True
            self._context.tasks.spawn("control view change", self.change_view(leadership, plan))

    async def change_view(self, leadership: Leadership, plan: ViewPlan) -> None:
        """Changes the view by rule 4 of section 7.2: stop deciding, send the state, then run an election."""
        started = self._now()
        try:
            async with leadership.batch_lock:
                if self._leadership.current is not leadership:
                    return
                leadership.in_sync = False
                if await self._replicator.sync_backups(leadership, plan.backup_members):
                    await self._choose_planned(leadership, plan, started)
        finally:
            leadership.changing_view = False

    async def _choose_planned(self, leadership: Leadership, plan: ViewPlan, started: Instant) -> None:
        for _ in range(VIEW_CHANGE_ATTEMPTS):
            if self._leadership.current is not leadership:
                return
            view = await self._candidate.run_election(plan)
            if self._leadership.current is not leadership:
                return
            if view is not None:
                self._lead_view(leadership, view)
                self._context.log.event("view-changed", epoch=view.epoch, took=self._now() - started)
                return
        self._leadership.step_down("no majority for a new view")
