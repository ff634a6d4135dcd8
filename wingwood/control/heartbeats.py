"""Heartbeats of the primary, whose answers confirm its leadership (docs/DESIGN.md section 7.4)."""

from __future__ import annotations

from ..context.protocols import Context
from ..identifiers import Instant
from .changes import ChangeSignal
from .control_options import ControlOptions
from .leadership import Leadership
from .member_state import MemberState
from .messages import ControlAccept, ControlAccepted, ControlHeartbeat, ControlHeartbeatAnswer
from .own_leadership import OwnLeadership
from .peer_client import PeerClient
from .replica import Replica
from .views import View, ViewMember


class Heartbeats:
    """Sends heartbeats, and the view to members that missed it; records the answers in ``Leadership``.

    Each member has at most one heartbeat in flight, so the start of a call that was answered never lies before
    that of an earlier call to the same member.
    """

    def __init__(
        self,
        context: Context,
        options: ControlOptions,
        peers: PeerClient,
        replica: Replica,
        state: MemberState,
        leadership: OwnLeadership,
        changes: ChangeSignal,
    ) -> None:
        self._context = context
        self._interval = options.heartbeat_interval - options.tick_interval / 2
        self._peers = peers
        self._replica = replica
        self._state = state
        self._leadership = leadership
        self._changes = changes
        self._own_incarnation = state.own.incarnation

    def send_due(self, leadership: Leadership) -> None:
        """Sends a heartbeat to each other member to which one is due."""
        for member in leadership.view.others(self._own_incarnation):
            self._send_if_due(leadership, member)

    def _send_if_due(self, leadership: Leadership, member: ViewMember) -> None:
        now, incarnation = self._context.clock.monotonic(), member.incarnation
        if incarnation in leadership.heartbeats_in_flight or now < leadership.next_heartbeat.get(incarnation, now):
            return
        leadership.heartbeats_in_flight.add(incarnation)
        leadership.next_heartbeat[incarnation] = Instant(now + self._interval)
        self._context.tasks.spawn(f"heartbeat {member.name}", self._send(leadership, member, leadership.view, now))

    async def _send(self, leadership: Leadership, member: ViewMember, view: View, started: Instant) -> None:
        committed = self._replica.committed if leadership.commit_known else 0
        message = ControlHeartbeat(member.incarnation, self._own_incarnation, view.epoch, committed)
        answer = await self._peers.ask_address(member.address, message, ControlHeartbeatAnswer)
        leadership.heartbeats_in_flight.discard(member.incarnation)
        if answer is None or self._leadership.current is not leadership:
            return
        missed_view = not answer.accepted and answer.prepared_epoch <= view.epoch
        if missed_view and leadership.view is view and not leadership.changing_view:
            await self._send_view(leadership, member, view, answer)
        if answer.by == member.incarnation and self._leadership.current is leadership:
            await self._record_answer(leadership, member, view, started, answer)

    async def _send_view(
        self, leadership: Leadership, member: ViewMember, view: View, answer: ControlHeartbeatAnswer
    ) -> None:
        """Sends the view to a member that missed it.

        The address may also be used by another incarnation now, which learns from the view whom to ask for
        membership.
        """
        acceptance = await self._peers.ask(member, ControlAccept(member.incarnation, view), ControlAccepted)
        if acceptance is None or acceptance.accepted or not answer.healthy:
            return
        if acceptance.prepared_epoch >= view.epoch:
            # It prepared the same epoch for another candidate, or for itself when it became one meanwhile.
            leadership.epoch_superseded = True

    async def _record_answer(
        self, leadership: Leadership, member: ViewMember, view: View, started: Instant, answer: ControlHeartbeatAnswer
    ) -> None:
        self._state.observe_epoch(answer.prepared_epoch)
        if answer.unpacks:
            leadership.unpacks.add(member.incarnation)
        if answer.accepted and not self._leadership.leads():
            self._changes.wake()
        if answer.healthy:
            leadership.record_answered(member.incarnation, started)
        if answer.accepted:
            leadership.record_accepted(member.incarnation, started)
            await self._record_chosen(leadership, member, view, answer.knows_chosen)
        elif leadership.view is view and answer.prepared_epoch > view.epoch and not leadership.changing_view:
            leadership.epoch_superseded = True

    async def _record_chosen(self, leadership: Leadership, member: ViewMember, view: View, knows_chosen: bool) -> None:
        if not knows_chosen:
            acceptance = await self._peers.ask(member, ControlAccept(member.incarnation, view), ControlAccepted)
            knows_chosen = acceptance is not None and acceptance.accepted
        if knows_chosen:
            leadership.chosen_epochs[member.incarnation] = view.epoch
