"""Joins deltas and stores the latest ones of this daemon (docs/DESIGN.md section 9.2)."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from functools import reduce

import msgspec

from ..bundle.model import Bundle, BundleDelta
from ..identifiers import BundleVersion

MAX_CACHE_BYTES = 4 * 1024 * 1024
"""The size limit of a ``DeltaChain``, and separately of the encoded deltas of a ``ChunkServer``."""


def join_deltas(first: BundleDelta, second: BundleDelta) -> BundleDelta:
    """Returns one delta that has the effect of ``first`` followed by ``second``.

    Raises ValueError unless ``second`` starts at the version that ``first`` leads to.
    """
    if second.since != first.manifest.version:
        raise ValueError(
            f"cannot join a delta from version {second.since} to a delta that ends at {first.manifest.version}"
        )
    removed = dict.fromkeys((*(name for name in first.removed if name not in second.changed), *second.removed))
    changed = {name: content for name, content in first.changed.items() if name not in removed} | second.changed
    return BundleDelta(since=first.since, manifest=second.manifest, changed=changed, removed=tuple(removed))


def join_consecutive(deltas: Iterable[BundleDelta], version: BundleVersion) -> BundleDelta | None:
    """Joins those of ``deltas`` that continue ``version`` one after the other; returns None when none does.

    Deltas that would leave a gap are left out.
    """
    joined: BundleDelta | None = None
    for delta in sorted(deltas, key=lambda delta: (delta.since, delta.manifest.version)):
        if delta.since <= version < delta.manifest.version:
            joined = delta if joined is None else join_deltas(joined, msgspec.structs.replace(delta, since=version))
            version = delta.manifest.version
    return joined


def full_delta(bundle: Bundle) -> BundleDelta:
    """Returns the delta from no bundle at all to ``bundle``."""
    return BundleDelta(since=BundleVersion(0), manifest=bundle.manifest, changed=dict(bundle.slices), removed=())


def slice_bytes(delta: BundleDelta) -> int:
    """Returns the total number of bytes of the changed slices."""
    return sum(map(len, delta.changed.values()))


class DeltaChain:
    """The last deltas applied on this daemon, so that daemons a few versions behind need not fetch everything."""

    def __init__(self, max_deltas: int) -> None:
        self._deltas: deque[BundleDelta] = deque()
        self._max_deltas = max_deltas
        self._bytes = 0

    def add(self, delta: BundleDelta, replaced_version: BundleVersion) -> None:
        """Appends ``delta``, which took this daemon from ``replaced_version`` to the version of the delta's manifest.

        A full delta clears the chain and is not stored. A delta that does not continue the chain starts a new one.
        """
        if delta.since == 0 and replaced_version > 0:
            self._clear()
            return
        if delta.since < replaced_version:
            delta = msgspec.structs.replace(delta, since=replaced_version)
        if self._deltas and self._deltas[-1].manifest.version != delta.since:
            self._clear()
        self._deltas.append(delta)
        self._bytes += slice_bytes(delta)
        while self._deltas and (len(self._deltas) > self._max_deltas or self._bytes > MAX_CACHE_BYTES):
            self._bytes -= slice_bytes(self._deltas.popleft())

    def _clear(self) -> None:
        self._deltas.clear()
        self._bytes = 0

    def since(self, version: BundleVersion) -> BundleDelta | None:
        """Returns the delta from ``version`` to the latest version; None when the chain starts after ``version``."""
        newer: list[BundleDelta] = []
        for delta in reversed(self._deltas):
            newer.append(delta)
            if delta.since <= version:
                return reduce(join_deltas, reversed(newer))
        return None
