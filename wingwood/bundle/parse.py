"""From slices to a checked bundle, whole or by what changed (docs/DESIGN.md section 5.2).

There is one way in: ``_assemble`` takes a checked bundle and what differs, reads only the changed
slices and checks only what they can have broken. A whole bundle is the change of an empty one.
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import Collection, Generator, Mapping
from typing import cast

import msgspec
from returns.result import Failure, Result, Success

from ..identifiers import (
    BundleVersion,
    ClassName,
    Digest,
    KeyDigest,
    OrderId,
    ServiceName,
    SliceName,
    TenantName,
    WallTime,
)
from .canonical import EMPTY_ROOT, SLICE_NAME, is_canonical, root_digest, slice_digest
from .model import Bundle, BundleDelta, Manifest, PriorityClass, Rollout, Route, Service, Tenant
from .problem import Broken, BundleProblem
from .rollouts import check_rollout, check_rollouts
from .signing import verify_manifest
from .variants import Place, at_place, check_variants, plain_name

SLICE_BYTES = 256 * 1024
SLICE_COUNT = 100_000
BUNDLE_BYTES = 16 * 1024 * 1024
KEYS_PER_TENANT = 1_000
HIGHEST_RATE = 1_000_000.0
HIGHEST_RETRY_SHARE = 0.2

_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,63}")
_KEY_DIGEST = re.compile(r"[0-9a-f]{64}")
_PATH = re.compile(r"/[!-~]{0,255}")
_METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE")

STEP_BYTES = 100_000
"""About a millisecond's worth of slices."""
STEP_PARTS = 1_000
SLICE_COST = 500
"""What reading any slice costs, in bytes of reading more of one."""

Part = Service | Route | PriorityClass | Tenant | Rollout
_Steps = Generator[None, None, Result[Bundle, BundleProblem]]


def empty_bundle() -> Bundle:
    """Version 0: no slices."""
    manifest = Manifest(
        version=BundleVersion(0),
        base=BundleVersion(-1),
        root=EMPTY_ROOT,
        order=OrderId(""),
        signed_at=WallTime(0.0),
        signer="",
    )
    return Bundle(manifest=manifest, slices={}, services={}, routes=(), tenants={}, classes={}, keys={}, digests={})


def parse_bundle(
    manifest: Manifest, slices: Mapping[SliceName, bytes], place: Place | None = None
) -> Result[Bundle, BundleProblem]:
    """A whole bundle, its root and its cross references checked; the signature is not looked at."""
    return change_bundle(empty_bundle(), manifest, slices, (), place)


def apply_delta(
    bundle: Bundle | None, delta: BundleDelta, operator_keys: Collection[str], place: Place | None = None
) -> Result[Bundle, BundleProblem]:
    """The verified bundle that ``delta`` leads to. ``bundle`` itself stays as it is.

    ``delta.since`` 0 carries everything and replaces all slices; otherwise the holder must have
    ``since`` or a newer version. Never goes back: a version that is not newer is a ``stale`` problem.
    ``place``: whose variants are chosen (section 19); None chooses none.
    """
    return _at_once(_delta_steps(bundle, delta, operator_keys, place))


async def apply_delta_gradually(
    bundle: Bundle | None, delta: BundleDelta, operator_keys: Collection[str], place: Place | None = None
) -> Result[Bundle, BundleProblem]:
    """As ``apply_delta``, but lets other tasks run in between, so that a large bundle holds up no stream.

    The result counts for ``bundle`` as given: whoever holds a newer one meanwhile drops it.
    """
    steps = _delta_steps(bundle, delta, operator_keys, place)
    while True:
        try:
            next(steps)
        except StopIteration as done:
            return cast(Result[Bundle, BundleProblem], done.value)
        await asyncio.sleep(0)


