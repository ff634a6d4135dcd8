"""Long work in steps of about a millisecond, so that other tasks run in between (docs/DESIGN.md section 5.2)."""

from __future__ import annotations

import asyncio
from collections.abc import Generator
from typing import TypeVar

Value = TypeVar("Value")

Steps = Generator[None, None, Value]
"""Work that yields after each step and returns its result."""


def at_once(steps: Steps[Value]) -> Value:
    """All steps without a pause."""
    while True:
        try:
            next(steps)
        except StopIteration as done:
            value: Value = done.value
            return value


async def gradually(steps: Steps[Value]) -> Value:
    """Other tasks run after each step. What the steps raise is raised here."""
    while True:
        try:
            next(steps)
        except StopIteration as done:
            value: Value = done.value
            return value
        await asyncio.sleep(0)
