"""Discovery of other coordinators and polling of their sessions (docs/DESIGN.md section 8)."""

from __future__ import annotations

from collections.abc import Sequence

from returns.result import Success

from ..context.protocols import Context
from ..identifiers import Address, Incarnation, Instant, Seconds
from ..transport.errors import TransportFailure
from ..transport.messenger import Messenger
from .coordinator_peer import CoordinatorPeer
from .coordinator_state import CoordinatorState, checksum
from .limits import SessionTimes
from .messages import KnownControls, KnownControlsRequest, SessionsReport, SessionsRequest, UnreachableCoordinator

DISCOVERY_INTERVAL_S = Seconds(1.0)


class PeerPolling(CoordinatorState):
    """Polls each other coordinator for its sessions, and asks it for the sessions of unreachable ones."""

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        seeds: Sequence[Address],
        times: SessionTimes | None = None,
    ) -> None:
        super().__init__(context, messenger, seeds, times)
        self._not_coordinators: dict[Address, Instant] = {}
        """Seeds that are routers, with the time at which that was found."""

    # -- discovery

    async def _discover_peers(self) -> None:
        """Polls the seeds and all members that are control daemons; asks router seeds for control daemons."""
        while True:
            for address in self._seeds:
                if address in self._not_coordinators:
                    await self._ask_known_controls(address)
                else:
                    self._add_peers([address])
            self._add_peers([member.internal for member in self._view.of_role("control")])
            await self._context.clock.sleep(DISCOVERY_INTERVAL_S)

    async def _ask_known_controls(self, router: Address) -> None:
        outcome = await self._messenger.call(router, KnownControlsRequest(), KnownControls, self._times.answer_timeout)
        if isinstance(outcome, Success):
            known: KnownControls = outcome.unwrap()
            self._add_peers(known.controls)
            self._core_was_formed |= known.version > 0 or known.epoch > 0

    def _add_peers(self, addresses: Sequence[Address]) -> None:
        """Starts polling the coordinators that may exist at these addresses."""
        for address in addresses:
            if address == self._own_identity.internal or address in self._peers:
                continue
            peer = self._peers[address] = CoordinatorPeer(address, self._now())
            self._tasks.append(self._context.tasks.spawn(f"keeper {address}", self._poll_forever(peer)))

    # -- requests

    async def _poll_forever(self, peer: CoordinatorPeer) -> None:
        """Requests the sessions of one other coordinator repeatedly, until the peer is forgotten."""
        while (pause := await self._poll_once(peer)) is not None:
            await self._context.clock.sleep(pause)

    async def _poll_once(self, peer: CoordinatorPeer) -> Seconds | None:
        """Returns the pause until the next request, or None if the peer was forgotten."""
        asked_at = self._now()
        unreachable = self._unreachable(peer, asked_at)
        wait = Seconds(0.0) if unreachable else self._times.poll_wait
        outcome = await self._messenger.call(
            peer.address,
            SessionsRequest(peer.position(), wait, checksum(self._live_coordinators()), unreachable),
            SessionsReport,
            Seconds(self._times.poll_wait + self._times.answer_timeout),
        )
        if not isinstance(outcome, Success):
            return self._handle_no_answer(peer, outcome.failure(), asked_at)
        self._apply_answer(peer, outcome.unwrap(), asked_at)
        min_interval = self._times.retry_pause if unreachable else self._times.coalescing_delay
        return Seconds(max(0.0, asked_at + min_interval - self._now()))

    def _apply_answer(self, peer: CoordinatorPeer, report: SessionsReport, asked_at: Instant) -> None:
        peer.last_direct_at = asked_at
        self._apply_report(peer, report, asked_at)
        self._add_peers(report.coordinators)
        for relayed in report.relayed:
            self._apply_relayed(relayed, asked_at)

    def _handle_no_answer(self, peer: CoordinatorPeer, fault: TransportFailure, asked_at: Instant) -> Seconds | None:
        """Returns the pause until the next request, or None if the peer was forgotten.

        Seeds that are not coordinators are forgotten, as are other peers that have been silent for very long.
        """
        if fault.kind == "rejected" and peer.address in self._seeds:
            self._not_coordinators[peer.address] = asked_at
            del self._peers[peer.address]
            return None
        silence_s = peer.silence_s(asked_at)
        if silence_s > self._times.forget_after and peer.address not in self._seeds:
            del self._peers[peer.address]
            return None
        pause = self._times.retry_pause if silence_s < self._times.slow_retry_after else 4 * self._times.retry_pause
        return Seconds(pause * (0.8 + 0.4 * self._context.random.random()))

    def _unreachable(self, asked_peer: CoordinatorPeer, now: Instant) -> tuple[UnreachableCoordinator, ...]:
        """Returns the peers to ask others for: recently silent ones with each request, other ones at intervals."""
        found = []
        for peer in self._peers.values():
            if peer is asked_peer or peer.direct_silence_s(now) <= self._times.unreachable_after:
                continue
            recent = peer.silence_s(now) <= 2 * self._times.session_timeout
            if recent or peer.inquired_at is None or now - peer.inquired_at > self._times.inquiry_interval:
                found.append(UnreachableCoordinator(peer.address, peer.position()))
                if not recent:
                    peer.inquired_at = now
        return tuple(found)

    # -- reports

    def _apply_relayed(self, report: SessionsReport, asked_at: Instant) -> None:
        peer = self._peers.get(report.coordinator.internal)
        reported_at = Instant(asked_at - report.age)
        if peer is not None and (peer.last_report_at is None or reported_at > peer.last_report_at):
            self._apply_report(peer, report, reported_at)

    def _apply_report(self, peer: CoordinatorPeer, report: SessionsReport, reported_at: Instant) -> None:
        peer.identity = report.coordinator
        peer.last_report_at = reported_at if peer.last_report_at is None else max(peer.last_report_at, reported_at)
        if not peer.is_outdated(report):
            self._update_membership(*peer.apply(report, Instant(reported_at + self._times.grace_period)))

    # -- silent peers

    def _sweep_peer(self, peer: CoordinatorPeer, now: Instant) -> None:
        self._update_membership(*peer.drop_orphans(now))
        if peer.last_report_at is None or not len(peer.sessions):
            return
        silence_s = now - peer.last_report_at
        if silence_s > self._times.grace_period:
            self._drop_sessions(peer, peer.sessions.incarnations())
            peer.run_id = ""
            self._context.log.event("keeper-sessions-dropped", keeper=peer.address)
        elif silence_s > self._times.session_timeout and peer.identity is not None:
            self._drop_sessions(peer, [peer.identity.incarnation])

    def _drop_sessions(self, peer: CoordinatorPeer, incarnations: Sequence[Incarnation]) -> None:
        dropped = peer.drop(incarnations)
        if dropped:
            peer.run_id = ""
            self._update_membership(*dropped)

    def _extend_peers(self, seconds: Seconds) -> None:
        """Extends the peers' latest reports by the time during which this process was suspended."""
        for peer in self._peers.values():
            if peer.last_report_at is not None:
                peer.last_report_at = Instant(peer.last_report_at + seconds)
