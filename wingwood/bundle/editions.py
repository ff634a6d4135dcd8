"""Orders on the operator's own numbers, as control turns them into signed bundles (docs/DESIGN.md section 5.8)."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Collection, Mapping
from typing import Final

import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from returns.result import Failure, Result, Success

from ..identifiers import BundleVersion, Digest, SliceName, WallTime
from .canonical import canonical_json
from .gradual import Steps
from .model import Bundle, Edition, EditionChange, Manifest
from .parse import Checked, change_steps, parse_slice
from .positions import with_retained_positions
from .problem import BundleProblem, BundleProblemError
from .signing import sign_manifest

EDITION_SLICE: Final = SliceName("edition/operator")
_FINGERPRINT_PREFIX: Final = b"wingwood edition order 1\n"


def edition_fingerprint(change: EditionChange) -> bytes:
    """Sixteen bytes that tell one order on operators' numbers from any other, and from all signed ones.

    The slices do not count: whoever translates an order may read them from later content when it comes again.
    """
    order_identity = msgspec.msgpack.encode((change.order, change.base, change.number))
    return hashlib.sha256(_FINGERPRINT_PREFIX + order_identity).digest()[:16]


def edition_number_in(data: bytes | None) -> int:
    """The operator's number in the slice of an edition; 0 without one."""
    return 0 if data is None else msgspec.json.decode(data, type=Edition).number


def signed_steps(
    held: Bundle, change: EditionChange, key: Ed25519PrivateKey, signed_at: Callable[[], WallTime]
) -> Steps[Checked]:
    """The bundle that follows ``held``, in steps: changed, checked and signed."""
    edition = _edition_slice(held, change)
    if isinstance(edition, BundleProblem):
        return Failure(edition)
    version = BundleVersion(held.version + 1)

    def sign(root: Digest) -> Result[Manifest, BundleProblem]:
        manifest = Manifest(
            version=version, base=held.version, root=root, order=change.order, signed_at=signed_at(), signer=""
        )
        return Success(sign_manifest(manifest, key))

    given = (yield from with_retained_positions(held.slices, change.changed)) if change.replaces_all else change.changed
    changed = {**given, EDITION_SLICE: edition}
    return (yield from change_steps(held, sign, changed, removed_by(held.slices, changed, change)))


def removed_by(
    held: Mapping[SliceName, bytes], changed: Mapping[SliceName, bytes], change: EditionChange
) -> Collection[SliceName]:
    if change.replaces_all:
        return [name for name in held if name not in changed]
    return [name for name in change.removed if name not in changed]


def _edition_slice(held: Bundle, change: EditionChange) -> bytes | BundleProblem:
    """With the new number; the annotations are the change's, else they stay (and go with all else in a whole one)."""
    given = change.changed.get(EDITION_SLICE)
    if given is None:
        annotations = {} if change.replaces_all or held.edition is None else held.edition.annotations
        return canonical_json(Edition(number=change.number, annotations=annotations))
    try:
        edition = parse_slice(EDITION_SLICE, given)
    except BundleProblemError as error:
        return error.problem
    if not isinstance(edition, Edition) or edition.number != change.number:
        return BundleProblem(
            code="field", slice=EDITION_SLICE, field="number", remedy=f"must be {change.number} as in the order"
        )
    return given
