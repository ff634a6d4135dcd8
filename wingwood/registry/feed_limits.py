"""How often homes are asked, and how long what they tell is trusted (docs/DESIGN.md sections 10.3 and 10.4)."""

from __future__ import annotations

from ..identifiers import Seconds

ASK_EVERY = Seconds(0.3)
ASK_TIMEOUT = Seconds(0.4)
SESSION_BOUND = Seconds(1.5)
"""A home whose membership was proven longer ago may have been passed over by announcements."""
ANOTHER_ZONE_AFTER = Seconds(0.8)
"""A follower whose knowledge was proven longer ago asks another zone's home as well; usual is up to 0.6 s."""
NEIGHBOUR_EVERY = 10
"""Rounds between the questions to a neighbour for pools not known here."""
OFFERED_MOST = 5_000
"""Workers that a router offers to a home which it begins to follow."""
DEAF_AFTER = Seconds(2.0)
"""A home that hears no renewal of any worker for so long takes the silence for control's, not the workers'."""
EJECTED_TRUSTED = Seconds(2.0)
ENGAGED_TRUSTED = Seconds(2.0)
LOADS_AT_ONCE = 40
"""A pool of more workers is told of their loads less often, in proportion."""


def loads_every(workers: int) -> float:
    """Seconds between two questions for the loads of a pool of so many workers."""
    return ASK_EVERY * max(1.0, workers / LOADS_AT_ONCE)


def engaged_trusted(workers: int) -> float:
    """For how many seconds the counts of a pool of so many workers are trusted."""
    return ENGAGED_TRUSTED + 2 * loads_every(workers)
