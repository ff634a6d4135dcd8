"""Settings of the reservation policy, grouped by concern (docs/DESIGN.md section 11.7)."""

from __future__ import annotations

import msgspec

from ..identifiers import Seconds


class ReservationSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Lifetime of reservations, and when one is passed over."""

    lifetime: Seconds = Seconds(300.0)
    """Seconds after which a reservation expires; the entry is then only a claim."""
    expected_turn_lifetime: Seconds = Seconds(20.0)
    """Seconds after its last turn during which a session counts as returning to its reserved worker."""
    timeout_share: float = 0.8
    """A reservation is passed over when its first token would take more than this share of the callers' timeout."""
    objective_met_share: float = 0.35
    """A reservation that risks the objective is passed over if another worker's first token takes at most this share.

    The risk begins at ``RiskSettings.objective_share``.
    """


class CostSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Weights of what a turn costs at a worker."""

    next_turn_wait_weight: float = 0.03
    """Weight of the mean wait predicted for a session's next turn, against the prefill that is saved."""
    mean_wait_weight: float = 0.1
    """Weight of the mean wait for a turn that has arrived, besides the wait for a free slot, which counts in full."""
    max_pressure: float = 4.0
    """Upper bound of the factor by which waiting costs more for the class that pays least."""
    repeated_prefill_weight: float = 8.0
    """Weight of prefilling shared parts that another worker probably caches, beyond the time that the prefill takes."""
    stream_delay_weight: float = 0.2
    """Weight of the seconds by which a prefill delays each stream that runs on the same worker."""
    other_zone_cost: Seconds = Seconds(0.003)
    """Cost in seconds of a worker in another zone: the round trip and the transfer of its bytes."""


class RiskSettings(msgspec.Struct, frozen=True, kw_only=True):
    """When wait and prefill risk the latency objective or a gap in a stream, and what the risk costs."""

    objective_share: float = 0.5
    """A reservation may be passed over when its first token takes more than this share of the latency objective.

    Forecasts are means: an objective of which the forecast takes half is often missed.
    """
    gap_share: float = 0.35
    """Share of a service's longest gap between events; a longer prefill queue risks such a gap in the streams there."""
    weight: float = 8.0
    """Weight of the seconds by which wait and prefill exceed the threshold that risks the objective or a gap."""


class PrefixSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How many workers a shared prefix is spread over."""

    load_bound: float = 1.25
    """A shared prefix spreads to its next worker where load per slot exceeds the mean load per slot this many times."""
    slot_share: float = 0.25
    """Share of a worker's slots that one shared prefix may occupy before it spreads to one more worker."""
    prefill_share: float = 0.15
    """Share of a worker's prefill time that one prefix of reported size may use before it spreads to another worker."""
    first_worker_cache_probability: float = 0.8
    """Probability that the first worker in a prefix's rendezvous order caches it when no worker is known to do so."""


class CandidateSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How many workers are compared, and the gain for which a session moves."""

    drawn: int = 3
    """Number of workers drawn at random for a session without a shared prefix."""
    drawn_with_sizes: int = 5
    """The same number where callers report sizes: the wait is then predicted well enough to compare more workers."""
    extra_drawn: int = 2
    """Number of workers drawn at random in addition to those that probably cache the prompt."""
    min_move_gain: Seconds = Seconds(0.1)
    """A session moves to another worker only for a gain of more than this many seconds."""
    min_move_gain_with_sizes: Seconds = Seconds(0.01)
    """The same bound where callers report the sizes of the prompt's parts."""


class CapacitySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Capacity that is kept for some turns."""

    max_dedicated_share: float = 0.34
    """Largest share of a pool's workers that is dedicated to long streams; 0 dedicates none."""
    less_urgent_share: float = 0.85
    """Share of a pool's capacity that is open to turns less urgent than the most urgent recent ones."""


class PlacementSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Weights, limits and lifetimes of the reservation policy."""

    reservations: ReservationSettings = ReservationSettings()
    costs: CostSettings = CostSettings()
    risk: RiskSettings = RiskSettings()
    prefixes: PrefixSettings = PrefixSettings()
    candidates: CandidateSettings = CandidateSettings()
    capacity: CapacitySettings = CapacitySettings()
