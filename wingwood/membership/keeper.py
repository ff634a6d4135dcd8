"""Sessions on a control daemon, and what control daemons tell each other of them (docs/DESIGN.md section 8)."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Sequence
from zlib import crc32

from returns.result import Success

from ..context.protocols import Context, Task
from ..identifiers import Address, BundleVersion, Incarnation, Instant, Seconds
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .limits import SessionTimes
from .member_list import Changes, MemberList, NamedView
from .messages import (
    AskKnownControls,
    AskSessions,
    CompareMembers,
    EndSession,
    Heartbeat,
    HeartbeatAnswer,
    KnownControls,
    MembersCompared,
    News,
    Position,
    SessionsTold,
    Unheard,
    identity_of,
    member_of,
)

FELLOWS_TOLD = 8
STALL = Seconds(0.6)
"""A sweep that comes later than this means that the process stood still."""


class _Session:
    """One daemon's session here."""

    def __init__(self, identity: Identity, renewed: Instant) -> None:
        self.identity = identity
        self.renewed = renewed


class _Peer:
    """What is known of another session keeper's sessions."""

    def __init__(self, address: Address, known_since: Instant) -> None:
        self.address = address
        self.known_since = known_since
        self.settling = False
        self.identity: Identity | None = None
        self.life = ""
        self.sessions = MemberList(remembered=0)
        self.sequence = 0
        self.heard: Instant | None = None
        """Own clock before the question whose answer came last, by whatever way."""
        self.heard_directly: Instant | None = None
        self.asked_after: Instant | None = None
        self.orphans: dict[Incarnation, tuple[Identity, Instant]] = {}
        """Sessions of a former life of that keeper, and until when they are kept."""

    def position(self) -> Position | None:
        return Position(self.life, self.sequence) if self.life else None

    def held(self, incarnation: Incarnation) -> Identity | None:
        identity = self.sessions.get(incarnation)
        if identity is None and incarnation in self.orphans:
            identity = self.orphans[incarnation][0]
        return identity


