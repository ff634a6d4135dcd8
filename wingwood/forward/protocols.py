"""The interface of the policies of the request path (docs/DESIGN.md section 12.4)."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Protocol

from .calls import IncomingCall
from .results import CallResult, Rejection

Proceed = Callable[[IncomingCall], Awaitable[CallResult]]
"""Runs the rest of the chain for a call."""
RejectionSender = Callable[[IncomingCall, Rejection], Coroutine[Any, Any, None]]
"""Sends the caller a response made by the router. ``Any``: what a coroutine is sent and yields does not matter."""


class Policy(Protocol):
    """One link of the chain: it either calls ``proceed``, which runs the policies after it, or ends the call itself."""

    name: str

    async def apply(self, call: IncomingCall, proceed: Proceed) -> CallResult:
        """Handles the call and returns how it ended."""
        ...
