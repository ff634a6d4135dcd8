"""What the workers probably keep, guessed from what was sent there (docs/DESIGN.md section 11.3)."""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from ..identifiers import Instant, PoolName, Seconds, WorkerInstance

MAX_SHARED_PARTS = 2_000
MAX_SAMPLED_SESSIONS = 25_000
DEMAND_HALF_LIFE_S = Seconds(10.0)
MIN_SESSIONS = 2
"""A part counts as shared once that many sessions came with it."""


class _SharedPart(msgspec.Struct):
    tokens: int
    """Least prompt seen below it: an upper bound that the first turns of short sessions bring near the truth."""
    sessions: set[int]
    touched: dict[WorkerInstance, Instant]
    rate: float = 0.0
    """Own turns per second below it, decaying."""
    rated_at: Instant = Instant(0.0)


class SharedPrefixes:
    """The parts of ``Prefix`` before the session id: their sizes, where they were sent, how asked for they are."""

    def __init__(self, half_life: Seconds = DEMAND_HALF_LIFE_S) -> None:
        self._half_life = half_life
        self._parts: OrderedDict[tuple[PoolName, tuple[str, ...]], _SharedPart] = OrderedDict()

    def sent(
        self, pool: PoolName, prefix: tuple[str, ...], key: int, prompt: int, instance: WorkerInstance, now: Instant
    ) -> None:
        """A turn with this whole prefix (session id last) went to a worker."""
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
            part.touched[instance] = now
            part.rate = self._rate(part, now) + 0.693 / self._half_life
            part.rated_at = now

    def forget(self, instance: WorkerInstance) -> None:
        for part in self._parts.values():
            part.touched.pop(instance, None)

    def tokens(self, pool: PoolName, prefix: tuple[str, ...]) -> int:
        """Size of the longest known shared part of a prefix with its session id."""
        for length in range(len(prefix) - 1, 0, -1):
            part = self._parts.get((pool, prefix[:length]))
            if part is not None and len(part.sessions) >= MIN_SESSIONS:
                return part.tokens
        return 0

    def cached_tokens(self, pool: PoolName, prefix: tuple[str, ...], instance: WorkerInstance, since: Instant) -> int:
        """Tokens of the longest shared part sent to the worker at ``since`` or later."""
        for length in range(len(prefix) - 1, 0, -1):
            part = self._parts.get((pool, prefix[:length]))
            if part is None or len(part.sessions) < MIN_SESSIONS:
                continue
            if part.touched.get(instance, Instant(-1e18)) >= since:
                return part.tokens
        return 0

    def demand(self, pool: PoolName, prefix: tuple[str, ...], now: Instant) -> float:
        """Own turns per second below the longest shared part."""
        part = self._parts.get((pool, prefix[:-1]))
        return 0.0 if part is None else self._rate(part, now)

    def _rate(self, part: _SharedPart, now: Instant) -> float:
        return float(part.rate * 0.5 ** (max(0.0, now - part.rated_at) / self._half_life))


class EvictionModel:
    """Least recently used goes first: how old a prefix may be before the workers of a pool have dropped it.

    A keeper sees an even sample of all sessions with their newest turn. The workers of a pool are
    taken together, since a sample of one worker's sessions would be too thin.
    """

    def __init__(self) -> None:
        self._sampled: dict[PoolName, OrderedDict[int, tuple[int, Instant]]] = {}
        self._total: dict[PoolName, int] = {}
        self._evicted_at: dict[PoolName, Instant] = {}

    def touched(self, pool: PoolName, key: int, own_tokens: int, at: Instant, sampled_capacity: float) -> None:
        """``sampled_capacity``: the pool's KV cache tokens, times the share of sessions that is sampled here."""
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
        """What was touched before this instant counts as dropped."""
        return self._evicted_at.get(pool, Instant(-1e18))
