"""The part of the health report that concerns the control core (docs/DESIGN.md section 7.4)."""

from __future__ import annotations

from typing import Literal

from ..context.protocols import Clock
from .control_options import ControlOptions
from .guarded_store import GuardedStore
from .leadership import Leadership
from .member_state import MemberState
from .own_leadership import OwnLeadership
from .planning import ClusterSize
from .protocols import ViewReport
from .views import ViewMember

OwnRole = Literal["primary", "backup", "witness", "spare", "candidate"]


class HealthReporter:
    """Reports the view, the own role, and what the view lacks. It owns no state."""

    def __init__(
        self,
        clock: Clock,
        options: ControlOptions,
        size: ClusterSize,
        guarded: GuardedStore,
        state: MemberState,
        leadership: OwnLeadership,
    ) -> None:
        self._clock = clock
        self._member_timeout = options.member_timeout
        self._size = size
        self._guarded = guarded
        self._state = state
        self._leadership = leadership
        self._own_incarnation = state.own.incarnation

    def report(self) -> ViewReport:
        """Returns the report; on the primary it also says whether the configured failures are tolerated now."""
        leadership, view = self._leadership.current, self._state.known_view
        accepts = leadership is not None and leadership.accepts_orders(self._size.members) and self._leadership.leads()
        complete = leadership is not None and accepts and self._all_follow(leadership)
        details = [f"disk: {self._guarded.fault}"] if self._guarded.fault is not None else []
        if leadership is not None and not complete:
            details += self._shortcomings(leadership)
        return ViewReport(
            epoch=self._state.epoch(),
            own_role=self._own_role(),
            primary=view.primary if view is not None else None,
            backups=view.backups if view is not None else (),
            members=view.incarnations() if view is not None else (),
            accepts_orders=accepts,
            complete=complete,
            detail="; ".join(details),
        )

    def _own_role(self) -> OwnRole:
        view = self._state.known_view
        if self._leadership.current is not None:
            return "primary"
        if view is None or view.member(self._own_incarnation) is None:
            return "spare"
        if self._state.is_candidate:
            return "candidate"
        return "backup" if self._own_incarnation in view.backups else "witness"

    def _is_live(self, leadership: Leadership, member: ViewMember) -> bool:
        return leadership.is_live(member.incarnation, self._clock.monotonic(), self._member_timeout)

    def _all_follow(self, leadership: Leadership) -> bool:
        """Whether all other members are live and know that our view is chosen.

        Such members can continue without us and without the former members.
        """
        view = leadership.view
        return all(
            self._is_live(leadership, member) and leadership.chosen_epochs.get(member.incarnation) == view.epoch
            for member in view.others(self._own_incarnation)
        )

    def _shortcomings(self, leadership: Leadership) -> list[str]:
        """Describes for the operator what the view lacks."""
        shortcomings = []
        if not leadership.in_sync:
            shortcomings.append("too few backups in sync")
        missing = self._size.members - len(leadership.view.members)
        if missing > 0:
            shortcomings.append(f"{missing} more members with a disk are wanted")
        unresponsive = [
            str(member.name)
            for member in leadership.view.others(self._own_incarnation)
            if not self._is_live(leadership, member)
        ]
        if unresponsive:
            shortcomings.append(f"not answering: {', '.join(unresponsive)}")
        return shortcomings
