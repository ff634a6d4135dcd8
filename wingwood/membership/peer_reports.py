"""Applies other coordinators' reports of their sessions, and expires them (docs/DESIGN.md sections 8.2 and 8.3)."""

from __future__ import annotations

from collections.abc import Sequence

from ..context.protocols import Log
from ..identifiers import Incarnation, Instant, Seconds
from .coordinator_peer import CoordinatorPeer
from .coordinator_peers import CoordinatorPeers
from .membership_options import MembershipOptions
from .merged_members import MergedMembers
from .messages import SessionsReport


class PeerReports:
    """Updates the peers' sessions and the merged members from reports, and drops those of unresponsive peers."""

    def __init__(self, log: Log, options: MembershipOptions, peers: CoordinatorPeers, merged: MergedMembers) -> None:
        self._log = log
        self._options = options
        self._peers = peers
        self._merged = merged

    def apply_direct(self, peer: CoordinatorPeer, report: SessionsReport, requested_at: Instant) -> None:
        """Applies a report that the peer itself sent."""
        peer.last_direct_at = requested_at
        self._apply(peer, report, requested_at)

    def apply_relayed(self, report: SessionsReport, requested_at: Instant) -> None:
        """Applies a report that another coordinator relayed, if it is later than the latest one from that peer."""
        peer = self._peers.get(report.coordinator.internal)
        reported_at = Instant(requested_at - report.age)
        if peer is not None and (peer.last_report_at is None or reported_at > peer.last_report_at):
            self._apply(peer, report, reported_at)

    def _apply(self, peer: CoordinatorPeer, report: SessionsReport, reported_at: Instant) -> None:
        peer.identity = report.coordinator
        peer.last_report_at = reported_at if peer.last_report_at is None else max(peer.last_report_at, reported_at)
        if not peer.is_outdated(report):
            self._merged.update(*peer.apply(report, Instant(reported_at + self._options.grace_period_s)))

    def sweep(self, now: Instant) -> None:
        """Drops the sessions of peers without reports: first the peer's own, after the grace period all of them."""
        for peer in self._peers.all():
            self._sweep_peer(peer, now)

    def _sweep_peer(self, peer: CoordinatorPeer, now: Instant) -> None:
        self._merged.update(*peer.drop_orphans(now))
        if peer.last_report_at is None or not len(peer.sessions):
            return
        report_age_s = now - peer.last_report_at
        if report_age_s > self._options.grace_period_s:
            self._drop_sessions(peer, peer.sessions.incarnations())
            peer.run_id = ""
            self._log.event("coordinator-sessions-expired", coordinator=peer.address)
        elif report_age_s > self._options.session_timeout_s and peer.identity is not None:
            self._drop_sessions(peer, [peer.identity.incarnation])

    def _drop_sessions(self, peer: CoordinatorPeer, incarnations: Sequence[Incarnation]) -> None:
        dropped = peer.drop(incarnations)
        if dropped:
            peer.run_id = ""
            self._merged.update(*dropped)

    def extend(self, seconds: Seconds) -> None:
        """Extends the peers' latest reports by the time during which this process was paused."""
        for peer in self._peers.all():
            if peer.last_report_at is not None:
                peer.last_report_at = Instant(peer.last_report_at + seconds)
