"""How many tries beyond the first a router may make (docs/DESIGN.md section 14.2)."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ..bundle.model import Service
from ..context.protocols import Clock
from ..identifiers import Instant, PoolName, Seconds

MOST_SHARE = 0.19
"""Whatever the bundle says, tries beyond the first stay under a fifth, where no other ratio is given."""
MOST_SAVED = 3.0
"""Tries that a router may save up where no slack is given, so that an hour's calm does not pay for a storm."""
SAVED_PART = 0.4
"""Part of the slack that all routers together may have saved up."""
EARNED_PART = 0.1
"""Part of the slack that all routers together earn per window without any call.

The half that is left is for fleets that come back in two parts, each of which knows only of itself.
"""


class RetryBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Over the whole fleet: tries beyond the first in any ``window`` <= ``ratio`` x calls in it + ``slack``."""

    ratio: float = MOST_SHARE
    slack: float | None = None
    """Tries. None: no figure is given; each router saves up ``MOST_SAVED`` from its calls alone."""
    window: Seconds = Seconds(10.0)


class _Saved(msgspec.Struct):
    """One pool's account."""

    tries: float
    at: Instant


class ServiceRetryBudget:
    """A ``RetryBudget`` that each router keeps for itself without a message: by pool where a slack is given, which
    is the pool's, else by service and pool, so that no service spends what another one earned.

    A call earns its service's ``retry_share`` of a try (at most ``RetryBounds.ratio``). Of the slack
    each router has an equal part, which it saves up from nothing, so that a start brings no new one.
    """

    def __init__(self, clock: Clock, routers: Callable[[], int], bounds: RetryBounds | None = None) -> None:
        self._clock = clock
        self._routers = routers
        self._bounds = bounds or RetryBounds()
        self._began = clock.monotonic()
        self._most_routers = 1
        """The most ever known: those cut off go on with the part they had."""
        self._saved: dict[str, _Saved] = {}

    def earned(self, service: Service, pool: PoolName | None = None) -> None:
        """See ``RetryBudget``."""
        share = min(self._bounds.ratio, max(0.0, service.retry_share))
        for name, part in _parts(service, pool):
            saved = self._filled(self._account(service, name))
            saved.tries = min(self._most_saved(), saved.tries + share * part)

    def take(self, service: Service, pool: PoolName | None = None) -> bool:
        """See ``RetryBudget``."""
        saved = self._filled(self._account(service, pool or service.pool))
        if saved.tries < 1.0:
            return False
        saved.tries -= 1.0
        return True

    def _account(self, service: Service, pool: PoolName) -> str:
        return pool if self._bounds.slack is not None else f"{service.name}/{pool}"

    def _filled(self, account: str) -> _Saved:
        """The account with what time has earned until now."""
        now = self._clock.monotonic()
        self._most_routers = max(self._most_routers, self._routers())
        saved = self._saved.setdefault(account, _Saved(0.0, self._began))
        if self._bounds.slack is not None:
            rate = EARNED_PART * self._bounds.slack / self._most_routers / self._bounds.window
            saved.tries = min(self._most_saved(), saved.tries + rate * max(0.0, now - saved.at))
        saved.at = max(saved.at, now)
        return saved

    def _most_saved(self) -> float:
        """At least one try, or a fleet of more routers than its slack could never retry."""
        if self._bounds.slack is None:
            return MOST_SAVED
        return max(1.0, SAVED_PART * self._bounds.slack / self._most_routers)


def _parts(service: Service, pool: PoolName | None) -> list[tuple[PoolName, float]]:
    """Which pools a call counts for, and with what weight; a split call of which nothing is known, for all."""
    if pool is not None:
        return [(pool, 1.0)]
    whole = sum(share.weight for share in service.split)
    if whole <= 0:
        return [(service.pool, 1.0)]
    return [(share.pool, share.weight / whole) for share in service.split]
