"""How often homes are asked, and how long what they tell is trusted (docs/DESIGN.md sections 10.3 and 10.4)."""

from __future__ import annotations

from ..identifiers import Seconds

FEED_INTERVAL_S = Seconds(0.3)
FEED_TIMEOUT_S = Seconds(0.4)
SESSION_PROOF_MAX_AGE_S = Seconds(1.5)
"""A home whose membership was proven longer ago may have been passed over by announcements."""
OTHER_ZONE_AFTER_S = Seconds(0.8)
"""A follower whose knowledge was proven longer ago asks another zone's home as well; usual is up to 0.6 s."""
DISCOVERY_INTERVAL_ROUNDS = 10
"""Rounds between the questions to a neighbour for pools not known here."""
MAX_OFFERED_WORKERS = 5_000
"""Workers that a router offers to a home which it begins to follow."""
ALL_SILENT_AFTER_S = Seconds(2.0)
"""A home that hears no renewal of any worker for so long takes the silence for control's, not the workers'."""
EJECTION_MAX_AGE_S = Seconds(2.0)
ENGAGEMENT_MAX_AGE_S = Seconds(2.0)
FULL_RATE_WORKERS = 40
"""A pool of more workers is told of their loads less often, in proportion."""


def load_interval_s(workers: int) -> float:
    """Seconds between two questions for the loads of a pool of so many workers."""
    return FEED_INTERVAL_S * max(1.0, workers / FULL_RATE_WORKERS)


def engagement_max_age_s(workers: int) -> float:
    """For how many seconds the counts of a pool of so many workers are trusted."""
    return ENGAGEMENT_MAX_AGE_S + 2 * load_interval_s(workers)
