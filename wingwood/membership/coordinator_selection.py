"""A router's choice of the coordinator that has its session (docs/DESIGN.md section 8.1)."""

from __future__ import annotations

from collections.abc import Iterator

from ..context.protocols import Context
from ..identifiers import Address, Instant
from ..transport.frames import Identity
from .control_directory import ControlDirectory
from .member_view import MemberView
from .membership_options import MembershipOptions
from .rendezvous import ranked

COORDINATORS_TRIED_PER_HEARTBEAT = 6
RANKING_KEY_PREFIX = "keeper/"
"""Part of the hashed key: a change of it would move almost every daemon to another coordinator."""


class CoordinatorSelection:
    """Owns the current coordinator, recent failures of coordinators, and the time of the next rebalance."""

    def __init__(
        self,
        context: Context,
        identity: Identity,
        view: MemberView,
        directory: ControlDirectory,
        options: MembershipOptions,
    ) -> None:
        self._context = context
        self._identity = identity
        self._view = view
        self._directory = directory
        self._options = options
        self._current: Address | None = None
        self._current_is_isolated = False
        self._failed_at: dict[Address, Instant] = {}
        self._rebalance_at = Instant(0.0)

    def start(self) -> None:
        """Sets the time of the first rebalance."""
        self._rebalance_at = Instant(self._context.clock.monotonic() + self._options.rebalance_interval_s)

    def current(self) -> Address | None:
        """Returns the coordinator that answered last; None before the first answer and after a failure of it."""
        return self._current

    def candidates(self) -> Iterator[Address]:
        """Yields the current coordinator, then a few others.

        When a rebalance is due or the current coordinator is isolated, the order of ``_ranking`` applies from the
        start.
        """
        now = self._context.clock.monotonic()
        first = self._current
        if first is not None and now < self._rebalance_at and not self._current_is_isolated:
            yield first
        else:
            interval_s = self._options.rebalance_interval_s * (0.8 + 0.4 * self._context.random.random())
            self._rebalance_at = Instant(now + interval_s)
            if first is not None and self._current_is_isolated:
                self._failed_at[first] = now
            first = None
        yield from (address for address in self._ranking()[:COORDINATORS_TRIED_PER_HEARTBEAT] if address != first)

    def _ranking(self) -> list[Address]:
        """Returns the coordinators to try: control members of this zone, other control members, then other addresses.

        Those that failed are last, the latest failure at the end.
        """
        controls = self._view.controls()
        near = [member.internal for member in controls if member.zone == self._identity.zone]
        far = [member.internal for member in controls if member.zone != self._identity.zone]
        others = [
            address for address in self._directory.reported_and_seeds() if address not in near and address not in far
        ]
        ranking = [
            address
            for group in (near, far, others)
            for address in ranked(f"{RANKING_KEY_PREFIX}{self._identity.name}", dict.fromkeys(group), str)
            if address != self._identity.internal
        ]
        now = self._context.clock.monotonic()
        self._failed_at = {
            address: at for address, at in self._failed_at.items() if now - at < self._options.rebalance_interval_s
        }
        ranking.sort(key=lambda address: self._failed_at.get(address, float("-inf")))
        return ranking

    def record_answer(self, address: Address, isolated: bool) -> bool:
        """Makes the coordinator that answered the current one; returns whether it is another one than before."""
        changed, self._current = self._current != address, address
        self._current_is_isolated = isolated
        self._failed_at.pop(address, None)
        return changed

    def record_failure(self, address: Address) -> bool:
        """Ranks the coordinator last for a while; returns whether it was the current one."""
        self._failed_at[address] = self._context.clock.monotonic()
        if address != self._current:
            return False
        self._current = None
        return True
