"""A router's choice between a share's allocator and its standby (docs/DESIGN.md section 14.1)."""

from __future__ import annotations

from ..identifiers import Incarnation, Instant


class StandbyFailover:
    """Owns whether requests for a share go to the standby, and since when neither of the two answers."""

    def __init__(self) -> None:
        self._bypassed_allocator: Incarnation | None = None
        """The allocator in whose place requests go to the standby; None while they go to the allocator."""
        self._granted_by_standby = False
        self._unreachable_since: Instant | None = None

    def uses_standby(self, allocator: Incarnation) -> bool:
        """Returns whether the next request goes to the standby of this allocator; a new allocator is asked itself."""
        if self._bypassed_allocator != allocator:
            self._bypassed_allocator = None
        return self._bypassed_allocator is not None

    def granted_by_standby(self) -> bool:
        """Returns whether the last grant came from a standby, to which the unused allowance is then transferred."""
        return self._granted_by_standby

    def is_unreachable(self) -> bool:
        """Returns whether neither the allocator nor its standby answers."""
        return self._unreachable_since is not None

    def record_no_grant(self, to_standby: bool, allocator: Incarnation) -> None:
        """Turns the next request to the standby, or back to the allocator if the standby did not grant either."""
        self._granted_by_standby = False
        self._bypassed_allocator = None if to_standby else allocator

    def record_unreachable(self, now: Instant) -> bool:
        """Records that neither answers; returns False if this was known already."""
        if self._unreachable_since is not None:
            return False
        self._unreachable_since = now
        return True

    def record_grant(self, from_standby: bool) -> bool:
        """Records a grant; returns whether allocator and standby were unreachable until now."""
        was_unreachable, self._unreachable_since = self._unreachable_since is not None, None
        self._granted_by_standby = from_standby
        return was_unreachable

    def record_late_grant(self) -> None:
        """Turns requests to the allocator again, which has answered after the standby was asked in its place."""
        self._bypassed_allocator = self._unreachable_since = None
