"""What one session keeper knows of another (docs/DESIGN.md section 8)."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from ..identifiers import Address, Incarnation, Instant
from ..transport.frames import Identity
from .member_list import MemberList
from .messages import Position, SessionsReport, identity_of


class Orphan(msgspec.Struct, frozen=True):
    """A session of a former life of a keeper, and until when it is reported."""

    identity: Identity
    until: Instant


class CoordinatorPeer:
    """Another session keeper's sessions, as it or others told them."""

    def __init__(self, address: Address, known_since: Instant) -> None:
        self.address = address
        self.known_since = known_since
        self.settling = False
        self.identity: Identity | None = None
        self.run_id = ""
        """Empty: what is known of its sessions is not exact, and is asked for whole."""
        self.sessions = MemberList(max_retained_changes=0)
        self.sequence = 0
        self.last_report_at: Instant | None = None
        """Own clock before the question whose answer came last, by whatever way."""
        self.last_direct_at: Instant | None = None
        self.inquired_at: Instant | None = None
        self.orphans: dict[Incarnation, Orphan] = {}

    def position(self) -> Position | None:
        return Position(self.run_id, self.sequence) if self.run_id else None

    def identity_of_session(self, incarnation: Incarnation) -> Identity | None:
        identity = self.sessions.get(incarnation)
        if identity is None and incarnation in self.orphans:
            identity = self.orphans[incarnation].identity
        return identity

    def silence_s(self, now: Instant) -> float:
        """Since it was last heard, by whatever way, or known."""
        return now - (self.known_since if self.last_report_at is None else self.last_report_at)

    def direct_silence_s(self, now: Instant) -> float:
        """Since it last answered this keeper itself."""
        return now - (self.known_since if self.last_direct_at is None else self.last_direct_at)

    def is_outdated(self, report: SessionsReport) -> bool:
        """Another way was faster, or what was told says only what changed since something not known here."""
        same_run = self.run_id == report.position.run_id
        return (same_run and report.position.sequence < self.sequence) or not (same_run or report.complete)

    def apply(self, report: SessionsReport, orphans_until: Instant) -> list[Incarnation]:
        """Gives the daemons whose sessions there changed."""
        changed = self._apply_complete(report, orphans_until) if report.complete else self.drop(report.left)
        changed += [member.incarnation for member in report.joined if self.sessions.put(identity_of(member))]
        self.run_id, self.sequence, self.settling = report.position.run_id, report.position.sequence, report.settling
        if self.sessions.digest != report.digest:
            self.run_id = ""
        return changed

    def _apply_complete(self, report: SessionsReport, orphans_until: Instant) -> list[Incarnation]:
        """Drops what is not told; while the keeper's life is young its sessions may still be on their way to it."""
        reported = {member.incarnation for member in report.joined}
        missing = [identity for identity in self.sessions.identities() if identity.incarnation not in reported]
        changed = self.drop([identity.incarnation for identity in missing])
        if report.settling:
            self.orphans |= {identity.incarnation: Orphan(identity, orphans_until) for identity in missing}
        return changed

    def drop(self, incarnations: Sequence[Incarnation]) -> list[Incarnation]:
        """Gives those that had a session there."""
        return [incarnation for incarnation in incarnations if self.sessions.drop(incarnation)]

    def drop_orphans(self, now: Instant) -> list[Incarnation]:
        """Gives those whose time is expired."""
        expired = [incarnation for incarnation, orphan in self.orphans.items() if now > orphan.until]
        for incarnation in expired:
            del self.orphans[incarnation]
        return expired
