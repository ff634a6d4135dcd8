"""Rendezvous hashing: daemons with the same list make the same choice (docs/DESIGN.md section 8)."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable
from typing import TypeVar

Candidate = TypeVar("Candidate")


def weight(key: str, candidate: str) -> int:
    """Returns the candidate's weight for the key: the same number on every daemon."""
    digest = hashlib.blake2b(
        candidate.encode(), key=hashlib.blake2b(key.encode(), digest_size=32).digest(), digest_size=8
    )
    return int.from_bytes(digest.digest(), "big")


def ranked(key: str, candidates: Iterable[Candidate], name: Callable[[Candidate], str]) -> list[Candidate]:
    """Returns all candidates in order of decreasing weight; the first one is the choice for ``key``."""
    return sorted(candidates, key=lambda candidate: (-weight(key, name(candidate)), name(candidate)))
