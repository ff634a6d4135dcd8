"""Plans the next view of a primary: spares replace lost members, live members back up (docs/DESIGN.md section 7.4)."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from ..identifiers import Incarnation, Instant
from .control_options import ControlOptions
from .leadership import Leadership
from .views import View, ViewMember

RECENT_FAILURE_S = 5.0
"""A member that failed as a backup within this time is chosen only after the others."""


class ViewPlan:
    """The view to which a primary changes next, and the views on which it may be built."""

    def __init__(self, backup_members: tuple[ViewMember, ...], members: tuple[ViewMember, ...], base: View) -> None:
        self.backup_members = backup_members
        """The planned backups."""
        self.members = members
        changed = {member.incarnation for member in members} != set(base.incarnations())
        self.former = base.members if changed else ()
        """The members of ``base`` if the plan changes the members.

        ``base`` itself is chosen, so its own former members need not be asked again.
        """
        self.bases = [base]
        """The views on which the plan may be built: ``base``, then its own proposals that too few members accepted."""

    @property
    def backups(self) -> tuple[Incarnation, ...]:
        """The incarnations of the planned backups."""
        return tuple(member.incarnation for member in self.backup_members)


class ClusterSize(msgspec.Struct, frozen=True):
    """How many members and backups a cluster needs, so that ``failures_tolerated`` of them may be lost at once."""

    failures_tolerated: int

    @property
    def backups(self) -> int:
        """The number of backups, which have the state on disk as the primary does."""
        return self.failures_tolerated

    @property
    def members(self) -> int:
        """The number of members, of which a majority must remain to choose a view."""
        return 2 * self.failures_tolerated + 1


class ViewPlanner:
    """Plans the next view of the primary ``own``, with the members and backups that ``size`` asks for."""

    def __init__(self, own: ViewMember, options: ControlOptions, size: ClusterSize) -> None:
        self._own = own
        self._options = options
        self._size = size

    def has_desired_backups(self, view: View) -> bool:
        """Whether the view has as many backups as the size of the cluster asks for."""
        return len(view.backups) >= self._size.backups

    def plan(self, leadership: Leadership, now: Instant) -> ViewPlan | None:
        """Returns None when the current view is as desired, or when a better one is not possible yet."""
        view = leadership.view
        members = self._desired_members(leadership, now)
        backups = self._desired_backups(leadership, members, now)
        as_desired = members == view.members and {member.incarnation for member in backups} == set(view.backups)
        if as_desired and leadership.in_sync and not leadership.epoch_superseded:
            return None
        if len(backups) < self._size.backups or self._any_backing_off(leadership, backups, now):
            return None
        return ViewPlan(backups, members, view)

    def _any_backing_off(self, leadership: Leadership, backups: Sequence[ViewMember], now: Instant) -> bool:
        """Whether one of ``backups`` failed so recently that it is not recruited again yet."""
        earliest = Instant(now - self._options.recruit_backoff)
        return any(leadership.failed_at.get(member.incarnation, earliest) > earliest for member in backups)

    def _desired_members(self, leadership: Leadership, now: Instant) -> tuple[ViewMember, ...]:
        """Returns the current members, with spares in place of departed members and where members are missing."""
        spares = self._live_spares(leadership, now)
        updated = {member.incarnation: member for member in (self._own, *spares)}
        members = [updated.get(member.incarnation, member) for member in leadership.view.members]
        joining = [member for member in spares if leadership.view.member(member.incarnation) is None]
        for member in [member for member in members if self._is_departed(leadership, member, now)][: len(joining)]:
            members[members.index(member)] = joining.pop(0)
        missing = max(0, self._size.members - len(members))
        return (*members, *joining[:missing])

    def _live_spares(self, leadership: Leadership, now: Instant) -> list[ViewMember]:
        """Returns the spares that asked to join recently, the most recent request first."""
        latest_first = sorted(leadership.spares.values(), key=lambda spare: (-spare.last_requested, spare.member))
        return [spare.member for spare in latest_first if now - spare.last_requested < self._options.spare_timeout]

    def _is_departed(self, leadership: Leadership, member: ViewMember, now: Instant) -> bool:
        if member.incarnation == self._own.incarnation:
            return False
        return leadership.is_departed(member.incarnation, now, self._options.member_departed_after)

    def _desired_backups(
        self, leadership: Leadership, members: Sequence[ViewMember], now: Instant
    ) -> tuple[ViewMember, ...]:
        """Returns the healthy backups, and in place of the others the live members most likely to succeed."""
        healthy = [member for member in members if self._is_healthy_backup(leadership, member, now)]
        others = [member for member in members if member not in healthy and self._may_back_up(leadership, member, now)]
        recently = now - RECENT_FAILURE_S

        def preference(member: ViewMember) -> tuple[bool, bool, float]:
            failed_recently = leadership.failed_at.get(member.incarnation, Instant(0.0)) > recently
            return (
                failed_recently,
                leadership.view.member(member.incarnation) is None,
                -leadership.answered.get(member.incarnation, 0.0),
            )

        return (*healthy, *sorted(others, key=preference))[: self._size.backups]

    def _is_healthy_backup(self, leadership: Leadership, member: ViewMember, now: Instant) -> bool:
        """Whether the member is already a backup, is live, and has journaled every batch sent to it."""
        incarnation = member.incarnation
        return (
            incarnation in leadership.view.backups
            and incarnation not in leadership.failing_backups
            and self._is_live(leadership, member, now)
        )

    def _may_back_up(self, leadership: Leadership, member: ViewMember, now: Instant) -> bool:
        """Whether the member is a joining one, which asked to join recently, or another live member."""
        if member.incarnation == self._own.incarnation:
            return False
        return leadership.view.member(member.incarnation) is None or self._is_live(leadership, member, now)

    def _is_live(self, leadership: Leadership, member: ViewMember, now: Instant) -> bool:
        return leadership.is_live(member.incarnation, now, self._options.member_timeout)
