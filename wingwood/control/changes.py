"""Notification of changes of the view, the role or the disk of one control daemon."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress

from ..identifiers import Seconds

SHORTEST_WAIT_S = Seconds(0.01)


class ChangeSignal:
    """Notifies callbacks, and the one task that waits, when something changed that they may depend on.

    Owns the list of callbacks and the event that the waiting task sleeps on.
    """

    def __init__(self) -> None:
        self._event = asyncio.Event()
        self._callbacks: list[Callable[[], None]] = []

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Calls back after each change of the known view, of the own role or of the state of the disk."""
        self._callbacks.append(callback)

    def notify(self) -> None:
        """Wakes the waiting task and calls all callbacks, in the order in which they subscribed."""
        self.wake()
        for callback in self._callbacks:
            callback()

    def wake(self) -> None:
        """Wakes the waiting task only: leadership was confirmed again, which no callback needs to know."""
        self._event.set()

    async def wait(self, timeout: float) -> None:
        """Waits for the next change, at most ``timeout`` seconds and at least briefly, so that a caller never spins."""
        self._event.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(max(timeout, SHORTEST_WAIT_S)):
                await self._event.wait()
