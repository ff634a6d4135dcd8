"""The pools that may take a call of a service, in the order to try them (docs/DESIGN.md section 11.9)."""

from __future__ import annotations

import hashlib
import math

from ..bundle.model import PoolShare, Service
from ..identifiers import PoolName
from .protocols import Turn

_HASH_RANGE = 2**64


def pool_order(turn: Turn, attempt: int) -> tuple[PoolName, ...]:
    """First the pool that is due, then the others of the split.

    Weighted rendezvous: over all calls each pool is first in proportion to its weight. A session's
    first attempts agree on the pool that keeps its prefix; ``attempt`` is the number of workers tried.
    """
    service = turn.service
    if not service.split:
        return (service.pool,)
    draw = f"{turn.request}\n{attempt}" if attempt or turn.session is None else turn.session
    shares = [share for share in service.split if share.weight > 0]
    ranked = sorted(shares, key=lambda share: (_distance(service, draw, share), share.pool))
    return tuple(dict.fromkeys(share.pool for share in ranked))


def _distance(service: Service, draw: str, share: PoolShare) -> float:
    """Exponentially distributed with the weight as its rate: the least of all is a pool's own in proportion."""
    digest = hashlib.blake2b(f"{service.name}\n{share.pool}\n{draw}".encode(), digest_size=8).digest()
    return -math.log((int.from_bytes(digest, "big") + 1) / (_HASH_RANGE + 1)) / share.weight
