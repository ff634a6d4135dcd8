"""Paid shares and retry budgets (docs/DESIGN.md section 14)."""

from __future__ import annotations

from typing import Protocol

import msgspec

from ..bundle.model import Service, Tenant
from ..identifiers import PoolName, Seconds


class ShareRefused(msgspec.Struct, frozen=True):
    retry_after: Seconds


class Shares(Protocol):
    async def take(self, tenant: Tenant, cost: int = 1) -> ShareRefused | None:
        """Counts a call against the tenant's paid rate over the whole fleet; None when it fits.

        ``cost`` is in the tenant's ``unit``: 1, or the call's tokens (prompt and the most it may generate).
        """
        ...


class RetryBudget(Protocol):
    """Kept by pool: services that share one share its budget."""

    def note_call(self, service: Service, pool: PoolName | None = None) -> None:
        """A call of the service came in; ``pool`` once it is chosen (None: by the service's split)."""
        ...

    def take(self, service: Service, pool: PoolName | None = None) -> bool:
        """Whether one try beyond the first may be made now, at ``pool`` (None: the service's own)."""
        ...


class Admission(Protocol):
    def refuse(self, service: Service, predicted_first_token: Seconds) -> ShareRefused | None:
        """Refuses at once what cannot get its first token within its callers' patience."""
        ...
