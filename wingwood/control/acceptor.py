"""The acceptor: prepares epochs, accepts views and confirms leaderships (docs/DESIGN.md section 7.2)."""

from __future__ import annotations

from ..context.protocols import Context
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .backup import Backup
from .guarded_store import GuardedStore
from .member_state import MemberState
from .messages import (
    ControlAccept,
    ControlAccepted,
    ControlConfirm,
    ControlConfirmed,
    ControlPrepare,
    ControlPrepared,
)
from .own_leadership import OwnLeadership
from .views import PreparedEpoch, View


class Acceptor:
    """Answers candidates and primaries. The prepared epoch and the accepted view are in the store, on disk.

    Both change only under the lock of the store, from the check to the end of the write. Otherwise a view could
    be accepted under an epoch below one that is being prepared.
    """

    def __init__(
        self,
        context: Context,
        guarded: GuardedStore,
        state: MemberState,
        leadership: OwnLeadership,
        backup: Backup,
    ) -> None:
        self._context = context
        self._guarded = guarded
        self._store = guarded.store
        self._state = state
        self._leadership = leadership
        self._backup = backup
        self._own_incarnation = state.own.incarnation

    def register(self, messenger: Messenger) -> None:
        """Registers the handlers of the messages that this part answers."""
        messenger.on_call(ControlPrepare, self._on_prepare)
        messenger.on_call(ControlAccept, self._on_accept)
        messenger.on_call(ControlConfirm, self._on_confirm)

    # -- prepare

    async def _on_prepare(self, _: Identity, message: ControlPrepare) -> ControlPrepared:
        return await self.prepare(message)

    async def prepare(self, message: ControlPrepare) -> ControlPrepared:
        """Answers whether the epoch is prepared for the candidate, with the latest view accepted here."""
        async with self._guarded.lock:
            granted = await self._prepare(message)
            store = self._store
            return ControlPrepared(
                self._own_incarnation,
                granted,
                store.prepared.epoch,
                store.view,
                store.sequence,
                empty=not store.ever_used,
            )

    async def _prepare(self, message: ControlPrepare) -> bool:
        """Prepares the epoch for the candidate unless the rules forbid it; returns whether it is prepared."""
        store = self._store
        if message.to != self._own_incarnation or self._guarded.fault is not None:
            return False
        if message.forming and store.ever_used:
            return False
        current = store.prepared
        if message.epoch < current.epoch or (message.epoch == current.epoch and message.candidate != current.candidate):
            return False
        self._state.observe_epoch(message.epoch)
        if message.epoch > current.epoch:
            self._leadership.step_down(f"promised epoch {message.epoch} to another")
            prepared = PreparedEpoch(message.epoch, message.candidate)
            if not self._guarded.write_succeeded(await store.record_prepared(prepared, message.forming)):
                return False
        self._state.back_off_election()
        return True

    # -- accept

    async def _on_accept(self, _: Identity, message: ControlAccept) -> ControlAccepted:
        if message.to != self._own_incarnation:
            # The view names an earlier incarnation at our address; it shows whom to ask for membership.
            self._state.observe_view(message.view)
            return ControlAccepted(self._own_incarnation, False, self._store.prepared.epoch)
        async with self._guarded.lock:
            accepted = await self._accept(message.view)
            return ControlAccepted(self._own_incarnation, accepted, self._store.prepared.epoch, self._store.sequence)

    async def _accept(self, view: View) -> bool:
        """Accepts the view unless a higher epoch, or this one for another primary, was prepared."""
        if self._guarded.fault is not None:
            return False
        prepared = self._store.prepared
        if view.epoch < prepared.epoch or (view.epoch == prepared.epoch and view.primary != prepared.candidate):
            return False
        if view.supersedes(self._store.view) and not await self._journal_view(view):
            return False
        self._state.primary_heard()
        self._state.observe_view(view)
        return True

    async def _journal_view(self, view: View) -> bool:
        """Journals the view as the latest accepted one; returns whether that succeeded."""
        self._leadership.step_down(f"accepted epoch {view.epoch} of another")
        former = self._store.view
        if not self._guarded.write_succeeded(await self._store.record_view(view)):
            return False
        if former is None or former.epoch != view.epoch:
            self._backup.epoch_changed()
        self._context.log.event("view-accepted", epoch=view.epoch, primary=view.primary, backups=",".join(view.backups))
        return True

    # -- confirm

    async def _on_confirm(self, _: Identity, message: ControlConfirm) -> ControlConfirmed:
        prepared = self._store.prepared.epoch
        confirmed = message.to == self._own_incarnation and self._guarded.fault is None and prepared <= message.epoch
        return ControlConfirmed(self._own_incarnation, confirmed, prepared)
