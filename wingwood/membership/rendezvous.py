"""Highest-random-weight choice: every daemon with the same list makes the same choice (docs/DESIGN.md section 8)."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable
from typing import TypeVar

Candidate = TypeVar("Candidate")


def weight(key: str, candidate: str) -> int:
    digest = hashlib.blake2b(
        candidate.encode(), key=hashlib.blake2b(key.encode(), digest_size=32).digest(), digest_size=8
    )
    return int.from_bytes(digest.digest(), "big")


def ranked(key: str, candidates: Iterable[Candidate], name: Callable[[Candidate], str]) -> list[Candidate]:
    """All candidates, the one that should keep ``key`` first."""
    return sorted(candidates, key=lambda candidate: (-weight(key, name(candidate)), name(candidate)))
