"""Tests that a state sent in chunks, packed or not, arrives unchanged (docs/DESIGN.md section 7.2)."""

from __future__ import annotations

import random
import unittest

from ...identifiers import Epoch, Incarnation
from ..state_transfer import StateReceiver, Transfer, split_into_chunks

RECEIVER = Incarnation("backup")
TRANSFER = Transfer(Incarnation("primary"), Epoch(3), 1)
STATE = b'{"name":"route","annotations":{}}' * 3000
PIECE_BYTES = 1000


class StateTransferTest(unittest.TestCase):
    def received(self, state: bytes, packed: bool) -> tuple[bytes | None, int]:
        """Sends the chunks in random order; returns the state received after the last one, and the bytes sent."""
        chunks = list(split_into_chunks(state, RECEIVER, TRANSFER, PIECE_BYTES, packed))
        travelled = sum(len(chunk.data) for chunk in chunks)
        random.Random(1).shuffle(chunks)
        receiver = StateReceiver()
        for chunk in chunks[:-1]:
            self.assertIsNone(receiver.add(chunk))
        return receiver.add(chunks[-1]), travelled

    def test_a_state_arrives_as_it_was_sent(self) -> None:
        for packed in (False, True):
            for state in (STATE, random.Random(2).randbytes(5000), b""):
                with self.subTest(packed=packed, size=len(state)):
                    self.assertEqual(self.received(state, packed)[0], state)

    def test_a_packed_state_takes_a_fraction_of_the_bytes(self) -> None:
        self.assertEqual(self.received(STATE, packed=False)[1], len(STATE))
        self.assertLess(self.received(STATE, packed=True)[1], len(STATE) / 10)
