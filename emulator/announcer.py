"""Tells the routers' worker registry of an emulated worker (docs/DESIGN.md section 10)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

import msgspec
from returns.result import Success

from wingwood.context.protocols import Context, HttpRequest
from wingwood.identifiers import Address, Seconds

ANNOUNCE_PATH = "/workers/v1/announce"
ACKNOWLEDGE_TIMEOUT_S = Seconds(1.5)
"""How long a daemon may take to acknowledge."""


class Announcement(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    instance: str
    address: str
    pool: str
    zone: str
    slots: int
    cache_tokens: int
    state: str
    load: dict[str, int] | None = None


class Announcer:
    """Renews each ``every`` seconds and at once after ``changed``; another address when one does not acknowledge."""

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
        """The last one that a daemon acknowledged."""
        self.refused = 0
        self.departed = asyncio.Event()
        """That it is gone was acknowledged, or there is nobody to tell."""

    def changed(self) -> None:
        self._changed.set()

    async def run(self) -> None:
        """Until a ``departed`` is acknowledged; forever without one."""
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
