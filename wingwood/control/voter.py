"""Votes of a member: promises, acceptances, heartbeats and confirmations (docs/DESIGN.md section 7.2)."""

from __future__ import annotations

from ..transport.frames import Identity
from .backup import Backup
from .leadership import Leadership, Spare
from .member import MemberSetup
from .messages import (
    ControlAccept,
    ControlAccepted,
    ControlConfirm,
    ControlConfirmed,
    ControlHeartbeat,
    ControlHeartbeatAnswer,
    ControlJoin,
    ControlJoined,
    ControlLeader,
    ControlLeaderQuery,
    ControlLeadershipReleased,
    ControlPrepare,
    ControlPrepared,
    ControlStatus,
    ControlStatusQuery,
)
from .views import PreparedEpoch, View


class Voter(Backup):
    """Answers candidates, the primary, and daemons that look for either."""

    def __init__(self, setup: MemberSetup) -> None:
        super().__init__(setup)
        self._knows_of_history = setup.knows_of_history

    # -- status

    def _status(self) -> ControlStatus:
        return ControlStatus(
            by=self._own_incarnation,
            member=self._own_member,
            prepared_epoch=self._store.prepared.epoch,
            view=self._known_view,
            hears_primary=self._hears_primary(),
            empty=not self._store.ever_used and self._known_view is None,
            knows_history=self._knows_of_history(),
        )

    def _hears_primary(self) -> bool:
        if self._leadership is not None:
            return self.leads()
        if self._known_view is None:
            return False
        return (
            self._now() - self._primary_heard_at < self._options.primary_recency
            and self._released_epoch != self._known_view.epoch
        )

    async def _on_status_query(self, _: Identity, __: ControlStatusQuery) -> ControlStatus:
        return self._status()

    # -- promises

    async def _on_promise(self, _: Identity, message: ControlPrepare) -> ControlPrepared:
        async with self._lock:
            granted = await self._promise(message)
            store = self._store
            return ControlPrepared(
                self._own_incarnation,
                granted,
                store.prepared.epoch,
                store.view,
                store.sequence,
                empty=not store.ever_used,
            )

    async def _promise(self, message: ControlPrepare) -> bool:
        """Promises the epoch to the candidate unless the rules forbid it; returns whether it is promised."""
        store = self._store
        if message.to != self._own_incarnation or self._disk_fault is not None or (message.forming and store.ever_used):
            return False
        held = store.prepared
        if message.epoch < held.epoch or (message.epoch == held.epoch and message.candidate != held.candidate):
            return False
        self._note_epoch(message.epoch)
        if message.epoch > held.epoch:
            if self._leadership is not None:
                self._step_down(f"promised epoch {message.epoch} to another")
            promise = PreparedEpoch(message.epoch, message.candidate)
            if not self._write_succeeded(await store.record_prepared(promise, message.forming)):
                return False
        self._put_off_candidacy()
        return True

    # -- acceptances

    async def _on_accept(self, _: Identity, message: ControlAccept) -> ControlAccepted:
        if message.to != self._own_incarnation:
            # The view names an earlier incarnation at our address; it shows whom to ask for membership.
            self._note_view(message.view)
            return ControlAccepted(self._own_incarnation, False, self._store.prepared.epoch)
        async with self._lock:
            accepted = await self._accept(message.view)
            return ControlAccepted(self._own_incarnation, accepted, self._store.prepared.epoch, self._store.sequence)

    async def _accept(self, view: View) -> bool:
        """Accepts the view unless a higher epoch, or this one to another primary, was promised."""
        if self._disk_fault is not None:
            return False
        held = self._store.prepared
        if view.epoch < held.epoch or (view.epoch == held.epoch and view.primary != held.candidate):
            return False
        if view.supersedes(self._store.view) and not await self._journal_view(view):
            return False
        self._primary_heard_at = self._now()
        self._note_view(view)
        return True

    async def _journal_view(self, view: View) -> bool:
        """Journals the view as the latest accepted one; returns whether that succeeded."""
        if self._leadership is not None:
            self._step_down(f"accepted epoch {view.epoch} of another")
        known = self._store.view
        if not self._write_succeeded(await self._store.record_view(view)):
            return False
        if known is None or known.epoch != view.epoch:
            self._last_received = None
        self._log("view-accepted", epoch=view.epoch, primary=view.primary, backups=",".join(view.backups))
        return True

    # -- calls of the primary

    async def _on_heartbeat(self, _: Identity, message: ControlHeartbeat) -> ControlHeartbeatAnswer:
        promise, view = self._store.prepared, self._store.view
        if message.to != self._own_incarnation:
            return ControlHeartbeatAnswer(self._own_incarnation, False, promise.epoch, False, unpacks=True)
        accepted = view is not None and view.epoch == promise.epoch == message.epoch
        if accepted or promise.candidate == message.primary:
            self._primary_heard_at = self._now()
        if accepted:
            self._advance_commit(message.epoch, message.committed)
        knows_chosen = view is not None and not view.former
        return ControlHeartbeatAnswer(
            self._own_incarnation, accepted, promise.epoch, self._disk_fault is None, knows_chosen, unpacks=True
        )

    async def _on_confirm(self, _: Identity, message: ControlConfirm) -> ControlConfirmed:
        promised = self._store.prepared.epoch
        confirmed = message.to == self._own_incarnation and self._disk_fault is None and promised <= message.epoch
        return ControlConfirmed(self._own_incarnation, confirmed, promised)

    def _on_leadership_released(self, _: Identity, message: ControlLeadershipReleased) -> None:
        if (
            self._known_view is not None
            and self._known_view.primary == message.primary
            and self._known_view.epoch <= message.epoch
        ):
            self._released_epoch = self._known_view.epoch

    # -- daemons that ask for membership or look for the primary

    async def _on_join(self, _: Identity, message: ControlJoin) -> ControlJoined:
        if self._leadership is not None:
            self._note_spare(self._leadership, message)
        return ControlJoined(self._known_view)

    def _note_spare(self, leadership: Leadership, message: ControlJoin) -> None:
        member = message.member
        if member.incarnation not in leadership.spares:
            self._log("spare-seen", name_of_spare=member.name, incarnation=member.incarnation, address=member.address)
        leadership.spares[member.incarnation] = Spare(member, self._now())
        for other in self._other_members(leadership.view):
            if other.address == member.address and other.incarnation != member.incarnation:
                leadership.replaced.add(other.incarnation)

    async def _on_leader_query(self, _: Identity, __: ControlLeaderQuery) -> ControlLeader:
        return ControlLeader(self.primary_address(), tuple(self.control_addresses()), self.epoch())
