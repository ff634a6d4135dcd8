"""Selection of the router that allocates a tenant's share (docs/DESIGN.md section 14)."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from ..context.protocols import Clock
from ..identifiers import Instant, Seconds, TenantName
from ..membership.protocols import Membership
from ..membership.rendezvous import weight
from ..transport.frames import Identity


class _WeightedRouter(msgspec.Struct, frozen=True):
    """A tenant's allocator, with its weight in the rendezvous hashing."""

    weight: int
    router: Identity


class _Departure(msgspec.Struct, frozen=True):
    """A router that left the membership."""

    router: Identity
    left_at: Instant


class AllocatorSelector:
    """Selects each tenant's share allocator and its standby among the routers by rendezvous hashing.

    Selections are updated incrementally: a router that joins or leaves costs one hash per known
    tenant, not one per tenant and router.
    """

    def __init__(self, membership: Membership, clock: Clock | None = None) -> None:
        self._membership = membership
        self._clock = clock
        self._departures: dict[str, _Departure] = {}
        """Routers, by name, that left the membership and have not returned."""
        self._routers: dict[str, Identity] = {}
        """The routers by ``_key``."""
        self._allocators: dict[TenantName, _WeightedRouter] = {}
        self._standbys: dict[TenantName, Identity | None] = {}
        self._stale = True
        membership.on_change(self._mark_stale)

    def _mark_stale(self) -> None:
        self._stale = True

    def allocator(self, tenant: TenantName) -> Identity | None:
        """Returns the router that allocates the tenant's share, or None while no router is known."""
        self._refresh()
        selected = self._allocators.get(tenant)
        if selected is None:
            if not self._routers:
                return None
            candidates = (_WeightedRouter(weight(tenant, key), router) for key, router in sorted(self._routers.items()))
            selected = self._allocators[tenant] = max(candidates, key=_weight_of)
        return selected.router

    def standby(self, tenant: TenantName) -> Identity | None:
        """Returns the router that becomes allocator when the present one leaves; None without another router."""
        self._refresh()
        if tenant not in self._standbys:
            allocator = self.allocator(tenant)
            others = [
                (weight(tenant, key), key) for key, router in sorted(self._routers.items()) if router != allocator
            ]
            self._standbys[tenant] = self._routers[max(others)[1]] if others else None
        return self._standbys[tenant]

    def routers(self) -> list[Identity]:
        """Returns the routers in sorted order; while this daemon's membership view is empty, the last known ones."""
        self._refresh()
        return [self._routers[key] for key in sorted(self._routers)]

    def count(self) -> int:
        """Returns the number of known routers."""
        self._refresh()
        return len(self._routers)

    def recently_departed(self, within: Seconds) -> list[Identity]:
        """Returns routers that left the membership at most ``within`` seconds ago and did not return or restart."""
        self._refresh()
        if self._clock is None:
            return []
        now = self._clock.monotonic()
        for name in [name for name, departure in self._departures.items() if now - departure.left_at > within]:
            del self._departures[name]
        return [departure.router for departure in self._departures.values()]

    def may_have_been_allocator(self, tenant: TenantName, missing: Sequence[Identity]) -> bool:
        """Returns whether a ``missing`` router may have been the allocator: it would be, if it were a member."""
        allocator = self.allocator(tenant)
        if allocator is None:
            return bool(missing)
        own = weight(tenant, _key(allocator))
        return any(weight(tenant, _key(router)) >= own for router in missing)

    def _record_departures(self, before: dict[str, Identity], now: dict[str, Identity]) -> None:
        present = {router.name for router in now.values()}
        if self._clock is None:
            return
        for router in before.values():
            if router.name not in present:
                self._departures.setdefault(router.name, _Departure(router, self._clock.monotonic()))
        for name in present:
            self._departures.pop(name, None)

    def _refresh(self) -> None:
        if not self._stale:
            return
        self._stale = False
        now = {_key(router): router for router in self._membership.routers()}
        if not now:
            return
        self._standbys.clear()
        before, self._routers = self._routers, now
        self._record_departures(before, now)
        self._update_allocators(before, now)

    def _update_allocators(self, before: dict[str, Identity], now: dict[str, Identity]) -> None:
        """Replaces allocators that left, at their next use, and those with less weight than a router that joined."""
        joined = sorted(key for key in now if key not in before)
        left = {key for key in before if key not in now}
        for tenant, selected in list(self._allocators.items()):
            if _key(selected.router) in left:
                del self._allocators[tenant]
                continue
            candidates = (_WeightedRouter(weight(tenant, key), now[key]) for key in joined)
            rival = max(candidates, key=_weight_of, default=None)
            if rival is not None and rival.weight > selected.weight:
                self._allocators[tenant] = rival


def _key(router: Identity) -> str:
    return f"{router.name}/{router.incarnation}"


def _weight_of(candidate: _WeightedRouter) -> int:
    return candidate.weight
