"""Settings of the reservation policy (docs/DESIGN.md section 11.7)."""

from __future__ import annotations

import msgspec

from ..identifiers import Seconds


class ReservationSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Weights, limits and lifetimes of the reservation policy."""

    reservation_lifetime: Seconds = Seconds(300.0)
    """Seconds after which a reservation expires; the entry is then only a claim."""
    expected_turn_lifetime: Seconds = Seconds(20.0)
    """Seconds after its last turn during which a session counts as returning to its reserved worker."""
    next_turn_wait_weight: float = 0.03
    """Weight of the mean wait predicted for a session's next turn, against the prefill that is saved."""
    mean_wait_weight: float = 0.1
    """Weight of the mean wait for a turn that has arrived, besides the wait for a free slot, which counts in full."""
    timeout_share: float = 0.8
    """A reservation is passed over when its first token would take more than this share of the callers' timeout."""
    objective_risk_share: float = 0.5
    """A reservation may be passed over when its first token takes more than this share of the latency objective.

    Forecasts are means: an objective of which the forecast takes half is often missed.
    """
    objective_met_share: float = 0.35
    """The reservation is then passed over if another worker's first token takes at most this share of the objective."""
    max_pressure: float = 4.0
    """Upper bound of the factor by which waiting costs more for the class that pays least."""
    min_move_gain: Seconds = Seconds(0.1)
    """A session moves to another worker only for a gain of more than this many seconds."""
    min_move_gain_with_sizes: Seconds = Seconds(0.01)
    """The same bound where callers report the sizes of the prompt's parts."""
    load_bound: float = 1.25
    """A shared prefix spreads to its next worker where load per slot exceeds the mean load per slot this many times."""
    prefix_slot_share: float = 0.25
    """Share of a worker's slots that one shared prefix may occupy before it spreads to one more worker."""
    prefix_prefill_share: float = 0.15
    """Share of a worker's prefill time that one prefix of reported size may use before it spreads to another worker."""
    first_worker_cache_probability: float = 0.8
    """Probability that the first worker in a prefix's rendezvous order caches it when no worker is known to do so."""
    repeated_prefill_weight: float = 8.0
    """Weight of prefilling shared parts that another worker probably caches, beyond the time that the prefill takes."""
    gap_risk_share: float = 0.35
    """Share of a service's longest gap between events; a longer prefill queue risks such a gap in the streams there."""
    risk_cost: float = 8.0
    """Weight of the seconds by which wait and prefill exceed the threshold that risks the objective or a gap."""
    stream_delay_weight: float = 0.2
    """Weight of the seconds by which a prefill delays each stream that runs on the same worker."""
    other_zone_cost: Seconds = Seconds(0.003)
    """Cost in seconds of a worker in another zone: the round trip and the transfer of its bytes."""
    max_dedicated_share: float = 0.34
    """Largest share of a pool's workers that is dedicated to long streams; 0 dedicates none."""
    candidates: int = 3
    """Number of workers drawn at random for a session without a shared prefix."""
    candidates_with_sizes: int = 5
    """The same number where callers report sizes: the wait is then predicted well enough to compare more workers."""
    extra_candidates: int = 2
    """Number of workers drawn at random in addition to those that probably cache the prompt."""
    less_urgent_share: float = 0.85
    """Share of a pool's capacity that is open to turns less urgent than the most urgent recent ones."""
