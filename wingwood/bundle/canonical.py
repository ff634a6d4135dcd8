"""Canonical form of slices, their digests and the root digest of a bundle (docs/DESIGN.md section 5)."""

from __future__ import annotations

import hashlib
import re
from collections.abc import Mapping

import msgspec

from ..identifiers import Digest, SliceName
from .gradual import Steps, at_once

_encoder = msgspec.json.Encoder(order="sorted")

NAME_PATTERN = r"[a-z0-9][a-z0-9._-]{0,63}"
SLICE_NAME = re.compile(
    rf"(service|route|class|tenant|rollout|pool|limits|edition)/({NAME_PATTERN})(?:@([a-z]+=[a-z0-9._-]{{1,64}}))?"
)
"""Groups: the kind, the name without its kind, and for a variant (section 19) the routers it applies to."""
NAMES_PER_STEP = 2_000
"""Slice names hashed into the root digest before other tasks may run."""
EMPTY_ROOT = Digest(hashlib.sha256(b"").hexdigest())
"""Root digest of a bundle without slices."""


def canonical_json(value: msgspec.Struct | Mapping[str, object]) -> bytes:
    """Encodes a value as JSON with sorted keys and no white space; equal values give equal bytes on every machine."""
    return _encoder.encode(value)


def is_canonical(data: bytes) -> bool:
    """Returns whether the bytes are JSON exactly as ``canonical_json`` writes it. JSON with a repeated key is not."""
    try:
        return _encoder.encode(msgspec.json.decode(data)) == data
    except (msgspec.MsgspecError, RecursionError):
        return False


def slice_digest(data: bytes) -> Digest:
    """Returns the SHA-256 of a slice's bytes in hex digits."""
    return Digest(hashlib.sha256(data).hexdigest())


def root_digest(digests: Mapping[SliceName, Digest]) -> Digest:
    """Returns the SHA-256, in hex digits, of the lines ``NAME DIGEST`` sorted by name.

    The lines are unambiguous, since slice names contain neither spaces nor line ends.
    """
    return at_once(root_digest_steps(digests))


def root_digest_steps(digests: Mapping[SliceName, Digest]) -> Steps[Digest]:
    """Does the work of ``root_digest`` in steps of ``NAMES_PER_STEP`` names."""
    root = hashlib.sha256()
    names = sorted(digests)
    for start in range(0, len(names), NAMES_PER_STEP):
        if start:
            yield
        lines = "".join([f"{name} {digests[name]}\n" for name in names[start : start + NAMES_PER_STEP]])
        root.update(lines.encode())
    return Digest(root.hexdigest())
