"""What all connections of one caller edge share (docs/DESIGN.md section 12.3)."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from http import HTTPStatus

from ..context.protocols import Context
from .formats import CallerFormat
from .limits import CallerBounds, PathLimits
from .protocols import IncomingCall

Handle = Callable[[IncomingCall], Awaitable[None]]


class EdgeState:
    """Bounds, format and counts; ``handle`` is given each whole call."""

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
        """What callers may send now; the bundle in force may change it at any time."""
        self.format = caller_format
        self.handle = handle
        self.closing = False
        """Answers from now on end their connections."""
        self.held_body_bytes = 0
        """Bytes of all bodies under way."""

    def hold_body_bytes(self, count: int) -> bool:
        """Counts so many more bytes of bodies; False when that would be too many, and nothing is counted."""
        if self.held_body_bytes + count > self.limits.max_held_body_bytes:
            return False
        self.held_body_bytes += count
        return True

    def release_body_bytes(self, count: int) -> None:
        self.held_body_bytes -= count


def reason_phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
