"""How long routers wait for a share's keeper, and how long what is known of it counts (docs/DESIGN.md section 14.1)."""

from __future__ import annotations

import msgspec

from ..identifiers import Seconds


class ShareBounds(msgspec.Struct, frozen=True):
    wait: Seconds = Seconds(0.1)
    """Longest wait of a call for its keeper and the keeper's deputy."""
    hedge: Seconds = Seconds(0.04)
    """After this without an answer of the keeper its deputy is asked."""
    ask: Seconds = Seconds(0.25)
    """How long an ask itself may take; a grant that comes late is still noted."""
    starting: Seconds = Seconds(3.0)
    """A router that started less long ago bears a slower answer: it and the keeper may be making connections to the
    whole fleet."""
    starting_wait: Seconds = Seconds(0.5)
    starting_hedge: Seconds = Seconds(0.25)
    starting_ask: Seconds = Seconds(0.5)
    probe: Seconds = Seconds(0.1)
    """Between asks while the keeper does not answer."""
    empty_pause: Seconds = Seconds(0.1)
    """Shortest time for which an empty bucket is not asked again; what accrues meanwhile stays in it."""
    proven: Seconds = Seconds(0.75)
    """A keeper whose session was proven longer ago may be cut off, so it grants little."""
    session: Seconds = Seconds(1.5)
    """A keeper whose session was proven longer ago asks other routers whether it still is a member."""
    confirmed: Seconds = Seconds(1.5)
    """How long their agreement counts."""
    most_confirming: int = 24
    """Routers asked for it; more than half must agree and none deny."""
    ping: Seconds = Seconds(0.05)
    """How long a deputy waits for the keeper's sign of life."""
    ping_counts: Seconds = Seconds(0.3)
    """How long what it finds counts without another question; that it was silent, until the answer to that."""
    gap: Seconds = Seconds(0.75)
    """A keeper that did not run for this long was frozen and may have been replaced."""
    rest: Seconds = Seconds(0.25)
    most_gathered: int = 128
    """With more routers a new keeper asks nobody and lets its bucket fill from the reserve: a thousand answers
    and connections at each change of members cost more than a second's saved share is worth."""
