"""Turns orders with the operator's own edition numbers into signed bundles (docs/DESIGN.md section 5.8)."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Collection, Mapping
from typing import Final

import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from returns.result import Failure, Result, Success

from ..identifiers import BundleVersion, Digest, SliceName, WallTime
from .canonical import canonical_json
from .errors import BundleCheckError, BundleError
from .gradual import Steps
from .model import Bundle, Edition, EditionChange, Manifest
from .parse import CheckedBundle, change_steps, parse_slice
from .positions import with_retained_positions
from .signing import sign_manifest

EDITION_SLICE: Final = SliceName("edition/operator")
"""The slice that holds the operator's edition number."""
_FINGERPRINT_PREFIX: Final = b"wingwood edition order 1\n"


def edition_fingerprint(change: EditionChange) -> bytes:
    """Returns sixteen bytes that distinguish an edition order from any other, and from all signed orders.

    The slices are left out: when an order is resent, the translator may derive them from later content.
    """
    order_identity = msgspec.msgpack.encode((change.order, change.base, change.number))
    return hashlib.sha256(_FINGERPRINT_PREFIX + order_identity).digest()[:16]


def edition_number_in(data: bytes | None) -> int:
    """Returns the operator's number in the content of an edition slice; 0 when there is no slice."""
    return 0 if data is None else msgspec.json.decode(data, type=Edition).number


def signed_steps(
    base: Bundle, change: EditionChange, key: Ed25519PrivateKey, signed_at: Callable[[], WallTime]
) -> Steps[CheckedBundle]:
    """Returns, in steps, the bundle that results from applying ``change`` to ``base``, checked and signed."""
    edition = _edition_slice(base, change)
    if isinstance(edition, BundleError):
        return Failure(edition)
    version = BundleVersion(base.version + 1)

    def sign(root: Digest) -> Result[Manifest, BundleError]:
        manifest = Manifest(
            version=version, base=base.version, root=root, order=change.order, signed_at=signed_at(), signer=""
        )
        return Success(sign_manifest(manifest, key))

    given = (yield from with_retained_positions(base.slices, change.changed)) if change.replaces_all else change.changed
    changed = {**given, EDITION_SLICE: edition}
    return (yield from change_steps(base, sign, changed, removed_by(base.slices, changed, change)))


def removed_by(
    slices: Mapping[SliceName, bytes], changed: Mapping[SliceName, bytes], change: EditionChange
) -> Collection[SliceName]:
    """Returns the names of the slices that the change removes; those in ``changed`` are never among them."""
    if change.replaces_all:
        return [name for name in slices if name not in changed]
    return [name for name in change.removed if name not in changed]


def _edition_slice(base: Bundle, change: EditionChange) -> bytes | BundleError:
    """Returns the edition slice with the new number, or the error in the one that the change has.

    The annotations are those of the change, if it has any. Otherwise those of the base's edition stay, unless the
    change replaces all slices.
    """
    given = change.changed.get(EDITION_SLICE)
    if given is None:
        annotations = {} if change.replaces_all or base.edition is None else base.edition.annotations
        return canonical_json(Edition(number=change.number, annotations=annotations))
    try:
        edition = parse_slice(EDITION_SLICE, given)
    except BundleCheckError as raised:
        return raised.error
    if not isinstance(edition, Edition) or edition.number != change.number:
        return BundleError(
            code="field", slice=EDITION_SLICE, field="number", remedy=f"must be {change.number} as in the order"
        )
    return given
