"""How often owners are asked, and for how long their answers are used (docs/DESIGN.md sections 10.3 and 10.4)."""

from __future__ import annotations

from ..identifiers import Seconds

FEED_INTERVAL_S = Seconds(0.3)
"""Time between two questions to an owner."""
FEED_TIMEOUT_S = Seconds(0.4)
SESSION_PROOF_MAX_AGE_S = Seconds(1.5)
"""An owner whose membership was proven longer ago may have missed announcements."""
OTHER_ZONE_AFTER_S = Seconds(0.8)
"""A follower whose knowledge was proven longer ago also asks another zone's owner; normal is up to 0.6 s."""
DISCOVERY_INTERVAL_ROUNDS = 10
"""Number of rounds between two questions to another router for pools that are not known here."""
MAX_OFFERED_WORKERS = 5_000
"""Limit on the workers that a router offers to an owner which it starts to follow."""
ALL_SILENT_AFTER_S = Seconds(2.0)
"""An owner that receives no renewal of any worker for so long attributes this to control, not to the workers."""
EJECTION_MAX_AGE_S = Seconds(2.0)
"""For how long the owner's list of ejected workers is used."""
ENGAGEMENT_MAX_AGE_S = Seconds(2.0)
"""For how long reported counts are used, before the allowance for large pools."""
FULL_RATE_WORKERS = 40
"""In a pool of more workers, loads are reported less often, in proportion to its size."""


def load_interval_s(workers: int) -> float:
    """Returns the seconds between two questions for the loads of a pool of so many workers."""
    return FEED_INTERVAL_S * max(1.0, workers / FULL_RATE_WORKERS)


def engagement_max_age_s(workers: int) -> float:
    """Returns for how many seconds the counts of a pool of so many workers are used."""
    return ENGAGEMENT_MAX_AGE_S + 2 * load_interval_s(workers)
