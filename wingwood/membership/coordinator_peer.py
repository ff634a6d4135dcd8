"""State that one coordinator has of another one (docs/DESIGN.md section 8)."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from ..identifiers import Address, Incarnation, Instant
from ..transport.frames import Identity
from .member_list import MemberList
from .messages import Position, SessionsReport, identity_of


class Orphan(msgspec.Struct, frozen=True):
    """A session of a coordinator's previous run, which is retained until ``until``."""

    identity: Identity
    until: Instant


class CoordinatorPeer:
    """Another coordinator's sessions, as reported by itself or by other coordinators."""

    def __init__(self, address: Address, known_since: Instant) -> None:
        self.address = address
        self.known_since = known_since
        self.warming_up = False
        self.identity: Identity | None = None
        self.run_id = ""
        """Process run of the sessions; empty if they are not exact, so that the complete list is requested."""
        self.sessions = MemberList(max_retained_changes=0)
        self.sequence = 0
        self.last_report_at: Instant | None = None
        """Local time before the request whose answer, direct or relayed, is the latest one."""
        self.last_direct_at: Instant | None = None
        """Local time before the latest request that the coordinator itself answered."""
        self.inquired_at: Instant | None = None
        """Local time at which other coordinators were last asked for this one."""
        self.orphans: dict[Incarnation, Orphan] = {}

    def position(self) -> Position | None:
        """Returns the state of the copied sessions; None if the complete list must be requested."""
        return Position(self.run_id, self.sequence) if self.run_id else None

    def identity_of_session(self, incarnation: Incarnation) -> Identity | None:
        """Returns the daemon's identity if it has a session here, or had one in the coordinator's previous run."""
        identity = self.sessions.get(incarnation)
        if identity is None and incarnation in self.orphans:
            identity = self.orphans[incarnation].identity
        return identity

    def report_age_s(self, now: Instant) -> float:
        """Returns the time since its latest report, direct or relayed, or since it became known."""
        return now - (self.known_since if self.last_report_at is None else self.last_report_at)

    def direct_answer_age_s(self, now: Instant) -> float:
        """Returns the time since its latest direct answer, or since it became known."""
        return now - (self.known_since if self.last_direct_at is None else self.last_direct_at)

    def is_outdated(self, report: SessionsReport) -> bool:
        """Returns whether the report cannot be applied.

        Either a later report arrived by another path, or the report contains only changes to an unknown state.
        """
        same_run = self.run_id == report.position.run_id
        return (same_run and report.position.sequence < self.sequence) or not (same_run or report.complete)

    def apply(self, report: SessionsReport, orphans_until: Instant) -> list[Incarnation]:
        """Applies the report; returns the daemons whose sessions at the coordinator changed."""
        changed = self._apply_complete(report, orphans_until) if report.complete else self.drop(report.left)
        changed += [member.incarnation for member in report.joined if self.sessions.put(identity_of(member))]
        self.run_id, self.sequence = report.position.run_id, report.position.sequence
        self.warming_up = report.warming_up
        if self.sessions.digest != report.digest:
            self.run_id = ""
        return changed

    def _apply_complete(self, report: SessionsReport, orphans_until: Instant) -> list[Incarnation]:
        """Drops the sessions that are not reported.

        While the coordinator is warming up after a start, they become orphans, since they may still move to it.
        """
        reported = {member.incarnation for member in report.joined}
        missing = [identity for identity in self.sessions.identities() if identity.incarnation not in reported]
        changed = self.drop([identity.incarnation for identity in missing])
        if report.warming_up:
            self.orphans |= {identity.incarnation: Orphan(identity, orphans_until) for identity in missing}
        return changed

    def drop(self, incarnations: Sequence[Incarnation]) -> list[Incarnation]:
        """Drops the sessions; returns the daemons that had one."""
        return [incarnation for incarnation in incarnations if self.sessions.drop(incarnation)]

    def drop_orphans(self, now: Instant) -> list[Incarnation]:
        """Drops the orphans that have expired and returns them."""
        expired = [incarnation for incarnation, orphan in self.orphans.items() if now > orphan.until]
        for incarnation in expired:
            del self.orphans[incarnation]
        return expired
