"""Waits until a condition holds, instead of sleeping for a fixed time."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import TypeVar

Value = TypeVar("Value")

DEFAULT_TIMEOUT_S = 60.0
"""A condition that does not hold after this time counts as failed. The value is far above what any condition takes, so
that waits also succeed on a busy machine."""
POLL_INTERVAL_S = 0.05


class FleetError(Exception):
    """A condition did not hold in time, or a step of the launcher failed; the text names it and what was observed."""


async def wait_until(
    description: str, condition: Callable[[], Awaitable[Value | None]], timeout: float = DEFAULT_TIMEOUT_S
) -> Value:
    """Polls ``condition`` and returns its first value that is neither None nor False.

    Raises FleetError with ``description`` when there is no such value within ``timeout`` seconds.
    """
    deadline = time.monotonic() + timeout
    while True:
        value = await condition()
        if value is not None and value is not False:
            return value
        if time.monotonic() > deadline:
            raise FleetError(f"condition not met within {timeout:.0f} s: {description}")
        await asyncio.sleep(POLL_INTERVAL_S)
