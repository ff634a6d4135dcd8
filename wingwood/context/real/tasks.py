"""Background tasks on asyncio (docs/DESIGN.md section 3)."""

from __future__ import annotations

import asyncio
import contextlib
import traceback
from collections.abc import Callable, Coroutine
from typing import Any

from ..protocols import Log, Task


class RealTasks:
    """Owns the running tasks, which asyncio itself might drop. An exception that escapes a task stops the process."""

    def __init__(self, log: Log, stop: Callable[[str], None]) -> None:
        self._log = log
        self._stop = stop
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, name: str, coroutine: Coroutine[Any, Any, None]) -> Task:
        """Runs the coroutine as a task. ``Any``: what a coroutine is sent and yields does not matter."""
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._done)
        return task

    def _done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (problem := task.exception()) is not None:
            trace = "".join(traceback.format_exception(problem)).replace("\n", " | ")
            self._log.event("invariant-broken", task=task.get_name(), trace=trace)
            self.stop_process(f"{task.get_name()}: {problem!r}")

    def stop_process(self, reason: str) -> None:
        """Calls ``stop`` with the reason."""
        self._stop(reason)

    async def cancel_all(self) -> None:
        """Cancels all running tasks and waits for their ends."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        for task in tasks:
            with contextlib.suppress(asyncio.CancelledError, Exception):
                await task
