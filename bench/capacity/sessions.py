"""Measures the session map: memory per entry and the cost of a record and a look-up, at rising numbers of entries."""

from __future__ import annotations

import asyncio
import gc
import time
import tracemalloc

import msgspec

from wingwood.identifiers import PoolName, SessionId
from wingwood.placement import session_map
from wingwood.placement.messages import LookUpSession, StoreSessionRecords
from wingwood.placement.session_map import CLAIM_RETENTION_S, DistributedMap, RecentEntries, session_key

from .common import DiscardingMessenger, FixedMembership, Row, real_quiet_context, routers
from .members import sample_entry

SIZES = (10_000, 100_000, 1_000_000)
ROUTERS = 1000


async def _measure_size(size: int) -> Row:
    context = real_quiet_context()
    members = routers(2)
    now = context.clock.monotonic()

    def empty_map() -> DistributedMap:
        distributed_map = DistributedMap(context, DiscardingMessenger(members[0]), FixedMembership(members))
        distributed_map._stored = RecentEntries(2 * size, CLAIM_RETENTION_S)  # without the limit that a daemon sets
        return distributed_map

    # Records are decoded as from the network: the map interns each string, and each number is a new object.
    maker = empty_map()
    keys = [session_key(PoolName("p"), SessionId(f"session-{number}")) for number in range(size)]
    encoded = msgspec.msgpack.encode(StoreSessionRecords((maker._to_record(keys[0], sample_entry(now)),)))
    session_records = [maker._to_record(key, sample_entry(now)) for key in keys[:2000]]
    encoded_records = [
        msgspec.msgpack.encode(StoreSessionRecords((session_record,))) for session_record in session_records
    ]

    gc.collect()
    tracemalloc.start()
    distributed_map = empty_map()
    decoded = msgspec.msgpack.decode(encoded, type=StoreSessionRecords).records[0]
    for key in keys:
        distributed_map._store(key, distributed_map._to_entry(decoded))
    gc.collect()
    # ``keys`` holds the keys already, outside of the traced memory; the map of a daemon holds them: 36 bytes each.
    bytes_per_entry = tracemalloc.get_traced_memory()[0] / size + 36
    tracemalloc.stop()

    started = time.process_time()
    for encoded_record in encoded_records:
        distributed_map._on_store_records(members[1], msgspec.msgpack.decode(encoded_record, type=StoreSessionRecords))
    record_seconds = (time.process_time() - started) / len(encoded_records)
    questions = [LookUpSession(key) for key in keys[:: max(1, size // 5000)]]
    started = time.process_time()
    for question in questions:
        msgspec.msgpack.encode(await distributed_map._on_look_up(members[1], question))
    look_up_seconds = (time.process_time() - started) / len(questions)
    return {
        "entries": size,
        "entry_bytes": bytes_per_entry,
        "total_mb": bytes_per_entry * size / 1e6,
        "record_us": 1e6 * record_seconds,
        "look_up_us": 1e6 * look_up_seconds,
        "note_bytes": len(encoded),
        "bound_today": session_map.MAX_ENTRIES,
    }


def measure() -> list[Row]:
    return [asyncio.run(_measure_size(size)) for size in SIZES]
