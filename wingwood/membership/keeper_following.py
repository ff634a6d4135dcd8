"""How a session keeper finds the others and keeps up with their sessions (docs/DESIGN.md section 8)."""

from __future__ import annotations

from collections.abc import Sequence

from returns.result import Success

from ..context.protocols import Context
from ..identifiers import Address, Incarnation, Instant, Seconds
from ..transport.messenger import Messenger, TransportFault
from .keeper_peer import KeeperPeer
from .keeper_state import KeeperState, checksum
from .limits import SessionTimes
from .messages import AskKnownControls, AskSessions, KnownControls, SessionsTold, Unheard

FIND_EVERY = Seconds(1.0)


class KeeperFollowing(KeeperState):
    """Asks each other keeper for its sessions, again and again, and after those that are not heard."""

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        seeds: Sequence[Address],
        times: SessionTimes | None = None,
    ) -> None:
        super().__init__(context, messenger, seeds, times)
        self._not_keepers: dict[Address, Instant] = {}
        """Seeds that are routers, and when that was found."""

    # -- finding

    async def _find_peers_forever(self) -> None:
        """Seeds may be routers: these know control daemons. Members that are control daemons are followed."""
        while True:
            for address in self._seeds:
                if address in self._not_keepers:
                    await self._ask_known_controls(address)
                else:
                    self._learn([address])
            self._learn([member.internal for member in self._view.of_role("control")])
            await self._context.clock.sleep(FIND_EVERY)

    async def _ask_known_controls(self, router: Address) -> None:
        asked = await self._messenger.call(router, AskKnownControls(), KnownControls, self._times.answer)
        if isinstance(asked, Success):
            known: KnownControls = asked.unwrap()
            self._learn(known.controls)
            self._heard_of_history |= known.version > 0 or known.epoch > 0

    def _learn(self, addresses: Sequence[Address]) -> None:
        """Of keepers that may be there; each is followed from now on."""
        for address in addresses:
            if address == self._own_identity.internal or address in self._peers:
                continue
            peer = self._peers[address] = KeeperPeer(address, self._now())
            self._tasks.append(self._context.tasks.spawn(f"keeper {address}", self._follow_forever(peer)))

    # -- asking

    async def _follow_forever(self, peer: KeeperPeer) -> None:
        """One task for each other keeper: asks it for its sessions, again and again, until it is forgotten."""
        while (pause := await self._follow_once(peer)) is not None:
            await self._context.clock.sleep(pause)

    async def _follow_once(self, peer: KeeperPeer) -> Seconds | None:
        """Gives how long to wait until the next question; None: the peer was forgotten."""
        asked = self._now()
        unheard = self._unheard(peer, asked)
        wait = Seconds(0.0) if unheard else self._times.keeper_poll
        outcome = await self._messenger.call(
            peer.address,
            AskSessions(peer.position(), wait, checksum(self._live_keepers()), unheard),
            SessionsTold,
            Seconds(self._times.keeper_poll + self._times.answer),
        )
        if not isinstance(outcome, Success):
            return self._note_silence(peer, outcome.failure(), asked)
        self._take_answer(peer, outcome.unwrap(), asked)
        least = self._times.retry if unheard else self._times.coalesce
        return Seconds(max(0.0, asked + least - self._now()))

    def _take_answer(self, peer: KeeperPeer, told: SessionsTold, asked: Instant) -> None:
        peer.heard_directly = asked
        self._take(peer, told, asked)
        self._learn(told.keepers)
        for relayed in told.relayed:
            self._take_relayed(relayed, asked)

    def _note_silence(self, peer: KeeperPeer, fault: TransportFault, asked: Instant) -> Seconds | None:
        """Forgets what is no keeper, and keepers silent for very long; seeds are never forgotten."""
        if fault.kind == "rejected" and peer.address in self._seeds:
            self._not_keepers[peer.address] = asked
            del self._peers[peer.address]
            return None
        silent = peer.silence(asked)
        if silent > self._times.forget and peer.address not in self._seeds:
            del self._peers[peer.address]
            return None
        pause = self._times.retry if silent < self._times.patient else 4 * self._times.retry
        return Seconds(pause * (0.8 + 0.4 * self._context.random.random()))

    def _unheard(self, asked_peer: KeeperPeer, now: Instant) -> tuple[Unheard, ...]:
        """Whom to ask after: soon after the silence began at once, later now and then."""
        found = []
        for peer in self._peers.values():
            if peer is asked_peer or peer.direct_silence(now) <= self._times.unheard:
                continue
            often = peer.silence(now) <= 2 * self._times.lost
            if often or peer.asked_after is None or now - peer.asked_after > self._times.ask_after:
                found.append(Unheard(peer.address, peer.position()))
                if not often:
                    peer.asked_after = now
        return tuple(found)

    # -- taking what was told

    def _take_relayed(self, told: SessionsTold, asked: Instant) -> None:
        peer = self._peers.get(told.keeper.internal)
        heard = Instant(asked - told.age)
        if peer is not None and (peer.heard is None or heard > peer.heard):
            self._take(peer, told, heard)

    def _take(self, peer: KeeperPeer, told: SessionsTold, heard: Instant) -> None:
        peer.identity = told.keeper
        peer.heard = heard if peer.heard is None else max(peer.heard, heard)
        if not peer.is_late(told):
            self._recount(*peer.take(told, Instant(heard + self._times.grace)))

    # -- silent peers

    def _sweep_peer(self, peer: KeeperPeer, now: Instant) -> None:
        self._recount(*peer.drop_orphans(now))
        if peer.heard is None or not len(peer.sessions):
            return
        silent = now - peer.heard
        if silent > self._times.grace:
            self._forget(peer, peer.sessions.incarnations())
            peer.life = ""
            self._context.log.event("keeper-sessions-dropped", keeper=peer.address)
        elif silent > self._times.lost and peer.identity is not None:
            self._forget(peer, [peer.identity.incarnation])

    def _forget(self, peer: KeeperPeer, incarnations: Sequence[Incarnation]) -> None:
        gone = peer.drop(incarnations)
        if gone:
            peer.life = ""
            self._recount(*gone)

    def _excuse_peers(self, seconds: Seconds) -> None:
        """This process stood still for so long: the silence was its own."""
        for peer in self._peers.values():
            if peer.heard is not None:
                peer.heard = Instant(peer.heard + seconds)
