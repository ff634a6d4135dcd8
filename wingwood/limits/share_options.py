"""Timeouts and bounds of paid shares, for routers and allocators alike (docs/DESIGN.md section 14.1)."""

from __future__ import annotations

import msgspec

from ..identifiers import Seconds

RECENT_WINDOW_S = Seconds(4.0)
"""Time over which a router averages its own use to report its needed rate."""
ACCRUAL_LIMIT_S = Seconds(0.3)
"""A router that reaches its allocator accumulates at most this many seconds of its allowed rate."""
AUTONOMY_S = Seconds(10.0)
"""A router may use its allowed rate for this long after the allocator's last answer."""
REPORT_STEP_S = Seconds(0.5)
"""Length of the time steps in reports of past use."""


class ShareOptions(msgspec.Struct, frozen=True):
    """Timeouts, validity times and counts of the paid shares."""

    call_timeout_s: Seconds = Seconds(0.1)
    """Longest time that a call waits for the allocator and its standby together."""
    hedge_delay_s: Seconds = Seconds(0.04)
    """The standby is asked when the allocator has not answered after this long."""
    request_timeout_s: Seconds = Seconds(0.25)
    """Timeout of a lease request itself; a grant that arrives after the hedge delay is still applied."""
    startup_period_s: Seconds = Seconds(3.0)
    """A router that started within this time uses the ``startup_`` timeouts below, which are longer: it and the
    allocator may still be connecting to the entire fleet."""
    startup_call_timeout_s: Seconds = Seconds(0.5)
    startup_hedge_delay_s: Seconds = Seconds(0.25)
    startup_request_timeout_s: Seconds = Seconds(0.5)
    probe_interval_s: Seconds = Seconds(0.1)
    """Interval between requests while the allocator does not answer."""
    empty_bucket_backoff_s: Seconds = Seconds(0.1)
    """Shortest time for which an empty bucket gets no further request; what accrues meanwhile stays in it."""
    session_confirmed_max_age_s: Seconds = Seconds(0.75)
    """An allocator whose session was last confirmed longer ago may be partitioned off, so it grants little."""
    peer_confirmation_after_s: Seconds = Seconds(1.5)
    """An allocator whose session was last confirmed longer ago needs the confirmation of other routers.

    It asks them from half of this age on whether it is still a member.
    """
    peer_confirmation_validity_s: Seconds = Seconds(1.5)
    """How long the confirmation by other routers is valid."""
    max_confirming_routers: int = 24
    """Most routers asked for confirmation.

    Together with the allocator itself, more than half must agree, and none may deny.
    """
    ping_timeout_s: Seconds = Seconds(0.05)
    """How long a standby waits for the allocator's answer to a ping."""
    ping_validity_s: Seconds = Seconds(0.3)
    """How long the result of a ping is used without another ping; an unresponsive one counts until the next answer."""
    gap_threshold_s: Seconds = Seconds(0.75)
    """An allocator that did not run for this long may have been replaced meanwhile."""
    grant_delay_after_gap_s: Seconds = Seconds(0.25)
    """An allocator grants nothing for this long after such a gap."""
    max_reporting_routers: int = 128
    """With more routers, a new allocator requests no usage reports and lets its bucket fill from the reserve: a
    thousand answers and connections at each change of members cost more than one second's share saves."""