def _delta_steps(
    bundle: Bundle | None, delta: BundleDelta, operator_keys: Collection[str], place: Place | None
) -> _Steps:
    held = bundle or empty_bundle()
    manifest = delta.manifest
    reason = verify_manifest(manifest, operator_keys)
    if reason is not None:
        return Failure(BundleProblem(code="signature", field="manifest", mend=reason))
    if manifest.version <= held.version:
        return Failure(
            BundleProblem(code="stale", value=str(manifest.version), mend=f"version {held.version} is held already")
        )
    if delta.since > held.version:
        return Failure(
            BundleProblem(
                code="gap", value=str(delta.since), mend=f"ask for what changed since {held.version} or since 0"
            )
        )
    removed: Collection[SliceName] = delta.removed
    if delta.since == 0:
        removed = [name for name in held.slices if name not in delta.changed]
    return (yield from _change_steps(held, manifest, delta.changed, removed, place))


def change_bundle(
    held: Bundle,
    manifest: Manifest,
    changed: Mapping[SliceName, bytes],
    removed: Collection[SliceName],
    place: Place | None = None,
) -> Result[Bundle, BundleProblem]:
    """``held`` with those slices put in and taken out, checked against the manifest's root.

    Costs by what changed, apart from one pass over the slices' digests for the root.
    """
    return _at_once(_change_steps(held, manifest, changed, removed, place))


def _at_once(steps: _Steps) -> Result[Bundle, BundleProblem]:
    while True:
        try:
            next(steps)
        except StopIteration as done:
            return cast(Result[Bundle, BundleProblem], done.value)


def _change_steps(
    held: Bundle,
    manifest: Manifest,
    changed: Mapping[SliceName, bytes],
    removed: Collection[SliceName],
    place: Place | None,
) -> _Steps:
    """Yields after each ``STEP_BYTES`` of slices that it has read, for others to run."""
    held = held.plain or held
    digests = dict(held.digests)
    slices = dict(held.slices)
    for name in removed:
        digests.pop(name, None)
        slices.pop(name, None)
    fresh = {name: data for name, data in changed.items() if slices.get(name) != data}
    done = 0
    for name, data in fresh.items():
        digests[name] = slice_digest(data)
        done += len(data)
        if done > STEP_BYTES:
            done = 0
            yield
    slices.update(fresh)
    gone = [name for name in sorted(removed) if name in held.slices and name not in changed]
    root = root_digest(digests)
    if root != manifest.root:
        return Failure(
            BundleProblem(
                code="root",
                field="root",
                value=manifest.root[:64],
                mend=f"the slices give {root}; a slice was altered, left out or added on the way, send it again whole",
            )
        )
    parts: list[tuple[SliceName, Part]] = []
    try:
        for name in sorted(fresh):
            parts.append((name, read_part(name, fresh[name])))
            done += len(fresh[name]) + SLICE_COST
            if done > STEP_BYTES:
                done = 0
                yield
        plain = yield from _assemble(held, manifest, slices, digests, parts, gone)
        return Success(plain if place is None else at_place(plain, place))
    except Broken as broken:
        return Failure(broken.problem)


