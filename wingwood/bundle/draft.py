"""A draft of the next bundle: changes are applied to it, then everything they can have broken is checked.

See docs/DESIGN.md section 5.2. All checks raise ``BundleCheckError``.
"""

from __future__ import annotations

import heapq
from bisect import insort
from collections.abc import Collection, Mapping

from ..identifiers import ClassName, KeyDigest, PoolName, ServiceName, SliceName, TenantName
from .errors import BundleCheckError, BundleError
from .field_checks import ParsedSlice
from .gradual import Steps
from .model import Bundle, CallerLimits, Edition, Pool, PriorityClass, Rollout, Service, Tenant
from .route import Route
from .route_index import RouteIndex

SLICES_PER_STEP = 1_000
"""Slices that are processed before other tasks may run."""
MAX_INSERTED_ROUTES = 100
"""Up to this many changed routes are inserted one by one into the sorted list; more are sorted and merged with it."""


class Draft:
    """Copies of the tables of the base bundle, to which a change is applied."""

    def __init__(self, base: Bundle) -> None:
        self._base = base
        self.services: dict[ServiceName, Service] = dict(base.services)
        self.routes: dict[str, Route] = {route.name: route for route in base.routes}
        self.classes: dict[ClassName, PriorityClass] = dict(base.classes)
        self.tenants: dict[TenantName, Tenant] = dict(base.tenants)
        self.keys: dict[KeyDigest, TenantName] = dict(base.keys)
        self.variants = dict(base.variants)
        self.rollouts: dict[str, Rollout] = dict(base.rollouts)
        self.pools: dict[PoolName, Pool] = dict(base.pools)
        self.caller_limits: CallerLimits | None = base.caller_limits
        self.edition: Edition | None = base.edition
        self._replaced_routes: list[Route] = []
        """Routes of the base bundle that were removed or replaced."""
        self._new_routes: list[Route] = []
        self._new_services: list[Service] = []
        self._new_tenants: list[Tenant] = []
        self._removed_kinds: set[str] = set()
        """Kinds of the removed slices; slices that refer to one of these kinds must be checked again."""
        self._pools_newly_declared = not base.pools
        """The base bundle declares no pools, so its services were never checked against them."""

    def remove(self, name: SliceName) -> None:
        """Removes a slice of the base bundle."""
        kind, _, bare = name.partition("/")
        if "@" in bare:
            del self.variants[name]
            return
        self._removed_kinds.add(kind)
        match kind:
            case "rollout":
                del self.rollouts[bare]
            case "service":
                del self.services[ServiceName(bare)]
            case "route":
                self._replaced_routes.append(self.routes.pop(bare))
            case "class":
                del self.classes[ClassName(bare)]
            case "pool":
                del self.pools[PoolName(bare)]
            case "limits":
                self.caller_limits = None
            case "edition":
                self.edition = None
            case _:
                self._remove_keys(self.tenants.pop(TenantName(bare)))

    def put(self, name: SliceName, content: ParsedSlice) -> None:
        """Adds a slice or replaces it."""
        match content:
            case Service() | Route() | PriorityClass() if "@" in name:
                self.variants[name] = content
            case Rollout():
                self.rollouts[content.name] = content
            case Service():
                self.services[content.name] = content
                self._new_services.append(content)
            case Route():
                self._put_route(content)
            case PriorityClass():
                self.classes[content.name] = content
            case Pool():
                self.pools[content.name] = content
            case CallerLimits():
                self.caller_limits = content
            case Edition():
                self.edition = content
            case Tenant():
                self._put_tenant(content)

    def _put_route(self, route: Route) -> None:
        if route.name in self.routes:
            self._replaced_routes.append(self.routes[route.name])
        self.routes[route.name] = route
        self._new_routes.append(route)

    def _put_tenant(self, tenant: Tenant) -> None:
        before = self.tenants.get(tenant.name)
        if before is not None:
            self._remove_keys(before)
        self.tenants[tenant.name] = tenant
        self._new_tenants.append(tenant)

    def _remove_keys(self, tenant: Tenant) -> None:
        for digest in tenant.keys:
            del self.keys[digest]

    # checks

    def check_keys(self) -> Steps[None]:
        """Enters the keys of the changed tenants; raises when a key belongs to two tenants."""
        for number, tenant in enumerate(self._new_tenants, 1):
            for digest in tenant.keys:
                other = self.keys.setdefault(digest, tenant.name)
                if other != tenant.name:
                    raise BundleCheckError(
                        BundleError(
                            code="double",
                            slice=f"tenant/{tenant.name}",
                            field="keys",
                            value=digest,
                            remedy=f"tenant/{other} has this key too; a key belongs to one tenant",
                        )
                    )
            if number % SLICES_PER_STEP == 0:
                yield

    def check_references(self) -> Steps[None]:
        """Checks that every slice referred to exists.

        When a slice that others may refer to was removed, the references of all slices are checked, else only those
        of the changed slices.
        """
        target_removed = bool(self._removed_kinds & {"service", "class"})
        for number, route in enumerate(self.routes.values() if target_removed else self._new_routes, 1):
            if route.service not in self.services:
                raise missing_reference(f"route/{route.name}", "service", route.service, "service", self.services)
            if number % SLICES_PER_STEP == 0:
                yield
        for number, tenant in enumerate(self.tenants.values() if target_removed else self._new_tenants, 1):
            self._check_tenant(tenant)
            if number % SLICES_PER_STEP == 0:
                yield
        if self.pools:
            all_services = "pool" in self._removed_kinds or self._pools_newly_declared
            for number, service in enumerate(self.services.values() if all_services else self._new_services, 1):
                check_pools(SliceName(f"service/{service.name}"), service, self.pools)
                if number % SLICES_PER_STEP == 0:
                    yield

    def _check_tenant(self, tenant: Tenant) -> None:
        where = f"tenant/{tenant.name}"
        if tenant.priority_class not in self.classes:
            raise missing_reference(where, "priority_class", tenant.priority_class, "class", self.classes)
        for service in tenant.services:
            if service not in self.services:
                raise missing_reference(where, "services", service, "service", self.services)

    # routes

    def route_index(self) -> Steps[RouteIndex]:
        """Returns the index of all routes; raises when two of them accept the same calls."""
        if not self._replaced_routes and not self._new_routes:
            return self._base.route_index
        return (yield from self._base.route_index.changed(self._replaced_routes, self._new_routes))

    def ordered_routes(self) -> Steps[tuple[Route, ...]]:
        """Returns all routes, sorted by length of the path prefix, the longest first."""
        if not self._replaced_routes and not self._new_routes:
            return self._base.routes
        replaced = {route.name for route in self._replaced_routes}
        remaining = [route for route in self._base.routes if route.name not in replaced]
        if len(self._new_routes) <= MAX_INSERTED_ROUTES:
            for route in self._new_routes:
                insort(remaining, route, key=_route_sort_key)
            return tuple(remaining)
        yield
        return tuple((yield from _merge_routes(remaining, self._new_routes)))


