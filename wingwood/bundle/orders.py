"""Makes orders on an operator's client: the differences to the base, signed (docs/DESIGN.md section 5.3)."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping

import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from ..identifiers import BundleVersion, OrderId, SliceName, WallTime
from .canonical import root_digest, slice_digest
from .model import Manifest, Order
from .signing import sign_manifest


def difference(
    before: Mapping[SliceName, bytes], after: Mapping[SliceName, bytes]
) -> tuple[dict[SliceName, bytes], tuple[SliceName, ...]]:
    """Returns the slices to add or replace, and the names of those to remove, both sorted by name."""
    changed = {name: after[name] for name in sorted(after) if before.get(name) != after[name]}
    return changed, tuple(sorted(name for name in before if name not in after))


def make_order(
    base: BundleVersion,
    before: Mapping[SliceName, bytes],
    after: Mapping[SliceName, bytes],
    key: Ed25519PrivateKey,
    order: OrderId,
    signed_at: WallTime,
) -> Order:
    """Returns the signed order that changes version ``base`` with slices ``before`` into slices ``after``."""
    changed, removed = difference(before, after)
    manifest = Manifest(
        version=BundleVersion(base + 1),
        base=base,
        root=root_digest({name: slice_digest(data) for name, data in after.items()}),
        order=order,
        signed_at=signed_at,
        signer="",
    )
    return Order(manifest=sign_manifest(manifest, key), changed=changed, removed=removed, replaces_all=base == 0)


def manifest_fingerprint(manifest: Manifest) -> bytes:
    """Returns sixteen bytes that distinguish a signed manifest from any other."""
    return hashlib.sha256(msgspec.msgpack.encode(manifest)).digest()[:16]
