"""Variants of slices for some routers, within one signed bundle (docs/DESIGN.md section 19.2)."""

from __future__ import annotations

import hashlib
import re
from collections.abc import Iterable, Mapping

import msgspec

from ..identifiers import ClassName, DaemonName, ServiceName, SliceName, Zone
from .draft import check_pools
from .gradual import at_once
from .model import Bundle, PriorityClass, Service
from .problem import Broken, BundleProblem
from .route import Route

VARIANT_COUNT = 1_000
KINDS = ("service", "route", "class")
"""Tenants have none: their rates are counted once for the fleet and their keys must go everywhere at once."""

_ZONE = re.compile(r"zone=([a-z0-9._-]{1,64})")
_SHARE = re.compile(r"share=([1-9][0-9]?)")


class Place(msgspec.Struct, frozen=True):
    """Whose view of the bundle it is."""

    zone: Zone
    name: DaemonName


def share_mark(name: DaemonName) -> int:
    """From 0 to 99, by the daemon's name alone: share 10 lies within share 25, and the same routers go first."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest()) % 100


def is_whom(whom: str) -> bool:
    """``zone=NAME`` or ``share=PERCENT`` of 1 to 99."""
    return bool(_ZONE.fullmatch(whom) or _SHARE.fullmatch(whom))


def fits(whom: str, place: Place) -> bool:
    kind, _, value = whom.partition("=")
    return value == place.zone if kind == "zone" else share_mark(place.name) < int(value)


def plain_name(variant: SliceName) -> SliceName:
    """``service/chat`` of ``service/chat@zone=a``; raises the package's private problem."""
    name, _, whom = variant.partition("@")
    kind = name.partition("/")[0]
    if kind not in KINDS:
        raise Broken(
            BundleProblem(
                code="slice",
                slice=variant,
                mend=f"only services, routes and classes have variants; a {kind} counts for the whole fleet",
            )
        )
    if not is_whom(whom):
        raise Broken(
            BundleProblem(code="slice", slice=variant, mend="after @ stands zone=ZONE or share=PERCENT from 1 to 99")
        )
    return SliceName(name)


def chosen(names: Iterable[SliceName], place: Place) -> dict[SliceName, SliceName]:
    """For each plain name the variant that counts at ``place``: its zone's, else the smallest share that it is in."""
    found: dict[SliceName, tuple[int, SliceName]] = {}
    for name in names:
        plain, _, whom = name.partition("@")
        if fits(whom, place):
            kind, _, value = whom.partition("=")
            rank = 0 if kind == "zone" else int(value)
            found[SliceName(plain)] = min(found.get(SliceName(plain), (100, name)), (rank, name))
    return {plain: name for plain, (_, name) in found.items()}


def at_place(plain: Bundle, place: Place) -> Bundle:
    """The bundle as the router at ``place`` acts on it; ``plain`` itself when no variant is for it."""
    names = chosen(plain.variants, place)
    if not names:
        return plain
    parts = [plain.variants[names[name]] for name in sorted(names)]
    services = {part.name: part for part in parts if isinstance(part, Service)}
    routes = {part.name: part for part in parts if isinstance(part, Route)}
    classes = {part.name: part for part in parts if isinstance(part, PriorityClass)}
    replaced = [route for route in plain.routes if route.name in routes] if routes else []
    return msgspec.structs.replace(
        plain,
        services={**plain.services, **services} if services else plain.services,
        routes=tuple(routes.get(route.name, route) for route in plain.routes) if routes else plain.routes,
        route_index=at_once(plain.route_index.changed(replaced, list(routes.values()))),
        classes={**plain.classes, **classes} if classes else plain.classes,
        plain=plain,
    )


def check_variants(bundle: Bundle) -> None:
    """Each variant against its plain slice; raises the package's private problem.

    What decides whether a call may run again, and under which key the ledger knows it, is the same everywhere:
    a caller may retry at a router that has another variant.
    """
    if len(bundle.variants) > VARIANT_COUNT:
        count = f"{len(bundle.variants)} variants"
        raise Broken(BundleProblem(code="large", value=count, mend=f"keep to {VARIANT_COUNT}"))
    routes = {route.name: route for route in bundle.routes}
    for name in sorted(bundle.variants):
        match bundle.variants[name]:
            case Service() as service:
                plain_service = bundle.services.get(service.name)
                _same(name, service, plain_service, ("kind", "repeatable", "resumable", "idempotency_keys"))
                if bundle.pools:
                    check_pools(name, service, bundle.pools)
            case Route() as route:
                plain_route = routes.get(route.name)
                _same(name, route, plain_route, ("host", "path_prefix", "methods", "needs_key"))
                assert plain_route is not None
                _check_target(name, route, plain_route, bundle.services)
            case PriorityClass() as priority:
                _same(name, priority, bundle.classes.get(ClassName(priority.name)), ())


def _same(name: SliceName, variant: msgspec.Struct, plain: msgspec.Struct | None, fields: tuple[str, ...]) -> None:
    if plain is None:
        raise Broken(
            BundleProblem(
                code="reference",
                slice=name,
                mend=f"there is no {name.partition('@')[0]}; a variant needs the plain one",
            )
        )
    for field in fields:
        if getattr(variant, field) != getattr(plain, field):
            raise Broken(
                BundleProblem(
                    code="field",
                    slice=name,
                    field=field,
                    value=str(getattr(variant, field))[:80],
                    mend=f"must be {getattr(plain, field)} as in the plain one; a variant may not change it",
                )
            )


def _check_target(name: SliceName, route: Route, plain: Route, services: Mapping[ServiceName, Service]) -> None:
    if route.service == plain.service:
        return
    target = services.get(route.service)
    if target is None:
        known = ", ".join(sorted(services)[:8])
        mend = f"there is no service/{route.service} in the bundle; add it or use one of: {known}"
        raise Broken(BundleProblem(code="reference", slice=name, field="service", value=route.service, mend=mend))
    if not target.repeatable or not services[plain.service].repeatable:
        raise Broken(
            BundleProblem(
                code="field",
                slice=name,
                field="service",
                value=route.service,
                mend="a variant may not lead calls to or from a service that is not repeatable: "
                "a retry at another router would run again",
            )
        )
