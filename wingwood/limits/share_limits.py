"""How long routers wait for a share's keeper, and how long what is known of it counts (docs/DESIGN.md section 14.1)."""

from __future__ import annotations

import msgspec

from ..identifiers import Seconds


class ShareLimits(msgspec.Struct, frozen=True):
    call_timeout: Seconds = Seconds(0.1)
    """Longest wait of a call for its keeper and the keeper's deputy."""
    hedge_delay: Seconds = Seconds(0.04)
    """After this without an answer of the keeper its deputy is asked."""
    request_timeout: Seconds = Seconds(0.25)
    """How long an ask itself may take; a grant that comes late is still noted."""
    startup_period: Seconds = Seconds(3.0)
    """A router that started less long ago bears a slower answer: it and the keeper may be making connections to the
    whole fleet."""
    startup_call_timeout: Seconds = Seconds(0.5)
    startup_hedge_delay: Seconds = Seconds(0.25)
    startup_request_timeout: Seconds = Seconds(0.5)
    probe_interval: Seconds = Seconds(0.1)
    """Between asks while the keeper does not answer."""
    empty_bucket_pause: Seconds = Seconds(0.1)
    """Shortest time for which an empty bucket is not asked again; what accrues meanwhile stays in it."""
    session_proven_max_age: Seconds = Seconds(0.75)
    """A keeper whose session was proven longer ago may be cut off, so it grants little."""
    session_confirm_age: Seconds = Seconds(1.5)
    """A keeper whose session was proven longer ago asks other routers whether it still is a member."""
    confirmation_validity: Seconds = Seconds(1.5)
    """How long their agreement counts."""
    max_confirming_routers: int = 24
    """Routers asked for it; more than half must agree and none deny."""
    ping_timeout: Seconds = Seconds(0.05)
    """How long a deputy waits for the keeper's sign of life."""
    ping_validity: Seconds = Seconds(0.3)
    """How long what it finds counts without another question; that it was silent, until the answer to that."""
    gap_threshold: Seconds = Seconds(0.75)
    """A keeper that did not run for this long was frozen and may have been replaced."""
    rest_after_gap: Seconds = Seconds(0.25)
    max_gathering_routers: int = 128
    """With more routers a new keeper asks nobody and lets its bucket fill from the reserve: a thousand answers
    and connections at each change of members cost more than a second's saved share is worth."""
