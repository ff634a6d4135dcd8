"""Runs long work in steps of about a millisecond, so that other tasks run in between (docs/DESIGN.md section 5.2)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Generator
from typing import TypeVar

Value = TypeVar("Value")

Steps = Generator[None, None, Value]
"""A generator that does a long piece of work: it yields after each step and returns the result."""


def at_once(steps: Steps[Value]) -> Value:
    """Runs all steps without a pause and returns the result."""
    while True:
        try:
            next(steps)
        except StopIteration as done:
            value: Value = done.value
            return value


async def gradually(steps: Steps[Value]) -> Value:
    """Runs the steps and lets other tasks run after each of them; an exception of a step is raised to the caller."""
    while True:
        try:
            next(steps)
        except StopIteration as done:
            value: Value = done.value
            return value
        await asyncio.sleep(0)


async def gradually_while(still_needed: Callable[[], bool], steps: Steps[Value]) -> Value | None:
    """Runs the steps as ``gradually`` does; stops and returns None as soon as ``still_needed()`` is false."""
    while still_needed():
        try:
            next(steps)
        except StopIteration as done:
            value: Value = done.value
            return value
        await asyncio.sleep(0)
    return None
