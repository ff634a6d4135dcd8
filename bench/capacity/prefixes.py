"""Shared prefixes: how often one router knows the prefix of a turn that comes to it, and what a part weighs."""

from __future__ import annotations

import gc
import random
import time
import tracemalloc
from collections.abc import Iterator
from itertools import accumulate

from wingwood.identifiers import Instant, PoolName, WorkerInstance
from wingwood.placement.cached_prefixes import MAX_SHARED_PARTS, SharedPrefixes

from .common import Row
from .planned import PLANNED

PREFIX_COUNTS = (500, 5_000, 50_000)
RECORD_RETENTION_S = 1_800.0


def _turns(number: int, exponent: float, draw: random.Random) -> Iterator[int]:
    """Which prefix each of one router's turns has; popularity falls with the rank to this power (0: all alike)."""
    bounds = list(accumulate((rank + 1) ** -exponent for rank in range(number)))
    while True:
        yield from draw.choices(range(number), cum_weights=bounds, k=1000)


def _known(number: int, exponent: float) -> tuple[float, float]:
    """Share of the turns in the second half whose prefix had a size, and processor seconds for each turn."""
    parts, pool, draw = SharedPrefixes(), PoolName("p"), random.Random(1)
    count = int(RECORD_RETENTION_S * PLANNED.calls_per_daemon)
    known = 0
    started = time.process_time()
    for turn, prefix in zip(range(count), _turns(number, exponent, draw), strict=False):
        name = (f"shared-{prefix}", f"session-{turn}")
        known += turn >= count // 2 and parts.tokens(pool, name) > 0
        worker = WorkerInstance(f"model-{draw.randrange(8)}")
        parts.sent(pool, name, turn, 3000, worker, Instant(turn / PLANNED.calls_per_daemon))
    return known / (count - count // 2), (time.process_time() - started) / count


def measure() -> list[Row]:
    rows: list[Row] = []
    for number in PREFIX_COUNTS:
        gc.collect()
        tracemalloc.start()
        parts = SharedPrefixes()
        tracked_parts = min(number, MAX_SHARED_PARTS)
        for turn in range(8 * tracked_parts):
            name = (f"shared-{turn % tracked_parts}", f"session-{turn}")
            parts.sent(PoolName("p"), name, turn, 3000, WorkerInstance(f"model-{turn // tracked_parts}"), Instant(0.0))
        bytes_per_part = tracemalloc.get_traced_memory()[0] / tracked_parts
        tracemalloc.stop()
        even, turn_seconds = _known(number, 0.0)
        skewed, _ = _known(number, 1.0)
        rows.append(
            {
                "prefixes": number,
                "bound_today": MAX_SHARED_PARTS,
                "part_bytes": bytes_per_part,
                "known_even": even,
                "known_skewed": skewed,
                "turn_us": turn_seconds * 1e6,
            }
        )
    return rows
