"""Variants of slices that apply to some routers only, within one signed bundle (docs/DESIGN.md section 19.2)."""

from __future__ import annotations

import hashlib
import re
from collections.abc import Iterable, Mapping

import msgspec

from ..identifiers import ClassName, DaemonName, ServiceName, SliceName, Zone
from .draft import check_pools, missing_reference
from .errors import BundleCheckError, BundleError
from .field_checks import FieldChecker
from .gradual import at_once
from .model import Bundle, PriorityClass, Service
from .route import Route

MAX_VARIANTS = 1_000
"""Largest number of variants in a bundle."""
VARIANT_KINDS = ("service", "route", "class")
"""Kinds of slices that may have variants.

Tenants have none: their rates apply to the fleet as a whole, and their keys must change everywhere at once.
"""

_ZONE = re.compile(r"zone=([a-z0-9._-]{1,64})")
_SHARE = re.compile(r"share=([1-9][0-9]?)")


class VariantTarget(msgspec.Struct, frozen=True):
    """The router for which variants are chosen."""

    zone: Zone
    name: DaemonName


def share_bucket(name: DaemonName) -> int:
    """Returns a number from 0 to 99 that depends on the daemon's name only.

    A variant for ``share=PERCENT`` applies to the routers with a smaller number, so the routers of share 10 are among
    those of share 25, and every roll-out starts with the same routers.
    """
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest()) % 100


def is_selector(selector: str) -> bool:
    """Returns whether the text has the form ``zone=NAME`` or ``share=PERCENT`` with 1 to 99 percent."""
    return bool(_ZONE.fullmatch(selector) or _SHARE.fullmatch(selector))


def selects(selector: str, target: VariantTarget) -> bool:
    """Returns whether variants with this selector apply to the router."""
    kind, _, value = selector.partition("=")
    return value == target.zone if kind == "zone" else share_bucket(target.name) < int(value)


def plain_name(variant: SliceName) -> SliceName:
    """Returns the plain name of a variant, such as ``service/chat`` for ``service/chat@zone=a``.

    Raises ``BundleCheckError`` when slices of this kind have no variants, or the selector is malformed.
    """
    name, _, selector = variant.partition("@")
    kind = name.partition("/")[0]
    if kind not in VARIANT_KINDS:
        raise BundleCheckError(
            BundleError(
                code="slice",
                slice=variant,
                remedy=f"only services, routes and classes have variants; a {kind} counts for the whole fleet",
            )
        )
    if not is_selector(selector):
        raise BundleCheckError(
            BundleError(code="slice", slice=variant, remedy="after @ stands zone=ZONE or share=PERCENT from 1 to 99")
        )
    return SliceName(name)


def choose_variants(names: Iterable[SliceName], target: VariantTarget) -> dict[SliceName, SliceName]:
    """Returns the variant that applies to the router by plain name: that of its zone, else of the smallest share."""
    best: dict[SliceName, tuple[int, SliceName]] = {}
    for name in names:
        plain, _, selector = name.partition("@")
        if selects(selector, target):
            kind, _, value = selector.partition("=")
            rank = 0 if kind == "zone" else int(value)
            best[SliceName(plain)] = min(best.get(SliceName(plain), (100, name)), (rank, name))
    return {plain: name for plain, (_, name) in best.items()}


def apply_variants(plain: Bundle, target: VariantTarget) -> Bundle:
    """Returns the bundle with the variants for the router applied; ``plain`` itself when no variant applies."""
    names = choose_variants(plain.variants, target)
    if not names:
        return plain
    contents = [plain.variants[names[name]] for name in sorted(names)]
    services = {content.name: content for content in contents if isinstance(content, Service)}
    routes = {content.name: content for content in contents if isinstance(content, Route)}
    classes = {content.name: content for content in contents if isinstance(content, PriorityClass)}
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
    """Checks each variant against its plain slice; raises ``BundleCheckError`` when they don't fit together.

    The fields that decide whether a call may run again, and under which key it is recorded in the ledger, must not
    differ between variants, since a caller may retry at a router that has another variant.
    """
    if len(bundle.variants) > MAX_VARIANTS:
        count = f"{len(bundle.variants)} variants"
        raise BundleCheckError(BundleError(code="large", value=count, remedy=f"keep to {MAX_VARIANTS}"))
    routes = {route.name: route for route in bundle.routes}
    for name in sorted(bundle.variants):
        match bundle.variants[name]:
            case Service() as service:
                plain_service = bundle.services.get(service.name)
                _check_same_fields(
                    name, service, plain_service, ("kind", "repeatable", "resumable", "idempotency_keys")
                )
                if bundle.pools:
                    check_pools(name, service, bundle.pools)
            case Route() as route:
                plain_route = routes.get(route.name)
                _check_same_fields(name, route, plain_route, ("host", "path_prefix", "methods", "needs_key"))
                assert plain_route is not None
                _check_target(name, route, plain_route, bundle.services)
            case PriorityClass() as priority:
                _check_same_fields(name, priority, bundle.classes.get(ClassName(priority.name)), ())


def _check_same_fields(
    name: SliceName, variant: msgspec.Struct, plain: msgspec.Struct | None, fields: tuple[str, ...]
) -> None:
    """Raises when there is no plain slice, or when the variant differs from it in one of the fields."""
    if plain is None:
        raise BundleCheckError(
            BundleError(
                code="reference",
                slice=name,
                remedy=f"there is no {name.partition('@')[0]}; a variant needs the plain one",
            )
        )
    checker = FieldChecker(name)
    for field in fields:
        value, plain_value = getattr(variant, field), getattr(plain, field)
        checker.require(
            value == plain_value,
            field,
            value,
            f"must be {plain_value} as in the plain one; a variant may not change it",
        )


def _check_target(name: SliceName, route: Route, plain: Route, services: Mapping[ServiceName, Service]) -> None:
    """Raises when a variant of a route leads to an unknown service, or to or from one that is not repeatable."""
    if route.service == plain.service:
        return
    target = services.get(route.service)
    if target is None:
        raise missing_reference(name, "service", route.service, "service", services)
    FieldChecker(name).require(
        target.repeatable and services[plain.service].repeatable,
        "service",
        route.service,
        "a variant may not lead calls to or from a service that is not repeatable: "
        "a retry at another router would run again",
    )
