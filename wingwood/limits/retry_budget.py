"""How many tries beyond the first a router may make (docs/DESIGN.md section 14)."""

from __future__ import annotations

from ..bundle.model import Service
from ..identifiers import ServiceName

MOST_SHARE = 0.19
"""Whatever the bundle says, tries beyond the first stay under a fifth."""
MOST_SAVED = 3.0
"""Tries that may be saved up, so that an hour's calm does not pay for a storm."""


class ServiceRetryBudget:
    """A ``RetryBudget`` earned by this router's own calls, starting at nothing.

    Each call earns ``retry_share`` of a try. So every router, and therefore the fleet, has made at
    any moment at most that share of its calls as tries beyond the first, whoever is frozen or cut off.
    """

    def __init__(self) -> None:
        self._saved: dict[ServiceName, float] = {}

    def earned(self, service: Service) -> None:
        share = min(MOST_SHARE, max(0.0, service.retry_share))
        self._saved[service.name] = min(MOST_SAVED, self._saved.get(service.name, 0.0) + share)

    def take(self, service: ServiceName) -> bool:
        saved = self._saved.get(service, 0.0)
        if saved < 1.0:
            return False
        self._saved[service] = saved - 1.0
        return True
