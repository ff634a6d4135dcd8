"""Announces an emulated worker to the routers' worker registry (docs/DESIGN.md section 10)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

import msgspec
from returns.result import Success

from wingwood.context.protocols import Context, HttpRequest
from wingwood.identifiers import Address, Seconds

ANNOUNCE_PATH = "/workers/v1/announce"
ACKNOWLEDGE_TIMEOUT_S = Seconds(1.5)
"""Time limit for a daemon to acknowledge an announcement; afterwards the next address is tried."""


class Announcement(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The body of an announcement: the worker's identity, size, state and load."""

    instance: str
    address: str
    pool: str
    zone: str
    slots: int
    cache_tokens: int
    state: str
    load: dict[str, int] | None = None


class Announcer:
    """Sends the current announcement every ``every`` seconds, and at once after a call of ``changed``.

    When a daemon does not acknowledge, the announcement goes to the next of ``addresses``. Nothing is sent while
    ``current`` returns None.
    """

    def __init__(
        self,
        context: Context,
        addresses: Sequence[Address],
        current: Callable[[], Announcement | None],
        every: Seconds,
    ) -> None:
        self._context = context
        self._addresses = tuple(addresses)
        self._current = current
        self._every = every
        self._changed = asyncio.Event()
        self._next = 0
        self.acknowledged: Announcement | None = None
        """The latest announcement that a daemon acknowledged."""
        self.refused = 0
        """Number of announcements that were not acknowledged."""
        self.departed = asyncio.Event()
        """Set once a daemon has acknowledged the departure, or at once when there are no addresses."""

    def changed(self) -> None:
        """Makes ``run`` send the current announcement without waiting for the next renewal."""
        self._changed.set()

    async def run(self) -> None:
        """Sends announcements until one with the state ``gone`` is acknowledged."""
        while self._addresses:
            self._changed.clear()
            announcement = self._current()
            if announcement is not None:
                while not await self._announce(announcement):
                    self._next += 1
                    self.refused += 1
                    await asyncio.sleep(0.2 if self._next % len(self._addresses) else 0.5)
                    announcement = self._current() or announcement
                self.acknowledged = announcement
                if announcement.state == "gone":
                    break
            try:
                async with asyncio.timeout(self._every):
                    await self._changed.wait()
            except TimeoutError:
                continue
        self.departed.set()

    async def _announce(self, announcement: Announcement) -> bool:
        address = self._addresses[self._next % len(self._addresses)]
        exchange = self._context.http.start(
            HttpRequest(
                method="POST",
                address=address,
                path=ANNOUNCE_PATH,
                headers=(("Content-Type", "application/json"),),
                body=msgspec.json.encode(announcement),
                connect_timeout=Seconds(0.5),
            )
        )
        try:
            async with asyncio.timeout(ACKNOWLEDGE_TIMEOUT_S):
                match await exchange.head():
                    case Success(head):
                        return bool(200 <= head.status < 300)
                    case _:
                        return False
        except TimeoutError:
            return False
        finally:
            exchange.cancel()
