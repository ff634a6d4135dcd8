"""A list of daemons with an order-independent digest and numbered changes (docs/DESIGN.md section 8.2)."""

from __future__ import annotations

import hashlib
from collections import deque
from collections.abc import Iterable, Sequence
from itertools import islice

import msgspec

from ..identifiers import Incarnation
from ..transport.frames import Identity

DIGEST_MODULUS = 1 << 64
UNLIMITED_CHANGES = 1 << 30


def fingerprint(identity: Identity) -> int:
    """Returns 64 bits of a hash over the complete identity."""
    return int.from_bytes(hashlib.blake2b(msgspec.msgpack.encode(identity), digest_size=8).digest(), "big")


class Changes(msgspec.Struct, frozen=True):
    """Changes up to number ``last_sequence``: the daemons that are on the list now, and those that are not."""

    last_sequence: int
    joined: tuple[Identity, ...]
    left: tuple[Incarnation, ...]


class _BucketDigests(msgspec.Struct, frozen=True):
    """Digests of the list's buckets as of one sequence number."""

    sequence: int
    digests: tuple[int, ...]


class MemberList:
    """Identities by incarnation. Changes are numbered, and the last ``max_retained_changes`` of them are retained."""

    def __init__(self, max_retained_changes: int = 4096) -> None:
        self.sequence = 0
        self.digest = 0
        self._members: dict[Incarnation, Identity] = {}
        self._fingerprints: dict[Incarnation, int] = {}
        self._changes: deque[tuple[int, Incarnation]] = deque(maxlen=max_retained_changes)
        self._bucket_cache: _BucketDigests | None = None

    def __len__(self) -> int:
        return len(self._members)

    def __contains__(self, incarnation: object) -> bool:
        return incarnation in self._members

    def get(self, incarnation: Incarnation) -> Identity | None:
        """Returns the identity of a member; None if the daemon is not on the list."""
        return self._members.get(incarnation)

    def incarnations(self) -> list[Incarnation]:
        """Returns the incarnations in the order of their entry, the oldest first."""
        return list(self._members)

    def identities(self) -> list[Identity]:
        """Returns the identities in the order of their entry, the oldest first."""
        return list(self._members.values())

    def put(self, identity: Identity) -> bool:
        """Adds or replaces the member; returns whether this changed the list."""
        incarnation = identity.incarnation
        if self._members.get(incarnation) == identity:
            return False
        self.digest -= self._fingerprints.get(incarnation, 0)
        self._members[incarnation] = identity
        self._fingerprints[incarnation] = fingerprint(identity)
        self.digest = (self.digest + self._fingerprints[incarnation]) % DIGEST_MODULUS
        self._record_change(incarnation)
        return True

    def drop(self, incarnation: Incarnation) -> bool:
        """Removes the member; returns whether it was on the list."""
        if self._members.pop(incarnation, None) is None:
            return False
        self.digest = (self.digest - self._fingerprints.pop(incarnation)) % DIGEST_MODULUS
        self._record_change(incarnation)
        return True

    def _record_change(self, incarnation: Incarnation) -> None:
        self.sequence += 1
        self._changes.append((self.sequence, incarnation))

    def changes_since(self, sequence: int, limit: int = UNLIMITED_CHANGES) -> Changes | None:
        """Returns the changes after ``sequence``, or None if they are not retained or ``sequence`` is of another list.

        If there are more than ``limit`` changes, the oldest ones are returned.
        """
        if sequence == self.sequence:
            return Changes(sequence, (), ())
        if sequence > self.sequence or not self._changes or self._changes[0][0] > sequence + 1:
            return None
        start = sequence + 1 - self._changes[0][0]
        included = list(islice(self._changes, start, start + limit))
        changed = dict.fromkeys(incarnation for _, incarnation in included)
        joined = tuple(self._members[incarnation] for incarnation in changed if incarnation in self._members)
        left = tuple(incarnation for incarnation in changed if incarnation not in self._members)
        return Changes(included[-1][0], joined, left)

    def buckets(self, count: int) -> tuple[int, ...]:
        """Returns the digests of ``count`` buckets; a member's bucket follows from its fingerprint."""
        cached = self._bucket_cache
        if cached is not None and (cached.sequence, len(cached.digests)) == (self.sequence, count):
            return cached.digests
        sums = [0] * count
        for value in self._fingerprints.values():
            sums[value % count] = (sums[value % count] + value) % DIGEST_MODULUS
        self._bucket_cache = _BucketDigests(self.sequence, tuple(sums))
        return self._bucket_cache.digests

    def in_buckets(self, buckets: Iterable[int], count: int) -> Sequence[Identity]:
        """Returns the members in these of ``count`` buckets."""
        included = frozenset(buckets)
        return [
            self._members[incarnation] for incarnation, value in self._fingerprints.items() if value % count in included
        ]


def bucket_count(members: int) -> int:
    """Returns a number of buckets with about four members each, so that few changes affect few buckets."""
    return min(1024, max(16, 1 << (max(1, members // 4) - 1).bit_length()))
