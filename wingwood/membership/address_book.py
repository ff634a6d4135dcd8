"""The other daemons' addresses, saved on a control daemon's disk (docs/DESIGN.md section 8.4).

When all three seeds that settings list have been replaced, a daemon that starts finds nobody by its
settings. Then those who have a disk look for the others: they tell the addresses that they saved who they are.
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

FILE_NAME = "addresses"
NEW_FILE_NAME = "addresses.new"
WRITE_INTERVAL_S = Seconds(5.0)
ANNOUNCE_INTERVAL_S = Seconds(1.0)
ANNOUNCE_DURATION_S = Seconds(120.0)
MAX_ADDRESSES_PER_ROUND = 64


class SavedAddresses(msgspec.Struct, frozen=True):
    """Internal addresses of the daemons that were members when it was written; 25 bytes each on disk."""

    controls: tuple[Address, ...]
    routers: tuple[Address, ...]


class CoordinatorMembership(Membership, Protocol):
    """What the book asks of this control daemon's session keeper."""

    def add_controls(self, controls: tuple[Address, ...]) -> None: ...

    def settling(self) -> bool: ...


class AddressBook:
    """Wanted: the file names the present members. It only helps others to be found; nothing rests on its truth."""

    def __init__(self, context: Context, messenger: Messenger, coordinator: CoordinatorMembership) -> None:
        self._context = context
        self._messenger = messenger
        self._coordinator = coordinator
        self._written = SavedAddresses((), ())
        self._tasks: list[Task] = []

    def start(self) -> None:
        self._tasks = [self._context.tasks.spawn("address book", self._run())]

    def stop(self) -> None:
        for task in self._tasks:
            task.cancel()

    async def _run(self) -> None:
        saved = await self._read()
        if saved is not None:
            self._written = saved
            self._coordinator.add_controls(saved.controls)
            self._tasks.append(self._context.tasks.spawn("tell addresses", self._announce(saved)))
        while True:
            await self._context.clock.sleep(WRITE_INTERVAL_S)
            await self._write()

    async def _read(self) -> SavedAddresses | None:
        outcome = await self._context.disk.read(FILE_NAME)
        if not isinstance(outcome, Success):
            return None
        try:
            return msgspec.json.decode(outcome.unwrap(), type=SavedAddresses)
        except msgspec.MsgspecError as malformed:
            self._context.log.event("address-book-unreadable", detail=str(malformed))
            return None

    async def _write(self) -> None:
        """A list that has only lost members is saved as it is while it may still be needed to find them."""
        if self._coordinator.settling():
            return
        current = SavedAddresses(
            tuple(sorted(member.internal for member in self._coordinator.controls())),
            tuple(sorted(member.internal for member in self._coordinator.routers())),
        )
        added = set(current.controls + current.routers) - set(self._written.controls + self._written.routers)
        many_removed = len(self._written.routers) > 2 * len(current.routers)
        if current == self._written or not current.routers or (many_removed and not added):
            return
        disk = self._context.disk
        if isinstance(await disk.write_new(NEW_FILE_NAME, msgspec.json.encode(current)), Success) and isinstance(
            await disk.rename(NEW_FILE_NAME, FILE_NAME), Success
        ):
            self._written = current

    async def _announce(self, saved: SavedAddresses) -> None:
        """Tells routers that have no session yet where a control daemon is."""
        own = self._messenger.identity.internal
        announcement = KnownControls((own, *saved.controls[:MAX_ADDRESSES_PER_ROUND]), (), Epoch(0), BundleVersion(0))
        end = self._context.clock.monotonic() + ANNOUNCE_DURATION_S
        start = 0
        while self._context.clock.monotonic() < end:
            members = {member.internal for member in self._coordinator.members()}
            absent = [address for address in saved.routers if address not in members]
            for offset in range(min(MAX_ADDRESSES_PER_ROUND, len(absent))):
                self._messenger.post(absent[(start + offset) % len(absent)], announcement)
            start += MAX_ADDRESSES_PER_ROUND
            await self._context.clock.sleep(ANNOUNCE_INTERVAL_S)
