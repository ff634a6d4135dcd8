"""What the award policy can be set to, with defaults chosen on the bench (docs/DESIGN.md section 11.7)."""

from __future__ import annotations

import msgspec

from ..identifiers import Seconds


class AwardSettings(msgspec.Struct, frozen=True, kw_only=True):
    award_for: Seconds = Seconds(300.0)
    """How long an award stands; after that the entry is only a claim."""
    expect_for: Seconds = Seconds(20.0)
    """How long after its last turn a session counts as coming back to its award's winner."""
    ahead_cost: float = 0.03
    """Weight of the mean wait foreseen for a turn to come, against the prefill spared."""
    crowd_cost: float = 0.1
    """The same for a turn that is here, beside the wait for a free slot, which counts in full."""
    patience_share: float = 0.8
    """Of the callers' patience: an award is passed over when its winner's first token would take longer."""
    objective_risked: float = 0.5
    """Of the latency objective: an award is passed over when its winner's first token would take longer ..."""
    objective_met: float = 0.35
    """... and another's would come within this share of it. Forecasts are means: half of it is often missed."""
    pressure_most: float = 4.0
    """How much more fullness may count for the class that pays least."""
    move_gain: Seconds = Seconds(0.1)
    """A session moves only for a gain above this."""
    told_move_gain: Seconds = Seconds(0.01)
    """The same where callers tell the sizes of the prompt's parts."""
    bounded_load: float = 1.25
    """A shared prefix goes on to its next worker above this multiple of the mean fullness."""
    prefix_slots: float = 0.25
    """Share of a worker's slots that one shared prefix may take before it spreads to one more worker."""
    prefix_use: float = 0.15
    """Share of a worker's prefill time that one told prefix may take before it spreads to one more worker."""
    home_trust: float = 0.8
    """How probable it is that the first worker in a prefix's rendezvous order keeps what nobody is known to keep."""
    reread_cost: float = 8.0
    """Weight of prefilling shared parts again that another worker probably keeps, beyond the time that it takes."""
    pause_risked: float = 0.35
    """Of the longest pause on time: a prefill queue of this length risks it for the streams that run beside."""
    risk_cost: float = 8.0
    """Weight of the time by which a wait and prefill go beyond what risks objective or pause."""
    harm: float = 0.2
    """Weight of the time by which a prefill holds up each stream that runs beside it."""
    other_zone: Seconds = Seconds(0.003)
    """What a worker in another zone costs: the way there and back, and its bytes."""
    apart_most: float = 0.34
    """Share of a pool's workers that other turns leave to long streams at most; 0: they are not kept apart."""
    candidates: int = 3
    """Workers drawn for a session without a shared prefix."""
    told_candidates: int = 5
    """The same where callers tell sizes: then the wait is foreseen well enough to compare more."""
    drawn_beside: int = 2
    """Workers drawn beside those that probably keep the prompt."""
    less_urgent_places: float = 0.85
    """Of the places of a pool: those open to turns less urgent than the most urgent of late."""
