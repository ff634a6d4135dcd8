"""State that all connections of one caller edge share (docs/DESIGN.md section 12.3)."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from http import HTTPStatus

from ..context.protocols import Context
from .formats import CallerFormat
from .limits import CallerBounds, PathLimits
from .protocols import IncomingCall

Handle = Callable[[IncomingCall], Awaitable[None]]
"""Answers one complete call."""


class EdgeState:
    """Limits, format and counters of the caller edge; ``handle`` is called with each complete call."""

    def __init__(
        self,
        context: Context,
        limits: PathLimits,
        bounds: Callable[[], CallerBounds],
        caller_format: CallerFormat,
        handle: Handle,
    ) -> None:
        self.context = context
        self.limits = limits
        self.bounds = bounds
        """Returns the limits for callers as of now; the bundle in force may change them at any time."""
        self.format = caller_format
        self.handle = handle
        self.closing = False
        """Whether each answer closes its connection, because the router is draining."""
        self.held_body_bytes = 0
        """Bytes of all request bodies that are held in memory now."""

    def hold_body_bytes(self, count: int) -> bool:
        """Adds ``count`` bytes to the held bodies; returns False and adds nothing when that would exceed the limit."""
        if self.held_body_bytes + count > self.limits.max_held_body_bytes:
            return False
        self.held_body_bytes += count
        return True

    def release_body_bytes(self, count: int) -> None:
        """Subtracts bytes that ``hold_body_bytes`` added."""
        self.held_body_bytes -= count


def reason_phrase(status: int) -> str:
    """Returns the text that follows the status in the first line of an answer; ``Unknown`` for an unknown status."""
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
