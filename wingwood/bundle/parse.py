"""From slices to a checked bundle, whole or by what changed (docs/DESIGN.md section 5.2).

There is one way in: ``_assemble`` takes a checked bundle and what differs, reads only the changed
slices and checks only what they can have broken. A whole bundle is the change of an empty one.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping

import msgspec
from returns.result import Failure, Result, Success

from ..identifiers import BundleVersion, Digest, OrderId, SliceName, WallTime
from .canonical import EMPTY_ROOT, SLICE_NAME, is_canonical, root_digest_steps, slice_digest
from .draft import SLICES_PER_STEP, Draft
from .field_checks import ParsedSlice, check_fields
from .gradual import Steps, at_once, gradually
from .model import Bundle, BundleDelta, CallerLimits, Edition, Manifest, Pool, PriorityClass, Rollout, Service, Tenant
from .problem import BundleProblem, BundleProblemError
from .rollouts import check_rollout, check_rollouts
from .route import Route
from .signing import verify_manifest
from .variants import VariantTarget, apply_variants, check_variants, plain_name

MAX_SLICE_BYTES = 256 * 1024
MAX_SLICES = 100_000
DEFAULT_MAX_BUNDLE_BYTES = 16 * 1024 * 1024

BYTES_PER_STEP = 100_000
"""About a millisecond's worth of slices."""
SLICE_OVERHEAD_BYTES = 1_000
"""What reading any slice costs, in bytes of reading more of one."""

Checked = Result[Bundle, BundleProblem]
ManifestForRoot = Callable[[Digest], Result[Manifest, BundleProblem]]
"""The manifest for slices of that root, or why there is none."""


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


def parse_bundle(manifest: Manifest, slices: Mapping[SliceName, bytes], target: VariantTarget | None = None) -> Checked:
    """A whole bundle, its root and its cross references checked; the signature is not looked at."""
    return change_bundle(empty_bundle(), manifest, slices, (), target)


def parse_steps(manifest: Manifest, slices: Mapping[SliceName, bytes]) -> Steps[Checked]:
    """As ``parse_bundle``, in steps."""
    return change_steps(empty_bundle(), _require_root(manifest), slices, ())


def apply_delta(
    bundle: Bundle | None, delta: BundleDelta, operator_keys: Collection[str], target: VariantTarget | None = None
) -> Checked:
    """The verified bundle that ``delta`` leads to. ``bundle`` itself stays as it is.

    ``delta.since`` 0 carries everything and replaces all slices; otherwise the holder must have
    ``since`` or a newer version. Never goes back: a version that is not newer is a ``stale`` problem.
    ``target``: whose variants are chosen (section 19); None chooses none.
    """
    return at_once(_delta_steps(bundle, delta, operator_keys, target))


async def apply_delta_gradually(
    bundle: Bundle | None, delta: BundleDelta, operator_keys: Collection[str], target: VariantTarget | None = None
) -> Checked:
    """As ``apply_delta``, but lets other tasks run in between, so that a large bundle holds up no stream.

    The result counts for ``bundle`` as given: whoever holds a newer one meanwhile drops it.
    """
    return await gradually(_delta_steps(bundle, delta, operator_keys, target))


def _delta_steps(
    bundle: Bundle | None, delta: BundleDelta, operator_keys: Collection[str], target: VariantTarget | None
) -> Steps[Checked]:
    held = bundle or empty_bundle()
    manifest = delta.manifest
    reason = verify_manifest(manifest, operator_keys)
    if reason is not None:
        return Failure(BundleProblem(code="signature", field="manifest", remedy=reason))
    if manifest.version <= held.version:
        return Failure(
            BundleProblem(code="stale", value=str(manifest.version), remedy=f"version {held.version} is held already")
        )
    if delta.since > held.version:
        return Failure(
            BundleProblem(
                code="gap", value=str(delta.since), remedy=f"ask for what changed since {held.version} or since 0"
            )
        )
    removed: Collection[SliceName] = delta.removed
    if delta.since == 0:
        removed = [name for name in held.slices if name not in delta.changed]
    return (yield from change_steps(held, _require_root(manifest), delta.changed, removed, target))


def change_bundle(
    held: Bundle,
    manifest: Manifest,
    changed: Mapping[SliceName, bytes],
    removed: Collection[SliceName],
    target: VariantTarget | None = None,
) -> Checked:
    """``held`` with those slices put in and taken out, checked against the manifest's root.

    Costs by what changed, apart from one pass over the slices' digests for the root.
    """
    return at_once(change_steps(held, _require_root(manifest), changed, removed, target))


