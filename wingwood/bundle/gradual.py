"""Long work in steps of about a millisecond, so that other tasks run in between (docs/DESIGN.md section 5.2)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Generator
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


async def gradually_while(wanted: Callable[[], bool], steps: Steps[Value]) -> Value | None:
    """As ``gradually``; None once the result is not wanted any more."""
    while wanted():
        try:
            next(steps)
        except StopIteration as done:
            value: Value = done.value
            return value
        await asyncio.sleep(0)
    return None
