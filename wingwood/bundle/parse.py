"""Parses slices into a checked bundle, from all slices or from a change (docs/DESIGN.md section 5.2).

Both take the same path: ``change_steps`` takes a checked bundle and the differences, parses only the changed slices
and checks only what they can have broken. A complete bundle is parsed as a change of the empty bundle.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping

import msgspec
from returns.result import Failure, Result, Success

from ..identifiers import BundleVersion, Digest, OrderId, SliceName, WallTime
from .canonical import EMPTY_ROOT, SLICE_NAME, is_canonical, root_digest_steps, slice_digest
from .draft import SLICES_PER_STEP, Draft
from .errors import BundleCheckError, BundleError
from .field_checks import ParsedSlice, check_fields
from .gradual import Steps, at_once, gradually
from .model import Bundle, BundleDelta, CallerLimits, Edition, Manifest, Pool, PriorityClass, Rollout, Service, Tenant
from .rollouts import check_rollout, check_rollouts
from .route import Route
from .signing import verify_manifest
from .variants import VariantTarget, apply_variants, check_variants, plain_name

MAX_SLICE_BYTES = 256 * 1024
"""Largest size of one slice."""
MAX_SLICES = 100_000
"""Largest number of slices in a bundle."""
DEFAULT_MAX_BUNDLE_BYTES = 16 * 1024 * 1024
"""Largest total size of a bundle's slices, unless settings (``bundle_bytes``) say otherwise."""

BYTES_PER_STEP = 100_000
"""Bytes of slices processed before other tasks may run; they take about a millisecond."""
SLICE_OVERHEAD_BYTES = 1_000
"""Fixed cost of parsing one slice, expressed as the number of bytes that take as long to parse."""

CheckedBundle = Result[Bundle, BundleError]
ManifestForRoot = Callable[[Digest], Result[Manifest, BundleError]]
"""Returns the manifest for slices with this root digest, or the reason why there is none."""


def empty_bundle() -> Bundle:
    """Returns the bundle of version 0, which has no slices."""
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
    manifest: Manifest, slices: Mapping[SliceName, bytes], target: VariantTarget | None = None
) -> CheckedBundle:
    """Parses a complete bundle and checks its root digest and cross references, but not its signature."""
    return change_bundle(empty_bundle(), manifest, slices, (), target)


def parse_steps(manifest: Manifest, slices: Mapping[SliceName, bytes]) -> Steps[CheckedBundle]:
    """Does the work of ``parse_bundle`` in steps, without applying variants."""
    return change_steps(empty_bundle(), _require_root(manifest), slices, ())


def apply_delta(
    bundle: Bundle | None, delta: BundleDelta, operator_keys: Collection[str], target: VariantTarget | None = None
) -> CheckedBundle:
    """Returns the verified bundle that results from applying ``delta`` to ``bundle``, which itself stays unchanged.

    A delta with ``since`` 0 carries all slices and replaces the current ones; for any other the current bundle must
    have version ``since`` or a later one (else the error is ``gap``). A bundle is never replaced by an older one: a
    delta to a version that is not newer than the current one is a ``stale`` error. ``target`` is the router whose
    variants are applied (section 19); None applies no variants.
    """
    return at_once(_delta_steps(bundle, delta, operator_keys, target))


async def apply_delta_gradually(
    bundle: Bundle | None, delta: BundleDelta, operator_keys: Collection[str], target: VariantTarget | None = None
) -> CheckedBundle:
    """Does the work of ``apply_delta``, but lets other tasks run in between, so that a large bundle delays no stream.

    The result is based on the given ``bundle``. A caller that has a newer bundle by then must discard it.
    """
    return await gradually(_delta_steps(bundle, delta, operator_keys, target))


def _delta_steps(
    bundle: Bundle | None, delta: BundleDelta, operator_keys: Collection[str], target: VariantTarget | None
) -> Steps[CheckedBundle]:
    current = bundle or empty_bundle()
    manifest = delta.manifest
    reason = verify_manifest(manifest, operator_keys)
    if reason is not None:
        return Failure(BundleError(code="signature", field="manifest", remedy=reason))
    if manifest.version <= current.version:
        return Failure(
            BundleError(code="stale", value=str(manifest.version), remedy=f"version {current.version} is held already")
        )
    if delta.since > current.version:
        return Failure(
            BundleError(
                code="gap", value=str(delta.since), remedy=f"ask for what changed since {current.version} or since 0"
            )
        )
    removed: Collection[SliceName] = delta.removed
    if delta.since == 0:
        removed = [name for name in current.slices if name not in delta.changed]
    return (yield from change_steps(current, _require_root(manifest), delta.changed, removed, target))


def change_bundle(
    base: Bundle,
    manifest: Manifest,
    changed: Mapping[SliceName, bytes],
    removed: Collection[SliceName],
    target: VariantTarget | None = None,
) -> CheckedBundle:
    """Returns ``base`` with the ``changed`` slices added and the ``removed`` ones left out.

    The result is checked against the manifest's root digest. The cost grows with the size of the change, apart from
    one pass over the digests of all slices for the root digest.
    """
    return at_once(change_steps(base, _require_root(manifest), changed, removed, target))


def _require_root(manifest: Manifest) -> ManifestForRoot:
    """Returns a function that accepts this manifest for slices with its root digest, and refuses any other root."""

    def check(root: Digest) -> Result[Manifest, BundleError]:
        if root == manifest.root:
            return Success(manifest)
        return Failure(
            BundleError(
                code="root",
                field="root",
                value=manifest.root[:64],
                remedy=f"the slices give {root}; "
                "a slice was altered, left out or added on the way, send it again whole",
            )
        )

    return check


