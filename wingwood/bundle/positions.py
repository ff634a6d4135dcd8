"""Positions of the items of a whole edition, so that an item that stays costs nothing (docs/DESIGN.md section 5.8).

Whoever translates a whole order numbers its items from 0. If one is left out, all behind it would differ from what is
held by nothing but their position: thousands of slices in the record, in the history and on the way to each router.
Positions assigned here leave room, so that an item may be put in anywhere too.
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
"""Slices whose position is read, or written anew, without a pause."""
POSITION_GAP: Final = 1 << 16
"""Between the positions of two new items, for those that will be put in between."""
POSITIONED_KINDS: Final = ("route", "pool", "tenant")

Slices = dict[SliceName, bytes]


class _Positioned(msgspec.Struct):
    position: int = 0


_positioned = msgspec.json.Decoder(_Positioned)


def with_retained_positions(held: Mapping[SliceName, bytes], changed: Mapping[SliceName, bytes]) -> Steps[Slices]:
    """``changed``, a whole edition, in the same order; most items that ``held`` has keep their position there.

    Slices that can't be read are left as they are: what follows refuses them.
    """
    result = dict(changed)
    for kind in POSITIONED_KINDS:
        names = [name for name in changed if name.startswith(f"{kind}/")]
        given = yield from _positions(changed, names)
        if len(set(given.values())) < len(given):
            continue  # Nobody numbered them.
        before = yield from _positions(held, [name for name in given if name in held])
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
    found: dict[SliceName, int] = {}
    for number, name in enumerate(names, 1):
        with contextlib.suppress(msgspec.MsgspecError, UnicodeError):
            found[name] = _positioned.decode(slices[name]).position
        if number % SLICES_PER_STEP == 0:
            yield
    return found


def _assigned(in_order: Sequence[SliceName], before: Mapping[SliceName, int]) -> dict[SliceName, int]:
    """Rising positions; most items of ``before`` keep theirs, and new ones share the room in between.

    Where there is no room, the items behind move up until there is some again.
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
    assigned.update({name: low + step * number for number, name in enumerate(names, 1)})


def _longest_increasing(names: Sequence[SliceName], before: Mapping[SliceName, int]) -> frozenset[SliceName]:
    """A longest choice of ``names``, in their order, whose positions rise (patience sorting)."""
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
