"""Selects the router of each zone that owns a pool's worker list (docs/DESIGN.md section 10.2)."""

from __future__ import annotations

from ..identifiers import PoolName, Zone
from ..membership.protocols import Membership
from ..membership.rendezvous import ranked
from ..transport.frames import Identity
from ..transport.messenger import Messenger

OwnersByZone = dict[Zone, Identity]


class PoolOwners:
    """Owners by rendezvous hashing among the routers of each zone, cached until those routers change."""

    def __init__(self, messenger: Messenger, membership: Membership, zone: Zone) -> None:
        self._messenger = messenger
        self._membership = membership
        self._zone = zone
        self._routers = self._group_routers()
        self._cache: dict[PoolName, OwnersByZone] = {}
        self._stale: dict[PoolName, OwnersByZone] = {}
        """Owners in zones that did not change, of pools that were not requested since the last refresh."""

    def by_zone(self, pool: PoolName) -> OwnersByZone:
        """Returns the pool's owner in each zone that has a router."""
        owners = self._cache.get(pool)
        if owners is None:
            stale = self._stale.pop(pool, {})
            owners = self._cache[pool] = {
                zone: stale.get(zone) or ranked(f"workers/{pool}", routers, lambda router: router.name)[0]
                for zone, routers in self._routers.items()
            }
        return owners

    def in_zone(self, pool: PoolName, zone: Zone) -> Identity | None:
        """Returns the pool's owner in the zone; None if the zone has no router."""
        return self.by_zone(pool).get(zone)

    def is_own(self, pool: PoolName) -> bool:
        """Returns whether this daemon is the pool's owner in its zone."""
        owner = self.in_zone(pool, self._zone)
        return owner is not None and owner.incarnation == self._messenger.identity.incarnation

    def in_other_zones(self, pool: PoolName) -> list[Identity]:
        """Returns the pool's owners in the other zones."""
        return [owner for zone, owner in self.by_zone(pool).items() if zone != self._zone]

    def followed_zone(self) -> Zone:
        """Returns the zone whose owners this daemon follows.

        That is its own zone, or the first zone with a router for a control daemon in a zone without routers.
        """
        zones = self._routers
        return self._zone if self._zone in zones or not zones else next(iter(zones))

    def zone_count(self) -> int:
        """Returns the number of zones with a router."""
        return len(self._routers)

    def refresh(self) -> dict[PoolName, OwnersByZone]:
        """Recomputes the owners after a change of members and returns the previous ones.

        Owners are ranked again only in zones whose routers changed: ranking costs a hash for each router and pool.
        """
        routers_before, self._routers = self._routers, self._group_routers()
        unchanged = {zone for zone, routers in self._routers.items() if routers_before.get(zone) == routers}
        before, self._cache = self._cache, {}
        self._stale = {
            pool: {zone: owner for zone, owner in owners.items() if zone in unchanged}
            for pool, owners in {**self._stale, **before}.items()
        }
        return before

    def _group_routers(self) -> dict[Zone, tuple[Identity, ...]]:
        zones: dict[Zone, list[Identity]] = {}
        for router in self._membership.routers():
            zones.setdefault(router.zone, []).append(router)
        return {zone: tuple(routers) for zone, routers in sorted(zones.items())}
