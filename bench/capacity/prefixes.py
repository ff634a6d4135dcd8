"""Measures shared prefixes: the share of turns whose prefix a router knows, and the memory of one shared part."""

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
SIMULATED_SECONDS = 1_800.0


def _prefix_numbers(number: int, exponent: float, rng: random.Random) -> Iterator[int]:
    """Yields the prefix number of each turn of one router.

    The popularity of a prefix falls with its rank to the power ``exponent`` (0: all prefixes are equally popular).
    """
    bounds = list(accumulate((rank + 1) ** -exponent for rank in range(number)))
    while True:
        yield from rng.choices(range(number), cum_weights=bounds, k=1000)


def _known_share(number: int, exponent: float) -> tuple[float, float]:
    """Returns the share of turns with a known prefix size, and the processor seconds per turn.

    Only the second half of the turns counts for the share, when the router has already seen the earlier ones.
    """
    parts, pool, rng = SharedPrefixes(), PoolName("p"), random.Random(1)
    count = int(SIMULATED_SECONDS * PLANNED.calls_per_daemon)
    known = 0
    started = time.process_time()
    for turn, prefix in zip(range(count), _prefix_numbers(number, exponent, rng), strict=False):
        name = (f"shared-{prefix}", f"session-{turn}")
        known += turn >= count // 2 and parts.tokens(pool, name) > 0
        worker = WorkerInstance(f"model-{rng.randrange(8)}")
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
        even, turn_seconds = _known_share(number, 0.0)
        skewed, _ = _known_share(number, 1.0)
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
