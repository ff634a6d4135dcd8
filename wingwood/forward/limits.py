"""Bounds of the request path (docs/DESIGN.md section 12). Sizes in bytes, times in seconds."""

from __future__ import annotations

import msgspec

from ..identifiers import Seconds
from ..settings.model import DaemonSettings


class PathLimits(msgspec.Struct, frozen=True, kw_only=True):
    connections: int = 8000
    head_bytes: int = 32 * 1024
    body_bytes: int = 4 * 1024 * 1024
    bodies_held: int = 256 * 1024 * 1024
    """Bytes of all request bodies that are held at one time."""
    idle: Seconds = Seconds(75.0)
    """Longest pause between two calls of one connection."""
    head_time: Seconds = Seconds(10.0)
    """From a call's first byte to the end of its headers."""
    body_time: Seconds = Seconds(10.0)
    """For a call's body, plus one second per ``body_pace`` bytes."""
    body_pace: int = 64 * 1024
    linger: Seconds = Seconds(1.0)
    """How long a refused sender may go on sending before its connection is closed, so that it can read why."""
    starting_wait: Seconds = Seconds(1.5)
    """How long a call waits for the bundle at a router that has just started."""
    in_flight: int = 2000
    """Calls under way in one router; above three quarters of it tenants get their weighted shares."""
    ledger_patience: Seconds = Seconds(2.0)
    ledger_part: float = 0.75
    """Of the callers' patience; the rest is for the call itself."""
    ledger_probe: Seconds = Seconds(0.5)
    """While the ledger is away it is asked this often."""
    head_hold: Seconds = Seconds(0.05)
    """How long a worker's head waits for the first piece, so that a break in between can still be retried."""
    end_hold: Seconds = Seconds(1.0)
    """How long a worker may take from its end marker to the end of its answer."""
    held_answer: int = 0
    """Bytes up to which an answer of a repeatable call that is no stream is held until it is whole, so that a break
    can still be retried. Nothing of it is worth anything to its caller before."""
    caller_stall: Seconds = Seconds(10.0)
    """A caller that has not taken a piece after so long is cut: it holds a worker's slot."""
    stall: Seconds = Seconds(0.1)
    """An event loop that stood still longer than this has not yet seen which callers left."""
    answer_margin: Seconds = Seconds(0.1)
    """A silent worker is given up this long before the callers' patience ends."""
    patience_ends_calls: bool = True
    """Whether silence beyond the service's patience ends a call. False: it only moves calls to other workers in time;
    callers leave by themselves, or the deadline ends the call."""
    tries: int = 4
    """Most tries of one call, those that reached no worker included."""
    accept_while_draining: Seconds = Seconds(1.0)
    """How long new calls are still taken after the daemon says that it is not ready."""
    listen_while_draining: Seconds = Seconds(0.0)
    """How much longer connections are taken: for calls that end in time, and to tell others to go elsewhere."""
    connect_timeout: Seconds = Seconds(0.5)
    reuse: bool = False
    """Whether connections to workers are kept for later calls, where the client does that."""
    reuse_once_within: Seconds = Seconds(1.0)
    """A call that may not be repeated takes no connection that rested longer: it may have been closed silently."""
    dark_after: Seconds = Seconds(1.0)
    """A worker that shows nothing for so long, and for four times what was predicted, is told to the registry."""
    retry_after: Seconds = Seconds(1.0)
    """What callers are told to wait when the workers that were tried did not run the call."""


class CallerBounds(msgspec.Struct, frozen=True, kw_only=True):
    """What one caller may send, and how long it may take or rest."""

    head_bytes: int
    body_bytes: int
    head_time: Seconds
    idle: Seconds


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
        patience_ends_calls=False,
        listen_while_draining=Seconds(0.6),
        retry_after=Seconds(0.1),
        held_answer=64 * 1024,
        tries=6,
        connect_timeout=Seconds(0.25),
    )
