"""Timeouts for the phases of a caller's connection (docs/DESIGN.md section 12.3)."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Final

_IDLE_GRACE_SECONDS: Final = 0.05
"""How much longer the connection stays open, for a request that arrived just when the idle timeout expired."""


class TimedConnection(ABC):
    """A connection with one timer, for the phase that it is in."""

    def __init__(self) -> None:
        self.idle = True
        """Whether no request is being read or answered."""
        self.closing = False
        """Whether no more input is used and nothing more is written, except for a rejection."""
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._phase_end: float | None = None
        self._phase_start = 0.0
        self._waiting_for: str | None = None

    @abstractmethod
    def idle_timeout(self) -> float:
        """Returns how many seconds the connection may be idle between two requests, as configured now."""

    @abstractmethod
    def phase_timed_out(self, waiting_for: str) -> None:
        """Called when reading ``waiting_for`` took longer than its timeout."""

    @abstractmethod
    def close(self) -> None:
        """Closes the connection at once."""

    def start_phase_timeout(self, seconds: float | None, waiting_for: str | None) -> None:
        """Ends the connection if the phase takes longer than ``seconds``; None sets no timeout.

        When ``waiting_for`` is None the connection is closed without a response, else ``phase_timed_out`` is called.
        A timer of an earlier phase is not replaced if it expires first; it then checks the new phase. So most requests
        need no timer of their own.
        """
        self._waiting_for = waiting_for
        if seconds is None or self.closing:
            self._phase_end = None
            return
        self._phase_start = self._loop.time()
        self._phase_end = self._phase_start + seconds
        if self._timer is None or self._timer.when() > self._phase_end:
            self.cancel_timeout()
            self._timer = self._loop.call_at(self._phase_end, self._timeout_expired)

    def cancel_timeout(self) -> None:
        """Cancels the timeout of the phase, or the callback of ``run_later``."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def run_later(self, seconds: float, callback: Callable[[], None]) -> None:
        """Runs ``callback`` after ``seconds``; a timeout of the phase must have been cancelled before."""
        self._timer = self._loop.call_later(seconds, callback)

    def _timeout_expired(self) -> None:
        self._timer = None
        if self._phase_end is None:
            return
        if self._loop.time() < self._phase_end:
            self._timer = self._loop.call_at(self._phase_end, self._timeout_expired)
        elif self._waiting_for is not None:
            self.phase_timed_out(self._waiting_for)
        elif (time_left := self._idle_end() - self._loop.time()) > 0:
            self._timer = self._loop.call_later(time_left, self._timeout_expired)
        else:
            self._timer = self._loop.call_later(_IDLE_GRACE_SECONDS, self._close_if_idle, self._phase_end)

    def _idle_end(self) -> float:
        """Returns when the idle time ends by the present limits: a newer bundle may allow a longer idle time."""
        return self._phase_start + self.idle_timeout()

    def _close_if_idle(self, phase_end: float) -> None:
        self._timer = None
        if self.idle and self._phase_end == phase_end:
            self.close()
        elif self._phase_end is not None:
            self._timeout_expired()
