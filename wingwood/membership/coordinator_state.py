"""State common to all parts of a coordinator: sessions, peers and all members (docs/DESIGN.md section 8).

``LocalSessions``, ``PeerPolling`` and ``CoordinatorReplies`` derive from it and form ``MembershipCoordinator``.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from zlib import crc32

from ..context.protocols import Context, Task
from ..identifiers import Address, BundleVersion, Incarnation, Instant
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .coordinator_peer import CoordinatorPeer
from .limits import SessionTimes
from .member_list import MemberList, NamedView
from .messages import ClusterUpdate


class Session:
    """One daemon's session at this coordinator."""

    def __init__(self, identity: Identity, renewed_at: Instant) -> None:
        self.identity = identity
        self.renewed_at = renewed_at


class CoordinatorState:
    """A daemon is a member while any coordinator holds a session of it, according to the reports received here."""

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        seeds: Sequence[Address],
        times: SessionTimes | None = None,
    ) -> None:
        self._context = context
        self._messenger = messenger
        self._own_identity = messenger.identity
        self._seeds = tuple(seeds)
        self._times = times or SessionTimes()
        self._run_id = f"{context.random.getrandbits(48):012x}"
        """Identifies this process run: sequence numbers start again after a restart, while the incarnation stays."""
        self._local_sessions: dict[Incarnation, Session] = {}
        self._local_members = MemberList()
        """The daemons with a session here, and this coordinator itself."""
        self._all_members = MemberList()
        self._view = NamedView(self._all_members)
        self._peers: dict[Address, CoordinatorPeer] = {}
        self._update_source: Callable[[], ClusterUpdate] = ClusterUpdate
        self._seen_version_source: Callable[[], BundleVersion] = lambda: BundleVersion(0)
        self._change_callbacks: list[Callable[[], None]] = []
        self._next_change: asyncio.Future[None] | None = None
        """Completed at the next change of the local sessions; other coordinators' requests wait for it."""
        self._core_was_formed = False
        self._trusted_from = Instant(context.clock.monotonic() + self._times.settling_period)
        self._isolated = False
        self._tasks: list[Task] = []

    def settling(self) -> bool:
        return self._now() < self._trusted_from

    def _now(self) -> Instant:
        return self._context.clock.monotonic()

    def _mark_incomplete(self, now: Instant) -> None:
        """Treats the local data as incomplete until daemons and peers have had time to report again."""
        self._trusted_from = max(self._trusted_from, Instant(now + self._times.settling_period))

    def _live_coordinators(self) -> tuple[Address, ...]:
        now = self._now()
        reporting = [
            address
            for address, peer in self._peers.items()
            if peer.last_report_at is not None and now - peer.last_report_at <= self._times.session_timeout
        ]
        return tuple(sorted([self._own_identity.internal, *reporting]))

    def _update_membership(self, *incarnations: Incarnation) -> None:
        """Recomputes whether the daemons are members."""
        changed = False
        for incarnation in incarnations:
            identity = self._reported_identity(incarnation)
            changed |= self._all_members.drop(incarnation) if identity is None else self._all_members.put(identity)
        if changed:
            for callback in self._change_callbacks:
                callback()

    def _reported_identity(self, incarnation: Incarnation) -> Identity | None:
        """Returns the daemon's identity from the local sessions, or else from another coordinator's report."""
        identity = self._local_members.get(incarnation)
        if identity is None:
            found = (peer.identity_of_session(incarnation) for peer in self._peers.values())
            identity = next((entry for entry in found if entry is not None), None)
        return identity

    def _notify_local_change(self) -> None:
        waiting, self._next_change = self._next_change, None
        if waiting is not None and not waiting.done():
            waiting.set_result(None)


def checksum(addresses: Sequence[Address]) -> int:
    return crc32(" ".join(map(str, addresses)).encode())
