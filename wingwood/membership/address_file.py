"""Addresses of the other daemons, saved on a control daemon's disk (docs/DESIGN.md section 8.4).

When all three seeds in the settings have been replaced, a daemon that starts cannot find any other daemon by its
settings. Then the control daemons, which have a disk, announce themselves to the addresses that they saved.
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
MAX_ANNOUNCED_PER_INTERVAL = 64


class SavedAddresses(msgspec.Struct, frozen=True):
    """Internal addresses of the daemons that were members at the time of writing; 25 bytes each on disk."""

    controls: tuple[Address, ...]
    routers: tuple[Address, ...]


class AddressSource(Membership, Protocol):
    """This control daemon's coordinator, as the address file uses it."""

    def add_controls(self, controls: tuple[Address, ...]) -> None:
        """Starts polling control daemons that may exist at these addresses."""
        ...

    def warming_up(self) -> bool:
        """Returns whether the list may still lack live members."""
        ...


class AddressFile:
    """Keeps the file up to date with the current members.

    The file only helps daemons to find each other; correctness does not depend on its content.
    """

    def __init__(self, context: Context, messenger: Messenger, coordinator: AddressSource) -> None:
        self._context = context
        self._messenger = messenger
        self._coordinator = coordinator
        self._written = SavedAddresses((), ())
        self._tasks: list[Task] = []

    def start(self) -> None:
        """Reads the file, announces this daemon to the saved routers, and writes the file after changes."""
        self._tasks = [self._context.tasks.spawn("address file", self._run())]

    def stop(self) -> None:
        """Stops the announcements and writes."""
        for task in self._tasks:
            task.cancel()

    async def _run(self) -> None:
        saved = await self._read()
        if saved is not None:
            self._written = saved
            self._coordinator.add_controls(saved.controls)
            self._tasks.append(self._context.tasks.spawn("announce addresses", self._announce(saved)))
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
            self._context.log.event("address-file-unreadable", detail=str(malformed))
            return None

    async def _write(self) -> None:
        """Writes the current members if they have changed.

        While most of the saved routers are not members and nobody has joined, the file stays as it is, since it may
        still be needed to find them.
        """
        if self._coordinator.warming_up():
            return
        current = SavedAddresses(
            tuple(sorted(member.internal for member in self._coordinator.controls())),
            tuple(sorted(member.internal for member in self._coordinator.routers())),
        )
        added = set(current.controls + current.routers) - set(self._written.controls + self._written.routers)
        many_removed = len(self._written.routers) > 2 * len(current.routers)
        if current == self._written or not current.routers or (many_removed and not added):
            return
        written = await self._context.disk.write_new(NEW_FILE_NAME, msgspec.json.encode(current))
        if isinstance(written, Success):
            renamed = await self._context.disk.rename(NEW_FILE_NAME, FILE_NAME)
            if isinstance(renamed, Success):
                self._written = current

    async def _announce(self, saved: SavedAddresses) -> None:
        """Announces the control daemons to routers that have no session yet."""
        own = self._messenger.identity.internal
        controls = (own, *saved.controls[:MAX_ANNOUNCED_PER_INTERVAL])
        announcement = KnownControls(controls, (), Epoch(0), BundleVersion(0))
        end = self._context.clock.monotonic() + ANNOUNCE_DURATION_S
        start = 0
        while self._context.clock.monotonic() < end:
            members = {member.internal for member in self._coordinator.members()}
            absent = [address for address in saved.routers if address not in members]
            for offset in range(min(MAX_ANNOUNCED_PER_INTERVAL, len(absent))):
                self._messenger.post(absent[(start + offset) % len(absent)], announcement)
            start += MAX_ANNOUNCED_PER_INTERVAL
            await self._context.clock.sleep(ANNOUNCE_INTERVAL_S)
