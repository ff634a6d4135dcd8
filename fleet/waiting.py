"""Waiting for conditions, never for times."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import TypeVar

Value = TypeVar("Value")

PATIENCE = 60.0
"""Seconds after which a condition counts as never met; far above what any takes, so that a busy machine passes."""
PAUSE = 0.05


class FleetProblem(Exception):
    """A condition was not met or a step of the launcher failed; the text says which and what was seen."""


async def wait_until(what: str, look: Callable[[], Awaitable[Value | None]], patience: float = PATIENCE) -> Value:
    """The first value of ``look`` that is neither None nor False. Raises FleetProblem after ``patience`` seconds."""
    give_up = time.monotonic() + patience
    while True:
        value = await look()
        if value is not None and value is not False:
            return value
        if time.monotonic() > give_up:
            raise FleetProblem(f"not within {patience:.0f} s: {what}")
        await asyncio.sleep(PAUSE)
