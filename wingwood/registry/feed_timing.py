"""How often owners are polled, and for how long their replies are used (docs/DESIGN.md sections 10.3 and 10.4)."""

from __future__ import annotations

from ..identifiers import Seconds

FEED_INTERVAL_S = Seconds(0.3)
"""Time between two polls of an owner."""
FEED_TIMEOUT_S = Seconds(0.4)
SESSION_CONFIRMATION_MAX_AGE_S = Seconds(1.5)
"""An owner whose membership was confirmed longer ago may have missed announcements."""
OTHER_ZONE_AFTER_S = Seconds(0.8)
"""A follower whose knowledge was confirmed longer ago also polls another zone's owner; normal is up to 0.6 s."""
DISCOVERY_INTERVAL_POLLS = 10
"""Number of polls between two requests to another router for pools that are not known here."""
MAX_OFFERED_WORKERS = 5_000
"""Limit on the workers that a router offers to an owner which it starts to follow."""
NO_RENEWALS_AFTER_S = Seconds(2.0)
"""An owner that receives no renewal of any worker for so long attributes this to control, not to the workers."""
OBSERVED_LOAD_MAX_AGE_S = Seconds(2.0)
"""For how long reported loads are used, before the allowance for large pools."""
FULL_RATE_WORKERS = 40
"""In a pool of more workers, loads are reported less often, in proportion to its size."""


def load_interval_s(workers: int) -> float:
    """Returns the seconds between two requests for the loads of a pool of so many workers."""
    return FEED_INTERVAL_S * max(1.0, workers / FULL_RATE_WORKERS)


def observed_load_max_age_s(workers: int) -> float:
    """Returns for how many seconds the observed loads of a pool of so many workers are used."""
    return OBSERVED_LOAD_MAX_AGE_S + 2 * load_interval_s(workers)
