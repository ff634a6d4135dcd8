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
from .draft import STEP_PARTS, Draft
from .field_checks import Part, check_fields
from .gradual import Steps, at_once, gradually
from .model import Bundle, BundleDelta, CallerLimits, Edition, Manifest, Pool, PriorityClass, Rollout, Service, Tenant
from .problem import Broken, BundleProblem
from .rollouts import check_rollout, check_rollouts
from .route import Route
from .signing import verify_manifest
from .variants import Place, at_place, check_variants, plain_name

SLICE_BYTES = 256 * 1024
SLICE_COUNT = 100_000
BUNDLE_BYTES = 16 * 1024 * 1024

STEP_BYTES = 100_000
"""About a millisecond's worth of slices."""
SLICE_COST = 1_000
"""What reading any slice costs, in bytes of reading more of one."""

Checked = Result[Bundle, BundleProblem]
ManifestOf = Callable[[Digest], Result[Manifest, BundleProblem]]
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


def parse_bundle(manifest: Manifest, slices: Mapping[SliceName, bytes], place: Place | None = None) -> Checked:
    """A whole bundle, its root and its cross references checked; the signature is not looked at."""
    return change_bundle(empty_bundle(), manifest, slices, (), place)


def parse_steps(manifest: Manifest, slices: Mapping[SliceName, bytes]) -> Steps[Checked]:
    """As ``parse_bundle``, in steps."""
    return change_steps(empty_bundle(), _given(manifest), slices, ())


def apply_delta(
    bundle: Bundle | None, delta: BundleDelta, operator_keys: Collection[str], place: Place | None = None
) -> Checked:
    """The verified bundle that ``delta`` leads to. ``bundle`` itself stays as it is.

    ``delta.since`` 0 carries everything and replaces all slices; otherwise the holder must have
    ``since`` or a newer version. Never goes back: a version that is not newer is a ``stale`` problem.
    ``place``: whose variants are chosen (section 19); None chooses none.
    """
    return at_once(_delta_steps(bundle, delta, operator_keys, place))


async def apply_delta_gradually(
    bundle: Bundle | None, delta: BundleDelta, operator_keys: Collection[str], place: Place | None = None
) -> Checked:
    """As ``apply_delta``, but lets other tasks run in between, so that a large bundle holds up no stream.

    The result counts for ``bundle`` as given: whoever holds a newer one meanwhile drops it.
    """
    return await gradually(_delta_steps(bundle, delta, operator_keys, place))


def _delta_steps(
    bundle: Bundle | None, delta: BundleDelta, operator_keys: Collection[str], place: Place | None
) -> Steps[Checked]:
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
    return (yield from change_steps(held, _given(manifest), delta.changed, removed, place))


def change_bundle(
    held: Bundle,
    manifest: Manifest,
    changed: Mapping[SliceName, bytes],
    removed: Collection[SliceName],
    place: Place | None = None,
) -> Checked:
    """``held`` with those slices put in and taken out, checked against the manifest's root.

    Costs by what changed, apart from one pass over the slices' digests for the root.
    """
    return at_once(change_steps(held, _given(manifest), changed, removed, place))


def _given(manifest: Manifest) -> ManifestOf:
    """That manifest, if it is of these slices."""

    def check(root: Digest) -> Result[Manifest, BundleProblem]:
        if root == manifest.root:
            return Success(manifest)
        return Failure(
            BundleProblem(
                code="root",
                field="root",
                value=manifest.root[:64],
                mend=f"the slices give {root}; a slice was altered, left out or added on the way, send it again whole",
            )
        )

    return check


def change_steps(
    held: Bundle,
    manifest_of: ManifestOf,
    changed: Mapping[SliceName, bytes],
    removed: Collection[SliceName],
    place: Place | None = None,
) -> Steps[Checked]:
    """As ``change_bundle``, in steps of about ``STEP_BYTES`` of slices. The manifest may depend on the new root."""
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
        done += len(data) + SLICE_COST // 10
        if done > STEP_BYTES:
            done = 0
            yield
    slices.update(fresh)
    gone = [name for name in sorted(removed) if name in held.slices and name not in changed]
    match manifest_of((yield from root_digest_steps(digests))):
        case Failure(problem):
            return Failure(problem)
        case Success(manifest):
            pass
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
) -> Steps[Bundle]:
    if len(slices) > SLICE_COUNT:
        raise Broken(BundleProblem(code="large", value=f"{len(slices)} slices", mend=f"keep below {SLICE_COUNT}"))
    draft = Draft(held)
    for name in gone:
        draft.remove(name)
    yield
    for number, (name, part) in enumerate(parts, 1):
        draft.put(name, part)
        if number % STEP_PARTS == 0:
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


def read_part(name: SliceName, data: bytes) -> Part:
    """One slice read and its own fields checked; raises the module's private problem."""
    matched = SLICE_NAME.fullmatch(name)
    if matched is None:
        raise Broken(
            BundleProblem(
                code="slice",
                slice=name[:80],
                mend="slices are called service/NAME, route/NAME, class/NAME, tenant/NAME, rollout/NAME, pool/NAME,"
                " limits/callers or edition/operator,"
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
    if isinstance(part, Rollout):
        check_rollout(part)
    problem = check_fields(name, part)
    if problem is not None:
        raise Broken(problem)
    return part


_decoders: dict[str, msgspec.json.Decoder[Part]] = {
    "service": msgspec.json.Decoder(Service),
    "route": msgspec.json.Decoder(Route),
    "class": msgspec.json.Decoder(PriorityClass),
    "tenant": msgspec.json.Decoder(Tenant),
    "rollout": msgspec.json.Decoder(Rollout),
    "pool": msgspec.json.Decoder(Pool),
    "limits": msgspec.json.Decoder(CallerLimits),
    "edition": msgspec.json.Decoder(Edition),
}
