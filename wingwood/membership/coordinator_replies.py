"""A coordinator's answers to other coordinators (docs/DESIGN.md section 8)."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from ..identifiers import Address, Instant, Seconds
from ..transport.frames import Identity
from .coordinator_peer import CoordinatorPeer
from .coordinator_state import checksum
from .member_list import Changes
from .messages import Position, SessionsReport, SessionsRequest, UnreachableCoordinator, member_of
from .peer_polling import PeerPolling


class CoordinatorReplies(PeerPolling):
    """Reports the local sessions, and the sessions of coordinators that the requesting one cannot reach."""

    async def _on_ask_sessions(self, peer: Identity, message: SessionsRequest) -> SessionsReport:
        self._add_peers([peer.internal])
        if message.position == Position(self._run_id, self._local_members.sequence):
            await self._wait_for_change(Seconds(min(message.wait, self._times.poll_wait)))
        coordinators = self._live_coordinators()
        known = checksum(coordinators) == message.coordinators_checksum
        return self._make_report(message.position, message.unreachable, () if known else coordinators)

    async def _wait_for_change(self, timeout_s: Seconds) -> None:
        """Waits for a change of the local sessions, then a little longer so that several changes share one report."""
        if self._next_change is None:
            self._next_change = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.shield(self._next_change)
            await self._context.clock.sleep(self._times.coalescing_delay)
        except TimeoutError:
            pass

    def _make_report(
        self,
        position: Position | None,
        unreachable: Sequence[UnreachableCoordinator],
        coordinators: tuple[Address, ...],
    ) -> SessionsReport:
        changes = None
        if position is not None and position.run_id == self._run_id:
            changes = self._local_members.changes_since(position.sequence)
        complete = changes is None
        changes = changes or Changes(self._local_members.sequence, tuple(self._local_members.identities()), ())
        return SessionsReport(
            coordinator=self._own_identity,
            position=Position(self._run_id, self._local_members.sequence),
            digest=self._local_members.digest,
            complete=complete,
            settling=self.settling(),
            joined=tuple(map(member_of, changes.joined)),
            left=changes.left,
            relayed=tuple(self._relay(unreachable)),
            coordinators=coordinators,
        )

    def _relay(self, unreachable: Sequence[UnreachableCoordinator]) -> list[SessionsReport]:
        """Returns the sessions that unreachable coordinators reported directly to this one."""
        now = self._now()
        relayed = (self._relay_one(requested, now) for requested in unreachable)
        return [report for report in relayed if report is not None]

    def _relay_one(self, requested: UnreachableCoordinator, now: Instant) -> SessionsReport | None:
        peer: CoordinatorPeer | None = self._peers.get(requested.address)
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
            settling=peer.settling,
            age=Seconds(now - peer.last_direct_at),
        )
