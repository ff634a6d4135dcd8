"""A coordinator's reports of sessions to the other coordinators (docs/DESIGN.md sections 8.2 and 8.3)."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ..context.protocols import Clock
from ..identifiers import Address, Instant, Seconds
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .coordinator_peers import CoordinatorPeers, checksum
from .member_list import Changes
from .membership_options import MembershipOptions
from .messages import Position, SessionsReport, SessionsRequest, UnreachableCoordinator, member_of
from .published_list import PublishedList
from .warm_up import WarmUp


class SessionsReporter:
    """Reports the local sessions, and the sessions of coordinators that the requesting one cannot reach."""

    def __init__(
        self,
        clock: Clock,
        messenger: Messenger,
        options: MembershipOptions,
        local: PublishedList,
        peers: CoordinatorPeers,
        warm_up: WarmUp,
        poll: Callable[[Sequence[Address]], None],
    ) -> None:
        """Function ``poll`` starts polling the coordinators at the addresses, unless they are polled already."""
        self._clock = clock
        self._own_identity = messenger.identity
        self._options = options
        self._local = local
        self._peers = peers
        self._warm_up = warm_up
        self._poll = poll
        messenger.on_call(SessionsRequest, self._on_request)

    async def _on_request(self, peer: Identity, request: SessionsRequest) -> SessionsReport:
        self._poll([peer.internal])
        if request.position == self._local.position():
            await self._wait_for_change(Seconds(min(request.wait, self._options.poll_wait_s)))
        coordinators = self._peers.live_addresses(self._clock.monotonic())
        known = checksum(coordinators) == request.coordinators_checksum
        return self._make_report(request.position, request.unreachable, () if known else coordinators)

    async def _wait_for_change(self, timeout_s: Seconds) -> None:
        """Waits for a change of the local sessions, then a little longer so that several changes share one report."""
        if await self._local.wait_for_change(timeout_s):
            await self._clock.sleep(self._options.coalescing_delay_s)

    def _make_report(
        self,
        position: Position | None,
        unreachable: Sequence[UnreachableCoordinator],
        coordinators: tuple[Address, ...],
    ) -> SessionsReport:
        members = self._local.members
        changes = self._local.changes_since(position)
        complete = changes is None
        changes = changes or Changes(members.sequence, tuple(members.identities()), ())
        return SessionsReport(
            coordinator=self._own_identity,
            position=self._local.position(),
            digest=members.digest,
            complete=complete,
            warming_up=self._warm_up.is_active(),
            joined=tuple(map(member_of, changes.joined)),
            left=changes.left,
            relayed=tuple(self._relay(unreachable)),
            coordinators=coordinators,
        )

    def _relay(self, unreachable: Sequence[UnreachableCoordinator]) -> list[SessionsReport]:
        """Returns the sessions that unreachable coordinators reported directly to this one."""
        now = self._clock.monotonic()
        relayed = (self._relay_one(requested, now) for requested in unreachable)
        return [report for report in relayed if report is not None]

    def _relay_one(self, requested: UnreachableCoordinator, now: Instant) -> SessionsReport | None:
        peer = self._peers.get(requested.address)
        if peer is None or not peer.run_id or peer.identity is None or peer.last_direct_at is None:
            return None
        unchanged = peer.position() == requested.position
        return SessionsReport(
            coordinator=peer.identity,
            position=Position(peer.run_id, peer.sequence),
            digest=peer.sessions.digest,
            complete=not unchanged,
            joined=() if unchanged else tuple(map(member_of, peer.sessions.identities())),
            left=(),
            warming_up=peer.warming_up,
            age=Seconds(now - peer.last_direct_at),
        )
