"""Times of sessions, in seconds (docs/DESIGN.md section 8.1)."""

from __future__ import annotations

import msgspec

from ..identifiers import Seconds


class SessionTimes(msgspec.Struct, frozen=True, kw_only=True):
    heartbeat_interval: Seconds = Seconds(0.5)
    answer_timeout: Seconds = Seconds(0.4)
    """How long a heartbeat's answer is waited for before another keeper is asked."""
    session_timeout: Seconds = Seconds(2.0)
    """A session without a heartbeat for this long is lost; a keeper that answers nobody is no member."""
    grace_period: Seconds = Seconds(2.5)
    """Sessions of a silent keeper are kept this long, so that they resume elsewhere without leaving."""
    settling_period: Seconds = Seconds(2.5)
    """How long a young or woken keeper's list is merged and not trusted to remove."""
    poll_wait: Seconds = Seconds(0.5)
    """Longest that a keeper holds back its answer to another while nothing changes."""
    unreachable_after: Seconds = Seconds(1.1)
    """A keeper that hasn't answered for this long is asked after at the others."""
    sweep_interval: Seconds = Seconds(0.1)
    coalescing_delay: Seconds = Seconds(0.03)
    retry_pause: Seconds = Seconds(0.25)
    isolation_window: Seconds = Seconds(10.0)
    """So long a keeper that hears less than half of those it heard before takes this for its own fault."""
    inquiry_interval: Seconds = Seconds(2.0)
    """How often others are asked after a keeper of which nobody has heard for a while."""
    slow_retry_after: Seconds = Seconds(30.0)
    """A keeper silent for longer is asked less often."""
    forget_after: Seconds = Seconds(600.0)
    """A keeper silent for longer, at an address that is no seed, is asked no more."""
    max_members_per_answer: int = 128
    """Most members in one answer; the rest follows with the next heartbeats, which come sooner."""
    rebalance_interval: Seconds = Seconds(30.0)
    """How often a daemon looks whether a keeper that suits it better has come back."""
