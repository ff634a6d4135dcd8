"""Limits how many retries a router may make (docs/DESIGN.md section 14.2)."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ..bundle.model import Service
from ..context.protocols import Clock
from ..identifiers import Instant, PoolName, Seconds

MAX_RETRY_RATIO = 0.19
"""Default ratio of retries to calls, whatever the bundle says: retries stay below a fifth of the calls."""
MAX_ACCRUED_RETRIES = 3.0
"""Retries that a router may accumulate without a slack, so that an hour without faults does not pay for a storm."""
ACCRUED_FRACTION = 0.4
"""Fraction of the slack that all routers together may have accumulated."""
EARNED_FRACTION = 0.1
"""Fraction of the slack that all routers together earn per window without any call.

The remaining half is for fleets that restart in two parts, each of which knows only its own routers.
"""


class RetryLimits(msgspec.Struct, frozen=True, kw_only=True):
    """The bound over the entire fleet: retries in any ``window`` <= ``ratio`` x calls in that window + ``slack``."""

    ratio: float = MAX_RETRY_RATIO
    slack: float | None = None
    """Number of retries; when None, each router accumulates up to ``MAX_ACCRUED_RETRIES``, from its calls alone."""
    window: Seconds = Seconds(10.0)


class _PoolAccount(msgspec.Struct):
    """The retries that one account has accumulated, and when it was last updated."""

    retries: float
    updated_at: Instant


class _PoolWeight(msgspec.Struct, frozen=True):
    """The part of a call that counts for a pool."""

    pool: PoolName
    weight: float


class ServiceRetryBudget:
    """A ``RetryBudget`` that each router keeps on its own, without messages to other routers.

    When a slack is set, it belongs to the pool, and there is one account per pool. Otherwise there is
    one per service and pool, so that no service spends what another one has earned.

    A call earns its service's ``retry_share`` of a retry (at most ``RetryLimits.ratio``). Each router
    has an equal part of the slack, which it accumulates from zero, so that a restart adds no slack.
    """

    def __init__(self, clock: Clock, routers: Callable[[], int], limits: RetryLimits | None = None) -> None:
        self._clock = clock
        self._routers = routers
        self._limits = limits or RetryLimits()
        self._started_at = clock.monotonic()
        self._max_routers = 1
        """The highest number of routers ever known; routers that are partitioned off retain their previous part."""
        self._accounts: dict[str, _PoolAccount] = {}

    def record_call(self, service: Service, pool: PoolName | None = None) -> None:
        """See ``RetryBudget``."""
        share = min(self._limits.ratio, max(0.0, service.retry_share))
        for weighted in _pool_weights(service, pool):
            account = self._refilled(self._account_name(service, weighted.pool))
            account.retries = min(self._max_accrued(), account.retries + share * weighted.weight)

    def take(self, service: Service, pool: PoolName | None = None) -> bool:
        """See ``RetryBudget``."""
        account = self._refilled(self._account_name(service, pool or service.pool))
        if account.retries < 1.0:
            return False
        account.retries -= 1.0
        return True

    def _account_name(self, service: Service, pool: PoolName) -> str:
        return pool if self._limits.slack is not None else f"{service.name}/{pool}"

    def _refilled(self, name: str) -> _PoolAccount:
        """Returns the account ``name`` after adding what it has earned by the passage of time."""
        now = self._clock.monotonic()
        self._max_routers = max(self._max_routers, self._routers())
        account = self._accounts.setdefault(name, _PoolAccount(0.0, self._started_at))
        if self._limits.slack is not None:
            rate = EARNED_FRACTION * self._limits.slack / self._max_routers / self._limits.window
            account.retries = min(self._max_accrued(), account.retries + rate * max(0.0, now - account.updated_at))
        account.updated_at = max(account.updated_at, now)
        return account

    def _max_accrued(self) -> float:
        """Returns the most retries that an account may accumulate.

        This is at least one, as a fleet with more routers than slack could otherwise never retry.
        """
        if self._limits.slack is None:
            return MAX_ACCRUED_RETRIES
        return max(1.0, ACCRUED_FRACTION * self._limits.slack / self._max_routers)


def _pool_weights(service: Service, pool: PoolName | None) -> list[_PoolWeight]:
    """Returns the pools that a call counts for, with weights; before a split call is placed, all pools of its split."""
    if pool is not None:
        return [_PoolWeight(pool, 1.0)]
    total_weight = sum(share.weight for share in service.split)
    if total_weight <= 0:
        return [_PoolWeight(service.pool, 1.0)]
    return [_PoolWeight(share.pool, share.weight / total_weight) for share in service.split]
