"""Whether the sessions of a service come back, so that asking others for them pays (docs/DESIGN.md section 11.2)."""

from __future__ import annotations

import msgspec

from ..identifiers import ServiceName

FOLD = 0.01
LEAST_SHARE = 0.02
"""Share of turns of a known session below which the service's sessions count as not coming back."""
TRIED_FIRST = 300
SAMPLED_KEYS = 8
"""One session in so many is followed all the same, at all routers: by its key."""


class _Seen(msgspec.Struct):
    turns: int = 0
    known: float = 0.3
    """Moving average of the turns whose session was known."""


class Recurrence:
    def __init__(self) -> None:
        self._services: dict[ServiceName, _Seen] = {}

    def seen(self, service: ServiceName, known: bool) -> None:
        """The map was asked for a turn's session."""
        seen = self._services.setdefault(service, _Seen())
        seen.turns += 1
        fold = max(FOLD, 1.0 / (seen.turns + 3))
        seen.known += fold * (known - seen.known)

    def comes_back(self, service: ServiceName) -> bool:
        """Whether its sessions have a next turn often enough; so it is taken to be until tried."""
        return not self.tried(service) or self._services[service].known >= LEAST_SHARE

    def tried(self, service: ServiceName) -> bool:
        """Whether enough turns were seen to say so."""
        seen = self._services.get(service)
        return seen is not None and seen.turns >= TRIED_FIRST

    def followed(self, service: ServiceName, key: int) -> bool:
        """Whether to ask and tell the other routers of this session."""
        return key % SAMPLED_KEYS == 0 or self.comes_back(service)
