"""Which routers of a zone take the bundle from control and pass it on (docs/DESIGN.md section 9.1)."""

from __future__ import annotations

from collections.abc import Sequence

from ..identifiers import Zone
from ..membership.rendezvous import ranked
from ..transport.frames import Identity

BUNDLE_SERVICE = "bundle"


def homes_of(service: str, zone: Zone, routers: Sequence[Identity], count: int = 2) -> list[Identity]:
    """The home daemon of that service in the zone, then those that follow in rank."""
    local = [router for router in routers if router.zone == zone]
    return ranked(f"home/{service}", local, lambda router: router.name)[:count]


def zones_of(routers: Sequence[Identity]) -> list[Zone]:
    return sorted({router.zone for router in routers})
