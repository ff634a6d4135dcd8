"""The pools that may take a call of a service, and the choice of a worker among them (docs/DESIGN.md section 11.9)."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Awaitable, Callable, Sequence

from returns.result import Failure, Result, Success

from ..bundle.model import PoolShare, Service
from ..identifiers import PoolName, Seconds
from .protocols import Choice, NoWorker, Turn

_HASH_RANGE = 2**64
NONE_READY = NoWorker("none-ready", Seconds(1.0))
"""The refusal of a pool without ready workers."""


def pool_order(turn: Turn, attempt: int) -> tuple[PoolName, ...]:
    """Returns the pools of the service's split in the order in which to try them.

    The order is a weighted rendezvous: over all calls, each pool comes first in proportion to its weight. The first
    attempts of all turns of a session agree on one pool, which caches the session's prefix. ``attempt``: number of
    workers tried before.
    """
    service = turn.service
    if not service.split:
        return (service.pool,)
    draw = f"{turn.request}\n{attempt}" if attempt or turn.session is None else turn.session
    shares = [share for share in service.split if share.weight > 0]
    ranked = sorted(shares, key=lambda share: (_distance(service, draw, share), share.pool))
    return tuple(dict.fromkeys(share.pool for share in ranked))


def _distance(service: Service, draw: str, share: PoolShare) -> float:
    """Returns a hash that is exponentially distributed with the pool's weight as its rate.

    The probability that a pool has the smallest of these hashes is proportional to its weight.
    """
    digest = hashlib.blake2b(f"{service.name}\n{share.pool}\n{draw}".encode(), digest_size=8).digest()
    return -math.log((int.from_bytes(digest, "big") + 1) / (_HASH_RANGE + 1)) / share.weight


async def choose_among_pools(
    pools: Sequence[PoolName],
    choose_in: Callable[[PoolName], Awaitable[Result[Choice, NoWorker]]],
    more_informative: Callable[[NoWorker, NoWorker], NoWorker],
) -> Result[Choice, NoWorker]:
    """Returns the choice of the first pool that has a worker for the turn, else one of the pools' refusals.

    ``more_informative`` returns which of two refusals, of an earlier and a later pool, the caller gets.
    """
    refusal = NONE_READY
    for pool in pools:
        chosen = await choose_in(pool)
        if isinstance(chosen, Success):
            return chosen
        refusal = more_informative(refusal, chosen.failure())
    return Failure(refusal)
