"""Paid shares and retry budgets (docs/DESIGN.md section 14)."""

from __future__ import annotations

from typing import Protocol

import msgspec

from ..bundle.model import Service, Tenant
from ..identifiers import Seconds, ServiceName


class ShareRefused(msgspec.Struct, frozen=True):
    retry_after: Seconds


class Shares(Protocol):
    async def take(self, tenant: Tenant) -> ShareRefused | None:
        """Counts one call against the tenant's paid rate over the whole fleet; None when it fits."""
        ...


class RetryBudget(Protocol):
    def earned(self, service: Service) -> None:
        """A call of the service came in."""
        ...

    def take(self, service: ServiceName) -> bool:
        """Whether one try beyond the first may be made now. No budget before calls have earned it."""
        ...


class Admission(Protocol):
    def refuse(self, service: Service, predicted_first_token: Seconds) -> ShareRefused | None:
        """Refuses at once what cannot get its first token within its callers' patience."""
        ...
