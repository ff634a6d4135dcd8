"""The distribution tree: which routers of a zone get bundles from control and forward them to which others
(docs/DESIGN.md section 9.1).
"""

from __future__ import annotations

from collections.abc import Sequence

from ..identifiers import Incarnation, Zone
from ..membership.protocols import Membership
from ..membership.rendezvous import ranked
from ..transport.frames import Identity

BUNDLE_SERVICE = "bundle"
"""The name under which the routers of a zone are ranked for bundle distribution."""
TREE_ROOTS = 2
"""The number of routers of a zone that the primary posts changes to; a second root covers a failure of the first."""
FAN_OUT = 2
"""The number of routers to which one router forwards a change; on a slow link each further one adds delay."""


def ranked_routers(service: str, zone: Zone, routers: Sequence[Identity]) -> list[Identity]:
    """Returns the routers of ``zone`` in their rank for ``service``, the first tree root first."""
    local = [router for router in routers if router.zone == zone]
    return ranked(f"home/{service}", local, lambda router: router.name)


def tree_roots_of(service: str, zone: Zone, routers: Sequence[Identity], count: int = TREE_ROOTS) -> list[Identity]:
    """Returns the first ``count`` routers of ``zone`` in their rank for ``service``: the roots of its tree."""
    return ranked_routers(service, zone, routers)[:count]


def upstream_in(ranking: Sequence[Identity], own: Incarnation) -> Identity | None:
    """Returns the router that forwards changes to the router with incarnation ``own``; None for the first root.

    The tree spans the zone's ranking: the first ``TREE_ROOTS`` routers are its roots, and each router has ``FAN_OUT``
    children, which are the next ranks in turn. The second root also subscribes at the first one. A router that is not
    in the ranking yet has the first root as its upstream router.
    """
    rank = next((rank for rank, router in enumerate(ranking) if router.incarnation == own), None)
    if rank is None:
        return ranking[0] if ranking else None
    if rank == 0:
        return None
    return ranking[max(0, rank - TREE_ROOTS) // FAN_OUT]


def zones_of(routers: Sequence[Identity]) -> list[Zone]:
    """Returns the zones that have routers, sorted."""
    return sorted({router.zone for router in routers})


class TreePosition:
    """The place of one router in the distribution tree of its zone, recomputed only when the members have changed."""

    def __init__(self, own: Identity, membership: Membership) -> None:
        self._own = own
        self._membership = membership
        self._routers: Sequence[Identity] | None = None
        """All routers, from which the ranking was computed."""
        self._ranking: Sequence[Identity] = ()
        self._upstream: Identity | None = None

    def upstream(self) -> Identity | None:
        """Returns the router that forwards changes to this one.

        None while this is the first tree root of its zone, or knows no router.
        """
        self._update()
        return self._upstream

    def tree_roots(self) -> Sequence[Identity]:
        """Returns the tree roots of the own zone, the first one first."""
        self._update()
        return self._ranking[:TREE_ROOTS]

    def is_tree_root(self) -> bool:
        """Whether this router is a tree root of its zone."""
        return any(tree_root.incarnation == self._own.incarnation for tree_root in self.tree_roots())

    def _update(self) -> None:
        routers = self._membership.routers()
        if self._routers is not routers:
            self._routers = routers
            self._ranking = ranked_routers(BUNDLE_SERVICE, self._own.zone, routers)
            self._upstream = upstream_in(self._ranking, self._own.incarnation)
