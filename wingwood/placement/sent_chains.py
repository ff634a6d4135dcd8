"""Estimates which prompt parts of reported size the workers cache (docs/DESIGN.md section 11.3).

A part stands for the same text only after the same preceding parts, so the records are of chains: a prompt's first
part, its first two parts, and so on. Each router knows only the chains that it sent itself. How long a worker caches a
chain follows from the rate at which all routers send new parts to the worker.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterator

import msgspec

from ..identifiers import Instant, PoolName, Seconds, WorkerInstance
from .decaying_rate import DecayingRate
from .protocols import PromptPart

MAX_CHAINS = 6_000
"""Bound on the number of chains; each takes about 500 bytes."""
DEMAND_HALF_LIFE_S = Seconds(5.0)
MIN_DEMAND_PER_S = 0.4
"""Rate of this router's turns, per second, below which it says nothing yet: three turns within a half-life."""

NEVER = Instant(-math.inf)

Chain = tuple[str, ...]


class _SentChain(msgspec.Struct):
    """One chain: when this router last sent it to each worker, and the rate of turns with it."""

    sent_at: dict[WorkerInstance, Instant]
    demand: DecayingRate


class SentChains:
    """The chains that this router sent; the least recently sent chains are dropped when there are too many."""

    def __init__(self, max_chains: int = MAX_CHAINS) -> None:
        self._max_chains = max_chains
        self._chains: OrderedDict[tuple[PoolName, Chain], _SentChain] = OrderedDict()

    def sent(self, pool: PoolName, parts: tuple[PromptPart, ...], instance: WorkerInstance, now: Instant) -> None:
        """Records that a turn with these parts was sent to a worker."""
        for chain, _ in chains(parts):
            name = (pool, chain)
            sent = self._chains.get(name)
            if sent is None:
                sent = self._chains[name] = _SentChain({}, DecayingRate(DEMAND_HALF_LIFE_S))
                if len(self._chains) > self._max_chains:
                    self._chains.popitem(last=False)
            self._chains.move_to_end(name)
            sent.sent_at[instance] = now
            sent.demand.add(1.0, now)

    def remove_worker(self, instance: WorkerInstance) -> None:
        """Drops the records of a worker that was removed."""
        for sent in self._chains.values():
            sent.sent_at.pop(instance, None)

    def demand(self, pool: PoolName, parts: tuple[PromptPart, ...], now: Instant) -> float:
        """Returns the rate of this router's turns that contain the full chain, per second."""
        sent = self._chains.get((pool, tuple(part.part for part in parts)))
        return 0.0 if sent is None else sent.demand.read(now)

    def known(self, pool: PoolName, parts: tuple[PromptPart, ...], now: Instant) -> KnownChains:
        """Returns what this router knows about the chains of a prompt, for the comparison of workers."""
        known = []
        for chain, tokens_up_to in chains(parts):
            sent = self._chains.get((pool, chain))
            if sent is None:
                break
            known.append(_KnownChain(tokens_up_to, sent.sent_at, sent.demand.read(now)))
        return KnownChains(tuple(known), now)


class _KnownChain(msgspec.Struct, frozen=True):
    """A chain of a prompt, with its size in tokens and what is recorded about it."""

    tokens_up_to: int
    sent_at: dict[WorkerInstance, Instant]
    demand: float


class KnownChains(msgspec.Struct, frozen=True):
    """The chains of a prompt that were sent before, the shortest first."""

    chains: tuple[_KnownChain, ...]
    now: Instant

    def tokens(self) -> int:
        """Returns the size of the longest known chain."""
        return self.chains[-1].tokens_up_to if self.chains else 0

    def cached_tokens(self, instance: WorkerInstance, cache_retention: Seconds, other_turns_per_turn: float) -> float:
        """Returns the expected number of the prompt's tokens that the worker caches.

        ``cache_retention``: seconds for which the worker caches an unused chain. ``other_turns_per_turn``: number of
        turns that the other routers send to this worker for each turn that this router sends to any worker.
        """
        tokens = 0.0
        since = self.now - cache_retention
        for chain in self.chains:
            if chain.sent_at.get(instance, NEVER) >= since:
                tokens = float(chain.tokens_up_to)
                continue
            if chain.demand < MIN_DEMAND_PER_S:
                break
            expected_turns = chain.demand * other_turns_per_turn * min(cache_retention, DEMAND_HALF_LIFE_S)
            tokens += (chain.tokens_up_to - tokens) * -math.expm1(-expected_turns)
        return tokens


def chains(parts: tuple[PromptPart, ...]) -> Iterator[tuple[Chain, int]]:
    """Yields each chain that a prompt begins with and its size in tokens, the shortest first."""
    names: Chain = ()
    tokens = 0
    for part in parts:
        names = (*names, part.part)
        tokens += part.tokens
        yield names, tokens
