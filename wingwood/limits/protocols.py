"""Interfaces of paid shares, retry budgets and admission (docs/DESIGN.md section 14)."""

from __future__ import annotations

from typing import Protocol

import msgspec

from ..bundle.model import Service, Tenant
from ..identifiers import PoolName, Seconds


class ShareRefused(msgspec.Struct, frozen=True):
    """A refusal, with the seconds after which the caller may try again."""

    retry_after: Seconds


class Shares(Protocol):
    """The paid shares of all tenants."""

    async def take(self, tenant: Tenant, cost: int = 1) -> ShareRefused | None:
        """Charges a call to the tenant's paid rate over the whole fleet; returns None when the call fits.

        ``cost`` is in the tenant's ``unit``: 1 call, or the call's tokens (those of the prompt plus the
        maximum that it may generate).
        """
        ...


class RetryBudget(Protocol):
    """Limits retries per pool: services that use the same pool share its budget."""

    def note_call(self, service: Service, pool: PoolName | None = None) -> None:
        """Records that a call of the service arrived, which adds to the budget.

        ``pool`` is the chosen pool, or None before the choice; the call then counts by the service's split.
        """
        ...

    def take(self, service: Service, pool: PoolName | None = None) -> bool:
        """Takes one retry from the budget of ``pool`` (None: the service's own); returns whether it may be made."""
        ...


class Admission(Protocol):
    """Decides whether a call may start."""

    def refuse(self, service: Service, predicted_first_token: Seconds) -> ShareRefused | None:
        """Returns a refusal for a call that cannot get its first token within its service's time limit, else None."""
        ...
