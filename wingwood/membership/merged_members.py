"""The members according to all coordinators, merged on each of them (docs/DESIGN.md section 8.2)."""

from __future__ import annotations

from collections import Counter

from ..identifiers import Address, Incarnation
from ..transport.frames import Identity
from .coordinator_peers import CoordinatorPeers
from .member_list import MemberList
from .member_view import MemberView


class MergedMembers:
    """Keeps the member view equal to the union of the local sessions and the peers' sessions.

    A daemon is a member while any coordinator has a session of it, according to the reports received here.
    """

    def __init__(self, view: MemberView, local: MemberList, peers: CoordinatorPeers) -> None:
        self._view = view
        self._local = local
        self._peers = peers

    def update(self, *incarnations: Incarnation) -> None:
        """Recomputes whether the daemons are members, after a change of their sessions."""
        changed = False
        for incarnation in incarnations:
            identity = self._reported_identity(incarnation)
            if identity is None:
                changed |= self._view.member_list.drop(incarnation)
            else:
                changed |= self._view.member_list.put(identity)
        if changed:
            self._view.notify_change()

    def processes_per_address(self) -> Counter[Address]:
        """Returns how many processes at each internal address are members."""
        return Counter(member.internal for member in self._view.member_list.identities())

    def _reported_identity(self, incarnation: Incarnation) -> Identity | None:
        """Returns the daemon's identity from the local sessions, or else from another coordinator's report."""
        identity = self._local.get(incarnation)
        return self._peers.identity_of_session(incarnation) if identity is None else identity