def check_pools(where: SliceName, service: Service, pools: Mapping[PoolName, Pool]) -> None:
    """Raises when a service refers to a pool that is not declared; for bundles that declare pools."""
    if service.pool not in pools:
        raise missing_reference(where, "pool", service.pool, "pool", pools)
    for share in service.split:
        if share.pool not in pools:
            raise missing_reference(where, "split", share.pool, "pool", pools)


def _merge_routes(remaining: list[Route], added: list[Route]) -> Steps[list[Route]]:
    """Merges ``added`` into ``remaining``, which is sorted already, and returns the sorted list."""
    runs: list[list[Route]] = [remaining]
    for start in range(0, len(added), SLICES_PER_STEP):
        runs.append(sorted(added[start : start + SLICES_PER_STEP], key=_route_sort_key))
        yield
    merged: list[Route] = []
    for route in heapq.merge(*runs, key=_route_sort_key):
        merged.append(route)
        if len(merged) % SLICES_PER_STEP == 0:
            yield
    return merged


def _route_sort_key(route: Route) -> tuple[int, str, str]:
    return -len(route.path_prefix), route.path_prefix, route.name


def missing_reference(where: str, field: str, value: str, kind: str, known: Collection[str]) -> BundleCheckError:
    """Returns the error for a slice that refers to another one that is not in the bundle."""
    names = ", ".join(sorted(known)[:8]) or "none"
    return BundleCheckError(
        BundleError(
            code="reference",
            slice=where,
            field=field,
            value=value,
            remedy=f"there is no {kind}/{value} in the bundle; add it or use one of: {names}",
        )
    )
