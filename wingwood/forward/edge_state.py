"""State that all connections of one caller edge share (docs/DESIGN.md section 12.3)."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from http import HTTPStatus

from ..context.protocols import Context
from .call_failures import Confinement
from .calls import IncomingCall
from .formats import CallerFormat
from .forward_options import CallerOptions, RequestLimits

CallHandler = Callable[[IncomingCall], Awaitable[None]]
"""Responds to one complete request."""


class EdgeState:
    """Options, format and counters of the caller edge; ``handle_call`` is called with each complete request."""

    def __init__(
        self,
        context: Context,
        options: CallerOptions,
        request_limits: Callable[[], RequestLimits],
        caller_format: CallerFormat,
        handle_call: CallHandler,
        confined: Callable[[], Confinement],
    ) -> None:
        self.context = context
        self.options = options
        self.request_limits = request_limits
        """Returns the limits as of now; the bundle in force may change them at any time."""
        self.format = caller_format
        self.handle_call = handle_call
        self.confined = confined
        """Returns a context that logs an unexpected error while a request is read, and ends it there."""
        self.close_after_response = False
        """Whether each response closes its connection, because the router is draining."""
        self.buffered_body_bytes = 0
        """Bytes of all request bodies that are in memory now."""

    def reserve_body_bytes(self, count: int) -> bool:
        """Adds ``count`` bytes to the buffered bodies; returns False and adds nothing if that exceeds the limit."""
        if self.buffered_body_bytes + count > self.options.max_buffered_body_bytes:
            return False
        self.buffered_body_bytes += count
        return True

    def release_body_bytes(self, count: int) -> None:
        """Subtracts bytes that ``reserve_body_bytes`` added."""
        self.buffered_body_bytes -= count


def reason_phrase(status: int) -> str:
    """Returns the text that follows the status in a status line; ``Unknown`` for an unknown status."""
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
