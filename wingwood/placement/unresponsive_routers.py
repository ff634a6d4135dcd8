"""Routers that are skipped for a while after a call to them timed out (docs/DESIGN.md sections 11.2 and 11.12)."""

from __future__ import annotations

from ..context.protocols import Clock
from ..identifiers import Incarnation, Instant, Seconds

SKIP_PERIOD_S = Seconds(1.0)


class UnresponsiveRouters:
    """The routers to skip, by incarnation, so that a restarted router is asked again at once."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._until: dict[Incarnation, Instant] = {}

    def contains(self, router: Incarnation) -> bool:
        """Returns whether the router is to be skipped now."""
        return self._until.get(router, Instant(0.0)) > self._clock.monotonic()

    def add(self, router: Incarnation) -> None:
        """Records that a call to the router timed out."""
        now = self._clock.monotonic()
        self._until = {known: until for known, until in self._until.items() if until > now}
        self._until[router] = Instant(now + SKIP_PERIOD_S)
