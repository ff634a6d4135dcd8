"""Discovery of other coordinators and polling of their sessions (docs/DESIGN.md sections 8.3 and 8.4)."""

from __future__ import annotations

from collections.abc import Sequence

from returns.result import Success

from ..context.protocols import Context, Task
from ..identifiers import Address, Instant, Seconds
from ..transport.errors import TransportFailure
from ..transport.messenger import Messenger
from .coordinator_peer import CoordinatorPeer
from .coordinator_peers import CoordinatorPeers, checksum
from .known_controls import request_known_controls
from .member_view import MemberView
from .membership_options import MembershipOptions
from .messages import SessionsReport, SessionsRequest, UnreachableCoordinator
from .observed_versions import ObservedVersions
from .peer_reports import PeerReports

DISCOVERY_INTERVAL_S = Seconds(1.0)


class PeerPolling:
    """Polls each other coordinator for its sessions, and asks it for the sessions of unreachable ones.

    Owns the seeds and the polling tasks, and adds and evicts peers.
    """

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        seeds: Sequence[Address],
        options: MembershipOptions,
        view: MemberView,
        peers: CoordinatorPeers,
        reports: PeerReports,
        observed: ObservedVersions,
    ) -> None:
        self._context = context
        self._messenger = messenger
        self._seeds = tuple(seeds)
        self._options = options
        self._view = view
        self._peers = peers
        self._reports = reports
        self._observed = observed
        self._router_seeds: set[Address] = set()
        """Seeds that rejected a request for sessions, because they are routers."""
        self._tasks: list[Task] = []

    def start(self) -> None:
        """Starts the discovery of coordinators, which starts to poll each one that it finds."""
        self._tasks = [self._context.tasks.spawn("membership peers", self._discover_peers())]

    def stop(self) -> None:
        """Stops the discovery and the polling."""
        for task in self._tasks:
            task.cancel()

    def use_seeds(self, seeds: Sequence[Address]) -> None:
        """Replaces the seeds at which other coordinators are looked for; known coordinators are retained."""
        self._seeds = tuple(seeds)

    def poll(self, addresses: Sequence[Address]) -> None:
        """Starts polling the coordinators that may exist at these addresses, unless they are polled already."""
        for address in addresses:
            peer = self._peers.add(address, self._context.clock.monotonic())
            if peer is not None:
                self._tasks.append(self._context.tasks.spawn(f"coordinator {address}", self._poll_forever(peer)))

    # -- discovery

    async def _discover_peers(self) -> None:
        """Polls the seeds and all members that are control daemons; asks router seeds for control daemons."""
        while True:
            for address in self._seeds:
                if address in self._router_seeds:
                    await self._request_known_controls(address)
                else:
                    self.poll([address])
            self.poll([member.internal for member in self._view.controls()])
            await self._context.clock.sleep(DISCOVERY_INTERVAL_S)

    async def _request_known_controls(self, router: Address) -> None:
        known = await request_known_controls(self._messenger, router, self._options.answer_timeout_s)
        if known is not None:
            self.poll(known.controls)
            self._observed.observe(known.epoch, known.version)

    # -- requests

    async def _poll_forever(self, peer: CoordinatorPeer) -> None:
        """Requests the sessions of one other coordinator repeatedly, until the peer is evicted."""
        while (delay_s := await self._poll_once(peer)) is not None:
            await self._context.clock.sleep(delay_s)

    async def _poll_once(self, peer: CoordinatorPeer) -> Seconds | None:
        """Returns the time until the next request, or None if the peer was evicted."""
        clock = self._context.clock
        requested_at = clock.monotonic()
        unreachable = self._unreachable(peer, requested_at)
        wait_s = Seconds(0.0) if unreachable else self._options.poll_wait_s
        known = checksum(self._peers.live_addresses(requested_at))
        outcome = await self._messenger.call(
            peer.address,
            SessionsRequest(peer.position(), wait_s, known, unreachable),
            SessionsReport,
            Seconds(self._options.poll_wait_s + self._options.answer_timeout_s),
        )
        if not isinstance(outcome, Success):
            return self._handle_no_answer(peer, outcome.failure(), requested_at)
        self._apply_answer(peer, outcome.unwrap(), requested_at)
        min_interval_s = self._options.retry_backoff_s if unreachable else self._options.coalescing_delay_s
        return Seconds(max(0.0, requested_at + min_interval_s - clock.monotonic()))

    def _apply_answer(self, peer: CoordinatorPeer, report: SessionsReport, requested_at: Instant) -> None:
        self._reports.apply_direct(peer, report, requested_at)
        self.poll(report.coordinators)
        for relayed in report.relayed:
            self._reports.apply_relayed(relayed, requested_at)

    def _handle_no_answer(
        self, peer: CoordinatorPeer, fault: TransportFailure, requested_at: Instant
    ) -> Seconds | None:
        """Returns the time until the next request, or None if the peer was evicted.

        Seeds that are not coordinators are evicted, as are other peers that have been unresponsive for very long.
        """
        if fault.kind == "rejected" and peer.address in self._seeds:
            self._router_seeds.add(peer.address)
            self._peers.evict(peer.address)
            return None
        report_age_s = peer.report_age_s(requested_at)
        if report_age_s > self._options.evict_after_s and peer.address not in self._seeds:
            self._peers.evict(peer.address)
            return None
        backoff_s = self._options.retry_backoff_s * (1 if report_age_s < self._options.slow_retry_after_s else 4)
        return Seconds(backoff_s * (0.8 + 0.4 * self._context.random.random()))

    def _unreachable(self, polled_peer: CoordinatorPeer, now: Instant) -> tuple[UnreachableCoordinator, ...]:
        """Returns the peers to ask the polled one for.

        Those that became unresponsive recently are included in each request, others at intervals.
        """
        unreachable = []
        for peer in self._peers.all():
            if peer is polled_peer or peer.direct_answer_age_s(now) <= self._options.unreachable_after_s:
                continue
            recent = peer.report_age_s(now) <= 2 * self._options.session_timeout_s
            if recent or peer.inquired_at is None or now - peer.inquired_at > self._options.inquiry_interval_s:
                unreachable.append(UnreachableCoordinator(peer.address, peer.position()))
                if not recent:
                    peer.inquired_at = now
        return tuple(unreachable)
