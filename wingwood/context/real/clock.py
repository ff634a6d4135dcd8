"""The clocks of the operating system."""

from __future__ import annotations

import asyncio
import time

from ...identifiers import Instant, Seconds, WallTime


class RealClock:
    """The clocks of the operating system."""

    def monotonic(self) -> Instant:
        """Returns a time that never goes backwards."""
        return Instant(time.monotonic())

    def wall(self) -> WallTime:
        """Returns the time of day."""
        return WallTime(time.time())

    async def sleep(self, seconds: Seconds) -> None:
        """Returns after ``seconds``."""
        await asyncio.sleep(seconds)
