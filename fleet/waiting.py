"""Waiting for conditions, never for times."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import TypeVar

Value = TypeVar("Value")

DEFAULT_TIMEOUT_S = 60.0
"""Seconds after which a condition counts as never met; far above what any takes, so that a busy machine passes."""
POLL_INTERVAL_S = 0.05


class FleetError(Exception):
    """A condition was not met or a step of the launcher failed; the text says which and what was seen."""


async def wait_until(
    description: str, condition: Callable[[], Awaitable[Value | None]], timeout: float = DEFAULT_TIMEOUT_S
) -> Value:
    """The first value of ``condition`` that is neither None nor False. Raises FleetError after ``timeout`` seconds."""
    deadline = time.monotonic() + timeout
    while True:
        value = await condition()
        if value is not None and value is not False:
            return value
        if time.monotonic() > deadline:
            raise FleetError(f"not within {timeout:.0f} s: {description}")
        await asyncio.sleep(POLL_INTERVAL_S)