def _assemble(
    held: Bundle,
    manifest: Manifest,
    slices: dict[SliceName, bytes],
    digests: dict[SliceName, Digest],
    parts: Collection[tuple[SliceName, Part]],
    gone: Collection[SliceName],
) -> Generator[None, None, Bundle]:
    if len(slices) > SLICE_COUNT:
        raise Broken(BundleProblem(code="large", value=f"{len(slices)} slices", mend=f"keep below {SLICE_COUNT}"))
    services, routes = dict(held.services), {route.name: route for route in held.routes}
    classes, tenants, keys = dict(held.classes), dict(held.tenants), dict(held.keys)
    variants, rollouts = dict(held.variants), dict(held.rollouts)
    for name in gone:
        kind, _, bare = name.partition("/")
        if "@" in bare:
            del variants[name]
        elif kind == "rollout":
            del rollouts[bare]
        elif kind == "service":
            del services[ServiceName(bare)]
        elif kind == "route":
            del routes[bare]
        elif kind == "class":
            del classes[ClassName(bare)]
        else:
            for digest in tenants.pop(TenantName(bare)).keys:
                del keys[digest]
    changed_tenants: list[Tenant] = []
    changed_routes: list[Route] = []
    for number, (name, part) in enumerate(parts):
        if number % STEP_PARTS == STEP_PARTS - 1:
            yield
        match part:
            case Service() | Route() | PriorityClass() if "@" in name:
                variants[name] = part
            case Rollout():
                rollouts[part.name] = part
            case Service():
                services[part.name] = part
            case Route():
                routes[part.name] = part
                changed_routes.append(part)
            case PriorityClass():
                classes[part.name] = part
            case Tenant():
                before = tenants.get(part.name)
                for digest in before.keys if before else ():
                    del keys[digest]
                tenants[part.name] = part
                changed_tenants.append(part)
    yield from _give_keys(changed_tenants, keys)
    lost = any(name.startswith(("service/", "class/")) for name in gone)
    yield from _check_references(
        list(routes.values()) if lost else changed_routes,
        list(tenants.values()) if lost else changed_tenants,
        services,
        classes,
    )
    ordered = held.routes
    if changed_routes or any(name.startswith("route/") for name in gone):
        ordered = tuple(
            sorted(routes.values(), key=lambda route: (-len(route.path_prefix), route.path_prefix, route.name))
        )
        _check_routes_apart(ordered)
    bundle = Bundle(
        manifest=manifest,
        slices=slices,
        services=services,
        routes=ordered,
        tenants=tenants,
        classes=classes,
        keys=keys,
        digests=digests,
        variants=variants,
        rollouts=rollouts,
    )
    if variants:
        check_variants(bundle)
    if rollouts:
        check_rollouts(bundle)
    return bundle


def _give_keys(tenants: Collection[Tenant], keys: dict[KeyDigest, TenantName]) -> Generator[None, None, None]:
    for number, tenant in enumerate(tenants):
        if number % STEP_PARTS == STEP_PARTS - 1:
            yield
        for digest in tenant.keys:
            other = keys.setdefault(digest, tenant.name)
            if other != tenant.name:
                raise Broken(
                    BundleProblem(
                        code="double",
                        slice=f"tenant/{tenant.name}",
                        field="keys",
                        value=digest,
                        mend=f"tenant/{other} has this key too; a key belongs to one tenant",
                    )
                )


def _check_references(
    routes: Collection[Route],
    tenants: Collection[Tenant],
    services: Mapping[ServiceName, Service],
    classes: Mapping[ClassName, PriorityClass],
) -> Generator[None, None, None]:
    for route in routes:
        if route.service not in services:
            raise Broken(_missing(f"route/{route.name}", "service", route.service, "service", services))
    for number, tenant in enumerate(tenants):
        if number % STEP_PARTS == STEP_PARTS - 1:
            yield
        where = f"tenant/{tenant.name}"
        if tenant.priority_class not in classes:
            raise Broken(_missing(where, "priority_class", tenant.priority_class, "class", classes))
        for service in tenant.services:
            if service not in services:
                raise Broken(_missing(where, "services", service, "service", services))


def _missing(where: str, field: str, value: str, kind: str, known: Collection[str]) -> BundleProblem:
    names = ", ".join(sorted(known)[:8]) or "none"
    return BundleProblem(
        code="reference",
        slice=where,
        field=field,
        value=value,
        mend=f"there is no {kind}/{value} in the bundle; add it or use one of: {names}",
    )


def _check_routes_apart(routes: Collection[Route]) -> None:
    taken: dict[tuple[str, str], str] = {}
    for route in routes:
        for method in route.methods:
            other = taken.setdefault((route.path_prefix, method), route.name)
            if other != route.name:
                raise Broken(
                    BundleProblem(
                        code="double",
                        slice=f"route/{route.name}",
                        field="path_prefix",
                        value=route.path_prefix,
                        mend=f"route/{other} takes {method} of this prefix already; change one of them",
                    )
                )


