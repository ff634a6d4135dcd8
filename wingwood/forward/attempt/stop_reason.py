"""Why an attempt was stopped before its response was complete."""

from __future__ import annotations

import enum
from typing import Final


class StopReason(enum.Enum):
    """The values are part of codes and outcomes that callers and metrics are given."""

    CALLER_DISCONNECTED = "caller-gone"
    CALLER_WRITE_TIMEOUT = "caller-slow"
    DEADLINE = "deadline"
    FIRST_BYTE_TIMEOUT = "patience"
    MOVED_TO_OTHER_WORKER = "slow"
    """The worker was unresponsive for so long that a retry was started while the caller still waits."""
    CHUNK_TIMEOUT = "silence"
    EVENT_LOOP_STALLED = "stalled"
    NO_LONGER_ACCEPTED = "refused"
    INTERNAL_ERROR = "internal-error"
    """A time limit could not be checked because of an unexpected error."""


WORKER_UNRESPONSIVE: Final = frozenset(
    {StopReason.FIRST_BYTE_TIMEOUT, StopReason.MOVED_TO_OTHER_WORKER, StopReason.CHUNK_TIMEOUT}
)
"""Reasons for which the worker is reported as unresponsive."""
NOT_CAUSED_BY_WORKER: Final = frozenset(
    {
        StopReason.CALLER_DISCONNECTED,
        StopReason.CALLER_WRITE_TIMEOUT,
        StopReason.DEADLINE,
        StopReason.INTERNAL_ERROR,
    }
)
"""Reasons that say nothing about the worker."""
