"""Membership on a control daemon: sessions and their exchange with other coordinators (docs/DESIGN.md section 8)."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ..context.protocols import Context
from ..identifiers import Address, Instant
from ..transport.messenger import Messenger
from .coordinator_peers import CoordinatorPeers
from .coordinator_sweep import CoordinatorSweep
from .heartbeat_responder import HeartbeatResponder
from .isolation import IsolationDetector
from .known_controls import KnownControlsResponder
from .local_sessions import LocalSessions
from .member_list import MemberList
from .member_view import MemberView
from .membership_options import MembershipOptions
from .merged_members import MergedMembers
from .messages import ClusterUpdate
from .observed_versions import ObservedVersions
from .peer_polling import PeerPolling
from .peer_reports import PeerReports
from .published_list import PublishedList
from .session_reports import SessionsReporter
from .warm_up import WarmUp


class MembershipCoordinator(MemberView):
    """A control daemon's part in membership; also implements ``Membership`` for that daemon itself.

    Builds the parts of a coordinator and starts and stops them. Owns the source of the updates in heartbeat answers.
    """

    sessions_class = LocalSessions
    reports_class = PeerReports
    reporter_class = SessionsReporter
    isolation_class = IsolationDetector

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        seeds: Sequence[Address],
        options: MembershipOptions | None = None,
    ) -> None:
        super().__init__(MemberList())
        options = options or MembershipOptions()
        clock = context.clock
        run_id = f"{context.random.getrandbits(48):012x}"
        self._own_identity = messenger.identity
        self._update_source: Callable[[], ClusterUpdate] = ClusterUpdate
        self._observed = ObservedVersions()
        self._warm_up = WarmUp(clock, options.warm_up_period_s)
        self._peers = CoordinatorPeers(self._own_identity.internal, options.session_timeout_s)
        self._local = PublishedList(run_id, MemberList())
        """The daemons with a session here, and this coordinator itself."""
        self._merged = MergedMembers(self, self._local.members, self._peers)
        sessions = self.sessions_class(context, messenger, options, self._local, self._merged)
        reports = self.reports_class(context.log, options, self._peers, self._merged)
        self._polling = PeerPolling(context, messenger, seeds, options, self, self._peers, reports, self._observed)
        isolation = self.isolation_class(context.log, self._peers, self._warm_up, options)
        self._sweep = CoordinatorSweep(context, options, self._warm_up, isolation, sessions, reports)
        HeartbeatResponder(
            clock,
            messenger,
            options,
            sessions,
            PublishedList(run_id, self.member_list),
            self._warm_up,
            isolation,
            self._observed,
            self._current_update,
        )
        self.reporter_class(clock, messenger, options, self._local, self._peers, self._warm_up, self._polling.poll)
        KnownControlsResponder(messenger, self, self.known_controls, self._current_versions)

    def set_update_source(self, update: Callable[[], ClusterUpdate]) -> None:
        """Sets the function that returns the update in heartbeat answers."""
        self._update_source = update

    def use_seeds(self, seeds: Sequence[Address]) -> None:
        """Replaces the seeds at which other coordinators are looked for; known coordinators are retained."""
        self._polling.use_seeds(seeds)

    def start(self) -> None:
        """Becomes a member, and starts to look for the other coordinators; the warm-up begins."""
        self._warm_up.restart()
        self._local.put(self._own_identity)
        self._merged.update(self._own_identity.incarnation)
        self._sweep.start()
        self._polling.start()

    def stop(self) -> None:
        """Stops all parts; the other coordinators see this one leave after the session timeout."""
        self._sweep.stop()
        self._polling.stop()

    # -- for health, the address file and the control core

    def session_confirmed_at(self) -> Instant | None:
        """Returns when another coordinator last answered; a coordinator without others confirms nothing."""
        return self._peers.last_answer_at()

    def warming_up(self) -> bool:
        """Returns whether the list may still lack live members: after a start, a process pause or isolation."""
        return self._warm_up.is_active()

    def core_may_exist(self) -> bool:
        """Returns whether a control core has been formed before, as far as the daemons in contact with this one know.

        Also returns True while warming up, since daemons that know of one may not have reached this coordinator yet.
        """
        return self._observed.version > 0 or self._observed.epoch > 0 or self.warming_up()

    def add_controls(self, controls: Sequence[Address]) -> None:
        """Starts polling control daemons that may exist at these addresses."""
        self._polling.poll(controls)

    def known_controls(self) -> list[Address]:
        """Returns the addresses of the known control daemons: the own one, then those with the latest reports."""
        return self._peers.known_addresses()

    def _current_update(self) -> ClusterUpdate:
        return self._update_source()

    def _current_versions(self) -> ObservedVersions:
        update = self._update_source()
        return ObservedVersions(update.epoch, update.latest_version)
