"""Whether this member hears its primary, for the primary and for peers that ask (docs/DESIGN.md section 7.4)."""

from __future__ import annotations

from collections.abc import Callable

from ..context.protocols import Clock
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .backup import Backup
from .control_options import ControlOptions
from .guarded_store import GuardedStore
from .member_state import MemberState
from .messages import (
    ControlHeartbeat,
    ControlHeartbeatAnswer,
    ControlLeadershipReleased,
    ControlStatus,
    ControlStatusQuery,
)
from .own_leadership import OwnLeadership


class PrimaryMonitor:
    """Answers heartbeats and status queries. When the primary was last heard is part of ``MemberState``.

    ``knows_history`` returns whether any daemon known here has seen a bundle or an epoch.
    """

    def __init__(
        self,
        clock: Clock,
        options: ControlOptions,
        guarded: GuardedStore,
        state: MemberState,
        leadership: OwnLeadership,
        backup: Backup,
        knows_history: Callable[[], bool],
    ) -> None:
        self.knows_history = knows_history
        self._clock = clock
        self._primary_recency = options.primary_recency
        self._guarded = guarded
        self._store = guarded.store
        self._state = state
        self._leadership = leadership
        self._backup = backup
        self._own_incarnation = state.own.incarnation

    def register(self, messenger: Messenger) -> None:
        """Registers the handlers of the messages that this part answers."""
        messenger.on_call(ControlStatusQuery, self._on_status_query)
        messenger.on_call(ControlHeartbeat, self._on_heartbeat)
        messenger.on_post(ControlLeadershipReleased, self._on_leadership_released)

    def status(self) -> ControlStatus:
        """Returns this daemon's own view of the cluster."""
        return ControlStatus(
            by=self._own_incarnation,
            member=self._state.own,
            prepared_epoch=self._store.prepared.epoch,
            view=self._state.known_view,
            hears_primary=self._hears_primary(),
            empty=not self._store.ever_used and self._state.known_view is None,
            knows_history=self.knows_history(),
        )

    def _hears_primary(self) -> bool:
        if self._leadership.current is not None:
            return self._leadership.leads()
        view = self._state.known_view
        if view is None:
            return False
        unheard_for = self._clock.monotonic() - self._state.primary_heard_at
        return unheard_for < self._primary_recency and not self._state.is_released(view)

    async def _on_status_query(self, _: Identity, __: ControlStatusQuery) -> ControlStatus:
        return self.status()

    async def _on_heartbeat(self, _: Identity, message: ControlHeartbeat) -> ControlHeartbeatAnswer:
        prepared, view = self._store.prepared, self._store.view
        if message.to != self._own_incarnation:
            return ControlHeartbeatAnswer(self._own_incarnation, False, prepared.epoch, False, unpacks=True)
        accepted = view is not None and view.epoch == prepared.epoch == message.epoch
        if accepted or prepared.candidate == message.primary:
            self._state.primary_heard()
        if accepted:
            self._backup.advance_commit(message.epoch, message.committed)
        knows_chosen = view is not None and not view.former
        return ControlHeartbeatAnswer(
            self._own_incarnation, accepted, prepared.epoch, self._guarded.fault is None, knows_chosen, unpacks=True
        )

    def _on_leadership_released(self, _: Identity, message: ControlLeadershipReleased) -> None:
        view = self._state.known_view
        if view is not None and view.primary == message.primary and view.epoch <= message.epoch:
            self._state.primary_released(view.epoch)
