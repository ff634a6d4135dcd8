"""The other daemons' addresses, kept on a control daemon's disk (docs/DESIGN.md section 8.4).

When all three seeds that settings list have been replaced, a daemon that starts finds nobody by its
settings. Then those who have a disk look for the others: they tell the addresses that they kept who they are.
"""

from __future__ import annotations

from typing import Protocol

import msgspec
from returns.result import Success

from ..context.protocols import Context, Task
from ..identifiers import Address, BundleVersion, Epoch, Seconds
from ..transport.messenger import Messenger
from .messages import KnownControls
from .protocols import Membership

BOOK_NAME = "addresses"
NEW_BOOK_NAME = "addresses.new"
WRITE_EVERY = Seconds(5.0)
TELL_EVERY = Seconds(1.0)
TELL_FOR = Seconds(120.0)
TOLD_AT_A_TIME = 64


class KeptAddresses(msgspec.Struct, frozen=True):
    """Internal addresses of the daemons that were members when it was written; 25 bytes each on disk."""

    controls: tuple[Address, ...]
    routers: tuple[Address, ...]


class KeeperOfSessions(Membership, Protocol):
    """What the book asks of this control daemon's session keeper."""

    def learn(self, controls: tuple[Address, ...]) -> None: ...

    def settling(self) -> bool: ...


class AddressBook:
    """Wanted: the file names the present members. It only helps others to be found; nothing rests on its truth."""

    def __init__(self, context: Context, messenger: Messenger, keeper: KeeperOfSessions) -> None:
        self._context = context
        self._messenger = messenger
        self._keeper = keeper
        self._written = KeptAddresses((), ())
        self._tasks: list[Task] = []

    def start(self) -> None:
        self._tasks = [self._context.tasks.spawn("address book", self._run())]

    def stop(self) -> None:
        for task in self._tasks:
            task.cancel()

    async def _run(self) -> None:
        kept = await self._read()
        if kept is not None:
            self._written = kept
            self._keeper.learn(kept.controls)
            self._tasks.append(self._context.tasks.spawn("tell addresses", self._tell(kept)))
        while True:
            await self._context.clock.sleep(WRITE_EVERY)
            await self._write()

    async def _read(self) -> KeptAddresses | None:
        read = await self._context.disk.read(BOOK_NAME)
        if not isinstance(read, Success):
            return None
        try:
            return msgspec.json.decode(read.unwrap(), type=KeptAddresses)
        except msgspec.MsgspecError as malformed:
            self._context.log.event("address-book-unreadable", detail=str(malformed))
            return None

    async def _write(self) -> None:
        """A list that has only lost members is kept as it is while it may still be needed to find them."""
        if self._keeper.settling():
            return
        now = KeptAddresses(
            tuple(sorted(member.internal for member in self._keeper.controls())),
            tuple(sorted(member.internal for member in self._keeper.routers())),
        )
        new_ones = set(now.controls + now.routers) - set(self._written.controls + self._written.routers)
        many_gone = len(self._written.routers) > 2 * len(now.routers)
        if now == self._written or not now.routers or (many_gone and not new_ones):
            return
        disk = self._context.disk
        if isinstance(await disk.write_new(NEW_BOOK_NAME, msgspec.json.encode(now)), Success) and isinstance(
            await disk.rename(NEW_BOOK_NAME, BOOK_NAME), Success
        ):
            self._written = now

    async def _tell(self, kept: KeptAddresses) -> None:
        """Tells routers that have no session yet where a control daemon is."""
        own = self._messenger.identity.internal
        told = KnownControls((own, *kept.controls[:TOLD_AT_A_TIME]), (), Epoch(0), BundleVersion(0))
        end = self._context.clock.monotonic() + TELL_FOR
        start = 0
        while self._context.clock.monotonic() < end:
            members = {member.internal for member in self._keeper.members()}
            away = [address for address in kept.routers if address not in members]
            for offset in range(min(TOLD_AT_A_TIME, len(away))):
                self._messenger.post(away[(start + offset) % len(away)], told)
            start += TOLD_AT_A_TIME
            await self._context.clock.sleep(TELL_EVERY)
