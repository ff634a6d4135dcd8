"""What all parts of a session keeper stand on: sessions, peers, and the union of all (docs/DESIGN.md section 8).

``OwnSessions``, ``KeeperFollowing`` and ``KeeperAnswers`` are the parts of one ``SessionKeeper`` on top of this.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from zlib import crc32

from ..context.protocols import Context, Task
from ..identifiers import Address, BundleVersion, Incarnation, Instant
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .keeper_peer import KeeperPeer
from .limits import SessionTimes
from .member_list import MemberList, NamedView
from .messages import News


class Session:
    """One daemon's session here."""

    def __init__(self, identity: Identity, renewed: Instant) -> None:
        self.identity = identity
        self.renewed = renewed


class KeeperState:
    """A daemon is a member while any keeper holds a session of it, as far as this keeper knows."""

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
        self._life = f"{context.random.getrandbits(48):012x}"
        """Of this process: its numbers mean nothing after a restart, though the incarnation stays."""
        self._sessions: dict[Incarnation, Session] = {}
        self._own = MemberList()
        """Of the sessions here, and this keeper itself."""
        self._union = MemberList()
        self._view = NamedView(self._union)
        self._peers: dict[Address, KeeperPeer] = {}
        self._news: Callable[[], News] = News
        self._version: Callable[[], BundleVersion] = lambda: BundleVersion(0)
        self._callbacks: list[Callable[[], None]] = []
        self._next_change: asyncio.Future[None] | None = None
        """Of the own sessions; other keepers wait for it."""
        self._heard_of_history = False
        self._trusted_from = Instant(context.clock.monotonic() + self._times.settle)
        self._alone = False
        self._tasks: list[Task] = []

    def settling(self) -> bool:
        return self._now() < self._trusted_from

    def _now(self) -> Instant:
        return self._context.clock.monotonic()

    def _distrust(self, now: Instant) -> None:
        """What is known here counts as incomplete until daemons and peers had time to be heard again."""
        self._trusted_from = max(self._trusted_from, Instant(now + self._times.settle))

    def _live_keepers(self) -> tuple[Address, ...]:
        now = self._now()
        heard = [
            address
            for address, peer in self._peers.items()
            if peer.heard is not None and now - peer.heard <= self._times.lost
        ]
        return tuple(sorted([self._own_identity.internal, *heard]))

    def _recount(self, *incarnations: Incarnation) -> None:
        """Works out anew whether those daemons are members."""
        changed = False
        for incarnation in incarnations:
            identity = self._holder_told(incarnation)
            changed |= self._union.drop(incarnation) if identity is None else self._union.put(identity)
        if changed:
            for callback in self._callbacks:
                callback()

    def _holder_told(self, incarnation: Incarnation) -> Identity | None:
        """The daemon as this keeper, or else any other, holds it."""
        identity = self._own.get(incarnation)
        if identity is None:
            found = (peer.held(incarnation) for peer in self._peers.values())
            identity = next((entry for entry in found if entry is not None), None)
        return identity

    def _own_changed(self) -> None:
        waiting, self._next_change = self._next_change, None
        if waiting is not None and not waiting.done():
            waiting.set_result(None)


def checksum(addresses: Sequence[Address]) -> int:
    return crc32(" ".join(map(str, addresses)).encode())
