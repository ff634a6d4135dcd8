"""What one session keeper knows of another (docs/DESIGN.md section 8)."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from ..identifiers import Address, Incarnation, Instant
from ..transport.frames import Identity
from .member_list import MemberList
from .messages import Position, SessionsTold, identity_of


class Orphan(msgspec.Struct, frozen=True):
    """A session of a former life of a keeper, and until when it is kept."""

    identity: Identity
    until: Instant


class KeeperPeer:
    """Another session keeper's sessions, as it or others told them."""

    def __init__(self, address: Address, known_since: Instant) -> None:
        self.address = address
        self.known_since = known_since
        self.settling = False
        self.identity: Identity | None = None
        self.life = ""
        """Empty: what is known of its sessions is not exact, and is asked for whole."""
        self.sessions = MemberList(remembered=0)
        self.sequence = 0
        self.heard: Instant | None = None
        """Own clock before the question whose answer came last, by whatever way."""
        self.heard_directly: Instant | None = None
        self.asked_after: Instant | None = None
        self.orphans: dict[Incarnation, Orphan] = {}

    def position(self) -> Position | None:
        return Position(self.life, self.sequence) if self.life else None

    def held(self, incarnation: Incarnation) -> Identity | None:
        identity = self.sessions.get(incarnation)
        if identity is None and incarnation in self.orphans:
            identity = self.orphans[incarnation].identity
        return identity

    def silence(self, now: Instant) -> float:
        """Since it was last heard, by whatever way, or known."""
        return now - (self.known_since if self.heard is None else self.heard)

    def direct_silence(self, now: Instant) -> float:
        """Since it last answered this keeper itself."""
        return now - (self.known_since if self.heard_directly is None else self.heard_directly)

    def is_late(self, told: SessionsTold) -> bool:
        """Another way was faster, or what was told says only what changed since something not known here."""
        same_life = self.life == told.position.life
        return (same_life and told.position.sequence < self.sequence) or not (same_life or told.whole)

    def take(self, told: SessionsTold, orphans_until: Instant) -> list[Incarnation]:
        """Gives the daemons whose sessions there changed."""
        changed = self._take_whole(told, orphans_until) if told.whole else self.drop(told.left)
        changed += [member.incarnation for member in told.joined if self.sessions.put(identity_of(member))]
        self.life, self.sequence, self.settling = told.position.life, told.position.sequence, told.settling
        if self.sessions.digest != told.digest:
            self.life = ""
        return changed

    def _take_whole(self, told: SessionsTold, orphans_until: Instant) -> list[Incarnation]:
        """Drops what is not told; while the keeper's life is young its sessions may still be on their way to it."""
        kept = {member.incarnation for member in told.joined}
        missing = [identity for identity in self.sessions.identities() if identity.incarnation not in kept]
        changed = self.drop([identity.incarnation for identity in missing])
        if told.settling:
            self.orphans |= {identity.incarnation: Orphan(identity, orphans_until) for identity in missing}
        return changed

    def drop(self, incarnations: Sequence[Incarnation]) -> list[Incarnation]:
        """Gives those that had a session there."""
        return [incarnation for incarnation in incarnations if self.sessions.drop(incarnation)]

    def drop_orphans(self, now: Instant) -> list[Incarnation]:
        """Gives those whose time is over."""
        over = [incarnation for incarnation, orphan in self.orphans.items() if now > orphan.until]
        for incarnation in over:
            del self.orphans[incarnation]
        return over
