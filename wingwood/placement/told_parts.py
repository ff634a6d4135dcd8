"""Which told prompt parts the workers probably keep (docs/DESIGN.md section 11.3).

A part is the same text only after the same parts before it, so what is counted are chains: a prompt's
first part, its first two, and so on. Each router knows only what it sent itself. How long a chain is
kept follows from how fast new parts flow into the worker from all routers.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterator

import msgspec

from ..identifiers import Instant, PoolName, Seconds, WorkerInstance
from .decaying import DecayingRate
from .protocols import PromptPart

CHAINS_MOST = 6_000
"""About 500 B each."""
DEMAND_HALF_LIFE = Seconds(5.0)
DEMAND_SEEN = 0.4
"""Own turns a second below which a chain's rate says nothing yet: three turns within a half-life."""

NEVER = Instant(-math.inf)

Chain = tuple[str, ...]


class _Sent(msgspec.Struct):
    """One chain: where this router last sent it when, and how often it is asked for."""

    touched: dict[WorkerInstance, Instant]
    demand: DecayingRate


class ToldParts:
    """Least recently sent chains go first when there are too many."""

    def __init__(self, most: int = CHAINS_MOST) -> None:
        self._most = most
        self._chains: OrderedDict[tuple[PoolName, Chain], _Sent] = OrderedDict()

    def sent(self, pool: PoolName, parts: tuple[PromptPart, ...], instance: WorkerInstance, now: Instant) -> None:
        """A turn with these parts went to a worker."""
        for chain, _ in chains(parts):
            name = (pool, chain)
            sent = self._chains.get(name)
            if sent is None:
                sent = self._chains[name] = _Sent({}, DecayingRate(DEMAND_HALF_LIFE))
                if len(self._chains) > self._most:
                    self._chains.popitem(last=False)
            self._chains.move_to_end(name)
            sent.touched[instance] = now
            sent.demand.add(1.0, now)

    def forget(self, instance: WorkerInstance) -> None:
        for sent in self._chains.values():
            sent.touched.pop(instance, None)

    def demand(self, pool: PoolName, parts: tuple[PromptPart, ...], now: Instant) -> float:
        """Own turns a second with this whole chain."""
        sent = self._chains.get((pool, tuple(part.part for part in parts)))
        return 0.0 if sent is None else sent.demand.read(now)

    def known(self, pool: PoolName, parts: tuple[PromptPart, ...], now: Instant) -> KnownChains:
        """What this router knows of a prompt's chains, for comparing workers."""
        known = []
        for chain, upto in chains(parts):
            sent = self._chains.get((pool, chain))
            if sent is None:
                break
            known.append(_KnownChain(upto, sent.touched, sent.demand.read(now)))
        return KnownChains(tuple(known), now)


class _KnownChain(msgspec.Struct, frozen=True):
    upto: int
    touched: dict[WorkerInstance, Instant]
    demand: float


class KnownChains(msgspec.Struct, frozen=True):
    """A prompt's chains that were sent before, shortest first."""

    chains: tuple[_KnownChain, ...]
    now: Instant

    def tokens(self) -> int:
        """Of the longest one."""
        return self.chains[-1].upto if self.chains else 0

    def kept(self, instance: WorkerInstance, kept_for: Seconds, elsewhere: float) -> float:
        """Tokens of the prompt that the worker probably keeps.

        ``kept_for``: for how long it keeps an unused chain. ``elsewhere``: how many turns the other routers
        send to this one worker for each turn of this router, whichever worker that goes to.
        """
        tokens = 0.0
        since = self.now - kept_for
        for chain in self.chains:
            if chain.touched.get(instance, NEVER) >= since:
                tokens = float(chain.upto)
                continue
            if chain.demand < DEMAND_SEEN:
                break
            came = chain.demand * elsewhere * min(kept_for, DEMAND_HALF_LIFE)
            tokens += (chain.upto - tokens) * -math.expm1(-came)
        return tokens


def chains(parts: tuple[PromptPart, ...]) -> Iterator[tuple[Chain, int]]:
    """Each chain that a prompt begins with, shortest first, with its tokens."""
    names: Chain = ()
    tokens = 0
    for part in parts:
        names = (*names, part.part)
        tokens += part.tokens
        yield names, tokens
