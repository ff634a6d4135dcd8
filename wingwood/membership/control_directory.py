"""The control daemons' addresses that a router knows and how it learns them (docs/DESIGN.md section 8.4)."""

from __future__ import annotations

from collections.abc import Sequence

from ..context.protocols import Context
from ..identifiers import Address, Seconds
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .known_controls import request_known_controls
from .member_view import MemberView
from .messages import KnownControls
from .observed_versions import ObservedVersions

MAX_CONTROL_ADDRESSES = 128
MAX_CONTROLS_PER_ANSWER = 64
PEERS_ASKED_PER_ATTEMPT = 2


class ControlDirectory:
    """Owns the seeds, the reported addresses of control daemons, and routers' addresses from before the first session.

    Works without a session, so that a router finds control daemons that have replaced all of its seeds.
    """

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        seeds: Sequence[Address],
        view: MemberView,
        observed: ObservedVersions,
        answer_timeout_s: Seconds,
    ) -> None:
        self._context = context
        self._messenger = messenger
        self._seeds = tuple(seeds)
        self._view = view
        self._observed = observed
        self._answer_timeout_s = answer_timeout_s
        self._reported: dict[Address, None] = {}
        """Addresses of control daemons that were reported; the latest is last."""
        self._peer_addresses: tuple[Address, ...] = ()
        messenger.on_post(KnownControls, self._on_announced)

    def use_seeds(self, seeds: Sequence[Address]) -> None:
        """Replaces the seeds; addresses that were learned since the start are retained."""
        self._seeds = tuple(seeds)

    def record(self, address: Address) -> None:
        """Records the address of a control daemon as the latest one."""
        self._reported.pop(address, None)
        self._reported[address] = None
        while len(self._reported) > MAX_CONTROL_ADDRESSES:
            del self._reported[next(iter(self._reported))]

    def reported_and_seeds(self) -> list[Address]:
        """Returns the reported addresses, the latest last, then the seeds."""
        return [*self._reported, *self._seeds]

    def known_controls(self) -> list[Address]:
        """Returns the control members first, then other known control daemons (latest first), then the seeds."""
        return list(dict.fromkeys([*self._members(), *reversed(self._reported), *self._seeds]))

    def controls_to_report(self) -> list[Address]:
        """Returns the control daemons to report to another daemon: like ``known_controls``, without the seeds."""
        return list(dict.fromkeys([*self._members(), *reversed(self._reported)]))[:MAX_CONTROLS_PER_ANSWER]

    def _members(self) -> list[Address]:
        return [member.internal for member in self._view.controls()]

    def peer_addresses(self) -> list[Address]:
        """Returns the internal addresses of other routers; also works before the first session."""
        known = [member.internal for member in self._view.routers()] or list(self._peer_addresses)
        return [address for address in known if address != self._messenger.identity.internal]

    async def ask(self, address: Address) -> None:
        """Asks the daemon at the address for control daemons, and records those that are new."""
        known = await request_known_controls(self._messenger, address, self._answer_timeout_s)
        if known is None:
            return
        self._observed.observe(known.epoch, known.version)
        for control in known.controls:
            if control not in self._reported:
                self.record(control)
        if known.peers:
            self._peer_addresses = known.peers

    async def ask_peers(self) -> None:
        """Asks some other routers for control daemons, after no coordinator has answered."""
        peers = self.peer_addresses()
        for address in self._context.random.sample(peers, min(PEERS_ASKED_PER_ATTEMPT, len(peers))):
            await self.ask(address)

    def _on_announced(self, peer: Identity, message: KnownControls) -> None:
        """Handles the announcement of a control daemon that has this daemon in its address file.

        The announcing daemon counts as the latest known one.
        """
        if peer.role == "control":
            for control in reversed(message.controls):
                self.record(control)
