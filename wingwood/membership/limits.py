"""Times of sessions, in seconds (docs/DESIGN.md section 8.1)."""

from __future__ import annotations

import msgspec

from ..identifiers import Seconds


class SessionTimes(msgspec.Struct, frozen=True, kw_only=True):
    heartbeat: Seconds = Seconds(0.5)
    answer: Seconds = Seconds(0.4)
    """How long a heartbeat's answer is waited for before another keeper is asked."""
    lost: Seconds = Seconds(2.0)
    """A session without a heartbeat for this long is lost; a keeper that answers nobody is no member."""
    grace: Seconds = Seconds(2.5)
    """Sessions of a silent keeper are kept this long, so that they resume elsewhere without leaving."""
    settle: Seconds = Seconds(2.5)
    """How long a young or woken keeper's list is merged and not trusted to remove."""
    keeper_poll: Seconds = Seconds(0.5)
    """Longest that a keeper holds back its answer to another while nothing changes."""
    unheard: Seconds = Seconds(1.1)
    """A keeper that hasn't answered for this long is asked after at the others."""
    sweep: Seconds = Seconds(0.1)
    coalesce: Seconds = Seconds(0.03)
    retry: Seconds = Seconds(0.25)
    missed: Seconds = Seconds(10.0)
    """So long a keeper that hears less than half of those it heard before takes this for its own fault."""
    ask_after: Seconds = Seconds(2.0)
    """How often others are asked after a keeper of which nobody has heard for a while."""
    patient: Seconds = Seconds(30.0)
    """A keeper silent for longer is asked less often."""
    forget: Seconds = Seconds(600.0)
    """A keeper silent for longer, at an address that is no seed, is asked no more."""
    told_at_once: int = 128
    """Most members in one answer; the rest follows with the next heartbeats, which come sooner."""
    rebalance: Seconds = Seconds(30.0)
    """How often a daemon looks whether a keeper that suits it better has come back."""
