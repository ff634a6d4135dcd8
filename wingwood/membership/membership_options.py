"""Intervals, timeouts and bounds of membership sessions (docs/DESIGN.md section 8.1)."""

from __future__ import annotations

import msgspec

from ..identifiers import Seconds


class MembershipOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options shared by clients and coordinators; all daemons of a fleet use the same ones."""

    heartbeat_interval_s: Seconds = Seconds(0.5)
    answer_timeout_s: Seconds = Seconds(0.4)
    """Time limit for the answer to a heartbeat; after it, another coordinator is tried."""
    session_timeout_s: Seconds = Seconds(2.0)
    """A session without a heartbeat for this long is lost; an unresponsive coordinator is no longer a member then."""
    grace_period_s: Seconds = Seconds(2.5)
    """The sessions of an unresponsive coordinator are retained for this long, so that they can resume at another."""
    warm_up_period_s: Seconds = Seconds(2.5)
    """For this long after a start or a process pause, a coordinator's list may add members but not remove any."""
    poll_wait_s: Seconds = Seconds(0.5)
    """Longest time that a coordinator delays its answer to another coordinator while nothing changes."""
    unreachable_after_s: Seconds = Seconds(1.1)
    """After this long without an answer from a coordinator, the other coordinators are asked for its sessions."""
    sweep_interval_s: Seconds = Seconds(0.1)
    coalescing_delay_s: Seconds = Seconds(0.03)
    retry_backoff_s: Seconds = Seconds(0.25)
    isolation_window_s: Seconds = Seconds(10.0)
    """Period over which a coordinator counts its peers for detecting its own isolation.

    A coordinator is isolated when it has reports from at most half of the coordinators (itself included) that
    reported within this period.
    """
    inquiry_interval_s: Seconds = Seconds(2.0)
    """Interval of asking the others for a coordinator that has been unresponsive for over two session timeouts."""
    slow_retry_after_s: Seconds = Seconds(30.0)
    """A coordinator that has been unresponsive for longer is polled less often."""
    evict_after_s: Seconds = Seconds(600.0)
    """A coordinator that has been unresponsive for longer is no longer polled, unless its address is a seed."""
    max_members_per_answer: int = 128
    """Maximum number of members in one answer; the others follow with the next heartbeats, which come sooner."""
    rebalance_interval_s: Seconds = Seconds(30.0)
    """Interval at which a daemon checks whether a better-ranked coordinator has come back."""
