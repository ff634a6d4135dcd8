"""The pools that may take a call of a service, in the order to try them (docs/DESIGN.md section 11.9)."""

from __future__ import annotations

import hashlib
import math

from ..bundle.model import PoolShare, Service
from ..identifiers import PoolName
from .protocols import Turn

_HASH_RANGE = 2**64


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
