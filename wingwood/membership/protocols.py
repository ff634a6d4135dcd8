"""The view of the members that other packages use (docs/DESIGN.md section 8)."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from ..identifiers import Incarnation, Instant
from ..transport.frames import Identity


class Membership(Protocol):
    """This daemon's view of the members; it may differ from another daemon's view for a moment."""

    def members(self) -> Sequence[Identity]:
        """Returns all live daemons sorted by name, including this one once its session is established."""
        ...

    def routers(self) -> Sequence[Identity]:
        """Returns the live routers sorted by name."""
        ...

    def controls(self) -> Sequence[Identity]:
        """Returns the live control daemons sorted by name."""
        ...

    def is_member(self, incarnation: Incarnation) -> bool:
        """Returns whether this process of a daemon is a member."""
        ...

    def session_confirmed_at(self) -> Instant | None:
        """Returns the local time before the request whose answer last confirmed the session; None before the first."""
        ...

    def on_change(self, callback: Callable[[], None]) -> None:
        """Registers a callback for changes of the members."""
        ...
