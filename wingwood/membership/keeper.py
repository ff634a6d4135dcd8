"""Sessions on a control daemon, and what control daemons tell each other of them (docs/DESIGN.md section 8)."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ..context.protocols import Context
from ..identifiers import Address, BundleVersion, Incarnation, Instant, Seconds
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .keeper_answers import KeeperAnswers
from .keeper_peer import KeeperPeer
from .limits import SessionTimes
from .messages import (
    AskKnownControls,
    AskSessions,
    CompareMembers,
    EndSession,
    Heartbeat,
    KnownControls,
    News,
)
from .own_sessions import OwnSessions

FELLOWS_TOLD = 8
STALL = Seconds(0.6)
"""A sweep that comes later than this means that the process stood still."""


class SessionKeeper(OwnSessions, KeeperAnswers):
    """A control daemon's part in membership; implements ``Membership`` for that daemon itself."""

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
        messenger.on_call(AskKnownControls, self._on_ask_known_controls)
        messenger.on_call(AskSessions, self._on_ask_sessions)
        messenger.on_post(EndSession, self._on_end_session)

    # -- wiring

    def tell(self, news: Callable[[], News], version: Callable[[], BundleVersion] | None = None) -> None:
        """What to put into heartbeat answers; ``version``: the newest bundle this daemon has seen."""
        self._news = news
        self._version = version or (lambda: news().newest)

    def start(self) -> None:
        self._trusted_from = Instant(self._now() + self._times.settle)
        self._own.put(self._own_identity)
        self._recount(self._own_identity.incarnation)
        spawn = self._context.tasks.spawn
        self._tasks = [
            spawn("membership sweep", self._sweep_forever()),
            spawn("membership peers", self._find_peers_forever()),
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
        return incarnation in self._union

    def session_proven_at(self) -> Instant | None:
        """When another keeper last answered; a lone keeper proves nothing."""
        heard = [peer.heard_directly for peer in self._peers.values() if peer.heard_directly is not None]
        return max(heard, default=None)

    def on_change(self, callback: Callable[[], None]) -> None:
        self._callbacks.append(callback)

    # -- for health, roll-outs and the control core

    def knows_of_history(self) -> bool:
        """Whether a control core has been formed before, as far as daemons heard here know.

        True also while settling: daemons that know may not have found this keeper yet.
        """
        return self._heard_of_history or self.settling()

    def learn(self, controls: Sequence[Address]) -> None:
        """Of control daemons that may be there."""
        self._learn(list(controls))

    def known_controls(self) -> list[Address]:
        """Control daemons heard of, live ones first."""
        heard = sorted((peer for peer in self._peers.values() if peer.identity is not None), key=_longest_silent_last)
        return list(dict.fromkeys([self._own_identity.internal, *(peer.address for peer in heard)]))

    def use_seeds(self, seeds: Sequence[Address]) -> None:
        """Other addresses to look for fellows at; those already known stay known."""
        self._seeds = tuple(seeds)

    async def _on_ask_known_controls(self, peer: Identity, message: AskKnownControls) -> KnownControls:
        news = self._news()
        fellows = [member.internal for member in self.routers() if member.incarnation != peer.incarnation]
        return KnownControls(
            tuple(self.known_controls()), tuple(fellows[:FELLOWS_TOLD]), news.epoch, max(news.newest, self._version())
        )

    # -- silence: of daemons, of other keepers, and its own

    async def _sweep_forever(self) -> None:
        last = self._now()
        while True:
            await self._context.clock.sleep(self._times.sweep)
            now = self._now()
            if now - last > STALL:
                self._stood_still(Seconds(now - last), now)
            last = now
            self._look_whether_alone(now)
            self._sweep_sessions(now)
            for peer in self._peers.values():
                self._sweep_peer(peer, now)

    def _stood_still(self, seconds: Seconds, now: Instant) -> None:
        """Nobody could reach this process: what it holds is old, but the silence is its own."""
        self._context.log.event("keeper-stood-still", seconds=seconds)
        self._distrust(now)
        self._excuse_sessions(seconds)
        self._excuse_peers(seconds)

    def _look_whether_alone(self, now: Instant) -> None:
        """Hearing less than half of the keepers heard lately, this one takes the silence for its own."""
        ages = [now - peer.heard for peer in self._peers.values() if peer.heard is not None]
        lately = 1 + sum(age <= self._times.missed for age in ages)
        heard = 1 + sum(age <= self._times.lost for age in ages)
        alone = 2 * heard <= lately
        if alone or self._alone:
            self._distrust(now)
        if alone != self._alone:
            self._alone = alone
            self._context.log.event("keeper-alone" if alone else "keeper-together", heard=heard, lately=lately)


def _longest_silent_last(peer: KeeperPeer) -> float:
    return -(peer.heard if peer.heard is not None else float("-inf"))
