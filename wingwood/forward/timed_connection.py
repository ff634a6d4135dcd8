"""Bounds on the time of each phase of a caller's connection (docs/DESIGN.md section 12.3)."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Final

_IDLE_GRACE_SECONDS: Final = 0.05
"""What came in just when the idle time ended is still looked for so long."""


class TimedConnection(ABC):
    """One timer for the phase that a connection is in."""

    def __init__(self) -> None:
        self.idle = True
        """No call is coming in or being answered."""
        self.shut = False
        """Nothing more is taken from it or, beyond a refusal, written to it."""
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._phase_end: float | None = None
        self._idle_since = 0.0
        self._waiting_for: str | None = None

    @abstractmethod
    def idle_timeout(self) -> float:
        """How long it may rest between two calls, as of now."""

    @abstractmethod
    def phase_timed_out(self, waiting_for: str) -> None:
        """The phase took longer than its bound."""

    @abstractmethod
    def close(self) -> None: ...

    def start_phase_timeout(self, seconds: float | None, waiting_for: str | None) -> None:
        """Ends the connection when the phase takes longer; quietly when ``waiting_for`` is None.

        A timer that stands for an earlier phase is left to come and go: most calls then need none.
        """
        self._waiting_for = waiting_for
        if seconds is None or self.shut:
            self._phase_end = None
            return
        self._idle_since = self._loop.time()
        self._phase_end = self._idle_since + seconds
        if self._timer is None or self._timer.when() > self._phase_end:
            self.cancel_timeout()
            self._timer = self._loop.call_at(self._phase_end, self._timeout_expired)

    def cancel_timeout(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def run_later(self, seconds: float, callback: Callable[[], None]) -> None:
        """In place of any bound, which must have been ended."""
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
        """By the bounds of now: a bundle that came meanwhile may let connections rest longer."""
        return self._idle_since + self.idle_timeout()

    def _close_if_idle(self, phase_end: float) -> None:
        self._timer = None
        if self.idle and self._phase_end == phase_end:
            self.close()
        elif self._phase_end is not None:
            self._timeout_expired()
