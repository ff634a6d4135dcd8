"""Detection that a coordinator is itself partitioned from the others (docs/DESIGN.md section 8.3)."""

from __future__ import annotations

from ..context.protocols import Log
from ..identifiers import Instant
from .coordinator_peers import CoordinatorPeers
from .membership_options import MembershipOptions
from .warm_up import WarmUp


class IsolationDetector:
    """Owns whether this coordinator is isolated; its list stays in warm-up for as long as it is."""

    def __init__(self, log: Log, peers: CoordinatorPeers, warm_up: WarmUp, options: MembershipOptions) -> None:
        self._log = log
        self._peers = peers
        self._warm_up = warm_up
        self._options = options
        self.isolated = False

    def check(self, now: Instant) -> None:
        """Detects whether this coordinator is isolated.

        If it has reports from at most half of the recently reporting coordinators (itself included), it attributes the
        missing reports to its own connection.
        """
        ages = [now - peer.last_report_at for peer in self._peers.all() if peer.last_report_at is not None]
        recently_reporting = 1 + sum(age <= self._options.isolation_window_s for age in ages)
        reporting = 1 + sum(age <= self._options.session_timeout_s for age in ages)
        isolated = 2 * reporting <= recently_reporting
        if isolated or self.isolated:
            self._warm_up.restart()
        if isolated != self.isolated:
            self.isolated = isolated
            if isolated:
                self._log.event("coordinator-isolated", reporting=reporting, recently_reporting=recently_reporting)
            else:
                self._log.event("coordinator-reconnected", reporting=reporting, recently_reporting=recently_reporting)
