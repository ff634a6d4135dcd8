"""A member list that other daemons replicate by numbered changes (docs/DESIGN.md section 8.2)."""

from __future__ import annotations

import asyncio

from ..identifiers import Incarnation, Seconds
from ..transport.frames import Identity
from .member_list import UNLIMITED_CHANGES, Changes, MemberList
from .messages import Position


class PublishedList:
    """A member list whose changes are numbered within one process run. Owns the future of its next change."""

    def __init__(self, run_id: str, members: MemberList) -> None:
        self.run_id = run_id
        """Identifies this process run: sequence numbers start again after a restart, while the incarnation stays."""
        self.members = members
        self._next_change: asyncio.Future[None] | None = None

    def position(self) -> Position:
        """Returns the position after the latest change."""
        return Position(self.run_id, self.members.sequence)

    def put(self, identity: Identity) -> bool:
        """Adds or replaces the member; returns whether this changed the list."""
        changed = self.members.put(identity)
        if changed:
            self._notify()
        return changed

    def drop(self, incarnation: Incarnation) -> bool:
        """Removes the member; returns whether it was on the list."""
        changed = self.members.drop(incarnation)
        if changed:
            self._notify()
        return changed

    def changes_since(self, position: Position | None, limit: int = UNLIMITED_CHANGES) -> Changes | None:
        """Returns at most ``limit`` changes after the position, or None if they are not retained."""
        if position is None or position.run_id != self.run_id:
            return None
        return self.members.changes_since(position.sequence, limit)

    async def wait_for_change(self, timeout_s: Seconds) -> bool:
        """Waits until the list changes; returns False if it did not within the time."""
        if self._next_change is None:
            self._next_change = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.shield(self._next_change)
        except TimeoutError:
            return False
        return True

    def _notify(self) -> None:
        waiting, self._next_change = self._next_change, None
        if waiting is not None and not waiting.done():
            waiting.set_result(None)
