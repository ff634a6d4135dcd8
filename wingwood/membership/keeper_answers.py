"""What a session keeper tells other keepers, and daemons that look for keepers (docs/DESIGN.md section 8)."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from ..identifiers import Address, Instant, Seconds
from ..transport.frames import Identity
from .keeper_following import KeeperFollowing
from .keeper_peer import KeeperPeer
from .keeper_state import checksum
from .member_list import Changes
from .messages import AskSessions, Position, SessionsTold, Unheard, member_of


class KeeperAnswers(KeeperFollowing):
    """Tells its own sessions, and what it heard of keepers that the asker can't reach."""

    async def _on_ask_sessions(self, peer: Identity, message: AskSessions) -> SessionsTold:
        self._learn([peer.internal])
        if message.position == Position(self._life, self._own.sequence):
            await self._wait_for_change(Seconds(min(message.wait, self._times.keeper_poll)))
        keepers = self._live_keepers()
        known = checksum(keepers) == message.keepers
        return self._told(message.position, message.unheard, () if known else keepers)

    async def _wait_for_change(self, patience: Seconds) -> None:
        """Of the own sessions; then a little longer, so that several are told at once."""
        if self._next_change is None:
            self._next_change = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(patience):
                await asyncio.shield(self._next_change)
            await self._context.clock.sleep(self._times.coalesce)
        except TimeoutError:
            pass

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
        now = self._now()
        relayed = (self._relay_one(wanted, now) for wanted in unheard)
        return [told for told in relayed if told is not None]

    def _relay_one(self, wanted: Unheard, now: Instant) -> SessionsTold | None:
        peer: KeeperPeer | None = self._peers.get(wanted.address)
        if peer is None or not peer.life or peer.identity is None or peer.heard_directly is None:
            return None
        same = peer.position() == wanted.position
        return SessionsTold(
            keeper=peer.identity,
            position=Position(peer.life, peer.sequence),
            digest=peer.sessions.digest,
            whole=not same,
            joined=() if same else tuple(map(member_of, peer.sessions.identities())),
            left=(),
            settling=peer.settling,
            age=Seconds(now - peer.heard_directly),
        )
