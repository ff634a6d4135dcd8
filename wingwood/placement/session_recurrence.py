"""Whether the sessions of a service come back, so that asking others for them pays (docs/DESIGN.md section 11.2)."""

from __future__ import annotations

import msgspec

from ..identifiers import ServiceName

NEW_SAMPLE_WEIGHT = 0.01
MIN_KNOWN_SHARE = 0.02
"""Share of turns of a known session below which the service's sessions count as not coming back."""
MIN_OBSERVED_TURNS = 300
SAMPLED_ONE_IN = 8
"""One session in so many is followed all the same, at all routers: by its key."""


class _Observed(msgspec.Struct):
    turns: int = 0
    known: float = 0.3
    """Moving average of the turns whose session was known."""


class SessionRecurrence:
    def __init__(self) -> None:
        self._services: dict[ServiceName, _Observed] = {}

    def observe(self, service: ServiceName, known: bool) -> None:
        """The map was asked for a turn's session."""
        seen = self._services.setdefault(service, _Observed())
        seen.turns += 1
        fold = max(NEW_SAMPLE_WEIGHT, 1.0 / (seen.turns + 3))
        seen.known += fold * (known - seen.known)

    def sessions_recur(self, service: ServiceName) -> bool:
        """Whether its sessions have a next turn often enough; so it is taken to be until tried."""
        return not self.has_enough_turns(service) or self._services[service].known >= MIN_KNOWN_SHARE

    def has_enough_turns(self, service: ServiceName) -> bool:
        """Whether enough turns were seen to say so."""
        seen = self._services.get(service)
        return seen is not None and seen.turns >= MIN_OBSERVED_TURNS

    def is_tracked(self, service: ServiceName, key: int) -> bool:
        """Whether to ask and tell the other routers of this session."""
        return key % SAMPLED_ONE_IN == 0 or self.sessions_recur(service)
