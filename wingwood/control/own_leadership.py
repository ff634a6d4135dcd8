"""Whether this daemon leads, and how it stops leading (docs/DESIGN.md sections 7.2.2 and 7.4)."""

from __future__ import annotations

from ..context.protocols import Context
from .changes import ChangeSignal
from .commands import fail_all
from .control_options import ControlOptions
from .leadership import Leadership
from .member_state import MemberState
from .messages import ControlLeadershipReleased
from .peer_client import PeerClient
from .replica import Replica
from .views import View


class OwnLeadership:
    """Owns the current ``Leadership``, which is None while this daemon does not lead.

    A part that awaits something while it leads compares ``current`` with the ``Leadership`` that it started
    with, because this daemon may have stepped down meanwhile, and may even lead again under another epoch.
    """

    def __init__(
        self,
        context: Context,
        options: ControlOptions,
        state: MemberState,
        replica: Replica,
        peers: PeerClient,
        changes: ChangeSignal,
    ) -> None:
        self._context = context
        self._unconfirmed_after = options.leadership_unconfirmed_after
        self._state = state
        self._replica = replica
        self._peers = peers
        self._changes = changes
        self._current: Leadership | None = None

    @property
    def current(self) -> Leadership | None:
        """The leadership of this daemon, whether or not a majority confirmed it recently."""
        return self._current

    def leads(self) -> bool:
        """Whether this daemon leads and a majority answered calls that it started recently."""
        leadership = self._current
        if leadership is None:
            return False
        return self._context.clock.monotonic() - leadership.confirmed < self._unconfirmed_after

    def begin(self, leadership: Leadership) -> None:
        """Starts to lead."""
        self._current = leadership

    def step_down(self, reason: str) -> None:
        """Stops leading, if this daemon leads.

        Fails the commands that wait for backups, and asks the other members to fail over. The replica has to be
        loaded from the journal again, since it may contain batches that were decided but never journaled.
        """
        leadership, self._current = self._current, None
        if leadership is None:
            return
        self._context.log.event("leadership-released", epoch=leadership.view.epoch, reason=reason)
        self._replica.invalidate()
        self._state.stepped_down()
        fail_all(leadership.take_pending(), f"stopped leading: {reason}")
        self.announce_release(leadership.view)
        self._changes.notify()

    def announce_release(self, view: View) -> None:
        """Notifies the other members that this daemon no longer leads the view."""
        own = self._state.own.incarnation
        for member in view.others(own):
            self._peers.post(member, ControlLeadershipReleased(view.epoch, own))
