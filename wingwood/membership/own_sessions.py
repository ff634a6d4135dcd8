"""The sessions of daemons with one keeper: begun and renewed by heartbeats (docs/DESIGN.md section 8)."""

from __future__ import annotations

from collections import Counter

from ..identifiers import Incarnation, Instant, Seconds
from ..transport.frames import Identity
from .keeper_state import KeeperState, Session
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


class OwnSessions(KeeperState):
    """Answers to daemons that hold their session here, or compare their view of the members."""

    async def _on_heartbeat(self, peer: Identity, message: Heartbeat) -> HeartbeatAnswer:
        now = self._now()
        was_member = peer.incarnation in self._union
        self._heard_of_history |= message.version > 0 or message.epoch > 0
        admitted = self._renew(peer, message, now, was_member)
        changes = self._changes_since(message.position)
        upto = self._union.sequence if changes is None else changes.upto
        return HeartbeatAnswer(
            position=Position(self._life, upto),
            size=len(self._union),
            digest=self._union.digest,
            news=self._news(),
            was_member=was_member,
            admitted=admitted,
            settling=now < self._trusted_from,
            alone=self._alone,
            known=changes is not None,
            more=upto < self._union.sequence,
            joined=() if changes is None else tuple(map(member_of, changes.joined)),
            left=() if changes is None else changes.left,
        )

    def _changes_since(self, position: Position | None) -> Changes | None:
        """None: they are not known; the daemon has to compare its whole view."""
        if position is None or position.life != self._life:
            return None
        return self._union.changes_since(position.sequence, self._times.told_at_once)

    def _renew(self, peer: Identity, message: Heartbeat, now: Instant, was_member: bool) -> bool:
        """A heartbeat counts for the time at which the sender last heard an answer: a deaf daemon is no member."""
        if message.unanswered is None:
            return False
        deaf = max(0.0, message.unanswered - self._times.heartbeat)
        session = self._sessions.get(peer.incarnation)
        if deaf >= (self._times.lost / 2 if session is None else self._times.lost):
            return False
        renewed = Instant(now - deaf)
        if session is None:
            session = self._sessions[peer.incarnation] = Session(peer, renewed)
            self._context.log.event("session-begun", member=peer.name, was_member=was_member)
            self._supersede(peer)
        session.identity = peer
        session.renewed = max(session.renewed, renewed)
        if self._own.put(peer):
            self._own_changed()
            self._recount(peer.incarnation)
        return True

    def _supersede(self, peer: Identity) -> None:
        """A new process at an address: the one that listened there before is gone."""
        for incarnation, session in list(self._sessions.items()):
            if incarnation != peer.incarnation and session.identity.internal == peer.internal:
                self._end_session(incarnation, "superseded")

    def _on_end_session(self, peer: Identity, message: EndSession) -> None:
        if peer.incarnation in self._sessions:
            self._end_session(peer.incarnation, "stopped")

    def _end_session(self, incarnation: Incarnation, reason: str) -> None:
        session = self._sessions.pop(incarnation)
        self._context.log.event("session-ended", member=session.identity.name, reason=reason)
        if self._own.drop(incarnation):
            self._own_changed()
            self._recount(incarnation)

    async def _on_compare(self, peer: Identity, message: CompareMembers) -> MembersCompared:
        count = max(1, len(message.buckets))
        own = self._union.buckets(count)
        differing = [index for index in range(count) if message.buckets[index : index + 1] != (own[index],)]
        told = differing[: max(1, count * self._times.told_at_once // max(1, len(self._union)))]
        return MembersCompared(
            Position(self._life, self._union.sequence),
            self.settling(),
            len(told) < len(differing),
            tuple(told),
            tuple(map(member_of, self._union.in_buckets(told, count))),
        )

    def _sweep_sessions(self, now: Instant) -> None:
        quiet = [session for session in self._sessions.values() if now - session.renewed > self._times.lost / 2]
        listening = Counter(member.internal for member in self._union.identities()) if quiet else Counter()
        for session in quiet:
            if now - session.renewed > self._times.lost:
                self._end_session(session.identity.incarnation, "lost")
            elif listening[session.identity.internal] > 1:  # Another keeper holds a new process at that address.
                self._end_session(session.identity.incarnation, "superseded")

    def _excuse_sessions(self, seconds: Seconds) -> None:
        """This process stood still for so long: the silence was its own."""
        for session in self._sessions.values():
            session.renewed = Instant(session.renewed + seconds)
