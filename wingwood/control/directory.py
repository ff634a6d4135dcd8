"""The known control daemons: answers to daemons that join or look for the primary (docs/DESIGN.md section 7.8)."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ..context.protocols import Context
from ..identifiers import Address
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .leadership import Leadership, Spare
from .member_state import MemberState
from .messages import ControlJoin, ControlJoined, ControlLeader, ControlLeaderQuery
from .own_leadership import OwnLeadership


class ControlDirectory:
    """Knows the addresses of control daemons: the members, the seeds, and those found by membership.

    ``other_controls`` returns further internal addresses of control daemons.
    """

    def __init__(
        self,
        context: Context,
        state: MemberState,
        leadership: OwnLeadership,
        seeds: Sequence[Address],
        other_controls: Callable[[], Sequence[Address]],
    ) -> None:
        self.seeds = tuple(sorted(seeds))
        """Sorted, so that all daemons have the same order, whatever the order in their settings."""
        self._context = context
        self._state = state
        self._leadership = leadership
        self._other_controls = other_controls

    def register(self, messenger: Messenger) -> None:
        """Registers the handlers of the messages that this part answers."""
        messenger.on_call(ControlJoin, self._on_join)
        messenger.on_call(ControlLeaderQuery, self._on_leader_query)

    def control_addresses(self) -> Sequence[Address]:
        """Returns the addresses of all control daemons known here, that of the presumed primary first."""
        view = self._state.known_view
        addresses = [self._state.primary_address()]
        addresses += [member.address for member in (view.members if view is not None else ())]
        addresses += [*self.seeds, *self._other_controls()]
        return tuple(dict.fromkeys(address for address in addresses if address is not None))

    async def _on_join(self, _: Identity, message: ControlJoin) -> ControlJoined:
        if self._leadership.current is not None:
            self._record_spare(self._leadership.current, message)
        return ControlJoined(self._state.known_view)

    def _record_spare(self, leadership: Leadership, message: ControlJoin) -> None:
        spare = message.member
        if spare.incarnation not in leadership.spares:
            self._context.log.event(
                "spare-discovered", name_of_spare=spare.name, incarnation=spare.incarnation, address=spare.address
            )
        leadership.spares[spare.incarnation] = Spare(spare, self._context.clock.monotonic())
        for other in leadership.view.others(self._state.own.incarnation):
            if other.address == spare.address and other.incarnation != spare.incarnation:
                leadership.replaced.add(other.incarnation)

    async def _on_leader_query(self, _: Identity, __: ControlLeaderQuery) -> ControlLeader:
        return ControlLeader(self._state.primary_address(), tuple(self.control_addresses()), self._state.epoch())
