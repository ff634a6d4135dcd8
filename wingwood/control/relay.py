"""A control daemon without a disk, which forwards calls to the control core (docs/DESIGN.md section 7.12)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

import msgspec
from returns.result import Failure, Result, Success

from ..context.protocols import Context
from ..identifiers import Address, Epoch, Seconds
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .errors import CommandFailure
from .forwarding import forward_command
from .messages import (
    ControlCommand,
    ControlDecision,
    ControlJoin,
    ControlJoined,
    ControlLeader,
    ControlLeaderQuery,
    ControlStatus,
    ControlStatusQuery,
)
from .protocols import ViewReport
from .views import View


class RelayOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Intervals and timeouts of a relay; durations are in seconds."""

    view_query_interval: Seconds = Seconds(0.5)
    """Interval between two status queries to the presumed primary."""
    call_timeout: Seconds = Seconds(0.6)


class RelayCore:
    """A ``ControlCore`` that never leads, is never a member, stores nothing and decides nothing.

    It asks the presumed primary for its view at intervals, and all known control daemons when that primary
    no longer leads. ``other_controls`` returns further internal addresses of control daemons.
    """

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        seeds: Sequence[Address],
        other_controls: Callable[[], Sequence[Address]] = lambda: (),
        options: RelayOptions | None = None,
    ) -> None:
        self._context = context
        self._messenger = messenger
        self._seeds = tuple(sorted(seeds))
        self._other_controls = other_controls
        self._options = options or RelayOptions()
        self._view: View | None = None
        self._on_change: list[Callable[[], None]] = []

    # -- interface for the other slices

    def leads(self) -> bool:
        """Returns False, since a relay never leads."""
        return False

    def epoch(self) -> Epoch:
        """Returns the epoch of the latest known view; 0 when none is known."""
        return self._view.epoch if self._view is not None else Epoch(0)

    def primary_address(self) -> Address | None:
        """Returns the internal address of the presumed primary."""
        member = self._view.member(self._view.primary) if self._view is not None else None
        return member.address if member is not None else None

    def control_addresses(self) -> Sequence[Address]:
        """Returns the addresses of all control daemons known here, that of the presumed primary first."""
        members = self._view.members if self._view is not None else ()
        addresses = [self.primary_address(), *(member.address for member in members)]
        addresses += [*self._seeds, *self._other_controls()]
        own = self._messenger.identity.internal
        return tuple(dict.fromkeys(address for address in addresses if address not in (None, own)))

    def on_change(self, callback: Callable[[], None]) -> None:
        """Calls back after each change of the known view."""
        self._on_change.append(callback)

    def on_commit(self, callback: Callable[[], None]) -> None:
        """Ignores the callback, since nothing is committed here."""

    def report(self) -> ViewReport:
        """Returns what the health report says about the known view; the own role is ``relay``."""
        view = self._view
        return ViewReport(
            epoch=self.epoch(),
            own_role="relay",
            primary=view.primary if view is not None else None,
            backups=view.backups if view is not None else (),
            members=view.incarnations() if view is not None else (),
            accepts_orders=False,
            complete=False,
        )

    async def decide(
        self,
        kind: str,  # noqa: ARG002
        command: msgspec.Struct,  # noqa: ARG002
        timeout: Seconds | None = None,  # noqa: ARG002
    ) -> Result[msgspec.Struct, CommandFailure]:
        """Decides nothing; the failure names the presumed primary."""
        return Failure(CommandFailure("not-leading", self.primary_address()))

    async def confirm_leadership(self) -> bool:
        """Returns False, since a relay never leads."""
        return False

    # -- start and stop

    def start(self) -> None:
        """Answers the messages of other daemons, and starts to look for the primary."""
        self._messenger.on_call(ControlJoin, self._on_join)
        self._messenger.on_call(ControlCommand, self._on_command)
        self._messenger.on_call(ControlLeaderQuery, self._on_leader_query)
        self._context.tasks.spawn("control relay", self._follow_primary())

    def release_leadership(self) -> None:
        """Does nothing, since a relay never leads."""

    # -- finding the primary

    async def _follow_primary(self) -> None:
        while True:
            primary = self.primary_address()
            status = await self._query_status(primary) if primary is not None else None
            if status is None or not self._confirms(status):
                await asyncio.gather(*(self._query_status(address) for address in self.control_addresses()))
            await self._context.clock.sleep(self._options.view_query_interval)

    def _confirms(self, status: ControlStatus) -> bool:
        return status.hears_primary and self._view is not None and status.by == self._view.primary

    async def _query_status(self, address: Address) -> ControlStatus | None:
        match await self._messenger.call(address, ControlStatusQuery(), ControlStatus, self._options.call_timeout):
            case Success(answer):
                status: ControlStatus = answer
                self._observe_view(status.view)
                return status
        return None

    def _observe_view(self, view: View | None) -> None:
        if view is not None and view.supersedes(self._view):
            self._view = view
            for callback in self._on_change:
                callback()

    # -- answers

    async def _on_join(self, _: Identity, __: ControlJoin) -> ControlJoined:
        return ControlJoined(self._view)

    async def _on_leader_query(self, _: Identity, __: ControlLeaderQuery) -> ControlLeader:
        return ControlLeader(self.primary_address(), tuple(self.control_addresses()), self.epoch())

    async def _on_command(self, _: Identity, message: ControlCommand) -> ControlDecision:
        primary = self.primary_address()
        if primary is None or message.hops <= 0:
            return ControlDecision(fault=CommandFailure("not-leading", primary))
        return await forward_command(self._messenger, primary, message)
