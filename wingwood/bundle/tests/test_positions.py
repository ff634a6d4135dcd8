"""Tests of the positions of items in an edition that replaces all slices (docs/DESIGN.md section 5.8)."""

from __future__ import annotations

import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from ...identifiers import SliceName
from ..canonical import canonical_json
from ..gradual import at_once
from ..positions import with_retained_positions

Slices = dict[SliceName, bytes]


def numbered(names: list[str]) -> Slices:
    """Returns route slices numbered from 0, as a translator numbers them."""
    return {SliceName(f"route/{name}"): item(position) for position, name in enumerate(names)}


def item(position: int) -> bytes:
    return canonical_json({"annotations": {"position": 7}, "position": position})


def with_positions(current: Slices, names: list[str]) -> Slices:
    """Returns the items in this order, with positions retained from ``current`` where possible."""
    return at_once(with_retained_positions(current, numbered(names)))


def in_order(slices: Slices) -> list[str]:
    """Returns the names of the items, sorted by position."""
    position = {name: msgspec.json.decode(data)["position"] for name, data in slices.items()}
    return [name.removeprefix("route/") for name in sorted(position, key=position.__getitem__)]


def changed_names(current: Slices, slices: Slices) -> set[str]:
    """Returns the names of the items that differ from the current ones."""
    return {name.removeprefix("route/") for name, data in slices.items() if current.get(name) != data}


class PositionTest(unittest.TestCase):
    """Guards against needless changes of positions, which would make thousands of slices differ after a small edit."""

    def test_omitting_an_item_does_not_change_later_items(self) -> None:
        current = numbered(list("abcdef"))
        slices = with_positions(current, list("acdefg"))
        self.assertEqual(changed_names(current, slices), {"g"})

    def test_new_item_at_the_place_of_an_omitted_one_changes_no_other(self) -> None:
        current = numbered(list("abcdef"))
        self.assertEqual(changed_names(current, with_positions(current, list("axcdef"))), {"x"})

    def test_inserting_items_changes_no_other_item(self) -> None:
        names = [f"{number:03}" for number in range(0, 400, 4)]
        current = with_positions({}, names)
        for number in (1, 2, 3, 5, 203, 202, 399):
            names = sorted([*names, f"{number:03}"])
            after = with_positions(current, names)
            self.assertEqual(changed_names(current, after), {f"{number:03}"})
            current = after

    def test_positions_without_gaps_are_spread_once(self) -> None:
        current = with_positions(numbered(list("acdef")), list("abcdef"))
        self.assertEqual(changed_names(current, with_positions(current, list("abcxdef"))), {"x"})

    def test_item_moved_to_a_front_with_a_gap_changes_no_other(self) -> None:
        current = with_positions(numbered(list("abcdef")), list("bcdef"))
        self.assertEqual(changed_names(current, with_positions(current, list("fbcde"))), {"f"})

    def test_undecodable_slices_are_left_for_later_checks(self) -> None:
        broken = {SliceName("route/a"): b"{", SliceName("route/b"): item(4)}
        self.assertEqual(at_once(with_retained_positions(broken, broken))[SliceName("route/a")], b"{")

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(st.lists(st.lists(st.sampled_from("abcdefgh"), unique=True), max_size=8))
    def test_the_order_is_always_the_one_given(self, editions: list[list[str]]) -> None:
        current: Slices = {}
        for names in editions:
            current = with_positions(current, names)
            self.assertEqual(in_order(current), names)
