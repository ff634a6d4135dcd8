"""Which view a primary wants next: spares for lost members, live members as backups (docs/DESIGN.md section 7.4)."""

from __future__ import annotations

from collections.abc import Sequence

from ..identifiers import Incarnation, Instant
from .lead import Lead
from .limits import ControlLimits
from .messages import Seat, View

FAILED_RECENTLY = 5.0
"""A member that failed as backup within so many seconds is chosen after the others."""


class ViewPlan:
    """The view that a primary wants next, and the views on which it may be built."""

    def __init__(self, seats: tuple[Seat, ...], members: tuple[Seat, ...], base: View) -> None:
        self.seats = seats
        """The backups."""
        self.members = members
        changed = {seat.incarnation for seat in members} != set(base.incarnations())
        self.former = base.members if changed else ()
        """``base`` is chosen, so its own former members need not be asked again."""
        self.bases = [base]
        """``base``, then the planned views that were not accepted by enough."""

    @property
    def backups(self) -> tuple[Incarnation, ...]:
        return tuple(seat.incarnation for seat in self.seats)


class ViewPlanner:
    """Plans the next view of the primary ``own``, with so many backups and members as are wanted."""

    def __init__(self, own: Seat, limits: ControlLimits, backups_wanted: int, members_wanted: int) -> None:
        self._own = own
        self._limits = limits
        self._backups_wanted = backups_wanted
        self._members_wanted = members_wanted

    def plan(self, lead: Lead, now: Instant) -> ViewPlan | None:
        """None when the present view is as wanted, or when a better one is not possible yet."""
        view = lead.view
        members = self._wanted_members(lead, now)
        backups = self._wanted_backups(lead, members, now)
        as_wanted = members == view.members and {seat.incarnation for seat in backups} == set(view.backups)
        if as_wanted and lead.in_sync and not lead.outbid:
            return None
        if len(backups) < self._backups_wanted or self._any_paused(lead, backups, now):
            return None
        return ViewPlan(backups, members, view)

    def _any_paused(self, lead: Lead, backups: Sequence[Seat], now: Instant) -> bool:
        """One of them failed as backup so recently that it is not tried again yet."""
        paused = Instant(now - self._limits.recruit_pause)
        return any(lead.failed.get(seat.incarnation, paused) > paused for seat in backups)

    def _wanted_members(self, lead: Lead, now: Instant) -> tuple[Seat, ...]:
        """The members as they are, with spares in the seats of those that are gone and in empty ones."""
        spares = self._live_spares(lead, now)
        moved = {seat.incarnation: seat for seat in (self._own, *spares)}
        members = [moved.get(seat.incarnation, seat) for seat in lead.view.members]
        newcomers = [seat for seat in spares if lead.view.seat(seat.incarnation) is None]
        for seat in [seat for seat in members if self._is_gone(lead, seat, now)][: len(newcomers)]:
            members[members.index(seat)] = newcomers.pop(0)
        missing = max(0, self._members_wanted - len(members))
        return (*members, *newcomers[:missing])

    def _live_spares(self, lead: Lead, now: Instant) -> list[Seat]:
        """The most recently heard first."""
        newest_first = sorted(lead.spares.values(), key=lambda spare: (-spare.heard, spare.seat))
        return [spare.seat for spare in newest_first if now - spare.heard < self._limits.spare_silent]

    def _is_gone(self, lead: Lead, seat: Seat, now: Instant) -> bool:
        if seat.incarnation == self._own.incarnation:
            return False
        return lead.is_gone(seat.incarnation, now, self._limits.member_gone)

    def _wanted_backups(self, lead: Lead, members: Sequence[Seat], now: Instant) -> tuple[Seat, ...]:
        """The backups that are well, and the likeliest of the other live members in place of the rest."""
        well = [seat for seat in members if self._is_well(lead, seat, now)]
        others = [seat for seat in members if seat not in well and self._may_back_up(lead, seat, now)]
        recently = now - FAILED_RECENTLY

        def unlikely(seat: Seat) -> tuple[bool, bool, float]:
            failed = lead.failed.get(seat.incarnation, Instant(0.0)) > recently
            return failed, lead.view.seat(seat.incarnation) is None, -lead.answered.get(seat.incarnation, 0.0)

        return (*well, *sorted(others, key=unlikely))[: self._backups_wanted]

    def _is_well(self, lead: Lead, seat: Seat, now: Instant) -> bool:
        """A backup already, live, and it has left no batch undone."""
        member = seat.incarnation
        return member in lead.view.backups and member not in lead.failing and self._is_live(lead, seat, now)

    def _may_back_up(self, lead: Lead, seat: Seat, now: Instant) -> bool:
        """A newcomer (it asked for its seat lately), or another live member."""
        if seat.incarnation == self._own.incarnation:
            return False
        return lead.view.seat(seat.incarnation) is None or self._is_live(lead, seat, now)

    def _is_live(self, lead: Lead, seat: Seat, now: Instant) -> bool:
        return lead.is_live(seat.incarnation, now, self._limits.member_silent)
