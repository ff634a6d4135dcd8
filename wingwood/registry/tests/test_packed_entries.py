"""Long lists of workers, packed."""

from __future__ import annotations

import unittest
import zlib

import msgspec

from wingwood.identifiers import Address, PoolName, Seconds, WorkerInstance, Zone
from wingwood.registry.messages import PoolAnswer, WorkerEntry
from wingwood.registry.packed_entries import PACKED_ABOVE, with_entries_packed, with_entries_unpacked
from wingwood.registry.protocols import Worker


def answer_of(count: int) -> PoolAnswer:
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
    return PoolAnswer(PoolName("model"), True, Seconds(0.2), 7, entries, 3, {}, None)


class PackedEntriesTest(unittest.TestCase):
    def test_a_long_list_arrives_as_it_was_and_takes_a_third_of_the_bytes(self) -> None:
        answer = answer_of(35)
        packed = with_entries_packed(answer)
        self.assertEqual(with_entries_unpacked(packed), answer)
        self.assertLess(3 * len(msgspec.msgpack.encode(packed)), len(msgspec.msgpack.encode(answer)))

    def test_a_short_list_stays_as_it_is(self) -> None:
        answer = answer_of(PACKED_ABOVE)
        self.assertIs(with_entries_packed(answer), answer)
        self.assertIs(with_entries_unpacked(answer), answer)

    def test_what_is_no_list_is_no_answer(self) -> None:
        whole = with_entries_packed(answer_of(35))
        for damaged in (whole.packed[:-4], b"no stream", zlib.compress(b"no list")):
            self.assertIsNone(with_entries_unpacked(msgspec.structs.replace(whole, packed=damaged)))
