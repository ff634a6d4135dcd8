"""Limits of the request path (docs/DESIGN.md section 12). Sizes are in bytes, times in seconds."""

from __future__ import annotations

import msgspec

from ..identifiers import Seconds
from ..settings.model import DaemonSettings


class PathLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits and timeouts of one router's request path."""

    max_connections: int = 8000
    """Connections of callers that are open at one time."""
    head_bytes: int = 32 * 1024
    """Size limit of a call's headers."""
    body_bytes: int = 4 * 1024 * 1024
    """Size limit of a call's body."""
    max_held_body_bytes: int = 256 * 1024 * 1024
    """Limit on the total size of the request bodies that are held in memory at one time."""
    idle_timeout: Seconds = Seconds(75.0)
    """Longest pause between two calls of one connection before it is closed."""
    head_timeout: Seconds = Seconds(10.0)
    """Limit on the time from a call's first byte to the end of its headers."""
    body_timeout: Seconds = Seconds(10.0)
    """Limit on the time for reading a call's body, plus one second per ``body_bytes_per_second`` bytes of it."""
    body_bytes_per_second: int = 64 * 1024
    """Slowest rate at which a large body may arrive."""
    refusal_linger: Seconds = Seconds(1.0)
    """How long a refused caller may go on sending before its connection is closed, so that it can read the refusal."""
    startup_wait: Seconds = Seconds(1.5)
    """How long a call waits for the bundle and for workers at a router that has just started."""
    max_in_flight: int = 2000
    """Limit on the calls in progress in one router; above three quarters of it each tenant gets its weighted share."""
    ledger_timeout: Seconds = Seconds(2.0)
    """Longest wait for the ledger's answer to a claim."""
    ledger_timeout_share: float = 0.75
    """The wait for the ledger is also limited to this fraction of the service's wait limit.

    The rest of the wait limit is left for the call itself."""
    ledger_probe_interval: Seconds = Seconds(0.5)
    """While the ledger is unreachable, one call in each interval asks it and the others are refused."""
    head_hold_time: Seconds = Seconds(0.05)
    """How long the head of a worker's answer is held back for the first chunk of its body.

    Until then the caller has nothing, so that a connection that breaks in between can still be retried."""
    end_timeout: Seconds = Seconds(1.0)
    """How long a worker may take from the end marker of its stream to the end of its answer."""
    held_answer_bytes: int = 0
    """Size up to which an answer is held back until it is complete, so that a broken connection can still be retried.

    This applies to answers of repeatable calls that are no streams: part of one is of no use to its caller.
    With 0 no answer is held back."""
    caller_write_timeout: Seconds = Seconds(10.0)
    """A caller that has not taken a chunk after this time is disconnected, because it occupies a slot of a worker."""
    loop_stall: Seconds = Seconds(0.1)
    """After an event loop stood still longer than this, disconnections of callers may not have been noticed yet."""
    answer_margin: Seconds = Seconds(0.1)
    """How long before the service's wait limit a silent worker is given up, so that the refusal arrives in time."""
    wait_limits_end_calls: bool = True
    """Whether silence beyond the service's wait limits ends a call.

    If False, the wait limits only determine when a call moves to another worker: the call ends when its caller
    disconnects or its deadline passes."""
    max_tries: int = 4
    """Limit on the tries of one call, including those that reached no worker."""
    accept_while_draining: Seconds = Seconds(1.0)
    """How long a draining router still accepts new calls after it has reported that it is not ready."""
    listen_while_draining: Seconds = Seconds(0.0)
    """How much longer it accepts connections, to serve calls that end in time and to refuse the others explicitly."""
    connect_timeout: Seconds = Seconds(0.5)
    """Limit on the time for connecting to a worker."""
    reuse: bool = False
    """Whether connections to workers are reused for later calls, if the HTTP client supports that."""
    non_repeatable_reuse_within: Seconds = Seconds(1.0)
    """A call that may not be repeated reuses no connection that was idle longer, as the worker may have closed it."""
    unresponsive_after: Seconds = Seconds(1.0)
    """A worker whose answer does not start within this time and four times the predicted time is reported as failed."""
    retry_after: Seconds = Seconds(1.0)
    """The ``Retry-After`` that callers are sent when the workers that were tried did not run the call."""


class CallerBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on what one caller may send, how long sending may take and how long its connection may be idle."""

    head_bytes: int
    body_bytes: int
    head_timeout: Seconds
    idle_timeout: Seconds


def path_limits(settings: DaemonSettings) -> PathLimits:
    """Returns the limits of a router with these settings."""
    limits = PathLimits(
        body_bytes=settings.body_bytes,
        accept_while_draining=settings.drain_notice,
        reuse=settings.keep_connections,
    )
    if settings.call_bounds == "service":
        return limits
    return msgspec.structs.replace(
        limits,
        answer_margin=Seconds(0.0),
        wait_limits_end_calls=False,
        listen_while_draining=Seconds(0.6),
        retry_after=Seconds(0.1),
        held_answer_bytes=64 * 1024,
        max_tries=6,
        connect_timeout=Seconds(0.25),
    )
