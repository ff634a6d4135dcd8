"""A daemon that is not a member: it asks to join, or forms the first view (docs/DESIGN.md sections 7.2.8 and 7.8)."""

from __future__ import annotations

from ..identifiers import Instant
from .control_options import ControlOptions
from .directory import ControlDirectory
from .formation import FirstViewFormation
from .member_state import MemberState
from .messages import ControlJoin, ControlJoined
from .peer_client import PeerClient, all_answers
from .store import ControlStore

NEVER = Instant(0.0)


class Joining:
    """Asks all known control daemons for membership, at intervals. Owns the time of the latest request."""

    def __init__(
        self,
        options: ControlOptions,
        peers: PeerClient,
        store: ControlStore,
        state: MemberState,
        directory: ControlDirectory,
        formation: FirstViewFormation,
    ) -> None:
        self._join_interval = options.join_interval
        self._peers = peers
        self._store = store
        self._state = state
        self._directory = directory
        self._formation = formation
        self._last_join = NEVER

    async def join_when_due(self, now: Instant) -> None:
        """Asks to join; the seed with the lowest address then forms the first view if no view was found."""
        if now - self._last_join < self._join_interval:
            return
        self._last_join = now
        await self._join()
        first_seed = self._directory.seeds[:1] == (self._state.own.address,)
        if self._state.known_view is None and not self._store.ever_used and first_seed:
            await self._formation.run()

    async def _join(self) -> None:
        own = self._state.own
        addresses = [address for address in self._directory.control_addresses() if address != own.address]
        calls = [self._peers.ask_address(address, ControlJoin(own), ControlJoined) for address in addresses]
        for joined in await all_answers(self._peers, calls):
            self._state.observe_view(joined.view)
