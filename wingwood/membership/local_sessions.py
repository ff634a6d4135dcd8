"""The sessions of daemons with one coordinator, started and renewed by heartbeats (docs/DESIGN.md section 8)."""

from __future__ import annotations

from collections import Counter

from ..identifiers import Incarnation, Instant, Seconds
from ..transport.frames import Identity
from .coordinator_state import CoordinatorState, Session
from .member_list import Changes
from .messages import (
    CompareMembers,
    EndSession,
    Heartbeat,
    HeartbeatAnswer,
    MembersCompared,
    Position,
    member_of,
)


class LocalSessions(CoordinatorState):
    """Answers daemons that hold a session here or compare their view of the members."""

    async def _on_heartbeat(self, peer: Identity, message: Heartbeat) -> HeartbeatAnswer:
        now = self._now()
        was_member = peer.incarnation in self._all_members
        self._core_was_formed |= message.version > 0 or message.epoch > 0
        admitted = self._renew(peer, message, now, was_member)
        changes = self._changes_since(message.position)
        last_sequence = self._all_members.sequence if changes is None else changes.last_sequence
        return HeartbeatAnswer(
            position=Position(self._run_id, last_sequence),
            size=len(self._all_members),
            digest=self._all_members.digest,
            update=self._update_source(),
            was_member=was_member,
            admitted=admitted,
            settling=now < self._trusted_from,
            isolated=self._isolated,
            incremental=changes is not None,
            more=last_sequence < self._all_members.sequence,
            joined=() if changes is None else tuple(map(member_of, changes.joined)),
            left=() if changes is None else changes.left,
        )

    def _changes_since(self, position: Position | None) -> Changes | None:
        """Returns the changes, or None if they are not retained, so that the daemon must compare its complete view."""
        if position is None or position.run_id != self._run_id:
            return None
        return self._all_members.changes_since(position.sequence, self._times.max_members_per_answer)

    def _renew(self, peer: Identity, message: Heartbeat, now: Instant, was_member: bool) -> bool:
        """Starts or renews the session; returns whether the heartbeat was admitted.

        A heartbeat counts from the time of the last answer that its sender received: a daemon that receives no
        answers is not a member.
        """
        if message.last_answer_age is None:
            return False
        unanswered_for = max(0.0, message.last_answer_age - self._times.heartbeat_interval)
        session = self._local_sessions.get(peer.incarnation)
        if unanswered_for >= (self._times.session_timeout / 2 if session is None else self._times.session_timeout):
            return False
        renewed_at = Instant(now - unanswered_for)
        if session is None:
            session = self._local_sessions[peer.incarnation] = Session(peer, renewed_at)
            self._context.log.event("session-begun", member=peer.name, was_member=was_member)
            self._end_superseded(peer)
        session.identity = peer
        session.renewed_at = max(session.renewed_at, renewed_at)
        if self._local_members.put(peer):
            self._notify_local_change()
            self._update_membership(peer.incarnation)
        return True

    def _end_superseded(self, peer: Identity) -> None:
        """Ends the sessions of earlier processes at the address of a new process."""
        for incarnation, session in list(self._local_sessions.items()):
            if incarnation != peer.incarnation and session.identity.internal == peer.internal:
                self._end_session(incarnation, "superseded")

    def _on_end_session(self, peer: Identity, message: EndSession) -> None:
        if peer.incarnation in self._local_sessions:
            self._end_session(peer.incarnation, "stopped")

    def _end_session(self, incarnation: Incarnation, reason: str) -> None:
        session = self._local_sessions.pop(incarnation)
        self._context.log.event("session-ended", member=session.identity.name, reason=reason)
        if self._local_members.drop(incarnation):
            self._notify_local_change()
            self._update_membership(incarnation)

    async def _on_compare(self, peer: Identity, message: CompareMembers) -> MembersCompared:
        count = max(1, len(message.buckets))
        own = self._all_members.buckets(count)
        differing = [index for index in range(count) if message.buckets[index : index + 1] != (own[index],)]
        included = differing[: max(1, count * self._times.max_members_per_answer // max(1, len(self._all_members)))]
        return MembersCompared(
            Position(self._run_id, self._all_members.sequence),
            self.settling(),
            len(included) < len(differing),
            tuple(included),
            tuple(map(member_of, self._all_members.in_buckets(included, count))),
        )

    def _sweep_sessions(self, now: Instant) -> None:
        silent = [
            session
            for session in self._local_sessions.values()
            if now - session.renewed_at > self._times.session_timeout / 2
        ]
        processes_per_address = (
            Counter(member.internal for member in self._all_members.identities()) if silent else Counter()
        )
        for session in silent:
            if now - session.renewed_at > self._times.session_timeout:
                self._end_session(session.identity.incarnation, "lost")
            elif (
                processes_per_address[session.identity.internal] > 1
            ):  # Another coordinator holds a session of a new process at that address.
                self._end_session(session.identity.incarnation, "superseded")

    def _extend_sessions(self, seconds: Seconds) -> None:
        """Extends the sessions by the time during which this process was suspended; the silence was its own."""
        for session in self._local_sessions.values():
            session.renewed_at = Instant(session.renewed_at + seconds)
