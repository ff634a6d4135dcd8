"""Names that other processes, stored data and operators know must outlive a rename inside the code."""

from __future__ import annotations

import ast
import unittest
from pathlib import Path
from typing import Any

import msgspec

from wingwood.tests import outer_names
from wingwood.transport.messenger import wire_name

PINNED: dict[str, Any] = msgspec.json.decode(Path(__file__).with_name("outer_names.json").read_bytes())


class OuterNamesTest(unittest.TestCase):
    maxDiff = None

    def test_messages_keep_their_names_fields_and_order(self) -> None:
        self._hold("messages", outer_names.message_shapes())

    def test_each_message_travels_under_its_listed_name(self) -> None:
        for name, place in outer_names.MESSAGES.items():
            with self.subTest(message=name):
                self.assertEqual(wire_name(outer_names.load(place)), name)

    def test_each_handled_message_is_listed(self) -> None:
        """A message that is missing in the list would not be held by the other tests."""
        listed = {place.partition(":")[2] for place in outer_names.MESSAGES.values()}
        handled = set()
        for call in outer_names._calls():
            name = getattr(call.func, "attr", "")
            if name in {"on_call", "on_post"} and call.args and isinstance(call.args[0], ast.Name):
                handled.add(call.args[0].id)
        self.assertGreater(len(handled), 30)
        self.assertEqual(handled - listed, set())

    def test_documents_keep_their_tags_fields_and_order(self) -> None:
        self._hold("documents", outer_names.document_shapes())

    def test_commands_keep_their_names_and_options(self) -> None:
        self._hold("commands", outer_names.command_shapes())

    def test_log_events_keep_their_names_and_fields(self) -> None:
        self._hold("events", outer_names.log_events())

    def test_metrics_keep_their_names_and_labels(self) -> None:
        self._hold("metrics", outer_names.metrics())

    def _hold(self, part: str, found: dict[str, Any]) -> None:
        pinned = PINNED[part]
        self.assertEqual(sorted(found), sorted(pinned))
        for name, expected in pinned.items():
            with self.subTest(name=name):
                self.assertEqual(msgspec.json.decode(msgspec.json.encode(found[name])), expected)
