"""Canonical slices, their digests and the root (docs/DESIGN.md section 5)."""

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
"""Kind, bare name, and for a variant (section 19) whom it is for."""
NAMES_PER_STEP = 2_000
EMPTY_ROOT = Digest(hashlib.sha256(b"").hexdigest())


def canonical_json(value: msgspec.Struct | Mapping[str, object]) -> bytes:
    """JSON with sorted keys and no white space; the same value gives the same bytes everywhere."""
    return _encoder.encode(value)


def is_canonical(data: bytes) -> bool:
    """Whether the bytes are JSON exactly as ``canonical_json`` would write it (doubled keys are not)."""
    try:
        return _encoder.encode(msgspec.json.decode(data)) == data
    except (msgspec.MsgspecError, RecursionError):
        return False


def slice_digest(data: bytes) -> Digest:
    """Hex SHA-256 of a slice's bytes."""
    return Digest(hashlib.sha256(data).hexdigest())


def root_digest(digests: Mapping[SliceName, Digest]) -> Digest:
    """Hex SHA-256 over the lines ``NAME DIGEST``, sorted by name. Names hold neither spaces nor line ends."""
    return at_once(root_digest_steps(digests))


def root_digest_steps(digests: Mapping[SliceName, Digest]) -> Steps[Digest]:
    """As ``root_digest``."""
    root = hashlib.sha256()
    names = sorted(digests)
    for start in range(0, len(names), NAMES_PER_STEP):
        if start:
            yield
        lines = "".join([f"{name} {digests[name]}\n" for name in names[start : start + NAMES_PER_STEP]])
        root.update(lines.encode())
    return Digest(root.hexdigest())
