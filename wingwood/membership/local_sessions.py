"""The sessions of daemons with one coordinator (docs/DESIGN.md section 8.1)."""

from __future__ import annotations

from collections import Counter

from ..context.protocols import Context
from ..identifiers import Incarnation, Instant, Seconds
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .membership_options import MembershipOptions
from .merged_members import MergedMembers
from .messages import EndSession, Heartbeat
from .published_list import PublishedList


class Session:
    """One daemon's session at this coordinator."""

    def __init__(self, identity: Identity, renewed_at: Instant) -> None:
        self.identity = identity
        self.renewed_at = renewed_at


class LocalSessions:
    """Owns the sessions with this coordinator, and publishes the daemons that have one to the other coordinators."""

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        options: MembershipOptions,
        published: PublishedList,
        merged: MergedMembers,
    ) -> None:
        self._context = context
        self._options = options
        self._published = published
        self._merged = merged
        self._sessions: dict[Incarnation, Session] = {}
        messenger.on_post(EndSession, self._on_end_session)

    def renew(self, peer: Identity, heartbeat: Heartbeat, now: Instant, was_member: bool) -> bool:
        """Starts or renews the session; returns whether the heartbeat was admitted.

        A heartbeat counts from the time of the last answer that its sender received: a daemon that receives no
        answers is not a member.
        """
        if heartbeat.last_answer_age is None:
            return False
        unanswered_for_s = max(0.0, heartbeat.last_answer_age - self._options.heartbeat_interval_s)
        session = self._sessions.get(peer.incarnation)
        timeout_s = self._options.session_timeout_s
        if unanswered_for_s >= (timeout_s / 2 if session is None else timeout_s):
            return False
        renewed_at = Instant(now - unanswered_for_s)
        if session is None:
            session = self._sessions[peer.incarnation] = Session(peer, renewed_at)
            self._context.log.event("session-started", member=peer.name, was_member=was_member)
            self._end_superseded(peer)
        session.identity = peer
        session.renewed_at = max(session.renewed_at, renewed_at)
        if self._published.put(peer):
            self._merged.update(peer.incarnation)
        return True

    def _end_superseded(self, peer: Identity) -> None:
        """Ends the sessions of earlier processes at the address of a new process."""
        for incarnation, session in list(self._sessions.items()):
            if incarnation != peer.incarnation and session.identity.internal == peer.internal:
                self._end(incarnation, "superseded")

    def _on_end_session(self, peer: Identity, _message: EndSession) -> None:
        if peer.incarnation in self._sessions:
            self._end(peer.incarnation, "stopped")

    def _end(self, incarnation: Incarnation, reason: str) -> None:
        session = self._sessions.pop(incarnation)
        self._context.log.event("session-ended", member=session.identity.name, reason=reason)
        if self._published.drop(incarnation):
            self._merged.update(incarnation)

    def sweep(self, now: Instant) -> None:
        """Ends the sessions that have timed out, and overdue ones whose address a new process has taken."""
        timeout_s = self._options.session_timeout_s
        overdue = [session for session in self._sessions.values() if now - session.renewed_at > timeout_s / 2]
        processes_per_address = self._merged.processes_per_address() if overdue else Counter()
        for session in overdue:
            if now - session.renewed_at > timeout_s:
                self._end(session.identity.incarnation, "lost")
            elif processes_per_address[session.identity.internal] > 1:
                # Another coordinator has a session of a new process at that address.
                self._end(session.identity.incarnation, "superseded")

    def extend(self, seconds: Seconds) -> None:
        """Extends the sessions by the time during which this process was paused and received no heartbeats."""
        for session in self._sessions.values():
            session.renewed_at = Instant(session.renewed_at + seconds)