class SessionKeeper:
    """A control daemon's part in membership; implements ``Membership`` for that daemon itself."""

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
        self._sessions: dict[Incarnation, _Session] = {}
        self._own = MemberList()
        self._union = MemberList()
        self._peers: dict[Address, _Peer] = {}
        self._not_keepers: dict[Address, Instant] = {}
        self._news: Callable[[], News] = News
        self._version: Callable[[], BundleVersion] = lambda: BundleVersion(0)
        self._callbacks: list[Callable[[], None]] = []
        self._next_change: asyncio.Future[None] | None = None
        self._heard_of_history = False
        self._trusted_from = Instant(context.clock.monotonic() + self._times.settle)
        self._alone = False
        self._tasks: list[Task] = []
        self._stopped = False
        self._view = NamedView(self._union)
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
        self._trusted_from = Instant(self._context.clock.monotonic() + self._times.settle)
        self._own.put(self._own_identity)
        self._recount(self._own_identity.incarnation)
        spawn = self._context.tasks.spawn
        self._tasks = [
            spawn("membership sweep", self._sweep_forever()),
            spawn("membership peers", self._find_peers_forever()),
        ]

    def stop(self) -> None:
        self._stopped = True
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

    def settling(self) -> bool:
        return self._context.clock.monotonic() < self._trusted_from

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
        heard = sorted((peer for peer in self._peers.values() if peer.identity is not None), key=_silence)
        return list(dict.fromkeys([self._own_identity.internal, *(peer.address for peer in heard)]))

    def use_seeds(self, seeds: Sequence[Address]) -> None:
        """Other addresses to look for fellows at; those already known stay known."""
        self._seeds = tuple(seeds)

    # -- answers to daemons

    async def _on_heartbeat(self, peer: Identity, message: Heartbeat) -> HeartbeatAnswer:
        now = self._context.clock.monotonic()
        was_member = peer.incarnation in self._union
        self._heard_of_history |= message.version > 0 or message.epoch > 0
        admitted = self._renew(peer, message, now, was_member)
        position = message.position
        changes = None
        if position is not None and position.life == self._life:
            changes = self._union.changes_since(position.sequence, self._times.told_at_once)
        upto = self._union.sequence if changes is None else changes.upto
        return HeartbeatAnswer(
            position=Position(self._life, upto),
            size=len(self._union),
            digest=self._union.digest,
            news=self._news(),
            was_member=was_member,
            admitted=admitted,
            settling=now < self._trusted_from,
            alone=self._alone,
            known=changes is not None,
            more=upto < self._union.sequence,
            joined=() if changes is None else tuple(map(member_of, changes.joined)),
            left=() if changes is None else changes.left,
        )

    def _renew(self, peer: Identity, message: Heartbeat, now: Instant, was_member: bool) -> bool:
        """A heartbeat counts for the time at which the sender last heard an answer: a deaf daemon is no member."""
        if message.unanswered is None:
            return False
        deaf = max(0.0, message.unanswered - self._times.heartbeat)
        session = self._sessions.get(peer.incarnation)
        if deaf >= (self._times.lost / 2 if session is None else self._times.lost):
            return False
        renewed = Instant(now - deaf)
        if session is None:
            session = self._sessions[peer.incarnation] = _Session(peer, renewed)
            self._context.log.event("session-begun", member=peer.name, was_member=was_member)
            self._supersede(peer)
        session.identity = peer
        session.renewed = max(session.renewed, renewed)
        if self._own.put(peer):
            self._own_changed()
            self._recount(peer.incarnation)
        return True

    async def _on_compare(self, peer: Identity, message: CompareMembers) -> MembersCompared:
        count = max(1, len(message.buckets))
        own = self._union.buckets(count)
        differing = [index for index in range(count) if message.buckets[index : index + 1] != (own[index],)]
        told = differing[: max(1, count * self._times.told_at_once // max(1, len(self._union)))]
        return MembersCompared(
            Position(self._life, self._union.sequence),
            self.settling(),
            len(told) < len(differing),
            tuple(told),
            tuple(map(member_of, self._union.in_buckets(told, count))),
        )

    async def _on_ask_known_controls(self, peer: Identity, message: AskKnownControls) -> KnownControls:
        news = self._news()
        fellows = [member.internal for member in self.routers() if member.incarnation != peer.incarnation]
        return KnownControls(
            tuple(self.known_controls()), tuple(fellows[:FELLOWS_TOLD]), news.epoch, max(news.newest, self._version())
        )

    def _on_end_session(self, peer: Identity, message: EndSession) -> None:
        if peer.incarnation in self._sessions:
            self._end_session(peer.incarnation, "stopped")

    def _supersede(self, peer: Identity) -> None:
        """A new process at an address: the one that listened there before is gone."""
        for incarnation, session in list(self._sessions.items()):
            if incarnation != peer.incarnation and session.identity.internal == peer.internal:
                self._end_session(incarnation, "superseded")

    def _end_session(self, incarnation: Incarnation, reason: str) -> None:
        session = self._sessions.pop(incarnation)
        self._context.log.event("session-ended", member=session.identity.name, reason=reason)
        if self._own.drop(incarnation):
            self._own_changed()
            self._recount(incarnation)

    # -- the union of all keepers' sessions

    def _recount(self, *incarnations: Incarnation) -> None:
        """Works out anew whether those daemons are members."""
        changed = False
        for incarnation in incarnations:
            identity = self._own.get(incarnation)
            if identity is None:
                found = (peer.held(incarnation) for peer in self._peers.values())
                identity = next((entry for entry in found if entry is not None), None)
            changed |= self._union.drop(incarnation) if identity is None else self._union.put(identity)
        if changed:
            for callback in self._callbacks:
                callback()

    def _own_changed(self) -> None:
        waiting, self._next_change = self._next_change, None
        if waiting is not None and not waiting.done():
            waiting.set_result(None)

    async def _sweep_forever(self) -> None:
        last = self._context.clock.monotonic()
        while True:
            await self._context.clock.sleep(self._times.sweep)
            now = self._context.clock.monotonic()
            if now - last > STALL:
                self._stood_still(Seconds(now - last), now)
            last = now
            self._look_whether_alone(now)
            self._sweep(now)

    def _stood_still(self, seconds: Seconds, now: Instant) -> None:
        """Nobody could reach this process: what it holds is old, but the silence is its own."""
        self._context.log.event("keeper-stood-still", seconds=seconds)
        self._trusted_from = max(self._trusted_from, Instant(now + self._times.settle))
        for session in self._sessions.values():
            session.renewed = Instant(session.renewed + seconds)
        for peer in self._peers.values():
            if peer.heard is not None:
                peer.heard = Instant(peer.heard + seconds)

    def _sweep(self, now: Instant) -> None:
        quiet = [session for session in self._sessions.values() if now - session.renewed > self._times.lost / 2]
        listening = Counter(member.internal for member in self._union.identities()) if quiet else Counter()
        for session in quiet:
            if now - session.renewed > self._times.lost:
                self._end_session(session.identity.incarnation, "lost")
            elif listening[session.identity.internal] > 1:  # Another keeper holds a new process at that address.
                self._end_session(session.identity.incarnation, "superseded")
        for peer in self._peers.values():
            over = [incarnation for incarnation, (_, until) in peer.orphans.items() if now > until]
            for incarnation in over:
                del peer.orphans[incarnation]
            self._recount(*over)
            if peer.heard is None or not len(peer.sessions):
                continue
            silent = now - peer.heard
            if silent > self._times.grace:
                self._forget(peer, peer.sessions.incarnations())
                peer.life = ""
                self._context.log.event("keeper-sessions-dropped", keeper=peer.address)
            elif silent > self._times.lost and peer.identity is not None:
                self._forget(peer, [peer.identity.incarnation])

    def _forget(self, peer: _Peer, incarnations: Sequence[Incarnation]) -> None:
        gone = [incarnation for incarnation in incarnations if peer.sessions.drop(incarnation)]
        if gone:
            peer.life = ""
            self._recount(*gone)

    # -- what keepers tell each other

    async def _on_ask_sessions(self, peer: Identity, message: AskSessions) -> SessionsTold:
        self._learn([peer.internal])
        position = message.position
        if position == Position(self._life, self._own.sequence):
            if self._next_change is None:
                self._next_change = asyncio.get_running_loop().create_future()
            try:
                async with asyncio.timeout(min(message.wait, self._times.keeper_poll)):
                    await asyncio.shield(self._next_change)
                await self._context.clock.sleep(self._times.coalesce)
            except TimeoutError:
                pass
        keepers = self._live_keepers()
        return self._told(position, message.unheard, () if checksum(keepers) == message.keepers else keepers)

    def _live_keepers(self) -> tuple[Address, ...]:
        now = self._context.clock.monotonic()
        heard = [
            address
            for address, peer in self._peers.items()
            if peer.heard is not None and now - peer.heard <= self._times.lost
        ]
        return tuple(sorted([self._own_identity.internal, *heard]))

    def _told(
        self, position: Position | None, unheard: Sequence[Unheard], keepers: tuple[Address, ...]
    ) -> SessionsTold:
        changes = None
        if position is not None and position.life == self._life:
            changes = self._own.changes_since(position.sequence)
        whole = changes is None
        changes = changes or Changes(self._own.sequence, tuple(self._own.identities()), ())
        return SessionsTold(
            keeper=self._own_identity,
            position=Position(self._life, self._own.sequence),
            digest=self._own.digest,
            whole=whole,
            settling=self.settling(),
            joined=tuple(map(member_of, changes.joined)),
            left=changes.left,
            relayed=tuple(self._relay(unheard)),
            keepers=keepers,
        )

    def _relay(self, unheard: Sequence[Unheard]) -> list[SessionsTold]:
        """What this keeper has heard itself of keepers that the asker can't reach."""
        now = self._context.clock.monotonic()
        told = []
        for wanted in unheard:
            peer = self._peers.get(wanted.address)
            if peer is None or not peer.life or peer.identity is None or peer.heard_directly is None:
                continue
            same = peer.position() == wanted.position
            told.append(
                SessionsTold(
                    keeper=peer.identity,
                    position=Position(peer.life, peer.sequence),
                    digest=peer.sessions.digest,
                    whole=not same,
                    joined=() if same else tuple(map(member_of, peer.sessions.identities())),
                    left=(),
                    settling=peer.settling,
                    age=Seconds(now - peer.heard_directly),
                )
            )
        return told

    def _learn(self, addresses: Sequence[Address]) -> None:
        for address in addresses:
            if address == self._own_identity.internal or address in self._peers:
                continue
            self._peers[address] = _Peer(address, self._context.clock.monotonic())
            self._tasks.append(
                self._context.tasks.spawn(f"keeper {address}", self._follow_forever(self._peers[address]))
            )

    async def _find_peers_forever(self) -> None:
        """Seeds may be routers: these know control daemons. Members that are control daemons are followed."""
        while True:
            for address in self._seeds:
                if address in self._not_keepers:
                    asked = await self._messenger.call(address, AskKnownControls(), KnownControls, self._times.answer)
                    if isinstance(asked, Success):
                        known: KnownControls = asked.unwrap()
                        self._learn(known.controls)
                        self._heard_of_history |= known.version > 0 or known.epoch > 0
                else:
                    self._learn([address])
            self._learn([member.internal for member in self.controls()])
            await self._context.clock.sleep(Seconds(1.0))

    async def _follow_forever(self, peer: _Peer) -> None:
        """One task for each other keeper: asks it for its sessions, again and again."""
        clock = self._context.clock
        while True:
            asked = clock.monotonic()
            unheard = self._unheard(peer, asked)
            wait = Seconds(0.0) if unheard else self._times.keeper_poll
            outcome = await self._messenger.call(
                peer.address,
                AskSessions(peer.position(), wait, checksum(self._live_keepers()), unheard),
                SessionsTold,
                Seconds(self._times.keeper_poll + self._times.answer),
            )
            match outcome:
                case Success(told):
                    peer.heard_directly = asked
                    self._take(peer, told, asked)
                    self._learn(told.keepers)
                    for relayed in told.relayed:
                        self._take_relayed(relayed, asked)
                    least = self._times.retry if unheard else self._times.coalesce
                    await clock.sleep(Seconds(max(0.0, asked + least - clock.monotonic())))
                case _:
                    fault = outcome.failure()
                    if fault.kind == "rejected" and peer.address in self._seeds:
                        self._not_keepers[peer.address] = asked
                        del self._peers[peer.address]
                        return
                    silent = asked - (peer.known_since if peer.heard is None else peer.heard)
                    if silent > self._times.forget and peer.address not in self._seeds:
                        del self._peers[peer.address]
                        return
                    pause = self._times.retry if silent < self._times.patient else 4 * self._times.retry
                    await clock.sleep(Seconds(pause * (0.8 + 0.4 * self._context.random.random())))

    def _unheard(self, asked_peer: _Peer, now: Instant) -> tuple[Unheard, ...]:
        """Whom to ask after: soon after the silence began at once, later now and then."""
        found = []
        for peer in self._peers.values():
            silent = now - (peer.known_since if peer.heard_directly is None else peer.heard_directly)
            if peer is asked_peer or silent <= self._times.unheard:
                continue
            often = now - (peer.known_since if peer.heard is None else peer.heard) <= 2 * self._times.lost
            if often or peer.asked_after is None or now - peer.asked_after > self._times.ask_after:
                found.append(Unheard(peer.address, peer.position()))
                if not often:
                    peer.asked_after = now
        return tuple(found)

    def _take_relayed(self, told: SessionsTold, asked: Instant) -> None:
        peer = self._peers.get(told.keeper.internal)
        heard = Instant(asked - told.age)
        if peer is not None and (peer.heard is None or heard > peer.heard):
            self._take(peer, told, heard)

    def _take(self, peer: _Peer, told: SessionsTold, heard: Instant) -> None:
        same_life = peer.life == told.position.life
        peer.identity = told.keeper
        peer.heard = heard if peer.heard is None else max(peer.heard, heard)
        if (same_life and told.position.sequence < peer.sequence) or not (same_life or told.whole):
            return  # Another way was faster.
        changed: list[Incarnation] = []
        if told.whole:
            kept = {member.incarnation for member in told.joined}
            missing = [identity for identity in peer.sessions.identities() if identity.incarnation not in kept]
            changed = [identity.incarnation for identity in missing if peer.sessions.drop(identity.incarnation)]
            if told.settling:
                until = Instant(heard + self._times.grace)
                peer.orphans |= {identity.incarnation: (identity, until) for identity in missing}
        else:
            changed = [gone for gone in told.left if peer.sessions.drop(gone)]
        changed += [member.incarnation for member in told.joined if peer.sessions.put(identity_of(member))]
        peer.life, peer.sequence, peer.settling = told.position.life, told.position.sequence, told.settling
        if peer.sessions.digest != told.digest:
            peer.life = ""
        self._recount(*changed)

    def _look_whether_alone(self, now: Instant) -> None:
        """Hearing less than half of the keepers heard lately, this one takes the silence for its own."""
        ages = [now - peer.heard for peer in self._peers.values() if peer.heard is not None]
        lately = 1 + sum(age <= self._times.missed for age in ages)
        heard = 1 + sum(age <= self._times.lost for age in ages)
        alone = 2 * heard <= lately
        if alone or self._alone:
            self._trusted_from = max(self._trusted_from, Instant(now + self._times.settle))
        if alone != self._alone:
            self._alone = alone
            self._context.log.event("keeper-alone" if alone else "keeper-together", heard=heard, lately=lately)


def _silence(peer: _Peer) -> float:
    return -(peer.heard if peer.heard is not None else float("-inf"))


def checksum(addresses: Sequence[Address]) -> int:
    return crc32(" ".join(map(str, addresses)).encode())
