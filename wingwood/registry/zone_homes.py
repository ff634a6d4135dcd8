"""Which router of each zone is the home of a pool (docs/DESIGN.md section 10.2)."""

from __future__ import annotations

from ..identifiers import PoolName, Zone
from ..membership.protocols import Membership
from ..membership.rendezvous import ranked
from ..transport.frames import Identity
from ..transport.messenger import Messenger

HomesByZone = dict[Zone, Identity]


class ZoneHomes:
    """Homes by rendezvous hashing among the routers of each zone, kept until those routers change."""

    def __init__(self, messenger: Messenger, membership: Membership, zone: Zone) -> None:
        self._messenger = messenger
        self._membership = membership
        self._zone = zone
        self._routers = self._group_routers()
        self._cache: dict[PoolName, HomesByZone] = {}
        self._stale: dict[PoolName, HomesByZone] = {}
        """Homes in zones that did not change, of pools not asked for since."""

    def of(self, pool: PoolName) -> HomesByZone:
        homes = self._cache.get(pool)
        if homes is None:
            stale = self._stale.pop(pool, {})
            homes = self._cache[pool] = {
                zone: stale.get(zone) or ranked(f"workers/{pool}", routers, lambda router: router.name)[0]
                for zone, routers in self._routers.items()
            }
        return homes

    def in_zone(self, pool: PoolName, zone: Zone) -> Identity | None:
        return self.of(pool).get(zone)

    def is_own(self, pool: PoolName) -> bool:
        """This daemon is the pool's home of its zone."""
        home = self.in_zone(pool, self._zone)
        return home is not None and home.incarnation == self._messenger.identity.incarnation

    def elsewhere(self, pool: PoolName) -> list[Identity]:
        """The homes of the other zones."""
        return [home for zone, home in self.of(pool).items() if zone != self._zone]

    def followed_zone(self) -> Zone:
        """The own zone, or the first with a router for a control daemon that stands alone in its zone."""
        zones = self._routers
        return self._zone if self._zone in zones or not zones else next(iter(zones))

    def count(self) -> int:
        """Zones with a router."""
        return len(self._routers)

    def regroup(self) -> dict[PoolName, HomesByZone]:
        """After a change of members; gives the homes before it.

        Homes are ranked anew only in zones whose routers changed: ranking costs a hash for each router and pool.
        """
        routers_before, self._routers = self._routers, self._group_routers()
        unchanged = {zone for zone, routers in self._routers.items() if routers_before.get(zone) == routers}
        before, self._cache = self._cache, {}
        self._stale = {
            pool: {zone: home for zone, home in homes.items() if zone in unchanged}
            for pool, homes in {**self._stale, **before}.items()
        }
        return before

    def _group_routers(self) -> dict[Zone, tuple[Identity, ...]]:
        zones: dict[Zone, list[Identity]] = {}
        for router in self._membership.routers():
            zones.setdefault(router.zone, []).append(router)
        return {zone: tuple(routers) for zone, routers in sorted(zones.items())}
