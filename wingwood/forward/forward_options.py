"""Options of the request path (docs/DESIGN.md section 12). Sizes are in bytes, times in seconds."""

from __future__ import annotations

import msgspec

from ..identifiers import Seconds
from ..settings.model import DaemonSettings


class RequestLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on one caller's requests and on its connection; the bundle in force may set others."""

    head_bytes: int = 32 * 1024
    """Size limit of a request's headers."""
    body_bytes: int = 4 * 1024 * 1024
    """Size limit of a request's body."""
    head_timeout: Seconds = Seconds(10.0)
    """Limit on the time from a request's first byte to the end of its headers."""
    idle_timeout: Seconds = Seconds(75.0)
    """Longest time between two requests of one connection before it is closed."""


class CallerOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options of the caller edge."""

    max_connections: int = 8000
    """Connections of callers that are open at one time."""
    request_limits: RequestLimits = RequestLimits()
    """Apply while the bundle in force sets none."""
    max_buffered_body_bytes: int = 256 * 1024 * 1024
    """Limit on the total size of the request bodies that are in memory at one time."""
    body_timeout: Seconds = Seconds(10.0)
    """Limit on the time for reading a body, plus one second per ``body_bytes_per_second`` bytes of it."""
    body_bytes_per_second: int = 64 * 1024
    """Slowest rate at which a large body may arrive."""
    rejection_linger: Seconds = Seconds(1.0)
    """How long a rejected caller may go on sending before its connection is closed, so that it can read why."""


class LedgerOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options of claims on idempotency keys."""

    claim_timeout: Seconds = Seconds(2.0)
    """Longest wait for the ledger's reply to a claim."""
    claim_timeout_fraction: float = 0.75
    """The wait is also limited to this fraction of the service's first-byte timeout.

    The rest of the first-byte timeout is left for the call itself."""
    probe_interval: Seconds = Seconds(0.5)
    """While the ledger is unreachable, one call in each interval asks it and the others are rejected."""


class DeadlineOptions(msgspec.Struct, frozen=True, kw_only=True):
    """How the wait timeouts of a service, for the first byte and between chunks, limit its calls."""

    first_byte_margin: Seconds = Seconds(0.1)
    """How long before the service's first-byte timeout a worker is given up, so that the rejection arrives in time."""
    wait_timeouts_end_calls: bool = True
    """Whether the service's wait timeouts end a call.

    If False, they only determine when a call moves to another worker: the call ends when its caller disconnects or its
    deadline passes."""


class RetryOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options of attempts on further workers."""

    max_attempts: int = 4
    """Limit on the attempts of one call, including those that reached no worker."""
    retry_after: Seconds = Seconds(1.0)
    """The ``Retry-After`` that callers are sent when the workers of all attempts did not run the call."""


class DrainOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Phases of a drain (docs/DESIGN.md section 12.7)."""

    accept_time: Seconds = Seconds(1.0)
    """How long a draining router still accepts all calls after it has reported that it is not ready."""
    listen_time: Seconds = Seconds(0.0)
    """How much longer it accepts connections, to serve calls that end in time and to reject the others explicitly."""


class AttemptOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options of one attempt on a worker."""

    connect_timeout: Seconds = Seconds(0.5)
    """Limit on the time for connecting to a worker."""
    reuse_connections: bool = False
    """Whether connections to workers are reused for later calls, if the HTTP client supports that."""
    non_repeatable_reuse_within: Seconds = Seconds(1.0)
    """A call that may not be repeated reuses no connection that was idle longer, as the worker may have closed it."""
    unresponsive_after: Seconds = Seconds(1.0)
    """A worker is reported as failed if its response starts within neither this time nor four times the predicted."""
    head_buffer_time: Seconds = Seconds(0.05)
    """How long the head of a worker's response is buffered for the first chunk of its body.

    Until then the caller has nothing, so that a connection that breaks in between can still be retried."""
    end_of_stream_timeout: Seconds = Seconds(1.0)
    """How long a worker may take from the end marker of its stream to the end of its response."""
    buffered_body_bytes: int = 0
    """Size up to which a body is buffered until it is complete, so that a broken connection can still be retried.

    This applies to responses of repeatable calls that are no streams: part of one is of no use to its caller.
    With 0 no body is buffered."""
    caller_write_timeout: Seconds = Seconds(10.0)
    """A caller that has not taken a chunk after this time is disconnected, because it occupies a slot of a worker."""
    loop_stall_threshold: Seconds = Seconds(0.1)
    """After the event loop did not run for longer, disconnections of callers may not have been noticed yet."""


class ForwardOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options of one router's request path, by concern."""

    startup_wait: Seconds = Seconds(1.5)
    """How long a call waits for the bundle and for workers at a router that has just started."""
    max_in_flight: int = 2000
    """Limit on the calls in progress in one router; above three quarters of it each tenant gets its weighted share."""
    caller: CallerOptions = CallerOptions()
    ledger: LedgerOptions = LedgerOptions()
    deadline: DeadlineOptions = DeadlineOptions()
    retry: RetryOptions = RetryOptions()
    drain: DrainOptions = DrainOptions()
    attempt: AttemptOptions = AttemptOptions()


def options_from_settings(settings: DaemonSettings) -> ForwardOptions:
    """Returns the options of a router with these settings."""
    caller = CallerOptions(request_limits=RequestLimits(body_bytes=settings.body_bytes))
    if settings.call_bounds == "service":
        return ForwardOptions(
            caller=caller,
            drain=DrainOptions(accept_time=settings.drain_notice),
            attempt=AttemptOptions(reuse_connections=settings.keep_connections),
        )
    return ForwardOptions(
        caller=caller,
        deadline=DeadlineOptions(first_byte_margin=Seconds(0.0), wait_timeouts_end_calls=False),
        retry=RetryOptions(max_attempts=6, retry_after=Seconds(0.1)),
        drain=DrainOptions(accept_time=settings.drain_notice, listen_time=Seconds(0.6)),
        attempt=AttemptOptions(
            reuse_connections=settings.keep_connections,
            connect_timeout=Seconds(0.25),
            buffered_body_bytes=64 * 1024,
        ),
    )
