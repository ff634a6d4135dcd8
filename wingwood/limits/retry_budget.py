"""How many tries beyond the first a router may make (docs/DESIGN.md section 14.2)."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ..bundle.model import Service
from ..context.protocols import Clock
from ..identifiers import Instant, PoolName, Seconds

MAX_RETRY_RATIO = 0.19
"""Whatever the bundle says, tries beyond the first stay under a fifth, where no other ratio is given."""
MAX_SAVED_RETRIES = 3.0
"""Tries that a router may save up where no slack is given, so that an hour's calm does not pay for a storm."""
SAVED_FRACTION = 0.4
"""Part of the slack that all routers together may have saved up."""
EARNED_FRACTION = 0.1
"""Part of the slack that all routers together earn per window without any call.

The half that is left is for fleets that come back in two parts, each of which knows only of itself.
"""


class RetryLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Over the whole fleet: tries beyond the first in any ``window`` <= ``ratio`` x calls in it + ``slack``."""

    ratio: float = MAX_RETRY_RATIO
    slack: float | None = None
    """Tries. None: no figure is given; each router saves up ``MAX_SAVED_RETRIES`` from its calls alone."""
    window: Seconds = Seconds(10.0)


class _PoolAccount(msgspec.Struct):
    """One pool's account."""

    tries: float
    at: Instant


class ServiceRetryBudget:
    """A ``RetryBudget`` that each router keeps for itself without a message: by pool where a slack is given, which
    is the pool's, else by service and pool, so that no service spends what another one earned.

    A call earns its service's ``retry_share`` of a try (at most ``RetryLimits.ratio``). Of the slack
    each router has an equal part, which it saves up from nothing, so that a start brings no new one.
    """

    def __init__(self, clock: Clock, routers: Callable[[], int], limits: RetryLimits | None = None) -> None:
        self._clock = clock
        self._routers = routers
        self._limits = limits or RetryLimits()
        self._started_at = clock.monotonic()
        self._max_routers = 1
        """The most ever known: those cut off go on with the part they had."""
        self._accounts: dict[str, _PoolAccount] = {}

    def note_call(self, service: Service, pool: PoolName | None = None) -> None:
        """See ``RetryBudget``."""
        share = min(self._limits.ratio, max(0.0, service.retry_share))
        for name, part in _pool_weights(service, pool):
            account = self._refilled(self._account_name(service, name))
            account.tries = min(self._max_saved(), account.tries + share * part)

    def take(self, service: Service, pool: PoolName | None = None) -> bool:
        """See ``RetryBudget``."""
        account = self._refilled(self._account_name(service, pool or service.pool))
        if account.tries < 1.0:
            return False
        account.tries -= 1.0
        return True

    def _account_name(self, service: Service, pool: PoolName) -> str:
        return pool if self._limits.slack is not None else f"{service.name}/{pool}"

    def _refilled(self, name: str) -> _PoolAccount:
        """The name with what time has earned until now."""
        now = self._clock.monotonic()
        self._max_routers = max(self._max_routers, self._routers())
        account = self._accounts.setdefault(name, _PoolAccount(0.0, self._started_at))
        if self._limits.slack is not None:
            rate = EARNED_FRACTION * self._limits.slack / self._max_routers / self._limits.window
            account.tries = min(self._max_saved(), account.tries + rate * max(0.0, now - account.at))
        account.at = max(account.at, now)
        return account

    def _max_saved(self) -> float:
        """At least one try, or a fleet of more routers than its slack could never retry."""
        if self._limits.slack is None:
            return MAX_SAVED_RETRIES
        return max(1.0, SAVED_FRACTION * self._limits.slack / self._max_routers)


def _pool_weights(service: Service, pool: PoolName | None) -> list[tuple[PoolName, float]]:
    """Which pools a call counts for, and with what weight; a split call of which nothing is known, for all."""
    if pool is not None:
        return [(pool, 1.0)]
    total_weight = sum(share.weight for share in service.split)
    if total_weight <= 0:
        return [(service.pool, 1.0)]
    return [(share.pool, share.weight / total_weight) for share in service.split]
