"""Which routers of a zone take the bundle from control and pass it on (docs/DESIGN.md section 9.1)."""

from __future__ import annotations

from collections.abc import Sequence

from ..identifiers import Incarnation, Zone
from ..membership.rendezvous import ranked
from ..transport.frames import Identity

BUNDLE_SERVICE = "bundle"
TREE_ROOTS = 2
"""Daemons of a zone that are told first: the home, and a second one."""
FAN_OUT = 2
"""Daemons that one daemon passes a change on to: on a slow link each more of them takes its time."""


def ranked_routers(service: str, zone: Zone, routers: Sequence[Identity]) -> list[Identity]:
    """The zone's routers, the home daemon of that service first."""
    local = [router for router in routers if router.zone == zone]
    return ranked(f"home/{service}", local, lambda router: router.name)


def tree_roots_of(service: str, zone: Zone, routers: Sequence[Identity], count: int = TREE_ROOTS) -> list[Identity]:
    """The home daemon of that service in the zone, then those that follow in rank."""
    return ranked_routers(service, zone, routers)[:count]


def upstream_in(ranking: Sequence[Identity], own: Incarnation) -> Identity | None:
    """Who passes changes on to that daemon, in a tree over the zone's ranking; None for the home.

    The homes are its roots, and each daemon has ``FAN_OUT`` children: the next ranks in turn. A daemon that does not
    stand in the ranking yet is told by the home.
    """
    rank = next((rank for rank, router in enumerate(ranking) if router.incarnation == own), None)
    if rank is None:
        return ranking[0] if ranking else None
    if rank == 0:
        return None
    return ranking[max(0, rank - TREE_ROOTS) // FAN_OUT]


def zones_of(routers: Sequence[Identity]) -> list[Zone]:
    return sorted({router.zone for router in routers})
