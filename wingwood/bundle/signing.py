"""Signs manifests with operators' Ed25519 keys and verifies their signatures (docs/DESIGN.md section 5)."""

from __future__ import annotations

from collections.abc import Collection

import msgspec
from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey, Ed25519PublicKey

from .model import Manifest

SIGNATURE_PREFIX = b"wingwood bundle manifest 1\n"
"""Precedes the signed bytes, so that a signature made for another purpose can't be used for a manifest."""


def signed_bytes(manifest: Manifest) -> bytes:
    """Returns the bytes that the signature covers: ``SIGNATURE_PREFIX`` and every field except ``signature``."""
    bare = msgspec.structs.replace(manifest, signature=b"")
    return SIGNATURE_PREFIX + msgspec.msgpack.encode(bare)


def public_hex(key: Ed25519PrivateKey) -> str:
    """Returns the public key in hex digits, in the form in which settings list operators' keys."""
    return key.public_key().public_bytes_raw().hex()


def sign_manifest(manifest: Manifest, key: Ed25519PrivateKey) -> Manifest:
    """Returns the manifest signed with ``key``, with its ``signer`` and ``signature`` filled in."""
    named = msgspec.structs.replace(
        manifest, signer=public_hex(key), signed_at=float(manifest.signed_at), signature=b""
    )
    return msgspec.structs.replace(named, signature=key.sign(signed_bytes(named)))


def verify_manifest(manifest: Manifest, operator_keys: Collection[str]) -> str | None:
    """Returns None when one of ``operator_keys`` signed the manifest, else the reason for refusing it."""
    if manifest.signer not in operator_keys:
        return f"signer {manifest.signer[:64]!r} is not one of the {len(operator_keys)} operator keys in the settings"
    try:
        public = Ed25519PublicKey.from_public_bytes(bytes.fromhex(manifest.signer))
        public.verify(manifest.signature, signed_bytes(manifest))
    except ValueError as malformed:
        return f"signer is not an Ed25519 public key: {malformed}"
    except InvalidSignature:
        return "the signature does not fit the manifest"
    return None
