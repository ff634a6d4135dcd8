"""A member's votes: promises, acceptances, heartbeats and confirmations (docs/DESIGN.md section 7.2)."""

from __future__ import annotations

from ..transport.frames import Identity
from .backup import Backup
from .lead import Lead, Spare
from .member import MemberSetup
from .messages import (
    ControlAccept,
    ControlAccepted,
    ControlCanvass,
    ControlConfirm,
    ControlConfirmed,
    ControlGiveWay,
    ControlGrant,
    ControlHeartbeat,
    ControlHeartbeatAnswer,
    ControlJoin,
    ControlJoined,
    ControlLeader,
    ControlPromise,
    ControlStanding,
    ControlWhoLeads,
    Promise,
    View,
)


class Voter(Backup):
    """Answers of a member to candidates, to the primary and to daemons that look for them."""

    def __init__(self, setup: MemberSetup) -> None:
        super().__init__(setup)
        self._knows_of_history = setup.knows_of_history

    # -- how it sees things

    def _standing(self) -> ControlStanding:
        return ControlStanding(
            by=self._me,
            seat=self._seat,
            promised=self._store.promise.epoch,
            view=self._known,
            hears_primary=self._hears_primary(),
            empty=not self._store.touched and self._known is None,
            knows_history=self._knows_of_history(),
        )

    def _hears_primary(self) -> bool:
        if self._lead is not None:
            return self.leads()
        if self._known is None:
            return False
        return self._now() - self._heard < self._limits.heard and self._gave_way != self._known.epoch

    async def _on_canvass(self, _: Identity, __: ControlCanvass) -> ControlStanding:
        return self._standing()

    # -- promises

    async def _on_promise(self, _: Identity, message: ControlPromise) -> ControlGrant:
        async with self._lock:
            granted = await self._promise(message)
            store = self._store
            return ControlGrant(
                self._me, granted, store.promise.epoch, store.view, store.sequence, empty=not store.touched
            )

    async def _promise(self, message: ControlPromise) -> bool:
        store = self._store
        if message.to != self._me or self._sick is not None or (message.forming and store.touched):
            return False
        held = store.promise
        if message.epoch < held.epoch or (message.epoch == held.epoch and message.candidate != held.candidate):
            return False
        self._note_epoch(message.epoch)
        if message.epoch > held.epoch:
            if self._lead is not None:
                self._step_down(f"promised epoch {message.epoch} to another")
            promise = Promise(message.epoch, message.candidate)
            if not self._written(await store.promised(promise, message.forming)):
                return False
        self._put_off_candidacy()
        return True

    # -- acceptances

    async def _on_accept(self, _: Identity, message: ControlAccept) -> ControlAccepted:
        if message.to != self._me:
            # We are a new incarnation at a member's address; this tells us whom to ask for the seat.
            self._note_view(message.view)
            return ControlAccepted(self._me, False, self._store.promise.epoch)
        async with self._lock:
            accepted = await self._accept(message.view)
            return ControlAccepted(self._me, accepted, self._store.promise.epoch, self._store.sequence)

    async def _accept(self, view: View) -> bool:
        if self._sick is not None:
            return False
        held = self._store.promise
        if view.epoch < held.epoch or (view.epoch == held.epoch and view.primary != held.candidate):
            return False
        if view.supersedes(self._store.view) and not await self._adopt(view):
            return False
        self._heard = self._now()
        self._note_view(view)
        return True

    async def _adopt(self, view: View) -> bool:
        """Journals it as the newest accepted view."""
        if self._lead is not None:
            self._step_down(f"accepted epoch {view.epoch} of another")
        known = self._store.view
        if not self._written(await self._store.accepted(view)):
            return False
        if known is None or known.epoch != view.epoch:
            self._last_received = None
        self._log("view-accepted", epoch=view.epoch, primary=view.primary, backups=",".join(view.backups))
        return True

    # -- the primary's calls

    async def _on_heartbeat(self, _: Identity, message: ControlHeartbeat) -> ControlHeartbeatAnswer:
        promise, view = self._store.promise, self._store.view
        if message.to != self._me:
            return ControlHeartbeatAnswer(self._me, False, promise.epoch, False, unpacks=True)
        accepted = view is not None and view.epoch == promise.epoch == message.epoch
        if accepted or promise.candidate == message.primary:
            self._heard = self._now()
        if accepted:
            self._take_commit(message.epoch, message.committed)
        settled = view is not None and not view.former
        return ControlHeartbeatAnswer(self._me, accepted, promise.epoch, self._sick is None, settled, unpacks=True)

    async def _on_confirm(self, _: Identity, message: ControlConfirm) -> ControlConfirmed:
        promised = self._store.promise.epoch
        holds = message.to == self._me and self._sick is None and promised <= message.epoch
        return ControlConfirmed(self._me, holds, promised)

    def _on_give_way(self, _: Identity, message: ControlGiveWay) -> None:
        if self._known is not None and self._known.primary == message.primary and self._known.epoch <= message.epoch:
            self._gave_way = self._known.epoch

    # -- daemons that look for a seat or for the primary

    async def _on_join(self, _: Identity, message: ControlJoin) -> ControlJoined:
        if self._lead is not None:
            self._note_spare(self._lead, message)
        return ControlJoined(self._known)

    def _note_spare(self, lead: Lead, message: ControlJoin) -> None:
        seat = message.seat
        if seat.incarnation not in lead.spares:
            self._log("spare-seen", name_of_spare=seat.name, incarnation=seat.incarnation, address=seat.address)
        lead.spares[seat.incarnation] = Spare(seat, self._now())
        for member in self._others(lead.view):
            if member.address == seat.address and member.incarnation != seat.incarnation:
                lead.gone.add(member.incarnation)

    async def _on_who_leads(self, _: Identity, __: ControlWhoLeads) -> ControlLeader:
        return ControlLeader(self.primary_address(), tuple(self.control_addresses()), self.epoch())
