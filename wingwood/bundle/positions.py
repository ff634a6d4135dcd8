"""Assigns positions to the items of an edition that replaces all slices (docs/DESIGN.md section 5.8).

The translator of such an edition numbers its items from 0. If an item is left out, all items after it would differ
from the current ones in their position only: thousands of slices in the journal record, in the history and in the
updates sent to each router. Therefore unchanged items retain their current positions. New positions are assigned with
gaps between them, so that an item may be inserted anywhere later without changing others.
"""

from __future__ import annotations

import contextlib
from bisect import bisect_left
from collections.abc import Mapping, Sequence
from typing import Final

import msgspec

from ..identifiers import SliceName
from .canonical import canonical_json
from .gradual import Steps

SLICES_PER_STEP: Final = 100
"""Slices whose position is read or rewritten before other tasks may run."""
POSITION_GAP: Final = 1 << 16
"""Distance between the positions of two new items, for items that are inserted between them later."""
POSITIONED_KINDS: Final = ("route", "pool", "tenant")
"""Kinds of slices that have a position."""

Slices = dict[SliceName, bytes]


class _Positioned(msgspec.Struct):
    position: int = 0


_positioned = msgspec.json.Decoder(_Positioned)


def with_retained_positions(current: Mapping[SliceName, bytes], changed: Mapping[SliceName, bytes]) -> Steps[Slices]:
    """Returns ``changed``, all slices of an edition, with new positions in the same order.

    Most items that ``current`` has retain their position from there. Slices that can't be decoded are left as they are;
    the later checks refuse them.
    """
    result = dict(changed)
    for kind in POSITIONED_KINDS:
        names = [name for name in changed if name.startswith(f"{kind}/")]
        given = yield from _positions(changed, names)
        if len(set(given.values())) < len(given):
            continue  # Two items have the same position, so the translator did not number them.
        before = yield from _positions(current, [name for name in given if name in current])
        in_order = sorted(given, key=given.__getitem__)
        written = 0
        for name, position in _assigned(in_order, before).items():
            if position == given[name]:
                continue
            result[name] = canonical_json({**msgspec.json.decode(changed[name]), "position": position})
            written += 1
            if written % SLICES_PER_STEP == 0:
                yield
    return result


def _positions(slices: Mapping[SliceName, bytes], names: Sequence[SliceName]) -> Steps[dict[SliceName, int]]:
    """Returns the positions of the named slices, without those that can't be decoded."""
    positions: dict[SliceName, int] = {}
    for number, name in enumerate(names, 1):
        with contextlib.suppress(msgspec.MsgspecError, UnicodeError):
            positions[name] = _positioned.decode(slices[name]).position
        if number % SLICES_PER_STEP == 0:
            yield
    return positions


def _assigned(in_order: Sequence[SliceName], before: Mapping[SliceName, int]) -> dict[SliceName, int]:
    """Returns increasing positions for the items in this order.

    Most items of ``before`` retain their position, and new items share the gaps between them. Where a gap is too
    small, the items after it get higher positions, up to the first one that fits without a change.
    """
    unmoved = _longest_increasing([name for name in in_order if name in before], before)
    assigned: dict[SliceName, int] = {}
    low = -1
    new: list[SliceName] = []
    for name in in_order:
        if name not in unmoved:
            new.append(name)
            continue
        high = before[name]
        if high - low <= len(new):
            high = low + POSITION_GAP * (len(new) + 1)
        _assign_evenly(assigned, new, low, (high - low) // (len(new) + 1))
        assigned[name] = low = high
        new = []
    _assign_evenly(assigned, new, low, POSITION_GAP)
    return assigned


def _assign_evenly(assigned: dict[SliceName, int], names: Sequence[SliceName], low: int, step: int) -> None:
    """Assigns positions at distances of ``step`` above ``low``."""
    assigned.update({name: low + step * number for number, name in enumerate(names, 1)})


def _longest_increasing(names: Sequence[SliceName], before: Mapping[SliceName, int]) -> frozenset[SliceName]:
    """Returns a longest subsequence of ``names`` with increasing positions, found by patience sorting."""
    ends: list[int] = []
    last: list[SliceName] = []
    previous: dict[SliceName, SliceName | None] = {}
    for name in names:
        length = bisect_left(ends, before[name])
        previous[name] = last[length - 1] if length else None
        ends[length : length + 1] = [before[name]]
        last[length : length + 1] = [name]
    chosen: set[SliceName] = set()
    name_or_end = last[-1] if last else None
    while name_or_end is not None:
        chosen.add(name_or_end)
        name_or_end = previous[name_or_end]
    return frozenset(chosen)
