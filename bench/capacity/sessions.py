"""The session map: what an entry weighs, and what recording and looking up cost, at growing numbers."""

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

from .common import DeafMessenger, FixedMembership, Row, real_quiet_context, routers
from .members import entry

SIZES = (10_000, 100_000, 1_000_000)
ROUTERS = 1000


async def _one(size: int) -> Row:
    context = real_quiet_context()
    members = routers(2)
    now = context.clock.monotonic()

    def empty_map() -> DistributedMap:
        held = DistributedMap(context, DeafMessenger(members[0]), FixedMembership(members))
        held._stored = RecentEntries(2 * size, CLAIM_RETENTION_S)  # without the bound of the daemon
        return held

    # As notes come from the wire: each string is interned by the map, each number is a new object.
    maker = empty_map()
    keys = [session_key(PoolName("p"), SessionId(f"session-{number}")) for number in range(size)]
    encoded = msgspec.msgpack.encode(StoreSessionRecords((maker._to_record(keys[0], entry(now)),)))
    notes = [maker._to_record(key, entry(now)) for key in keys[:2000]]
    wires = [msgspec.msgpack.encode(StoreSessionRecords((note,))) for note in notes]

    gc.collect()
    tracemalloc.start()
    held = empty_map()
    decoded = msgspec.msgpack.decode(encoded, type=StoreSessionRecords).records[0]
    for key in keys:
        held._store(key, held._to_entry(decoded))
    gc.collect()
    # The keys exist already in ``keys``; a keeper holds them itself: 36 bytes each.
    weight = tracemalloc.get_traced_memory()[0] / size + 36
    tracemalloc.stop()

    begun = time.process_time()
    for wire in wires:
        held._on_store_records(members[1], msgspec.msgpack.decode(wire, type=StoreSessionRecords))
    record = (time.process_time() - begun) / len(wires)
    questions = [LookUpSession(key) for key in keys[:: max(1, size // 5000)]]
    begun = time.process_time()
    for question in questions:
        msgspec.msgpack.encode(await held._on_look_up(members[1], question))
    look_up = (time.process_time() - begun) / len(questions)
    return {
        "entries": size,
        "entry_bytes": weight,
        "total_mb": weight * size / 1e6,
        "record_us": 1e6 * record,
        "look_up_us": 1e6 * look_up,
        "note_bytes": len(encoded),
        "bound_today": session_map.MAX_ENTRIES,
    }


def measure() -> list[Row]:
    return [asyncio.run(_one(size)) for size in SIZES]