def change_steps(
    base: Bundle,
    manifest_for_root: ManifestForRoot,
    changed: Mapping[SliceName, bytes],
    removed: Collection[SliceName],
    target: VariantTarget | None = None,
) -> Steps[CheckedBundle]:
    """Does the work of ``change_bundle`` in steps of about ``BYTES_PER_STEP`` bytes of slices.

    The manifest is requested from ``manifest_for_root`` once the root digest is known, since an edition is signed only
    then.
    """
    base = base.plain or base
    digests = dict(base.digests)
    slices = dict(base.slices)
    for name in removed:
        digests.pop(name, None)
        slices.pop(name, None)
    differing = {name: data for name, data in changed.items() if slices.get(name) != data}
    bytes_since_yield = 0
    for name, data in differing.items():
        digests[name] = slice_digest(data)
        bytes_since_yield += len(data) + SLICE_OVERHEAD_BYTES // 10
        if bytes_since_yield > BYTES_PER_STEP:
            bytes_since_yield = 0
            yield
    slices.update(differing)
    removed_names = [name for name in sorted(removed) if name in base.slices and name not in changed]
    match manifest_for_root((yield from root_digest_steps(digests))):
        case Failure(error):
            return Failure(error)
        case Success(manifest):
            pass
    parsed: list[tuple[SliceName, ParsedSlice]] = []
    try:
        for name in sorted(differing):
            parsed.append((name, parse_slice(name, differing[name])))
            bytes_since_yield += len(differing[name]) + SLICE_OVERHEAD_BYTES
            if bytes_since_yield > BYTES_PER_STEP:
                bytes_since_yield = 0
                yield
        plain = yield from _assemble(base, manifest, slices, digests, parsed, removed_names)
        return Success(plain if target is None else apply_variants(plain, target))
    except BundleCheckError as raised:
        return Failure(raised.error)


def _assemble(
    base: Bundle,
    manifest: Manifest,
    slices: dict[SliceName, bytes],
    digests: dict[SliceName, Digest],
    parsed: Collection[tuple[SliceName, ParsedSlice]],
    removed_names: Collection[SliceName],
) -> Steps[Bundle]:
    """Builds the bundle from the base bundle, the parsed changed slices and the names of the removed ones.

    Raises ``BundleCheckError`` when the result is inconsistent or has too many slices.
    """
    if len(slices) > MAX_SLICES:
        raise BundleCheckError(
            BundleError(code="large", value=f"{len(slices)} slices", remedy=f"keep below {MAX_SLICES}")
        )
    draft = Draft(base)
    for name in removed_names:
        draft.remove(name)
    yield
    for number, (name, content) in enumerate(parsed, 1):
        draft.put(name, content)
        if number % SLICES_PER_STEP == 0:
            yield
    yield from draft.check_keys()
    yield from draft.check_references()
    index = yield from draft.route_index()
    routes = yield from draft.ordered_routes()
    bundle = Bundle(
        manifest=manifest,
        slices=slices,
        services=draft.services,
        routes=routes,
        tenants=draft.tenants,
        classes=draft.classes,
        keys=draft.keys,
        digests=digests,
        variants=draft.variants,
        rollouts=draft.rollouts,
        pools=draft.pools,
        caller_limits=draft.caller_limits,
        edition=draft.edition,
        route_index=index,
    )
    if draft.variants:
        check_variants(bundle)
    if draft.rollouts:
        check_rollouts(bundle)
    return bundle


def parse_slice(name: SliceName, data: bytes) -> ParsedSlice:
    """Parses one slice and checks its own fields; raises ``BundleCheckError`` when it is invalid."""
    matched = SLICE_NAME.fullmatch(name)
    if matched is None:
        raise BundleCheckError(
            BundleError(
                code="slice",
                slice=name[:80],
                remedy="slices are called service/NAME, route/NAME, class/NAME, tenant/NAME, rollout/NAME, pool/NAME,"
                " limits/callers or edition/operator,"
                " NAME of 1 to 64 of a-z 0-9 . _ -; variants of services, routes and classes end in"
                " @zone=ZONE or @share=PERCENT",
            )
        )
    if len(data) > MAX_SLICE_BYTES:
        raise BundleCheckError(
            BundleError(code="large", slice=name, value=f"{len(data)} bytes", remedy=f"keep below {MAX_SLICE_BYTES}")
        )
    kind, bare, selector = matched.groups()
    if selector is not None:
        plain_name(name)
    try:
        content = _decoders[kind].decode(data)
    except (msgspec.MsgspecError, RecursionError) as malformed:
        raise BundleCheckError(BundleError(code="slice", slice=name, remedy=str(malformed))) from None
    if not is_canonical(data):
        raise BundleCheckError(
            BundleError(
                code="slice", slice=name, remedy="write it as JSON with sorted keys, no white space, no key twice"
            )
        )
    if content.name != bare:
        raise BundleCheckError(
            BundleError(
                code="field",
                slice=name,
                field="name",
                value=content.name,
                remedy=f"must be {bare} as in the slice's name",
            )
        )
    if isinstance(content, Rollout):
        check_rollout(content)
    check_fields(name, content)
    return content


_decoders: dict[str, msgspec.json.Decoder[ParsedSlice]] = {
    "service": msgspec.json.Decoder(Service),
    "route": msgspec.json.Decoder(Route),
    "class": msgspec.json.Decoder(PriorityClass),
    "tenant": msgspec.json.Decoder(Tenant),
    "rollout": msgspec.json.Decoder(Rollout),
    "pool": msgspec.json.Decoder(Pool),
    "limits": msgspec.json.Decoder(CallerLimits),
    "edition": msgspec.json.Decoder(Edition),
}
