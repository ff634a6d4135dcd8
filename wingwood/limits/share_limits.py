"""Timeouts and limits of the requests between routers and share allocators (docs/DESIGN.md section 14.1)."""

from __future__ import annotations

import msgspec

from ..identifiers import Seconds


class ShareLimits(msgspec.Struct, frozen=True):
    """Timeouts, validity times and counts of the paid shares; times are in seconds."""

    call_timeout: Seconds = Seconds(0.1)
    """Longest time that a call waits for the allocator and its deputy together."""
    hedge_delay: Seconds = Seconds(0.04)
    """The deputy is asked when the allocator has not answered after this long."""
    request_timeout: Seconds = Seconds(0.25)
    """Timeout of a lease request itself; a grant that arrives after the hedge delay is still applied."""
    startup_period: Seconds = Seconds(3.0)
    """A router that started within this time uses the ``startup_`` timeouts below, which are longer: it and the
    allocator may still be connecting to the whole fleet."""
    startup_call_timeout: Seconds = Seconds(0.5)
    startup_hedge_delay: Seconds = Seconds(0.25)
    startup_request_timeout: Seconds = Seconds(0.5)
    probe_interval: Seconds = Seconds(0.1)
    """Interval between requests while the allocator does not answer."""
    empty_bucket_pause: Seconds = Seconds(0.1)
    """Shortest time for which an empty bucket gets no further request; what accrues meanwhile stays in it."""
    session_proven_max_age: Seconds = Seconds(0.75)
    """An allocator whose session was last proven longer ago may be partitioned off, so it grants little."""
    session_confirm_age: Seconds = Seconds(1.5)
    """An allocator whose session was last proven longer ago needs the confirmation of other routers.

    It asks them from half of this age on whether it is still a member.
    """
    confirmation_validity: Seconds = Seconds(1.5)
    """How long the confirmation by other routers is valid."""
    max_confirming_routers: int = 24
    """Most routers asked for confirmation.

    Together with the allocator itself, more than half must agree, and none may deny.
    """
    ping_timeout: Seconds = Seconds(0.05)
    """How long a deputy waits for the allocator's answer to a ping."""
    ping_validity: Seconds = Seconds(0.3)
    """How long the result of a ping is used without another ping; a silent result also counts until the next answer."""
    gap_threshold: Seconds = Seconds(0.75)
    """An allocator that did not run for this long was frozen and may have been replaced."""
    rest_after_gap: Seconds = Seconds(0.25)
    """An allocator grants nothing for this long after such a gap."""
    max_gathering_routers: int = 128
    """With more routers, a new allocator requests no usage reports and lets its bucket fill from the reserve: a
    thousand answers and connections at each change of members cost more than one second's saved share is worth."""
