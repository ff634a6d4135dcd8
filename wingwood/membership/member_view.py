"""A daemon's view of the members: its member list sorted by name, with change callbacks (docs/DESIGN.md section 8)."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ..identifiers import Incarnation
from ..transport.frames import Identity
from .member_list import MemberList


class MemberView:
    """Owns a daemon's member list and the callbacks for its changes; sorts only after a change.

    Implements ``Membership`` except for the confirmation of the daemon's own session.
    """

    def __init__(self, member_list: MemberList) -> None:
        self.member_list = member_list
        self._sorted_sequence = -1
        """Sequence number of the list that the sorted members reflect."""
        self._by_name: tuple[Identity, ...] = ()
        self._by_role: dict[str, tuple[Identity, ...]] = {}
        self._change_callbacks: list[Callable[[], None]] = []

    def members(self) -> tuple[Identity, ...]:
        """Returns all members sorted by name."""
        if self._sorted_sequence != self.member_list.sequence:
            self._sorted_sequence = self.member_list.sequence
            self._by_name = by_name(self.member_list.identities())
            self._by_role = {}
        return self._by_name

    def routers(self) -> tuple[Identity, ...]:
        """Returns the routers sorted by name."""
        return self._of_role("router")

    def controls(self) -> tuple[Identity, ...]:
        """Returns the control daemons sorted by name."""
        return self._of_role("control")

    def _of_role(self, role: str) -> tuple[Identity, ...]:
        members = self.members()
        if role not in self._by_role:
            self._by_role[role] = tuple(member for member in members if member.role == role)
        return self._by_role[role]

    def is_member(self, incarnation: Incarnation) -> bool:
        """Returns whether this process of a daemon is a member."""
        return incarnation in self.member_list

    def on_change(self, callback: Callable[[], None]) -> None:
        """Registers a callback for changes of the members."""
        self._change_callbacks.append(callback)

    def notify_change(self) -> None:
        """Calls the callbacks, after the list was changed."""
        for callback in self._change_callbacks:
            callback()


def by_name(identities: Sequence[Identity]) -> tuple[Identity, ...]:
    """Sorts the identities by name; of several incarnations with one name, the last one in the list is used."""
    latest = {identity.name: identity for identity in identities}
    return tuple(latest[name] for name in sorted(latest))
