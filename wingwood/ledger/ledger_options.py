"""Options of the ledger client: queue bounds, batch sizes and times (docs/DESIGN.md section 13.3)."""

from __future__ import annotations

import msgspec

from ..identifiers import Seconds


class LedgerOptions(msgspec.Struct, frozen=True):
    """Sizes and times of the ledger client; times are in seconds."""

    max_batch: int = 256
    """Most claims, and most outcome reports, in one call to the primary."""
    max_batches_in_flight: int = 4
    """Most calls to the primary at the same time."""
    attempt_timeout: Seconds = Seconds(0.6)
    """Timeout of one call to the primary, after which it is retried."""
    retry_backoff: Seconds = Seconds(0.05)
    """Backoff after a failed call; for calls with outcomes only, it doubles up to ``max_retry_backoff``."""
    max_retry_backoff: Seconds = Seconds(1.0)
    max_pending_claims: int = 4096
    """Most claims that wait for an answer; further claims are rejected immediately."""
    max_unacknowledged_outcomes: int = 20_000
    """Most outcomes that are not yet durable; further claims are rejected immediately, which bounds the queue."""
    running_poll_interval: Seconds = Seconds(0.2)
    """A claim whose key belongs to a running call is repeated at this interval, until its timeout."""
    report_timeout: Seconds = Seconds(2.0)
    """How long ``report_outcome`` waits before it returns False and recording continues in the background."""
