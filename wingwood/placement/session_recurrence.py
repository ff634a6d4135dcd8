"""Whether sessions of a service recur, so that asking other routers for them pays (docs/DESIGN.md section 11.2)."""

from __future__ import annotations

import msgspec

from ..identifiers import ServiceName

NEW_SAMPLE_WEIGHT = 0.01
"""Weight of one new sample in the moving average."""
MIN_KNOWN_SHARE = 0.02
"""Share of turns with a known session below which the sessions of a service count as not recurring."""
MIN_OBSERVED_TURNS = 300
"""Number of observed turns below which the sessions of a service count as recurring."""
SAMPLED_ONE_IN = 8
"""One session in this many is tracked even if sessions don't recur; the key decides, so all routers agree."""


class _Observed(msgspec.Struct):
    """Observations of one service."""

    turns: int = 0
    known: float = 0.3
    """Moving average of the share of turns whose session was known."""


class SessionRecurrence:
    """Observes for each service how often a turn's session is already known."""

    def __init__(self) -> None:
        self._services: dict[ServiceName, _Observed] = {}

    def observe(self, service: ServiceName, known: bool) -> None:
        """Records that the session map was asked for a turn's session, and whether it knew the session."""
        observed = self._services.setdefault(service, _Observed())
        observed.turns += 1
        sample_weight = max(NEW_SAMPLE_WEIGHT, 1.0 / (observed.turns + 3))
        observed.known += sample_weight * (known - observed.known)

    def sessions_recur(self, service: ServiceName) -> bool:
        """Returns whether the service's sessions recur often enough; True until enough turns were observed."""
        return not self.has_enough_turns(service) or self._services[service].known >= MIN_KNOWN_SHARE

    def has_enough_turns(self, service: ServiceName) -> bool:
        """Returns whether enough turns were observed to decide."""
        observed = self._services.get(service)
        return observed is not None and observed.turns >= MIN_OBSERVED_TURNS

    def is_tracked(self, service: ServiceName, key: int) -> bool:
        """Returns whether this session is looked up and recorded at other routers."""
        return key % SAMPLED_ONE_IN == 0 or self.sessions_recur(service)
