"""The view, which says who is a member, primary or backup, and the prepared epoch (docs/DESIGN.md section 7.1)."""

from __future__ import annotations

from typing import ClassVar

import msgspec

from ..identifiers import Address, DaemonName, Epoch, Incarnation


class ViewMember(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A member of a view: the identity and address of a control daemon."""

    WIRE_NAME: ClassVar[str] = "Seat"

    incarnation: Incarnation
    name: DaemonName
    address: Address


class View(msgspec.Struct, frozen=True, array_like=True):
    """Which daemons are members, primary and backups under an epoch (section 7.1)."""

    epoch: Epoch
    primary: Incarnation
    backups: tuple[Incarnation, ...]
    """Every backup syncs a record to disk before the record is acknowledged; empty right after a failover."""
    members: tuple[ViewMember, ...]
    holders: tuple[Incarnation, ...]
    """Members whose disks have every record that was ever acknowledged."""
    former: tuple[ViewMember, ...] = ()
    """Members of the previous view, if they differ and this view is not yet known to be chosen."""

    def member(self, incarnation: Incarnation | None) -> ViewMember | None:
        """Returns the member with this incarnation, or None when it is no member."""
        return next((member for member in self.members if member.incarnation == incarnation), None)

    def incarnations(self) -> tuple[Incarnation, ...]:
        """Returns the incarnations of the members, in the order of the members."""
        return tuple(member.incarnation for member in self.members)

    def others(self, own: Incarnation) -> list[ViewMember]:
        """Returns the members except the one with the incarnation ``own``."""
        return [member for member in self.members if member.incarnation != own]

    def majority(self, incarnations: set[Incarnation]) -> bool:
        """Whether ``incarnations`` contains a majority of the members; others in it do not count."""
        return _majority(self.members, incarnations)

    def quorum(self, incarnations: set[Incarnation]) -> bool:
        """Whether ``incarnations`` suffices to choose this view or to build on it.

        It needs a majority of the members and, while there are former members, a majority of those too.
        """
        return self.majority(incarnations) and (not self.former or _majority(self.former, incarnations))

    def acceptors(self) -> tuple[ViewMember, ...]:
        """All members and former members, without duplicates."""
        return tuple({member.incarnation: member for member in (*self.former, *self.members)}.values())

    def as_chosen(self) -> View:
        """Returns the same view, known to be chosen: its former members are no longer asked."""
        return msgspec.structs.replace(self, former=()) if self.former else self

    def supersedes(self, other: View | None) -> bool:
        """Whether this view has a higher epoch than ``other``, or is the same view and now known to be chosen."""
        if other is None or self.epoch != other.epoch:
            return other is None or self.epoch > other.epoch
        return bool(other.former) and not self.former


def _majority(members: tuple[ViewMember, ...], incarnations: set[Incarnation]) -> bool:
    return 2 * sum(member.incarnation in incarnations for member in members) > len(members)


class PreparedEpoch(msgspec.Struct, frozen=True, array_like=True):
    """The highest epoch that an acceptor has prepared, and for which candidate.

    The acceptor accepts nothing under a lower epoch, and prepares an epoch for one candidate only.
    """

    WIRE_NAME: ClassVar[str] = "Promise"

    epoch: Epoch
    candidate: Incarnation
    """Empty ("") under epoch 0, when nothing has been prepared yet."""


NOTHING_PREPARED = PreparedEpoch(Epoch(0), Incarnation(""))
"""The prepared epoch of a member whose journal is new."""