def _require_root(manifest: Manifest) -> ManifestForRoot:
    """That manifest, if it is of these slices."""

    def check(root: Digest) -> Result[Manifest, BundleProblem]:
        if root == manifest.root:
            return Success(manifest)
        return Failure(
            BundleProblem(
                code="root",
                field="root",
                value=manifest.root[:64],
                remedy=f"the slices give {root}; a slice was altered, omitted or added in transit; send them all again",
            )
        )

    return check


def change_steps(
    held: Bundle,
    manifest_for_root: ManifestForRoot,
    changed: Mapping[SliceName, bytes],
    removed: Collection[SliceName],
    target: VariantTarget | None = None,
) -> Steps[Checked]:
    """As ``change_bundle``, in steps of about ``BYTES_PER_STEP`` of slices. The manifest may depend on the new root."""
    held = held.plain or held
    digests = dict(held.digests)
    slices = dict(held.slices)
    for name in removed:
        digests.pop(name, None)
        slices.pop(name, None)
    differing = {name: data for name, data in changed.items() if slices.get(name) != data}
    bytes_since_pause = 0
    for name, data in differing.items():
        digests[name] = slice_digest(data)
        bytes_since_pause += len(data) + SLICE_OVERHEAD_BYTES // 10
        if bytes_since_pause > BYTES_PER_STEP:
            bytes_since_pause = 0
            yield
    slices.update(differing)
    removed_names = [name for name in sorted(removed) if name in held.slices and name not in changed]
    match manifest_for_root((yield from root_digest_steps(digests))):
        case Failure(problem):
            return Failure(problem)
        case Success(manifest):
            pass
    parsed: list[tuple[SliceName, ParsedSlice]] = []
    try:
        for name in sorted(differing):
            parsed.append((name, parse_slice(name, differing[name])))
            bytes_since_pause += len(differing[name]) + SLICE_OVERHEAD_BYTES
            if bytes_since_pause > BYTES_PER_STEP:
                bytes_since_pause = 0
                yield
        plain = yield from _assemble(held, manifest, slices, digests, parsed, removed_names)
        return Success(plain if target is None else apply_variants(plain, target))
    except BundleProblemError as error:
        return Failure(error.problem)


def _assemble(
    held: Bundle,
    manifest: Manifest,
    slices: dict[SliceName, bytes],
    digests: dict[SliceName, Digest],
    parsed: Collection[tuple[SliceName, ParsedSlice]],
    removed_names: Collection[SliceName],
) -> Steps[Bundle]:
    if len(slices) > MAX_SLICES:
        raise BundleProblemError(
            BundleProblem(code="large", value=f"{len(slices)} slices", remedy=f"keep below {MAX_SLICES}")
        )
    draft = Draft(held)
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
    """One slice read and its own fields checked; raises the module's private problem."""
    matched = SLICE_NAME.fullmatch(name)
    if matched is None:
        raise BundleProblemError(
            BundleProblem(
                code="slice",
                slice=name[:80],
                remedy="slices are called service/NAME, route/NAME, class/NAME, tenant/NAME, rollout/NAME, pool/NAME,"
                " limits/callers or edition/operator,"
                " NAME of 1 to 64 of a-z 0-9 . _ -; variants of services, routes and classes end in"
                " @zone=ZONE or @share=PERCENT",
            )
        )
    if len(data) > MAX_SLICE_BYTES:
        raise BundleProblemError(
            BundleProblem(code="large", slice=name, value=f"{len(data)} bytes", remedy=f"keep below {MAX_SLICE_BYTES}")
        )
    kind, bare, selector = matched.groups()
    if selector is not None:
        plain_name(name)
    try:
        content = _decoders[kind].decode(data)
    except (msgspec.MsgspecError, RecursionError) as malformed:
        raise BundleProblemError(BundleProblem(code="slice", slice=name, remedy=str(malformed))) from None
    if not is_canonical(data):
        raise BundleProblemError(
            BundleProblem(
                code="slice", slice=name, remedy="write it as JSON with sorted keys, no white space, no key twice"
            )
        )
    if content.name != bare:
        raise BundleProblemError(
            BundleProblem(
                code="field",
                slice=name,
                field="name",
                value=content.name,
                remedy=f"must be {bare} as in the slice's name",
            )
        )
    if isinstance(content, Rollout):
        check_rollout(content)
    problem = check_fields(name, content)
    if problem is not None:
        raise BundleProblemError(problem)
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
