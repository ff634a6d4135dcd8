"""Membership on a control daemon: sessions and their exchange with other coordinators (docs/DESIGN.md section 8)."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ..context.protocols import Context
from ..identifiers import Address, BundleVersion, Incarnation, Instant, Seconds
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .coordinator_peer import CoordinatorPeer
from .coordinator_replies import CoordinatorReplies
from .limits import SessionTimes
from .local_sessions import LocalSessions
from .messages import (
    ClusterUpdate,
    CompareMembers,
    EndSession,
    Heartbeat,
    KnownControls,
    KnownControlsRequest,
    SessionsRequest,
)

MAX_PEERS_PER_ANSWER = 8
STALL_THRESHOLD_S = Seconds(0.6)
"""When a sweep is later than this, the process was suspended."""


class MembershipCoordinator(LocalSessions, CoordinatorReplies):
    """A control daemon's part in membership; also implements ``Membership`` for that daemon itself."""

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        seeds: Sequence[Address],
        times: SessionTimes | None = None,
    ) -> None:
        super().__init__(context, messenger, seeds, times)
        messenger.on_call(Heartbeat, self._on_heartbeat)
        messenger.on_call(CompareMembers, self._on_compare)
        messenger.on_call(KnownControlsRequest, self._on_ask_known_controls)
        messenger.on_call(SessionsRequest, self._on_ask_sessions)
        messenger.on_post(EndSession, self._on_end_session)

    # -- wiring

    def set_update_source(
        self, update: Callable[[], ClusterUpdate], version: Callable[[], BundleVersion] | None = None
    ) -> None:
        """Sets the functions that return the content of heartbeat answers.

        ``version`` returns the latest bundle version that this daemon has seen.
        """
        self._update_source = update
        self._seen_version_source = version or (lambda: update().latest_version)

    def start(self) -> None:
        self._trusted_from = Instant(self._now() + self._times.settling_period)
        self._local_members.put(self._own_identity)
        self._update_membership(self._own_identity.incarnation)
        spawn = self._context.tasks.spawn
        self._tasks = [
            spawn("membership sweep", self._sweep_periodically()),
            spawn("membership peers", self._discover_peers()),
        ]

    def stop(self) -> None:
        for task in self._tasks:
            task.cancel()

    # -- Membership

    def members(self) -> Sequence[Identity]:
        return self._view.members()

    def routers(self) -> Sequence[Identity]:
        return self._view.of_role("router")

    def controls(self) -> Sequence[Identity]:
        return self._view.of_role("control")

    def is_member(self, incarnation: Incarnation) -> bool:
        return incarnation in self._all_members

    def session_proven_at(self) -> Instant | None:
        """Returns when another coordinator last answered; a coordinator without others proves nothing."""
        answered_at = [peer.last_direct_at for peer in self._peers.values() if peer.last_direct_at is not None]
        return max(answered_at, default=None)

    def on_change(self, callback: Callable[[], None]) -> None:
        self._change_callbacks.append(callback)

    # -- for health, roll-outs and the control core

    def knows_of_history(self) -> bool:
        """Returns whether a control core has been formed before, as far as the daemons in contact with this one know.

        Also returns True while settling, since daemons that know of one may not have reached this coordinator yet.
        """
        return self._core_was_formed or self.settling()

    def add_controls(self, controls: Sequence[Address]) -> None:
        """Starts polling control daemons that may exist at these addresses."""
        self._add_peers(list(controls))

    def known_controls(self) -> list[Address]:
        """Returns the addresses of the known control daemons, those with the latest reports first."""
        known = sorted((peer for peer in self._peers.values() if peer.identity is not None), key=_silence_order)
        return list(dict.fromkeys([self._own_identity.internal, *(peer.address for peer in known)]))

    def use_seeds(self, seeds: Sequence[Address]) -> None:
        """Replaces the seeds at which other coordinators are looked for; known coordinators are retained."""
        self._seeds = tuple(seeds)

    async def _on_ask_known_controls(self, peer: Identity, message: KnownControlsRequest) -> KnownControls:
        update = self._update_source()
        peers = [member.internal for member in self.routers() if member.incarnation != peer.incarnation]
        return KnownControls(
            tuple(self.known_controls()),
            tuple(peers[:MAX_PEERS_PER_ANSWER]),
            update.epoch,
            max(update.latest_version, self._seen_version_source()),
        )

    # -- silence of daemons, of other coordinators, and stalls of this process

    async def _sweep_periodically(self) -> None:
        last = self._now()
        while True:
            await self._context.clock.sleep(self._times.sweep_interval)
            now = self._now()
            if now - last > STALL_THRESHOLD_S:
                self._handle_stall(Seconds(now - last), now)
            last = now
            self._check_isolation(now)
            self._sweep_sessions(now)
            for peer in self._peers.values():
                self._sweep_peer(peer, now)

    def _handle_stall(self, seconds: Seconds, now: Instant) -> None:
        """Handles a stall of this process.

        Nobody could reach the process, so its data is old; the silence of daemons and peers is not counted.
        """
        self._context.log.event("keeper-stood-still", seconds=seconds)
        self._mark_incomplete(now)
        self._extend_sessions(seconds)
        self._extend_peers(seconds)

    def _check_isolation(self, now: Instant) -> None:
        """Detects whether this coordinator is isolated.

        If it has reports from at most half of the recently reporting coordinators (itself included), it attributes the
        silence to its own connection.
        """
        ages = [now - peer.last_report_at for peer in self._peers.values() if peer.last_report_at is not None]
        recently_reporting = 1 + sum(age <= self._times.isolation_window for age in ages)
        reporting = 1 + sum(age <= self._times.session_timeout for age in ages)
        isolated = 2 * reporting <= recently_reporting
        if isolated or self._isolated:
            self._mark_incomplete(now)
        if isolated != self._isolated:
            self._isolated = isolated
            self._context.log.event(
                "keeper-alone" if isolated else "keeper-together", heard=reporting, lately=recently_reporting
            )


def _silence_order(peer: CoordinatorPeer) -> float:
    return -(peer.last_report_at if peer.last_report_at is not None else float("-inf"))
