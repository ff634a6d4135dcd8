"""Bounds of the request path (docs/DESIGN.md section 12). Sizes in bytes, times in seconds."""

from __future__ import annotations

import msgspec

from ..identifiers import Seconds
from ..settings.model import DaemonSettings


class PathLimits(msgspec.Struct, frozen=True, kw_only=True):
    max_connections: int = 8000
    head_bytes: int = 32 * 1024
    body_bytes: int = 4 * 1024 * 1024
    max_held_body_bytes: int = 256 * 1024 * 1024
    """Bytes of all request bodies that are held at one time."""
    idle_timeout: Seconds = Seconds(75.0)
    """Longest pause between two calls of one connection."""
    head_timeout: Seconds = Seconds(10.0)
    """From a call's first byte to the end of its headers."""
    body_timeout: Seconds = Seconds(10.0)
    """For a call's body, plus one second per ``body_bytes_per_second`` bytes."""
    body_bytes_per_second: int = 64 * 1024
    refusal_linger: Seconds = Seconds(1.0)
    """How long a refused sender may go on sending before its connection is closed, so that it can read why."""
    startup_wait: Seconds = Seconds(1.5)
    """How long a call waits for the bundle at a router that has just started."""
    max_in_flight: int = 2000
    """Calls under way in one router; above three quarters of it tenants get their weighted shares."""
    ledger_timeout: Seconds = Seconds(2.0)
    ledger_timeout_share: float = 0.75
    """Of the callers' patience; the rest is for the call itself."""
    ledger_probe_interval: Seconds = Seconds(0.5)
    """While the ledger is away it is asked this often."""
    head_hold_time: Seconds = Seconds(0.05)
    """How long a worker's head waits for the first piece, so that a break in between can still be retried."""
    end_timeout: Seconds = Seconds(1.0)
    """How long a worker may take from its end marker to the end of its answer."""
    held_answer_bytes: int = 0
    """Bytes up to which an answer of a repeatable call that is no stream is held until it is whole, so that a break
    can still be retried. Nothing of it is worth anything to its caller before."""
    caller_write_timeout: Seconds = Seconds(10.0)
    """A caller that has not taken a piece after so long is cut: it holds a worker's slot."""
    loop_stall: Seconds = Seconds(0.1)
    """An event loop that stood still longer than this has not yet seen which callers left."""
    answer_margin: Seconds = Seconds(0.1)
    """A silent worker is given up this long before the callers' patience ends."""
    wait_limits_end_calls: bool = True
    """Whether silence beyond the service's patience ends a call. False: it only moves calls to other workers in time;
    callers leave by themselves, or the deadline ends the call."""
    max_tries: int = 4
    """Most tries of one call, those that reached no worker included."""
    accept_while_draining: Seconds = Seconds(1.0)
    """How long new calls are still taken after the daemon says that it is not ready."""
    listen_while_draining: Seconds = Seconds(0.0)
    """How much longer connections are taken: for calls that end in time, and to tell others to go elsewhere."""
    connect_timeout: Seconds = Seconds(0.5)
    reuse: bool = False
    """Whether connections to workers are kept for later calls, where the client does that."""
    non_repeatable_reuse_within: Seconds = Seconds(1.0)
    """A call that may not be repeated takes no connection that rested longer: it may have been closed silently."""
    unresponsive_after: Seconds = Seconds(1.0)
    """A worker that shows nothing for so long, and for four times what was predicted, is told to the registry."""
    retry_after: Seconds = Seconds(1.0)
    """What callers are told to wait when the workers that were tried did not run the call."""


class CallerBounds(msgspec.Struct, frozen=True, kw_only=True):
    """What one caller may send, and how long it may take or rest."""

    head_bytes: int
    body_bytes: int
    head_timeout: Seconds
    idle_timeout: Seconds


def path_limits(settings: DaemonSettings) -> PathLimits:
    """The bounds of a router with these settings."""
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
