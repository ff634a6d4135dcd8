"""Who is a member, as the other slices see it (docs/DESIGN.md section 8)."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from ..identifiers import Incarnation, Instant
from ..transport.frames import Identity


class Membership(Protocol):
    """This daemon's view of the members; may differ from another's for a moment."""

    def members(self) -> Sequence[Identity]:
        """All live daemons, this one included once its session stands, sorted by name."""
        ...

    def routers(self) -> Sequence[Identity]: ...

    def controls(self) -> Sequence[Identity]: ...

    def is_member(self, incarnation: Incarnation) -> bool: ...

    def session_proven_at(self) -> Instant | None:
        """Own clock before the question whose answer last confirmed the session; None before the first."""
        ...

    def on_change(self, callback: Callable[[], None]) -> None: ...
