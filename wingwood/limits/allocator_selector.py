"""Selection of the router that allocates a tenant's share (docs/DESIGN.md section 14)."""

from __future__ import annotations

from collections.abc import Sequence

from ..context.protocols import Clock
from ..identifiers import Instant, Seconds, TenantName
from ..membership.protocols import Membership
from ..membership.rendezvous import weight
from ..transport.frames import Identity


class AllocatorSelector:
    """Selects each tenant's share allocator and deputy among the routers by rendezvous hashing.

    Selections are updated incrementally: a router that joins or leaves costs one hash per known
    tenant, not one per tenant and router.
    """

    def __init__(self, membership: Membership, clock: Clock | None = None) -> None:
        self._membership = membership
        self._clock = clock
        self._departed: dict[str, tuple[Identity, Instant]] = {}
        """Routers, by name, that left the membership and have not returned, with the time at which they left."""
        self._routers: dict[str, Identity] = {}
        self._allocators: dict[TenantName, tuple[int, Identity]] = {}
        self._deputies: dict[TenantName, Identity | None] = {}
        self._stale = True
        membership.on_change(self._mark_stale)

    def _mark_stale(self) -> None:
        self._stale = True

    def allocator(self, tenant: TenantName) -> Identity | None:
        """Returns the router that allocates the tenant's share, or None while no router is known."""
        self._refresh()
        found = self._allocators.get(tenant)
        if found is None:
            if not self._routers:
                return None
            found = max(
                ((weight(tenant, key), router) for key, router in sorted(self._routers.items())),
                key=lambda candidate: candidate[0],
            )
            self._allocators[tenant] = found
        return found[1]

    def deputy(self, tenant: TenantName) -> Identity | None:
        """Returns the router that becomes allocator when the present one leaves; None without another router."""
        self._refresh()
        if tenant not in self._deputies:
            allocator = self.allocator(tenant)
            others = [
                (weight(tenant, key), key) for key, router in sorted(self._routers.items()) if router != allocator
            ]
            self._deputies[tenant] = self._routers[max(others)[1]] if others else None
        return self._deputies[tenant]

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
        for name in [name for name, (_, since) in self._departed.items() if now - since > within]:
            del self._departed[name]
        return [router for router, _ in self._departed.values()]

    def may_have_been_allocator(self, tenant: TenantName, missing: Sequence[Identity]) -> bool:
        """Returns whether a ``missing`` router may have been the allocator: it would be, if it were a member."""
        allocator = self.allocator(tenant)
        if allocator is None:
            return bool(missing)
        own = weight(tenant, f"{allocator.name}/{allocator.incarnation}")
        return any(weight(tenant, f"{router.name}/{router.incarnation}") >= own for router in missing)

    def _record_departures(self, before: dict[str, Identity], now: dict[str, Identity]) -> None:
        present = {router.name for router in now.values()}
        if self._clock is None:
            return
        for router in before.values():
            if router.name not in present:
                self._departed.setdefault(router.name, (router, self._clock.monotonic()))
        for name in present:
            self._departed.pop(name, None)

    def _refresh(self) -> None:
        if not self._stale:
            return
        self._stale = False
        now = {f"{router.name}/{router.incarnation}": router for router in self._membership.routers()}
        if not now:
            return
        self._deputies.clear()
        before = self._routers
        self._routers = now
        self._record_departures(before, now)
        added = sorted(key for key in now if key not in before)
        departed = {key for key in before if key not in now}
        for tenant, (best, router) in list(self._allocators.items()):
            if f"{router.name}/{router.incarnation}" in departed:
                del self._allocators[tenant]
                continue
            rival = max(((weight(tenant, key), key) for key in added), default=None)
            if rival is not None and rival[0] > best:
                self._allocators[tenant] = (rival[0], now[rival[1]])
