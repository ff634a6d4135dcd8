"""Interfaces of paid shares, retry budgets and admission (docs/DESIGN.md section 14)."""

from __future__ import annotations

from typing import Protocol

import msgspec

from ..bundle.model import Service, Tenant
from ..identifiers import PoolName, Seconds


class CallRejection(msgspec.Struct, frozen=True):
    """Result for a call that is not admitted: the time in seconds after which the caller may retry."""

    retry_after: Seconds


class Shares(Protocol):
    """The paid shares of all tenants."""

    async def take(self, tenant: Tenant, cost: int = 1) -> CallRejection | None:
        """Charges a call to the tenant's paid rate over the entire fleet; returns None when the call fits.

        ``cost`` is in the tenant's ``unit``: 1 call, or the call's tokens (those of the prompt plus the
        maximum that it may generate).
        """
        ...


class RetryBudget(Protocol):
    """Limits retries per pool: services that use the same pool share its budget."""

    def record_call(self, service: Service, pool: PoolName | None = None) -> None:
        """Records that a call of the service arrived, which adds to the budget.

        ``pool`` is the chosen pool, or None before the choice; the call then counts by the service's split.
        """
        ...

    def take(self, service: Service, pool: PoolName | None = None) -> bool:
        """Takes one retry from the budget of ``pool`` (None: the service's own); returns whether it may be made."""
        ...


class Admission(Protocol):
    """Decides whether a call may start."""

    def check(self, service: Service, predicted_first_token: Seconds) -> CallRejection | None:
        """Rejects a call that cannot get its first token within its service's time limit; returns None otherwise.

        ``predicted_first_token`` is the time until the first token, in seconds from now.
        """
        ...
