"""Estimates which prefixes workers cache, from the turns sent to them (docs/DESIGN.md section 11.3)."""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from ..identifiers import Instant, PoolName, Seconds, WorkerInstance

MAX_SHARED_PARTS = 2_000
MAX_SAMPLED_SESSIONS = 25_000
DEMAND_HALF_LIFE_S = Seconds(10.0)
MIN_SESSIONS = 2
"""Number of sessions with a part from which it counts as shared."""


class _SharedPart(msgspec.Struct):
    """One chain of leading prefix parts."""

    tokens: int
    """Size of the smallest prompt that begins with the part.

    This is an upper bound of the part's size; the first turns of short sessions bring it close to the true size.
    """
    sessions: set[int]
    sent_at: dict[WorkerInstance, Instant]
    rate: float = 0.0
    """Decaying rate of this router's turns whose prompt begins with the part, per second."""
    rated_at: Instant = Instant(0.0)


class SharedPrefixes:
    """The parts of ``Prefix`` before the session id: their sizes, the workers they were sent to, and their demand."""

    def __init__(self, half_life: Seconds = DEMAND_HALF_LIFE_S) -> None:
        self._half_life = half_life
        self._parts: OrderedDict[tuple[PoolName, tuple[str, ...]], _SharedPart] = OrderedDict()

    def sent(
        self, pool: PoolName, prefix: tuple[str, ...], key: int, prompt: int, instance: WorkerInstance, now: Instant
    ) -> None:
        """Records that a turn with this full prefix (session id last) was sent to a worker."""
        for length in range(1, len(prefix)):
            name = (pool, prefix[:length])
            part = self._parts.get(name)
            if part is None:
                part = self._parts[name] = _SharedPart(prompt, set(), {}, 0.0, now)
                while len(self._parts) > MAX_SHARED_PARTS:
                    self._parts.popitem(last=False)
            self._parts.move_to_end(name)
            part.tokens = min(part.tokens, prompt)
            if len(part.sessions) < MIN_SESSIONS:
                part.sessions.add(key)
            part.sent_at[instance] = now
            part.rate = self._rate(part, now) + 0.693 / self._half_life
            part.rated_at = now

    def remove_worker(self, instance: WorkerInstance) -> None:
        """Drops the records of a worker that was removed."""
        for part in self._parts.values():
            part.sent_at.pop(instance, None)

    def tokens(self, pool: PoolName, prefix: tuple[str, ...]) -> int:
        """Returns the size in tokens of the longest known shared part of a prefix that ends with its session id."""
        for length in range(len(prefix) - 1, 0, -1):
            part = self._parts.get((pool, prefix[:length]))
            if part is not None and len(part.sessions) >= MIN_SESSIONS:
                return part.tokens
        return 0

    def cached_tokens(self, pool: PoolName, prefix: tuple[str, ...], instance: WorkerInstance, since: Instant) -> int:
        """Returns the size in tokens of the longest shared part sent to the worker at ``since`` or later."""
        for length in range(len(prefix) - 1, 0, -1):
            part = self._parts.get((pool, prefix[:length]))
            if part is None or len(part.sessions) < MIN_SESSIONS:
                continue
            if part.sent_at.get(instance, Instant(-1e18)) >= since:
                return part.tokens
        return 0

    def demand(self, pool: PoolName, prefix: tuple[str, ...], now: Instant) -> float:
        """Returns this router's turns per second whose prompt begins with the longest shared part."""
        part = self._parts.get((pool, prefix[:-1]))
        return 0.0 if part is None else self._rate(part, now)

    def _rate(self, part: _SharedPart, now: Instant) -> float:
        return float(part.rate * 0.5 ** (max(0.0, now - part.rated_at) / self._half_life))


class EvictionModel:
    """Estimates how long the workers of a pool cache an unused prefix, assuming least-recently-used eviction.

    An owner of session entries sees an even sample of all sessions with their latest turn. The workers of a pool are
    modelled together, because a sample of one worker's sessions would be too small.
    """

    def __init__(self) -> None:
        self._sampled: dict[PoolName, OrderedDict[int, tuple[int, Instant]]] = {}
        self._total: dict[PoolName, int] = {}
        self._evicted_at: dict[PoolName, Instant] = {}

    def record_use(self, pool: PoolName, key: int, own_tokens: int, at: Instant, sampled_capacity: float) -> None:
        """Records the use of a session's prefix.

        ``sampled_capacity``: the pool's KV cache tokens times the share of sessions that this router samples.
        """
        sample = self._sampled.setdefault(pool, OrderedDict())
        total = self._total.get(pool, 0)
        known = sample.pop(key, None)
        if known is not None:
            total -= known[0]
        sample[key] = (own_tokens, at)
        total += own_tokens
        while (total > sampled_capacity or len(sample) > MAX_SAMPLED_SESSIONS) and len(sample) > 1:
            _, (tokens, last_used_at) = sample.popitem(last=False)
            total -= tokens
            self._evicted_at[pool] = max(last_used_at, self._evicted_at.get(pool, last_used_at))
        self._total[pool] = total

    def cached_since(self, pool: PoolName) -> Instant:
        """Returns the instant before which a last use means that the prefix counts as evicted."""
        return self._evicted_at.get(pool, Instant(-1e18))
