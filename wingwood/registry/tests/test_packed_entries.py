"""Packed lists of workers must arrive unchanged; damaged ones must be rejected."""

from __future__ import annotations

import unittest
import zlib

import msgspec

from wingwood.identifiers import Address, PoolName, Seconds, WorkerInstance, Zone
from wingwood.registry.messages import PoolReply, WorkerEntry
from wingwood.registry.packed_entries import PACK_ABOVE_ENTRIES, pack_entries, unpack_entries
from wingwood.registry.protocols import Worker


def answer_of(count: int) -> PoolReply:
    entries = tuple(
        WorkerEntry(
            Worker(
                instance=WorkerInstance(f"i-{number:010x}"),
                address=Address(f"10.1.0.{number}", 8503),
                pool=PoolName("model"),
                zone=Zone("hall"),
                slots=32,
            ),
            renewed=True,
            number=number,
        )
        for number in range(count)
    )
    return PoolReply(PoolName("model"), True, Seconds(0.2), 7, entries, 3, {}, None)


class PackedEntriesTest(unittest.TestCase):
    def test_long_list_is_unpacked_unchanged_and_takes_a_third_of_the_bytes(self) -> None:
        answer = answer_of(35)
        packed = pack_entries(answer)
        self.assertEqual(unpack_entries(packed), answer)
        self.assertLess(3 * len(msgspec.msgpack.encode(packed)), len(msgspec.msgpack.encode(answer)))

    def test_short_list_is_not_packed(self) -> None:
        answer = answer_of(PACK_ABOVE_ENTRIES)
        self.assertIs(pack_entries(answer), answer)
        self.assertIs(unpack_entries(answer), answer)

    def test_damaged_list_is_rejected(self) -> None:
        packed_answer = pack_entries(answer_of(35))
        for damaged in (packed_answer.packed[:-4], b"no stream", zlib.compress(b"no list")):
            self.assertIsNone(unpack_entries(msgspec.structs.replace(packed_answer, packed=damaged)))