def read_part(name: SliceName, data: bytes) -> Part:
    """One slice read and its own fields checked; raises the module's private problem."""
    matched = SLICE_NAME.fullmatch(name)
    if matched is None:
        raise Broken(
            BundleProblem(
                code="slice",
                slice=name[:80],
                mend="slices are called service/NAME, route/NAME, class/NAME, tenant/NAME or rollout/NAME,"
                " NAME of 1 to 64 of a-z 0-9 . _ -; variants of services, routes and classes end in"
                " @zone=ZONE or @share=PERCENT",
            )
        )
    if len(data) > SLICE_BYTES:
        raise Broken(
            BundleProblem(code="large", slice=name, value=f"{len(data)} bytes", mend=f"keep below {SLICE_BYTES}")
        )
    kind, bare, whom = matched.groups()
    if whom is not None:
        plain_name(name)
    try:
        part = _decoders[kind].decode(data)
    except (msgspec.MsgspecError, RecursionError) as malformed:
        raise Broken(BundleProblem(code="slice", slice=name, mend=str(malformed))) from None
    if not is_canonical(data):
        raise Broken(
            BundleProblem(
                code="slice", slice=name, mend="write it as JSON with sorted keys, no white space, no key twice"
            )
        )
    if part.name != bare:
        raise Broken(
            BundleProblem(
                code="field", slice=name, field="name", value=part.name, mend=f"must be {bare} as in the slice's name"
            )
        )
    problem = _check_fields(name, part)
    if problem is not None:
        raise Broken(problem)
    return part


_decoders: dict[str, msgspec.json.Decoder[Part]] = {
    "service": msgspec.json.Decoder(Service),
    "route": msgspec.json.Decoder(Route),
    "class": msgspec.json.Decoder(PriorityClass),
    "tenant": msgspec.json.Decoder(Tenant),
    "rollout": msgspec.json.Decoder(Rollout),
}


def _check_fields(where: str, part: Part) -> BundleProblem | None:
    def problem(field: str, value: object, mend: str) -> BundleProblem:
        return BundleProblem(code="field", slice=where, field=field, value=str(value)[:80], mend=mend)

    match part:
        case Service():
            if not _NAME.fullmatch(part.pool):
                return problem("pool", part.pool, "1 to 64 of a-z 0-9 . _ -")
            if not 0 < part.deadline <= 3600:
                return problem("deadline", part.deadline, "seconds above 0 and up to 3600")
            if not 0 < part.first_byte_patience <= part.deadline:
                return problem(
                    "first_byte_patience",
                    part.first_byte_patience,
                    f"seconds above 0 and up to deadline {part.deadline}",
                )
            if not 0 < part.silence_patience <= 600:
                return problem("silence_patience", part.silence_patience, "seconds above 0 and up to 600")
            if not 0 <= part.retry_share <= HIGHEST_RETRY_SHARE:
                return problem("retry_share", part.retry_share, f"a share from 0 to {HIGHEST_RETRY_SHARE}")
        case Route():
            if not _PATH.fullmatch(part.path_prefix) or "?" in part.path_prefix or "#" in part.path_prefix:
                return problem(
                    "path_prefix", part.path_prefix, "starts with /, without spaces, ? and #, up to 256 letters"
                )
            if not part.methods or len(set(part.methods)) != len(part.methods):
                return problem("methods", part.methods, "name at least one method, and each once")
            for method in part.methods:
                if method not in _METHODS:
                    return problem("methods", method, f"one of {', '.join(_METHODS)}")
        case PriorityClass():
            if not 0 < part.weight <= 1000:
                return problem("weight", part.weight, "above 0 and up to 1000")
        case Tenant():
            if not 0 <= part.paid_rate <= HIGHEST_RATE:
                return problem("paid_rate", part.paid_rate, f"calls a second from 0 to {HIGHEST_RATE:.0f}")
            if not 0 < part.burst <= 60:
                return problem("burst", part.burst, "seconds above 0 and up to 60")
            if len(part.keys) > KEYS_PER_TENANT:
                return problem("keys", f"{len(part.keys)} keys", f"keep to {KEYS_PER_TENANT}")
            for digest in part.keys:
                if not _KEY_DIGEST.fullmatch(digest):
                    return problem("keys", digest, "64 hex digits: the SHA-256 that `wingwood caller-key new` prints")
            if len(set(part.keys)) != len(part.keys):
                return problem("keys", "a digest twice", "name each digest once")
            if len(set(part.services)) != len(part.services):
                return problem("services", part.services, "name each service once")
        case Rollout():
            check_rollout(part)
    return None
