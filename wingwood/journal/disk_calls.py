"""Disk calls with a time limit, never two at a time (docs/DESIGN.md section 7.5)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from returns.result import Failure, Result, Success

from ..context.protocols import Clock, DiskFault
from ..identifiers import Seconds
from .errors import JournalError, JournalTimeoutError, error_of

Value = TypeVar("Value")
DiskCall = Callable[[], Coroutine[Any, Any, Result[Value, DiskFault]]]
"""Starts one call of the disk. A coroutine yields and receives values of any type."""


class DiskCalls:
    """Runs disk calls one at a time, each with a time limit.

    It owns the disk call that exceeded its limit. Such a call cannot be aborted and may still take effect, so the
    next call waits for it; otherwise the two could change the file at the same time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._unfinished: asyncio.Task[Any] | None = None
        """A call whose caller stopped waiting; its result, of any type, is never read."""

    async def run(self, call: DiskCall[Value], timeout: Seconds) -> Result[Value, JournalError]:
        """Runs one call; ``timeout`` (seconds) includes the wait for an earlier call that is not finished."""
        started_at = self._clock.monotonic()
        if self._unfinished is not None:
            await asyncio.wait((self._unfinished,), timeout=timeout)
            if not self._unfinished.done():
                return Failure(JournalTimeoutError(f"an earlier disk call did not return within {timeout} s"))
            self._unfinished = None
        task = asyncio.get_running_loop().create_task(call())
        self._unfinished = task
        remaining = timeout - (self._clock.monotonic() - started_at)
        await asyncio.wait((task,), timeout=max(remaining, 0.0))
        if not task.done():
            return Failure(JournalTimeoutError(f"the disk call did not return within {timeout} s"))
        self._unfinished = None
        match task.result():
            case Success(value):
                return Success(value)
            case Failure(fault):
                return Failure(error_of(fault))
        raise AssertionError("a result is a success or a failure")
