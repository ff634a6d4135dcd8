"""How a call or one attempt of it ended (docs/DESIGN.md section 12)."""

from __future__ import annotations

from typing import Literal

import msgspec

from ..identifiers import Seconds

RunState = Literal["not-run", "unknown", "ran"]
"""Whether a call ran on a worker; ``unknown`` when it was sent and no complete response was received."""


class Forwarded(msgspec.Struct, frozen=True):
    """The worker's complete response was sent to the caller."""

    status: int


class Aborted(msgspec.Struct, frozen=True):
    """The response was started and then aborted, or the caller disconnected."""

    reason: str
    run: RunState


class Rejection(msgspec.Struct, frozen=True, kw_only=True):
    """A response that the router makes itself, with ``code`` and ``run``; the caller format renders it."""

    status: int
    code: str
    reason: str
    run: RunState = "not-run"
    retry_after: Seconds | None = None


class AttemptFailure(msgspec.Struct, frozen=True, kw_only=True):
    """An attempt that ended without a complete response; the retry policy decides whether there is another one.

    The caller was sent either nothing, or complete events of a resumable stream, which another worker may continue.
    """

    code: str
    reason: str
    run: RunState
    """Whether this attempt ran the call, without regard to earlier attempts."""
    status: int = 503
    """HTTP status of the router's response when there is no retry."""
    uses_retry_budget: bool = True
    """Whether a retry is charged to the retry budget; it is not when nothing of this attempt reached a worker."""
    exclude_worker: bool = True
    """Whether a retry must not use this worker."""
    retryable: bool = True
    """Whether an attempt on another worker may succeed."""


CallResult = Forwarded | Aborted | Rejection | AttemptFailure
"""How a policy ended a call, or an attempt of it."""
